#include "edge/fleet_impl.h"

#include <stdlib.h>

/* Chooses the next order on an adapter. */

/* An adapter that was used within this time is not evicted. */
#define ADAPTER_IDLE_MS 200
/* Maximum number of adapters that one server loads at a time. */
#define SERVER_ADAPTER_LOADS_MAX 4
/* Number of hot adapters for which one plan considers a further copy; the
   others can wait for the next plan. */
#define HOT_ADAPTERS_TRIED 16

static size_t
adapters_loading (const struct fleet_server *s, uint64_t now)
{
  size_t n = 0;

  for (size_t i = 0; i < s->replica_count; i++)
    for (size_t j = 0; j < s->replicas[i].adapter_count; j++)
      if (s->replicas[i].adapters[j].ready_ms > now)
        n++;
  return n;
}

static bool
can_load_adapter (const struct fleet_server *s, uint64_t now)
{
  return fleet_is_idle (s, now)
         && adapters_loading (s, now) < SERVER_ADAPTER_LOADS_MAX;
}

static uint32_t
ready_copies (const struct fleet_adapter *a)
{
  const struct fleet_model *m = a->demand.model;
  uint32_t n = 0;

  for (size_t i = 0; i < m->replicas.count; i++)
    {
      const struct replica *r = fleet_ready_replica (m->replicas.items[i], m);

      if (r && fleet_has_adapter (r, a))
        n++;
    }
  return n;
}

/* Returns the adapter on a server to evict, which is the least recently used
   one without calls, or NULL. */
static struct fleet_adapter *
least_recently_used (const struct fleet_server *s, uint64_t now)
{
  struct fleet_adapter *best = NULL;

  for (size_t i = 0; i < s->replica_count; i++)
    for (size_t j = 0; j < s->replicas[i].adapter_count; j++)
      {
        struct fleet_adapter *a = s->replicas[i].adapters[j].ref;
        const struct total_demand *w = &a->demand;

        if (w->waiting > 0 || w->running > 0
            || (w->used_ms > 0 && now < w->used_ms + ADAPTER_IDLE_MS))
          continue;
        if (!best || w->used_ms < best->demand.used_ms)
          best = a;
      }
  return best;
}

static struct order_reason
make_reason (const struct total_demand *w, uint32_t replicas, uint64_t now)
{
  return (struct order_reason){
    .need = "adapter",
    .weights = "-",
    .for_model = w->model->name,
    .waiting = w->waiting,
    .running = w->running,
    .rate = fleet_rate (w, now),
    .replicas = replicas,
    .target = replicas + 1,
  };
}

static struct planned_order
plan_order (struct fleet_server *s, enum order_kind kind,
            const struct fleet_adapter *a, struct order_reason reason)
{
  return (struct planned_order){ .server = s,
                                 .kind = kind,
                                 .model = a->demand.model,
                                 .adapter = a->name,
                                 .reason = reason };
}

/* Plans the load of an adapter that no replica has, on the server with the
   fewest calls and a free adapter slot. Without a free slot, plans the unload
   of the least recently used adapter. */
static bool
plan_first_copy (const struct fleet_adapter *a, uint64_t now,
                 struct planned_order *out)
{
  const struct fleet_model *m = a->demand.model;
  const struct order_reason reason = make_reason (&a->demand, 0, now);
  struct fleet_server *with_slot = NULL;
  struct fleet_server *victim_server = NULL;
  const struct fleet_adapter *victim = NULL;

  for (size_t i = 0; i < m->replicas.count; i++)
    {
      struct fleet_server *s = m->replicas.items[i];
      const struct fleet_adapter *idle;

      if (!fleet_ready_replica (s, m) || !can_load_adapter (s, now))
        continue;
      if (fleet_adapters (s) < m->service->engine->adapter_slots)
        {
          if (!with_slot || s->running < with_slot->running)
            with_slot = s;
          continue;
        }
      idle = least_recently_used (s, now);
      if (idle && (!victim || idle->demand.used_ms < victim->demand.used_ms))
        {
          victim = idle;
          victim_server = s;
        }
    }
  if (with_slot)
    *out = plan_order (with_slot, ORDER_LOAD, a, reason);
  else if (victim)
    *out = plan_order (victim_server, ORDER_UNLOAD, victim, reason);
  return with_slot || victim;
}

/* Plans the load of a further copy, only into a free adapter slot. */
static bool
plan_extra_copy (const struct fleet_adapter *a, uint64_t now,
                 struct planned_order *out)
{
  const struct fleet_model *m = a->demand.model;

  for (size_t i = 0; i < m->replicas.count; i++)
    {
      struct fleet_server *s = m->replicas.items[i];
      const struct replica *r = fleet_ready_replica (s, m);

      if (!r || !can_load_adapter (s, now) || fleet_has_adapter (r, a)
          || fleet_adapters (s) >= m->service->engine->adapter_slots)
        continue;
      *out = plan_order (s, ORDER_LOAD, a,
                         make_reason (&a->demand, ready_copies (a), now));
      return true;
    }
  return false;
}

/* Plans a further copy of a hot adapter. Checks a limited number of adapters
   in rotation, so that the cost of a plan does not grow with their number. */
static bool
plan_extra_copies (struct fleet *f, uint64_t now, struct planned_order *out)
{
  for (int i = 0; i < HOT_ADAPTERS_TRIED && f->hot_adapters; i++)
    {
      struct fleet_adapter *a = f->hot_adapters;

      DL_DELETE2 (f->hot_adapters, a, hot_prev, hot_next);
      a->is_hot = fleet_rate (&a->demand, now) > PLAN_EXTRA_COPY_RATE;
      if (!a->is_hot)
        continue;
      DL_APPEND2 (f->hot_adapters, a, hot_prev, hot_next);
      if (a->demand.model->service->engine && plan_extra_copy (a, now, out))
        return true;
    }
  return false;
}

bool
plan_adapters (struct fleet *f, uint64_t now, struct planned_order *out)
{
  for (const struct fleet_adapter *a = f->waiting_adapters; a;
       a = a->waiting_next)
    if (a->demand.model->service->engine && ready_copies (a) == 0
        && plan_first_copy (a, now, out))
      return true;
  return plan_extra_copies (f, now, out);
}
