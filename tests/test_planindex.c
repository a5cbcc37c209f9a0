#include <stdio.h>

#include "fleetsim.h"
#include "referenceplan.h"
#include "suite.h"

/* Guards against indexes that are not kept up to date: over random histories,
   the plan must choose the same orders as the reference plan, which walks all
   models and servers for each decision. */

#define SEEDS 12
#define TICKS 6000

static struct
{
  unsigned models;   /* orders on models, over all seeds */
  unsigned adapters; /* orders on adapters, over all seeds */
  unsigned differ;   /* differences from the reference plan, of one seed */
} decisions;

static bool
is_same_order (const struct order *o, const struct fleet_server *s,
               const struct planned_order *p, bool expected)
{
  if (!s || !expected)
    return !s && !expected;
  return s == p->server && o->kind == p->kind
         && str_eq (o->model, p->model->name);
}

static void
print_difference (uint64_t now, bool adapter_waits,
                  const struct fleet_server *s, const struct order *o,
                  const struct planned_order *plain)
{
  fprintf (stderr, "at %lu: an adapter waits: %d\n", now, adapter_waits);
  if (plain)
    fprintf (stderr,
             "plain: kind=%d model=" STR_FMT " server=" STR_FMT " for=" STR_FMT
             "\n",
             plain->kind, STR_ARG (plain->model->name),
             STR_ARG (plain->server->id), STR_ARG (plain->reason.for_model));
  if (s)
    fprintf (stderr, "plan: kind=%d model=" STR_FMT " server=" STR_FMT "\n",
             o->kind, STR_ARG (o->model), STR_ARG (s->id));
}

static struct fleet_server *
checked_next_order (struct fleet *f, uint64_t now, struct order *out,
                    struct order_reason *why)
{
  const bool resend = due_first (&f->resends, now) != NULL;
  const bool adapter_waits = reference_adapter_waits (f, now);
  struct planned_order plain = { 0 };
  const bool expected = reference_plan_models (f, now, &plain);
  struct fleet_server *s = fleet_next_order (f, now, out, why);

  if (resend)
    return s;
  if (s && out->adapter.len > 0)
    {
      decisions.adapters++;
      return s;
    }
  decisions.models += s != NULL;
  if (!adapter_waits && is_same_order (out, s, &plain, expected))
    return s;
  if (decisions.differ++ == 0)
    print_difference (now, adapter_waits, s, out, expected ? &plain : NULL);
  return s;
}

static void
send_random_demand (struct sim *m, const char *node, int model_count)
{
  fleet_begin_digest (m->fleet, str_from (node), m->now);
  for (int j = 0; j < 8; j++)
    {
      char model[16];
      char adapter[16];
      const uint32_t rare = sim_random (m, 3);

      snprintf (model, sizeof model, "m%u",
                sim_random (m, rare ? 6 : (uint32_t)model_count));
      snprintf (adapter, sizeof adapter, "a%u", sim_random (m, 4));
      const struct node_demand w = {
        .service = STR ("lm"),
        .model = str_from (model),
        .adapter = sim_random (m, 3) ? STR ("") : str_from (adapter),
        .waiting = sim_random (m, 3),
        .running = sim_random (m, 5),
        .arrivals = sim_random (m, 3),
        .rate = sim_random (m, 4),
        .idle_ms = sim_random (m, 3000),
      };
      fleet_add_node_demand (m->fleet, str_from (node), &w, m->now);
      fleet_add_node_load (m->fleet, str_from (node),
                           str_hash (str_from (m->servers[j % SERVERS].id), 0),
                           sim_random (m, 4));
    }
}

/* Causes a random event: a restart, a new term, a server that becomes
   unreachable or is reached again, a suspicion, a removed entry, or a new
   configuration. */
static void
inject_event (struct sim *m, const struct routing *smaller_routing)
{
  const int i = (int)sim_random (m, SERVERS);

  switch (sim_random (m, 7))
    {
    case 0:
      sim_restart (m, i);
      break;
    case 1:
      m->fence++;
      fleet_begin_term (m->fleet, 0, m->now);
      break;
    case 2:
      m->servers[i].unreachable = !m->servers[i].unreachable;
      break;
    case 3:
      fleet_suspect (m->fleet, str_hash (str_from (m->servers[i].id), 0),
                     m->now);
      break;
    case 4:
      fleet_remove_server (m->fleet, str_from (m->servers[i].id));
      break;
    case 5:
      sim_restart (m, i);
      m->servers[i].unreachable = false;
      break;
    default:
      fleet_set_routing (
          m->fleet, sim_random (m, 2) ? smaller_routing : m->routing, 5000);
      break;
    }
}

static void
test_same_decisions (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      const int model_count = seed % 3 ? MODELS : MODELS_MAX;
      struct sim m = sim_create_with (seed, seed % 2 ? 20 : 0, model_count);
      struct routing *smaller_routing = sim_routing (model_count - 3);

      m.next_order = checked_next_order;
      decisions.differ = 0;
      if (seed % 4 == 0)
        sim_fill_disks (&m, model_count);
      for (int i = 0; i < TICKS; i++)
        {
          if (i % 25 == 0 && sim_random (&m, 400) > 0)
            send_random_demand (&m, "a", model_count);
          if (i % 40 == 0)
            send_random_demand (&m, sim_random (&m, 2) ? "b" : "c",
                                model_count);
          if (sim_random (&m, 400) == 0)
            inject_event (&m, smaller_routing);
          if (i % 5 == 0)
            fleet_expire (m.fleet, m.now);
          sim_tick (&m);
        }
      CU_ASSERT_EQUAL (decisions.differ, 0);
      if (decisions.differ > 0)
        fprintf (stderr, "seed %lu: %u decisions differ\n", seed,
                 decisions.differ);
      sim_destroy (&m);
      routing_destroy (smaller_routing);
    }
  /* The histories must lead to enough orders for the comparison. */
  CU_ASSERT_TRUE (decisions.models > 100 * SEEDS / 2);
  CU_ASSERT_TRUE (decisions.adapters > 10 * SEEDS);
}

static const struct suite_case cases[]
    = { { "same decisions as the reference plan", test_same_decisions } };
TEST_SUITE ("planindex", cases)
