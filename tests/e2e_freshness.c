#include <signal.h>

#include "edgecluster.h"
#include "suite.h"

/* Nodes that read from stale views of the store, as long as the placement
   holder tells them the newest revisions. */

#define WAIT_MS 15000
#define NODES 2
/* Reads of a node at rest that show which view it uses. */
#define READS 3

/* The first node is the holder: the second one starts when it is ready. */
struct site
{
  struct edges edges;
  struct cluster_proc *server;
  struct cluster_proc *nodes[NODES];
};

static json_int_t
stale_reads (const struct site *s)
{
  return cluster_count (s->edges.store, "/counts", "stale_reads");
}

static bool
reads_stale (void *ctx)
{
  return stale_reads (ctx) >= READS;
}

static struct site
start_site (void)
{
  struct site s = { .edges = edges_create () };
  struct cluster *c = s.edges.cluster;

  s.server = cluster_server (c, "plain", "a", NULL);
  edges_register (&s.edges, s.server, "ready", "[]");
  edges_configure (&s.edges, 5000);
  for (int i = 0; i < NODES; i++)
    {
      s.nodes[i] = cluster_edge (c, "a", NULL);
      CU_ASSERT_TRUE_FATAL (cluster_ready (c));
    }
  CU_ASSERT_TRUE (cluster_until (reads_stale, &s, WAIT_MS));
  return s;
}

struct expected
{
  const struct cluster_proc *node;
  long status;
};

static bool
has_status (void *ctx)
{
  const struct expected *x = ctx;
  struct cluster_reply r
      = edges_call (x->node, "GET", "/plain/x", "id-1", NULL, NULL);
  const bool ok = r.status == x->status;

  cluster_reply_free (&r);
  return ok;
}

static bool
becomes (const struct cluster_proc *node, long status)
{
  struct expected x = { node, status };

  return cluster_until (has_status, &x, WAIT_MS);
}

static void
drop_routes (struct site *s)
{
  edges_put (&s->edges, "config", "main",
             "{\"version\":50,\"routes\":[],\"services\":[]}");
}

/* Guards against a configuration, or a server that leaves, that a node never
   hears of because its view of the store stands still. */
static void
test_view_stands_still (void)
{
  struct site s = start_site ();

  edges_faults (&s.edges, "{\"stale\":true}");
  edges_register (&s.edges, s.server, "draining", "[]");
  for (int i = 0; i < NODES; i++)
    CU_ASSERT_TRUE (becomes (s.nodes[i], 503));
  drop_routes (&s);
  for (int i = 0; i < NODES; i++)
    CU_ASSERT_TRUE (becomes (s.nodes[i], 404));
  edges_destroy (&s.edges);
}

/* Guards against the same while nobody tells the newest revision, because the
   holder is stopped or the node is cut from it. */
static void
test_holder_stopped (void)
{
  struct site s = start_site ();

  edges_faults (&s.edges, "{\"stale\":true}");
  cluster_signal (s.nodes[0], SIGSTOP);
  drop_routes (&s);
  CU_ASSERT_TRUE (becomes (s.nodes[1], 404));
  cluster_signal (s.nodes[0], SIGCONT);
  CU_ASSERT_TRUE (becomes (s.nodes[0], 404));
  edges_destroy (&s.edges);
}

/* Guards against a holder that reads from a stale view itself: nobody would
   learn of a change. */
static void
test_holder_reads_fresh (void)
{
  struct site s = start_site ();

  cluster_kill (s.nodes[1]);
  edges_faults (&s.edges, "{\"stale\":true}");
  drop_routes (&s);
  CU_ASSERT_TRUE (becomes (s.nodes[0], 404));
  edges_destroy (&s.edges);
}

static const struct suite_case cases[] = {
  { "view stands still", test_view_stands_still },
  { "holder stopped", test_holder_stopped },
  { "holder reads fresh", test_holder_reads_fresh },
};
TEST_SUITE ("freshness", cases)
