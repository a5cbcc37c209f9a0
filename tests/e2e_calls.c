#include <signal.h>
#include <stdio.h>

#include "clusterfleet.h"
#include "suite.h"

/* Calls that may not be repeated, as the service itself counts them. */

static struct fleet fleet;

/* Guards against a second run when the caller repeats a call at another
   entry after it ended, and against a key used for two different calls. */
static void
test_repeat_after_end (void)
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
      CU_ASSERT_EQUAL (fleet_runs (&fleet, "cue-1"), 1);
    }
  fleet_stop (&fleet);
}

/* Guards against two runs when the same call comes to all entries at once. */
static void
test_repeat_while_running (void)
{
  const struct fleet_options options
      = { .service_flags
          = (const char *const[]){ "--delay-ms", "800", NULL } };
  struct cluster_call *calls[FLEET_NODES];
  size_t answered = 0;
  size_t running = 0;

  if (fleet_start (&fleet, &options))
    {
      for (size_t i = 0; i < FLEET_NODES; i++)
        calls[i] = fleet_release_begin (fleet.nodes[i], "cue-2", "go");
      for (size_t i = 0; i < FLEET_NODES; i++)
        {
          struct cluster_reply r = cluster_end (calls[i]);

          answered += r.status == 200;
          running += r.status == 409 && cluster_contains (&r, "call_running")
                     && fleet_ran (&r, "may-have");
          cluster_reply_free (&r);
        }
      CU_ASSERT_EQUAL (answered + running, FLEET_NODES);
      CU_ASSERT_TRUE (answered >= 1);
      CU_ASSERT_EQUAL (fleet_runs (&fleet, "cue-2"), 1);
    }
  fleet_stop (&fleet);
}

/* Guards against a hidden repeat by the HTTP library on a connection that
   closes before the first byte, and against "not run" for a call that ran. */
static void
test_failed_call_says_may_have_run (void)
{
  static const char *const bodies[] = { "CLOSE", "CLOSE", "SILENCE" };

  if (fleet_start (&fleet, NULL))
    for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
      {
        char key[16];

        snprintf (key, sizeof key, "cut-%zu", i);
        struct cluster_reply r
            = fleet_release (fleet.nodes[0], key, bodies[i]);
        const json_int_t runs = fleet_runs (&fleet, key);
        CU_ASSERT_TRUE (runs <= 1);
        CU_ASSERT_TRUE (r.status == 200 || fleet_ran (&r, "may-have"));
        cluster_reply_free (&r);
        r = fleet_release (fleet.nodes[1], key, bodies[i]);
        CU_ASSERT_EQUAL (fleet_runs (&fleet, key), runs);
        cluster_reply_free (&r);
      }
  fleet_stop (&fleet);
}

static bool
service_ran (void *ctx)
{
  return fleet_runs (&fleet, ctx) > 0;
}

/* Guards against a second run after the entry died with the call running. */
static void
test_entry_dies (void)
{
  const struct fleet_options options
      = { .service_flags
          = (const char *const[]){ "--delay-ms", "1500", NULL } };

  if (fleet_start (&fleet, &options))
    {
      struct cluster_call *call
          = fleet_release_begin (fleet.nodes[0], "cue-3", "go");
      CU_ASSERT_TRUE (cluster_until (service_ran, "cue-3", FLEET_CALL_MS));
      cluster_kill (fleet.nodes[0]);
      struct cluster_reply lost = cluster_end (call);
      CU_ASSERT_NOT_EQUAL (lost.error, CURLE_OK);
      cluster_reply_free (&lost);
      for (size_t i = 1; i < FLEET_NODES; i++)
        {
          struct cluster_reply r
              = fleet_release (fleet.nodes[i], "cue-3", "go");

          CU_ASSERT_NOT_EQUAL (r.status, 200);
          /* "no" would be a lie about the call; a refusal of the repeat
             because no owner answered yet is true and also allowed. */
          CU_ASSERT_TRUE (fleet_ran (&r, "may-have")
                          || cluster_contains (&r, "store_unavailable"));
          cluster_reply_free (&r);
        }
      CU_ASSERT_EQUAL (fleet_runs (&fleet, "cue-3"), 1);
    }
  fleet_stop (&fleet);
}

/* Guards against a call that runs without its claim when the store is down. */
static void
test_store_down (void)
{
  if (fleet_start (&fleet, NULL))
    {
      struct cluster_reply r = fleet_release (fleet.nodes[0], "cue-4", "go");
      CU_ASSERT_EQUAL (r.status, 200);
      cluster_reply_free (&r);
      cluster_faults (fleet.cluster, "{\"down\":true}");
      r = fleet_release (fleet.nodes[1], "cue-5", "go");
      CU_ASSERT_EQUAL (r.status, 503);
      CU_ASSERT_TRUE (fleet_ran (&r, "no"));
      cluster_reply_free (&r);
      CU_ASSERT_EQUAL (fleet_runs (&fleet, "cue-5"), 0);
      cluster_faults (fleet.cluster, "{\"down\":false}");
    }
  fleet_stop (&fleet);
}

/* Guards against a write whose answer was lost that is repeated blindly or
   taken as not done. */
static void
test_lost_answers (void)
{
  if (fleet_start (&fleet, NULL))
    for (size_t i = 0; i < 6; i++)
      {
        char key[16];

        snprintf (key, sizeof key, "lost-%zu", i);
        cluster_faults (fleet.cluster, "{\"lose_answers\":1}");
        struct cluster_reply r
            = fleet_release (fleet.nodes[i % FLEET_NODES], key, "go");
        const json_int_t runs = fleet_runs (&fleet, key);
        CU_ASSERT_TRUE (runs == (r.status == 200));
        CU_ASSERT_TRUE (r.status == 200 || !fleet_ran (&r, "no") || runs == 0);
        cluster_reply_free (&r);
      }
  fleet_stop (&fleet);
}

static const struct suite_case cases[] = {
  { "repeat after the end", test_repeat_after_end },
  { "repeat while running", test_repeat_while_running },
  { "failed call says may have run", test_failed_call_says_may_have_run },
  { "entry dies with a call running", test_entry_dies },
  { "store down", test_store_down },
  { "lost answers of the store", test_lost_answers },
};
TEST_SUITE ("calls", cases)
