#define _GNU_SOURCE
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Stand-in for a server of a plain service, as the pages describe it. It
   writes its entry to the store before it accepts the first connection, and
   then at each heartbeat. It runs resumable streams under /s/ and short
   requests elsewhere, and logs each run.

   Arguments: PORT ID VERSION SERVICE STORE-PORT LOG EVENTS GAP-MS

   Variables: CRASH_PART, a part of prompts on which it crashes when it begins
   to write an answer, after CRASH_EVENTS events. */

#define HEARTBEAT_MS 1200
#define HEAD_MAX 32768
#define WORK_MS 15

static int port;
static const char *id;
static const char *version;
static const char *service;
static int store;
static int log_fd;
static int events;
static int gap_ms;
static const char *crash_part;
static int crash_events;
static long born;
static long seq;

static long
wall_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
sleep_ms (long ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&t, NULL);
}

static void
log_line (const char *fmt, ...)
{
  char line[512];
  va_list ap;

  va_start (ap, fmt);
  const int n = vsnprintf (line, sizeof line, fmt, ap);
  va_end (ap);
  if (write (log_fd, line, (size_t)n) != n)
    abort ();
}

static int
connect_store (void)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((unsigned short)store),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Returns the status, 0 without an answer. */
static int
write_entry (const char *method, const char *path)
{
  char body[1024];
  char text[2048];
  char answer[512] = "";
  const int fd = connect_store ();

  if (fd < 0)
    return 0;
  snprintf (body, sizeof body,
            "{\"metadata\":{\"name\":\"%s\"},\"spec\":{\"service\":\"%s\","
            "\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\",\"version\":"
            "\"%s\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,"
            "\"born\":%ld,\"seq\":%ld}}",
            id, service, port, version, born, seq);
  const int n = snprintf (text, sizeof text,
                          "%s %s HTTP/1.1\r\nHost: store\r\nX-Test: 1\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                          method, path, strlen (body), body);
  if (send (fd, text, (size_t)n, MSG_NOSIGNAL) == n)
    while (strlen (answer) < 16
           && recv (fd, answer + strlen (answer),
                    sizeof answer - strlen (answer) - 1, 0)
                  > 0)
      ;
  close (fd);
  return strlen (answer) >= 12 ? atoi (answer + 9) : 0;
}

static void
beat (void)
{
  char path[128];

  seq++;
  snprintf (path, sizeof path, "/objects/servers/%s", id);
  if (write_entry ("PUT", path) == 404)
    write_entry ("POST", "/objects/servers");
}

static void *
beat_on (void *unused)
{
  (void)unused;
  for (;;)
    {
      sleep_ms (HEARTBEAT_MS);
      beat ();
    }
  return NULL;
}

/* ---- requests ---- */

struct request
{
  char head[HEAD_MAX];
  size_t len;
  char attempt[128];
  char expected[128];
  long last_event;
  long deadline_ms;
  bool crashes;
};

static void
field (const struct request *r, const char *name, char *out, size_t size)
{
  char key[64];

  out[0] = '\0';
  snprintf (key, sizeof key, "\r\n%s:", name);
  const char *at = strcasestr (r->head, key);
  if (!at)
    return;
  at += strlen (key);
  while (*at == ' ')
    at++;
  const size_t n = strcspn (at, "\r\n");
  snprintf (out, size, "%.*s", (int)n, at);
}

/* Reads a head and drops the body. Returns false when the connection ends. */
static bool
read_request (int fd, struct request *r)
{
  char text[512];
  char *end;

  r->len = 0;
  r->head[0] = '\0';
  while (!(end = strstr (r->head, "\r\n\r\n")))
    {
      if (r->len + 1 >= sizeof r->head)
        return false;
      const ssize_t n
          = recv (fd, r->head + r->len, sizeof r->head - 1 - r->len, 0);
      if (n <= 0)
        return false;
      r->len += (size_t)n;
      r->head[r->len] = '\0';
    }
  field (r, "Content-Length", text, sizeof text);
  size_t left = (size_t)atol (text);
  const size_t got = r->len - (size_t)(end + 4 - r->head);
  left = left > got ? left - got : 0;
  while (left > 0)
    {
      char part[4096];
      const ssize_t n
          = recv (fd, part, left < sizeof part ? left : sizeof part, 0);

      if (n <= 0)
        return false;
      left -= (size_t)n;
    }
  end[2] = '\0';
  field (r, "X-Galenagate-Attempt-Id", r->attempt, sizeof r->attempt);
  field (r, "X-Galenagate-Expect-Instance", r->expected, sizeof r->expected);
  field (r, "Last-Event-Id", text, sizeof text);
  r->last_event = atol (text);
  field (r, "X-Galenagate-Deadline-Ms", text, sizeof text);
  r->deadline_ms = text[0] ? atol (text) : 60000;
  field (r, "X-Galenagate-Prompt-Prefix", text, sizeof text);
  r->crashes = crash_part && strstr (text, crash_part);
  return true;
}

static bool
send_text (int fd, const char *fmt, ...)
{
  char text[2048];
  va_list ap;

  va_start (ap, fmt);
  const int n = vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  return send (fd, text, (size_t)n, MSG_NOSIGNAL) == n;
}

static bool
caller_left (int fd)
{
  struct pollfd p = { fd, POLLRDHUP, 0 };

  return poll (&p, 1, 0) > 0;
}

static bool
answer (int fd, const struct request *r, int status, const char *more,
        const char *body)
{
  return send_text (fd,
                    "HTTP/1.1 %d X\r\nX-Galenagate-Attempt-Id: %s\r\n"
                    "X-Galenagate-Server-Seal: %s.%s\r\n"
                    "X-Galenagate-Instance-Id: %s\r\nKeep-Alive: "
                    "timeout=5\r\n%sContent-Length: %zu\r\n\r\n%s",
                    status, r->attempt, id, version, id, more,
                    strlen (body),
                    body);
}

static bool
run_stream (int fd, const struct request *r)
{
  const long end = wall_ms () + r->deadline_ms;

  if (r->crashes && crash_events < 0)
    _exit (9);
  if (!send_text (fd,
                  "HTTP/1.1 200 OK\r\nX-Galenagate-Attempt-Id: %s\r\n"
                  "X-Galenagate-Server-Seal: %s.%s\r\nKeep-Alive: timeout=5"
                  "\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n",
                  r->attempt, id, version))
    return false;
  for (long i = r->last_event + 1; i <= events; i++)
    {
      char event[128];

      if (r->crashes && i > crash_events)
        _exit (9);
      sleep_ms (gap_ms);
      const int n = snprintf (event, sizeof event,
                              "id: %ld\ndata: %s %s %ld\n\n", i, version, id,
                              i);
      if (caller_left (fd) || wall_ms () > end
          || !send_text (fd, "%x\r\n%s\r\n", n, event))
        return false;
    }
  return send_text (fd, "0\r\n\r\n");
}

static bool
serve (int fd, const struct request *r)
{
  const char *path = strchr (r->head, ' ');

  if (path && strncmp (path + 1, "/health", 7) == 0)
    return answer (fd, r, 200, "", "ok");
  if (r->attempt[0] == '\0')
    return answer (fd, r, 400, "X-Galenagate-Not-Executed: 1\r\n", "no id");
  if (r->expected[0] && strcmp (r->expected, id) != 0)
    return answer (fd, r, 421, "X-Galenagate-Not-Executed: 1\r\n", "other");
  log_line ("%ld run %s at %s %s after event %ld\n", wall_ms (), r->attempt,
            id, version, r->last_event);
  if (path && strncmp (path + 1, "/s/", 3) == 0)
    return run_stream (fd, r);
  sleep_ms (WORK_MS);
  return answer (fd, r, 200, "", "done\n");
}

static void *
serve_connection (void *ctx)
{
  const int fd = (int)(long)ctx;
  struct request *r = malloc (sizeof *r);

  while (read_request (fd, r) && serve (fd, r))
    ;
  free (r);
  close (fd);
  return NULL;
}

static void
start_thread (void *(*fn) (void *), void *ctx)
{
  pthread_attr_t a;
  pthread_t t;

  pthread_attr_init (&a);
  pthread_attr_setdetachstate (&a, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&a, 256 * 1024);
  if (pthread_create (&t, &a, fn, ctx) != 0)
    abort ();
  pthread_attr_destroy (&a);
}

int
main (int argc, char **argv)
{
  const int one = 1;

  if (argc != 9)
    return 2;
  port = atoi (argv[1]);
  id = argv[2];
  version = argv[3];
  service = argv[4];
  store = atoi (argv[5]);
  log_fd = open (argv[6], O_WRONLY | O_CREAT | O_APPEND, 0644);
  events = atoi (argv[7]);
  gap_ms = atoi (argv[8]);
  crash_part = getenv ("CRASH_PART");
  crash_events = getenv ("CRASH_EVENTS") ? atoi (getenv ("CRASH_EVENTS")) : 0;
  born = wall_ms ();
  signal (SIGPIPE, SIG_IGN);
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((unsigned short)port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const int fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0)
    return 3;
  beat ();
  log_line ("%ld start %s %s, entry stored\n", wall_ms (), id, version);
  if (listen (fd, 256) != 0)
    return 3;
  start_thread (beat_on, NULL);
  for (;;)
    {
      const int c = accept (fd, NULL, NULL);

      if (c < 0)
        continue;
      setsockopt (c, IPPROTO_TCP, 1 /* TCP_NODELAY */, &one, sizeof one);
      start_thread (serve_connection, (void *)(long)c);
    }
}
