#include <signal.h>
#include <stdio.h>
#include <string.h>

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

/* Waits until the nodes have begun more stale reads. */
struct more_reads
{
  const struct site *site;
  json_int_t least;
};

static bool
have_read (void *ctx)
{
  const struct more_reads *m = ctx;

  return stale_reads (m->site) >= m->least;
}

static bool
read_more (const struct site *s)
{
  struct more_reads m = { s, stale_reads (s) + READS };

  return cluster_until (have_read, &m, WAIT_MS);
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
  CU_ASSERT_TRUE (read_more (&s));
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

static int
lines_with (const struct cluster_proc *node, const char *word)
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

/* Guards against changes that are taken over a second time when a stale view
   ends before what was read already: a server that came back would be removed
   again. */
static void
test_view_falls_back (void)
{
  struct site s = start_site ();

  edges_faults (&s.edges, "{\"stale\":true}");
  edges_delete (&s.edges, "servers", s.server->name);
  CU_ASSERT_TRUE (becomes (s.nodes[1], 503));
  edges_register (&s.edges, s.server, "ready", "[]");
  CU_ASSERT_TRUE (becomes (s.nodes[1], 200));
  /* Reads that end where the view stands, and begin there. */
  CU_ASSERT_TRUE (read_more (&s));
  CU_ASSERT_TRUE (read_more (&s));
  edges_faults (&s.edges, "{}");
  CU_ASSERT_TRUE (read_more (&s));
  CU_ASSERT_TRUE (becomes (s.nodes[1], 200));
  CU_ASSERT_EQUAL (lines_with (s.nodes[1], "event=server-removed"), 1);
  edges_destroy (&s.edges);
}

static const struct suite_case cases[] = {
  { "view falls back", test_view_falls_back },
  { "view stands still", test_view_stands_still },
  { "holder stopped", test_holder_stopped },
  { "holder reads fresh", test_holder_reads_fresh },
};
TEST_SUITE ("freshness", cases)
