#include <stdio.h>

#include "edgecluster.h"
#include "err.h"
#include "suite.h"

/* Entries of other writers with odd names in a list of servers that is longer
   than one page of the store. */

#define WAIT_TIMEOUT_MS 15000
#define NODES 2
/* Number of entries whose names sort before the odd one, which is then the
   last of the first page, and behind its first letter alone. */
#define ENTRIES_BEFORE 49
#define NAME_BEFORE_FMT "a!%02d"

static struct edgecluster edges;
static struct cluster_proc *nodes[NODES];
static struct cluster_proc *server;

static void
put_other_service (const char *name)
{
  edgecluster_put_object (&edges, "servers", name,
                          "{\"service\":\"other\",\"address\":\"127.0.0.1:9\","
                          "\"zone\":\"a\",\"slots\":8,\"state\":\"ready\"}");
}

static void
start (void)
{
  char name[16];

  edges = edgecluster_create ();
  server = cluster_server (edges.cluster, "plain", "a", NULL);
  for (int i = 0; i < ENTRIES_BEFORE; i++)
    {
      snprintf (name, sizeof name, NAME_BEFORE_FMT, i);
      put_other_service (name);
    }
  edgecluster_put_server (&edges, server, "ready", "[]");
  edgecluster_configure (&edges, 5000);
  for (int i = 0; i < NODES; i++)
    nodes[i] = cluster_edge (edges.cluster, "a", NULL);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
}

static bool
is_served (void *ctx)
{
  struct cluster_reply r
      = edgecluster_call (ctx, "POST", "/once/x", "id-1", NULL, "body");
  const bool served = r.error == CURLE_OK && r.status == 200;

  cluster_reply_free (&r);
  return served;
}

static void
restart_all_nodes (void)
{
  for (int i = 0; i < NODES; i++)
    cluster_kill (nodes[i]);
  for (int i = 0; i < NODES; i++)
    CU_ASSERT_TRUE (cluster_restart (nodes[i]));
}

/* Guards against nodes that serve nothing after a restart, because the name of
   the last entry of a page changes on the way back to the store and the list
   is never read to its end. */
static void
test_names (void)
{
  static const char *const names[] = {
    "a&b",  "a+b",   "a#b",    "a%20b",     "a%b",    "a%",     "ab c",
    "ab ",  "a?b=c", "a=b",    "a&after=z", "a&+#% ", "a;b",    "a\"b",
    "a\\b", "a'b",   "a/../b", "a<b>",      "ab\nc",  "ab\177", "ab\303\251",
  };

  start ();
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    {
      put_other_service (names[i]);
      restart_all_nodes ();
      for (int j = 0; j < NODES; j++)
        {
          const bool served
              = cluster_poll_until (is_served, nodes[j], WAIT_TIMEOUT_MS);

          CU_ASSERT_TRUE (served);
          if (!served)
            fprintf (stderr, "not served beside the entry \"%s\"\n", names[i]);
        }
      edgecluster_delete_object (&edges, "servers", names[i]);
    }
  edgecluster_destroy (&edges);
}

static const struct suite_case cases[] = {
  { "odd names", test_names },
};
TEST_SUITE ("entries", cases)
