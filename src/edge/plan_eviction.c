#include "edge/plan_impl.h"

#include <math.h>

/* Chooses the replicas to evict when a server lacks memory for a model. */

/* A replica of a model in use may be evicted after this time without calls. */
#define REPLICA_IDLE_MS 1000
/* Fraction of a replica's age that is added to the cost of its eviction, and
   the age at which the cost stops growing. */
#define AGE_COST_SHARE 0.2
#define AGE_MAX_MS 10000
/* Added to the cost of an eviction for each call in flight on the replica: the
   unload waits for the call, and the server takes no other order meanwhile. */
#define UNLOAD_RUNNING_COST_MS 100

static bool
is_unused (const struct total_demand *w, uint64_t now)
{
  return !w
         || (w->waiting == 0 && w->running == 0
             && now > w->used_ms + REPLICA_IDLE_MS);
}

bool
plan_cached_elsewhere (const struct fleet_server *s,
                       const struct fleet_model *m)
{
  for (size_t i = 0; i < m->copy_count; i++)
    if (m->copies[i].server != s && fleet_usable (m->copies[i].server))
      return true;
  return false;
}

bool
plan_cached_load_elsewhere (const struct fleet_server *s,
                            const struct fleet_model *m)
{
  for (size_t i = 0; i < m->copy_count; i++)
    {
      const struct fleet_server *other = m->copies[i].server;

      if (other != s && fleet_usable (other) && !fleet_replica (other, m))
        return true;
    }
  return false;
}

/**
 * struct eviction - parameters of a choice of replicas to evict.
 * @model_need: need of the model that needs the memory.
 * @rate: its calls per second.
 */
struct eviction
{
  const struct fleet_server *server;
  const struct replica_need *model_need;
  double rate;
  uint64_t now_ms;
};

/* Returns true if a replica may be evicted that is in use, with @rate calls
   per second, but has no calls now. A model without waiting calls can wait for
   its first call; it evicts such a replica only if its own replicas are
   overloaded and its call rate is more than twice as high. */
static bool
may_displace (const struct eviction *ev, double rate)
{
  if (ev->model_need->need == NEED_WAITED_FOR)
    return true;
  return ev->model_need->need == NEED_CROWDED && rate * 2 < ev->rate;
}

/* Prefers to evict the newest replicas: with more models in use than fit into
   memory, a few models then replace each other, and all others stay. */
static double
age_cost (const struct replica *r, uint64_t now)
{
  const uint64_t age_ms = now > r->ordered_ms ? now - r->ordered_ms : 0;

  return AGE_COST_SHARE * (double)(age_ms < AGE_MAX_MS ? age_ms : AGE_MAX_MS);
}

/* Returns the cost of an eviction as time that calls wait, in ms; infinite if
   the replica must stay. */
static double
eviction_cost (const struct eviction *ev, const struct replica *r)
{
  const struct fleet_model *m = r->ref;
  const uint64_t now = ev->now_ms;
  uint32_t running_cost;
  double rate;

  if (!m->spec)
    return 10;
  if (m->replica_need.target == 0 && m->replica_need.ready > 1)
    return 20;
  running_cost = m->replica_need.ready > 0
                     ? UNLOAD_RUNNING_COST_MS * m->demand.running
                           / m->replica_need.ready
                     : 0;
  if (m->replica_need.ready > m->replica_need.target)
    return 100 + running_cost;
  rate = fleet_rate (&m->demand, now);
  if (may_displace (ev, rate) && is_unused (&m->demand, now))
    return 400 + 1000 * rate + age_cost (r, now)
           + (plan_cached_elsewhere (ev->server, m) ? 0 : 500);
  return INFINITY;
}

/* Set of replicas of one server, as a bit mask by index. */
typedef uint64_t replica_set;
#define REPLICAS_MAX 64

/* Returns the replica with the lowest eviction cost that is not in @evicted
   and takes at least @least_mb of memory, or NULL. */
static const struct replica *
cheapest (const struct eviction *ev, replica_set evicted, double least_mb,
          double *cost)
{
  const struct fleet_server *s = ev->server;
  const struct replica *best = NULL;

  *cost = INFINITY;
  for (size_t i = 0; i < s->replica_count && i < REPLICAS_MAX; i++)
    {
      const struct replica *r = &s->replicas[i];

      if (r->state != REPLICA_READY || (evicted & ((replica_set)1 << i))
          || fleet_replica_mb (r) < least_mb)
        continue;
      const double c = eviction_cost (ev, r);
      if (c < *cost)
        {
          *cost = c;
          best = r;
        }
    }
  return best;
}

const struct replica *
plan_eviction (const struct fleet_server *s, const struct fleet_model *m,
               const struct replica_need *model_need, uint64_t now,
               double missing_mb, double *cost)
{
  const struct eviction ev = { .server = s,
                               .model_need = model_need,
                               .rate = fleet_rate (&m->demand, now),
                               .now_ms = now };
  const struct replica *first = NULL;
  replica_set evicted = 0;
  double several_cost = 0;
  double c;
  const struct replica *one = cheapest (&ev, 0, missing_mb, cost);

  while (missing_mb > 0)
    {
      const struct replica *r = cheapest (&ev, evicted, 0, &c);

      if (!r)
        return one;
      several_cost += c + (first ? UNLOAD_MS + ORDER_END_MS : 0);
      if (!first)
        first = r;
      evicted |= (replica_set)1 << (r - s->replicas);
      missing_mb -= fleet_replica_mb (r);
    }
  if (one && *cost <= several_cost)
    return one;
  *cost = several_cost;
  return first;
}
