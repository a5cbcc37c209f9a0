#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "benchlib.h"

/* Claims of calls that may not be repeated, and overload. */

#define URL_BYTES 128
#define CLAIM_CALLERS 256
#define CLAIM_GAP_MS 256
#define CLAIM_MS 4000
#define IDLE_MS 3000

#define OVERLOAD_MS 10000
#define OVERLOAD_WARM_MS 2000
#define DEADLINE_MS 1000
#define OVERLOAD_SLOTS 4
#define OVERLOAD_ENGINES 2
#define TOKENS 20
#define TOKEN_MS 10
#define OVERLOAD_CALLERS 160

static struct fleet fleet;

/* ---- claims ---- */

static struct shot
fire_release (const struct load *load, struct bench_client *c, size_t caller,
              size_t seq)
{
  char url[URL_BYTES];
  char key[BENCH_LABEL];
  const char *headers[] = { "Authorization: Bearer key-opera", key, NULL };

  snprintf (url, sizeof url, "%s/services/stage/release",
            load->fleet->nodes[caller % load->nodes]->url);
  snprintf (key, sizeof key, "Idempotency-Key: bench-%zu-%zu-%zu", load->run,
            caller, seq);
  return bench_client_post (c, url, headers, "{}", FLEET_CALL_MS);
}

static double
writes (void)
{
  return (double)cluster_json_int (fleet.store, "/counts", "writes");
}

/* Keys that the service saw more than once. */
static size_t
run_again (void)
{
  json_t *counts = cluster_get_json (fleet.service, "/counts");
  const char *key;
  json_t *n;
  size_t sum = 0;

  json_object_foreach (json_object_get (counts, "keys"), key, n) sum
      += json_integer_value (n) > 1;
  CU_ASSERT_PTR_NOT_NULL (counts);
  json_decref (counts);
  return sum;
}

static void
claims (void)
{
  struct series rate = { 0 };
  struct series write_rate = { 0 };
  struct series saving = { 0 };
  struct series p50 = { 0 };
  struct series p99 = { 0 };
  struct series idle = { 0 };
  struct load load = { .fire = fire_release,
                       .fleet = &fleet,
                       .callers = CLAIM_CALLERS,
                       .nodes = FLEET_NODES,
                       .duration_ms = IDLE_MS,
                       .gap_ms = CLAIM_GAP_MS };
  size_t failed = 0;

  bench_section ("claims", "Store writes of non-idempotent calls, 4 nodes");
  if (fleet_start (&fleet, NULL))
    {
      struct load_result warm = load_run (&load);

      load_result_free (&warm);
      const double before_idle = writes ();
      bench_sleep_ms (IDLE_MS);
      series_add (&idle, (writes () - before_idle) * 1000 / IDLE_MS);
      load.duration_ms = CLAIM_MS;
      for (load.run = 1; load.run <= BENCH_RUNS; load.run++)
        {
          const double before = writes ();
          struct load_result r = load_run (&load);
          const double written = writes () - before;
          const double answered = (double)r.outcomes[SHOT_ANSWERED];
          struct series whole = load_series (&r, SHOT_ANSWERED, false);

          failed += r.count - r.outcomes[SHOT_ANSWERED];
          series_add (&rate, answered * 1000 / r.elapsed_ms);
          series_add (&write_rate, written * 1000 / r.elapsed_ms);
          series_add (&saving, answered / written);
          series_add (&p50, series_at (&whole, 0.5));
          series_add (&p99, series_at (&whole, 0.99));
          series_free (&whole);
          load_result_free (&r);
        }
      bench_row ("calls (writes of the naive way)", "1/s", &rate);
      bench_row ("store writes, all kinds", "1/s", &write_rate);
      bench_row ("calls per write", "", &saving);
      bench_row ("store writes without calls", "1/s", &idle);
      bench_row ("whole answer, p50", "ms", &p50);
      bench_row ("whole answer, p99", "ms", &p99);
      bench_note ("%d callers offer 1,000 calls a second with distinct keys, "
                  "%d ms a run; %zu calls were not answered.",
                  CLAIM_CALLERS, CLAIM_MS, failed);
      CU_ASSERT_EQUAL (run_again (), 0);
    }
  fleet_stop (&fleet);
}

/* ---- overload ---- */

enum
{
  OFFERED,
  ANSWERED,
  IN_TIME,
  WHOLE_P99,
  REFUSAL_P50,
  REFUSAL_P99,
  FIGURES
};

static const struct
{
  const char *name;
  const char *unit;
} figures[FIGURES] = {
  [OFFERED] = { "offered", "1/s" },
  [ANSWERED] = { "answered", "1/s" },
  [IN_TIME] = { "admitted that were answered within the deadline", "%" },
  [WHOLE_P99] = { "whole answer, p99", "ms" },
  [REFUSAL_P50] = { "time to a refusal, p50", "ms" },
  [REFUSAL_P99] = { "time to a refusal, p99", "ms" },
};

static void
overload_run (const struct load *load, struct series *out)
{
  struct load_result r = load_run (load);
  struct series whole = load_series (&r, SHOT_ANSWERED, false);
  struct series refused = load_series (&r, SHOT_REFUSED, false);
  const size_t admitted = r.count - r.outcomes[SHOT_REFUSED];
  size_t late = 0;

  for (size_t i = 0; i < whole.count; i++)
    late += whole.values[i] > DEADLINE_MS;
  series_add (&out[OFFERED], (double)r.count * 1000 / r.elapsed_ms);
  series_add (&out[ANSWERED], (double)whole.count * 1000 / r.elapsed_ms);
  if (admitted > 0)
    series_add (&out[IN_TIME],
                100 * (double)(whole.count - late) / (double)admitted);
  series_add (&out[WHOLE_P99], series_at (&whole, 0.99));
  series_add (&out[REFUSAL_P50], series_at (&refused, 0.5));
  series_add (&out[REFUSAL_P99], series_at (&refused, 0.99));
  bench_note ("Run %zu: %zu requests, %zu answered (%zu late), %zu refused as "
              "not run, %zu failed.",
              load->run, r.count, whole.count, late, refused.count,
              r.outcomes[SHOT_FAILED]);
  series_free (&whole);
  series_free (&refused);
  load_result_free (&r);
}

static void
overload (void)
{
  char uses[BENCH_LABEL];
  const double capacity
      = OVERLOAD_ENGINES * OVERLOAD_SLOTS * 1000.0 / (TOKENS * TOKEN_MS);
  struct load load = { .fire = load_chat,
                       .fleet = &fleet,
                       .callers = (size_t)OVERLOAD_ENGINES * OVERLOAD_SLOTS,
                       .nodes = FLEET_NODES,
                       .duration_ms = OVERLOAD_WARM_MS,
                       .first_model = 1,
                       .text = "a line",
                       .deadline = "X-Deadline-Ms: 1000" };
  struct series runs[FIGURES] = { 0 };

  bench_uses (uses, OVERLOAD_SLOTS, OVERLOAD_ENGINES, 200);
  const struct fleet_options options
      = { .uses = uses,
          .engine_flags
          = CLUSTER_FLAGS ("--memory", "100", "--slots", "4", "--load-ms",
                           "200", "--token-ms", "10", "--tokens", "20") };
  if (fleet_start (&fleet, &options))
    {
      /* Loads the replicas. */
      struct load_result warm = load_run (&load);

      load_result_free (&warm);
      load.callers = OVERLOAD_CALLERS;
      load.duration_ms = OVERLOAD_MS;
      load.gap_ms = OVERLOAD_CALLERS * 1000.0 / (2 * capacity);
      for (load.run = 1; load.run <= BENCH_RUNS; load.run++)
        overload_run (&load, runs);
      bench_section ("overload", "Twice the capacity of 2 engines");
      for (size_t i = 0; i < FIGURES; i++)
        bench_row (figures[i].name, figures[i].unit, &runs[i]);
      bench_note ("Capacity %.0f requests a second, deadline %d ms, %d ms a "
                  "run, replicas loaded: %lld.",
                  capacity, DEADLINE_MS, OVERLOAD_MS,
                  (long long)fleet_sum_counts (&fleet, "loads"));
    }
  unlink (uses);
  fleet_stop (&fleet);
}

static const struct suite_case claim_cases[] = { { "claims", claims } };
static const struct suite_case overload_cases[] = { { "overload", overload } };

__attribute__ ((constructor)) static void
register_parts (void)
{
  suite_register ("claims", claim_cases, 1);
  suite_register ("overload", overload_cases, 1);
}
