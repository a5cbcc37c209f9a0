#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "cluster_fleet.h"
#include "suite.h"

/* Recorded outcomes of calls with an idempotency key when all nodes stop or
   lose power at the same moment. A repeat of a call whose caller got a 200
   must get the same response, and the service must have run it once. */

#define CALLS 8

static struct fleet fleet;

/**
 * struct stop_case - how all nodes are stopped.
 * @service_delay_ms: time that the service takes for a call.
 * @entries: number of nodes that receive the calls.
 * @while_running: send the signal once the service runs the calls, instead of
 *   after their responses.
 */
struct stop_case
{
  const char *service_delay_ms;
  int signum;
  size_t entries;
  bool while_running;
};

static void
format_key (char out[static 16], size_t call)
{
  snprintf (out, 16, "cue-%zu", call);
}

static bool
all_calls_run (void *ctx)
{
  char key[16];

  (void)ctx;
  for (size_t i = 0; i < CALLS; i++)
    {
      format_key (key, i);
      if (fleet_execution_count (&fleet, key) == 0)
        return false;
    }
  return true;
}

static void
signal_all_nodes (int signum)
{
  for (size_t i = 0; i < FLEET_NODES; i++)
    cluster_signal (fleet.nodes[i], signum);
}

/* Sends the calls at the same time and the signal to all nodes; stores the
   responses in @replies. */
static void
call_and_stop (const struct stop_case *c, struct cluster_reply replies[CALLS])
{
  struct cluster_request *calls[CALLS];
  char key[16];

  for (size_t i = 0; i < CALLS; i++)
    {
      format_key (key, i);
      calls[i] = fleet_release_start (fleet.nodes[i % c->entries], key, "go");
    }
  if (c->while_running)
    {
      CU_ASSERT_TRUE (cluster_poll_until (all_calls_run, NULL, FLEET_CALL_MS));
      signal_all_nodes (c->signum);
    }
  for (size_t i = 0; i < CALLS; i++)
    {
      replies[i] = cluster_http_wait (calls[i]);
      CU_ASSERT_EQUAL (replies[i].status, 200);
    }
  if (!c->while_running)
    signal_all_nodes (c->signum);
}

static void
restart_all_nodes (int signum)
{
  for (size_t i = 0; i < FLEET_NODES; i++)
    CU_ASSERT_EQUAL (cluster_wait_exit (fleet.nodes[i], CLUSTER_READY_MS),
                     signum == SIGTERM ? 0 : 128 + signum);
  for (size_t i = 0; i < FLEET_NODES; i++)
    CU_ASSERT_TRUE (cluster_restart (fleet.nodes[i]));
  CU_ASSERT_TRUE (cluster_ready (fleet.cluster));
}

/* Repeats a call at another node than before. */
static void
check_outcome (size_t call, const struct cluster_reply *first)
{
  char key[16];

  format_key (key, call);
  struct cluster_reply r
      = fleet_release (fleet.nodes[(call + 1) % FLEET_NODES], key, "go");
  const bool same
      = r.status == 200 && str_eq (buf_str (&r.body), buf_str (&first->body))
        && str_eq (cluster_header (&r, "x-galenagate-replayed"), STR ("true"));

  CU_ASSERT_TRUE (same);
  if (!same)
    printf (" %s: status %ld " STR_FMT "\n", key, r.status,
            STR_ARG (buf_str (&r.body)));
  CU_ASSERT_EQUAL (fleet_execution_count (&fleet, key), 1);
  cluster_reply_free (&r);
}

static void
check_stop (const struct stop_case *c)
{
  const struct fleet_options options = {
    .node_flags = fleet_short_leases,
    .service_flags = CLUSTER_FLAGS ("--delay-ms", c->service_delay_ms),
  };
  struct cluster_reply replies[CALLS] = { 0 };

  if (fleet_start (&fleet, &options))
    {
      struct cluster_reply r = fleet_release (fleet.nodes[0], "warm", "go");
      CU_ASSERT_EQUAL (r.status, 200);
      cluster_reply_free (&r);
      call_and_stop (c, replies);
      restart_all_nodes (c->signum);
      for (size_t i = 0; i < CALLS; i++)
        check_outcome (i, &replies[i]);
    }
  for (size_t i = 0; i < CALLS; i++)
    cluster_reply_free (&replies[i]);
  fleet_stop (&fleet);
}

/* Guards against an outcome lost because the owner of the key gives up its
   lease before the outcome of an answered call is stored. */
static void
test_stopped_after_response (void)
{
  check_stop (&(struct stop_case){
      .service_delay_ms = "0", .signum = SIGTERM, .entries = FLEET_NODES });
}

/* Guards against an outcome lost because no node owns the key any more when a
   call ends during the shutdown. */
static void
test_stopped_while_running (void)
{
  check_stop (&(struct stop_case){ .service_delay_ms = "2000",
                                   .signum = SIGTERM,
                                   .entries = FLEET_NODES,
                                   .while_running = true });
}

/* Guards against an outcome lost because all nodes but the one that has the
   call have exited when the call ends. */
static void
test_stopped_before_last_entry (void)
{
  check_stop (&(struct stop_case){ .service_delay_ms = "4000",
                                   .signum = SIGTERM,
                                   .entries = 1,
                                   .while_running = true });
}

/* Guards against a response that is sent before its outcome is stored, so that
   it is lost if all nodes lose power. */
static void
test_killed_after_response (void)
{
  check_stop (&(struct stop_case){
      .service_delay_ms = "0", .signum = SIGKILL, .entries = FLEET_NODES });
}

static bool
call_runs (void *ctx)
{
  return fleet_execution_count (&fleet, ctx) > 0;
}

static bool
outcome_is_recorded (void *ctx)
{
  struct cluster_reply r = fleet_release (fleet.nodes[1], ctx, "go");
  const bool recorded = r.status == 200;

  cluster_reply_free (&r);
  return recorded;
}

/* Guards against a response that is withheld because the store is down when
   the call ends, and against an outcome that is not stored afterwards. */
static void
test_store_down_at_end (void)
{
  const struct fleet_options options
      = { .service_flags = CLUSTER_FLAGS ("--delay-ms", "1500") };

  if (fleet_start (&fleet, &options))
    {
      struct cluster_request *call
          = fleet_release_start (fleet.nodes[0], "cue", "go");
      CU_ASSERT_TRUE (cluster_poll_until (call_runs, "cue", FLEET_CALL_MS));
      cluster_set_faults (fleet.cluster, "{\"down\":true}");
      struct cluster_reply r = cluster_http_wait (call);
      cluster_set_faults (fleet.cluster, "{\"down\":false}");
      CU_ASSERT_EQUAL (r.status, 200);
      cluster_reply_free (&r);
      CU_ASSERT_TRUE (
          cluster_poll_until (outcome_is_recorded, "cue", FLEET_CALL_MS));
      CU_ASSERT_EQUAL (fleet_execution_count (&fleet, "cue"), 1);
    }
  fleet_stop (&fleet);
}

static const struct suite_case cases[] = {
  { "all nodes stopped after the response", test_stopped_after_response },
  { "all nodes stopped while calls run", test_stopped_while_running },
  { "all nodes stopped, one has calls", test_stopped_before_last_entry },
  { "all nodes killed after the response", test_killed_after_response },
  { "store down when the call ends", test_store_down_at_end },
};
TEST_SUITE ("outcomes", cases)
