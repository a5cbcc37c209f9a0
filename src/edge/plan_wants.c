#include "edge/plan_impl.h"

#include <math.h>

#include "edge/demand.h"

/* How much the models of a service need replicas. */

/* A model is in use while it has calls, or had one about every 50 s. */
#define RATE_IN_USE 0.02
/* Part of a server's batch that the calls of one model may fill before the
   model gets another replica; other models share the batch. */
#define BATCH_SHARE 0.5
/* Part of a batch at which one model's calls on each of its replicas slow each
   other down so much that events come late. */
#define CROWDED_SHARE 0.45
/* A model with more calls a second has two replicas at least, so that the
   death of a server does not stop it. */
#define RATE_OF_TWO 4.0

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

/* ---- what a model wants ---- */

static bool
has_room_reserved (const struct fleet_server *s, const struct fleet_model *m,
                   const struct fleet_server *without, uint64_t now)
{
  return s != without && s->reserved_for == m && now < s->reserved_until_ms;
}

static void
count_replicas (const struct fleet_model *m,
                const struct fleet_server *without, uint64_t now,
                struct want *w)
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
target_of (const struct wish *w, double busy, const struct engine_spec *e,
           uint64_t now)
{
  const double rate = fleet_rate (w, now);
  uint32_t target;

  if (w->waiting == 0 && w->running == 0 && rate < RATE_IN_USE)
    return 0;
  target = (uint32_t)ceil (busy / (e->batch * BATCH_SHARE));
  if (target < 2 && rate >= RATE_OF_TWO)
    target = 2;
  return target > 0 ? target : 1;
}

static enum need
need_of (const struct want *w, double busy, const struct engine_spec *e)
{
  if (w->have == 0 && w->waiting > 0)
    return NEED_WAITED_FOR;
  if (w->have == 0)
    return w->target > 0 ? NEED_FIRST : NEED_SPARE_ROOM;
  if (w->have >= w->target)
    return NEED_NONE;
  return busy > w->have * CROWDED_SHARE * e->batch ? NEED_CROWDED : NEED_MORE;
}

struct want
plan_want (const struct fleet_model *m, const struct fleet_server *without,
           uint64_t now)
{
  const struct engine_spec *e = m->service->engine;
  const double busy = fleet_busy (&m->wish, now);
  struct want w = { .waiting = m->wish.waiting, .rank = -INFINITY };

  count_replicas (m, without, now, &w);
  if (!m->spec)
    return w;
  if (m->wish.rate > 0)
    w.rank = log (m->wish.rate) + (double)m->wish.rate_ms / DEMAND_RATE_MS;
  w.target = target_of (&m->wish, busy, e, now);
  w.need = need_of (&w, busy, e);
  return w;
}

/* ---- when it changes without an event ---- */

static void
earlier (uint64_t *at_ms, uint64_t other_ms)
{
  if (other_ms < *at_ms)
    *at_ms = other_ms;
}

/* The calls at once fall below the next multiple that the target counts, or
   below those that crowd the replicas. */
static uint64_t
busy_changes_ms (const struct fleet_model *m, const struct want *w,
                 double busy)
{
  const double batch = m->service->engine->batch;
  const double share = batch * BATCH_SHARE;
  const double step = share * (ceil (busy / share) - 1);
  const double crowded = w->have * CROWDED_SHARE * batch;
  uint64_t at_ms = UINT64_MAX;

  if (step > 0)
    earlier (&at_ms, fleet_busy_falls_ms (&m->wish, step));
  if (crowded > 0 && crowded < busy)
    earlier (&at_ms, fleet_busy_falls_ms (&m->wish, crowded));
  return at_ms;
}

static uint64_t
changes_ms (const struct fleet_model *m, const struct want *w, uint64_t now)
{
  const double rate = fleet_rate (&m->wish, now);
  uint64_t at_ms = busy_changes_ms (m, w, fleet_busy (&m->wish, now));

  if (rate >= RATE_OF_TWO)
    earlier (&at_ms, fleet_rate_falls_ms (&m->wish, RATE_OF_TWO));
  else if (rate >= RATE_IN_USE)
    earlier (&at_ms, fleet_rate_falls_ms (&m->wish, RATE_IN_USE));
  for (size_t i = 0; i < m->reserved.count; i++)
    if (now < m->reserved.items[i]->reserved_until_ms)
      earlier (&at_ms, m->reserved.items[i]->reserved_until_ms);
  return at_ms > now ? at_ms : now + 1;
}

/* ---- the queue ---- */

static int
by_urgency (const struct fleet_model *a, const struct fleet_model *b)
{
  if (a->want.need != b->want.need)
    return a->want.need > b->want.need ? -1 : 1;
  if (a->want.waiting != b->want.waiting)
    return a->want.waiting > b->want.waiting ? -1 : 1;
  if (a->want.rank != b->want.rank)
    return a->want.rank > b->want.rank ? -1 : 1;
  if (a->index != b->index)
    return a->index < b->index ? -1 : 1;
  return 0;
}

RB_GENERATE_STATIC (want_queue, fleet_model, queue, by_urgency)

struct fleet_model *
plan_first (struct fleet_service *v)
{
  return RB_MIN (want_queue, &v->queue);
}

struct fleet_model *
plan_next (struct fleet_model *m)
{
  return RB_NEXT (want_queue, &m->service->queue, m);
}

void
plan_dequeue (struct fleet_model *m)
{
  if (m->is_queued)
    RB_REMOVE (want_queue, &m->service->queue, m);
  m->is_queued = false;
}

static void
refresh (struct fleet *f, struct fleet_model *m, uint64_t now)
{
  plan_dequeue (m);
  m->want = plan_want (m, NULL, now);
  m->is_queued = m->want.need != NEED_NONE;
  if (m->is_queued)
    RB_INSERT (want_queue, &m->service->queue, m);
  if (m->spec)
    due_set (&f->wants, &m->due, changes_ms (m, &m->want, now));
  else
    due_clear (&f->wants, &m->due);
}

void
plan_refresh (struct fleet *f, uint64_t now)
{
  struct due *d;

  while ((d = due_first (&f->wants, now)))
    {
      due_clear (&f->wants, d);
      fleet_stale (f, d->owner);
    }
  while (f->stale)
    {
      struct fleet_model *m = f->stale;

      DL_DELETE2 (f->stale, m, stale_prev, stale_next);
      m->is_stale = false;
      refresh (f, m, now);
    }
}
