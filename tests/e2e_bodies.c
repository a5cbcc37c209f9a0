#include <stdio.h>
#include <string.h>

#include "edgecluster.h"
#include "suite.h"

/* Responses that are not streams and are too large to be buffered by the node,
   so that it forwards them in parts. */

#define M1_ONLY "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"
#define OTHER_FLAGS CLUSTER_FLAGS ("--body-kb", "1024")
#define CALL_ID "id-body"

struct body_fixture
{
  struct edgecluster edges;
  struct cluster_proc *edge;
  struct cluster_proc *servers[2];
};

/* Starts a node and two servers of the service, each with its flags. The first
   one gets the first call. */
static struct body_fixture
start_body_fixture (const char *service, const char *const *flags,
                    const char *const *other_flags)
{
  struct body_fixture f = { .edges = edgecluster_create () };
  struct cluster *c = f.edges.cluster;

  f.servers[0] = cluster_server (c, service, "a", flags);
  f.servers[1] = cluster_server (c, service, "a", other_flags);
  for (int i = 0; i < 2; i++)
    edgecluster_put_server (&f.edges, f.servers[i], "ready",
                            service[0] == 'l' ? M1_ONLY : "[]");
  edgecluster_configure (&f.edges, 5000);
  f.edge = cluster_edge (c, "a", CLUSTER_FLAGS ("--retry-slack", "54"));
  CU_ASSERT_TRUE_FATAL (cluster_ready (c));
  return f;
}

/* Returns true if every byte comes from the server, whose large bodies consist
   of the last character of its name. */
static bool
is_body_of (const struct cluster_reply *r, const struct cluster_proc *server)
{
  const char byte = server->name[strlen (server->name) - 1];

  for (size_t i = 0; i < r->body.len; i++)
    if (r->body.data[i] != byte)
      return false;
  return true;
}

static void
check_runs (const struct body_fixture *f, json_int_t first, json_int_t second)
{
  CU_ASSERT_EQUAL (edgecluster_run_count (f->servers[0], CALL_ID), first);
  CU_ASSERT_EQUAL (edgecluster_run_count (f->servers[1], CALL_ID), second);
}

/* Guards against a second server's body after the first part of another one's,
   which the client can't tell from a complete response. */
static void
test_broken_off (void)
{
  static const struct
  {
    const char *fault;
    const char *path;
  } cases[] = {
    { "cut", "/plain/x" },
    { "cut-chunks", "/plain/x" },
    { "cut", "/once/x" },
    { "cut-chunks", "/once/x" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct body_fixture f = start_body_fixture (
          "plain",
          CLUSTER_FLAGS ("--body-kb", "1024", "--event-gap-ms", "1", "--fault",
                         cases[i].fault),
          OTHER_FLAGS);
      struct cluster_reply r = edgecluster_call (f.edge, "POST", cases[i].path,
                                                 CALL_ID, NULL, "b");
      const bool ok = r.status == 200 && r.error != CURLE_OK && r.body.len > 0
                      && is_body_of (&r, f.servers[0]);

      CU_ASSERT_TRUE (ok);
      if (!ok)
        fprintf (stderr, "%s %s: status %ld, error %d, %zu bytes\n",
                 cases[i].fault, cases[i].path, r.status, (int)r.error,
                 r.body.len);
      check_runs (&f, 1, 0);
      cluster_reply_free (&r);
      edgecluster_destroy (&f.edges);
    }
}

/* Guards against a body that is ended by the limit for a silent server,
   although its parts arrive steadily. */
static void
test_slow (void)
{
  /* 128 parts take over twice the limit of 600 ms; the 17th, with which the
     response begins, arrives well before it. */
  struct body_fixture f = start_body_fixture (
      "plain", CLUSTER_FLAGS ("--body-kb", "2048", "--event-gap-ms", "10"),
      OTHER_FLAGS);
  struct cluster_reply r
      = edgecluster_call (f.edge, "GET", "/plain/x", CALL_ID, NULL, NULL);

  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT_EQUAL (r.error, CURLE_OK);
  CU_ASSERT_EQUAL (r.body.len, 2048 * 1024);
  CU_ASSERT_TRUE (is_body_of (&r, f.servers[0]));
  check_runs (&f, 1, 0);
  cluster_reply_free (&r);
  edgecluster_destroy (&f.edges);
}

/* Guards against a server's large error response that is forwarded in parts on
   the route of a resumable stream, and continued with the events of another
   server. */
static void
test_error_of_stream (void)
{
  struct body_fixture f = start_body_fixture (
      "lm",
      CLUSTER_FLAGS ("--models", "m1", "--body-kb", "1024", "--event-gap-ms",
                     "1", "--fault", "error"),
      CLUSTER_FLAGS ("--models", "m1"));
  struct cluster_reply r
      = edgecluster_call (f.edge, "POST", "/stream/x", CALL_ID, "m1", "b");

  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT_EQUAL (r.error, CURLE_OK);
  CU_ASSERT_TRUE (r.body.len > 0 && r.body.data[0] == 'i');
  CU_ASSERT_TRUE (cluster_contains (&r, "id: 8\ndata: e8\n\n"));
  check_runs (&f, 1, 1);
  cluster_reply_free (&r);
  edgecluster_destroy (&f.edges);
}

static const struct suite_case cases[] = {
  { "broken off", test_broken_off },
  { "slow", test_slow },
  { "error of a stream", test_error_of_stream },
};
TEST_SUITE ("bodies", cases)
