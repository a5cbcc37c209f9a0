#include "edge/fleet_impl.h"

#include <stdlib.h>

/* An adapter that was used within this time is not removed for another. */
#define ADAPTER_IDLE_MS 200
/* Adapters on their way to one server. */
#define COMING_MAX 4
/* Adapters for which a further copy is looked for in one plan; the others can
   wait for the next one. */
#define COPIES_TRIED 16

static size_t
coming (const struct fleet_server *s, uint64_t now)
{
  size_t n = 0;

  for (size_t i = 0; i < s->replica_count; i++)
    for (size_t j = 0; j < s->replicas[i].adapter_count; j++)
      if (s->replicas[i].adapters[j].ready_ms > now)
        n++;
  return n;
}

static bool
can_take (const struct fleet_server *s, uint64_t now)
{
  return fleet_is_idle (s, now) && coming (s, now) < COMING_MAX;
}

static uint32_t
copies (const struct fleet_adapter *a)
{
  const struct fleet_model *m = a->wish.model;
  uint32_t n = 0;

  for (size_t i = 0; i < m->replicas.count; i++)
    {
      const struct replica *r = fleet_ready_replica (m->replicas.items[i], m);

      if (r && fleet_has_adapter (r, a))
        n++;
    }
  return n;
}

/* The adapter on a server that was used least lately, with its replica, or
   NULL. */
static struct fleet_adapter *
least_used (const struct fleet_server *s, uint64_t now)
{
  struct fleet_adapter *best = NULL;

  for (size_t i = 0; i < s->replica_count; i++)
    for (size_t j = 0; j < s->replicas[i].adapter_count; j++)
      {
        struct fleet_adapter *a = s->replicas[i].adapters[j].ref;
        const struct wish *w = &a->wish;

        if (w->waiting > 0 || w->running > 0
            || (w->used_ms > 0 && now < w->used_ms + ADAPTER_IDLE_MS))
          continue;
        if (!best || w->used_ms < best->wish.used_ms)
          best = a;
      }
  return best;
}

static struct order_reason
reason_of (const struct wish *w, uint32_t replicas, uint64_t now)
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

static struct planned
order_of (struct fleet_server *s, enum order_kind kind,
          const struct fleet_adapter *a, struct order_reason reason)
{
  return (struct planned){ .server = s,
                           .kind = kind,
                           .model = a->wish.model,
                           .adapter = a->name,
                           .reason = reason };
}

/* Loads the adapter beside a replica, or makes a place for it. */
static bool
plan_first_copy (const struct fleet_adapter *a, uint64_t now,
                 struct planned *out)
{
  const struct fleet_model *m = a->wish.model;
  const struct order_reason reason = reason_of (&a->wish, 0, now);
  struct fleet_server *room = NULL;
  struct fleet_server *full = NULL;
  const struct fleet_adapter *goes = NULL;

  for (size_t i = 0; i < m->replicas.count; i++)
    {
      struct fleet_server *s = m->replicas.items[i];
      const struct fleet_adapter *idle;

      if (!fleet_ready_replica (s, m) || !can_take (s, now))
        continue;
      if (fleet_adapters (s) < m->service->engine->adapter_slots)
        {
          if (!room || s->running < room->running)
            room = s;
          continue;
        }
      idle = least_used (s, now);
      if (idle && (!goes || idle->wish.used_ms < goes->wish.used_ms))
        {
          goes = idle;
          full = s;
        }
    }
  if (room)
    *out = order_of (room, ORDER_LOAD, a, reason);
  else if (goes)
    *out = order_of (full, ORDER_UNLOAD, goes, reason);
  return room || goes;
}

/* A further copy, only where a place is free. */
static bool
plan_copy (const struct fleet_adapter *a, uint64_t now, struct planned *out)
{
  const struct fleet_model *m = a->wish.model;

  for (size_t i = 0; i < m->replicas.count; i++)
    {
      struct fleet_server *s = m->replicas.items[i];
      const struct replica *r = fleet_ready_replica (s, m);

      if (!r || !can_take (s, now) || fleet_has_adapter (r, a)
          || fleet_adapters (s) >= m->service->engine->adapter_slots)
        continue;
      *out
          = order_of (s, ORDER_LOAD, a, reason_of (&a->wish, copies (a), now));
      return true;
    }
  return false;
}

/* Takes the next adapters in turn, so that the cost of a plan does not grow
   with their number. */
static bool
plan_hot (struct fleet *f, uint64_t now, struct planned *out)
{
  for (int i = 0; i < COPIES_TRIED && f->hot_adapters; i++)
    {
      struct fleet_adapter *a = f->hot_adapters;

      DL_DELETE2 (f->hot_adapters, a, hot_prev, hot_next);
      a->is_hot = fleet_rate (&a->wish, now) > PLAN_RATE_OF_COPIES;
      if (!a->is_hot)
        continue;
      DL_APPEND2 (f->hot_adapters, a, hot_prev, hot_next);
      if (a->wish.model->service->engine && plan_copy (a, now, out))
        return true;
    }
  return false;
}

bool
plan_adapters (struct fleet *f, uint64_t now, struct planned *out)
{
  for (const struct fleet_adapter *a = f->waiting_adapters; a;
       a = a->waiting_next)
    if (a->wish.model->service->engine && copies (a) == 0
        && plan_first_copy (a, now, out))
      return true;
  return plan_hot (f, now, out);
}
