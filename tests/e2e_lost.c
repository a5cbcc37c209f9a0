#include <stdio.h>
#include <string.h>

#include "edgecluster.h"
#include "suite.h"

/* Answers that are lost on kept connections: servers that close a connection
   without an answer to its second call, after they ran it. */

#define M1 "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"

static struct edgecluster edges;
static struct cluster_proc *servers[2];

static struct cluster_proc *
start (const char *service, const char *models)
{
  const char *const losing[]
      = { "--fault", "close-kept", "--models", models, NULL };
  const char *entry = models[0] ? M1 : "[]";
  struct cluster_proc *node;

  edges = edgecluster_create ();
  servers[0] = cluster_server (edges.cluster, service, "a", losing);
  servers[1] = cluster_server (edges.cluster, service, "a",
                               CLUSTER_FLAGS ("--models", models));
  edgecluster_put_server (&edges, servers[0], "ready", entry);
  edgecluster_put_server (&edges, servers[1], "ready", entry);
  edgecluster_configure (&edges, 5000);
  node = cluster_edge (edges.cluster, "a",
                       CLUSTER_FLAGS ("--retry-slack", "54"));
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  return node;
}

static long
call (const struct cluster_proc *node, const char *path, const char *id,
      const char *model)
{
  struct cluster_reply r
      = edgecluster_call (node, "POST", path, id, model, "body");
  const long status = r.status;

  cluster_reply_free (&r);
  return status;
}

/* Guards against a call that is sent once more after a lost answer without
   being an attempt: beyond max_attempts and the retry budget, not logged, and
   with the deadline of the first time. */
static void
test_kept_connection (void)
{
  static const struct
  {
    const char *service;
    const char *models;
    const char *path;
    int status;
    int runs[2];
  } cases[] = {
    { "plain", "", "/v3/x", 502, { 1, 0 } },
    { "plain", "", "/plain/x", 200, { 1, 1 } },
    { "plain", "", "/once/x", 502, { 1, 0 } },
    { "lm", "m1", "/stream/x", 200, { 1, 1 } },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct cluster_proc *node = start (cases[i].service, cases[i].models);
      const char *model = cases[i].models[0] ? cases[i].models : NULL;
      const bool lost = cases[i].status != 200 || cases[i].runs[1] > 0;
      const char *const words[]
          = { "event=attempt-failed", "id-second", "outcome=broken", NULL };

      CU_ASSERT_EQUAL (call (node, cases[i].path, "id-first", model), 200);
      CU_ASSERT_EQUAL (call (node, cases[i].path, "id-second", model),
                       cases[i].status);
      for (int j = 0; j < 2; j++)
        CU_ASSERT_EQUAL (edgecluster_run_count (servers[j], "id-second"),
                         cases[i].runs[j]);
      CU_ASSERT_EQUAL (edgecluster_log_line (node, words) > 0, lost);
      edgecluster_destroy (&edges);
    }
}

static const struct suite_case cases[] = {
  { "kept connection", test_kept_connection },
};
TEST_SUITE ("lost", cases)
