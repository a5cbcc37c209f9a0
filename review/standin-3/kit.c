#define _GNU_SOURCE
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PIDS_MAX 256
#define PATHS_MAX 256
/* Scripts that start one after the other look for ports in different places. */
#define PORTS_EACH 131
#define PORTS_FIRST 12000
#define PORTS_COUNT 18000

struct node nodes[NODES_MAX];
int store_port;
bool trouble = true;

static FILE *record;
static long begin_ms;
static char folder[64];
static char paths[PATHS_MAX][128];
static int path_count;
static pid_t pids[PIDS_MAX];
static int pid_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_ms (long ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  while (nanosleep (&t, &t) != 0 && errno == EINTR)
    ;
}

void
rec (const char *fmt, ...)
{
  va_list ap;

  if (!record)
    return;
  pthread_mutex_lock (&lock);
  fprintf (record, "%7ld ms  ", now_ms () - begin_ms);
  va_start (ap, fmt);
  vfprintf (record, fmt, ap);
  va_end (ap);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&lock);
}

const char *
tmp_path (const char *name)
{
  for (int i = 0; i < path_count; i++)
    if (strcmp (strrchr (paths[i], '/') + 1, name) == 0)
      return paths[i];
  if (path_count == PATHS_MAX)
    abort ();
  snprintf (paths[path_count], sizeof paths[0], "%s/%s", folder, name);
  return paths[path_count++];
}

/* ---- processes ---- */

pid_t
spawn (char *const *argv, char *const *env, const char *out)
{
  const pid_t parent = getpid ();
  const pid_t pid = fork ();

  if (pid < 0)
    kit_fail ("fork");
  if (pid > 0)
    {
      if (pid_count == PIDS_MAX)
        abort ();
      pids[pid_count++] = pid;
      return pid;
    }
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (127);
  const int fd = open (out, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2 (fd, 1);
  dup2 (fd, 2);
  for (int i = 3; i < 1024; i++)
    close (i);
  for (; env && *env; env++)
    putenv (*env);
  execv (argv[0], argv);
  _exit (127);
}

static void
forget (pid_t pid)
{
  for (int i = 0; i < pid_count; i++)
    if (pids[i] == pid)
      {
        pids[i] = pids[--pid_count];
        return;
      }
}

void
end_process (pid_t pid, int sig)
{
  if (pid <= 0)
    return;
  kill (pid, sig);
  waitpid (pid, NULL, 0);
  forget (pid);
}

bool
running (pid_t pid)
{
  if (pid <= 0 || waitpid (pid, NULL, WNOHANG) == 0)
    return pid > 0;
  forget (pid);
  return false;
}

static void
end_all (void)
{
  while (pid_count > 0)
    {
      const pid_t pid = pids[0];

      kill (pid, SIGCONT);
      end_process (pid, SIGKILL);
    }
}

static void
remove_folder (void)
{
  for (int i = 0; i < path_count; i++)
    unlink (paths[i]);
  rmdir (folder);
}

void
kit_end (enum verdict v)
{
  end_all ();
  remove_folder ();
  rec ("end: %s", v == HELD     ? "the rule held"
                  : v == BROKEN ? "the rule was broken"
                                : "the case could not run");
  _exit (v);
}

void
kit_fail (const char *what)
{
  rec ("can't run: %s (%s)", what, strerror (errno));
  fprintf (stderr, "can't run: %s\n", what);
  kit_end (NOT_RUN);
}

static void
on_signal (int sig)
{
  (void)sig;
  end_all ();
  remove_folder ();
  _exit (NOT_RUN);
}

/* Ports below the range from which the kernel takes those of clients, so that
   a server can start again at its port. */
int
free_port (void)
{
  static int next;

  if (next == 0)
    next = getpid () * PORTS_EACH;
  for (int tries = 0; tries < PORTS_COUNT; tries++)
    {
      const int port = PORTS_FIRST + next++ % PORTS_COUNT;
      const int one = 1;
      struct sockaddr_in a = { .sin_family = AF_INET,
                               .sin_port = htons ((unsigned short)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
      const int tcp = socket (AF_INET, SOCK_STREAM, 0);
      const int udp = socket (AF_INET, SOCK_DGRAM, 0);

      setsockopt (tcp, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
      const bool free = bind (tcp, (struct sockaddr *)&a, sizeof a) == 0
                        && bind (udp, (struct sockaddr *)&a, sizeof a) == 0;
      close (tcp);
      close (udp);
      if (free)
        return port;
    }
  kit_fail ("no free port");
}

/* ---- HTTP ---- */

int
connect_to (int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((unsigned short)port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd >= 0 && connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  if (fd >= 0)
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

/* Returns true if the body is complete: a length that was reached, or a last
   chunk. */
static bool
is_complete (const struct reply *r)
{
  const char *length = strcasestr (r->text, "\r\ncontent-length:");
  const size_t body_len = r->len - (size_t)(r->body - r->text);

  if (length && length < r->body)
    return body_len >= (size_t)atol (length + 17);
  return body_len >= 5
         && memcmp (r->text + r->len - 5, "0\r\n\r\n", 5) == 0;
}

struct reply
http (int port, const char *method, const char *path, const char *headers,
      const char *body, long timeout_ms)
{
  const long end = now_ms () + timeout_ms;
  struct reply r = { .text = calloc (1, 1) };
  char *head = NULL;
  const int fd = connect_to (port);

  if (fd < 0)
    return r;
  const int n = asprintf (&head,
                          "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n"
                          "Connection: close\r\n\r\n%s",
                          method, path, headers ? headers : "",
                          strlen (body ? body : ""), body ? body : "");
  bool open = send_all (fd, head, (size_t)n);
  free (head);
  while (open && now_ms () < end)
    {
      struct pollfd p = { fd, POLLIN, 0 };
      char part[8192];

      if (poll (&p, 1, (int)(end - now_ms ())) <= 0)
        break;
      const ssize_t got = recv (fd, part, sizeof part, 0);
      if (got <= 0)
        break;
      r.text = realloc (r.text, r.len + (size_t)got + 1);
      memcpy (r.text + r.len, part, (size_t)got);
      r.len += (size_t)got;
      r.text[r.len] = '\0';
      r.body = strstr (r.text, "\r\n\r\n");
      if (!r.body)
        continue;
      r.body += 4;
      open = !(r.complete = is_complete (&r));
    }
  close (fd);
  if (r.body)
    r.status = atoi (r.text + 9);
  return r;
}

bool
put_object (const char *kind, const char *name, const char *spec)
{
  static const char headers[]
      = "Host: store\r\nContent-Type: application/json\r\nX-Test: 1\r\n";
  char path[160];
  char *body = NULL;
  bool done;

  snprintf (path, sizeof path, "/objects/%s", kind);
  if (asprintf (&body, "{\"metadata\":{\"name\":\"%s\"},\"spec\":%s}", name,
                spec)
      < 0)
    abort ();
  struct reply r = http (store_port, "POST", path, headers, body, 2000);
  done = r.status / 100 == 2;
  if (r.status == 409)
    {
      free (r.text);
      snprintf (path, sizeof path, "/objects/%s/%s", kind, name);
      r = http (store_port, "PUT", path, headers, body, 2000);
      done = r.status / 100 == 2;
    }
  free (r.text);
  free (body);
  return done;
}

/* ---- the system ---- */

void
kit_begin (const char *case_folder, char *const *store_flags)
{
  char path[256];
  char port[16];
  const char *setting = getenv ("TROUBLE");

  trouble = !setting || strcmp (setting, "0") != 0;
  begin_ms = now_ms ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  snprintf (path, sizeof path, "%s/record.txt", case_folder);
  record = fopen (path, "w");
  strcpy (folder, "/tmp/review-3-XXXXXX");
  if (!record || !mkdtemp (folder))
    kit_fail ("record or temporary folder");
  if (access ("target/galenagate", X_OK) != 0
      || access ("target/standin_objects", X_OK) != 0)
    kit_fail ("target/galenagate or target/standin_objects is not built");
  rec ("begin: TROUBLE=%d", trouble);
  store_port = free_port ();
  snprintf (port, sizeof port, "%d", store_port);
  char *argv[12] = { "target/standin_objects", "--port", port };
  for (int i = 3; store_flags && *store_flags && i < 11; i++)
    argv[i] = *store_flags++;
  spawn (argv, NULL, tmp_path ("store.log"));
  for (int i = 0; i < 100; i++)
    {
      struct reply r = http (store_port, "GET", "/counts", "Host: store\r\n",
                             NULL, 500);
      const bool up = r.status == 200;

      free (r.text);
      if (up)
        return;
      sleep_ms (30);
    }
  kit_fail ("the store does not start");
}

static char *
variable (const char *name, const char *fmt, ...)
{
  char *value = NULL;
  char *out = NULL;
  va_list ap;

  va_start (ap, fmt);
  if (vasprintf (&value, fmt, ap) < 0)
    abort ();
  va_end (ap);
  if (asprintf (&out, "GALENAGATE_%s=%s", name, value) < 0)
    abort ();
  free (value);
  return out;
}

void
start_node (int i, int store)
{
  struct node *n = &nodes[i];
  char log[32];
  char *argv[] = { "target/galenagate", "edge", NULL };

  if (n->front == 0)
    {
      snprintf (n->name, sizeof n->name, "edge-%d", i + 1);
      n->front = free_port ();
      n->ready = free_port ();
      n->metrics = free_port ();
      n->peer = free_port ();
    }
  n->store = store;
  /* As in deploy/system.toml, with the bounds of the small site. */
  char *env[] = {
    variable ("FRONT_ADDR", "127.0.0.1:%d", n->front),
    variable ("READY_ADDR", "127.0.0.1:%d", n->ready),
    variable ("METRICS_ADDR", "127.0.0.1:%d", n->metrics),
    variable ("PEER_ADDR", "127.0.0.1:%d", n->peer),
    variable ("PLATFORM_ADDR", "127.0.0.1:%d", store),
    variable ("NODE_NAME", "%s", n->name),
    variable ("DOMAIN", "zone-%c", 'a' + i),
    variable ("GRACE_S", "8"),
    variable ("LEASE_MS", "3000"),
    variable ("CONTACT_MS", "3000"),
    variable ("DRAIN_MS", "2000"),
    variable ("LINK_MBPS", "1500.0"),
    variable ("RETRY_RATIO", "0.2"),
    variable ("RETRY_WINDOW_S", "10"),
    variable ("RETRY_SLACK", "56"),
    variable ("LOAD_WINDOW_S", "5"),
    variable ("FENCED", "true"),
    NULL,
  };
  snprintf (log, sizeof log, "node%d.log", i + 1);
  n->pid = spawn (argv, env, tmp_path (log));
  rec ("node %s started: front %d, pid %d", n->name, n->front, (int)n->pid);
  for (int k = 0; env[k]; k++)
    free (env[k]);
}

bool
wait_ready (int i, long timeout_ms)
{
  const long end = now_ms () + timeout_ms;

  while (now_ms () < end)
    {
      struct reply r = http (nodes[i].ready, "GET", "/ready",
                             "Host: ready\r\n", NULL, 500);
      const bool ready = r.status == 200;

      free (r.text);
      if (ready)
        return true;
      sleep_ms (50);
    }
  return false;
}
