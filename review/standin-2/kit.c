#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024
#define HEAD_MAX_BYTES 16384
#define CHILDREN_MAX 64
#define READY_TIMEOUT_MS 15000
#define PORT_MIN 12000
#define PORT_COUNT 18000
/* Part of a prompt that crashes each server that begins to answer it. */
#define DEADLY_PART "dead"
/* Time to load the model from a server's disk. */
#define DISK_LOAD_MS 510

struct node nodes[NODES];
bool crash_after_event;
static int record_fd = -1;
static const char *record_path;
static struct timespec start_time;
static int store_port;
static int node_ready_ports[NODES];
static int node_metrics_ports[NODES];
static int node_peer_ports[NODES];
static pid_t children[CHILDREN_MAX];
static int child_count;
static const char *const zones[] = { "gulf-a", "gulf-b", "gulf-c" };

/* ---- time and record ---- */

int64_t
now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (ts.tv_sec - start_time.tv_sec) * 1000
         + (ts.tv_nsec - start_time.tv_nsec) / 1000000;
}

static int64_t
wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

void
start_record (const char *path)
{
  clock_gettime (CLOCK_MONOTONIC, &start_time);
  record_path = path;
  record_fd = open (path, O_CREAT | O_TRUNC | O_WRONLY | O_APPEND, 0644);
  if (record_fd < 0)
    cannot_run ("record");
}

void
record (const char *fmt, ...)
{
  char line[LINE_MAX_BYTES];
  int n = snprintf (line, sizeof line, "%7lld ", (long long)now_ms ());
  va_list ap;

  va_start (ap, fmt);
  n += vsnprintf (line + n, sizeof line - (size_t)n - 1, fmt, ap);
  va_end (ap);
  if (n > (int)sizeof line - 2)
    n = (int)sizeof line - 2;
  line[n++] = '\n';
  if (write (record_fd, line, (size_t)n) != n)
    abort ();
}

int
record_count (const char *first, const char *second)
{
  char line[LINE_MAX_BYTES];
  FILE *f = fopen (record_path, "r");
  int n = 0;

  while (f && fgets (line, sizeof line, f))
    n += strstr (line, first) && strstr (line, second);
  if (f)
    fclose (f);
  return n;
}

int64_t
record_time (const char *text, int nth)
{
  char line[LINE_MAX_BYTES];
  FILE *f = fopen (record_path, "r");
  int64_t at_ms = 0;

  while (f && nth > 0 && fgets (line, sizeof line, f))
    if (strstr (line, text) && --nth == 0)
      at_ms = atoll (line);
  if (f)
    fclose (f);
  return at_ms;
}

int
record_count_after (const char *text, int64_t after_ms)
{
  char line[LINE_MAX_BYTES];
  FILE *f = fopen (record_path, "r");
  int n = 0;

  while (f && fgets (line, sizeof line, f))
    n += strstr (line, text) && atoll (line) > after_ms;
  if (f)
    fclose (f);
  return n;
}

bool
trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return !value || strcmp (value, "0") != 0;
}

void
cannot_run (const char *why)
{
  fprintf (stderr, "cannot run: %s\n", why);
  stop_all ();
  exit (2);
}

/* ---- HTTP ---- */

int
dial (int port)
{
  const struct sockaddr_in sin
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)port),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const int one = 1;
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0 || connect (fd, (const struct sockaddr *)&sin, sizeof sin) != 0)
    {
      if (fd >= 0)
        close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

bool
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

/* Reads a line without its end. Returns false at the end of the connection. */
static bool
read_line (int fd, char *out, size_t size)
{
  size_t n = 0;
  char c;

  while (recv (fd, &c, 1, 0) == 1)
    {
      if (c == '\n')
        {
          out[n > 0 && out[n - 1] == '\r' ? n - 1 : n] = '\0';
          return true;
        }
      if (n + 1 < size)
        out[n++] = c;
    }
  return false;
}

/* Reads bytes of a body and keeps the first ones. */
static bool
read_bytes (int fd, long count, char *kept, size_t kept_size)
{
  size_t used = strlen (kept);
  char part[4096];

  while (count > 0)
    {
      const size_t want
          = count < (long)sizeof part ? (size_t)count : sizeof part;
      const ssize_t n = recv (fd, part, want, 0);

      if (n <= 0)
        return false;
      for (ssize_t i = 0; i < n && used + 1 < kept_size; i++)
        kept[used++] = part[i];
      kept[used] = '\0';
      count -= n;
    }
  return true;
}

static bool
read_chunks (int fd, char *kept, size_t kept_size)
{
  char line[64];

  while (read_line (fd, line, sizeof line))
    {
      const long size = strtol (line, NULL, 16);

      if (!read_bytes (fd, size, kept, kept_size)
          || !read_line (fd, line, sizeof line))
        return false;
      if (size == 0)
        return true;
    }
  return false;
}

static bool
header_is (const char *line, const char *name, const char **value)
{
  const size_t n = strlen (name);

  if (strncasecmp (line, name, n) != 0 || line[n] != ':')
    return false;
  for (*value = line + n + 1; **value == ' ';)
    (*value)++;
  return true;
}

struct answer
read_answer (int fd)
{
  struct answer a = { 0 };
  char line[LINE_MAX_BYTES];
  const char *value;
  long length = 0;
  bool chunked = false;

  if (!read_line (fd, line, sizeof line)
      || sscanf (line, "HTTP/1.1 %d", &a.status) != 1)
    return (struct answer){ 0 };
  while (true)
    {
      if (!read_line (fd, line, sizeof line))
        return a;
      if (line[0] == '\0')
        break;
      if (header_is (line, "Content-Length", &value))
        length = atol (value);
      else if (header_is (line, "Transfer-Encoding", &value))
        chunked = strcasecmp (value, "chunked") == 0;
      else if (header_is (line, "Connection", &value))
        a.close = strcasecmp (value, "close") == 0;
    }
  a.complete = chunked ? read_chunks (fd, a.body, sizeof a.body)
                       : read_bytes (fd, length, a.body, sizeof a.body);
  return a;
}

void
new_id (char out[32])
{
  static uint32_t count;
  const uint32_t n = __atomic_add_fetch (&count, 1, __ATOMIC_RELAXED);

  snprintf (out, 32, "a%06u%08x", n, (unsigned)(wall_ms () & 0xffffffff));
}

/* ---- processes ---- */

static pid_t
start_child (void)
{
  const pid_t pid = fork ();

  if (pid < 0)
    cannot_run ("fork");
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      return 0;
    }
  if (child_count == CHILDREN_MAX)
    cannot_run ("too many processes");
  children[child_count++] = pid;
  return pid;
}

static bool
has_ended (pid_t pid)
{
  if (waitpid (pid, NULL, WNOHANG) != pid)
    return false;
  for (int i = 0; i < child_count; i++)
    if (children[i] == pid)
      {
        children[i] = children[--child_count];
        break;
      }
  return true;
}

bool
node_ended (int i)
{
  return has_ended (nodes[i].pid);
}

void
stop_all (void)
{
  for (int i = 0; i < child_count; i++)
    {
      kill (children[i], SIGKILL);
      waitpid (children[i], NULL, 0);
    }
  child_count = 0;
}

/* Returns a port that is free, below those that the system gives to outgoing
   connections; none is given out twice. */
static int
free_port (void)
{
  static int next;

  if (next == 0)
    next = PORT_MIN + (int)((getpid () * 97L + wall_ms ()) % PORT_COUNT);
  for (int i = 0; i < PORT_COUNT; i++)
    {
      struct sockaddr_in sin = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
      const int port = next;
      const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      next = next + 1 < PORT_MIN + PORT_COUNT ? next + 1 : PORT_MIN;
      sin.sin_port = htons ((uint16_t)port);
      const bool is_free
          = bind (fd, (struct sockaddr *)&sin, sizeof sin) == 0;
      close (fd);
      if (is_free)
        return port;
    }
  cannot_run ("port");
}

/* ---- store ---- */

static int
call (int port, const char *method, const char *path, const char *body)
{
  char head[512];
  struct answer a;
  const int fd = dial (port);
  const int n = snprintf (head, sizeof head,
                          "%s %s HTTP/1.1\r\nHost: x\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                          method, path, strlen (body));

  if (fd < 0)
    return 0;
  if (!send_all (fd, head, (size_t)n) || !send_all (fd, body, strlen (body)))
    {
      close (fd);
      return 0;
    }
  a = read_answer (fd);
  close (fd);
  return a.status;
}

static void
put_object (const char *kind, const char *name, const char *spec)
{
  char body[16384];
  char path[128];

  snprintf (body, sizeof body, "{\"metadata\":{\"name\":\"%s\"},\"spec\":%s}",
            name, spec);
  snprintf (path, sizeof path, "/objects/%s", kind);
  const int created = call (store_port, "POST", path, body);
  if (created >= 200 && created < 300)
    return;
  snprintf (path, sizeof path, "/objects/%s/%s", kind, name);
  const int replaced = call (store_port, "PUT", path, body);
  if (replaced < 200 || replaced >= 300)
    cannot_run ("store");
}

/* ---- deployment ---- */

/* The figures are those of the site perchgate. */
static const char configuration[]
    = "{\"version\":3,\"routes\":["
      "{\"name\":\"care-chat\",\"hostname\":\"co.example\","
      "\"path_prefix\":\"/chat/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":12000,\"latency_target_ms\":500,\"gap_aim_ms\":150,"
      "\"priority\":1,\"service\":\"parlor\",\"max_attempts\":2,"
      "\"resumable\":true,\"sticky\":true},"
      "{\"name\":\"newsletter-draft\",\"hostname\":\"co.example\","
      "\"path_prefix\":\"/mail/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":20000,\"latency_target_ms\":2000,\"gap_aim_ms\":150,"
      "\"priority\":1,\"service\":\"parlor\",\"max_attempts\":1,"
      "\"resumable\":false,\"sticky\":true},"
      "{\"name\":\"charge-box\",\"hostname\":\"co.example\","
      "\"path_prefix\":\"/charge/\",\"route_type\":\"non_idempotent\","
      "\"timeout_ms\":600,\"latency_target_ms\":100,"
      "\"priority\":2,\"service\":\"counter\",\"max_attempts\":1}],"
      "\"services\":[{\"name\":\"parlor\",\"max_connections\":370,"
      "\"health_path\":\"/health\",\"engine\":{\"slots\":64,"
      "\"kv_capacity_tokens\":134496,\"weights_mb\":58000,"
      "\"adapter_slots\":8,\"loads_per_s\":4.6,\"models\":[{\"name\":\"m1\","
      "\"weights_mb\":34300,\"load_s\":6,\"adapters\":0,\"adapter_mb\":40,"
      "\"warm_s\":0.39,\"disk_s\":0.51}]}},"
      "{\"name\":\"counter\",\"max_connections\":110,"
      "\"health_path\":\"/health\"}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static void
set_address (const char *name, int port)
{
  char text[32];

  snprintf (text, sizeof text, "127.0.0.1:%d", port);
  setenv (name, text, 1);
}

void
restart_node (int i)
{
  char name[32];

  nodes[i].pid = start_child ();
  if (nodes[i].pid > 0)
    return;
  const int log = open ("nodes.log", O_CREAT | O_WRONLY | O_APPEND, 0644);

  dup2 (log, STDOUT_FILENO);
  dup2 (log, STDERR_FILENO);
  snprintf (name, sizeof name, "node-%d", i + 1);
  set_address ("GALENAGATE_FRONT_ADDR", nodes[i].front);
  set_address ("GALENAGATE_READY_ADDR", node_ready_ports[i]);
  set_address ("GALENAGATE_METRICS_ADDR", node_metrics_ports[i]);
  set_address ("GALENAGATE_PEER_ADDR", node_peer_ports[i]);
  set_address ("GALENAGATE_PLATFORM_ADDR", store_port);
  setenv ("GALENAGATE_NODE_NAME", name, 1);
  setenv ("GALENAGATE_DOMAIN", zones[i % 3], 1);
  setenv ("GALENAGATE_GRACE_S", "8", 1);
  setenv ("GALENAGATE_LEASE_MS", "3000", 1);
  setenv ("GALENAGATE_CONTACT_MS", "3000", 1);
  setenv ("GALENAGATE_DRAIN_MS", "2000", 1);
  setenv ("GALENAGATE_LINK_MBPS", "1500", 1);
  setenv ("GALENAGATE_RETRY_RATIO", "0.2", 1);
  setenv ("GALENAGATE_RETRY_WINDOW_S", "10", 1);
  setenv ("GALENAGATE_RETRY_SLACK", "56", 1);
  setenv ("GALENAGATE_LOAD_WINDOW_S", "5", 1);
  setenv ("GALENAGATE_FENCED", "true", 1);
  execl (getenv ("GALENAGATE"), "galenagate", "edge", (char *)NULL);
  _exit (127);
}

static void
start_node (int i)
{
  nodes[i].front = free_port ();
  node_ready_ports[i] = free_port ();
  node_metrics_ports[i] = free_port ();
  node_peer_ports[i] = free_port ();
  restart_node (i);
}

static void
start_store (void)
{
  char port[16];

  store_port = free_port ();
  if (start_child () == 0)
    {
      snprintf (port, sizeof port, "%d", store_port);
      execl (getenv ("STORE"), "standin_objects", "--port", port,
             (char *)NULL);
      _exit (127);
    }
  for (int i = 0; i < 100; i++)
    {
      if (call (store_port, "GET", "/objects/config", "") == 200)
        return;
      usleep (50000);
    }
  cannot_run ("store does not start");
}

void
start_deployment (void)
{
  signal (SIGPIPE, SIG_IGN);
  start_store ();
  put_object ("config", "main", configuration);
  for (int i = 0; i < NODES; i++)
    start_node (i);
}

void
await_nodes (void)
{
  const int64_t end = now_ms () + READY_TIMEOUT_MS;

  for (int i = 0; i < NODES; i++)
    while (call (node_ready_ports[i], "GET", "/ready", "") != 200)
      {
        if (now_ms () > end)
          cannot_run ("nodes are not ready");
        usleep (50000);
      }
  usleep (1500000);
}

/* ---- servers ---- */

struct request
{
  char method[16];
  char path[256];
  char id[128];
  char instance[64];
  char prefix[512];
  long last_event;
  long length;
  char body[512]; /* its first bytes */
};

/* What a model server holds. It starts with the model on its disk, at its
   first start also in memory. */
static struct server self;
static bool self_has_model;
static pthread_mutex_t state_lock = PTHREAD_MUTEX_INITIALIZER;
static bool holds_model;
static bool busy;
static long order_count;
static long fence;

static bool
read_request (int fd, struct request *r)
{
  char line[HEAD_MAX_BYTES];
  const char *value;

  *r = (struct request){ 0 };
  if (!read_line (fd, line, sizeof line)
      || sscanf (line, "%15s %255s", r->method, r->path) != 2)
    return false;
  while (true)
    {
      if (!read_line (fd, line, sizeof line))
        return false;
      if (line[0] == '\0')
        break;
      if (header_is (line, "X-Galenagate-Attempt-Id", &value))
        snprintf (r->id, sizeof r->id, "%s", value);
      else if (header_is (line, "X-Galenagate-Expect-Instance", &value))
        snprintf (r->instance, sizeof r->instance, "%s", value);
      else if (header_is (line, "X-Galenagate-Prompt-Prefix", &value))
        snprintf (r->prefix, sizeof r->prefix, "%s", value);
      else if (header_is (line, "Last-Event-Id", &value))
        r->last_event = atol (value);
      else if (header_is (line, "Content-Length", &value))
        r->length = atol (value);
    }
  return read_bytes (fd, r->length, r->body, sizeof r->body);
}

static bool
send_text (int fd, int status, const char *fields, const char *body)
{
  char text[2048];
  const int n = snprintf (text, sizeof text,
                          "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n%s",
                          status, fields, strlen (body), body);

  return send_all (fd, text, (size_t)n);
}

static const char *
held_models (void)
{
  return holds_model
             ? "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"
             : "[]";
}

static bool
send_report (int fd)
{
  char body[512];

  pthread_mutex_lock (&state_lock);
  snprintf (body, sizeof body,
            "{\"stage\":\"colocated\",\"models\":%s,\"busy\":%s,"
            "\"seq\":%ld,\"queued\":0,\"running\":0,\"kv_used\":0,"
            "\"kv_total\":134496,\"handles\":0,\"coming\":[],\"born\":%lld,"
            "\"at_hand\":{\"in_memory\":[],\"on_disk\":[\"m1\"]}}",
            held_models (), busy ? "true" : "false", order_count,
            (long long)self.born);
  pthread_mutex_unlock (&state_lock);
  return send_text (fd, 200, "Content-Type: application/json\r\n", body);
}

static void put_entry (const struct server *s, bool model);

static void *
finish_load (void *unused)
{
  (void)unused;
  usleep (DISK_LOAD_MS * 1000);
  pthread_mutex_lock (&state_lock);
  holds_model = true;
  busy = false;
  put_entry (&self, true);
  pthread_mutex_unlock (&state_lock);
  record ("server s%d holds m1", self.number);
  return NULL;
}

static long
number_after (const char *text, const char *name, long fallback)
{
  const char *at = strstr (text, name);

  return at ? atol (at + strlen (name)) : fallback;
}

/* Returns the status of an order. Only loads of the one model are ordered. */
static int
accept_order (const struct request *r)
{
  const long token = number_after (r->body, "\"fencing_token\":", 0);
  const long expect = number_after (r->body, "\"expect\":", order_count);
  pthread_t thread;

  if (!strstr (r->body, "\"load\"") || !strstr (r->body, "\"m1\""))
    return 400;
  if (token < fence)
    return 412;
  if (busy || expect != order_count)
    return 409;
  fence = token;
  if (holds_model)
    return 200;
  order_count++;
  busy = true;
  pthread_create (&thread, NULL, finish_load, NULL);
  pthread_detach (thread);
  return 202;
}

static bool
answer_order (int fd, const struct request *r)
{
  pthread_mutex_lock (&state_lock);
  const int status = accept_order (r);
  pthread_mutex_unlock (&state_lock);
  record ("server s%d answers order %d %s", self.number, status, r->body);
  return send_text (fd, status, "Content-Type: application/json\r\n", "{}");
}

static bool
peer_has_closed (int fd)
{
  char c;

  return recv (fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Returns the number of events that the path asks for, /chat/EVENTS/... or
   /mail/EVENTS/... */
static int
asked_events (const struct request *r)
{
  const int n = atoi (r->path + strlen ("/chat/"));

  return n > 0 ? n : 8;
}

static bool
send_event (int fd, int number)
{
  char event[64];
  char chunk[128];
  const int n = snprintf (event, sizeof event, "id: %d\ndata: e%d\n\n", number,
                          number);
  const int m = snprintf (chunk, sizeof chunk, "%x\r\n%s\r\n", n, event);

  return send_all (fd, chunk, (size_t)m);
}

/* Streams events 100 ms apart. Stops when the caller has left. */
static bool
run_stream (int fd, const struct request *r)
{
  const int events = asked_events (r);
  char head[512];
  const int n = snprintf (head, sizeof head,
                          "HTTP/1.1 200 OK\r\nX-Galenagate-Attempt-Id: %s\r\n"
                          "X-Galenagate-Server-Seal: s%d.%s\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n",
                          r->id, self.number, r->id);

  usleep (20000);
  if (strstr (r->prefix, DEADLY_PART ":"))
    {
      if (crash_after_event)
        {
          send_all (fd, head, (size_t)n);
          send_event (fd, (int)r->last_event + 1);
          usleep (1000);
        }
      record ("server s%d crashes on %s", self.number, r->id);
      _exit (1);
    }
  if (!send_all (fd, head, (size_t)n))
    return false;
  for (int i = (int)r->last_event + 1; i <= events; i++)
    {
      if (peer_has_closed (fd) || !send_event (fd, i))
        {
          record ("server s%d stops %s, its caller has left", self.number,
                  r->id);
          return false;
        }
      usleep (100000);
    }
  record ("server s%d ends %s", self.number, r->id);
  return send_all (fd, "0\r\n\r\n", 5);
}

static bool
answer_call (int fd, const struct request *r)
{
  char fields[512];

  if (r->id[0] == '\0')
    return send_text (fd, 400, "X-Galenagate-Not-Executed: 1\r\n", "no id");
  snprintf (fields, sizeof fields,
            "X-Galenagate-Attempt-Id: %s\r\n"
            "X-Galenagate-Instance-Id: s%d\r\n",
            r->id, self.number);
  char own[32];
  snprintf (own, sizeof own, "s%d", self.number);
  if ((r->instance[0] && strcmp (r->instance, own) != 0)
      || (self_has_model && !holds_model))
    {
      strcat (fields, "X-Galenagate-Not-Executed: 1\r\n");
      return send_text (fd, 421, fields, "");
    }
  record ("server s%d runs %s %s %s body=%ld", self.number, r->id, r->method,
          r->path, r->length);
  if (self_has_model)
    return run_stream (fd, r);
  usleep (15000);
  strcat (fields, "X-Galenagate-Server-Seal: ");
  strcat (fields, own);
  strcat (fields, "\r\n");
  char body[801];
  memset (body, 'c', sizeof body - 1);
  body[sizeof body - 1] = '\0';
  return send_text (fd, 200, fields, body);
}

static void *
serve_connection (void *arg)
{
  const int fd = (int)(intptr_t)arg;
  struct request r;
  bool open = true;

  while (open && read_request (fd, &r))
    {
      if (strcmp (r.path, "/report") == 0)
        open = send_report (fd);
      else if (strcmp (r.path, "/health") == 0)
        open = send_text (fd, 200, "", "");
      else if (strcmp (r.path, "/order") == 0)
        open = answer_order (fd, &r);
      else
        open = answer_call (fd, &r);
    }
  close (fd);
  return NULL;
}

static void
serve (int listener)
{
  const int one = 1;
  pthread_attr_t detached;

  pthread_attr_init (&detached);
  pthread_attr_setdetachstate (&detached, PTHREAD_CREATE_DETACHED);
  while (true)
    {
      pthread_t thread;
      const int fd = accept (listener, NULL, NULL);

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      if (pthread_create (&thread, &detached, serve_connection,
                          (void *)(intptr_t)fd)
          != 0)
        close (fd);
    }
}

static void
put_entry (const struct server *s, bool model)
{
  char name[16];
  char models[128] = "";
  char spec[512];

  if (model)
    snprintf (models, sizeof models, ",\"stage\":\"colocated\",\"models\":%s",
              held_models ());
  snprintf (name, sizeof name, "s%d", s->number);
  snprintf (spec, sizeof spec,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\",\"seq\":1,"
            "\"cold_remaining_ms\":0,\"born\":%lld%s}",
            model ? "parlor" : "counter", s->port, zones[s->number % 3],
            model ? 64 : 6, (long long)s->born,
            models);
  put_object ("servers", name, spec);
}

bool
server_ended (struct server *s)
{
  return has_ended (s->pid);
}

void
restart_server (struct server *s, bool model)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons ((uint16_t)s->port),
                             .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const int one = 1;
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&sin, sizeof sin) != 0
      || listen (fd, 512) != 0)
    cannot_run ("address of a server");
  /* Servers restart empty. */
  holds_model = s->born == 0;
  s->born = wall_ms ();
  s->pid = start_child ();
  if (s->pid == 0)
    {
      self = *s;
      self_has_model = model;
      serve (fd);
    }
  close (fd);
  put_entry (s, model);
  record ("server s%d starts", s->number);
}

void
start_server (struct server *s, int number, bool model)
{
  s->number = number;
  s->born = 0;
  s->port = free_port ();
  restart_server (s, model);
}
