#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <curl/curl.h>

#include "edgecluster.h"
#include "err.h"
#include "netaddr.h"
#include "suite.h"

/* Checks which calls reach the servers when clients disconnect before their
   calls are forwarded or answered. */

#define CLIENTS 20
/* Time from a client's request to its disconnection. */
#define DISCONNECT_DELAY_MS 300
/* Time from the disconnection until the stopped node is resumed. */
#define STOPPED_MS 1000
/* Time in which the node forwards all calls that it is going to forward. */
#define SETTLE_MS 500
#define WAIT_MS 15000
#define ID_SIZE 32
#define M1_ONLY "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"

/* Request heads without the method and the path; %s is the call's id. */
#define HEADERS                                                               \
  " HTTP/1.1\r\nHost: test.example\r\nX-Galenagate-Deadline-Ms: 6000\r\n"     \
  "X-Galenagate-Attempt-Id: %s\r\n"
#define GET_PLAIN "GET /plain/x" HEADERS "\r\n"
#define POST_ONCE "POST /once/x" HEADERS "Content-Length: 4\r\n\r\nbody"
#define POST_CHUNKS                                                           \
  "POST /plain/x" HEADERS                                                     \
  "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
#define STREAM_M1                                                             \
  HEADERS "X-Galenagate-Model: m1\r\nContent-Length: 6\r\n\r\nprompt"

/**
 * struct edge_fixture - a node, a plain server and a model server with m1.
 */
struct edge_fixture
{
  struct edgecluster edges;
  struct cluster_proc *edge;
  struct cluster_proc *plain;
  struct cluster_proc *engine;
};

static struct edge_fixture
start_edge_fixture (const char *const *plain_flags)
{
  struct edge_fixture s = { .edges = edgecluster_create () };
  struct cluster *c = s.edges.cluster;

  s.plain = cluster_server (c, "plain", "a", plain_flags);
  s.engine = cluster_server (c, "lm", "a", CLUSTER_FLAGS ("--models", "m1"));
  edgecluster_put_server (&s.edges, s.plain, "ready", "[]");
  edgecluster_put_server (&s.edges, s.engine, "ready", M1_ONLY);
  edgecluster_configure (&s.edges, 5000);
  s.edge = cluster_edge (c, "a", CLUSTER_FLAGS ("--retry-slack", "54"));
  CU_ASSERT_TRUE_FATAL (cluster_ready (c));
  return s;
}

static json_int_t
count_server_arrivals (const struct edge_fixture *s)
{
  return cluster_json_int (s->plain, "/counts", "arrivals")
         + cluster_json_int (s->engine, "/counts", "arrivals");
}

/* ---- clients ---- */

static int
connect_client (const struct cluster_proc *edge)
{
  const int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sin;

  CU_ASSERT_TRUE_FATAL (
      netaddr_parse (str_from (edge->url + strlen ("http://")), &sin));
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&sin, sizeof sin), 0);
  return fd;
}

static void
send_request (int fd, const char *request, const char *id)
{
  struct str text;

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
  text = str_printf (request, id);
#pragma GCC diagnostic pop
  CU_ASSERT_EQUAL (send (fd, text.data, text.len, MSG_NOSIGNAL),
                   (ssize_t)text.len);
  str_free (&text);
}

/* Completes one call on a connection, as a client with a persistent connection
   does. */
static void
complete_one_call (int fd, const char *id)
{
  char response[4096];

  send_request (fd, GET_PLAIN, id);
  CU_ASSERT_TRUE (recv (fd, response, sizeof response, 0) > 0);
}

static bool
node_serves (void *ctx)
{
  const struct edge_fixture *s = ctx;
  struct cluster_reply r
      = edgecluster_call (s->edge, "GET", "/plain/x", "id-probe", NULL, NULL);
  const bool ok = r.status == 200;

  cluster_reply_free (&r);
  return ok;
}

/* Resumes the stopped node. Returns the number of calls that it then sent to
   servers, without the probe that shows that it serves again. */
static json_int_t
sent_after_resume (struct edge_fixture *s, json_int_t before)
{
  cluster_signal (s->edge, SIGCONT);
  CU_ASSERT_TRUE (cluster_poll_until (node_serves, s, WAIT_MS));
  usleep (SETTLE_MS * 1000);
  return count_server_arrivals (s) - before - 1;
}

/* ---- cases ---- */

struct stop_case
{
  const char *name;
  const char *request;
  bool persistent; /* the connection has served a call before */
};

static json_int_t
run_stop_case (struct edge_fixture *s, const struct stop_case *stop)
{
  int fds[CLIENTS];
  char id[ID_SIZE];
  json_int_t before;

  for (int i = 0; i < CLIENTS; i++)
    {
      fds[i] = connect_client (s->edge);
      snprintf (id, sizeof id, "first-%d", i);
      if (stop->persistent)
        complete_one_call (fds[i], id);
    }
  usleep (SETTLE_MS * 1000);
  before = count_server_arrivals (s);
  cluster_signal (s->edge, SIGSTOP);
  for (int i = 0; i < CLIENTS; i++)
    {
      snprintf (id, sizeof id, "left-%d", i);
      send_request (fds[i], stop->request, id);
    }
  usleep (DISCONNECT_DELAY_MS * 1000);
  for (int i = 0; i < CLIENTS; i++)
    close (fds[i]);
  usleep (STOPPED_MS * 1000);
  return sent_after_resume (s, before);
}

/* Guards against a node that forwards calls after their clients have
   disconnected: a node that was stopped reads both the call and the end of the
   client's connection when it resumes. */
static void
test_stopped_node (void)
{
  static const struct stop_case cases[] = {
    { "new connection", GET_PLAIN, false },
    { "persistent connection", GET_PLAIN, true },
    { "body", POST_ONCE, false },
    { "body in chunks", POST_CHUNKS, true },
    { "resumable stream", "POST /stream/x" STREAM_M1, false },
    { "stream", "POST /whole/x" STREAM_M1, true },
    { "two requests", GET_PLAIN POST_ONCE, false },
  };
  struct edge_fixture s = start_edge_fixture (NULL);

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const json_int_t sent = run_stop_case (&s, &cases[i]);

      CU_ASSERT_EQUAL (sent, 0);
      if (sent != 0)
        fprintf (stderr, "%s: %d calls of disconnected clients were sent\n",
                 cases[i].name, (int)sent);
    }
  edgecluster_destroy (&s.edges);
}

static bool
one_call_ended_early (void *ctx)
{
  return cluster_json_int (ctx, "/counts", "ended_early") == 1;
}

/* Guards against a call that continues although its client disconnected after
   sending a second request: the node has to read the bytes of that request
   before it finds the end of the connection. */
static void
test_second_request (void)
{
  struct edge_fixture s
      = start_edge_fixture (CLUSTER_FLAGS ("--delay-ms", "1500"));
  const int fd = connect_client (s.edge);

  send_request (fd, GET_PLAIN, "id-first");
  usleep (DISCONNECT_DELAY_MS * 1000);
  send_request (fd, POST_ONCE, "id-second");
  usleep (DISCONNECT_DELAY_MS * 1000);
  close (fd);
  CU_ASSERT_TRUE (cluster_poll_until (one_call_ended_early, s.plain, WAIT_MS));
  CU_ASSERT_EQUAL (edgecluster_run_count (s.plain, "id-first"), 1);
  CU_ASSERT_EQUAL (edgecluster_run_count (s.plain, "id-second"), 0);
  edgecluster_destroy (&s.edges);
}

/* ---- HTTP/2 ---- */

static size_t
ignore_body (char *data, size_t size, size_t n, void *ctx)
{
  (void)data;
  (void)ctx;
  return size * n;
}

/* Returns a handle that the caller frees with free_http2_call(). Its private
   pointer owns the list of header lines. */
static CURL *
http2_call (const struct cluster_proc *edge, const char *path, const char *id)
{
  CURL *curl = curl_easy_init ();
  struct str url = str_printf ("%s%s", edge->url, path);
  struct str line = str_printf ("X-Galenagate-Attempt-Id: %s", id);
  struct curl_slist *list = curl_slist_append (NULL, "Host: test.example");

  list = curl_slist_append (list, line.data);
  curl_easy_setopt (curl, CURLOPT_URL, url.data);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (curl, CURLOPT_PRIVATE, list);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, ignore_body);
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION,
                    (long)CURL_HTTP_VERSION_2_PRIOR_KNOWLEDGE);
  str_free (&url);
  str_free (&line);
  return curl;
}

static void
free_http2_call (CURL *curl)
{
  struct curl_slist *list = NULL;

  curl_easy_getinfo (curl, CURLINFO_PRIVATE, &list);
  curl_easy_cleanup (curl);
  curl_slist_free_all (list);
}

static void
run_transfers (CURLM *multi, uint32_t ms)
{
  int running;

  for (uint32_t i = 0; i < ms; i += 10)
    {
      curl_multi_perform (multi, &running);
      usleep (10000);
    }
}

/* Stops the node while calls are sent, then ends the calls: closes their
   connections if @separate_connections, else cancels them on a shared one.
   Returns the number of calls that the node forwarded after it resumed. */
static json_int_t
run_http2_stop (struct edge_fixture *s, bool separate_connections)
{
  CURLM *multi = curl_multi_init ();
  CURL *first = http2_call (s->edge, "/plain/x", "id-kept");
  CURL *calls[CLIENTS];
  char id[ID_SIZE];
  json_int_t before;

  curl_multi_setopt (
      multi, CURLMOPT_PIPELINING,
      (long)(separate_connections ? CURLPIPE_NOTHING : CURLPIPE_MULTIPLEX));
  curl_multi_add_handle (multi, first);
  run_transfers (multi, SETTLE_MS);
  before = count_server_arrivals (s);
  cluster_signal (s->edge, SIGSTOP);
  for (int i = 0; i < CLIENTS; i++)
    {
      snprintf (id, sizeof id, "http2-%d", i);
      calls[i] = http2_call (s->edge, "/plain/x", id);
      /* curl closes a connection that it may not reuse when its call is
         removed. */
      curl_easy_setopt (
          calls[i],
          separate_connections ? CURLOPT_FORBID_REUSE : CURLOPT_PIPEWAIT, 1L);
      curl_multi_add_handle (multi, calls[i]);
    }
  run_transfers (multi, DISCONNECT_DELAY_MS);
  for (int i = 0; i < CLIENTS; i++)
    {
      curl_multi_remove_handle (multi, calls[i]);
      free_http2_call (calls[i]);
    }
  run_transfers (multi, STOPPED_MS);
  const json_int_t sent = sent_after_resume (s, before);
  curl_multi_remove_handle (multi, first);
  free_http2_call (first);
  curl_multi_cleanup (multi);
  return sent;
}

/* Guards against a node that crashes when a client cancels an HTTP/2 call
   before the response. */
static void
test_http2_cancel (void)
{
  struct edge_fixture s
      = start_edge_fixture (CLUSTER_FLAGS ("--delay-ms", "500"));
  CURLM *multi = curl_multi_init ();
  CURL *call = http2_call (s.edge, "/plain/x", "id-cancelled");

  curl_multi_add_handle (multi, call);
  run_transfers (multi, DISCONNECT_DELAY_MS);
  curl_multi_remove_handle (multi, call);
  free_http2_call (call);
  curl_multi_cleanup (multi);
  CU_ASSERT_TRUE (cluster_poll_until (node_serves, &s, WAIT_MS));
  CU_ASSERT_EQUAL (edgecluster_run_count (s.plain, "id-cancelled"), 1);
  CU_ASSERT_EQUAL (cluster_json_int (s.plain, "/counts", "ended_early"), 1);
  edgecluster_destroy (&s.edges);
}

/* Guards against the failure of test_stopped_node() on HTTP/2, where a client
   closes its connection or cancels a call and keeps the connection. */
static void
test_stopped_node_http2 (void)
{
  struct edge_fixture s
      = start_edge_fixture (CLUSTER_FLAGS ("--delay-ms", "500"));

  CU_ASSERT_EQUAL (run_http2_stop (&s, true), 0);
  CU_ASSERT_EQUAL (run_http2_stop (&s, false), 0);
  edgecluster_destroy (&s.edges);
}

/* Guards against a node that retries rejected calls although their clients
   have disconnected meanwhile. */
static void
test_rejected_calls (void)
{
  struct edge_fixture s
      = start_edge_fixture (CLUSTER_FLAGS ("--fault", "shed"));
  int fds[CLIENTS];
  char id[ID_SIZE];
  json_int_t before;

  for (int i = 0; i < CLIENTS; i++)
    {
      fds[i] = connect_client (s.edge);
      snprintf (id, sizeof id, "shed-%d", i);
      send_request (fds[i], GET_PLAIN, id);
    }
  usleep (100000);
  cluster_signal (s.edge, SIGSTOP);
  usleep (DISCONNECT_DELAY_MS * 1000);
  before = count_server_arrivals (&s);
  for (int i = 0; i < CLIENTS; i++)
    close (fds[i]);
  usleep (STOPPED_MS * 1000);
  cluster_signal (s.edge, SIGCONT);
  usleep (2 * SETTLE_MS * 1000);
  CU_ASSERT_EQUAL (count_server_arrivals (&s) - before, 0);
  edgecluster_destroy (&s.edges);
}

static const struct suite_case cases[] = {
  { "stopped node", test_stopped_node },
  { "stopped node, HTTP/2", test_stopped_node_http2 },
  { "HTTP/2 call cancelled", test_http2_cancel },
  { "second request before disconnection", test_second_request },
  { "turned away", test_rejected_calls },
};
TEST_SUITE ("left", cases)
