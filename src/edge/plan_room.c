#include "edge/plan_impl.h"

#include <math.h>

/* Which replicas go to make room for another model. */

/* A replica without calls may be removed for a waiting call after this time
   without use. */
#define IDLE_MS 1000
/* Part of a replica's age that is added to the cost of its removal, and the
   age up to which it grows. */
#define AGE_COST_SHARE 0.2
#define AGE_MAX_MS 10000
/* Added to the cost of a removal for each call that runs on the replica: the
   unload waits for it, and the server takes no other order meanwhile. */
#define UNLOAD_RUNNING_MS 100

/* A model that the configuration does not name may be of any size. */
static double
replica_mb (const struct replica *r, const struct engine_spec *e)
{
  const struct model_spec *m = engine_model (e, r->model);

  return m ? m->weights_mb : e->weights_mb;
}

double
plan_free_mb (const struct fleet_server *s, const struct engine_spec *e)
{
  double adapter_mb = 0;
  double used = 0;

  for (size_t i = 0; i < e->model_count; i++)
    if (e->models[i].adapter_mb > adapter_mb)
      adapter_mb = e->models[i].adapter_mb;
  for (size_t i = 0; i < s->replica_count; i++)
    used += replica_mb (&s->replicas[i], e);
  return e->weights_mb - used - adapter_mb * e->adapter_slots;
}

static bool
is_unused (const struct wish *w, uint64_t now)
{
  return !w
         || (w->waiting == 0 && w->running == 0 && now > w->used_ms + IDLE_MS);
}

bool
plan_weights_elsewhere (const struct fleet *f, const struct fleet_server *s,
                        const struct model_spec *m)
{
  for (const struct fleet_server *o = f->servers; o; o = o->hh.next)
    if (o != s && fleet_usable (o) && str_eq (o->service, s->service)
        && (name_list_has (&o->in_memory, m->name)
            || name_list_has (&o->on_disk, m->name)))
      return true;
  return false;
}

/* May a replica that is in use, but has no call now, go for the other model? A
   model that nobody waits for can wait for its first call. */
static bool
may_displace (const struct want *for_whom, const struct want *w)
{
  if (for_whom->need == NEED_WAITED_FOR)
    return true;
  return for_whom->need == NEED_CROWDED && w->rate * 2 < for_whom->rate;
}

/* With more models in use than fit, removing the newest replicas lets a few
   models take turns on the same place, and spares all others. */
static double
age_cost (const struct replica *r, uint64_t now)
{
  const uint64_t age_ms = now > r->since_ms ? now - r->since_ms : 0;

  return AGE_COST_SHARE * (double)(age_ms < AGE_MAX_MS ? age_ms : AGE_MAX_MS);
}

/* What it costs to remove a replica, in ms of somebody's wait; infinite when
   it must stay. */
static double
removal_cost (const struct fleet *f, const struct fleet_server *s,
              const struct wants *all, const struct replica *r,
              const struct want *for_whom, uint64_t now)
{
  const struct model_spec *m = engine_model (all->engine, r->model);
  uint32_t running_cost;
  struct want w;

  if (!m)
    return 10;
  w = all->items[m - all->engine->models];
  if (w.target == 0 && w.ready > 1)
    return 20;
  running_cost = w.wish && w.ready > 0
                     ? UNLOAD_RUNNING_MS * w.wish->running / w.ready
                     : 0;
  if (w.ready > w.target)
    return 100 + running_cost;
  if (may_displace (for_whom, &w) && is_unused (w.wish, now))
    return 400 + 1000 * w.rate + age_cost (r, now)
           + (plan_weights_elsewhere (f, s, m) ? 0 : 500);
  return INFINITY;
}

/* Replicas on one server that would have to go, as bits by their index. */
typedef uint64_t replica_set;
#define REPLICAS_MAX 64

/* The cheapest replica to remove that is not in @gone and frees @least_mb, or
   NULL. */
static const struct replica *
cheapest (const struct fleet *f, const struct fleet_server *s,
          const struct wants *all, const struct want *w, uint64_t now,
          replica_set gone, double least_mb, double *cost)
{
  const struct replica *best = NULL;

  *cost = INFINITY;
  for (size_t i = 0; i < s->replica_count && i < REPLICAS_MAX; i++)
    {
      const struct replica *r = &s->replicas[i];

      if (r->state != REPLICA_READY || (gone & ((replica_set)1 << i))
          || replica_mb (r, all->engine) < least_mb)
        continue;
      const double c = removal_cost (f, s, all, r, w, now);
      if (c < *cost)
        {
          *cost = c;
          best = r;
        }
    }
  return best;
}

const struct replica *
plan_make_room (const struct fleet *f, const struct fleet_server *s,
                const struct wants *all, const struct want *w, uint64_t now,
                double missing_mb, double *cost)
{
  const struct replica *first = NULL;
  replica_set gone = 0;
  double several = 0;
  double c;
  const struct replica *one
      = cheapest (f, s, all, w, now, 0, missing_mb, cost);

  while (missing_mb > 0)
    {
      const struct replica *r = cheapest (f, s, all, w, now, gone, 0, &c);

      if (!r)
        return one;
      several += c + (first ? UNLOAD_MS + ORDER_END_MS : 0);
      if (!first)
        first = r;
      gone |= (replica_set)1 << (r - s->replicas);
      missing_mb -= replica_mb (r, all->engine);
    }
  if (one && *cost <= several)
    return one;
  *cost = several;
  return first;
}
