#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edgecluster.h"
#include "err.h"
#include "netaddr.h"
#include "suite.h"

/* Guards against a node whose memory or descriptors grow with the number of
   clients that send or read as they like. The crowds and bounds were fixed
   before the node had limits for them. */

#define BUDGET_MB "32"
#define MAX_CLIENTS "200"
/* The process without clients (12 MB), the budget, and 30 MB for what is not
   counted: allocator, copies while buffers grow, logs. */
#ifdef __SANITIZE_ADDRESS__
/* The sanitizer keeps 256 MB of freed memory and surrounds blocks. */
#define MEMORY_MAX_KB (512 * 1024)
#else
#define MEMORY_MAX_KB (74 * 1024)
#endif
/* Connections of clients, 100 to servers, and 60 others. */
#define DESCRIPTORS_MAX 360
#define CROWD_MAX 600
#define BODY_LIMIT (4 * 1024 * 1024)
#define ROUTE_TIMEOUT_MS 8000
/* The crowd stops when none of its clients could send for this long. */
#define STALL_MS 1000
#define BURST_BYTES (64 * 1024)
#define RECEIVE_BUFFER_BYTES 4096
/* An ordinary client reads about half as fast as a server sends. */
#define ORDINARY_BYTES (24 * 1024 * 1024)
#define PACED_BYTES 16384

#define HEAD                                                                  \
  " HTTP/1.1\r\nHost: test.example\r\nX-Galenagate-Deadline-Ms: 8000\r\n"     \
  "X-Galenagate-Attempt-Id: crowd\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

/**
 * struct crowd - clients that all do the same.
 * @head: sent once.
 * @pattern: sent again and again after the head; NULL for letters.
 * @bytes: number of bytes that each client sends after the head.
 * @clients: their number.
 * @body_kb: size of the servers' responses.
 * @delay_ms: time that servers take for a call.
 */
struct crowd
{
  const char *head;
  struct str pattern;
  size_t bytes;
  size_t clients;
  const char *body_kb;
  const char *delay_ms;
};

struct crowd_fixture
{
  struct edgecluster edges;
  struct cluster_proc *edge;
  struct cluster_proc *server;
  int fds[CROWD_MAX];
  size_t sent[CROWD_MAX];
};

static struct crowd_fixture *
start_fixture (const struct crowd *x)
{
  struct crowd_fixture *f = calloc (1, sizeof *f);
  struct cluster *c;

  f->edges = edgecluster_create ();
  f->edges.max_body_bytes = BODY_LIMIT;
  c = f->edges.cluster;
  f->server = cluster_server (
      c, "plain", "a",
      CLUSTER_FLAGS ("--body-kb", x->body_kb ? x->body_kb : "0",
                     "--event-gap-ms", "1", "--delay-ms",
                     x->delay_ms ? x->delay_ms : "0"));
  edgecluster_put_server (&f->edges, f->server, "ready", "[]");
  edgecluster_configure (&f->edges, ROUTE_TIMEOUT_MS);
  f->edge = cluster_edge (c, "a",
                          CLUSTER_FLAGS ("--client-memory-mb", BUDGET_MB,
                                         "--max-clients", MAX_CLIENTS));
  CU_ASSERT_TRUE_FATAL (cluster_ready (c));
  return f;
}

/* ---- measurements ---- */

static long
peak_memory_kb (const struct cluster_proc *p)
{
  char path[64];
  char line[256];
  long kb = -1;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)p->pid);
  file = fopen (path, "r");
  while (file && kb < 0 && fgets (line, sizeof line, file))
    if (strncmp (line, "VmHWM:", 6) == 0)
      kb = strtol (line + 6, NULL, 10);
  if (file)
    fclose (file);
  return kb;
}

static int
descriptor_count (const struct cluster_proc *p)
{
  char link[64];
  char target[8];
  int n = 0;

  for (int fd = 0; fd < 4096; fd++)
    {
      snprintf (link, sizeof link, "/proc/%d/fd/%d", (int)p->pid, fd);
      n += readlink (link, target, sizeof target) > 0;
    }
  return n;
}

/* ---- clients ---- */

static int
connect_client (const struct cluster_proc *edge, bool reads_slowly)
{
  const int fd = socket (AF_INET, SOCK_STREAM, 0);
  const int bytes = RECEIVE_BUFFER_BYTES;
  struct sockaddr_in sin;

  CU_ASSERT_TRUE_FATAL (
      netaddr_parse (str_from (edge->url + strlen ("http://")), &sin));
  if (reads_slowly)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&sin, sizeof sin), 0);
  return fd;
}

/* Sends as much as the connection takes. Returns false if it took nothing. */
static bool
send_some (struct crowd_fixture *f, const struct crowd *x, size_t i,
           const char *burst, size_t burst_len)
{
  const size_t head_len = strlen (x->head);
  const size_t at = f->sent[i];
  ssize_t n;

  if (f->fds[i] < 0 || at >= head_len + x->bytes)
    return false;
  if (at < head_len)
    n = send (f->fds[i], x->head + at, head_len - at,
              MSG_NOSIGNAL | MSG_DONTWAIT);
  else
    {
      const size_t offset = (at - head_len) % burst_len;
      size_t len = burst_len - offset;

      if (len > head_len + x->bytes - at)
        len = head_len + x->bytes - at;
      n = send (f->fds[i], burst + offset, len, MSG_NOSIGNAL | MSG_DONTWAIT);
    }
  if (n < 0 && errno != EAGAIN)
    f->sent[i] = SIZE_MAX; /* closed by the node */
  if (n > 0)
    f->sent[i] += (size_t)n;
  return n > 0;
}

static void
run_crowd (struct crowd_fixture *f, const struct crowd *x)
{
  const struct str pattern
      = x->pattern.len > 0 ? x->pattern : STR ("abcdefgh");
  const size_t burst_len
      = (BURST_BYTES + pattern.len - 1) / pattern.len * pattern.len;
  char *burst = malloc (burst_len);
  int idle_ms = 0;

  for (size_t i = 0; i < burst_len; i++)
    burst[i] = pattern.data[i % pattern.len];
  for (size_t i = 0; i < x->clients; i++)
    f->fds[i] = connect_client (f->edge, x->body_kb != NULL);
  while (idle_ms < STALL_MS)
    {
      bool any = false;

      for (size_t i = 0; i < x->clients; i++)
        any |= send_some (f, x, i, burst, burst_len);
      if (any)
        idle_ms = 0;
      else
        {
          poll (NULL, 0, 10);
          idle_ms += 10;
        }
    }
  free (burst);
}

static void
check_crowd (const char *name, const struct crowd *x)
{
  struct crowd_fixture *f = start_fixture (x);
  const long before_kb = peak_memory_kb (f->edge);

  run_crowd (f, x);
  const long peak_kb = peak_memory_kb (f->edge);
  const int descriptors = descriptor_count (f->edge);
  struct cluster_reply r
      = edgecluster_call (f->edge, "POST", "/plain/x", "ordinary", NULL, "b");

  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT_TRUE (peak_kb > 0 && peak_kb <= MEMORY_MAX_KB);
  CU_ASSERT_TRUE (descriptors > 0 && descriptors <= DESCRIPTORS_MAX);
  printf ("%s: peak %ld MB (before %ld), %d descriptors, ordinary %ld\n", name,
          peak_kb / 1024, before_kb / 1024, descriptors, r.status);
  cluster_reply_free (&r);
  for (size_t i = 0; i < x->clients; i++)
    close (f->fds[i]);
  edgecluster_destroy (&f->edges);
  free (f);
}

/* ---- cases ---- */

/* A chunk of 64 KiB. */
static struct str
large_chunk (void)
{
  static char text[BURST_BYTES + 16];
  const int head = snprintf (text, sizeof text, "10000\r\n");

  memset (text + head, 'x', BURST_BYTES);
  text[head + BURST_BYTES] = '\r';
  text[head + BURST_BYTES + 1] = '\n';
  return (struct str){ text, (size_t)head + BURST_BYTES + 2 };
}

static void
test_large_chunks (void)
{
  check_crowd ("large chunks",
               &(struct crowd){ .head = "POST /plain/x" HEAD CHUNKED "\r\n",
                                .pattern = large_chunk (),
                                .bytes = 3 << 20,
                                .clients = 60 });
}

/* Chunk heads take most of what is sent: 1 MB of body for 6 MB. */
static void
test_small_chunks (void)
{
  check_crowd ("one-byte chunks",
               &(struct crowd){ .head = "POST /plain/x" HEAD CHUNKED "\r\n",
                                .pattern = STR ("1\r\nx\r\n"),
                                .bytes = 6 << 20,
                                .clients = 60 });
}

static void
test_cut_length (void)
{
  check_crowd ("length, cut",
               &(struct crowd){ .head = "POST /plain/x" HEAD
                                        "Content-Length: 3145729\r\n\r\n",
                                .bytes = 3 << 20,
                                .clients = 60 });
}

/* The node reads on only once it has answered "100 Continue". */
static void
test_expect (void)
{
  check_crowd ("100-continue",
               &(struct crowd){ .head = "POST /plain/x" HEAD
                                        "Expect: 100-continue\r\n"
                                        "Content-Length: 3145729\r\n\r\n",
                                .bytes = 3 << 20,
                                .clients = 60 });
}

static void
test_announced (void)
{
  check_crowd ("over the limit, announced",
               &(struct crowd){ .head = "POST /plain/x" HEAD
                                        "Content-Length: 67108864\r\n\r\n",
                                .bytes = 6 << 20,
                                .clients = 60 });
}

static void
test_over_limit (void)
{
  check_crowd ("over the limit, sent",
               &(struct crowd){ .head = "POST /plain/x" HEAD CHUNKED "\r\n",
                                .pattern = large_chunk (),
                                .bytes = 6 << 20,
                                .clients = 60 });
}

static void
test_whole (void)
{
  check_crowd ("whole bodies",
               &(struct crowd){ .head = "POST /plain/x" HEAD
                                        "Content-Length: 3145728\r\n\r\n",
                                .bytes = 3 << 20,
                                .clients = 60,
                                .delay_ms = "1000" });
}

/* ---- HTTP/2 ---- */

#define FRAME_DATA 0
#define FRAME_HEADERS 1
#define FRAME_SETTINGS 4
#define FLAG_END_HEADERS 4
#define HTTP2_STREAMS 60
#define HTTP2_FRAMES 13 /* of each stream; fit into its window of 256 KB */
#define HTTP2_FRAME_BYTES 16384

static void
add_frame (struct buf *out, char type, char flags, uint32_t stream,
           struct str payload)
{
  const char head[] = { (char)(payload.len >> 16),
                        (char)(payload.len >> 8),
                        (char)payload.len,
                        type,
                        flags,
                        0,
                        0,
                        (char)(stream >> 8),
                        (char)stream };

  buf_append (out, (struct str){ head, sizeof head });
  buf_append (out, payload);
}

/* Guards against a connection that holds as many bodies as it has streams:
   each client begins 60 of them and ends none. */
static void
test_http2 (void)
{
  static const char data[HTTP2_FRAME_BYTES];
  struct buf bytes = { 0 };

  buf_append (&bytes, STR ("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"));
  add_frame (&bytes, FRAME_SETTINGS, 0, 0, (struct str){ 0 });
  for (uint32_t i = 0; i < HTTP2_STREAMS; i++)
    {
      /* POST, http, :path, :authority; see RFC 7541, appendix A. */
      add_frame (&bytes, FRAME_HEADERS, FLAG_END_HEADERS, 2 * i + 1,
                 STR ("\x83\x86\x04\x08/plain/x\x01\x0ctest.example"));
      for (int n = 0; n < HTTP2_FRAMES; n++)
        add_frame (&bytes, FRAME_DATA, 0, 2 * i + 1,
                   (struct str){ data, sizeof data });
    }
  check_crowd ("HTTP/2", &(struct crowd){ .head = "",
                                          .pattern = buf_str (&bytes),
                                          .bytes = bytes.len,
                                          .clients = 12 });
  buf_free (&bytes);
}

static void
test_half_head (void)
{
  check_crowd ("half a head",
               &(struct crowd){ .head = "POST /plain/x HTTP/1.1\r\nHost: tes",
                                .clients = CROWD_MAX });
}

static void
test_slow_readers (void)
{
  check_crowd ("slow readers",
               &(struct crowd){ .head = "GET /plain/x" HEAD "\r\n",
                                .clients = 60,
                                .body_kb = "16384" });
}

/* Guards against a client that is cut because its server sends faster than it
   reads. */
static void
test_ordinary_reader (void)
{
  const struct crowd x = { .head = "GET /plain/x" HEAD "\r\n",
                           .clients = 0,
                           .body_kb = "24576" };
  struct crowd_fixture *f = start_fixture (&x);
  const int fd = connect_client (f->edge, true);
  static char bytes[16384];
  size_t received = 0;
  ssize_t n;

  CU_ASSERT_EQUAL (send (fd, x.head, strlen (x.head), MSG_NOSIGNAL),
                   (ssize_t)strlen (x.head));
  while (received < ORDINARY_BYTES
         && (n = recv (fd, bytes, sizeof bytes, 0)) > 0)
    {
      received += (size_t)n;
      if (received / PACED_BYTES != (received - (size_t)n) / PACED_BYTES)
        poll (NULL, 0, 2);
    }
  CU_ASSERT_TRUE (received >= ORDINARY_BYTES);
  printf ("ordinary reader: %zu bytes, peak %ld MB\n", received,
          peak_memory_kb (f->edge) / 1024);
  close (fd);
  edgecluster_destroy (&f->edges);
  free (f);
}

static const struct suite_case cases[] = {
  { "large chunks", test_large_chunks },
  { "one-byte chunks", test_small_chunks },
  { "length, cut", test_cut_length },
  { "100-continue", test_expect },
  { "over the limit, announced", test_announced },
  { "over the limit, sent", test_over_limit },
  { "whole bodies", test_whole },
  { "HTTP/2", test_http2 },
  { "half a head", test_half_head },
  { "slow readers", test_slow_readers },
  { "ordinary reader", test_ordinary_reader },
};
TEST_SUITE ("crowds", cases)
