#include "edge/fleet_impl.h"

#include <math.h>
#include <stdlib.h>

#include "err.h"

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
/* Room made on a server is kept for its model this long. */
#define RESERVE_MS 3000
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
/* An unload waits for calls that run; it is asked about after this time. */
#define UNLOAD_MS 50
/* A new holder removes nothing before all nodes had time to tell what they
   need; they tell each 250 ms. */
#define LEARN_MS 600
/* Time until the end of an order is known from a report. */
#define ORDER_END_MS 150
/* Models for which a step is looked for in one plan; the others can wait for
   the next one. */
#define WANTS_TRIED 24
/* Loads from the weight store at once. The memory for each serves nobody for
   seconds, which costs more calls than a further copy of weights saves. */
#define COLD_AT_ONCE 1

/* How much a model needs a replica that it lacks. */
enum need
{
  NEED_NONE,
  NEED_SPARE_ROOM, /* not in use: only where room is free */
  NEED_MORE,       /* in use, with fewer replicas than it should have */
  NEED_FIRST,      /* in use, with none */
  NEED_CROWDED, /* likewise with fewer, and its calls slow each other down */
  NEED_WAITED_FOR, /* calls wait, and there is none */
};

static const char *const need_names[] = {
  [NEED_NONE] = "none",       [NEED_SPARE_ROOM] = "spare-room",
  [NEED_MORE] = "more",       [NEED_FIRST] = "first",
  [NEED_CROWDED] = "crowded", [NEED_WAITED_FOR] = "waited-for",
};

/* A model of a service with its replicas and demand. */
struct want
{
  const struct model_spec *spec;
  struct str service;
  const struct wish *wish; /* NULL without demand */
  double rate;
  uint32_t target;
  uint32_t have; /* ready, loading, or with room reserved */
  uint32_t ready;
  double busy; /* calls at once */
  enum need need;
};

/* ---- loads from the weight store ---- */

static struct cold_loads *
cold_of (struct fleet *f, struct str service)
{
  struct cold_loads *c;

  HASH_FIND (hh, f->cold, service.data, service.len, c);
  if (!c)
    {
      c = xcalloc (1, sizeof *c);
      c->service = str_dup (service);
      HASH_ADD_KEYPTR (hh, f->cold, c->service.data, c->service.len, c);
    }
  return c;
}

/* Loads from the weight store under way, those into spare room only if
   @spare. */
static uint32_t
cold_running (const struct fleet *f, const struct fleet_server *except,
              bool spare, uint64_t now)
{
  uint32_t n = 0;

  for (const struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      const bool loads = s->pending.state != PENDING_NONE && s->pending.cold
                         && (spare || !s->pending.spare);
      const bool will_load = s->reserved_cold && now < s->reserved_until_ms;

      if (s != except && !s->down && (loads || will_load)
          && str_eq (s->service, except->service))
        n++;
    }
  return n;
}

bool
cold_allowed (struct fleet *f, const struct fleet_server *s, bool spare,
              uint64_t now)
{
  const struct engine_spec *e = fleet_engine (f, s);
  struct cold_loads *c = cold_of (f, s->service);
  const double most = e->loads_per_s * f->load_window_ms / 1000.0;
  size_t kept = 0;

  for (size_t i = 0; i < c->count; i++)
    if (now < c->starts_ms[i] + f->load_window_ms)
      c->starts_ms[kept++] = c->starts_ms[i];
  c->count = kept;
  return c->count + 1 <= most && c->count < COLD_STARTS_MAX
         && cold_running (f, s, spare, now) < COLD_AT_ONCE;
}

void
cold_begin (struct fleet *f, const struct fleet_server *s, uint64_t now)
{
  struct cold_loads *c = cold_of (f, s->service);

  if (c->count < COLD_STARTS_MAX)
    c->starts_ms[c->count++] = now;
}

/* ---- what models want ---- */

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
    {
      const struct replica *r = fleet_replica (s, model);

      if (r && r->state == REPLICA_READY && fleet_usable (s)
          && str_eq (s->service, service))
        n++;
    }
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

/* What all models of a service want, in the order of its configuration. */
struct wants
{
  const struct engine_spec *engine;
  struct want *items;
};

static struct wants
wants_create (const struct fleet *f, struct str service,
              const struct engine_spec *e, uint64_t now)
{
  struct wants all = { .engine = e };

  all.items = xcalloc (e->model_count + 1, sizeof *all.items);
  for (size_t i = 0; i < e->model_count; i++)
    all.items[i] = want_of (f, service, e, &e->models[i], now);
  return all;
}

/* ---- room on a server ---- */

/* A model that the configuration does not name may be of any size. */
static double
replica_mb (const struct replica *r, const struct engine_spec *e)
{
  const struct model_spec *m = engine_model (e, r->model);

  return m ? m->weights_mb : e->weights_mb;
}

static double
free_mb (const struct fleet_server *s, const struct engine_spec *e)
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

/* Could another server load the model without the weight store? */
static bool
others_have_weights (const struct fleet *f, const struct fleet_server *s,
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
           + (others_have_weights (f, s, m) ? 0 : 500);
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

/* What to remove first for @missing_mb of room: one replica that is large
   enough, or several. NULL when the room cannot be made, so that nothing goes
   in vain. */
static const struct replica *
make_room (const struct fleet *f, const struct fleet_server *s,
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

/* ---- choice of a server ---- */

static bool
is_idle (const struct fleet_server *s, uint64_t now)
{
  return fleet_usable (s) && s->known && s->pending.state == PENDING_NONE
         && now >= s->avoid_until_ms;
}

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

static uint32_t
load_ms (const struct fleet_server *s, const struct model_spec *m, bool *cold)
{
  *cold = false;
  if (name_list_has (&s->in_memory, m->name))
    return m->memory_load_ms;
  if (name_list_has (&s->on_disk, m->name))
    return m->disk_load_ms;
  *cold = true;
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
  bool cold;
};

static bool
step_on (struct fleet *f, struct fleet_server *s, const struct wants *all,
         const struct want *w, uint64_t now, struct step *out)
{
  double removal = 0;
  double missing_mb;

  if (!fleet_usable (s) || !s->known || now < s->avoid_until_ms
      || reserved_for_other (s, w->spec->name, now)
      || fleet_replica (s, w->spec->name))
    return false;
  *out = (struct step){ .server = s };
  out->takes_ms = load_ms (s, w->spec, &out->cold);
  if (out->cold && !cold_allowed (f, s, w->need == NEED_SPARE_ROOM, now))
    return false;
  missing_mb = w->spec->weights_mb - free_mb (s, all->engine);
  if (missing_mb > 0)
    {
      /* A place on a server with the weights comes sooner than a load from
         the weight store ends. */
      if (w->need == NEED_SPARE_ROOM || now < f->term_ms + LEARN_MS
          || (out->cold && others_have_weights (f, s, w->spec)))
        return false;
      out->remove = make_room (f, s, all, w, now, missing_mb, &removal);
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

static const char *
weights_of (const struct step *step, const struct model_spec *m)
{
  if (step->cold)
    return "store";
  return name_list_has (&step->server->in_memory, m->name) ? "memory" : "disk";
}

static struct order_reason
reason_of (const struct step *step, const struct want *w)
{
  return (struct order_reason){
    .need = need_names[w->need],
    .weights = weights_of (step, w->spec),
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
      s->reserved_cold = step->cold;
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
                           .cold = step->cold,
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
  struct wants all;
  struct want w;
  struct step step;
  bool found;

  /* The reservation itself must not count as a replica. */
  s->reserved_until_ms = 0;
  if (!m)
    return false;
  w = want_of (f, s->service, e, m, now);
  if (w.need == NEED_NONE || w.need == NEED_SPARE_ROOM)
    return false;
  all = wants_create (f, s->service, e, now);
  found = step_on (f, s, &all, &w, now, &step);
  if (found)
    to_planned (&step, &w, now, out);
  else
    s->reserved_until_ms = until_ms;
  free (all.items);
  return found;
}

/* Room that was reserved is used before anything else is decided. */
static bool
use_reserved (struct fleet *f, uint64_t now, struct planned *out)
{
  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    if (now < s->reserved_until_ms && is_idle (s, now)
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
  struct wants all = wants_create (f, service->name, e, now);
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
              && is_idle (step.server, now);
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
