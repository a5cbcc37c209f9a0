#include <stdio.h>

#include "benchlib.h"

/* Cost of one request to the nodes and to the store: control bytes, processor
   time, store calls. Idle cost over the same time is taken off. */

#define DURATION_MS 8000
#define CALLERS 32
#define GAP_MS 200
#define WARM_UP_MS 1000

struct cost
{
  double cpu_ms;
  double bus_bytes;
  double store;
};

static struct cost
take (const struct fleet *f)
{
  struct cost c = { .store = store_calls (f->cluster) };

  for (size_t i = 0; i < FLEET_NODES; i++)
    {
      c.cpu_ms += proc_cpu_ms (f->nodes[i]);
      c.bus_bytes += proc_metric (f->nodes[i], "galenagate_bus_bytes");
    }
  return c;
}

static struct cost
minus (struct cost a, struct cost b)
{
  return (struct cost){ .cpu_ms = a.cpu_ms - b.cpu_ms,
                        .bus_bytes = a.bus_bytes - b.bus_bytes,
                        .store = a.store - b.store };
}

static void
row (const char *kind, const char *figure, const char *unit, double value)
{
  struct series s = { 0 };
  char label[BENCH_LABEL];

  snprintf (label, sizeof label, "%s: %s", kind, figure);
  series_add (&s, value);
  bench_row (label, unit, &s);
}

static void
measure (const char *kind, struct load *load, const struct fleet *f)
{
  load->duration_ms = WARM_UP_MS;
  struct load_result r = load_run (load);
  load_result_free (&r);

  const struct cost t0 = take (f);
  bench_sleep_ms (DURATION_MS);
  const struct cost t1 = take (f);
  load->duration_ms = DURATION_MS;
  r = load_run (load);
  const struct cost t2 = take (f);
  const struct cost own = minus (minus (t2, t1), minus (t1, t0));
  const double n = r.count > 0 ? (double)r.count : 1;

  row (kind, "requests a second", "1/s",
       (double)r.count * 1000 / r.elapsed_ms);
  row (kind, "answered", "%", 100 * (double)r.outcomes[SHOT_ANSWERED] / n);
  row (kind, "bus bytes, both ends", "B", own.bus_bytes / n);
  row (kind, "processor time of all nodes", "ms", own.cpu_ms / n);
  row (kind, "store calls", "1", own.store / n);
  load_result_free (&r);
}

static void
request (void)
{
  struct fleet f;

  bench_section ("request", "Cost of one request (4 nodes, one run)");
  if (fleet_start (&f, NULL))
    {
      struct load load = { .fire = load_chat,
                           .fleet = &f,
                           .callers = CALLERS,
                           .gap_ms = GAP_MS,
                           .nodes = FLEET_NODES,
                           .first_model = 5,
                           .text = "cost",
                           .stream = true };

      measure ("stream of 14 events, warm model", &load, &f);
      load.stream = false;
      measure ("answer in one piece, warm model", &load, &f);
    }
  fleet_stop (&f);
}

static const struct suite_case cases[] = { { "request", request } };
TEST_SUITE ("request", cases)
