#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "benchlib.h"

/* Latency and throughput of the path caller, node, engine. */

#define URL_BYTES 128
#define WARM_CALLS 200
#define LATENCY_CALLS 1000
#define SLOTS 256
#define LOAD_MS 50
#define WARM_MS 500
#define LOAD_RUN_MS 2500
#define SHORT_TOKENS 4
#define LONG_TOKENS 100
#define HOLDERS 4

static struct fleet fleet;

static bool
start (const char *tokens, const char *token_ms)
{
  char uses[BENCH_LABEL];

  bench_uses (uses, SLOTS, 1, LOAD_MS);
  const struct fleet_options options
      = { .uses = uses,
          .engine_flags
          = CLUSTER_FLAGS ("--memory", "100", "--slots", "256", "--load-ms",
                           "50", "--token-ms", token_ms, "--tokens", tokens) };
  const bool ok = fleet_start (&fleet, &options);
  unlink (uses);
  return ok;
}

/* The engine that holds the model after the first call. */
static const struct cluster_proc *
holder (void)
{
  for (size_t i = 0; i < FLEET_ENGINES; i++)
    if (cluster_count (fleet.engines[i], "/counts", "loads") > 0)
      return fleet.engines[i];
  return NULL;
}

static struct shot
call_direct (struct bench_client *c, const struct cluster_proc *engine,
             size_t run, size_t i, bool stream)
{
  char url[URL_BYTES];
  char attempt[BENCH_LABEL];
  const char *headers[]
      = { "Content-Type: application/json", "X-Priority: 9", attempt, NULL };
  struct str body = bench_chat_body ("lm-1", "a line", stream);

  snprintf (url, sizeof url, "%s/v1/chat/completions", engine->url);
  snprintf (attempt, sizeof attempt, "X-Attempt-Id: direct-%zu-%zu", run, i);
  const struct shot s
      = bench_client_post (c, url, headers, body.data, FLEET_CALL_MS);
  str_free (&body);
  return s;
}

enum
{
  DIRECT,
  ROUTED,
  PATHS
};

/* Index: path; first byte or whole. */
struct latencies
{
  struct series values[PATHS][2];
  size_t failed;
};

static void
measure (const struct load *load, const struct cluster_proc *engine,
         struct latencies *out)
{
  struct bench_client *clients[PATHS]
      = { bench_client_create (), bench_client_create () };

  for (size_t i = 0; i < WARM_CALLS + LATENCY_CALLS; i++)
    for (size_t j = 0; j < PATHS; j++)
      {
        /* The order changes, so that neither always follows the other. */
        const size_t path = (i + j) % PATHS;
        const struct shot s = path == DIRECT
                                  ? call_direct (clients[path], engine,
                                                 load->run, i, load->stream)
                                  : load_chat (load, clients[path], 0, i);
        out->failed += s.outcome != SHOT_ANSWERED;
        if (i < WARM_CALLS || s.outcome != SHOT_ANSWERED)
          continue;
        series_add (&out->values[path][0], s.first_ms);
        series_add (&out->values[path][1], s.whole_ms);
      }
  bench_client_destroy (clients[DIRECT]);
  bench_client_destroy (clients[ROUTED]);
}

static const double quantiles[] = { 0.5, 0.99 };
static const char *const quantile_names[] = { "p50", "p99" };
static const char *const times[] = { "first byte", "whole" };

static void
latency_table (bool stream)
{
  struct series runs[PATHS + 1][2][2] = { 0 };
  struct load load
      = { .fleet = &fleet, .nodes = 1, .first_model = 1, .text = "a line" };
  size_t failed = 0;

  load.stream = stream;
  for (load.run = 0; load.run < BENCH_RUNS; load.run++)
    {
      struct latencies l = { 0 };

      measure (&load, holder (), &l);
      failed += l.failed;
      for (size_t t = 0; t < 2; t++)
        for (size_t q = 0; q < 2; q++)
          {
            const double direct
                = series_at (&l.values[DIRECT][t], quantiles[q]);
            const double routed
                = series_at (&l.values[ROUTED][t], quantiles[q]);

            series_add (&runs[DIRECT][t][q], direct);
            series_add (&runs[ROUTED][t][q], routed);
            series_add (&runs[PATHS][t][q], routed - direct);
          }
      for (size_t i = 0; i < (size_t)PATHS * 2; i++)
        series_free (&l.values[i / 2][i % 2]);
    }
  static const char *const names[] = { "direct", "routed", "added" };
  for (size_t p = 0; p <= PATHS; p++)
    for (size_t t = 0; t < 2; t++)
      for (size_t q = 0; q < 2; q++)
        {
          char label[BENCH_LABEL];

          snprintf (label, sizeof label, "%s, %s, %s, %s",
                    stream ? "stream" : "plain", names[p], times[t],
                    quantile_names[q]);
          bench_row (label, "ms", &runs[p][t][q]);
        }
  CU_ASSERT_EQUAL (failed, 0);
}

static void
latency (void)
{
  if (start ("4", "0"))
    {
      struct cluster_reply r
          = fleet_chat (fleet.nodes[0], "lm-1", "warm", false);

      cluster_reply_free (&r);
      CU_ASSERT_PTR_NOT_NULL_FATAL (holder ());
      bench_section ("latency", "Latency of the path for a warm model");
      latency_table (false);
      latency_table (true);
      bench_note ("One caller, %d direct and %d routed calls a run after %d "
                  "of each to warm up, one after the other in turns, "
                  "connections reused, answers of %d tokens without delay.",
                  LATENCY_CALLS, LATENCY_CALLS, WARM_CALLS, SHORT_TOKENS);
    }
  fleet_stop (&fleet);
}

/* ---- throughput ---- */

struct kind
{
  const char *title;
  const char *tokens_flag;
  const char *token_ms;
  uint32_t tokens;
  bool stream;
  size_t callers;
  size_t models;
};

static const struct kind kinds[] = {
  { "plain answers of 4 tokens without delay, 1 model, 32 callers", "4", "0",
    SHORT_TOKENS, false, 32, 1 },
  { "streamed answers of 100 tokens, 5 ms apart, 4 models, 256 callers", "100",
    "5", LONG_TOKENS, true, 256, HOLDERS },
};

static double
engines_cpu_ms (void)
{
  double sum = 0;

  for (size_t i = 0; i < FLEET_ENGINES; i++)
    sum += proc_cpu_ms (fleet.engines[i]);
  return sum;
}

static void
throughput_rows (const struct kind *kind)
{
  struct series rate = { 0 };
  struct series token_rate = { 0 };
  struct series p99 = { 0 };
  struct series cpu = { 0 };
  struct series engine_cpu = { 0 };
  struct load load = { .fire = load_chat,
                       .fleet = &fleet,
                       .callers = kind->callers,
                       .nodes = 1,
                       .duration_ms = WARM_MS,
                       .first_model = 1,
                       .models = kind->models,
                       .text = "a line",
                       .stream = kind->stream };
  struct load_result warm = load_run (&load);
  size_t failed = 0;

  load_result_free (&warm);
  load.duration_ms = LOAD_RUN_MS;
  for (load.run = 1; load.run <= BENCH_RUNS; load.run++)
    {
      const double before = proc_cpu_ms (fleet.nodes[0]);
      const double engine_before = engines_cpu_ms ();
      struct load_result r = load_run (&load);
      struct series whole = load_series (&r, SHOT_ANSWERED, false);
      const double rate_now
          = (double)r.outcomes[SHOT_ANSWERED] * 1000 / r.elapsed_ms;

      series_add (&cpu, 100 * (proc_cpu_ms (fleet.nodes[0]) - before)
                            / r.elapsed_ms);
      series_add (&engine_cpu,
                  100 * (engines_cpu_ms () - engine_before) / r.elapsed_ms);
      series_add (&rate, rate_now);
      series_add (&token_rate, rate_now * kind->tokens);
      series_add (&p99, series_at (&whole, 0.99));
      failed += r.count - r.outcomes[SHOT_ANSWERED];
      series_free (&whole);
      load_result_free (&r);
    }
  printf ("| **%s** | | | | | |\n", kind->title);
  bench_row ("requests", "1/s", &rate);
  bench_row ("tokens", "1/s", &token_rate);
  bench_row ("whole answer, p99", "ms", &p99);
  bench_row ("processor of the node", "% of a core", &cpu);
  bench_row ("processor of the 4 engine stand-ins", "% of a core",
             &engine_cpu);
  CU_ASSERT_EQUAL (failed, 0);
}

static void
throughput (void)
{
  bench_section ("throughput", "Throughput of one node with warm models");
  for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
    {
      if (start (kinds[i].tokens_flag, kinds[i].token_ms))
        throughput_rows (&kinds[i]);
      fleet_stop (&fleet);
    }
  bench_note ("Callers are threads of one process with one call at a time "
              "each and share the machine with the node; %d ms a run after "
              "%d ms to warm up.",
              LOAD_RUN_MS, WARM_MS);
}

static const struct suite_case latency_cases[] = { { "latency", latency } };
static const struct suite_case throughput_cases[]
    = { { "throughput", throughput } };

__attribute__ ((constructor)) static void
register_parts (void)
{
  suite_register ("latency", latency_cases, 1);
  suite_register ("throughput", throughput_cases, 1);
}
