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

static bool
is_unused (const struct wish *w, uint64_t now)
{
  return !w
         || (w->waiting == 0 && w->running == 0 && now > w->used_ms + IDLE_MS);
}

bool
plan_weights_elsewhere (const struct fleet_server *s,
                        const struct fleet_model *m)
{
  for (size_t i = 0; i < m->copy_count; i++)
    if (m->copies[i].server != s && fleet_usable (m->copies[i].server))
      return true;
  return false;
}

bool
plan_replica_elsewhere (const struct fleet_server *s,
                        const struct fleet_model *m)
{
  for (size_t i = 0; i < m->copy_count; i++)
    {
      const struct fleet_server *o = m->copies[i].server;

      if (o != s && fleet_usable (o) && !fleet_replica (o, m))
        return true;
    }
  return false;
}

/* The models on one server, as seen by the one that room is for. */
struct room
{
  const struct fleet_server *server;
  const struct want *want;
  double rate;
  uint64_t now_ms;
};

/* May a replica that is in use, but has no call now, go for the other model? A
   model that nobody waits for can wait for its first call. */
static bool
may_displace (const struct room *room, double rate)
{
  if (room->want->need == NEED_WAITED_FOR)
    return true;
  return room->want->need == NEED_CROWDED && rate * 2 < room->rate;
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
removal_cost (const struct room *room, const struct replica *r)
{
  const struct fleet_model *m = r->ref;
  const uint64_t now = room->now_ms;
  uint32_t running_cost;
  double rate;

  if (!m->spec)
    return 10;
  if (m->want.target == 0 && m->want.ready > 1)
    return 20;
  running_cost = m->want.ready > 0
                     ? UNLOAD_RUNNING_MS * m->wish.running / m->want.ready
                     : 0;
  if (m->want.ready > m->want.target)
    return 100 + running_cost;
  rate = fleet_rate (&m->wish, now);
  if (may_displace (room, rate) && is_unused (&m->wish, now))
    return 400 + 1000 * rate + age_cost (r, now)
           + (plan_weights_elsewhere (room->server, m) ? 0 : 500);
  return INFINITY;
}

/* Replicas on one server that would have to go, as bits by their index. */
typedef uint64_t replica_set;
#define REPLICAS_MAX 64

/* The cheapest replica to remove that is not in @gone and frees @least_mb, or
   NULL. */
static const struct replica *
cheapest (const struct room *room, replica_set gone, double least_mb,
          double *cost)
{
  const struct fleet_server *s = room->server;
  const struct replica *best = NULL;

  *cost = INFINITY;
  for (size_t i = 0; i < s->replica_count && i < REPLICAS_MAX; i++)
    {
      const struct replica *r = &s->replicas[i];

      if (r->state != REPLICA_READY || (gone & ((replica_set)1 << i))
          || fleet_replica_mb (r) < least_mb)
        continue;
      const double c = removal_cost (room, r);
      if (c < *cost)
        {
          *cost = c;
          best = r;
        }
    }
  return best;
}

const struct replica *
plan_make_room (const struct fleet_server *s, const struct fleet_model *m,
                const struct want *want, uint64_t now, double missing_mb,
                double *cost)
{
  const struct room room = { .server = s,
                             .want = want,
                             .rate = fleet_rate (&m->wish, now),
                             .now_ms = now };
  const struct replica *first = NULL;
  replica_set gone = 0;
  double several = 0;
  double c;
  const struct replica *one = cheapest (&room, 0, missing_mb, cost);

  while (missing_mb > 0)
    {
      const struct replica *r = cheapest (&room, gone, 0, &c);

      if (!r)
        return one;
      several += c + (first ? UNLOAD_MS + ORDER_END_MS : 0);
      if (!first)
        first = r;
      gone |= (replica_set)1 << (r - s->replicas);
      missing_mb -= fleet_replica_mb (r);
    }
  if (one && *cost <= several)
    return one;
  *cost = several;
  return first;
}
