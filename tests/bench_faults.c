#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "benchlib.h"
#include "clock.h"

/* Loss of the placement owner, requests that crash targets, and bursts to idle
   models. */

#define LEASE "placement/engines"
#define FAILOVER_MS 30000
#define CRASH_REPEATS 2
#define BURST_PER_NODE 50
#define BURST_LOAD_MS 500
#define BURST_SLOTS 256
#define BURST_MODELS 5

static struct fleet fleet;

/* ---- failover ---- */

struct successor
{
  uint64_t killed_at;
  struct cluster_proc *former;
  struct cluster_proc *holder;
};

static bool
has_successor (void *ctx)
{
  struct successor *s = ctx;

  s->holder = fleet_lease_holder (&fleet, LEASE);
  return s->holder && s->holder != s->former;
}

static bool
has_ordered (void *ctx)
{
  const struct successor *s = ctx;

  return log_find (s->holder, s->killed_at, "event=loaded", "engines", NULL, 0)
         != 0;
}

static void
add_time (struct series *out, const struct successor *s, const char *event)
{
  const uint64_t at
      = log_find (s->holder, s->killed_at, event, "engines", NULL, 0);

  CU_ASSERT_NOT_EQUAL (at, 0);
  if (at != 0)
    series_add (out, (double)(at - s->killed_at));
}

/* Kills the owner while a request waits for a model that is not loaded. */
static void
fail_over (const char *model, struct series out[4])
{
  struct successor s = { .former = fleet_lease_holder (&fleet, LEASE) };
  const struct cluster_proc *entry = NULL;

  CU_ASSERT_PTR_NOT_NULL_FATAL (s.former);
  for (size_t i = 0; i < FLEET_NODES; i++)
    if (fleet.nodes[i] != s.former)
      entry = fleet.nodes[i];
  s.killed_at = clock_wall_ms ();
  cluster_kill (s.former);
  const double started = bench_now_ms ();
  struct cluster_request *call
      = fleet_chat_start (entry, model, "wait", false);
  const bool taken = cluster_poll_until (has_successor, &s, FAILOVER_MS)
                     && cluster_poll_until (has_ordered, &s, FAILOVER_MS);
  struct cluster_reply r = cluster_http_wait (call);
  CU_ASSERT_TRUE (taken);
  CU_ASSERT_EQUAL (r.status, 200);
  if (r.status == 200)
    series_add (&out[3], bench_now_ms () - started);
  cluster_reply_free (&r);
  if (taken)
    {
      add_time (&out[0], &s, "event=lease-gained");
      add_time (&out[1], &s, "event=takeover");
      add_time (&out[2], &s, "event=load ");
    }
  CU_ASSERT_TRUE (cluster_restart (s.former) && cluster_ready (fleet.cluster));
}

static void
failover (void)
{
  static const char *const names[] = {
    "successor holds the lease",
    "takeover of the ledger is stored",
    "first load decided by the successor",
    "request at another node answered",
  };
  static const char *const models[] = { "lm-2", "lm-3", "lm-4" };
  struct series runs[4] = { 0 };

  bench_section ("failover", "SIGKILL of the placement owner");
  if (fleet_start (&fleet, NULL))
    {
      struct cluster_reply r
          = fleet_chat (fleet.nodes[0], "lm-1", "warm", false);

      cluster_reply_free (&r);
      for (size_t i = 0; i < BENCH_RUNS; i++)
        fail_over (models[i], runs);
      for (size_t i = 0; i < 4; i++)
        bench_row (names[i], "ms", &runs[i]);
      fleet_check_limits (&fleet);
    }
  bench_note ("4 nodes, the usual lease (ttl 4 s). Times from the kill by the "
              "lease object and the successor's log; the killed node is "
              "started again before the next run.");
  fleet_stop (&fleet);
}

/* ---- crashing requests ---- */

static void
crash (void)
{
  struct series lost = { 0 };
  struct series tries = { 0 };
  struct series innocent = { 0 };

  bench_section ("crash", "A request that crashes each target that runs it");
  for (size_t run = 0; run < BENCH_RUNS; run++)
    {
      size_t refused = 0;

      if (fleet_start (&fleet, NULL))
        {
          for (size_t i = 0; i < (size_t)CRASH_REPEATS * FLEET_NODES; i++)
            {
              struct cluster_reply r = fleet_chat (
                  fleet.nodes[i % FLEET_NODES], "lm-6", "CRASH", false);

              refused += fleet_ran (&r, "no");
              cluster_reply_free (&r);
            }
          series_add (
              &lost, (double)(FLEET_ENGINES - fleet_running_engines (&fleet)));
          series_add (&tries, (double)refused);
          struct cluster_reply r
              = fleet_chat (fleet.nodes[0], "lm-6", "innocent", false);
          series_add (&innocent, fleet_reply_complete (&r, "innocent"));
          cluster_reply_free (&r);
        }
      fleet_stop (&fleet);
    }
  bench_row ("servers lost", "of 4", &lost);
  bench_row ("repeats refused, not run", "of 8", &tries);
  bench_row ("another request answered afterwards", "of 1", &innocent);
  bench_note ("The same request %d times at each of %d entries in turn.",
              CRASH_REPEATS, FLEET_NODES);
}

/* ---- bursts ---- */

static void
burst (size_t model, struct series *loads, struct series *slowest,
       struct series *answered)
{
  const struct load load = { .fire = load_chat,
                             .fleet = &fleet,
                             .callers = (size_t)FLEET_NODES * BURST_PER_NODE,
                             .nodes = FLEET_NODES,
                             .duration_ms = FAILOVER_MS,
                             .each = 1,
                             .first_model = model,
                             .text = "burst" };
  const json_int_t before = fleet_sum_counts (&fleet, "loads");
  struct load_result r = load_run (&load);
  struct series whole = load_series (&r, SHOT_ANSWERED, false);

  series_add (loads, (double)(fleet_sum_counts (&fleet, "loads") - before));
  series_add (slowest, series_at (&whole, 1));
  series_add (answered, (double)r.outcomes[SHOT_ANSWERED]);
  series_free (&whole);
  load_result_free (&r);
}

static void
stampede (void)
{
  char uses[BENCH_LABEL];
  struct series loads = { 0 };
  struct series slowest = { 0 };
  struct series answered = { 0 };

  bench_section ("stampede", "Burst of 4 entries x 50 callers, idle model");
  bench_uses (uses, BURST_SLOTS, 4, BURST_LOAD_MS);
  const struct fleet_options options
      = { .uses = uses,
          .engine_flags
          = CLUSTER_FLAGS ("--memory", "100", "--slots", "256", "--load-ms",
                           "500", "--token-ms", "0", "--tokens", "4") };
  if (fleet_start (&fleet, &options))
    {
      for (size_t i = 1; i <= BURST_MODELS; i++)
        burst (i, &loads, &slowest, &answered);
      bench_row ("loads per wake", "loads", &loads);
      bench_row ("slowest caller", "ms", &slowest);
      bench_row ("answered", "of 200", &answered);
      fleet_check_limits (&fleet);
    }
  unlink (uses);
  bench_note ("%d models, one after the other; one load takes %d ms, a "
              "replica runs %d requests at once, at most 4 replicas.",
              BURST_MODELS, BURST_LOAD_MS, BURST_SLOTS);
  fleet_stop (&fleet);
}

static const struct suite_case failover_cases[] = { { "failover", failover } };
static const struct suite_case crash_cases[] = { { "crash", crash } };
static const struct suite_case stampede_cases[] = { { "stampede", stampede } };

__attribute__ ((constructor)) static void
register_parts (void)
{
  suite_register ("failover", failover_cases, 1);
  suite_register ("crash", crash_cases, 1);
  suite_register ("stampede", stampede_cases, 1);
}
