#include <stdio.h>
#include <unistd.h>

#include "benchlib.h"
#include "clock.h"

/* Costs of idle nodes, and of bringing an edit into force, by fleet size. */

#define SIZES 5
#define NODES_MAX 64
#define MEASURE_MS 10000
/* Joins are piggybacked on probes for some seconds. */
#define SETTLE_MS 10000
#define EDIT_SETTLE_MS 3000
#define EDITS 3
#define EDIT_WAIT_MS 15000
#define PLANS "tests/lists/small/plans.json"
#define BYTES_PER_KB 1000

static const size_t sizes[SIZES] = { 4, 8, 16, 32, 64 };
static const char *const domains[] = { "a", "b", "c" };

struct sample
{
  double cpu_ms;
  double bus_bytes;
  double gossip_bytes;
};

struct system
{
  struct cluster *cluster;
  struct cluster_proc *nodes[NODES_MAX];
  size_t count;
  char uses[BENCH_LABEL];
};

static bool
start (struct system *s, uint32_t load_ms)
{
  const char *const services[] = { "engines", "engines", "stage" };

  *s = (struct system){ .cluster = cluster_create ("test") };
  cluster_store (s->cluster, CLUSTER_FLAGS ());
  for (size_t i = 0; i < 2; i++)
    cluster_engine (s->cluster, services[i], domains[i],
                    CLUSTER_FLAGS ("--memory", "100"));
  cluster_service (s->cluster, services[2], domains[2], CLUSTER_FLAGS ());
  bench_uses (s->uses, 4, 1, load_ms);
  const bool ok
      = cluster_put_hosts (s->cluster)
        && cluster_apply (s->cluster, PLANS, s->uses, CLUSTER_FLAGS ()) == 0;
  unlink (s->uses);
  CU_ASSERT_TRUE (ok);
  return ok;
}

static bool
grow (struct system *s, size_t count, double settle_ms)
{
  for (; s->count < count; s->count++)
    s->nodes[s->count]
        = cluster_node (s->cluster, domains[s->count % 3], CLUSTER_FLAGS ());
  const bool ready = cluster_ready (s->cluster);
  CU_ASSERT_TRUE (ready);
  bench_sleep_ms (settle_ms);
  return ready;
}

static void
take (const struct system *s, struct sample *out)
{
  for (size_t i = 0; i < s->count; i++)
    {
      out[i].bus_bytes = proc_metric (s->nodes[i], "galenagate_bus_bytes");
      out[i].gossip_bytes
          = proc_metric (s->nodes[i], "galenagate_gossip_bytes_total");
      out[i].cpu_ms = proc_cpu_ms (s->nodes[i]);
    }
}

/* ---- idle ---- */

enum figure
{
  MEMORY,
  CPU,
  BUS,
  GOSSIP,
  CONTROL,
  FIGURES
};

static const char *const figure_names[]
    = { "memory (RSS)", "processor", "bus (TCP)", "gossip (UDP)",
        "bus and gossip" };
static const char *const figure_units[]
    = { "MB", "% of a core", "kB/s", "kB/s", "kB/s" };

static double
figure_of (const struct cluster_proc *p, enum figure figure,
           const struct sample *a, const struct sample *b, double elapsed_ms)
{
  const double bus = (b->bus_bytes - a->bus_bytes) / elapsed_ms;
  const double gossip = (b->gossip_bytes - a->gossip_bytes) / elapsed_ms;

  switch (figure)
    {
    case MEMORY:
      return proc_rss_mb (p);
    case CPU:
      return 100 * (b->cpu_ms - a->cpu_ms) / elapsed_ms;
    case BUS:
      return bus;
    case GOSSIP:
      return gossip;
    case CONTROL:
    case FIGURES:
      break;
    }
  return bus + gossip;
}

/* Sets the median of each figure and the store's calls a second. */
static void
measure (const struct system *s, double *medians, double *store_rate)
{
  struct sample before[NODES_MAX] = { 0 };
  struct sample after[NODES_MAX] = { 0 };

  take (s, before);
  const double calls = store_calls (s->cluster);
  const double started = bench_now_ms ();
  bench_sleep_ms (MEASURE_MS);
  const double elapsed_ms = bench_now_ms () - started;
  *store_rate = (store_calls (s->cluster) - calls) * 1000 / elapsed_ms;
  take (s, after);
  for (size_t f = 0; f < FIGURES; f++)
    {
      struct series nodes = { 0 };
      char label[BENCH_LABEL];

      for (size_t i = 0; i < s->count; i++)
        series_add (&nodes, figure_of (s->nodes[i], (enum figure)f, &before[i],
                                       &after[i], elapsed_ms));
      medians[f] = series_at (&nodes, 0.5);
      snprintf (label, sizeof label, "%zu nodes: %s of a node", s->count,
                figure_names[f]);
      bench_row (label, figure_units[f], &nodes);
    }
  struct series store = { 0 };
  char label[BENCH_LABEL];

  snprintf (label, sizeof label, "%zu nodes: store calls of all", s->count);
  series_add (&store, *store_rate);
  bench_row (label, "1/s", &store);
}

static void
idle (void)
{
  struct system s;
  double x[SIZES];
  double y[FIGURES + 1][SIZES];

  bench_section ("idle", "Idle nodes (spread over the nodes)");
  if (start (&s, 1))
    {
      for (size_t i = 0; i < SIZES && grow (&s, sizes[i], SETTLE_MS); i++)
        {
          double medians[FIGURES];

          x[i] = (double)sizes[i];
          measure (&s, medians, &y[FIGURES][i]);
          for (size_t f = 0; f < FIGURES; f++)
            y[f][i] = medians[f];
        }
      if (s.count == NODES_MAX)
        {
          for (size_t f = 0; f < FIGURES; f++)
            bench_note ("Slope of the %s of a node: %.4f %s per further node.",
                        figure_names[f], bench_slope (x, y[f], SIZES),
                        figure_units[f]);
          bench_note ("Slope of the store calls of all: %.3f a second per "
                      "further node.",
                      bench_slope (x, y[FIGURES], SIZES));
        }
      bench_note ("%d ms each, %d ms after the last node was ready. The UDP "
                  "bytes include IP and UDP headers, the bus bytes no TCP/IP "
                  "headers; both count what is sent and received.",
                  MEASURE_MS, SETTLE_MS);
    }
  cluster_destroy (s.cluster);
}

/* ---- edits ---- */

/* Time from the acceptance to in force on the last node, or -1. */
static double
edit (struct system *s, uint32_t number, double *command_ms)
{
  const uint64_t from = clock_wall_ms ();
  const double started = bench_now_ms ();
  char revision[BENCH_LABEL];

  bench_uses (s->uses, 4, 1, number);
  const int rc = cluster_apply (s->cluster, PLANS, s->uses, CLUSTER_FLAGS ());
  unlink (s->uses);
  *command_ms = bench_now_ms () - started;
  snprintf (revision, sizeof revision, " revision=%u ", number);
  struct cluster_reply root
      = cluster_http (s->cluster->store, "GET", "/objects/config/root", NULL,
                      NULL, EDIT_WAIT_MS);
  json_t *json = json_loadb (root.body.data, root.body.len, 0, NULL);
  const uint64_t accepted
      = (uint64_t)json_integer_value (json_object_get (json, "applied_at_ms"));
  json_decref (json);
  cluster_reply_free (&root);
  if (rc != 0 || accepted < from)
    return -1;
  const double until = bench_now_ms () + EDIT_WAIT_MS;
  uint64_t last = 0;
  for (size_t i = 0; i < s->count;)
    {
      const uint64_t at
          = log_find (s->nodes[i], from, "event=adopted", revision, NULL, 0);
      if (at == 0 && bench_now_ms () > until)
        return -1;
      if (at == 0)
        bench_sleep_ms (20);
      else if (++i && at > last)
        last = at;
    }
  return (double)last - (double)accepted;
}

static void
edits (void)
{
  static const size_t counts[] = { 4, 16, 64 };
  struct system s;
  uint32_t number = 2;

  bench_section ("edits", "Edit in force on the last node");
  if (start (&s, 1))
    for (size_t i = 0; i < 3 && grow (&s, counts[i], EDIT_SETTLE_MS); i++)
      {
        struct series in_force = { 0 };
        struct series command = { 0 };
        char label[BENCH_LABEL];

        for (size_t j = 0; j < EDITS; j++)
          {
            double command_ms;
            const double ms = edit (&s, number++, &command_ms);

            CU_ASSERT_TRUE (ms >= 0);
            if (ms < 0)
              continue;
            series_add (&in_force, ms);
            series_add (&command, command_ms);
          }
        snprintf (label, sizeof label, "%zu nodes: acceptance to in force",
                  counts[i]);
        bench_row (label, "ms", &in_force);
        snprintf (label, sizeof label, "%zu nodes: the apply command itself",
                  counts[i]);
        bench_row (label, "ms", &command);
      }
  bench_note ("From applied_at_ms of the root, set just before the "
              "conditional update, to the last node's log line adopted.");
  cluster_destroy (s.cluster);
}

static const struct suite_case idle_cases[] = { { "idle", idle } };
static const struct suite_case edit_cases[] = { { "edits", edits } };

__attribute__ ((constructor)) static void
register_parts (void)
{
  suite_register ("idle", idle_cases, 1);
  suite_register ("edits", edit_cases, 1);
}
