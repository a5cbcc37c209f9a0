#include <signal.h>
#include <stdio.h>

#include "cluster_fleet.h"
#include "suite.h"

/* Calls with an idempotency key. The service counts how often it runs each
   key, and no call may run twice. */

static struct fleet fleet;

/* Guards against a second run when the caller sends a finished call again, to
   any node, and against one idempotency key accepted for two different
   calls. */
static void
test_repeat_after_completion (void)
{
  if (fleet_start (&fleet, NULL))
    {
      struct cluster_reply first
          = fleet_release (fleet.nodes[0], "cue-1", "go");
      CU_ASSERT_EQUAL (first.status, 200);
      for (size_t i = 0; i < FLEET_NODES; i++)
        {
          struct cluster_reply r
              = fleet_release (fleet.nodes[i], "cue-1", "go");

          CU_ASSERT_EQUAL (r.status, 200);
          CU_ASSERT_TRUE (str_eq (buf_str (&r.body), buf_str (&first.body)));
          CU_ASSERT_TRUE (str_eq (cluster_header (&r, "x-galenagate-replayed"),
                                  STR ("true")));
          cluster_reply_free (&r);
        }
      struct cluster_reply other
          = fleet_release (fleet.nodes[1], "cue-1", "stop");
      CU_ASSERT_EQUAL (other.status, 422);
      CU_ASSERT_TRUE (cluster_contains (&other, "idempotency_key_reused"));
      cluster_reply_free (&other);
      cluster_reply_free (&first);
      CU_ASSERT_EQUAL (fleet_execution_count (&fleet, "cue-1"), 1);
    }
  fleet_stop (&fleet);
}

/* Guards against two runs when all nodes receive the same call at once. */
static void
test_repeat_while_running (void)
{
  const struct fleet_options options
      = { .service_flags
          = (const char *const[]){ "--delay-ms", "800", NULL } };
  struct cluster_request *calls[FLEET_NODES];
  size_t completed = 0;
  size_t refused = 0;

  if (fleet_start (&fleet, &options))
    {
      for (size_t i = 0; i < FLEET_NODES; i++)
        calls[i] = fleet_release_start (fleet.nodes[i], "cue-2", "go");
      for (size_t i = 0; i < FLEET_NODES; i++)
        {
          struct cluster_reply r = cluster_http_wait (calls[i]);

          completed += r.status == 200;
          refused += r.status == 409 && cluster_contains (&r, "call_running")
                     && fleet_ran (&r, "may-have");
          cluster_reply_free (&r);
        }
      CU_ASSERT_EQUAL (completed + refused, FLEET_NODES);
      CU_ASSERT_TRUE (completed >= 1);
      CU_ASSERT_EQUAL (fleet_execution_count (&fleet, "cue-2"), 1);
    }
  fleet_stop (&fleet);
}

/* Guards against a call that the HTTP library silently sends again when the
   connection closes before the first byte of the response, and against a call
   reported as not run although it ran. */
static void
test_failed_call_may_have_run (void)
{
  static const char *const bodies[] = { "CLOSE", "CLOSE", "SILENCE" };

  if (fleet_start (&fleet, NULL))
    for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
      {
        char key[16];

        snprintf (key, sizeof key, "cut-%zu", i);
        struct cluster_reply r
            = fleet_release (fleet.nodes[0], key, bodies[i]);
        const json_int_t runs = fleet_execution_count (&fleet, key);
        CU_ASSERT_TRUE (runs <= 1);
        CU_ASSERT_TRUE (r.status == 200 || fleet_ran (&r, "may-have"));
        cluster_reply_free (&r);
        r = fleet_release (fleet.nodes[1], key, bodies[i]);
        CU_ASSERT_EQUAL (fleet_execution_count (&fleet, key), runs);
        cluster_reply_free (&r);
      }
  fleet_stop (&fleet);
}

static bool
service_has_run (void *ctx)
{
  return fleet_execution_count (&fleet, ctx) > 0;
}

/* Guards against a second run after the entry node is killed while the call
   runs. */
static void
test_entry_killed (void)
{
  const struct fleet_options options
      = { .service_flags
          = (const char *const[]){ "--delay-ms", "1500", NULL } };

  if (fleet_start (&fleet, &options))
    {
      struct cluster_request *call
          = fleet_release_start (fleet.nodes[0], "cue-3", "go");
      CU_ASSERT_TRUE (
          cluster_poll_until (service_has_run, "cue-3", FLEET_CALL_MS));
      cluster_kill (fleet.nodes[0]);
      struct cluster_reply lost = cluster_http_wait (call);
      CU_ASSERT_NOT_EQUAL (lost.error, CURLE_OK);
      cluster_reply_free (&lost);
      for (size_t i = 1; i < FLEET_NODES; i++)
        {
          struct cluster_reply r
              = fleet_release (fleet.nodes[i], "cue-3", "go");

          CU_ASSERT_NOT_EQUAL (r.status, 200);
          /* The header value "no" would be false, because the call ran.
             Refusing the repeat because no claim owner has answered yet is
             correct too. */
          CU_ASSERT_TRUE (fleet_ran (&r, "may-have")
                          || cluster_contains (&r, "store_unavailable"));
          cluster_reply_free (&r);
        }
      CU_ASSERT_EQUAL (fleet_execution_count (&fleet, "cue-3"), 1);
    }
  fleet_stop (&fleet);
}

/* Guards against a call that runs without a claim while the store is down. */
static void
test_store_down (void)
{
  if (fleet_start (&fleet, NULL))
    {
      struct cluster_reply r = fleet_release (fleet.nodes[0], "cue-4", "go");
      CU_ASSERT_EQUAL (r.status, 200);
      cluster_reply_free (&r);
      cluster_set_faults (fleet.cluster, "{\"down\":true}");
      r = fleet_release (fleet.nodes[1], "cue-5", "go");
      CU_ASSERT_EQUAL (r.status, 503);
      CU_ASSERT_TRUE (fleet_ran (&r, "no"));
      cluster_reply_free (&r);
      CU_ASSERT_EQUAL (fleet_execution_count (&fleet, "cue-5"), 0);
      cluster_set_faults (fleet.cluster, "{\"down\":false}");
    }
  fleet_stop (&fleet);
}

/* Guards against a store write that is repeated blindly, or treated as not
   applied, because its response was lost. */
static void
test_lost_store_responses (void)
{
  if (fleet_start (&fleet, NULL))
    for (size_t i = 0; i < 6; i++)
      {
        char key[16];

        snprintf (key, sizeof key, "lost-%zu", i);
        cluster_set_faults (fleet.cluster, "{\"lose_answers\":1}");
        struct cluster_reply r
            = fleet_release (fleet.nodes[i % FLEET_NODES], key, "go");
        const json_int_t runs = fleet_execution_count (&fleet, key);
        CU_ASSERT_TRUE (runs == (r.status == 200));
        CU_ASSERT_TRUE (r.status == 200 || !fleet_ran (&r, "no") || runs == 0);
        cluster_reply_free (&r);
      }
  fleet_stop (&fleet);
}

static const struct suite_case cases[] = {
  { "repeat after completion", test_repeat_after_completion },
  { "repeat while running", test_repeat_while_running },
  { "failed call reported as may have run", test_failed_call_may_have_run },
  { "entry node killed while a call runs", test_entry_killed },
  { "store down", test_store_down },
  { "lost responses of the store", test_lost_store_responses },
};
TEST_SUITE ("calls", cases)
