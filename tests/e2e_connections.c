#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cluster_conn.h"
#include "edgecluster.h"
#include "err.h"
#include "suite.h"

/* Checks that a node answers the requests that it is reading or answering
   while its configuration changes, it is reloaded or stopped, or the limit for
   idle connections passes. */

#define WAIT_MS 15000
/* Time in which the node reads what was sent to it. */
#define SETTLE_MS 200
#define ROUTE_TIMEOUT_MS 6000
#define M1_ONLY "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"

#define HEAD(id)                                                              \
  " HTTP/1.1\r\nHost: test.example\r\nX-Galenagate-Deadline-Ms: 8000\r\n"     \
  "X-Galenagate-Attempt-Id: " id "\r\n"
#define GET(id) "GET /plain/x" HEAD (id) "\r\n"
#define STREAM(id)                                                            \
  HEAD (id) "X-Galenagate-Model: m1\r\nContent-Length: 6\r\n\r\nprompt"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

struct conn_fixture
{
  struct edgecluster edges;
  struct cluster_proc *edge;
  struct cluster_proc *plain;
  struct cluster_proc *engine;
};

static struct conn_fixture
start_conn_fixture (const char *const *plain_flags, uint32_t idle_timeout_ms)
{
  struct conn_fixture s = { .edges = edgecluster_create () };
  struct cluster *c = s.edges.cluster;

  s.plain = cluster_server (c, "plain", "a", plain_flags);
  s.engine = cluster_server (
      c, "lm", "a", CLUSTER_FLAGS ("--models", "m1", "--event-gap-ms", "300"));
  edgecluster_put_server (&s.edges, s.plain, "ready", "[]");
  edgecluster_put_server (&s.edges, s.engine, "ready", M1_ONLY);
  edgecluster_configure_idle (&s.edges, ROUTE_TIMEOUT_MS, idle_timeout_ms);
  s.edge = cluster_edge (c, "a", CLUSTER_FLAGS ("--retry-slack", "54"));
  CU_ASSERT_TRUE_FATAL (cluster_ready (c));
  return s;
}

/* ---- answers ---- */

/* Returns true for the server's whole answer, or a refusal that says when to
   come back. */
static bool
is_answered (const struct answer *a)
{
  return a->whole
         && (a->status == 200 || (a->status == 503 && a->retry_after));
}

/* ---- events while a request is read or answered ---- */

enum event
{
  EVENT_CONFIGURE,
  EVENT_RELOAD,
  EVENT_STOP,
};

/**
 * struct moment - how far a request has come when the event happens.
 * @id: of the last request.
 * @first: bytes sent before the event.
 * @rest: bytes sent after it.
 * @answers: number of requests in both parts.
 * @new_connection: no request was answered on the connection before.
 * @begun: the last answer has begun before the event.
 */
struct moment
{
  const char *name;
  const char *id;
  const char *first;
  const char *rest;
  int answers;
  bool new_connection;
  bool begun;
};

static const struct moment moments[] = {
  { "head", "id-head", "GET /plain/x HTTP/1.1\r\nHost: test.exam",
    "ple\r\nX-Galenagate-Deadline-Ms: 8000\r\n"
    "X-Galenagate-Attempt-Id: id-head\r\n\r\n",
    1, false, false },
  { "head, new connection", "id-new", "GET /pla",
    "in/x" HEAD ("id-new") "\r\n", 1, true, false },
  { "body", "id-body",
    "POST /once/x" HEAD ("id-body") "Content-Length: 8\r\n\r\nhalf", "rest", 1,
    false, false },
  { "no body yet", "id-nobody",
    "POST /once/x" HEAD ("id-nobody") "Content-Length: 4\r\n\r\n", "body", 1,
    true, false },
  { "chunks", "id-chunks",
    "POST /plain/x" HEAD ("id-chunks") CHUNKED "4\r\nhalf\r\n",
    "4\r\nrest\r\n0\r\n\r\n", 1, false, false },
  { "chunk", "id-chunk", "POST /once/x" HEAD ("id-chunk") CHUNKED "8\r\nhalf",
    "rest\r\n0\r\n\r\n", 1, false, false },
  { "awaited", "id-awaited", GET ("id-awaited"), "", 1, false, false },
  { "stream", "id-stream", "POST /stream/x" STREAM ("id-stream"), "", 1, false,
    true },
  { "stream, new connection", "id-whole", "POST /whole/x" STREAM ("id-whole"),
    "", 1, true, true },
  { "idle", "id-idle", "", GET ("id-idle"), 1, false, false },
  { "not used", "id-unused", "", GET ("id-unused"), 1, true, false },
  { "two requests", "id-second", GET ("id-first") GET ("id-second"), "", 2,
    false, false },
  { "second request", "id-later", "POST /stream/x" STREAM ("id-earlier"),
    GET ("id-later"), 2, false, false },
};
#define MOMENTS (sizeof moments / sizeof *moments)

static bool
log_has (const struct cluster_proc *p, const char *text)
{
  FILE *f = fopen (p->log, "r");
  char line[1024];
  bool found = false;

  while (f && !found && fgets (line, sizeof line, f))
    found = strstr (line, text) != NULL;
  if (f)
    fclose (f);
  return found;
}

static bool
log_has_reload (void *ctx)
{
  return log_has (ctx, "event=reload");
}

static bool
log_has_drain (void *ctx)
{
  return log_has (ctx, "event=drain");
}

static bool
configuration_in_force (void *ctx)
{
  const struct conn_fixture *s = ctx;
  struct str path = str_printf ("/v%lu/x", s->edges.version - 2);
  struct cluster_reply r
      = edgecluster_call (s->edge, "GET", path.data, "id-probe", NULL, NULL);
  const bool ok = r.status == 200;

  cluster_reply_free (&r);
  str_free (&path);
  return ok;
}

static void
cause_event (struct conn_fixture *s, enum event event)
{
  if (event == EVENT_CONFIGURE)
    edgecluster_configure (&s->edges, ROUTE_TIMEOUT_MS + 1000);
  else
    cluster_signal (s->edge, event == EVENT_STOP ? SIGTERM : SIGHUP);
}

static void
await_event (struct conn_fixture *s, enum event event)
{
  if (event == EVENT_CONFIGURE)
    CU_ASSERT_TRUE (cluster_poll_until (configuration_in_force, s, WAIT_MS))
  else
    CU_ASSERT_TRUE (cluster_poll_until (event == EVENT_STOP ? log_has_drain
                                                            : log_has_reload,
                                        s->edge, WAIT_MS));
}

static void
begin_moments (const struct conn_fixture *s, struct connection *conns)
{
  for (size_t i = 0; i < MOMENTS; i++)
    {
      conns[i] = connection_open (s->edge, 0);
      if (moments[i].new_connection)
        continue;
      CU_ASSERT_TRUE (connection_send (&conns[i], GET ("id-before")));
      CU_ASSERT_EQUAL (connection_read_answer (&conns[i]).status, 200);
    }
  for (size_t i = 0; i < MOMENTS; i++)
    CU_ASSERT_TRUE (connection_send (&conns[i], moments[i].first));
  usleep (SETTLE_MS * 1000);
}

static void
send_rest (const struct connection *conns)
{
  for (size_t i = 0; i < MOMENTS; i++)
    CU_ASSERT_TRUE (connection_send (&conns[i], moments[i].rest));
}

/* Returns true if all requests were answered. The connection may end instead
   after an answer that announces this, if the next request did not run.
   @stops: the last answer must announce it unless it had begun. */
static bool
moment_answered (const struct conn_fixture *s, const struct moment *m,
                 struct connection *conn, bool stops)
{
  for (int i = 0; i < m->answers; i++)
    {
      const struct answer a = connection_read_answer (conn);

      if (!is_answered (&a))
        return false;
      if (a.closes && i + 1 < m->answers)
        return edgecluster_run_count (s->plain, m->id) == 0;
      if (stops && i + 1 == m->answers && !m->begun && !a.closes)
        return false;
    }
  return true;
}

/* @unread: the event happens while the rest has been sent, but not read. */
static void
run_event (enum event event, bool unread)
{
  struct conn_fixture s
      = start_conn_fixture (CLUSTER_FLAGS ("--delay-ms", "1000"), 15000);
  struct connection conns[MOMENTS];

  begin_moments (&s, conns);
  if (unread)
    {
      cluster_signal (s.edge, SIGSTOP);
      send_rest (conns);
    }
  cause_event (&s, event);
  if (unread)
    cluster_signal (s.edge, SIGCONT);
  await_event (&s, event);
  if (!unread)
    send_rest (conns);
  for (size_t i = 0; i < MOMENTS; i++)
    {
      const bool ok
          = moment_answered (&s, &moments[i], &conns[i], event == EVENT_STOP);

      CU_ASSERT_TRUE (ok);
      if (!ok)
        fprintf (stderr, "%s%s: no whole answer\n", moments[i].name,
                 unread ? ", not read yet" : "");
      connection_close (&conns[i]);
    }
  edgecluster_destroy (&s.edges);
}

/* Guards against a change of the configuration that ends connections whose
   requests are being read or answered. */
static void
test_configuration (void)
{
  run_event (EVENT_CONFIGURE, false);
  run_event (EVENT_CONFIGURE, true);
}

/* Guards against the same failure on SIGHUP. */
static void
test_reload (void)
{
  run_event (EVENT_RELOAD, false);
  run_event (EVENT_RELOAD, true);
}

/* Guards against the same failure on SIGTERM. */
static void
test_stop (void)
{
  run_event (EVENT_STOP, false);
  run_event (EVENT_STOP, true);
}

/* ---- responses that are sent while the node stops ---- */

/* After SIGTERM the node accepts connections for less than this time, and it
   exits later. */
#define LISTEN_MS 3300
/* Holds only a small part of a large response. */
#define SMALL_BUFFER_BYTES 4096

/* Guards against a node that exits while a response that it has received
   completely is still being sent to a client that reads slowly. */
static void
test_stop_slow_reader (void)
{
  struct conn_fixture s = start_conn_fixture (
      CLUSTER_FLAGS ("--body-kb", "3072", "--event-gap-ms", "1"), 15000);
  struct connection c = connection_open (s.edge, SMALL_BUFFER_BYTES);

  CU_ASSERT_TRUE (connection_send (&c, GET ("id-large")));
  CU_ASSERT_TRUE (connection_receive (&c));
  cluster_signal (s.edge, SIGTERM);
  usleep (LISTEN_MS * 1000);

  const struct answer a = connection_read_answer (&c);
  CU_ASSERT_EQUAL (a.status, 200);
  CU_ASSERT_TRUE (a.whole);
  connection_close (&c);
  edgecluster_destroy (&s.edges);
}

/* Guards against a connection that is reset after a response that announces
   its end, because the client's next request is unread: the client would lose
   the rest of the response. */
static void
test_stop_unread_request (void)
{
  struct conn_fixture s = start_conn_fixture (
      CLUSTER_FLAGS ("--body-kb", "200", "--event-gap-ms", "1", "--delay-ms",
                     "1000"),
      15000);
  struct connection c = connection_open (s.edge, SMALL_BUFFER_BYTES);

  CU_ASSERT_TRUE (connection_send (&c, GET ("id-first")));
  usleep (SETTLE_MS * 1000);
  CU_ASSERT_TRUE (connection_send (&c, GET ("id-second")));
  cluster_signal (s.edge, SIGTERM);
  CU_ASSERT_TRUE (connection_receive (&c));
  usleep (LISTEN_MS * 1000);

  const struct answer first = connection_read_answer (&c);
  const struct answer second = connection_read_answer (&c);
  CU_ASSERT_TRUE (first.status == 200 && first.whole);
  CU_ASSERT_TRUE (second.status == 200 && second.whole && second.closes);
  connection_close (&c);
  edgecluster_destroy (&s.edges);
}

/* ---- limit for idle connections ---- */

/* The node closes a connection at least this long after the limit. */
#define IDLE_TIMEOUT_MS 1000
#define PIECE_GAP_MS 600

/* Guards against an idle limit that ends a response that takes longer. */
static void
test_idle_response (void)
{
  struct conn_fixture s = start_conn_fixture (
      CLUSTER_FLAGS ("--delay-ms", "3000"), IDLE_TIMEOUT_MS);
  static const char *const requests[]
      = { GET ("id-slow"), "POST /stream/x" STREAM ("id-stream"),
          "POST /whole/x" STREAM ("id-whole") };
  struct connection conns[3];

  for (int i = 0; i < 3; i++)
    {
      conns[i] = connection_open (s.edge, 0);
      CU_ASSERT_TRUE (connection_send (&conns[i], requests[i]));
    }
  for (int i = 0; i < 3; i++)
    {
      const struct answer a = connection_read_answer (&conns[i]);

      CU_ASSERT_EQUAL (a.status, 200);
      CU_ASSERT_TRUE (a.whole);
      connection_close (&conns[i]);
    }
  edgecluster_destroy (&s.edges);
}

/* Pieces of requests that are sent with pauses of PIECE_GAP_MS. Each
   connection has been idle for as long before. */
static const char *const slow_requests[][7] = {
  { "GET /plain/x", " HTTP/1.1\r\nHost: ", "test.example\r\n",
    "X-Galenagate-Deadline-Ms: 8000\r\n", "X-Galenagate-Attempt-Id: id-a\r\n",
    "X-Test: 1\r\n", "\r\n" },
  { "POST /once/x" HEAD ("id-b"), "Content-Length: 20\r\n\r\n", "aaaa", "bbbb",
    "cccc", "dddd", "eeee" },
  { "POST /plain/x" HEAD ("id-c"), CHUNKED, "4\r\naaaa\r\n", "8\r\nbbbb",
    "bbbb\r\n", "4\r\ncccc\r\n", "0\r\n\r\n" },
};
#define SLOW_REQUESTS (sizeof slow_requests / sizeof *slow_requests)

/* Guards against an idle limit that ends a connection although its client
   is sending a request without pauses as long as the limit. */
static void
test_idle_request (void)
{
  struct conn_fixture s
      = start_conn_fixture (CLUSTER_FLAGS (), IDLE_TIMEOUT_MS);
  struct connection conns[SLOW_REQUESTS];

  for (size_t i = 0; i < SLOW_REQUESTS; i++)
    {
      conns[i] = connection_open (s.edge, 0);
      CU_ASSERT_TRUE (connection_send (&conns[i], GET ("id-before")));
      CU_ASSERT_EQUAL (connection_read_answer (&conns[i]).status, 200);
    }
  for (int piece = 0; piece < 7; piece++)
    {
      usleep (PIECE_GAP_MS * 1000);
      for (size_t i = 0; i < SLOW_REQUESTS; i++)
        connection_send (&conns[i], slow_requests[i][piece]);
    }
  for (size_t i = 0; i < SLOW_REQUESTS; i++)
    {
      const struct answer a = connection_read_answer (&conns[i]);

      CU_ASSERT_EQUAL (a.status, 200);
      CU_ASSERT_TRUE (a.whole);
      if (!a.whole)
        fprintf (stderr, "slow request %zu: no whole answer\n", i);
      connection_close (&conns[i]);
    }
  edgecluster_destroy (&s.edges);
}

/* Guards against connections that stay open although their clients send
   nothing, or only part of a request, and against a close in the middle of a
   request that the log does not show. */
static void
test_idle_close (void)
{
  static const char *const parts[]
      = { "", "GET /plain/x HTTP/1.1\r\n",
          "POST /once/x" HEAD ("id-part") "Content-Length: 8\r\n\r\nhalf" };
  struct conn_fixture s
      = start_conn_fixture (CLUSTER_FLAGS (), IDLE_TIMEOUT_MS);

  for (int i = 0; i < 3; i++)
    {
      struct connection c = connection_open (s.edge, 0);

      CU_ASSERT_TRUE (connection_send (&c, parts[i]));
      CU_ASSERT_EQUAL (connection_read_answer (&c).status, 0);
      connection_close (&c);
    }
  CU_ASSERT_EQUAL (edgecluster_run_count (s.plain, "id-part"), 0);
  CU_ASSERT_TRUE (log_has (
      s.edge, "event=close cause=idle-timeout state=request-incomplete"));
  CU_ASSERT_FALSE (log_has (s.edge, "event=closed-unanswered"));
  edgecluster_destroy (&s.edges);
}

static const struct suite_case cases[] = {
  { "change of the configuration", test_configuration },
  { "SIGHUP", test_reload },
  { "SIGTERM", test_stop },
  { "SIGTERM, client reads slowly", test_stop_slow_reader },
  { "SIGTERM, unread request", test_stop_unread_request },
  { "idle limit, long response", test_idle_response },
  { "idle limit, slow request", test_idle_request },
  { "idle limit, no request", test_idle_close },
};
TEST_SUITE ("connections", cases)
