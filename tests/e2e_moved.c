#include <stdio.h>

#include "edgecluster.h"
#include "suite.h"

/* Streams that clients take up at another node after the configuration has
   moved their route from one service to another one. The services have servers
   of different software versions. */

#define WAIT_TIMEOUT_MS 15000
#define CALL_ID "id-1"
#define TAKE_UP_ID "id-2"
#define NODES 2
#define SERVERS 3
#define SERVER CLUSTER_FLAGS ("--models", "m1", "--event-gap-ms", "300")
#define NODE CLUSTER_FLAGS ("--retry-slack", "1000", "--log-level", "debug")
#define MODELS "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"
/* Draws the other service once in a billion calls. */
#define NEARLY_ALL 1000000000

static const char rest_of_stream[]
    = "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n"
      "id: 7\ndata: e7\n\nid: 8\ndata: e8\n\n";

/* Servers of the tests. */
enum
{
  OLD_V1, /* of the service "old" */
  NEW_V1, /* of the service "new" */
  NEW_V2, /* likewise; in the nodes' failure domain */
};

/* Weights of the two services; a service of weight 0 is left out. */
struct weights
{
  unsigned of_old;
  unsigned of_new;
};

/**
 * struct move_case - a stream, and a change of the configuration.
 * @before: weights when the stream begins.
 * @after: weights when it is taken up.
 * @listed: servers that have an entry.
 * @begins_at: server of the first attempt.
 * @goes_on_at: server of the second one; -1 if the call is refused.
 */
struct move_case
{
  struct weights before;
  struct weights after;
  bool listed[SERVERS];
  int begins_at;
  int goes_on_at;
};

struct move_test
{
  struct edgecluster e;
  struct cluster_proc *servers[SERVERS];
  struct cluster_proc *nodes[NODES];
};

static struct str
target_json (const char *service, unsigned weight)
{
  return weight > 0 ? str_printf ("{\"service\":\"%s\",\"weight\":%u}",
                                  service, weight)
                    : str_dup (STR (""));
}

static void
configure (const struct move_test *t, int version, const struct weights *w)
{
  struct str old_target = target_json ("old", w->of_old);
  struct str new_target = target_json ("new", w->of_new);
  struct str spec = str_printf (
      "{\"version\":%d,\"routes\":[{\"name\":\"s\",\"hostname\":"
      "\"test.example\",\"path_prefix\":\"/s/\",\"route_type\":\"streaming\","
      "\"timeout_ms\":8000,\"latency_target_ms\":200,\"priority\":1,"
      "\"weighted_services\":[" STR_FMT "%s" STR_FMT "],\"max_attempts\":2,"
      "\"resumable\":true,\"gap_aim_ms\":100}],\"services\":["
      "{\"name\":\"old\",\"max_connections\":100},"
      "{\"name\":\"new\",\"max_connections\":100}],\"limits\":{"
      "\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
      version, STR_ARG (old_target), w->of_old > 0 && w->of_new > 0 ? "," : "",
      STR_ARG (new_target));

  edgecluster_put_object (&t->e, "config", "main", spec.data);
  str_free (&spec);
  str_free (&old_target);
  str_free (&new_target);
}

static struct move_test
start (const struct move_case *x)
{
  static const struct
  {
    const char *service;
    const char *domain;
    const char *version;
  } servers[SERVERS] = { [OLD_V1] = { "old", "a", "v1" },
                         [NEW_V1] = { "new", "b", "v1" },
                         [NEW_V2] = { "new", "a", "v2" } };
  struct move_test t = { .e = edgecluster_create () };

  for (int i = 0; i < SERVERS; i++)
    {
      t.servers[i] = cluster_server (t.e.cluster, servers[i].service,
                                     servers[i].domain, SERVER);
      if (x->listed[i])
        edgecluster_put_server_version (&t.e, t.servers[i], "ready", MODELS,
                                        servers[i].version);
    }
  configure (&t, 3, &x->before);
  for (int i = 0; i < NODES; i++)
    t.nodes[i] = cluster_edge (t.e.cluster, "a", NODE);
  CU_ASSERT_TRUE_FATAL (cluster_ready (t.e.cluster));
  return t;
}

static bool
has_run (void *ctx)
{
  return edgecluster_run_count (ctx, CALL_ID) > 0;
}

static bool
is_stored (void *ctx)
{
  const struct move_test *t = ctx;
  char path[128];

  snprintf (path, sizeof path, "/objects/galenagate-streams/%s",
            t->nodes[0]->name);
  struct cluster_reply r
      = cluster_http (t->e.store, "GET", path, NULL, NULL, WAIT_TIMEOUT_MS);
  const bool found = r.status == 200;

  cluster_reply_free (&r);
  return found;
}

static void
move_route (struct move_test *t, const struct move_case *x)
{
  configure (t, 5, &x->after);
  for (int i = 0; i < NODES; i++)
    CU_ASSERT_TRUE (edgecluster_wait_logged (
        t->nodes[i],
        (const char *const[]){ "event=config ", "version=5 ", NULL }));
  CU_ASSERT_TRUE (cluster_poll_until (is_stored, t, WAIT_TIMEOUT_MS));
}

/* Takes the stream up at the node that did not begin it. */
static void
check_moved (const struct move_case *x)
{
  struct move_test t = start (x);
  struct cluster_request *call = edgecluster_call_begin (
      t.nodes[0], "POST", "/s/x", CALL_ID, "m1", "prompt");

  CU_ASSERT_TRUE (
      cluster_poll_until (has_run, t.servers[x->begins_at], WAIT_TIMEOUT_MS));
  move_route (&t, x);
  struct cluster_reply r
      = edgecluster_take_up (t.nodes[1], "/s/x", TAKE_UP_ID, CALL_ID, 3);
  CU_ASSERT_EQUAL (r.status, x->goes_on_at >= 0 ? 200 : 503);
  CU_ASSERT (x->goes_on_at >= 0
                 ? str_eq (buf_str (&r.body), str_from (rest_of_stream))
                 : cluster_contains (&r, "no-server-of-version"));
  cluster_reply_free (&r);
  for (int i = 0; i < SERVERS; i++)
    CU_ASSERT_EQUAL (edgecluster_run_count (t.servers[i], TAKE_UP_ID),
                     i == x->goes_on_at);
  r = cluster_http_wait (call);
  cluster_reply_free (&r);
  edgecluster_destroy (&t.e);
}

/* Guards against the refusal of streams of a service with one version, because
   the weights of their route now draw one with two. */
static void
test_weights_changed (void)
{
  check_moved (&(struct move_case){ .before = { 1, 0 },
                                    .after = { 1, NEARLY_ALL },
                                    .listed = { true, true, true },
                                    .begins_at = OLD_V1,
                                    .goes_on_at = OLD_V1 });
}

/* Guards against a stream that goes on at another version, because the weights
   of its route now draw a service with one. */
static void
test_weights_changed_back (void)
{
  check_moved (&(struct move_case){ .before = { 0, 1 },
                                    .after = { NEARLY_ALL, 1 },
                                    .listed = { true, false, true },
                                    .begins_at = NEW_V2,
                                    .goes_on_at = NEW_V2 });
}

/* Guards against the refusal of streams whose service the route has no more,
   although their version serves in the one that it has. */
static void
test_service_replaced (void)
{
  check_moved (&(struct move_case){ .before = { 1, 0 },
                                    .after = { 0, 1 },
                                    .listed = { true, true, true },
                                    .begins_at = OLD_V1,
                                    .goes_on_at = NEW_V1 });
}

/* Guards against a stream that goes on at another version, because its service
   was replaced by one that has only this version. */
static void
test_version_replaced (void)
{
  check_moved (&(struct move_case){ .before = { 1, 0 },
                                    .after = { 0, 1 },
                                    .listed = { true, false, true },
                                    .begins_at = OLD_V1,
                                    .goes_on_at = -1 });
}

static const struct suite_case cases[] = {
  { "weights changed", test_weights_changed },
  { "weights changed, drawn service has one version",
    test_weights_changed_back },
  { "service replaced", test_service_replaced },
  { "service replaced by one of another version", test_version_replaced },
};
TEST_SUITE ("moved", cases)
