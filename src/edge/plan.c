#include "edge/plan_impl.h"

#include <stdlib.h>

#include "err.h"

/* Which order comes next: for each need the server that has the replica
   soonest, and the removals that this takes. */

/* Room made on a server is kept for its model this long. */
#define RESERVE_MS 3000
/* A new holder removes nothing before all nodes had time to tell what they
   need; they tell each 250 ms. */
#define LEARN_MS 600
/* Models for which a step is looked for in one plan; the others can wait for
   the next one. */
#define WANTS_TRIED 24

/* ---- choice of a server ---- */

/* A server that carries an order out takes the next one after it. */
static uint32_t
order_left_ms (const struct fleet_server *s, uint64_t now)
{
  const uint64_t end_ms = s->pending.expected_ms + ORDER_END_MS;

  if (s->pending.state == PENDING_NONE)
    return 0;
  return end_ms > now ? (uint32_t)(end_ms - now) : ORDER_END_MS;
}

static bool
reserved_for_other (const struct fleet_server *s, struct str model,
                    uint64_t now)
{
  return now < s->reserved_until_ms && !str_eq (s->reserved_model, model);
}

/* Where a load takes the weights from. */
enum weights
{
  WEIGHTS_MEMORY, /* of the server's host */
  WEIGHTS_DISK,   /* likewise */
  WEIGHTS_STORE,
};

static const char *const weights_names[] = {
  [WEIGHTS_MEMORY] = "memory",
  [WEIGHTS_DISK] = "disk",
  [WEIGHTS_STORE] = "store",
};

static enum weights
weights_of (const struct fleet_server *s, const struct model_spec *m)
{
  if (name_list_has (&s->in_memory, m->name))
    return WEIGHTS_MEMORY;
  return name_list_has (&s->on_disk, m->name) ? WEIGHTS_DISK : WEIGHTS_STORE;
}

static uint32_t
load_ms (const struct model_spec *m, enum weights from)
{
  switch (from)
    {
    case WEIGHTS_MEMORY:
      return m->memory_load_ms;
    case WEIGHTS_DISK:
      return m->disk_load_ms;
    case WEIGHTS_STORE:
      break;
    }
  return m->load_ms;
}

/* Is another replica of the model in the server's failure domain? */
static bool
domain_taken (const struct fleet *f, const struct fleet_server *s,
              const struct want *w)
{
  for (const struct fleet_server *o = f->servers; o; o = o->hh.next)
    if (o != s && fleet_usable (o) && str_eq (o->domain, s->domain)
        && str_eq (o->service, s->service) && fleet_replica (o, w->spec->name))
      return true;
  return false;
}

/* Added to the cost of a server in a failure domain that has a replica. */
#define SAME_DOMAIN_MS 200
/* Added for each call that runs on the server. */
#define CROWDED_MS 15

/* A step towards a replica of the model on one server. */
struct step
{
  struct fleet_server *server;
  const struct replica *remove; /* NULL: load at once */
  double cost_ms;
  uint32_t takes_ms;
  enum weights weights;
};

static bool
is_cold (const struct step *step)
{
  return step->weights == WEIGHTS_STORE;
}

static bool
step_on (struct fleet *f, struct fleet_server *s, const struct wants *all,
         const struct want *w, uint64_t now, struct step *out)
{
  double removal = 0;
  double missing_mb;

  if (!fleet_may_order (s, now) || reserved_for_other (s, w->spec->name, now)
      || fleet_replica (s, w->spec->name))
    return false;
  *out = (struct step){ .server = s, .weights = weights_of (s, w->spec) };
  out->takes_ms = load_ms (w->spec, out->weights);
  if (is_cold (out) && !cold_allowed (f, s, w->need == NEED_SPARE_ROOM, now))
    return false;
  missing_mb = w->spec->weights_mb - plan_free_mb (s, all->engine);
  if (missing_mb > 0)
    {
      /* A place on a server with the weights comes sooner than a load from
         the weight store ends. */
      if (w->need == NEED_SPARE_ROOM || now < f->term_ms + LEARN_MS
          || (is_cold (out) && plan_weights_elsewhere (f, s, w->spec)))
        return false;
      out->remove = plan_make_room (f, s, all, w, now, missing_mb, &removal);
      if (!out->remove)
        return false;
    }
  out->cost_ms = order_left_ms (s, now) + out->takes_ms + removal
                 + CROWDED_MS * s->running;
  if (w->have > 0 && domain_taken (f, s, w))
    out->cost_ms += SAME_DOMAIN_MS;
  return true;
}

static bool
best_step (struct fleet *f, const struct wants *all, const struct want *w,
           uint64_t now, struct step *out)
{
  bool found = false;
  struct step step;

  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    if (str_eq (s->service, w->service) && step_on (f, s, all, w, now, &step)
        && (!found || step.cost_ms < out->cost_ms))
      {
        *out = step;
        found = true;
      }
  return found;
}

static struct order_reason
reason_of (const struct step *step, const struct want *w)
{
  return (struct order_reason){
    .need = plan_need_name (w->need),
    .weights = weights_names[step->weights],
    .for_model = w->spec->name,
    .waiting = w->wish ? w->wish->waiting : 0,
    .running = w->wish ? w->wish->running : 0,
    .rate = w->rate,
    .replicas = w->have,
    .target = w->target,
  };
}

static void
to_planned (const struct step *step, const struct want *w, uint64_t now,
            struct planned *out)
{
  struct fleet_server *s = step->server;

  if (step->remove)
    {
      str_assign (&s->reserved_model, w->spec->name);
      s->reserved_until_ms = now + RESERVE_MS;
      s->reserved_cold = is_cold (step);
      *out = (struct planned){ .server = s,
                               .kind = ORDER_UNLOAD,
                               .model = step->remove->model,
                               .takes_ms = UNLOAD_MS,
                               .reason = reason_of (step, w) };
      return;
    }
  s->reserved_until_ms = 0;
  s->reserved_cold = false;
  *out = (struct planned){ .server = s,
                           .kind = ORDER_LOAD,
                           .model = w->spec->name,
                           .cold = is_cold (step),
                           .spare = w->need == NEED_SPARE_ROOM,
                           .takes_ms = step->takes_ms,
                           .reason = reason_of (step, w) };
}

/* The step on a server with reserved room. Gives the room up when the model
   got a replica elsewhere meanwhile. */
static bool
reserved_step (struct fleet *f, struct fleet_server *s, uint64_t now,
               struct planned *out)
{
  const struct engine_spec *e = fleet_engine (f, s);
  const struct model_spec *m = e ? engine_model (e, s->reserved_model) : NULL;
  const uint64_t until_ms = s->reserved_until_ms;
  const struct want *w;
  struct wants all;
  struct step step;
  bool found = false;

  /* The reservation itself must not count as a replica. */
  s->reserved_until_ms = 0;
  if (!m)
    return false;
  all = plan_wants (f, s->service, e, now);
  w = &all.items[m - e->models];
  if (w->need != NEED_NONE && w->need != NEED_SPARE_ROOM)
    {
      found = step_on (f, s, &all, w, now, &step);
      if (found)
        to_planned (&step, w, now, out);
      else
        s->reserved_until_ms = until_ms;
    }
  free (all.items);
  return found;
}

/* Room that was reserved is used before anything else is decided. */
static bool
use_reserved (struct fleet *f, uint64_t now, struct planned *out)
{
  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    if (now < s->reserved_until_ms && fleet_is_idle (s, now)
        && reserved_step (f, s, now, out))
      return true;
  return false;
}

/* ---- models ---- */

static int
by_urgency (const void *a, const void *b)
{
  const struct want *x = *(const struct want *const *)a;
  const struct want *y = *(const struct want *const *)b;

  if (x->need != y->need)
    return x->need > y->need ? -1 : 1;
  if (x->wish && y->wish && x->wish->waiting != y->wish->waiting)
    return x->wish->waiting > y->wish->waiting ? -1 : 1;
  if (x->rate != y->rate)
    return x->rate > y->rate ? -1 : 1;
  return 0;
}

/* The most urgent step of a service that can be taken now. */
static bool
plan_service (struct fleet *f, const struct service *service, uint64_t now,
              struct planned *out)
{
  const struct engine_spec *e = service->engine;
  struct wants all = plan_wants (f, service->name, e, now);
  const struct want **order = xcalloc (e->model_count + 1, sizeof *order);
  size_t count = 0;
  bool found = false;
  struct step step;

  for (size_t i = 0; i < e->model_count; i++)
    if (all.items[i].need != NEED_NONE)
      order[count++] = &all.items[i];
  qsort (order, count, sizeof *order, by_urgency);
  for (size_t i = 0; i < count && i < WANTS_TRIED && !found; i++)
    {
      /* A server that is busy now, but has the weights at hand, may be worth
         the wait. */
      found = best_step (f, &all, order[i], now, &step)
              && fleet_is_idle (step.server, now);
      if (found)
        to_planned (&step, order[i], now, out);
    }
  free (order);
  free (all.items);
  return found;
}

bool
plan_models (struct fleet *f, uint64_t now, struct planned *out)
{
  if (!f->routing)
    return false;
  if (use_reserved (f, now, out))
    return true;
  for (size_t i = 0; i < f->routing->service_count; i++)
    {
      const struct service *s = &f->routing->services[i];

      if (s->engine && plan_service (f, s, now, out))
        return true;
    }
  return false;
}
