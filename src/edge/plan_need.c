#include "edge/plan_impl.h"

#include <math.h>

#include "edge/demand.h"

/* Computes how urgently the models of a service need replicas. */

/* A model is in use while it has calls, or a call rate of at least this many
   per second, which is about one in 50 s. */
#define IN_USE_RATE 0.02
/* Fraction of a server's batch that the calls of one model may fill before the
   model gets another replica; other models share the batch. */
#define BATCH_SHARE 0.5
/* Fraction of a batch at which the calls of one model on each of its replicas
   slow each other down so much that stream events are late. */
#define CROWDED_SHARE 0.45
/* A model with at least this many calls per second has two replicas or more,
   so that the failure of a server does not interrupt it. */
#define TWO_REPLICAS_RATE 4.0

static const char *const need_names[] = {
  [NEED_NONE] = "none",       [NEED_SPARE_ROOM] = "spare-room",
  [NEED_MORE] = "more",       [NEED_FIRST] = "first",
  [NEED_CROWDED] = "crowded", [NEED_WAITED_FOR] = "waited-for",
};

const char *
plan_need_name (enum need need)
{
  return need_names[need];
}

/* ---- need of a model ---- */

static bool
has_room_reserved (const struct fleet_server *s, const struct fleet_model *m,
                   const struct fleet_server *without, uint64_t now)
{
  return s != without && s->reserved_for == m && now < s->reserved_until_ms;
}

static void
count_replicas (const struct fleet_model *m,
                const struct fleet_server *without, uint64_t now,
                struct replica_need *w)
{
  for (size_t i = 0; i < m->replicas.count; i++)
    {
      const struct fleet_server *s = m->replicas.items[i];
      const struct replica *r = fleet_replica (s, m);

      if (!fleet_usable (s))
        continue;
      w->ready += r->state == REPLICA_READY;
      w->have += r->state != REPLICA_UNLOADING
                 || has_room_reserved (s, m, without, now);
    }
  for (size_t i = 0; i < m->reserved.count; i++)
    {
      const struct fleet_server *s = m->reserved.items[i];

      w->have += fleet_usable (s) && !fleet_replica (s, m)
                 && has_room_reserved (s, m, without, now);
    }
}

static uint32_t
target_replicas (const struct total_demand *w, double concurrency,
                 const struct engine_spec *e, uint64_t now)
{
  const double rate = fleet_rate (w, now);
  uint32_t target;

  if (w->waiting == 0 && w->running == 0 && rate < IN_USE_RATE)
    return 0;
  target = (uint32_t)ceil (concurrency / (e->batch * BATCH_SHARE));
  if (target < 2 && rate >= TWO_REPLICAS_RATE)
    target = 2;
  return target > 0 ? target : 1;
}

static enum need
classify_need (const struct replica_need *w, double concurrency,
               const struct engine_spec *e)
{
  if (w->have == 0 && w->waiting > 0)
    return NEED_WAITED_FOR;
  if (w->have == 0)
    return w->target > 0 ? NEED_FIRST : NEED_SPARE_ROOM;
  if (w->have >= w->target)
    return NEED_NONE;
  return concurrency > w->have * CROWDED_SHARE * e->batch ? NEED_CROWDED
                                                          : NEED_MORE;
}

struct replica_need
plan_model_need (const struct fleet_model *m,
                 const struct fleet_server *without, uint64_t now)
{
  const struct engine_spec *e = m->service->engine;
  const double concurrency = fleet_concurrency (&m->demand, now);
  struct replica_need w = { .waiting = m->demand.waiting, .rank = -INFINITY };

  count_replicas (m, without, now, &w);
  if (!m->spec)
    return w;
  if (m->demand.rate > 0)
    w.rank = log (m->demand.rate) + (double)m->demand.rate_ms / DEMAND_RATE_MS;
  w.target = target_replicas (&m->demand, concurrency, e, now);
  w.need = classify_need (&w, concurrency, e);
  return w;
}

/* ---- changes of the need over time ---- */

static void
lower_to (uint64_t *at_ms, uint64_t other_ms)
{
  if (other_ms < *at_ms)
    *at_ms = other_ms;
}

/* Returns when the decaying concurrency lowers the target number of replicas,
   or falls below the overload limit of the existing ones. */
static uint64_t
next_concurrency_change_ms (const struct fleet_model *m,
                            const struct replica_need *w, double concurrency)
{
  const double batch = m->service->engine->batch;
  const double share = batch * BATCH_SHARE;
  const double step = share * (ceil (concurrency / share) - 1);
  const double crowded = w->have * CROWDED_SHARE * batch;
  uint64_t at_ms = UINT64_MAX;

  if (step > 0)
    lower_to (&at_ms, fleet_concurrency_falls_ms (&m->demand, step));
  if (crowded > 0 && crowded < concurrency)
    lower_to (&at_ms, fleet_concurrency_falls_ms (&m->demand, crowded));
  return at_ms;
}

/* Returns when the need changes if no event occurs before. */
static uint64_t
next_need_change_ms (const struct fleet_model *m, const struct replica_need *w,
                     uint64_t now)
{
  const double rate = fleet_rate (&m->demand, now);
  uint64_t at_ms
      = next_concurrency_change_ms (m, w, fleet_concurrency (&m->demand, now));

  if (rate >= TWO_REPLICAS_RATE)
    lower_to (&at_ms, fleet_rate_falls_ms (&m->demand, TWO_REPLICAS_RATE));
  else if (rate >= IN_USE_RATE)
    lower_to (&at_ms, fleet_rate_falls_ms (&m->demand, IN_USE_RATE));
  for (size_t i = 0; i < m->reserved.count; i++)
    if (now < m->reserved.items[i]->reserved_until_ms)
      lower_to (&at_ms, m->reserved.items[i]->reserved_until_ms);
  return at_ms > now ? at_ms : now + 1;
}

/* ---- queue by urgency ---- */

static int
by_urgency (const struct fleet_model *a, const struct fleet_model *b)
{
  if (a->replica_need.need != b->replica_need.need)
    return a->replica_need.need > b->replica_need.need ? -1 : 1;
  if (a->replica_need.waiting != b->replica_need.waiting)
    return a->replica_need.waiting > b->replica_need.waiting ? -1 : 1;
  if (a->replica_need.rank != b->replica_need.rank)
    return a->replica_need.rank > b->replica_need.rank ? -1 : 1;
  if (a->index != b->index)
    return a->index < b->index ? -1 : 1;
  return 0;
}

RB_GENERATE_STATIC (need_queue, fleet_model, queue, by_urgency)

struct fleet_model *
plan_most_urgent (struct fleet_service *v)
{
  return RB_MIN (need_queue, &v->queue);
}

struct fleet_model *
plan_next_urgent (struct fleet_model *m)
{
  return RB_NEXT (need_queue, &m->service->queue, m);
}

void
plan_dequeue (struct fleet_model *m)
{
  if (m->is_queued)
    RB_REMOVE (need_queue, &m->service->queue, m);
  m->is_queued = false;
}

static void
refresh (struct fleet *f, struct fleet_model *m, uint64_t now)
{
  plan_dequeue (m);
  m->replica_need = plan_model_need (m, NULL, now);
  m->is_queued = m->replica_need.need != NEED_NONE;
  if (m->is_queued)
    RB_INSERT (need_queue, &m->service->queue, m);
  if (m->spec)
    due_set (&f->need_changes, &m->need_due,
             next_need_change_ms (m, &m->replica_need, now));
  else
    due_clear (&f->need_changes, &m->need_due);
}

void
plan_refresh_needs (struct fleet *f, uint64_t now)
{
  struct due_item *d;

  while ((d = due_first (&f->need_changes, now)))
    {
      due_clear (&f->need_changes, d);
      fleet_mark_stale (f, d->owner);
    }
  while (f->stale)
    {
      struct fleet_model *m = f->stale;

      DL_DELETE2 (f->stale, m, stale_prev, stale_next);
      m->is_stale = false;
      refresh (f, m, now);
    }
}
