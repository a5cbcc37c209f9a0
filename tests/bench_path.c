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
/* Engines that hold lm-1 and so on. */
static const struct cluster_proc *holders[HOLDERS];

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

static const struct cluster_proc *
find_holder (const char *model)
{
  const struct cluster_proc *found = NULL;

  for (size_t i = 0; i < FLEET_ENGINES && !found; i++)
    {
      json_t *status = cluster_get_json (fleet.engines[i], "/status");
      json_t *entry;
      size_t j;

      json_array_foreach (json_object_get (status, "entries"), j, entry)
      {
        const char *name
            = json_string_value (json_object_get (entry, "model"));
        if (name && strcmp (name, model) == 0)
          found = fleet.engines[i];
      }
      json_decref (status);
    }
  return found;
}

/* Loads the first models; false when one has no engine. */
static bool
warm_up (size_t models)
{
  bool ok = true;

  for (size_t i = 0; i < models; i++)
    {
      char model[BENCH_LABEL];

      snprintf (model, sizeof model, "lm-%zu", i + 1);
      struct cluster_reply r
          = fleet_chat (fleet.nodes[0], model, "warm", false);
      cluster_reply_free (&r);
      holders[i] = find_holder (model);
      ok = ok && holders[i];
    }
  CU_ASSERT_TRUE (ok);
  return ok;
}

static struct shot
call_direct (const struct load *load, struct bench_client *c, size_t caller,
             size_t seq)
{
  const size_t model = caller % (load->models ? load->models : 1);
  char url[URL_BYTES];
  char name[BENCH_LABEL];
  char attempt[BENCH_LABEL];
  const char *headers[]
      = { "Content-Type: application/json", "X-Priority: 9", attempt, NULL };

  snprintf (name, sizeof name, "lm-%zu", model + 1);
  snprintf (url, sizeof url, "%s/v1/chat/completions", holders[model]->url);
  snprintf (attempt, sizeof attempt, "X-Attempt-Id: direct-%d-%zu-%zu-%zu",
            load->stream, load->run, caller, seq);
  struct str body = bench_chat_body (name, load->text, load->stream);
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
measure (const struct load *load, struct latencies *out)
{
  struct bench_client *clients[PATHS]
      = { bench_client_create (), bench_client_create () };

  for (size_t i = 0; i < WARM_CALLS + LATENCY_CALLS; i++)
    for (size_t j = 0; j < PATHS; j++)
      {
        /* The order changes, so that neither always follows the other. */
        const size_t path = (i + j) % PATHS;
        const struct shot s = path == DIRECT
                                  ? call_direct (load, clients[path], 0, i)
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

      measure (&load, &l);
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
  if (start ("4", "0") && warm_up (1))
    {
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

struct rates
{
  struct series requests, tokens, p99, cpu, engine_cpu;
  size_t failed;
};

static void
throughput_run (const struct load *load, const struct kind *kind,
                struct rates *out)
{
  const double before = proc_cpu_ms (fleet.nodes[0]);
  const double engine_before = engines_cpu_ms ();
  struct load_result r = load_run (load);
  struct series whole = load_series (&r, SHOT_ANSWERED, false);
  const double rate = (double)whole.count * 1000 / r.elapsed_ms;

  series_add (&out->cpu,
              100 * (proc_cpu_ms (fleet.nodes[0]) - before) / r.elapsed_ms);
  series_add (&out->engine_cpu,
              100 * (engines_cpu_ms () - engine_before) / r.elapsed_ms);
  series_add (&out->requests, rate);
  series_add (&out->tokens, rate * kind->tokens);
  series_add (&out->p99, series_at (&whole, 0.99));
  out->failed += r.count - r.outcomes[SHOT_ANSWERED];
  series_free (&whole);
  load_result_free (&r);
}

static void
throughput_rows (const struct kind *kind)
{
  static const char *const names[PATHS] = { "directly", "through the node" };
  struct rates rates[PATHS] = { 0 };
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

  load_result_free (&warm);
  load.duration_ms = LOAD_RUN_MS;
  /* In turns, because a model without routed calls is unloaded after some
     seconds. */
  for (load.run = 1; load.run <= BENCH_RUNS; load.run++)
    for (size_t path = 0; path < PATHS; path++)
      {
        load.fire = path == DIRECT ? call_direct : load_chat;
        throughput_run (&load, kind, &rates[path]);
      }
  for (size_t path = 0; path < PATHS; path++)
    {
      struct rates *r = &rates[path];

      printf ("| **%s, %s** | | | | | |\n", kind->title, names[path]);
      bench_row ("requests", "1/s", &r->requests);
      bench_row ("tokens", "1/s", &r->tokens);
      bench_row ("whole answer, p99", "ms", &r->p99);
      if (path == ROUTED)
        bench_row ("processor of the node", "% of a core", &r->cpu);
      series_free (&r->cpu);
      bench_row ("processor of the 4 engine stand-ins", "% of a core",
                 &r->engine_cpu);
      CU_ASSERT_EQUAL (r->failed, 0);
    }
}

static void
throughput (void)
{
  bench_section ("throughput", "Throughput of one node with warm models");
  for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
    {
      if (start (kinds[i].tokens_flag, kinds[i].token_ms)
          && warm_up (kinds[i].models))
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
