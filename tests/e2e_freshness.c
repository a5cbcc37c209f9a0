#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "edgecluster.h"
#include "suite.h"

/* Nodes that accept reads from stale views of the store while the placement
   holder announces the newest revisions to them. */

#define WAIT_TIMEOUT_MS 15000
#define NODES 2
/* Number of stale reads to wait for, to be sure that idle nodes read from the
   stale view. */
#define STALE_READS_AWAITED 3

/* The first node is the placement holder, because the second one starts only
   after the first is ready. */
struct site
{
  struct edgecluster edges;
  struct cluster_proc *server;
  struct cluster_proc *nodes[NODES];
};

static json_int_t
stale_read_count (const struct site *s)
{
  return cluster_json_int (s->edges.store, "/counts", "stale_reads");
}

/* A number of started stale reads to wait for. */
struct stale_read_goal
{
  const struct site *site;
  json_int_t minimum;
};

static bool
goal_reached (void *ctx)
{
  const struct stale_read_goal *goal = ctx;

  return stale_read_count (goal->site) >= goal->minimum;
}

static bool
wait_stale_reads (const struct site *s)
{
  struct stale_read_goal goal
      = { s, stale_read_count (s) + STALE_READS_AWAITED };

  return cluster_poll_until (goal_reached, &goal, WAIT_TIMEOUT_MS);
}

static struct site
start_site (void)
{
  struct site s = { .edges = edgecluster_create () };
  struct cluster *c = s.edges.cluster;

  s.server = cluster_server (c, "plain", "a", NULL);
  edgecluster_put_server (&s.edges, s.server, "ready", "[]");
  edgecluster_configure (&s.edges, 5000);
  for (int i = 0; i < NODES; i++)
    {
      s.nodes[i] = cluster_edge (c, "a", NULL);
      CU_ASSERT_TRUE_FATAL (cluster_ready (c));
    }
  CU_ASSERT_TRUE (wait_stale_reads (&s));
  return s;
}

struct expected_status
{
  const struct cluster_proc *node;
  long status;
};

static bool
has_status (void *ctx)
{
  const struct expected_status *x = ctx;
  struct cluster_reply r
      = edgecluster_call (x->node, "GET", "/plain/x", "id-1", NULL, NULL);
  const bool ok = r.status == x->status;

  cluster_reply_free (&r);
  return ok;
}

static bool
status_becomes (const struct cluster_proc *node, long status)
{
  struct expected_status x = { node, status };

  return cluster_poll_until (has_status, &x, WAIT_TIMEOUT_MS);
}

static void
remove_routes (struct site *s)
{
  edgecluster_put_object (&s->edges, "config", "main",
                          "{\"version\":50,\"routes\":[],\"services\":[]}");
}

/* Guards against a node that never learns of a new configuration or a leaving
   server, because its view of the store does not advance. */
static void
test_view_does_not_advance (void)
{
  struct site s = start_site ();

  edgecluster_set_faults (&s.edges, "{\"stale\":true}");
  edgecluster_put_server (&s.edges, s.server, "draining", "[]");
  for (int i = 0; i < NODES; i++)
    CU_ASSERT_TRUE (status_becomes (s.nodes[i], 503));
  remove_routes (&s);
  for (int i = 0; i < NODES; i++)
    CU_ASSERT_TRUE (status_becomes (s.nodes[i], 404));
  edgecluster_destroy (&s.edges);
}

/* Guards against a node with a stale view that misses a new configuration when
   no revisions are announced, because the placement holder is stopped or
   cannot be reached. */
static void
test_holder_stopped (void)
{
  struct site s = start_site ();

  edgecluster_set_faults (&s.edges, "{\"stale\":true}");
  cluster_signal (s.nodes[0], SIGSTOP);
  remove_routes (&s);
  CU_ASSERT_TRUE (status_becomes (s.nodes[1], 404));
  cluster_signal (s.nodes[0], SIGCONT);
  CU_ASSERT_TRUE (status_becomes (s.nodes[0], 404));
  edgecluster_destroy (&s.edges);
}

/* Guards against a placement holder that itself reads from a stale view: no
   node would learn of a change. */
static void
test_holder_does_not_read_stale (void)
{
  struct site s = start_site ();

  cluster_kill (s.nodes[1]);
  edgecluster_set_faults (&s.edges, "{\"stale\":true}");
  remove_routes (&s);
  CU_ASSERT_TRUE (status_becomes (s.nodes[0], 404));
  edgecluster_destroy (&s.edges);
}

static int
log_lines_with (const struct cluster_proc *node, const char *word)
{
  FILE *f = fopen (node->log, "r");
  char line[4096];
  int n = 0;

  while (f && fgets (line, sizeof line, f))
    n += strstr (line, word) != NULL;
  if (f)
    fclose (f);
  return n;
}

/* Guards against changes that are applied twice when a stale view ends before
   a revision that the node has already read: a server that came back would be
   removed again. */
static void
test_view_goes_back (void)
{
  struct site s = start_site ();

  edgecluster_set_faults (&s.edges, "{\"stale\":true}");
  edgecluster_delete_object (&s.edges, "servers", s.server->name);
  CU_ASSERT_TRUE (status_becomes (s.nodes[1], 503));
  edgecluster_put_server (&s.edges, s.server, "ready", "[]");
  CU_ASSERT_TRUE (status_becomes (s.nodes[1], 200));
  /* Reads that end at the last revision of the stale view, then reads that
     start from it. */
  CU_ASSERT_TRUE (wait_stale_reads (&s));
  CU_ASSERT_TRUE (wait_stale_reads (&s));
  edgecluster_set_faults (&s.edges, "{}");
  CU_ASSERT_TRUE (wait_stale_reads (&s));
  CU_ASSERT_TRUE (status_becomes (s.nodes[1], 200));
  CU_ASSERT_EQUAL (log_lines_with (s.nodes[1], "event=server-removed"), 1);
  edgecluster_destroy (&s.edges);
}

static const struct suite_case cases[] = {
  { "view goes back", test_view_goes_back },
  { "view does not advance", test_view_does_not_advance },
  { "holder stopped", test_holder_stopped },
  { "holder does not read stale", test_holder_does_not_read_stale },
};
TEST_SUITE ("freshness", cases)
