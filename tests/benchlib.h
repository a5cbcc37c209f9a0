#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cluster_fleet.h"
#include "suite.h"

/* Helpers of the benchmarks (tests/bench_*.c, program build/bench). Each
   benchmark is a suite; its tables go to standard output as Markdown. */

#define BENCH_RUNS 3
#define BENCH_LABEL 64
#define NS_PER_MS 1e6

/** struct series - measured values; zero-initialise, free with
    series_free(). */
struct series
{
  double *values;
  size_t count;
};

void series_add (struct series *s, double value);
/** series_at() - value below which the fraction @q lies; -1 without values. */
double series_at (struct series *s, double q);
void series_free (struct series *s);

/** bench_now_ms() - CLOCK_MONOTONIC with fractions of a millisecond. */
double bench_now_ms (void);
void bench_sleep_ms (double ms);
/** bench_section() - title, command and head of a table of results. */
void bench_section (const char *part, const char *title);
/** bench_row() - median, smallest and largest over the runs; frees @runs. */
void bench_row (const char *figure, const char *unit, struct series *runs);
/** bench_note() - a line after a table. */
void bench_note (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));
/** bench_slope() - least squares slope of y over x. */
double bench_slope (const double *x, const double *y, size_t n);

/* ---- calls ---- */

enum outcome
{
  SHOT_ANSWERED,
  SHOT_REFUSED, /* with X-Galenagate-Ran: no */
  SHOT_FAILED,  /* anything else, a broken answer included */
};

struct shot
{
  enum outcome outcome;
  long status;
  double first_ms; /* to the first byte of the body */
  double whole_ms;
  size_t bytes;
};

/** struct bench_client - one caller with a connection of its own that is
 * reused. */
struct bench_client;
struct bench_client *bench_client_create (void);
void bench_client_destroy (struct bench_client *c);
struct shot bench_client_post (struct bench_client *c, const char *url,
                               const char *const *headers, const char *body,
                               uint32_t timeout_ms);

/**
 * struct load - callers in threads, each with one call at a time.
 * @fire: makes the call number @seq of a caller.
 * @gap_ms: between the starts of a caller's calls; 0 is as fast as it can.
 *   Callers start spread over the first gap.
 * @each: most calls of a caller; 0 is no limit.
 */
struct load
{
  struct shot (*fire) (const struct load *load, struct bench_client *c,
                       size_t caller, size_t seq);
  const struct fleet *fleet;
  size_t callers;
  double duration_ms;
  double gap_ms;
  size_t each;
  size_t nodes;       /* callers use the first nodes of the fleet in turn */
  size_t first_model; /* 1 is lm-1 */
  size_t models;      /* callers use these models in turn; 0 is one */
  const char *text;
  const char *deadline; /* header, or NULL */
  bool stream;
  size_t run;
};

struct load_result
{
  struct shot *shots;
  size_t count;
  size_t outcomes[SHOT_FAILED + 1];
  double elapsed_ms;
};

struct load_result load_run (const struct load *load);
void load_result_free (struct load_result *r);
/** load_series() - first or whole time of the shots with an outcome. */
struct series load_series (const struct load_result *r, enum outcome outcome,
                           bool first);
/** load_chat() - a fire function: chat completion at one of the nodes. */
struct shot load_chat (const struct load *load, struct bench_client *c,
                       size_t caller, size_t seq);
/** bench_chat_body() - free with str_free(). */
struct str bench_chat_body (const char *model, const char *text, bool stream);

/* ---- processes ---- */

/** proc_cpu_ms() - user and system time of a process so far. */
double proc_cpu_ms (const struct cluster_proc *p);
double proc_rss_mb (const struct cluster_proc *p);
/** proc_metric() - sum over the labels of a metric of a node. */
double proc_metric (const struct cluster_proc *p, const char *name);
/** store_calls() - of all kinds, by GET /counts. */
double store_calls (const struct cluster *c);
/**
 * bench_uses() - write a list of uses: tests/lists/small with other numbers.
 * @path: of BENCH_LABEL bytes, set to the file; the caller unlinks it.
 */
void bench_uses (char *path, uint32_t slots, uint32_t max_replicas,
                 uint32_t load_ms);
/**
 * log_find() - the first line of a process's log with all texts in it.
 * @from_ms: earlier lines are passed over (clock_wall_ms()).
 *
 * Returns its wall clock time in ms, or 0; @line may be NULL.
 */
uint64_t log_find (const struct cluster_proc *p, uint64_t from_ms,
                   const char *a, const char *b, char *line, size_t size);
