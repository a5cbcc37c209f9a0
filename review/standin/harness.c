#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROCESSES_MAX 64
#define HEAD_MAX 16384
#define RESTART_DELAY_S 1.0

static struct timespec start_time;
static FILE *record;
static char folder[] = "/tmp/galenagate-review-XXXXXX";
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pid_t processes[PROCESSES_MAX];
static size_t process_count;

/* ---- time, record, end of a case ---- */

double
now_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)(t.tv_sec - start_time.tv_sec)
         + (double)(t.tv_nsec - start_time.tv_nsec) / 1e9;
}

void
sleep_until (double at_s)
{
  const double left = at_s - now_s ();
  struct timespec t;

  if (left <= 0)
    return;
  t.tv_sec = (time_t)left;
  t.tv_nsec = (long)((left - (double)t.tv_sec) * 1e9);
  while (nanosleep (&t, &t) != 0 && errno == EINTR)
    ;
}

bool
trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return !text || strcmp (text, "0") != 0;
}

static void
write_record (const char *format, va_list args)
{
  pthread_mutex_lock (&record_lock);
  fprintf (record, "%9.3f ", now_s ());
  vfprintf (record, format, args);
  fputc ('\n', record);
  pthread_mutex_unlock (&record_lock);
}

void
rec (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  write_record (format, args);
  va_end (args);
}

static void
end_processes (void)
{
  for (size_t i = 0; i < process_count; i++)
    kill (processes[i], SIGKILL);
  for (size_t i = 0; i < process_count; i++)
    waitpid (processes[i], NULL, 0);
}

static void
remove_folder (void)
{
  char path[128];

  for (size_t i = 0; i < process_count; i++)
    {
      snprintf (path, sizeof path, "%s/%zu.log", folder, i);
      unlink (path);
    }
  rmdir (folder);
}

void
verdict (int code, const char *format, ...)
{
  static const char *const names[] = { "held", "BROKEN", "not run" };
  va_list args;
  va_list copy;

  va_start (args, format);
  va_copy (copy, args);
  printf ("%s: ", names[code]);
  vprintf (format, args);
  printf ("\n");
  fflush (stdout);
  rec ("result=%s trouble=%d", names[code], trouble ());
  write_record (format, copy);
  va_end (copy);
  va_end (args);
  fflush (record);
  end_processes ();
  if (!getenv ("KEEP_LOGS"))
    remove_folder ();
  _exit (code);
}

static void *
limit (void *seconds)
{
  sleep_until (*(double *)seconds);
  verdict (EXIT_NOT_RUN, "the case took too long");
}

static void
on_signal (int signum)
{
  (void)signum;
  end_processes ();
  _exit (EXIT_NOT_RUN);
}

void
harness_start (int argc, char **argv, double limit_s)
{
  static double seconds;
  static const char *const program = "target/galenagate";
  char path[512];
  pthread_t thread;

  clock_gettime (CLOCK_MONOTONIC, &start_time);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  if (argc < 2)
    {
      fprintf (stderr, "usage: %s FOLDER\n", argv[0]);
      exit (EXIT_NOT_RUN);
    }
  snprintf (path, sizeof path, "%s/record.txt", argv[1]);
  record = fopen (path, "w");
  if (!record || !mkdtemp (folder))
    {
      perror (path);
      exit (EXIT_NOT_RUN);
    }
  if (access (program, X_OK) != 0)
    verdict (EXIT_NOT_RUN, "%s is missing: build it first", program);
  seconds = limit_s;
  pthread_create (&thread, NULL, limit, &seconds);
}

/* ---- processes ---- */

int
free_port (void)
{
  /* Below the range that the kernel gives to outgoing connections, so that a
     process can be restarted at its port. */
  static int next;
  int tries = 0;

  if (next == 0)
    next = 20000 + (int)(getpid () % 400) * 25;
  while (tries++ < 5000)
    {
      const int port = next++;
      const int fd = listen_on (port);

      if (next > 31000)
        next = 20000;
      if (fd < 0)
        continue;
      close (fd);
      return port;
    }
  verdict (EXIT_NOT_RUN, "no free port");
}

pid_t
start_process (const char *name, char *const argv[], char *const env[])
{
  char path[128];
  pid_t pid;

  if (process_count == PROCESSES_MAX)
    verdict (EXIT_NOT_RUN, "too many processes");
  snprintf (path, sizeof path, "%s/%zu.log", folder, process_count);
  pid = fork ();
  if (pid == 0)
    {
      const int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      for (int i = 3; i < 1024; i++)
        close (i);
      execve (argv[0], argv, env);
      _exit (127);
    }
  processes[process_count++] = pid;
  rec ("start name=%s pid=%d log=%s", name, (int)pid, path);
  return pid;
}

bool
process_end (pid_t pid, int *status)
{
  if (waitpid (pid, status, WNOHANG) != pid)
    return false;
  for (size_t i = 0; i < process_count; i++)
    if (processes[i] == pid)
      processes[i] = processes[--process_count];
  return true;
}

void
stop_process (pid_t pid)
{
  kill (pid, SIGKILL);
}

/* ---- HTTP ---- */

static struct sockaddr_in
address_of (int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET };

  a.sin_port = htons ((uint16_t)port);
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return a;
}

int
connect_to (int port)
{
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const struct sockaddr_in a = address_of (port);
  const int on = 1;

  if (connect (fd, (const struct sockaddr *)&a, sizeof a) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

int
listen_on (int port)
{
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const struct sockaddr_in a = address_of (port);
  const int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (const struct sockaddr *)&a, sizeof a) == 0
      && listen (fd, 512) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
send_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      const ssize_t n = send (fd, data, len, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

/* Reads up to the empty line. Returns the bytes in @head, of which the first
   @head_len belong to the head; 0 if the connection ended before. */
static size_t
read_head (int fd, char *head, size_t *head_len)
{
  size_t n = 0;
  const char *end;

  for (;;)
    {
      const ssize_t got = recv (fd, head + n, HEAD_MAX - 1 - n, 0);

      if (got <= 0)
        return 0;
      n += (size_t)got;
      head[n] = '\0';
      end = strstr (head, "\r\n\r\n");
      if (!end && n < HEAD_MAX - 1)
        continue;
      if (!end)
        return 0;
      *head_len = (size_t)(end - head) + 4;
      return n;
    }
}

/* Copies the value of a header field to @out, an empty text if it is absent. */
static void
field (const char *head, const char *name, char *out, size_t size)
{
  const size_t len = strlen (name);

  out[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line;
       line = strstr (line + 2, "\r\n"))
    {
      const char *at = line + 2;
      const char *end = strstr (at, "\r\n");

      if (!end || end == at)
        return;
      if (strncasecmp (at, name, len) != 0 || at[len] != ':')
        continue;
      at += len + 1;
      while (*at == ' ')
        at++;
      snprintf (out, size, "%.*s", (int)(end - at), at);
      return;
    }
}

/* Reads the rest of a body of known length, of which @have bytes are there. */
static bool
read_body (int fd, size_t length, const char *data, size_t have,
           struct answer *out)
{
  char bytes[4096];

  out->len = 0;
  for (size_t done = 0; done < length;)
    {
      ssize_t n = (ssize_t)have;

      if (have == 0)
        {
          const size_t left = length - done;

          n = recv (fd, bytes, left < sizeof bytes ? left : sizeof bytes, 0);
          data = bytes;
        }
      if (n <= 0)
        return false;
      if (out->len + (size_t)n < sizeof out->body)
        {
          memcpy (out->body + out->len, data, (size_t)n);
          out->len += (size_t)n;
        }
      done += (size_t)n;
      have = 0;
    }
  out->body[out->len] = '\0';
  return true;
}

bool
http_exchange (int fd, const char *method, const char *path, const char *host,
               const char *extra, const char *body, struct answer *out)
{
  static const char format[] = "%s %s HTTP/1.1\r\nHost: %s\r\n%s";
  const size_t body_len = body ? strlen (body) : 0;
  const size_t size = strlen (extra) + strlen (path) + body_len + 512;
  char *request = malloc (size);
  char head[HEAD_MAX];
  char value[64];
  size_t head_len;
  size_t n;
  int len = snprintf (request, size, format, method, path, host, extra);
  bool sent;

  *out = (struct answer){ 0 };
  if (body)
    len += snprintf (request + len, size - (size_t)len,
                     "Content-Length: %zu\r\n", body_len);
  len += snprintf (request + len, size - (size_t)len, "\r\n%s",
                   body ? body : "");
  sent = send_all (fd, request, (size_t)len);
  free (request);
  if (!sent)
    return false;
  n = read_head (fd, head, &head_len);
  if (n == 0)
    return false;
  out->status = atoi (head + 9);
  field (head, "Connection", value, sizeof value);
  out->close = strcasecmp (value, "close") == 0;
  field (head, "Content-Length", value, sizeof value);
  if (value[0] == '\0')
    {
      out->close = true;
      return false;
    }
  out->complete = read_body (fd, strtoul (value, NULL, 10), head + head_len,
                             n - head_len, out);
  return out->complete;
}

bool
http_call (int port, const char *method, const char *path, const char *host,
           const char *extra, const char *body, struct answer *out)
{
  const int fd = connect_to (port);
  bool done;

  *out = (struct answer){ 0 };
  if (fd < 0)
    return false;
  done = http_exchange (fd, method, path, host, extra, body, out);
  close (fd);
  return done;
}

/* ---- the store ---- */

int store_port;

void
store_start (void)
{
  char port[16];
  char *argv[] = { "review/build/standin_objects", "--port", port, NULL };
  char *env[] = { "PATH=/usr/bin:/bin", NULL };
  struct answer a;

  if (access (argv[0], X_OK) != 0)
    verdict (EXIT_NOT_RUN, "%s is missing: run review/build.sh", argv[0]);
  store_port = free_port ();
  snprintf (port, sizeof port, "%d", store_port);
  start_process ("store", argv, env);
  for (int i = 0; i < 100; i++)
    {
      if (http_call (store_port, "GET", "/objects/config", "store", "", NULL,
                     &a))
        return;
      sleep_until (now_s () + 0.05);
    }
  verdict (EXIT_NOT_RUN, "the store doesn't answer");
}

static void
write_object (const char *method, const char *path, const char *name,
              const char *spec)
{
  const size_t size = strlen (spec) + strlen (name) + 64;
  char *body = malloc (size);
  struct answer a;

  snprintf (body, size, "{\"metadata\":{\"name\":\"%s\"},\"spec\":%s}", name,
            spec);
  if (!http_call (store_port, method, path, "store",
                  "Content-Type: application/json\r\n", body, &a)
      || a.status != 200)
    verdict (EXIT_NOT_RUN, "%s %s ended with %d", method, path, a.status);
  free (body);
}

void
store_create (const char *kind, const char *name, const char *spec)
{
  char path[128];

  snprintf (path, sizeof path, "/objects/%s", kind);
  write_object ("POST", path, name, spec);
  rec ("store create kind=%s name=%s", kind, name);
}

void
store_replace (const char *kind, const char *name, const char *spec)
{
  char path[128];

  snprintf (path, sizeof path, "/objects/%s/%s", kind, name);
  write_object ("PUT", path, name, spec);
  rec ("store replace kind=%s name=%s", kind, name);
}

void
store_delete (const char *kind, const char *name)
{
  char path[128];
  struct answer a;

  snprintf (path, sizeof path, "/objects/%s/%s", kind, name);
  if (!http_call (store_port, "DELETE", path, "store", "", NULL, &a)
      || a.status != 200)
    verdict (EXIT_NOT_RUN, "DELETE %s ended with %d", path, a.status);
  rec ("store delete kind=%s name=%s", kind, name);
}

/* ---- nodes ---- */

void
node_init (struct node *n, int index, int platform_port)
{
  static const char *const domains[] = { "gulf-a", "gulf-b", "gulf-c" };

  *n = (struct node){ .platform_port = platform_port };
  snprintf (n->name, sizeof n->name, "edge-%d", index + 1);
  snprintf (n->domain, sizeof n->domain, "%s", domains[index % 3]);
  n->front_port = free_port ();
  n->ready_port = free_port ();
  n->metrics_port = free_port ();
  n->peer_port = free_port ();
}

static char *
variable (const char *name, const char *format, ...)
{
  char *text = malloc (128);
  const int n = snprintf (text, 128, "GALENAGATE_%s=", name);
  va_list args;

  va_start (args, format);
  vsnprintf (text + n, 128 - (size_t)n, format, args);
  va_end (args);
  return text;
}

/* The variables of deploy/system.toml, with the bounds of the site perchgate.
 */
void
node_start (struct node *n)
{
  char *argv[] = { "target/galenagate", "edge", NULL };
  char *env[] = {
    "PATH=/usr/bin:/bin",
    variable ("FRONT_ADDR", "127.0.0.1:%d", n->front_port),
    variable ("READY_ADDR", "127.0.0.1:%d", n->ready_port),
    variable ("METRICS_ADDR", "127.0.0.1:%d", n->metrics_port),
    variable ("PEER_ADDR", "127.0.0.1:%d", n->peer_port),
    variable ("PLATFORM_ADDR", "127.0.0.1:%d", n->platform_port),
    variable ("NODE_NAME", "%s", n->name),
    variable ("DOMAIN", "%s", n->domain),
    variable ("GRACE_S", "8"),
    variable ("LEASE_MS", "3000"),
    variable ("CONTACT_MS", "3000"),
    variable ("DRAIN_MS", "2000"),
    variable ("LINK_MBPS", "1500"),
    variable ("RETRY_RATIO", "0.2"),
    variable ("RETRY_WINDOW_S", "10"),
    variable ("RETRY_SLACK", "56"),
    variable ("LOAD_WINDOW_S", "5"),
    variable ("FENCED", "true"),
    NULL,
  };

  n->pid = start_process (n->name, argv, env);
  n->started_s = now_s ();
  for (size_t i = 1; env[i]; i++)
    free (env[i]);
}

void
node_watch (struct node *n)
{
  int status;

  if (n->pid > 0 && process_end (n->pid, &status))
    {
      n->pid = 0;
      n->ends++;
      n->started_s = now_s () + RESTART_DELAY_S;
      rec ("ended name=%s signal=%d exit=%d ends=%d", n->name,
           WIFSIGNALED (status) ? WTERMSIG (status) : 0,
           WIFEXITED (status) ? WEXITSTATUS (status) : -1, n->ends);
    }
  if (n->pid == 0 && now_s () >= n->started_s)
    node_start (n);
}

bool
node_ready (const struct node *n)
{
  struct answer a;

  return http_call (n->ready_port, "GET", "/ready", "node", "", NULL, &a)
         && a.status == 200;
}

void
node_wait_ready (const struct node *n)
{
  const double end_s = now_s () + 10;

  while (!node_ready (n))
    {
      if (now_s () > end_s)
        verdict (EXIT_NOT_RUN, "%s is not ready", n->name);
      sleep_until (now_s () + 0.05);
    }
}

/* ---- a stand-in server ---- */

struct server_connection
{
  struct server *server;
  int fd;
};

static bool
answer_request (int fd, const struct server *s, const char *id, int status,
                bool executed, const char *body)
{
  char text[1024];
  const int n = snprintf (
      text, sizeof text,
      "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n"
      "X-Galenagate-Attempt-Id: %s\r\nX-Galenagate-Instance-Id: %s\r\n"
      "%s%s\r\n%s",
      status, status == 200 ? "OK" : "Error", strlen (body), id, s->id,
      executed ? "" : "X-Galenagate-Not-Executed: 1\r\n",
      executed ? "X-Galenagate-Server-Seal: 1.2.3.4\r\n" : "", body);

  return send_all (fd, text, (size_t)n);
}

/* Returns false if the connection ends. */
static bool
serve_request (struct server *s, int fd, const char *head)
{
  struct server_request r = { .server = s, .at_s = now_s () };
  char expected[ID_MAX];
  char deadline[32];
  bool keep;

  if (sscanf (head, "%15s %255s", r.method, r.path) != 2)
    return false;
  field (head, "X-Galenagate-Attempt-Id", r.id, sizeof r.id);
  field (head, "X-Galenagate-Expect-Instance", expected, sizeof expected);
  field (head, "X-Galenagate-Deadline-Ms", deadline, sizeof deadline);
  r.deadline_ms = atof (deadline);
  if (strcmp (r.path, "/health") == 0)
    return answer_request (fd, s, r.id, 200, true, "healthy");
  if (expected[0] != '\0' && strcmp (expected, s->id) != 0)
    return answer_request (fd, s, r.id, 421, false, "other instance");
  if (r.id[0] == '\0')
    return answer_request (fd, s, r.id, 400, false, "no id");
  keep = s->run (&r);
  sleep_until (r.at_s + s->work_ms / 1000);
  return keep && answer_request (fd, s, r.id, 200, true, "done");
}

static void *
serve_connection (void *ctx)
{
  struct server_connection *c = ctx;
  char *head = malloc (HEAD_MAX);
  size_t head_len;
  size_t n;

  while ((n = read_head (c->fd, head, &head_len)) > 0)
    {
      char length[32];
      struct answer body = { 0 };

      field (head, "Content-Length", length, sizeof length);
      if (!read_body (c->fd, strtoul (length, NULL, 10), head + head_len,
                      n - head_len, &body))
        break;
      if (!serve_request (c->server, c->fd, head))
        break;
    }
  close (c->fd);
  free (head);
  free (c);
  return NULL;
}

static void
start_thread (void *(*fn) (void *), void *ctx)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 256 * 1024);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, fn, ctx) != 0)
    verdict (EXIT_NOT_RUN, "no thread");
  pthread_attr_destroy (&attributes);
}

static void *
accept_connections (void *ctx)
{
  struct server *s = ctx;

  for (;;)
    {
      struct server_connection *c = malloc (sizeof *c);
      const int on = 1;

      c->server = s;
      c->fd = accept4 (s->listener, NULL, NULL, SOCK_CLOEXEC);
      if (c->fd < 0)
        {
          free (c);
          return NULL; /* the server has exited */
        }
      setsockopt (c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      start_thread (serve_connection, c);
    }
  return NULL;
}

void
server_start (struct server *s)
{
  s->port = free_port ();
  s->listener = listen_on (s->port);
  if (s->listener < 0)
    verdict (EXIT_NOT_RUN, "no port for a server");
  start_thread (accept_connections, s);
}

void
server_entry (const struct server *s, char *out, size_t size)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  snprintf (out, size,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
            "\"cold_remaining_ms\":0,\"seq\":1,\"born\":%lld}",
            s->service, s->port, s->domain, s->slots,
            (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000);
}

void
server_register (const struct server *s)
{
  char entry[512];

  server_entry (s, entry, sizeof entry);
  store_create ("servers", s->id, entry);
}

/* ---- a proxy in front of the store ---- */

static pthread_mutex_t proxy_lock = PTHREAD_MUTEX_INITIALIZER;
static int proxy_generation;
static int proxy_open;
static int proxy_listener;

static bool
is_silent (int generation)
{
  pthread_mutex_lock (&proxy_lock);
  const bool silent = generation != proxy_generation;
  pthread_mutex_unlock (&proxy_lock);
  return silent;
}

/* Passes on what has arrived. Returns false at the end of the connection. */
static bool
pass_on (int from, int to, int generation)
{
  char bytes[16384];
  const ssize_t n = recv (from, bytes, sizeof bytes, 0);

  if (n <= 0)
    return false;
  /* What arrives on a silent connection is lost. */
  return is_silent (generation) || send_all (to, bytes, (size_t)n);
}

static void *
proxy_connection (void *ctx)
{
  const int client = (int)(long)ctx;
  const int store = connect_to (store_port);
  struct pollfd fds[2] = { { .fd = client, .events = POLLIN },
                           { .fd = store, .events = POLLIN } };
  int generation;

  pthread_mutex_lock (&proxy_lock);
  generation = proxy_generation;
  proxy_open++;
  pthread_mutex_unlock (&proxy_lock);
  while (store >= 0 && poll (fds, 2, -1) > 0)
    {
      if (fds[0].revents && !pass_on (client, store, generation))
        break;
      if (!fds[1].revents || pass_on (store, client, generation))
        continue;
      if (!is_silent (generation))
        break;
      fds[1].fd = -1; /* the end of a silent connection isn't seen either */
    }
  close (client);
  if (store >= 0)
    close (store);
  pthread_mutex_lock (&proxy_lock);
  proxy_open--;
  pthread_mutex_unlock (&proxy_lock);
  return NULL;
}

static void *
accept_proxied (void *ctx)
{
  (void)ctx;
  for (;;)
    {
      const int fd = accept4 (proxy_listener, NULL, NULL, SOCK_CLOEXEC);
      const int on = 1;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      start_thread (proxy_connection, (void *)(long)fd);
    }
  return NULL;
}

int
proxy_start (void)
{
  const int port = free_port ();

  proxy_listener = listen_on (port);
  if (proxy_listener < 0)
    verdict (EXIT_NOT_RUN, "no port for the proxy");
  start_thread (accept_proxied, NULL);
  return port;
}

int
proxy_silence (void)
{
  pthread_mutex_lock (&proxy_lock);
  const int open = proxy_open;
  proxy_generation++;
  pthread_mutex_unlock (&proxy_lock);
  return open;
}
