#include <stdio.h>
#include <string.h>

#include "edgecluster.h"
#include "suite.h"

/* Connections of a node to the store that go silent or are closed, while the
   store itself serves, and outages of the store. */

#define WAIT_TIMEOUT_MS 15000

static struct edgecluster edges;
static struct cluster_proc *node;
static struct cluster_proc *server;

static void
start (void)
{
  edges = edgecluster_create ();
  server = cluster_server (edges.cluster, "plain", "a", NULL);
  edgecluster_put_server (&edges, server, "ready", "[]");
  edgecluster_configure (&edges, 5000);
  node = cluster_edge (edges.cluster, "a", NULL);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
}

static bool
wait_logged (const char *event, const char *word)
{
  const char *const words[] = { event, word, NULL };

  return edgecluster_wait_logged (node, words);
}

static long
call_status (const char *id)
{
  struct cluster_reply r
      = edgecluster_call (node, "GET", "/plain/x", id, NULL, NULL);
  const long status = r.status;

  cluster_reply_free (&r);
  return status;
}

struct read_goal
{
  json_int_t minimum;
};

static bool
store_was_read (void *ctx)
{
  const struct read_goal *goal = ctx;

  return cluster_json_int (edges.store, "/counts", "reads") >= goal->minimum;
}

/* Waits until the node has called the store again. */
static void
wait_for_read (void)
{
  struct read_goal goal
      = { cluster_json_int (edges.store, "/counts", "reads") + 2 };

  CU_ASSERT_TRUE (cluster_poll_until (store_was_read, &goal, WAIT_TIMEOUT_MS));
}

/* Guards against a node that takes the loss of its own connections for an
   outage of the store, and then uses a removed server as if its entry had
   expired in the outage. */
static void
test_own_connections (void)
{
  static const char *const faults[]
      = { "{\"silence_open\":true}", "{\"cut_watches\":true}", "{}" };

  for (size_t i = 0; i < sizeof faults / sizeof *faults; i++)
    {
      start ();
      CU_ASSERT_EQUAL (call_status ("id-before"), 200);
      wait_for_read ();
      edgecluster_set_faults (&edges, faults[i]);
      edgecluster_delete_object (&edges, "servers", server->name);
      CU_ASSERT_TRUE (wait_logged ("event=server-removed", server->name));
      CU_ASSERT_EQUAL (call_status ("id-after"), 503);
      CU_ASSERT_EQUAL (edgecluster_run_count (server, "id-after"), 0);
      edgecluster_destroy (&edges);
    }
}

/* Guards against giving up a live server whose entry expired in an outage of
   the store. */
static void
test_outage (void)
{
  static const char *const faults[]
      = { "{\"silent\":true}", "{\"down\":true}" };

  for (size_t i = 0; i < sizeof faults / sizeof *faults; i++)
    {
      start ();
      edgecluster_set_faults (&edges, faults[i]);
      CU_ASSERT_TRUE (wait_logged ("event=store-lost", "kind=servers"));
      edgecluster_delete_object (&edges, "servers", server->name);
      /* The outage lasts until several calls have failed. */
      CU_ASSERT_EQUAL (cluster_wait_exit (node, 4000), -1);
      edgecluster_set_faults (&edges, "{}");
      CU_ASSERT_TRUE (wait_logged ("event=server-removed", server->name));
      CU_ASSERT_EQUAL (call_status ("id-after"), 200);
      edgecluster_put_server (&edges, server, "ready", "[]");
      CU_ASSERT_EQUAL (call_status ("id-back"), 200);
      edgecluster_destroy (&edges);
    }
}

/* Guards against the same failure in an outage that ends before a node has
   seen two calls fail. The placement holder notices that the store does not
   answer, and the node replaces its call. */
static void
test_short_outage (void)
{
  static const char *const replaced[] = { "event=stale-view", NULL };
  static const char *const removed[] = { "event=server-removed", NULL };
  struct cluster_proc *follower;

  start ();
  follower = cluster_edge (edges.cluster, "a",
                           CLUSTER_FLAGS ("--log-level", "debug"));
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  wait_for_read ();
  wait_for_read ();
  edgecluster_set_faults (&edges, "{\"silent\":true}");
  CU_ASSERT_TRUE (edgecluster_wait_logged (follower, replaced));
  edgecluster_delete_object (&edges, "servers", server->name);
  edgecluster_set_faults (&edges, "{}");
  CU_ASSERT_TRUE (edgecluster_wait_logged (follower, removed));

  struct cluster_reply r
      = edgecluster_call (follower, "GET", "/plain/x", "id-short", NULL, NULL);
  CU_ASSERT_EQUAL (r.status, 200);
  cluster_reply_free (&r);
  edgecluster_destroy (&edges);
}

static bool
watch_was_short (void *ctx)
{
  const json_int_t *limit_ms = ctx;

  return cluster_json_int (edges.store, "/counts", "shortest_wait_ms")
         <= *limit_ms;
}

/* Guards against a view that is older than contact-ms, because a watch on a
   silent connection was started only after a pause that follows changes. */
static void
test_watch_after_pause (void)
{
  /* Of contact-ms, 3000, watches wait 2190; the pause is 800 at most. */
  json_int_t limit_ms = 2190 - 800;

  start ();
  edgecluster_configure (&edges, 5000);
  CU_ASSERT_TRUE (
      cluster_poll_until (watch_was_short, &limit_ms, WAIT_TIMEOUT_MS));
  edgecluster_destroy (&edges);
}

static const struct suite_case cases[] = {
  { "own connections lost", test_own_connections },
  { "outage of the store", test_outage },
  { "short outage of the store", test_short_outage },
  { "watch after a pause", test_watch_after_pause },
};
TEST_SUITE ("silence", cases)
