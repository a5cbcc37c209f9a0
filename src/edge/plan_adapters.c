#include "edge/fleet_impl.h"

#include <stdlib.h>

/* An adapter that was used within this time is not removed for another. */
#define ADAPTER_IDLE_MS 200
/* Adapters on their way to one server. */
#define COMING_MAX 4
/* An adapter with more calls a second is kept on more than one replica while
   there are free places. */
#define RATE_OF_COPIES 0.3

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

static struct replica *
ready_replica (const struct fleet_server *s, const struct wish *w)
{
  return fleet_ready_replica (s, w->service, w->model);
}

static uint32_t
copies (const struct fleet *f, const struct wish *w)
{
  uint32_t n = 0;

  for (const struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      const struct replica *r = ready_replica (s, w);

      if (r && fleet_has_adapter (r, w->adapter))
        n++;
    }
  return n;
}

/* The adapter on a server that was used least lately, or false. */
static bool
least_used (const struct fleet *f, const struct fleet_server *s, uint64_t now,
            struct str *model, struct str *adapter, uint64_t *used_ms)
{
  bool found = false;

  for (size_t i = 0; i < s->replica_count; i++)
    for (size_t j = 0; j < s->replicas[i].adapter_count; j++)
      {
        const struct replica *r = &s->replicas[i];
        const struct wish *w
            = fleet_wish_find (f, s->service, r->model, r->adapters[j].name);
        const uint64_t used = w ? w->used_ms : 0;

        if (w
            && (w->waiting > 0 || w->running > 0
                || now < used + ADAPTER_IDLE_MS))
          continue;
        if (found && used >= *used_ms)
          continue;
        found = true;
        *model = r->model;
        *adapter = r->adapters[j].name;
        *used_ms = used;
      }
  return found;
}

static struct order_reason
reason_of (const struct wish *w, uint32_t replicas, uint64_t now)
{
  return (struct order_reason){
    .need = "adapter",
    .weights = "-",
    .for_model = w->model,
    .waiting = w->waiting,
    .running = w->running,
    .rate = fleet_rate (w, now),
    .replicas = replicas,
    .target = replicas + 1,
  };
}

/* Loads the adapter beside a replica, or makes a place for it. */
static bool
plan_first (struct fleet *f, const struct wish *w, uint64_t now,
            struct planned *out)
{
  struct fleet_server *room = NULL;
  uint64_t oldest = UINT64_MAX;
  bool found = false;

  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      const struct engine_spec *e = fleet_engine (f, s);
      struct str model;
      struct str adapter;
      uint64_t used = 0;

      if (!e || !ready_replica (s, w) || !can_take (s, now))
        continue;
      if (fleet_adapters (s) < e->adapter_slots)
        {
          if (!room || s->running < room->running)
            room = s;
        }
      else if (least_used (f, s, now, &model, &adapter, &used)
               && used < oldest)
        {
          oldest = used;
          found = true;
          *out = (struct planned){ .server = s,
                                   .kind = ORDER_UNLOAD,
                                   .model = model,
                                   .adapter = adapter,
                                   .reason = reason_of (w, 0, now) };
        }
    }
  if (!room)
    return found;
  *out = (struct planned){ .server = room,
                           .kind = ORDER_LOAD,
                           .model = w->model,
                           .adapter = w->adapter,
                           .reason = reason_of (w, 0, now) };
  return true;
}

/* A further copy, only where a place is free. */
static bool
plan_copy (struct fleet *f, const struct wish *w, uint64_t now,
           struct planned *out)
{
  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      const struct engine_spec *e = fleet_engine (f, s);
      const struct replica *r = e ? ready_replica (s, w) : NULL;

      if (!r || !can_take (s, now) || fleet_has_adapter (r, w->adapter)
          || fleet_adapters (s) >= e->adapter_slots)
        continue;
      *out = (struct planned){ .server = s,
                               .kind = ORDER_LOAD,
                               .model = w->model,
                               .adapter = w->adapter,
                               .reason = reason_of (w, copies (f, w), now) };
      return true;
    }
  return false;
}

bool
plan_adapters (struct fleet *f, uint64_t now, struct planned *out)
{
  for (const struct wish *w = f->wishes; w; w = w->hh.next)
    if (w->adapter.len > 0 && w->waiting > 0 && copies (f, w) == 0
        && plan_first (f, w, now, out))
      return true;
  for (const struct wish *w = f->wishes; w; w = w->hh.next)
    if (w->adapter.len > 0 && fleet_rate (w, now) > RATE_OF_COPIES
        && plan_copy (f, w, now, out))
      return true;
  return false;
}
