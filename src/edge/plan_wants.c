#include "edge/plan_impl.h"

#include <math.h>

#include "err.h"

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

static bool
counts_as_replica (const struct fleet_server *s, struct str model,
                   uint64_t now)
{
  const struct replica *r = fleet_replica (s, model);

  if (!fleet_usable (s))
    return false;
  if (r && r->state != REPLICA_UNLOADING)
    return true;
  return now < s->reserved_until_ms && str_eq (s->reserved_model, model);
}

static uint32_t
replicas_of (const struct fleet *f, struct str service, struct str model,
             uint64_t now)
{
  uint32_t n = 0;

  for (const struct fleet_server *s = f->servers; s; s = s->hh.next)
    if (str_eq (s->service, service) && counts_as_replica (s, model, now))
      n++;
  return n;
}

static uint32_t
ready_replicas (const struct fleet *f, struct str service, struct str model)
{
  uint32_t n = 0;

  for (const struct fleet_server *s = f->servers; s; s = s->hh.next)
    if (fleet_ready_replica (s, service, model))
      n++;
  return n;
}

static uint32_t
target_of (const struct want *w, const struct engine_spec *e)
{
  uint32_t target;

  if (!w->wish
      || (w->wish->waiting == 0 && w->wish->running == 0
          && w->rate < RATE_IN_USE))
    return 0;
  target = (uint32_t)ceil (w->busy / (e->batch * BATCH_SHARE));
  if (target < 2 && w->rate >= RATE_OF_TWO)
    target = 2;
  return target > 0 ? target : 1;
}

static enum need
need_of (const struct want *w, const struct engine_spec *e)
{
  if (w->have == 0 && w->wish && w->wish->waiting > 0)
    return NEED_WAITED_FOR;
  if (w->have == 0)
    return w->target > 0 ? NEED_FIRST : NEED_SPARE_ROOM;
  if (w->have >= w->target)
    return NEED_NONE;
  return w->busy > w->have * CROWDED_SHARE * e->batch ? NEED_CROWDED
                                                      : NEED_MORE;
}

static struct want
want_of (const struct fleet *f, struct str service,
         const struct engine_spec *e, const struct model_spec *m, uint64_t now)
{
  struct want w = { .spec = m, .service = service };

  w.wish = fleet_wish_find (f, service, m->name, (struct str){ 0 });
  w.rate = w.wish ? fleet_rate (w.wish, now) : 0;
  w.busy = w.wish ? fleet_busy (w.wish, now) : 0;
  w.ready = ready_replicas (f, service, m->name);
  w.target = target_of (&w, e);
  w.have = replicas_of (f, service, m->name, now);
  w.need = need_of (&w, e);
  return w;
}

struct wants
plan_wants (const struct fleet *f, struct str service,
            const struct engine_spec *e, uint64_t now)
{
  struct wants all = { .engine = e };

  all.items = xcalloc (e->model_count + 1, sizeof *all.items);
  for (size_t i = 0; i < e->model_count; i++)
    all.items[i] = want_of (f, service, e, &e->models[i], now);
  return all;
}
