#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "edgecluster.h"
#include "suite.h"

/* Requests that a node takes before or after SIGTERM, and whose servers work
   longer than the grace period. */

#define WAIT_TIMEOUT_MS 15000
#define SERVER_DELAY_MS "20000"
#define SETTLE_MS 300
#define M1 "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"

static struct edgecluster edges;
static struct cluster_proc *server;

static struct cluster_proc *
start (const char *service, const char *grace_s)
{
  const bool engine = service[0] == 'l';
  const char *const plain[] = { "--delay-ms", SERVER_DELAY_MS, NULL };
  const char *const silent[]
      = { "--fault", "no-answer", "--models", "m1", NULL };
  struct cluster_proc *node;

  edges = edgecluster_create ();
  server
      = cluster_server (edges.cluster, service, "a", engine ? silent : plain);
  edgecluster_put_server (&edges, server, "ready", engine ? M1 : "[]");
  edgecluster_configure (&edges, 30000);
  node = cluster_edge (edges.cluster, "a",
                       CLUSTER_FLAGS ("--grace-s", grace_s));
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  return node;
}

/* Guards against a request that was passed on to a server and whose connection
   ends without an answer when the node stops. */
static void
test_unanswered (void)
{
  static const struct
  {
    const char *service;
    const char *path;
    const char *grace_s;
    unsigned after_sigterm_ms; /* 0: before it */
  } cases[] = {
    { "plain", "/once/x", "4", 0 },    { "plain", "/plain/x", "4", 0 },
    { "lm", "/whole/x", "4", 0 },      { "plain", "/once/x", "3", 2300 },
    { "plain", "/plain/x", "2", 900 }, { "plain", "/once/x", "4", 800 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct cluster_proc *node = start (cases[i].service, cases[i].grace_s);
      const bool late = cases[i].after_sigterm_ms > 0;
      struct cluster_request *request;

      if (late)
        {
          cluster_signal (node, SIGTERM);
          usleep (cases[i].after_sigterm_ms * 1000);
        }
      request = edgecluster_call_begin (
          node, "POST", cases[i].path, "id-1",
          cases[i].service[0] == 'l' ? "m1" : NULL, "body");
      if (!late)
        {
          usleep (SETTLE_MS * 1000);
          cluster_signal (node, SIGTERM);
        }

      struct cluster_reply r = cluster_http_wait (request);
      const bool taken = edgecluster_run_count (server, "id-1") > 0;
      const bool answered = r.error == CURLE_OK && r.status == 504;

      CU_ASSERT_TRUE (taken || late);
      CU_ASSERT_EQUAL (answered, taken);
      if (answered != taken)
        fprintf (stderr, "%s, grace %s s, after %u ms: status %ld, error %d\n",
                 cases[i].path, cases[i].grace_s, cases[i].after_sigterm_ms,
                 r.status, (int)r.error);
      cluster_reply_free (&r);
      CU_ASSERT_EQUAL (cluster_wait_exit (node, WAIT_TIMEOUT_MS), 0);
      edgecluster_destroy (&edges);
    }
}

static const struct suite_case cases[] = {
  { "unanswered requests", test_unanswered },
};
TEST_SUITE ("stop", cases)
