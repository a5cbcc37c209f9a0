#include <unistd.h>

#include "edgecluster.h"
#include "suite.h"

/* Clients take streams up again after nodes were killed, so that only the
   store can tell which software version began them. The servers that
   are left are in the failure domains a (v2) and b (v1); the stream is taken
   up in domain a, where a call without a version goes to the server of v2. */

#define ROUTE_TIMEOUT_MS 8000
#define WAIT_TIMEOUT_MS 15000
/* Longer than a node waits before it stores another stream. */
#define STORE_MS 1000
#define CALL_ID "id-1"
#define TAKE_UP_ID "id-2"
#define NODES 2
#define MODELS "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"
#define SERVER(...)                                                           \
  CLUSTER_FLAGS ("--models", "m1" __VA_OPT__ (, ) __VA_ARGS__)
#define NODE CLUSTER_FLAGS ("--retry-slack", "1000", "--log-level", "debug")

static const char rest_of_stream[]
    = "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n"
      "id: 7\ndata: e7\n\nid: 8\ndata: e8\n\n";

/**
 * struct rejoin_case - a stream that begins at v1 and is taken up.
 * @other_in_service: a server of v2 is in service while it runs, and later.
 * @same_left: a server of v1 is left later.
 * @killed: number of nodes that are killed, the stream's first.
 * @resumes: id of the call that the client names.
 * @reason: of a refusal; NULL if the stream goes on at v1.
 */
struct rejoin_case
{
  bool other_in_service;
  bool same_left;
  int killed;
  const char *resumes;
  const char *reason;
};

struct site_procs
{
  struct edgecluster e;
  struct cluster_proc *first;
  struct cluster_proc *same;  /* of v1 */
  struct cluster_proc *other; /* of v2 */
  struct cluster_proc *nodes[NODES];
};

static struct site_procs
start (const struct rejoin_case *x)
{
  struct site_procs p = { .e = edgecluster_create () };

  p.first = cluster_server (p.e.cluster, "lm", "a",
                            SERVER ("--event-gap-ms", "500"));
  p.same = cluster_server (p.e.cluster, "lm", "b", SERVER ());
  p.other = cluster_server (p.e.cluster, "lm", "a", SERVER ());
  edgecluster_put_server_version (&p.e, p.first, "ready", MODELS, "v1");
  edgecluster_configure (&p.e, ROUTE_TIMEOUT_MS);
  for (int i = 0; i < NODES; i++)
    p.nodes[i] = cluster_edge (p.e.cluster, "a", NODE);
  CU_ASSERT_TRUE_FATAL (cluster_ready (p.e.cluster));
  if (x->same_left)
    edgecluster_put_server_version (&p.e, p.same, "ready", MODELS, "v1");
  return p;
}

static bool
has_run (void *ctx)
{
  return edgecluster_run_count (ctx, CALL_ID) > 0;
}

/* Begins a stream at the first server. Then a server of v2 comes, nodes
   are killed while the stream runs, and the first server is gone when they
   start again. */
static void
break_off (struct site_procs *p, const struct rejoin_case *x)
{
  struct cluster_request *call = edgecluster_call_begin (
      p->nodes[0], "POST", "/stream/x", CALL_ID, "m1", "prompt");
  struct cluster_reply r;

  CU_ASSERT_TRUE (cluster_poll_until (has_run, p->first, WAIT_TIMEOUT_MS));
  if (x->other_in_service)
    edgecluster_put_server_version (&p->e, p->other, "ready", MODELS, "v2");
  usleep (STORE_MS * 1000);
  for (int i = 0; i < x->killed; i++)
    cluster_kill (p->nodes[i]);
  r = cluster_http_wait (call);
  CU_ASSERT_NOT_EQUAL (r.error, CURLE_OK);
  CU_ASSERT_TRUE (r.body.len > 0);
  cluster_reply_free (&r);
  edgecluster_delete_object (&p->e, "servers", p->first->name);
  for (int i = 0; i < x->killed; i++)
    CU_ASSERT_TRUE_FATAL (cluster_restart (p->nodes[i]));
  CU_ASSERT_TRUE_FATAL (cluster_ready (p->e.cluster));
}

static bool
has_stored_streams (const struct site_procs *p)
{
  struct cluster_reply r
      = cluster_http (p->e.store, "GET", "/objects/galenagate-streams", NULL,
                      "", EDGE_CALL_TIMEOUT_MS);
  const bool stored = !cluster_contains (&r, "\"items\":[]");

  CU_ASSERT_EQUAL (r.status, 200);
  cluster_reply_free (&r);
  return stored;
}

/* Takes the stream up at the node that did not begin it. */
static void
check_rejoined (const struct rejoin_case *x)
{
  struct site_procs p = start (x);

  break_off (&p, x);
  struct cluster_reply r = edgecluster_take_up (p.nodes[1], "/stream/x",
                                                TAKE_UP_ID, x->resumes, 3);
  CU_ASSERT_EQUAL (r.error, CURLE_OK);
  CU_ASSERT_EQUAL (r.status, x->reason ? 503 : 200);
  if (x->reason)
    {
      CU_ASSERT_TRUE (cluster_contains (&r, x->reason));
    }
  else
    {
      CU_ASSERT (str_eq (buf_str (&r.body), str_from (rest_of_stream)));
    }
  CU_ASSERT_EQUAL (edgecluster_run_count (p.same, TAKE_UP_ID), !x->reason);
  CU_ASSERT_EQUAL (edgecluster_run_count (p.other, TAKE_UP_ID), 0);
  cluster_reply_free (&r);
  CU_ASSERT_EQUAL (has_stored_streams (&p), x->other_in_service);
  edgecluster_destroy (&p.e);
}

/* Guards against a stream that is joined from two software versions, because
   all nodes were killed and take it up at the best server. */
static void
test_same_version (void)
{
  check_rejoined (&(struct rejoin_case){ true, true, NODES, CALL_ID, NULL });
}

/* Likewise, when the last server of the version that began it has left. */
static void
test_other_version (void)
{
  check_rejoined (&(struct rejoin_case){ true, false, NODES, CALL_ID,
                                         "no-server-of-version" });
}

/* Guards against a stream of unknown origin that goes on at the only version
   that nodes see after they were all killed. */
static void
test_unknown (void)
{
  check_rejoined (&(struct rejoin_case){ true, false, NODES, "id-0",
                                         "stream-origin-unknown" });
}

/* Guards against the refusal of streams after all nodes were killed, and
   against writes to the store, in a service with one software version. */
static void
test_one_version (void)
{
  check_rejoined (&(struct rejoin_case){ false, true, NODES, CALL_ID, NULL });
}

/* Guards against a stream that is joined from two software versions, because
   its node was killed and another one takes it up. */
static void
test_one_node (void)
{
  check_rejoined (&(struct rejoin_case){ true, true, 1, CALL_ID, NULL });
}

static const struct suite_case cases[] = {
  { "all nodes killed, same version left", test_same_version },
  { "all nodes killed, only another version left", test_other_version },
  { "all nodes killed, stream of unknown origin", test_unknown },
  { "all nodes killed, one version", test_one_version },
  { "node of the stream killed, same version left", test_one_node },
};
TEST_SUITE ("rejoined", cases)
