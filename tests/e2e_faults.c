#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cluster_fleet.h"
#include "cluster_rpc.h"
#include "suite.h"

/* The whole system while processes are killed or paused, responses are cut and
   the store is down. The stand-ins count violations of the limits on memory
   and replicas, and repeated attempts. */

#define PLACEMENT_LEASE "placement/engines"
/* Longer than the lease and margin that fleet_short_leases sets. */
#define PAUSE_US 3000000

static struct fleet fleet;

/* ---- broken and mixed-up responses ---- */

/* Guards against a response that is cut, or belongs to another call, and that
   reaches the caller as a complete one or without the notice that the call may
   have run. */
static void
test_broken_responses (void)
{
  static const struct
  {
    const char *text;
    bool stream;
    bool whole;      /* the caller gets the complete response anyway */
    bool incomplete; /* the caller's HTTP client reports an error */
  } cases[] = {
    { "DROP one", true, true, false },
    { "CUT two", true, false, true },
    { "CUT three", false, false, false },
    { "CROSS four", true, false, false },
    { "CROSS five", false, false, false },
  };

  if (fleet_start (&fleet, NULL))
    {
      for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
        {
          struct cluster_reply r
              = fleet_chat (fleet.nodes[i % FLEET_NODES], "lm-1",
                            cases[i].text, cases[i].stream);

          CU_ASSERT_EQUAL (fleet_reply_complete (&r, cases[i].text),
                           cases[i].whole);
          if (cases[i].incomplete)
            CU_ASSERT_NOT_EQUAL (r.error, CURLE_OK);
          if (!cases[i].whole && !cases[i].incomplete)
            {
              CU_ASSERT_EQUAL (r.status, 502);
              CU_ASSERT_TRUE (fleet_ran (&r, "may-have"));
            }
          cluster_reply_free (&r);
        }
      CU_ASSERT_TRUE (fleet_sum_counts (&fleet, "resumed") >= 1);
      fleet_check_limits (&fleet);
    }
  fleet_stop (&fleet);
}

/* Guards against a caller that waits past its deadline for a target that does
   not respond, and against a request reported as not run although it was
   sent. */
static void
test_silent_target (void)
{
  static const char *const headers[]
      = { "Authorization: Bearer key-opera", "X-Deadline-Ms: 2500", NULL };

  if (fleet_start (&fleet, NULL))
    {
      struct cluster_reply warm
          = fleet_chat (fleet.nodes[0], "lm-1", "hello", true);
      CU_ASSERT_TRUE (fleet_reply_complete (&warm, "hello"));
      cluster_reply_free (&warm);
      struct cluster_reply r = cluster_http (
          fleet.nodes[1], "POST", "/v1/chat/completions", headers,
          "{\"model\":\"lm-1\",\"stream\":true,\"messages\":[{\"role\":"
          "\"user\",\"content\":\"SILENCE\"}]}",
          FLEET_CALL_MS);
      CU_ASSERT_EQUAL (r.status, 504);
      CU_ASSERT_TRUE (fleet_ran (&r, "may-have"));
      cluster_reply_free (&r);
      r = fleet_chat (fleet.nodes[2], "lm-1", "after", true);
      CU_ASSERT_TRUE (fleet_reply_complete (&r, "after"));
      cluster_reply_free (&r);
    }
  fleet_stop (&fleet);
}

/* ---- crashing requests ---- */

#define OTHER_CALLS 8

/* Guards against a request that crashes all engines when its caller repeats it
   at every node, and against other requests that fail because they ran on an
   engine that it crashed. */
static void
test_crashing_request (void)
{
  struct cluster_request *calls[OTHER_CALLS];

  if (fleet_start (&fleet, NULL))
    {
      for (size_t i = 0; i < OTHER_CALLS; i++)
        calls[i] = fleet_chat_start (fleet.nodes[i % FLEET_NODES], "lm-6",
                                     "SLOW 300 innocent", false);
      for (size_t i = 0; i < 2 * FLEET_NODES; i++)
        {
          struct cluster_reply r = fleet_chat (fleet.nodes[i % FLEET_NODES],
                                               "lm-6", "CRASH", false);

          CU_ASSERT_NOT_EQUAL (r.status, 200);
          cluster_reply_free (&r);
        }
      for (size_t i = 0; i < OTHER_CALLS; i++)
        {
          struct cluster_reply r = cluster_http_wait (calls[i]);

          CU_ASSERT_TRUE (fleet_reply_complete (&r, "SLOW 300 innocent"));
          cluster_reply_free (&r);
        }
      CU_ASSERT_TRUE (fleet_running_engines (&fleet) >= FLEET_ENGINES - 2);
    }
  fleet_stop (&fleet);
}

/* ---- placement owner ---- */

static bool
load_started (void *ctx)
{
  (void)ctx;
  for (size_t i = 0; i < FLEET_ENGINES; i++)
    {
      json_t *status = cluster_get_json (fleet.engines[i], "/status");
      const size_t n = json_array_size (json_object_get (status, "entries"));

      json_decref (status);
      if (n > 0)
        return true;
    }
  return false;
}

static const char *const slow_fenced_engine[] = { "--memory",
                                                  "100",
                                                  "--slots",
                                                  "4",
                                                  "--load-ms",
                                                  "1500",
                                                  "--token-ms",
                                                  "5",
                                                  "--tokens",
                                                  "12",
                                                  "--max-replicas-check",
                                                  "1",
                                                  "--fenced",
                                                  "1",
                                                  NULL };
static const char *const slow_unfenced_engine[] = { "--memory",
                                                    "100",
                                                    "--slots",
                                                    "4",
                                                    "--load-ms",
                                                    "1500",
                                                    "--token-ms",
                                                    "5",
                                                    "--tokens",
                                                    "12",
                                                    "--max-replicas-check",
                                                    "1",
                                                    "--fenced",
                                                    "0",
                                                    NULL };

static struct cluster_proc *
other_node (const struct cluster_proc *excluded)
{
  return fleet.nodes[0] == excluded ? fleet.nodes[1] : fleet.nodes[0];
}

/* Kills or pauses the placement owner during a load that it ordered, and
   checks that the model, which may have at most one replica, is loaded only
   once. */
static void
lose_owner_while_loading (const char *const *engine_flags, const char *uses,
                          bool pause_owner)
{
  const struct fleet_options options = { .node_flags = fleet_short_leases,
                                         .engine_flags = engine_flags,
                                         .uses = uses };

  if (fleet_start (&fleet, &options))
    {
      struct cluster_proc *owner
          = fleet_lease_holder (&fleet, PLACEMENT_LEASE);
      CU_ASSERT_PTR_NOT_NULL (owner);
      if (owner)
        {
          struct cluster_request *first
              = fleet_chat_start (other_node (owner), "lm-2", "first", false);
          CU_ASSERT_TRUE (
              cluster_poll_until (load_started, NULL, FLEET_CALL_MS));
          cluster_signal (owner, pause_owner ? SIGSTOP : SIGKILL);
          struct cluster_request *second
              = fleet_chat_start (other_node (owner), "lm-2", "second", false);
          if (pause_owner)
            {
              usleep (PAUSE_US);
              cluster_signal (owner, SIGCONT);
            }
          struct cluster_reply r = cluster_http_wait (first);
          CU_ASSERT_TRUE (fleet_reply_complete (&r, "first"));
          cluster_reply_free (&r);
          r = cluster_http_wait (second);
          CU_ASSERT_TRUE (fleet_reply_complete (&r, "second"));
          cluster_reply_free (&r);
          CU_ASSERT_EQUAL (fleet_sum_counts (&fleet, "loads"), 1);
          fleet_check_limits (&fleet);
        }
    }
  fleet_stop (&fleet);
}

/* Guards against a second load ordered by the successor of a killed owner. */
static void
test_owner_killed (void)
{
  lose_owner_while_loading (slow_fenced_engine, NULL, false);
}

/* Guards against orders of a paused owner that no longer has the lease. */
static void
test_owner_paused (void)
{
  lose_owner_while_loading (slow_fenced_engine, NULL, true);
}

/* The same two tests with engines that do not check the fencing token. */
static void
test_owner_killed_unfenced (void)
{
  lose_owner_while_loading (slow_unfenced_engine,
                            "tests/lists/small/uses-unfenced.json", false);
}

static void
test_owner_paused_unfenced (void)
{
  lose_owner_while_loading (slow_unfenced_engine,
                            "tests/lists/small/uses-unfenced.json", true);
}

/* ---- nodes that are paused at the same time ---- */

static const char *const slow_engine[]
    = { "--memory",   "100", "--slots",  "4",  "--load-ms", "1500",
        "--token-ms", "5",   "--tokens", "12", NULL };
/* Longer than the silence after which nodes close their connections to each
   other. */
#define SILENCE_US 4000000

/* Pauses all nodes while each has a request that waits for the same load. */
static void
pause_nodes_while_loading (void)
{
  struct cluster_request *calls[FLEET_NODES];

  for (size_t i = 0; i < FLEET_NODES; i++)
    calls[i] = fleet_chat_start (fleet.nodes[i], "lm-1", "paused", false);
  CU_ASSERT_TRUE (cluster_poll_until (load_started, NULL, FLEET_CALL_MS));
  for (size_t i = 0; i < FLEET_NODES; i++)
    cluster_signal (fleet.nodes[i], SIGSTOP);
  usleep (SILENCE_US);
  for (size_t i = 0; i < FLEET_NODES; i++)
    cluster_signal (fleet.nodes[i], SIGCONT);
  for (size_t i = 0; i < FLEET_NODES; i++)
    {
      struct cluster_reply r = cluster_http_wait (calls[i]);

      CU_ASSERT_TRUE (fleet_reply_complete (&r, "paused"));
      cluster_reply_free (&r);
    }
  fleet_check_limits (&fleet);
}

/* Guards against a request that waits until its deadline because the scheduler
   did not answer for a moment: it was called no more, and the other nodes only
   named it. */
static void
test_nodes_paused (void)
{
  static const struct fleet_options options = { .engine_flags = slow_engine };

  if (fleet_start (&fleet, &options))
    pause_nodes_while_loading ();
  fleet_stop (&fleet);
}

/* Longer than the interval at which a scheduler checks whether it was paused.
 */
#define SCHEDULER_AGE_US 2000000

/* Guards against a request that is refused although it can be served, because
   the node that schedules it was paused and its entry did not close the
   connection. */
static void
test_scheduler_paused (void)
{
  static const struct fleet_options options = { .engine_flags = slow_engine };

  if (fleet_start (&fleet, &options))
    {
      usleep (SCHEDULER_AGE_US);
      pause_nodes_while_loading ();
    }
  fleet_stop (&fleet);
}

/* ---- entries that the scheduler does not know yet ---- */

static int
request_grant (const struct cluster_proc *node)
{
  const struct grant_args args = {
    .request_id = TEXT_STR (STR ("id-1")),
    .customer = TEXT_STR (STR ("opera")),
    .class_name = TEXT_STR (STR ("cue")),
    .service = TEXT_STR (STR ("engines")),
    .model = TEXT_STR (STR ("lm-1")),
    .model_version = TEXT_STR (STR ("1")),
    .deadline_ms = FLEET_CALL_MS,
    .attempt = 1,
    .entry = { .addr = TEXT_STR (STR ("127.0.0.1:1")), .instance = 1 },
  };

  return cluster_rpc_send (str_from (node->bus_addr), PEER_GRANT, &args);
}

/* Guards against a request of a node that has just started and is refused
   because the scheduler's list of nodes changes before that node is in it. */
static void
test_unlisted_entry (void)
{
  static const struct fleet_options options = { .engine_flags = slow_engine };
  int fds[FLEET_NODES];
  size_t granted = 0;

  if (fleet_start (&fleet, &options))
    {
      for (size_t i = 0; i < FLEET_NODES; i++)
        fds[i] = request_grant (fleet.nodes[i]);
      CU_ASSERT_TRUE (cluster_poll_until (load_started, NULL, FLEET_CALL_MS));
      /* A node that schedules nothing for the engines' region. */
      cluster_node (fleet.cluster, "a", CLUSTER_FLAGS ("--region", "other"));
      CU_ASSERT_TRUE (cluster_ready (fleet.cluster));
      for (size_t i = 0; i < FLEET_NODES; i++)
        {
          struct str hint;
          struct grant_res *res;

          cluster_rpc_receive (fds[i], PEER_GRANT, FLEET_CALL_MS, &hint,
                               (void **)&res);
          granted += res && res->code == GRANT_OK;
          rpcmsg_free (PEER_GRANT, RPCMSG_RESULT, res);
          str_free (&hint);
        }
      CU_ASSERT_EQUAL (granted, 1);
    }
  fleet_stop (&fleet);
}

/* ---- store outage, leaving targets, shutdown ---- */

/* Guards against requests for loaded models that fail while the store is down,
   and against a model that is not loaded being refused after the store
   recovered. */
static void
test_store_outage (void)
{
  const struct fleet_options options = { .node_flags = fleet_short_leases };

  if (fleet_start (&fleet, &options))
    {
      struct cluster_reply r
          = fleet_chat (fleet.nodes[0], "lm-1", "warm up", false);
      CU_ASSERT_TRUE (fleet_reply_complete (&r, "warm up"));
      cluster_reply_free (&r);
      cluster_set_faults (fleet.cluster, "{\"down\":true}");
      usleep (PAUSE_US);
      for (size_t i = 0; i < FLEET_NODES; i++)
        {
          r = fleet_chat (fleet.nodes[i], "lm-1", "in the outage", true);
          CU_ASSERT_TRUE (fleet_reply_complete (&r, "in the outage"));
          cluster_reply_free (&r);
        }
      struct cluster_request *cold
          = fleet_chat_start (fleet.nodes[1], "lm-3", "cold", false);
      cluster_set_faults (fleet.cluster, "{\"down\":false}");
      r = cluster_http_wait (cold);
      CU_ASSERT_TRUE (fleet_reply_complete (&r, "cold")
                      || fleet_ran (&r, "no"));
      cluster_reply_free (&r);
      r = fleet_chat (fleet.nodes[2], "lm-3", "cold again", false);
      CU_ASSERT_TRUE (fleet_reply_complete (&r, "cold again"));
      cluster_reply_free (&r);
      fleet_check_limits (&fleet);
    }
  fleet_stop (&fleet);
}

/* Guards against new requests for a target that announced that it leaves. */
static void
test_leaving_target (void)
{
  if (fleet_start (&fleet, NULL))
    {
      struct cluster_reply r
          = fleet_chat (fleet.nodes[0], "lm-2", "before", false);
      CU_ASSERT_TRUE (fleet_reply_complete (&r, "before"));
      cluster_reply_free (&r);
      for (size_t i = 0; i < FLEET_ENGINES; i++)
        {
          if (cluster_json_int (fleet.engines[i], "/counts", "requests") < 1)
            continue;
          r = cluster_http (fleet.engines[i], "POST", "/leaving", NULL, "",
                            FLEET_CALL_MS);
          cluster_reply_free (&r);
          /* By design, a leaving target gets no new work after 5 s. */
          usleep (5000000);
          const json_int_t before
              = cluster_json_int (fleet.engines[i], "/counts", "requests");
          for (size_t j = 0; j < FLEET_NODES; j++)
            {
              r = fleet_chat (fleet.nodes[j], "lm-2", "after", false);
              CU_ASSERT_TRUE (fleet_reply_complete (&r, "after"));
              cluster_reply_free (&r);
            }
          CU_ASSERT_EQUAL (
              cluster_json_int (fleet.engines[i], "/counts", "requests"),
              before);
          break;
        }
    }
  fleet_stop (&fleet);
}

#define STREAMS 4

/* Guards against a shutdown that cuts a stream or loses a request. Restarts
   all nodes in turn while streams run. */
static void
test_rolling_restart (void)
{
  const struct fleet_options options = { .node_flags = fleet_short_leases };
  struct cluster_request *calls[STREAMS];

  if (fleet_start (&fleet, &options))
    for (size_t i = 0; i < FLEET_NODES; i++)
      {
        for (size_t j = 0; j < STREAMS; j++)
          calls[j] = fleet_chat_start (fleet.nodes[i], "lm-1",
                                       "SLOW 800 stream", true);
        usleep (200000);
        cluster_signal (fleet.nodes[i], SIGTERM);
        for (size_t j = 0; j < STREAMS; j++)
          {
            struct cluster_reply r = cluster_http_wait (calls[j]);

            CU_ASSERT_TRUE (fleet_reply_complete (&r, "SLOW 800 stream"));
            cluster_reply_free (&r);
          }
        CU_ASSERT_EQUAL (cluster_wait_exit (fleet.nodes[i], FLEET_CALL_MS), 0);
        CU_ASSERT_TRUE (cluster_restart (fleet.nodes[i]));
        CU_ASSERT_TRUE (cluster_ready (fleet.cluster));
      }
  fleet_stop (&fleet);
}

static const struct suite_case cases[] = {
  { "broken and mixed-up responses", test_broken_responses },
  { "silent target", test_silent_target },
  { "crashing request", test_crashing_request },
  { "owner killed while loading", test_owner_killed },
  { "owner paused while loading", test_owner_paused },
  { "owner killed, engines without fencing", test_owner_killed_unfenced },
  { "owner paused, engines without fencing", test_owner_paused_unfenced },
  { "nodes paused together", test_nodes_paused },
  { "scheduler paused", test_scheduler_paused },
  { "unlisted entry", test_unlisted_entry },
  { "store outage", test_store_outage },
  { "leaving target", test_leaving_target },
  { "rolling restart", test_rolling_restart },
};
TEST_SUITE ("faults", cases)
