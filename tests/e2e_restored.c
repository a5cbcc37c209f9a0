#include <stdio.h>
#include <stdlib.h>

#include "edgecluster.h"
#include "err.h"
#include "suite.h"

/* The platform's store comes back from an older copy: what was written since
   is gone, and its revisions are given out again. */

#define WAIT_TIMEOUT_MS 30000
#define STORE_CALL_TIMEOUT_MS 3000
#define ERA_FLAGS CLUSTER_FLAGS ("--era", "7")
#define NO_MODELS "[]"
#define M1_ONLY "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"
#define MODEL_SERVERS 2
/* Writes between the copy and what is lost, so that the store, once restored,
   is far from the revisions that the nodes know. */
#define WRITES_LOST 20
/* Enough writes for the restored store to give out all of them again. */
#define WRITES_AGAIN 60
#define CALLS 20

static struct edgecluster edges;

/* ---- store ---- */

static void
write_others (int count)
{
  for (int i = 0; i < count; i++)
    edgecluster_put_object (&edges, "others", "object", "{}");
}

static void
keep_copy (void)
{
  edgecluster_set_faults (&edges, "{\"copy\":true}");
}

/* The store is away until end_restore(), and only the test can write to it. */
static void
begin_restore (void)
{
  edgecluster_set_faults (&edges, "{\"restore\":true,\"down\":true}");
}

static void
end_restore (void)
{
  edgecluster_set_faults (&edges, "{}");
}

/* ---- calls ---- */

struct expected_call
{
  const struct cluster_proc *edge;
  const char *path;
  const char *model;
  const char *id;
};

static bool
is_served (void *ctx)
{
  const struct expected_call *x = ctx;
  struct cluster_reply r
      = edgecluster_call (x->edge, "POST", x->path, x->id, x->model, "body");
  const bool served = r.error == CURLE_OK && r.status == 200;

  cluster_reply_free (&r);
  return served;
}

static bool
wait_served (const struct cluster_proc *edge, const char *path,
             const char *model)
{
  struct expected_call x = { edge, path, model, "wait" };

  return cluster_poll_until (is_served, &x, WAIT_TIMEOUT_MS);
}

/* Checks that all calls are served, and none by @unusable, which may be NULL.
 */
static void
check_calls (const struct cluster_proc *edge,
             const struct cluster_proc *unusable)
{
  struct expected_call x = { edge, "/once/x", NULL, "late" };
  int served = 0;

  for (int i = 0; i < CALLS; i++)
    served += is_served (&x);
  CU_ASSERT_EQUAL (served, CALLS);
  const json_int_t runs
      = unusable ? edgecluster_run_count (unusable, "late") : 0;
  CU_ASSERT_EQUAL (runs, 0);
  if (runs > 0)
    fprintf (stderr, "%lld of %d calls at %s\n", runs, CALLS, unusable->name);
}

/* Writes the entry of a new server and waits until the node uses it. The node
   has then read all entries that were written before. May be called once a
   test. */
static void
wait_entries_read (const struct cluster_proc *edge)
{
  struct cluster_proc *server = cluster_server (
      edges.cluster, "lm", "a", CLUSTER_FLAGS ("--models", "m1"));

  edgecluster_put_server (&edges, server, "ready", M1_ONLY);
  CU_ASSERT_TRUE (wait_served (edge, "/stream/x", "m1"));
}

static struct cluster_proc *
start_node (void)
{
  struct cluster_proc *edge = cluster_edge (edges.cluster, "a", NULL);

  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  return edge;
}

/* ---- stand-in ---- */

static void
check_answer (const char *path, long status, const char *era)
{
  struct cluster_reply r = cluster_http (edges.store, "GET", path, NULL, NULL,
                                         STORE_CALL_TIMEOUT_MS);

  CU_ASSERT_EQUAL (r.status, status);
  CU_ASSERT_TRUE (str_eq (cluster_header (&r, "store-era"), str_from (era)));
  cluster_reply_free (&r);
}

static json_int_t
current_revision (void)
{
  return cluster_json_int (edges.store, "/objects/others", "current_rev");
}

/* Guards against a stand-in that keeps what was written after the copy, or
   answers without its era. */
static void
test_standin (void)
{
  char late_watch[64];

  edges = edgecluster_create_with (ERA_FLAGS);
  edgecluster_put_object (&edges, "others", "kept", "{}");
  const json_int_t kept = current_revision ();
  keep_copy ();
  edgecluster_put_object (&edges, "others", "lost", "{}");
  edgecluster_delete_object (&edges, "others", "kept");
  snprintf (late_watch, sizeof late_watch,
            "/objects/others?watch=%lld&wait_ms=1", current_revision ());
  check_answer ("/objects/others/lost", 200, "7");
  check_answer (late_watch, 200, "7");
  begin_restore ();
  check_answer ("/objects/others/kept", 503, "8");
  end_restore ();
  check_answer ("/objects/others/kept", 200, "8");
  check_answer ("/objects/others/lost", 404, "8");
  check_answer (late_watch, 410, "8");
  CU_ASSERT_EQUAL (current_revision (), kept);
  edgecluster_destroy (&edges);
  edges = edgecluster_create ();
  check_answer ("/objects/others", 200, "");
  edgecluster_destroy (&edges);
}

/* ---- fencing tokens ---- */

/* The servers have room for four of the models, so that some are held by none.
 */
static const char *const models[]
    = { "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", NULL };
static struct cluster_proc *model_servers[MODEL_SERVERS];

static void
start_model_servers (void)
{
  edges = edgecluster_create_with (ERA_FLAGS);
  edges.more_models = models + 4; /* besides m1 to m4 */
  for (int i = 0; i < MODEL_SERVERS; i++)
    {
      model_servers[i] = cluster_server (edges.cluster, "lm", "a",
                                         CLUSTER_FLAGS ("--models", "-"));
      edgecluster_put_server (&edges, model_servers[i], "ready", NO_MODELS);
    }
  edgecluster_configure (&edges, 5000);
}

/* Adds the orders of one token to those of other servers. */
static void
add_orders (json_t *all, const char *token, json_t *counts)
{
  const char *holder;
  json_t *count;

  if (!json_object_get (all, token))
    json_object_set_new (all, token, json_object ());
  json_t *sums = json_object_get (all, token);
  json_object_foreach (counts, holder, count)
  {
    const json_int_t sum = json_integer_value (json_object_get (sums, holder));

    json_object_set_new (sums, holder,
                         json_integer (sum + json_integer_value (count)));
  }
}

/* Returns the orders that the servers accepted: token -> holder -> count. */
static json_t *
accepted_orders (void)
{
  json_t *all = json_object ();

  for (int i = 0; i < MODEL_SERVERS; i++)
    {
      json_t *counts = cluster_get_json (model_servers[i], "/counts");
      json_t *holders = json_object_get (counts, "holders");
      const char *token;
      json_t *of_token;

      CU_ASSERT_PTR_NOT_NULL (holders);
      json_object_foreach (holders, token, of_token)
          add_orders (all, token, of_token);
      json_decref (counts);
    }
  return all;
}

/* The orders of a holder; all 0 if there are none. */
struct orders
{
  uint64_t lowest_token;
  uint64_t highest_token;
  json_int_t count;
};

static struct orders
orders_of (const struct cluster_proc *edge)
{
  json_t *all = accepted_orders ();
  struct orders o = { 0 };
  const char *text;
  json_t *holders;

  json_object_foreach (all, text, holders)
  {
    const json_int_t count
        = json_integer_value (json_object_get (holders, edge->name));
    uint64_t token = 0;

    if (count == 0 || !str_u64 (str_from (text), &token))
      continue;
    if (o.count == 0 || token < o.lowest_token)
      o.lowest_token = token;
    if (token > o.highest_token)
      o.highest_token = token;
    o.count += count;
  }
  json_decref (all);
  return o;
}

static void
check_one_holder_per_token (void)
{
  json_t *orders = accepted_orders ();
  const char *token;
  json_t *holders;

  json_object_foreach (orders, token, holders)
  {
    CU_ASSERT_EQUAL (json_object_size (holders), 1);
    if (json_object_size (holders) == 1)
      continue;
    char *text = json_dumps (holders, JSON_COMPACT);
    fprintf (stderr, "orders with the token %s: %s\n", token, text);
    free (text);
  }
  json_decref (orders);
}

static bool
is_held (const char *model)
{
  bool held = false;

  for (int i = 0; i < MODEL_SERVERS; i++)
    {
      json_t *counts = cluster_get_json (model_servers[i], "/counts");

      held |= json_object_get (json_object_get (counts, "models"), model)
              != NULL;
      json_decref (counts);
    }
  return held;
}

struct expected_order
{
  const struct cluster_proc *edge;
  struct orders earlier;
  bool higher_token;
};

/* Calls a model that no server holds. Returns true if it is served and the
   node has ordered again, with a higher token if that is expected. */
static bool
has_ordered (void *ctx)
{
  const struct expected_order *x = ctx;
  struct expected_call call = { x->edge, "/stream/x", NULL, "order" };

  for (int i = 0; models[i] && !call.model; i++)
    if (!is_held (models[i]))
      call.model = models[i];
  if (!call.model || !is_served (&call))
    return false;
  const struct orders o = orders_of (x->edge);
  return o.count > x->earlier.count
         && (!x->higher_token || o.highest_token > x->earlier.highest_token);
}

/* Waits for the first orders of a node and returns them. */
static struct orders
wait_ordered (const struct cluster_proc *edge)
{
  struct expected_order x = { .edge = edge };

  CU_ASSERT_TRUE (cluster_poll_until (has_ordered, &x, WAIT_TIMEOUT_MS));
  return orders_of (edge);
}

/* @copy_with_lease: the copy names an earlier holder. @successor_waits: the
   node that takes over knows the store from before it was restored. */
struct takeover_case
{
  bool copy_with_lease;
  bool successor_waits;
};

/* Only the node that is to hold the lease runs, or it holds the lease already
   when the next one starts. */
static void
check_takeover (const struct takeover_case *c)
{
  struct cluster_proc *holder;
  struct cluster_proc *successor = NULL;

  start_model_servers ();
  if (!c->copy_with_lease)
    keep_copy ();
  holder = start_node ();
  const struct orders first = wait_ordered (holder);
  if (c->copy_with_lease)
    {
      keep_copy ();
      cluster_kill (holder);
      holder = start_node ();
    }
  const struct orders lost = wait_ordered (holder);
  if (c->successor_waits)
    successor = start_node ();
  cluster_kill (holder);
  begin_restore ();
  end_restore ();
  if (!successor)
    successor = start_node ();
  const struct orders later = wait_ordered (successor);
  check_one_holder_per_token ();
  CU_ASSERT_TRUE (later.lowest_token > lost.highest_token);
  CU_ASSERT_TRUE (later.lowest_token > first.highest_token);
  if (later.lowest_token <= lost.highest_token)
    fprintf (stderr,
             "copy with lease %d, successor waits %d: token %lu after %lu\n",
             c->copy_with_lease, c->successor_waits, later.lowest_token,
             lost.highest_token);
  edgecluster_destroy (&edges);
}

/* Guards against orders of two holders with one fencing token, after the store
   came back from a copy that lacks the terms of the lease since. */
static void
test_takeover (void)
{
  static const struct takeover_case cases[] = {
    { false, false },
    { false, true },
    { true, false },
    { true, true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    check_takeover (&cases[i]);
}

/* Guards against a holder that lives on and orders nothing any more after the
   store was restored, or only with its token from before. */
static void
test_same_holder (void)
{
  static const bool copies_with_lease[] = { false, true };

  for (size_t i = 0; i < 2; i++)
    {
      start_model_servers ();
      if (!copies_with_lease[i])
        keep_copy ();
      struct expected_order x = { .edge = start_node () };
      x.earlier = wait_ordered (x.edge);
      if (copies_with_lease[i])
        keep_copy ();
      begin_restore ();
      end_restore ();
      const bool ordered
          = cluster_poll_until (has_ordered, &x, WAIT_TIMEOUT_MS);
      CU_ASSERT_TRUE (ordered);
      x.higher_token = true;
      const bool higher
          = cluster_poll_until (has_ordered, &x, WAIT_TIMEOUT_MS);
      CU_ASSERT_TRUE (higher);
      check_one_holder_per_token ();
      if (!higher)
        {
          const struct orders later = orders_of (x.edge);

          fprintf (stderr, "copy with lease %d: %lld orders more, token %lu\n",
                   copies_with_lease[i], later.count - x.earlier.count,
                   later.highest_token);
        }
      edgecluster_destroy (&edges);
    }
}

/* ---- servers ---- */

/* Guards against calls to a server that was removed, after the store came back
   from a copy that still has its entry. */
static void
test_removed_server (void)
{
  /* Sequence number of the entry when it was removed; it is 5 in the copy. */
  static const uint64_t last_seqs[] = { 5, 6 };

  for (size_t i = 0; i < sizeof last_seqs / sizeof *last_seqs; i++)
    {
      edges = edgecluster_create_with (ERA_FLAGS);
      struct cluster_proc *removed
          = cluster_server (edges.cluster, "plain", "a", NULL);
      struct cluster_proc *other
          = cluster_server (edges.cluster, "plain", "a", NULL);
      edgecluster_put_server_seq (&edges, removed, "ready", NO_MODELS, 5);
      edgecluster_put_server (&edges, other, "ready", NO_MODELS);
      edgecluster_configure (&edges, 5000);
      keep_copy ();
      struct cluster_proc *edge = start_node ();
      write_others (WRITES_LOST);
      if (last_seqs[i] > 5)
        edgecluster_put_server_seq (&edges, removed, "ready", NO_MODELS,
                                    last_seqs[i]);
      edgecluster_delete_object (&edges, "servers", removed->name);
      CU_ASSERT_TRUE (edgecluster_wait_logged (
          edge, (const char *const[]){ "event=server-removed", removed->name,
                                       NULL }));
      begin_restore ();
      end_restore ();
      wait_entries_read (edge);
      check_calls (edge, removed);
      edgecluster_destroy (&edges);
    }
}

/* Guards against a server that stays unused although it wrote its entry again
   after the store was restored. */
static void
test_server_written_again (void)
{
  static const struct
  {
    bool in_copy;
    bool removed; /* before the store is restored */
    uint64_t seq; /* of the entry that is written again */
  } cases[] = {
    { false, false, 6 },
    { true, true, 6 },
    { false, true, 6 },
    { true, false, 6 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      edges = edgecluster_create_with (ERA_FLAGS);
      struct cluster_proc *server
          = cluster_server (edges.cluster, "plain", "a", NULL);
      edgecluster_configure (&edges, 5000);
      if (cases[i].in_copy)
        edgecluster_put_server_seq (&edges, server, "ready", NO_MODELS, 5);
      keep_copy ();
      struct cluster_proc *edge = start_node ();
      write_others (WRITES_LOST);
      if (!cases[i].in_copy)
        edgecluster_put_server_seq (&edges, server, "ready", NO_MODELS, 5);
      CU_ASSERT_TRUE (wait_served (edge, "/once/x", NULL));
      if (cases[i].removed)
        {
          edgecluster_delete_object (&edges, "servers", server->name);
          CU_ASSERT_TRUE (edgecluster_wait_logged (
              edge, (const char *const[]){ "event=server-removed",
                                           server->name, NULL }));
        }
      begin_restore ();
      end_restore ();
      wait_entries_read (edge);
      edgecluster_put_server_seq (&edges, server, "ready", NO_MODELS,
                                  cases[i].seq);
      CU_ASSERT_TRUE (wait_served (edge, "/once/x", NULL));
      check_calls (edge, NULL);
      edgecluster_destroy (&edges);
    }
}

/* Writes that the restored store takes before the nodes reach it again. */
static const int writes_before_return[] = { 0, WRITES_AGAIN };
#define RETURNS (sizeof writes_before_return / sizeof *writes_before_return)

/* Guards against calls to a server that reported again that it leaves, at a
   revision that the store gave out before it was restored. */
static void
test_leaving_again (void)
{
  for (size_t i = 0; i < RETURNS; i++)
    {
      edges = edgecluster_create_with (ERA_FLAGS);
      struct cluster_proc *leaving
          = cluster_server (edges.cluster, "plain", "a", NULL);
      struct cluster_proc *other
          = cluster_server (edges.cluster, "plain", "a", NULL);
      edgecluster_put_server (&edges, leaving, "ready", NO_MODELS);
      edgecluster_put_server (&edges, other, "ready", NO_MODELS);
      edgecluster_configure (&edges, 5000);
      keep_copy ();
      write_others (WRITES_LOST);
      edgecluster_put_server_seq (&edges, leaving, "ready", NO_MODELS, 2);
      struct cluster_proc *edge = start_node ();
      begin_restore ();
      edgecluster_put_server_seq (&edges, leaving, "draining", NO_MODELS, 3);
      write_others (writes_before_return[i]);
      end_restore ();
      wait_entries_read (edge);
      check_calls (edge, leaving);
      edgecluster_destroy (&edges);
    }
}

/* ---- configuration ---- */

/* Guards against a configuration that never comes into force, because its
   revision was given out before the store was restored. */
static void
test_config_again (void)
{
  for (size_t i = 0; i < RETURNS; i++)
    {
      edges = edgecluster_create_with (ERA_FLAGS);
      struct cluster_proc *server
          = cluster_server (edges.cluster, "plain", "a", NULL);
      edgecluster_put_server (&edges, server, "ready", NO_MODELS);
      edgecluster_configure (&edges, 5000);
      keep_copy ();
      write_others (WRITES_LOST);
      edgecluster_configure (&edges, 5000);
      struct cluster_proc *edge = start_node ();
      CU_ASSERT_TRUE (wait_served (edge, "/v5/x", NULL));
      begin_restore ();
      edgecluster_configure (&edges, 5000);
      write_others (writes_before_return[i]);
      end_restore ();
      CU_ASSERT_TRUE (wait_served (edge, "/v7/x", NULL));
      edgecluster_destroy (&edges);
    }
}

static const struct suite_case cases[] = {
  { "stand-in", test_standin },
  { "fencing token given out again", test_takeover },
  { "holder without a new term", test_same_holder },
  { "removed server used again", test_removed_server },
  { "server written again not used", test_server_written_again },
  { "server leaving again still used", test_leaving_again },
  { "config written again not in force", test_config_again },
};
TEST_SUITE ("restored", cases)
