#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "edgecluster.h"
#include "err.h"
#include "suite.h"

/* A node on the users' platform, with real processes. The tests check the
   responses that clients get, and what the servers and the store receive. */

#define WAIT_TIMEOUT_MS 15000
#define NO_MODELS "[]"
#define M1_ONLY "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"
/* The value that the deployments set for their nodes. */
#define RETRY_FLAGS CLUSTER_FLAGS ("--retry-slack", "54")

static struct edgecluster edges;

/* Starts a node with two plain servers, or two model servers that hold m1 and
   m2. The first server has @fault and gets the first call, because both are
   idle. */
static struct cluster_proc *
start_with_two_servers (const char *service, const char *fault,
                        struct cluster_proc *servers[2])
{
  const bool engine = service[0] == 'l';
  const char *models = engine ? "[{\"name\":\"m1\",\"version\":1,"
                                "\"adapters\":[]},{\"name\":\"m2\","
                                "\"version\":1,\"adapters\":[]}]"
                              : NO_MODELS;
  const char *const bad[]
      = { "--fault", fault, "--models", engine ? "m1,m2" : "", NULL };
  struct cluster_proc *edge;

  edges = edgecluster_create ();
  servers[0] = cluster_server (edges.cluster, service, "a", bad);
  servers[1]
      = cluster_server (edges.cluster, service, "a",
                        CLUSTER_FLAGS ("--models", engine ? "m1,m2" : ""));
  edgecluster_put_server (&edges, servers[0], "ready", models);
  edgecluster_put_server (&edges, servers[1], "ready", models);
  edgecluster_configure (&edges, 5000);
  edge = cluster_edge (edges.cluster, "a", RETRY_FLAGS);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  return edge;
}

/* Starts a node with one plain server, or one model server whose entry lists
   m1. */
static struct cluster_proc *
start_with_one_server (const char *service, const char *const *flags,
                       struct cluster_proc **server)
{
  struct cluster_proc *edge;

  edges = edgecluster_create ();
  *server = cluster_server (edges.cluster, service, "a", flags);
  edgecluster_put_server (&edges, *server, "ready",
                          service[0] == 'l' ? M1_ONLY : NO_MODELS);
  edgecluster_configure (&edges, 5000);
  edge = cluster_edge (edges.cluster, "a", RETRY_FLAGS);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  return edge;
}

static json_int_t
server_counter (const struct cluster_proc *server, const char *member)
{
  return cluster_json_int (server, "/counts", member);
}

/* Guards against a path, query or body that is changed on the way to the
   server or back, against response headers that are lost, and against a
   request without the expected instance and the deadline. */
static void
test_unchanged_bytes (void)
{
  static const struct
  {
    const char *method;
    const char *path;
    const char *body;
    const char *response;
  } cases[] = {
    { "GET", "/plain/a%20b/c?x=%2F&y", NULL, "GET /plain/a%20b/c?x=%2F&y " },
    { "POST", "/once/d", "{\"go\": 1}", "POST /once/d {\"go\": 1}" },
    { "PUT", "/plain/", "text", "PUT /plain/ text" },
  };
  struct cluster_proc *servers[2];
  struct cluster_proc *edge = start_with_two_servers ("plain", "", servers);

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct cluster_reply r = edgecluster_call (
          edge, cases[i].method, cases[i].path, "id-1", NULL, cases[i].body);

      CU_ASSERT_EQUAL (r.status, 200);
      CU_ASSERT (str_eq (buf_str (&r.body), str_from (cases[i].response)));
      CU_ASSERT (
          str_eq (cluster_header (&r, "content-type"), STR ("text/x-test")));
      CU_ASSERT (str_eq (cluster_header (&r, "x-galenagate-server-seal"),
                         STR ("s.1")));
      cluster_reply_free (&r);
    }
  json_t *counts = cluster_get_json (servers[0], "/counts");
  const json_t *received = json_object_get (counts, "headers");
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (
                              received, "x-galenagate-expect-instance")),
                          servers[0]->name);
  CU_ASSERT_PTR_NOT_NULL (
      json_object_get (received, "x-galenagate-deadline-ms"));
  json_decref (counts);
  edgecluster_destroy (&edges);
}

/* Guards against responses to the client that no server sent completely for
   this call, against a second run of a call that must run at most once, and
   against treating an attempt as not run although a server may have run it. */
static void
test_bad_responses (void)
{
  static const struct
  {
    const char *fault;
    const char *path;
    int status;
    int first_runs;
    int second_runs;
  } cases[] = {
    { "shed", "/plain/x", 200, 0, 1 },
    { "shed", "/once/x", 200, 0, 1 },
    { "close", "/plain/x", 200, 1, 1 },
    { "close", "/once/x", 502, 1, 0 },
    { "cut", "/plain/x", 200, 1, 1 },
    { "cut", "/once/x", 502, 1, 0 },
    { "cut-head", "/plain/x", 200, 1, 1 },
    { "cut-head", "/once/x", 502, 1, 0 },
    { "cut-head-length", "/plain/x", 200, 1, 1 },
    { "cut-head-length", "/once/x", 502, 1, 0 },
    { "unsealed", "/plain/x", 200, 1, 1 },
    { "unsealed", "/once/x", 502, 1, 0 },
    { "crossed", "/plain/x", 200, 1, 1 },
    { "crossed", "/once/x", 502, 1, 0 },
    { "unframed", "/once/x", 200, 1, 0 },
    { "error", "/once/x", 500, 1, 0 },
    { "status-000", "/plain/x", 200, 1, 1 },
    { "status-000", "/once/x", 502, 1, 0 },
    { "status-000-open", "/plain/x", 200, 1, 1 },
    { "status-000-open", "/once/x", 502, 1, 0 },
    { "status-000-length", "/plain/x", 200, 1, 1 },
    { "status-000-length", "/once/x", 502, 1, 0 },
    { "status-000-http2", "/plain/x", 200, 1, 1 },
    { "status-000-http2", "/once/x", 502, 1, 0 },
    { "status-000-http2-length", "/plain/x", 200, 1, 1 },
    { "status-000-http2-length", "/once/x", 502, 1, 0 },
    { "status-000-http2-open", "/plain/x", 200, 1, 1 },
    { "status-000-http2-open", "/once/x", 502, 1, 0 },
    { "status-http2", "/plain/x", 200, 1, 1 },
    { "status-http2", "/once/x", 502, 1, 0 },
    { "status-unseparated", "/plain/x", 200, 1, 1 },
    { "status-unseparated", "/once/x", 502, 1, 0 },
    { "name-blank", "/plain/x", 200, 1, 1 },
    { "name-blank", "/once/x", 502, 1, 0 },
    { "name-blank-end", "/plain/x", 200, 1, 1 },
    { "name-blank-end", "/once/x", 502, 1, 0 },
    { "name-control", "/plain/x", 200, 1, 1 },
    { "name-control", "/once/x", 502, 1, 0 },
    { "chunked-blank", "/plain/x", 200, 1, 1 },
    { "chunked-blank", "/once/x", 502, 1, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct cluster_proc *servers[2];
      struct cluster_proc *edge
          = start_with_two_servers ("plain", cases[i].fault, servers);
      struct cluster_reply r
          = edgecluster_call (edge, "POST", cases[i].path, "id-2", NULL, "b");
      const bool ok = r.status == cases[i].status
                      && edgecluster_run_count (servers[0], "id-2")
                             == cases[i].first_runs
                      && edgecluster_run_count (servers[1], "id-2")
                             == cases[i].second_runs;

      CU_ASSERT_TRUE (ok);
      if (!ok)
        fprintf (stderr, "%s %s: status %ld\n", cases[i].fault, cases[i].path,
                 r.status);
      cluster_reply_free (&r);
      edgecluster_destroy (&edges);
    }
}

/* Limit for the peak memory of a node with one call, whatever the server
   sends. */
#define NODE_MEMORY_MAX_KB (64 * 1024)
#define CLOSE_CHECKS 100
#define CLOSE_CHECK_INTERVAL_MS 50

static long
peak_memory_kb (const struct cluster_proc *p)
{
  char path[64];
  char line[128];
  long kb = -1;
  FILE *f;

  snprintf (path, sizeof path, "/proc/%d/status", (int)p->pid);
  f = fopen (path, "r");
  while (f && fgets (line, sizeof line, f))
    if (strncmp (line, "VmHWM:", 6) == 0)
      kb = strtol (line + 6, NULL, 10);
  if (f)
    fclose (f);
  return kb;
}

static bool
wait_all_closed (const struct cluster_proc *server)
{
  for (int i = 0; i < CLOSE_CHECKS; i++)
    {
      if (cluster_json_int (server, "/counts", "endless") == 0)
        return true;
      usleep (CLOSE_CHECK_INTERVAL_MS * 1000);
    }
  return false;
}

/* Guards against a faulty server that sends an endless response head or body.
   The node must repeat the call or fail it without claiming that it did not
   run, close the connection, and keep its memory bounded. */
static void
test_endless_responses (void)
{
  static const struct
  {
    const char *fault;
    const char *service;
    const char *path;
    int status;
    int second_runs;
  } cases[] = {
    { "endless-status", "plain", "/plain/x", 200, 1 },
    { "endless-status", "plain", "/once/x", 502, 0 },
    { "endless-head", "plain", "/plain/x", 200, 1 },
    { "endless-head", "plain", "/once/x", 502, 0 },
    { "endless-field", "plain", "/plain/x", 200, 1 },
    { "endless-body", "plain", "/plain/x", 200, 1 },
    { "endless-body", "plain", "/once/x", 502, 0 },
    { "endless-chunk", "plain", "/plain/x", 200, 1 },
    { "endless-event", "lm", "/stream/x", 200, 1 },
    { "endless-event", "lm", "/whole/x", 502, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const bool engine = cases[i].service[0] == 'l';
      struct cluster_proc *servers[2];
      struct cluster_proc *edge
          = start_with_two_servers (cases[i].service, cases[i].fault, servers);
      struct cluster_reply r = edgecluster_call (
          edge, "POST", cases[i].path, "id-5", engine ? "m1" : NULL, "b");
      const bool ok = r.status == cases[i].status
                      && edgecluster_run_count (servers[0], "id-5") == 1
                      && edgecluster_run_count (servers[1], "id-5")
                             == cases[i].second_runs
                      && wait_all_closed (servers[0])
                      && peak_memory_kb (edge) < NODE_MEMORY_MAX_KB;

      CU_ASSERT_TRUE (ok);
      if (!ok)
        fprintf (stderr, "%s %s: status %ld, %ld kB\n", cases[i].fault,
                 cases[i].path, r.status, peak_memory_kb (edge));
      cluster_reply_free (&r);
      edgecluster_destroy (&edges);
    }
}

/* Guards against events that are lost, duplicated or merged when a stream
   resumes at another server, against a cut stream that looks complete, and
   against bytes after the cut that are not part of the stream. */
static void
test_streams (void)
{
  static const struct
  {
    const char *fault;
    const char *path;
    bool whole;
    int second_runs;
  } cases[] = {
    { "", "/stream/x", true, 0 },
    { "cut-event", "/stream/x", true, 1 },
    { "silent", "/stream/x", true, 1 },
    { "close", "/stream/x", true, 1 },
    { "cut-head", "/stream/x", true, 1 },
    { "cut-head-length", "/stream/x", true, 1 },
    { "cut-event", "/whole/x", false, 0 },
    { "", "/whole/x", true, 0 },
    /* Streams with neither a length nor chunks. */
    { "unframed", "/stream/x", true, 0 },
    { "unframed", "/whole/x", true, 0 },
    { "unframed-cut", "/stream/x", true, 1 },
    { "unframed-cut", "/whole/x", false, 0 },
    { "status-000", "/stream/x", true, 1 },
    { "status-000-http2", "/stream/x", true, 1 },
    { "status-http2", "/stream/x", true, 1 },
    { "status-unseparated", "/stream/x", true, 1 },
    { "name-blank", "/stream/x", true, 1 },
    { "name-control", "/stream/x", true, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct cluster_proc *servers[2];
      struct cluster_proc *edge
          = start_with_two_servers ("lm", cases[i].fault, servers);
      struct cluster_reply r = edgecluster_call (edge, "POST", cases[i].path,
                                                 "id-3", "m1", "prompt");
      const bool whole
          = r.error == CURLE_OK
            && str_eq (buf_str (&r.body), edgecluster_whole_stream ());

      CU_ASSERT_EQUAL (r.status, 200);
      CU_ASSERT_EQUAL (whole, cases[i].whole);
      CU_ASSERT (str_starts (edgecluster_whole_stream (), buf_str (&r.body)));
      if (!cases[i].whole)
        CU_ASSERT_EQUAL (r.error, CURLE_PARTIAL_FILE);
      CU_ASSERT_EQUAL (edgecluster_run_count (servers[0], "id-3"), 1);
      CU_ASSERT_EQUAL (edgecluster_run_count (servers[1], "id-3"),
                       cases[i].second_runs);
      cluster_reply_free (&r);
      edgecluster_destroy (&edges);
    }
}

/* Guards against taking a refusal that a faulty server writes once more on a
   kept connection for the response to the next call, or to the same call's
   next attempt: the client would be told that a call was not run that runs, or
   it would run twice. */
static void
test_repeated_refusal (void)
{
  static const struct
  {
    const char *fault;
    const char *path;
    const char *next_path;
    int next_runs;
  } cases[] = {
    { "repeat-refusal", "/once/x", "/once/x", 1 },
    { "repeat-refusal-unnamed", "/once/x", "/once/x", 1 },
    /* A call may run again after an attempt that broke off. */
    { "repeat-refusal", "/plain/x", "/plain/x", 2 },
    { "repeat-refusal-unnamed", "/plain/x", "/plain/x", 2 },
    { "repeat-refusal", "/plain/x", "/once/x", 1 },
    { "repeat-refusal-unnamed", "/plain/x", "/once/x", 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const char *const flags[] = { "--fault", cases[i].fault, NULL };
      struct cluster_proc *server;
      struct cluster_proc *edge
          = start_with_one_server ("plain", flags, &server);
      struct cluster_reply r
          = edgecluster_call (edge, "POST", cases[i].path, "id-1", NULL, "x");

      CU_ASSERT_EQUAL (r.status, 200);
      cluster_reply_free (&r);
      CU_ASSERT_EQUAL (edgecluster_run_count (server, "id-1"), 1);
      r = edgecluster_call (edge, "POST", cases[i].next_path, "id-2", NULL,
                            "x");
      CU_ASSERT_EQUAL (r.status, 200);
      cluster_reply_free (&r);
      CU_ASSERT_TRUE (edgecluster_run_count (server, "id-2")
                      <= cases[i].next_runs);
      CU_ASSERT_EQUAL (
          edgecluster_log_line (
              edge, (const char *const[]){ "event=attempt-failed", "id=id-2 ",
                                           "outcome=not-executed", NULL }),
          0);
      edgecluster_destroy (&edges);
    }
}

/* Guards against calls to a server after a response of its own said that it is
   leaving, while the store does not answer, and against ending what runs
   there. */
static void
test_leaving_response (void)
{
  static const struct
  {
    const char *service;
    const char *path;
    const char *model;
    /* The stand-in closes its connection shortly after a stream, and libcurl
       sends a call again that was on its way on the kept connection. */
    bool sent_again;
  } cases[] = { { "plain", "/plain/x", NULL, false },
                { "plain", "/once/x", NULL, false },
                { "lm", "/whole/x", "m1", false },
                { "lm", "/stream/x", "m1", true } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct cluster_proc *servers[2];
      struct cluster_proc *edge
          = start_with_two_servers (cases[i].service, "leaving", servers);

      edgecluster_set_faults (&edges, "{\"down\":true}");
      for (int n = 0; n < 5; n++)
        {
          struct cluster_reply r = edgecluster_call (
              edge, "POST", cases[i].path, "id-1", cases[i].model, "x");

          CU_ASSERT_EQUAL (r.status, 200);
          CU_ASSERT_EQUAL (r.error, CURLE_OK);
          cluster_reply_free (&r);
        }
      CU_ASSERT_EQUAL (edgecluster_run_count (servers[0], "id-1"), 1);
      const json_int_t runs = edgecluster_run_count (servers[1], "id-1");
      CU_ASSERT_TRUE (cases[i].sent_again ? runs >= 4 : runs == 4);
      CU_ASSERT_TRUE (edgecluster_wait_logged (
          edge,
          (const char *const[]){ "event=server-leaves", "id=id-1", NULL }));
      edgecluster_destroy (&edges);
    }
}

/* Guards against calls to a server before the time that its Retry-After asked
   for, and against waiting for one that is not back in time. */
static void
test_retry_after (void)
{
  static const struct
  {
    const char *path;
    uint32_t timeout_ms;
    int status;
  } cases[] = { { "/plain/x", 4000, 200 },
                { "/once/x", 4000, 200 },
                { "/plain/x", 1000, 503 },
                { "/once/x", 1000, 503 } };
  static const char *const flags[] = { "--fault", "retry-after", NULL };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct cluster_proc *server;
      struct cluster_proc *edge
          = start_with_one_server ("plain", flags, &server);
      struct cluster_reply r;

      edgecluster_configure (&edges, cases[i].timeout_ms);
      sleep (2);
      r = edgecluster_call (edge, "POST", cases[i].path, "id-1", NULL, "x");
      CU_ASSERT_EQUAL (r.status, cases[i].status);
      CU_ASSERT_EQUAL (server_counter (server, "arrivals"),
                       cases[i].status == 200 ? 2 : 1);
      if (cases[i].status == 503)
        CU_ASSERT_TRUE (edgecluster_wait_logged (
            edge, (const char *const[]){ "event=call", "id=id-1 ",
                                         "reason=servers-deferred", NULL }));
      cluster_reply_free (&r);
      edgecluster_destroy (&edges);
    }
}

/* Guards against a stream that the node cuts because its server pauses, when
   no other server could resume it. */
static void
test_paused_server (void)
{
  static const char *const flags[]
      = { "--fault", "pause", "--models", "m1,m2", NULL };

  struct cluster_proc *server;
  struct cluster_proc *edge = start_with_one_server ("lm", flags, &server);

  struct cluster_reply r
      = edgecluster_call (edge, "POST", "/stream/x", "id-4", "m1", "prompt");
  CU_ASSERT_EQUAL (r.error, CURLE_OK);
  CU_ASSERT (str_eq (buf_str (&r.body), edgecluster_whole_stream ()));
  CU_ASSERT_EQUAL (edgecluster_run_count (server, "id-4"), 1);
  cluster_reply_free (&r);
  edgecluster_destroy (&edges);
}

/* Guards against a new connection for each call, and against a call that runs
   twice because the server closes the kept connection that it was sent on. */
static void
test_connection_reuse (void)
{
  static const struct
  {
    const char *path;
    const char *fault;
    bool reused;
    int status;
    int runs;
  } cases[] = {
    { "/plain/x", NULL, true, 200, 1 },
    { "/once/x", NULL, true, 200, 1 },
    { "/once/x", "close-kept", true, 502, 1 },
    { "/once/x", "short-keep-alive", false, 200, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const char *const flags[] = { "--fault", cases[i].fault, NULL };
      struct cluster_proc *server;
      struct cluster_proc *edge = start_with_one_server (
          "plain", cases[i].fault ? flags : NULL, &server);
      struct cluster_reply r
          = edgecluster_call (edge, "POST", cases[i].path, "id-a", NULL, "x");

      CU_ASSERT_EQUAL (r.status, 200);
      cluster_reply_free (&r);
      r = edgecluster_call (edge, "POST", cases[i].path, "id-b", NULL, "x");
      CU_ASSERT_EQUAL (r.status, cases[i].status);
      cluster_reply_free (&r);
      CU_ASSERT_EQUAL (edgecluster_run_count (server, "id-a"), 1);
      CU_ASSERT_EQUAL (edgecluster_run_count (server, "id-b"), cases[i].runs);
      CU_ASSERT_TRUE (server_counter (server, "ports/id-a") > 0);
      CU_ASSERT_EQUAL (server_counter (server, "ports/id-a")
                           == server_counter (server, "ports/id-b"),
                       cases[i].reused);
      edgecluster_destroy (&edges);
    }
}

/* A call and the status expected for it. */
struct expected_status
{
  struct cluster_proc *edge;
  const char *path;
  long status;
  const char *id;
};

static bool
has_status (void *ctx)
{
  const struct expected_status *x = ctx;
  struct cluster_reply r
      = edgecluster_call (x->edge, "GET", x->path, x->id, NULL, NULL);
  const bool ok = r.status == x->status;

  cluster_reply_free (&r);
  return ok;
}

/* Guards against a 404 response while the node has no configuration, against
   new versions that do not take effect, also after the store dropped its
   history, and against older or unreadable versions that replace the one in
   force. */
static void
test_configuration (void)
{
  edges = edgecluster_create ();
  struct cluster_proc *edge = cluster_edge (edges.cluster, "a", NULL);
  struct expected_status x = { edge, "/plain/x", 503, "id-4" };
  CU_ASSERT_TRUE (cluster_poll_until (has_status, &x, WAIT_TIMEOUT_MS));

  struct cluster_proc *server
      = cluster_server (edges.cluster, "plain", "a", NULL);
  edgecluster_put_server (&edges, server, "ready", NO_MODELS);
  edgecluster_configure (&edges, 5000);
  CU_ASSERT_TRUE (cluster_ready (edges.cluster));
  x.status = 200;
  CU_ASSERT_TRUE (cluster_poll_until (has_status, &x, WAIT_TIMEOUT_MS));
  x = (struct expected_status){ edge, "/none/x", 404, "id-4" };
  CU_ASSERT_TRUE (has_status (&x));

  edgecluster_put_object (&edges, "config", "main",
                          "{\"version\":50,\"routes\":7}");
  edgecluster_put_object (&edges, "config", "main",
                          "{\"version\":1,\"routes\":[],\"services\":[]}");
  edgecluster_set_faults (&edges, "{\"forget\":true}");
  edgecluster_put_object (
      &edges, "config", "main",
      "{\"version\":60,\"routes\":[{\"name\":\"n\",\"hostname\":"
      "\"test.example\",\"path_prefix\":\"/none/\",\"route_type\":"
      "\"idempotent\",\"service\":\"plain\"}],\"services\":[{\"name\":"
      "\"plain\"}]}");
  x.status = 200;
  CU_ASSERT_TRUE (cluster_poll_until (has_status, &x, WAIT_TIMEOUT_MS));
  x = (struct expected_status){ edge, "/plain/x", 404, "id-4" };
  CU_ASSERT_TRUE (has_status (&x));
  edgecluster_destroy (&edges);
}

/* Guards against invalid entries from other writers that stop a node or hide a
   valid server, and against calls to a server that leaves. */
static void
test_server_entries (void)
{
  static const char *const bad[] = {
    "{}",
    "7",
    "{\"service\":\"plain\"}",
    "{\"service\":\"plain\",\"address\":\"nowhere\",\"zone\":\"a\","
    "\"slots\":8,\"state\":\"ready\"}",
    "{\"service\":\"plain\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
    "\"slots\":8,\"state\":\"asleep\"}",
    "{\"service\":\"plain\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
    "\"slots\":\"many\",\"state\":\"ready\"}",
    "{\"service\":\"plain\",\"address\":\"127.0.0.1:70000\",\"zone\":\"a\","
    "\"slots\":8,\"state\":\"ready\"}",
    /* The store's stand-in replaces these words by values that no parser
       takes. */
    "{\"slots\":\"@integer@\"}",
    "{\"slots\":\"@real@\"}",
    "{\"service\":\"@nul@\"}",
    "{\"service\":\"@bytes@\"}",
    "{\"models\":\"@deep@\"}",
  };
  struct cluster_proc *servers[2];
  struct cluster_proc *edge = start_with_two_servers ("plain", "", servers);
  char name[16];

  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      snprintf (name, sizeof name, "bad-%zu", i);
      edgecluster_put_object (&edges, "servers", name, bad[i]);
    }
  edgecluster_put_server (&edges, servers[0], "draining", NO_MODELS);
  sleep (2);
  for (int i = 0; i < 20; i++)
    {
      struct cluster_reply r
          = edgecluster_call (edge, "GET", "/plain/x", "id-5", NULL, NULL);

      CU_ASSERT_EQUAL (r.status, 200);
      cluster_reply_free (&r);
    }
  CU_ASSERT_EQUAL (edgecluster_run_count (servers[0], "id-5"), 0);
  /* An earlier entry that is stored late does not bring the server back. */
  edgecluster_put_server (&edges, servers[0], "ready", NO_MODELS);
  edgecluster_delete_object (&edges, "servers", servers[1]->name);
  sleep (2);
  struct expected_status x = { edge, "/plain/x", 503, "id-4" };
  CU_ASSERT_TRUE (has_status (&x));
  edgecluster_destroy (&edges);
}

/* Returns the fencing token of the last order that a server accepted, or 0 if
   there is none. */
static json_int_t
last_fencing_token (const struct cluster_proc *server)
{
  json_t *counts = cluster_get_json (server, "/counts");
  const json_t *orders = json_object_get (counts, "orders");
  const json_t *last = json_array_get (orders, json_array_size (orders) - 1);
  const json_int_t fence
      = json_integer_value (json_object_get (last, "fencing_token"));

  CU_ASSERT_TRUE (json_array_size (orders) == 0
                  || json_is_integer (json_object_get (last, "expect")));
  json_decref (counts);
  return fence;
}

static void
check_served (const struct cluster_proc *edge, const char *id,
              const char *model)
{
  struct cluster_reply r
      = edgecluster_call (edge, "POST", "/stream/x", id, model, "p");

  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT (str_eq (buf_str (&r.body), edgecluster_whole_stream ()));
  cluster_reply_free (&r);
}

/* A call that is refused while there is no placement holder and sent again
   until it is served. */
struct retried_call
{
  struct cluster_proc *edge;
  const char *id;
  const char *model;
};

static bool
retry_is_served (void *ctx)
{
  const struct retried_call *x = ctx;
  struct cluster_reply r
      = edgecluster_call (x->edge, "POST", "/stream/x", x->id, x->model, "p");
  const bool served
      = r.status == 200
        && str_eq (buf_str (&r.body), edgecluster_whole_stream ());

  CU_ASSERT_TRUE (served || r.status == 503);
  cluster_reply_free (&r);
  return served;
}

/* Guards against requested models and adapters that are not loaded, against
   exceeding the server's memory or adapter slots, and against orders of a
   successor that do not supersede those of a killed placement holder. */
static void
test_placement (void)
{
  static const char *const requested[]
      = { "m3", "m1/a1", "m4", "m1/a2", "m2", "m1/a3", "m3/a1" };
  struct cluster_proc *nodes[2];
  struct cluster_proc *server;
  char id[16];

  edges = edgecluster_create ();
  server = cluster_server (edges.cluster, "lm", "a",
                           CLUSTER_FLAGS ("--models", "m1"));
  edgecluster_put_server (&edges, server, "ready", M1_ONLY);
  edgecluster_configure (&edges, 6000);
  nodes[0] = cluster_edge (edges.cluster, "a", NULL);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  nodes[1] = cluster_edge (edges.cluster, "b", NULL);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  for (size_t i = 0; i < sizeof requested / sizeof *requested; i++)
    {
      snprintf (id, sizeof id, "id-6-%zu", i);
      check_served (nodes[i % 2], id, requested[i]);
    }
  /* A call for an unknown model is refused while the client still waits. It
     has not run, and the response says when to retry. */
  struct cluster_reply none
      = edgecluster_call (nodes[1], "POST", "/stream/x", "id-6-9", "m9", "p");
  CU_ASSERT_EQUAL (none.status, 503);
  CU_ASSERT_TRUE (cluster_header (&none, "retry-after").len > 0);
  CU_ASSERT_EQUAL (edgecluster_run_count (server, "id-6-9"), 0);
  cluster_reply_free (&none);
  CU_ASSERT_EQUAL (server_counter (server, "violations"), 0);
  const json_int_t fence = last_fencing_token (server);
  CU_ASSERT_TRUE (fence > 0);

  cluster_kill (nodes[0]);
  struct retried_call x = { nodes[1], "id-7", "m4" };
  CU_ASSERT_TRUE (cluster_poll_until (retry_is_served, &x, WAIT_TIMEOUT_MS));
  CU_ASSERT_EQUAL (edgecluster_run_count (server, "id-7"), 1);
  check_served (nodes[1], "id-8", "m2");
  CU_ASSERT_TRUE (last_fencing_token (server) > fence);
  CU_ASSERT_EQUAL (server_counter (server, "violations"), 0);
  edgecluster_destroy (&edges);
}

/* Guards against servers that keep working for a client that disconnected. */
static void
test_client_disconnects (void)
{
  struct cluster_proc *server;
  struct cluster_proc *edge = start_with_one_server (
      "plain", CLUSTER_FLAGS ("--delay-ms", "1500"), &server);

  static const char *const headers[]
      = { "Host: test.example", "X-Galenagate-Attempt-Id: id-9", NULL };
  struct cluster_reply r
      = cluster_http (edge, "GET", "/plain/x", headers, NULL, 300);
  CU_ASSERT_EQUAL (r.error, CURLE_OPERATION_TIMEDOUT);
  cluster_reply_free (&r);
  sleep (2);
  CU_ASSERT_EQUAL (server_counter (server, "ended_early"), 1);
  edgecluster_destroy (&edges);
}

/* Guards against responses that are cut when a node stops, against calls
   accepted too late to finish in the grace period, and against a node that
   does not exit. */
static void
test_stop (void)
{
  struct cluster_proc *server;
  struct cluster_proc *edge = start_with_one_server (
      "plain", CLUSTER_FLAGS ("--delay-ms", "1000"), &server);

  struct cluster_request *before
      = edgecluster_call_begin (edge, "POST", "/once/x", "id-10", NULL, "b");
  usleep (300000);
  cluster_signal (edge, SIGTERM);
  cluster_signal (edge, SIGHUP);
  usleep (300000);
  struct cluster_request *after
      = edgecluster_call_begin (edge, "POST", "/once/x", "id-11", NULL, "b");
  struct cluster_reply first = cluster_http_wait (before);
  struct cluster_reply second = cluster_http_wait (after);
  CU_ASSERT_EQUAL (first.status, 200);
  CU_ASSERT_EQUAL (second.status, 200);
  cluster_reply_free (&first);
  cluster_reply_free (&second);
  usleep (2000000);
  struct cluster_reply late
      = edgecluster_call (edge, "POST", "/once/x", "id-12", NULL, "b");
  CU_ASSERT_EQUAL (late.error, CURLE_COULDNT_CONNECT);
  cluster_reply_free (&late);
  CU_ASSERT_EQUAL (edgecluster_run_count (server, "id-12"), 0);
  CU_ASSERT_EQUAL (cluster_wait_exit (edge, WAIT_TIMEOUT_MS), 0);
  edgecluster_destroy (&edges);
}

static size_t
ignore_body (char *data, size_t size, size_t n, void *ctx)
{
  (void)data;
  (void)ctx;
  return size * n;
}

static CURLcode
call_on_handle (CURL *curl, const struct cluster_proc *edge, const char *id)
{
  struct str line = str_printf ("X-Galenagate-Attempt-Id: %s", id);
  struct str url = str_printf ("%s/whole/x", edge->url);
  struct curl_slist *list = curl_slist_append (NULL, "Host: test.example");

  list = curl_slist_append (list, "X-Galenagate-Model: m1");
  list = curl_slist_append (list, line.data);
  curl_easy_setopt (curl, CURLOPT_URL, url.data);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, ignore_body);
  const CURLcode code = curl_easy_perform (curl);
  curl_slist_free_all (list);
  str_free (&url);
  str_free (&line);
  return code;
}

struct keep_alive_call
{
  CURL *curl;
  const struct cluster_proc *edge;
  CURLcode code;
};

static void *
run_keep_alive_call (void *ctx)
{
  struct keep_alive_call *call = ctx;

  call->code = call_on_handle (call->curl, call->edge, "id-20");
  return NULL;
}

/* Guards against a late call accepted on a keep-alive connection that was in
   use when the stopping node closed the idle ones, also after the client
   limits were configured again. */
static void
test_stop_keep_alive_connection (void)
{
  struct keep_alive_call first = { .curl = curl_easy_init () };
  pthread_t thread;

  edges = edgecluster_create ();
  struct cluster_proc *server = cluster_server (
      edges.cluster, "lm", "a",
      CLUSTER_FLAGS ("--models", "m1", "--event-gap-ms", "450"));
  edgecluster_put_server (&edges, server, "ready", M1_ONLY);
  edgecluster_configure (&edges, 6000);
  struct cluster_proc *edge = cluster_edge (edges.cluster, "a", NULL);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));

  first.edge = edge;
  pthread_create (&thread, NULL, run_keep_alive_call, &first);
  usleep (300000);
  cluster_signal (edge, SIGTERM);
  usleep (1500000);
  /* Keeps the node running after the first stream has ended. */
  struct cluster_request *other
      = edgecluster_call_begin (edge, "POST", "/whole/x", "id-22", "m1", "b");
  usleep (1500000);
  edgecluster_configure (&edges, 6001);
  pthread_join (thread, NULL);
  CU_ASSERT_EQUAL (first.code, CURLE_OK);
  usleep (100000);
  CU_ASSERT_NOT_EQUAL (call_on_handle (first.curl, edge, "id-21"), CURLE_OK);
  CU_ASSERT_EQUAL (edgecluster_run_count (server, "id-21"), 0);
  struct cluster_reply last = cluster_http_wait (other);
  CU_ASSERT (str_eq (buf_str (&last.body), edgecluster_whole_stream ()));
  cluster_reply_free (&last);
  CU_ASSERT_EQUAL (cluster_wait_exit (edge, WAIT_TIMEOUT_MS), 0);
  curl_easy_cleanup (first.curl);
  edgecluster_destroy (&edges);
}

/* Guards against calls that fail, or servers that are dropped, because the
   store is unavailable. */
static void
test_store_unavailable (void)
{
  static const char *const outages[]
      = { "{\"down\":true}", "{\"silent\":true}" };
  struct cluster_proc *servers[2];
  struct cluster_proc *edge = start_with_two_servers ("lm", "", servers);

  for (size_t i = 0; i < sizeof outages / sizeof *outages; i++)
    {
      edgecluster_set_faults (&edges, outages[i]);
      sleep (3);
      check_served (edge, "id-12", "m1");
      edgecluster_set_faults (&edges, "{}");
      check_served (edge, "id-13", "m2");
    }
  edgecluster_destroy (&edges);
}

/* Guards against refusals without a log line that has the call's id, the
   reason, and the configuration and waiting time behind the decision. */
static void
test_refusals_logged (void)
{
  static const struct
  {
    const char *path;
    const char *model;
    const char *reason;
  } cases[] = {
    { "/plain/x", NULL, "reason=no-server" },
    { "/none/x", NULL, "reason=no-route" },
    { "/stream/x", "m9", "reason=waited-too-long" },
    { "/once/x", NULL, "reason=no-server" },
  };
  char id[32];

  edges = edgecluster_create ();
  struct cluster_proc *edge = cluster_edge (edges.cluster, "a", RETRY_FLAGS);
  struct cluster_proc *engine = cluster_server (
      edges.cluster, "lm", "a", CLUSTER_FLAGS ("--models", "m1,m2"));
  struct cluster_reply r;

  /* The node may not accept connections yet. */
  struct expected_status x = { edge, "/plain/x", 503, "id-first" };
  CU_ASSERT_TRUE (cluster_poll_until (has_status, &x, WAIT_TIMEOUT_MS));
  edgecluster_put_server (&edges, engine, "ready", M1_ONLY);
  edgecluster_configure (&edges, 1000);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      edge,
      (const char *const[]){ "event=call", "id=id-first ", "end=refused",
                             "reason=no-configuration", "config=0", NULL }));
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      snprintf (id, sizeof id, "id=id-%zu ", i);
      id[strlen (id) - 1] = '\0';
      r = edgecluster_call (edge, "POST", cases[i].path, id + 3,
                            cases[i].model, "x");
      CU_ASSERT_TRUE (r.status == 503 || r.status == 404);
      cluster_reply_free (&r);
      CU_ASSERT_TRUE (edgecluster_wait_logged (
          edge, (const char *const[]){ "event=call", id, cases[i].reason,
                                       "config=", "wait_ms=", NULL }));
    }
  edgecluster_destroy (&edges);
}

static const struct suite_case cases[] = {
  { "refusals logged", test_refusals_logged },
  { "unchanged bytes", test_unchanged_bytes },
  { "bad responses", test_bad_responses },
  { "endless responses", test_endless_responses },
  { "streams", test_streams },
  { "repeated refusal", test_repeated_refusal },
  { "leaving, said in a response", test_leaving_response },
  { "Retry-After of a server", test_retry_after },
  { "paused server", test_paused_server },
  { "connection reuse", test_connection_reuse },
  { "configuration", test_configuration },
  { "server entries", test_server_entries },
  { "placement", test_placement },
  { "client disconnects", test_client_disconnects },
  { "stop", test_stop },
  { "stop, keep-alive connection", test_stop_keep_alive_connection },
  { "store unavailable", test_store_unavailable },
};
TEST_SUITE ("edge", cases)
