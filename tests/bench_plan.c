#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include <jansson.h>

#include "platform/routingcodec.h"

#include "referenceplan.h"
#include "random.h"
#include "suite.h"

/* Processor time of the placement decisions by the size of the fleet: a tick
   in which nothing changes, a node's demand taken in and planned for, and a
   new holder that learns everything. The reference plan, which walks all
   models and servers for each decision, stands beside it. */

#define SECOND_NS 1000000000LL
#define HELD 3
#define ON_DISK 18
#define MODEL_MB 70000
#define SERVER_MB 230000
#define ADAPTER_SLOTS 8
#define WISHES_PER_NODE 12
#define LOADS_PER_NODE 12
#define CHANGES 2000
#define PLAIN_RUNS 5
/* Time between two changes, for the share of a core. */
#define CHANGE_GAP_MS 10

static const struct size
{
  unsigned servers;
  unsigned models;
  unsigned adapters;
  unsigned nodes;
} sizes[] = {
  { 12, 17, 64, 4 },
  { 90, 500, 456, 33 },
  { 300, 500, 456, 110 },
  { 1000, 1100, 22000, 410 },
};

struct run
{
  const struct size *size;
  struct routing *routing;
  struct fleet *fleet;
  uint64_t now;
  uint64_t random;
};

static uint32_t
draw (struct run *r, uint32_t below)
{
  return (uint32_t)(random_next (&r->random) % below);
}

static int64_t
cpu_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return t.tv_sec * SECOND_NS + t.tv_nsec;
}

static struct routing *
routing_of (const struct size *z)
{
  struct routing *routing;
  json_t *models = json_array ();
  json_t *json;

  for (unsigned i = 0; i < z->models; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "m%u", i);
      json_array_append_new (
          models,
          json_pack ("{s:s, s:f, s:f, s:f, s:f, s:i, s:f}", "name", name,
                     "weights_mb", (double)MODEL_MB, "load_s", 10.0, "warm_s",
                     0.6, "disk_s", 0.8, "adapters",
                     (int)(z->adapters / z->models), "adapter_mb", 60.0));
    }
  json = json_pack ("{s:i, s:[], s:[{s:s, s:{s:i, s:i, s:i, s:i, s:o}}]}",
                    "version", 1, "routes", "services", "name", "lm", "engine",
                    "slots", 24, "weights_mb", SERVER_MB, "adapter_slots",
                    ADAPTER_SLOTS, "loads_per_s", 47, "models", models);
  routing = routing_decode (json);
  json_decref (json);
  return routing;
}

/* ---- servers ---- */

struct names
{
  char text[ON_DISK][16];
  struct str str[ON_DISK];
};

static void
draw_names (struct run *r, struct names *n)
{
  const unsigned first = draw (r, r->size->models);

  for (unsigned i = 0; i < ON_DISK; i++)
    {
      snprintf (n->text[i], sizeof n->text[i], "m%u",
                (first + i * 7) % r->size->models);
      n->str[i] = str_from (n->text[i]);
    }
}

static void
tell_entry (struct run *r, unsigned i)
{
  char id[16];

  snprintf (id, sizeof id, "i-%u", i);
  const struct server_entry e = { .id = str_from (id),
                                  .service = STR ("lm"),
                                  .address = STR ("10.0.0.1:80"),
                                  .domain = i % 2 ? STR ("a") : STR ("b"),
                                  .started_ms = 1,
                                  .slots = 24 };
  fleet_update_server (r->fleet, &e);
}

static void
answer_reports (struct run *r)
{
  struct fleet_server *s;

  while ((s = fleet_next_report (r->fleet, r->now)))
    {
      struct held_model held[HELD] = { 0 };
      struct names names;
      const struct server_report report
          = { .started_ms = 1,
              .order_count = s->order_count,
              .models = held,
              .model_count = HELD,
              .on_disk = { names.str, ON_DISK } };

      draw_names (r, &names);
      for (unsigned i = 0; i < HELD; i++)
        held[i].name = names.str[i];
      fleet_report (r->fleet, fleet_server_id (s), &report, r->now);
    }
}

/* Orders are carried out at once. Returns their number. */
static unsigned
answer_orders (struct run *r)
{
  struct fleet_server *s;
  struct order order;
  struct order_reason why;
  unsigned n = 0;

  while ((s = fleet_next_order (r->fleet, r->now, &order, &why)))
    {
      fleet_order_done (r->fleet, fleet_server_id (s), ORDER_ACCEPTED, r->now);
      n++;
    }
  return n;
}

/* ---- nodes ---- */

/* A few models get most calls. */
static unsigned
draw_model (struct run *r)
{
  return draw (r, 4) ? draw (r, 20) % r->size->models
                     : draw (r, r->size->models);
}

static void
tell_demand (struct run *r, unsigned node)
{
  const unsigned adapters = r->size->adapters / r->size->models;
  char name[16];
  char id[16];

  snprintf (name, sizeof name, "node-%u", node);
  fleet_begin_digest (r->fleet, str_from (name), r->now);
  for (unsigned i = 0; i < WISHES_PER_NODE; i++)
    {
      char model[16];
      char adapter[16];
      struct node_demand w = { .service = STR ("lm"),
                               .waiting = draw (r, 10) == 0,
                               .running = draw (r, 3),
                               .arrivals = draw (r, 2) };

      snprintf (model, sizeof model, "m%u", draw_model (r));
      snprintf (adapter, sizeof adapter, "a%u", draw (r, adapters + 1));
      w.model = str_from (model);
      fleet_add_node_demand (r->fleet, str_from (name), &w, r->now);
      w.adapter = str_from (adapter);
      if (draw (r, 2))
        fleet_add_node_demand (r->fleet, str_from (name), &w, r->now);
    }
  for (unsigned i = 0; i < LOADS_PER_NODE; i++)
    {
      snprintf (id, sizeof id, "i-%u", draw (r, r->size->servers));
      fleet_add_node_load (r->fleet, str_from (name),
                           str_hash (str_from (id), 0), draw (r, 3));
    }
}

static bool
see_server (void *ctx, const struct fleet_view *view)
{
  unsigned *n = ctx;

  (void)view;
  (*n)++;
  return true;
}

static unsigned
tick (struct run *r)
{
  unsigned told = 0;
  unsigned orders;

  fleet_expire (r->fleet, r->now);
  fleet_complete_orders (r->fleet, r->now);
  answer_reports (r);
  orders = answer_orders (r);
  fleet_each_changed (r->fleet, r->now, 1000, see_server, &told);
  return orders;
}

/* A new holder: all reports and the demand of all nodes. */
static void
take_over (struct run *r)
{
  fleet_begin_term (r->fleet, 0, r->now);
  answer_reports (r);
  for (unsigned i = 0; i < r->size->nodes; i++)
    tell_demand (r, i);
  r->now += 700;
  for (unsigned i = 0; i < r->size->nodes; i++)
    tell_demand (r, i);
  tick (r);
}

/* ---- measurements ---- */

static double
us_each (int64_t begun_ns, unsigned runs)
{
  return (double)(cpu_ns () - begun_ns) / 1000.0 / runs;
}

static double
measure_changes (struct run *r, unsigned *orders)
{
  int64_t begun_ns = cpu_ns ();

  *orders = 0;
  for (unsigned i = 0; i < CHANGES; i++)
    {
      r->now += CHANGE_GAP_MS;
      tell_demand (r, i % r->size->nodes);
      *orders += tick (r);
    }
  return us_each (begun_ns, CHANGES);
}

static double
measure_rest (struct run *r)
{
  int64_t begun_ns;

  for (int i = 0; i < 100; i++)
    {
      r->now++;
      tick (r);
    }
  begun_ns = cpu_ns ();
  for (unsigned i = 0; i < CHANGES; i++)
    tick (r);
  return us_each (begun_ns, CHANGES);
}

static double
measure_plain (struct run *r)
{
  struct planned_order planned;
  const int64_t begun_ns = cpu_ns ();

  for (int i = 0; i < PLAIN_RUNS; i++)
    reference_plan_models (r->fleet, r->now, &planned);
  return us_each (begun_ns, PLAIN_RUNS);
}

static void
run_size (const struct size *z)
{
  struct run r = { .size = z, .now = 100000, .random = 1 };
  const size_t before = mallinfo2 ().uordblks;
  unsigned orders;
  int64_t begun_ns;
  double takeover_us;
  double change_us;
  double rest_us;

  r.routing = routing_of (z);
  r.fleet = fleet_create ();
  fleet_set_routing (r.fleet, r.routing, 5000);
  for (unsigned i = 0; i < z->servers; i++)
    tell_entry (&r, i);
  begun_ns = cpu_ns ();
  take_over (&r);
  takeover_us = us_each (begun_ns, 1);
  change_us = measure_changes (&r, &orders);
  rest_us = measure_rest (&r);
  printf ("  servers=%u models=%u adapters=%u nodes=%u rest_us=%.1f"
          " change_us=%.1f core_percent=%.2f orders_per_change=%.2f"
          " plain_plan_us=%.0f takeover_ms=%.1f memory_mb=%.1f\n",
          z->servers, z->models, z->adapters, z->nodes, rest_us, change_us,
          change_us / (CHANGE_GAP_MS * 10.0), (double)orders / CHANGES,
          measure_plain (&r), takeover_us / 1000.0,
          (double)(mallinfo2 ().uordblks - before) / 1e6);
  fleet_destroy (r.fleet);
  routing_destroy (r.routing);
}

static void
bench_plan (void)
{
  printf ("\n");
  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    run_size (&sizes[i]);
}

static const struct suite_case cases[] = { { "sizes", bench_plan } };
TEST_SUITE ("plan", cases)
