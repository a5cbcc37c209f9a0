#include "plainplan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "edge/demand.h"
#include "err.h"

#define SERVERS_MAX 64

/* What the plan would believe: a server's reservation may be given up. */
struct view
{
  const struct fleet *fleet;
  const struct fleet_service *service;
  uint64_t now;
  const struct fleet_server *released[SERVERS_MAX];
  size_t released_count;
  struct want *wants; /* by index of the model */
};

static bool
is_released (const struct view *v, const struct fleet_server *s)
{
  for (size_t i = 0; i < v->released_count; i++)
    if (v->released[i] == s)
      return true;
  return false;
}

static bool
reserves (const struct view *v, const struct fleet_server *s,
          const struct fleet_model *m)
{
  return !is_released (v, s) && v->now < s->reserved_until_ms
         && s->reserved_for && str_eq (s->reserved_for->name, m->name);
}

static const struct replica *
replica_of (const struct fleet_server *s, const struct fleet_model *m)
{
  for (size_t i = 0; i < s->replica_count; i++)
    if (str_eq (s->replicas[i].model, m->name))
      return &s->replicas[i];
  return NULL;
}

/* ---- wants ---- */

static struct want
want_of (const struct view *v, const struct fleet_model *m)
{
  const struct engine_spec *e = v->service->engine;
  const double busy = fleet_busy (&m->wish, v->now);
  const double rate = fleet_rate (&m->wish, v->now);
  struct want w = { .waiting = m->wish.waiting, .rank = -INFINITY };

  if (m->wish.rate > 0)
    w.rank = log (m->wish.rate) + (double)m->wish.rate_ms / DEMAND_RATE_MS;

  for (const struct fleet_server *s = v->fleet->servers; s; s = s->hh.next)
    {
      const struct replica *r = replica_of (s, m);

      if (s->service != v->service || !s->listed || s->leaving || s->down)
        continue;
      w.ready += r && r->state == REPLICA_READY;
      w.have += (r && r->state != REPLICA_UNLOADING) || reserves (v, s, m);
    }
  if (w.waiting > 0 || m->wish.running > 0 || rate >= 0.02)
    {
      w.target = (uint32_t)ceil (busy / (e->batch * 0.5));
      if (w.target < 2 && rate >= 4.0)
        w.target = 2;
      if (w.target == 0)
        w.target = 1;
    }
  if (w.have == 0 && w.waiting > 0)
    w.need = NEED_WAITED_FOR;
  else if (w.have == 0)
    w.need = w.target > 0 ? NEED_FIRST : NEED_SPARE_ROOM;
  else if (w.have < w.target)
    w.need = busy > w.have * 0.45 * e->batch ? NEED_CROWDED : NEED_MORE;
  return w;
}

static struct fleet_model *
model_at (const struct view *v, size_t index)
{
  struct fleet_model *m;
  const struct str name = v->service->engine->models[index].name;

  HASH_FIND (hh, v->service->models, name.data, name.len, m);
  return m;
}

static void
work_out_wants (struct view *v)
{
  for (size_t i = 0; i < v->service->engine->model_count; i++)
    v->wants[i] = want_of (v, model_at (v, i));
}

static const struct view *sorted_view; /* for qsort() */

static int
by_urgency (const void *a, const void *b)
{
  const size_t i = *(const size_t *)a;
  const size_t j = *(const size_t *)b;
  const struct want *x = &sorted_view->wants[i];
  const struct want *y = &sorted_view->wants[j];
  if (x->need != y->need)
    return x->need > y->need ? -1 : 1;
  if (x->waiting != y->waiting)
    return x->waiting > y->waiting ? -1 : 1;
  if (x->rank != y->rank)
    return x->rank > y->rank ? -1 : 1;
  return i < j ? -1 : 1;
}

/* ---- room ---- */

static double
free_mb (const struct fleet_server *s)
{
  const struct engine_spec *e = s->service->engine;
  double adapter_mb = 0;
  double used = 0;

  for (size_t i = 0; i < e->model_count; i++)
    adapter_mb = fmax (adapter_mb, e->models[i].adapter_mb);
  for (size_t i = 0; i < s->replica_count; i++)
    {
      const struct model_spec *m = engine_model (e, s->replicas[i].model);

      used += m ? m->weights_mb : e->weights_mb;
    }
  return e->weights_mb - used - adapter_mb * e->adapter_slots;
}

static enum weights
weights_of (const struct fleet_server *s, const struct fleet_model *m)
{
  enum weights best = WEIGHTS_STORE;

  for (size_t i = 0; i < m->copy_count; i++)
    if (m->copies[i].server == s && m->copies[i].where < best)
      best = m->copies[i].where;
  return best;
}

static bool
weights_elsewhere (const struct view *v, const struct fleet_server *s,
                   const struct fleet_model *m)
{
  for (const struct fleet_server *o = v->fleet->servers; o; o = o->hh.next)
    if (o != s && fleet_usable (o) && o->service == v->service
        && weights_of (o, m) != WEIGHTS_STORE)
      return true;
  return false;
}

static bool
replica_elsewhere (const struct view *v, const struct fleet_server *s,
                   const struct fleet_model *m)
{
  for (const struct fleet_server *o = v->fleet->servers; o; o = o->hh.next)
    if (o != s && fleet_usable (o) && o->service == v->service
        && weights_of (o, m) != WEIGHTS_STORE && !replica_of (o, m))
      return true;
  return false;
}

static double
removal_cost (const struct view *v, const struct fleet_server *s,
              const struct replica *r, const struct fleet_model *for_whom,
              const struct want *want)
{
  const struct engine_spec *e = v->service->engine;
  const struct model_spec *spec = engine_model (e, r->model);
  const struct wish *wish = &r->ref->wish;
  const double rate = fleet_rate (wish, v->now);
  const double for_rate = fleet_rate (&for_whom->wish, v->now);
  const uint64_t age_ms = v->now > r->since_ms ? v->now - r->since_ms : 0;

  if (!spec)
    return 10;
  const struct want *w = &v->wants[spec - e->models];
  if (w->target == 0 && w->ready > 1)
    return 20;
  if (w->ready > w->target)
    return 100 + (w->ready > 0 ? 100 * wish->running / w->ready : 0);
  const bool may_go = want->need == NEED_WAITED_FOR
                      || (want->need == NEED_CROWDED && rate * 2 < for_rate);
  const bool unused = wish->waiting == 0 && wish->running == 0
                      && v->now > wish->used_ms + 1000;
  if (!may_go || !unused)
    return INFINITY;
  return 400 + 1000 * rate + 0.2 * (double)(age_ms < 10000 ? age_ms : 10000)
         + (weights_elsewhere (v, s, r->ref) ? 0 : 500);
}

static const struct replica *
cheapest (const struct view *v, const struct fleet_server *s,
          const struct fleet_model *m, const struct want *want, uint64_t gone,
          double least_mb, double *cost)
{
  const struct replica *best = NULL;

  *cost = INFINITY;
  for (size_t i = 0; i < s->replica_count; i++)
    {
      const struct replica *r = &s->replicas[i];

      if (r->state != REPLICA_READY || (gone & (1ULL << i))
          || fleet_replica_mb (r) < least_mb)
        continue;
      const double c = removal_cost (v, s, r, m, want);
      if (c < *cost)
        {
          *cost = c;
          best = r;
        }
    }
  return best;
}

static const struct replica *
make_room (const struct view *v, const struct fleet_server *s,
           const struct fleet_model *m, const struct want *want,
           double missing_mb, double *cost)
{
  const struct replica *first = NULL;
  uint64_t gone = 0;
  double several = 0;
  double c;
  const struct replica *one = cheapest (v, s, m, want, 0, missing_mb, cost);

  while (missing_mb > 0)
    {
      const struct replica *r = cheapest (v, s, m, want, gone, 0, &c);

      if (!r)
        return one;
      several += c + (first ? UNLOAD_MS + ORDER_END_MS : 0);
      if (!first)
        first = r;
      gone |= 1ULL << (r - s->replicas);
      missing_mb -= fleet_replica_mb (r);
    }
  if (one && *cost <= several)
    return one;
  *cost = several;
  return first;
}

/* ---- steps ---- */

static bool
cold_may_begin (const struct view *v, const struct fleet_server *except,
                bool spare)
{
  const struct cold_loads *c = &v->service->cold;
  size_t begun = 0;
  uint32_t running = 0;

  for (size_t i = 0; i < c->count; i++)
    begun += v->now < c->starts_ms[i] + v->fleet->load_window_ms;
  for (const struct fleet_server *s = v->fleet->servers; s; s = s->hh.next)
    {
      const bool loads = s->pending.state != PENDING_NONE && s->pending.cold
                         && (spare || !s->pending.spare);
      const bool will_load = !is_released (v, s) && s->reserved_cold
                             && v->now < s->reserved_until_ms;

      running += s != except && !s->down && s->service == v->service
                 && (loads || will_load);
    }
  return begun + 1 <= v->service->engine->loads_per_s
                          * v->fleet->load_window_ms / 1000.0
         && running < 2;
}

static bool
step_on (const struct view *v, struct fleet_server *s,
         const struct fleet_model *m, const struct want *w, struct step *out)
{
  const uint64_t now = v->now;
  const bool reserved = !is_released (v, s) && now < s->reserved_until_ms;
  double missing_mb = m->spec->weights_mb - free_mb (s);
  double removal = 0;
  uint64_t left_ms = 0;

  if (!fleet_may_order (s, now) || (reserved && s->reserved_for != m)
      || replica_of (s, m))
    return false;
  *out = (struct step){ .server = s, .weights = weights_of (s, m) };
  const bool cold = out->weights == WEIGHTS_STORE;
  out->takes_ms = cold                           ? m->spec->load_ms
                  : out->weights == WEIGHTS_DISK ? m->spec->disk_load_ms
                                                 : m->spec->memory_load_ms;
  if (cold && !cold_may_begin (v, s, w->need == NEED_SPARE_ROOM))
    return false;
  if (missing_mb > 0)
    {
      if (w->need == NEED_SPARE_ROOM || now < v->fleet->term_ms + 600
          || (cold && replica_elsewhere (v, s, m)))
        return false;
      out->remove = make_room (v, s, m, w, missing_mb, &removal);
      if (!out->remove)
        return false;
    }
  if (s->pending.state != PENDING_NONE)
    {
      left_ms = s->pending.expected_ms + ORDER_END_MS;
      left_ms = left_ms > now ? left_ms - now : ORDER_END_MS;
    }
  out->cost_ms = (uint32_t)left_ms + out->takes_ms + removal + 15 * s->running;
  for (const struct fleet_server *o = v->fleet->servers; o && w->have > 0;
       o = o->hh.next)
    if (o != s && fleet_usable (o) && o->domain == s->domain
        && o->service == s->service && replica_of (o, m))
      {
        out->cost_ms += 200;
        break;
      }
  return true;
}

static bool
best_step (const struct view *v, const struct fleet_model *m,
           const struct want *w, struct step *out)
{
  const bool parked = v->now < m->room_searched_ms + PLAN_SEARCH_ROOM_MS;
  bool found = false;
  struct step step;

  for (struct fleet_server *s = v->fleet->servers; s; s = s->hh.next)
    if (s->service == v->service && step_on (v, s, m, w, &step)
        && !(parked && step.remove && step.weights == WEIGHTS_STORE)
        && (!found || step.cost_ms < out->cost_ms))
      {
        *out = step;
        found = true;
      }
  return found;
}

static void
to_planned (const struct step *step, struct fleet_model *m,
            struct planned *out)
{
  *out = (struct planned){
    .server = step->server,
    .kind = step->remove ? ORDER_UNLOAD : ORDER_LOAD,
    .model = step->remove ? step->remove->ref : m,
    .takes_ms = step->remove ? UNLOAD_MS : step->takes_ms,
    .cold = !step->remove && step->weights == WEIGHTS_STORE,
    .reason = { .for_model = m->name },
  };
}

static bool
use_reserved (struct view *v, struct planned *out)
{
  for (struct fleet_server *s = v->fleet->servers; s; s = s->hh.next)
    {
      struct step step;

      if (v->now >= s->reserved_until_ms || !fleet_is_idle (s, v->now)
          || s->service != v->service)
        continue;
      v->released[v->released_count++] = s;
      work_out_wants (v);
      const struct want *w = &v->wants[s->reserved_for->index];
      if (!s->reserved_for->spec || w->need == NEED_NONE
          || w->need == NEED_SPARE_ROOM)
        continue;
      if (step_on (v, s, s->reserved_for, w, &step))
        {
          to_planned (&step, s->reserved_for, out);
          return true;
        }
      v->released_count--;
    }
  return false;
}

static bool
plan_service (struct view *v, struct planned *out)
{
  const size_t n = v->service->engine->model_count;
  size_t *order = xcalloc (n, sizeof *order);
  bool found = false;
  struct step step;

  work_out_wants (v);
  for (size_t i = 0; i < n; i++)
    order[i] = i;
  sorted_view = v;
  qsort (order, n, sizeof *order, by_urgency);
  sorted_view = NULL;
  for (size_t i = 0; i < n && i < 24 && !found; i++)
    {
      const struct want *w = &v->wants[order[i]];
      struct fleet_model *m = model_at (v, order[i]);

      if (w->need == NEED_NONE)
        break;
      found
          = best_step (v, m, w, &step) && fleet_is_idle (step.server, v->now);
      if (found)
        to_planned (&step, m, out);
    }
  free (order);
  return found;
}

bool
plain_models (const struct fleet *f, uint64_t now, struct planned *out)
{
  bool found = false;

  for (const struct fleet_service *s = f->services; s && !found;
       s = s->hh.next)
    {
      struct view v = { .fleet = f, .service = s, .now = now };

      if (!s->engine)
        continue;
      v.wants = xcalloc (s->engine->model_count + 1, sizeof *v.wants);
      found = use_reserved (&v, out) || plan_service (&v, out);
      free (v.wants);
    }
  return found;
}

/* ---- adapters ---- */

static bool
is_idle (const struct fleet_adapter *a, uint64_t now)
{
  const struct wish *w = &a->wish;

  return w->waiting == 0 && w->running == 0
         && (w->used_ms == 0 || now >= w->used_ms + 200);
}

/* Can the server take the adapter, or give up another one for it? */
static bool
has_place (const struct fleet_server *s, uint64_t now)
{
  size_t coming = 0;
  size_t held = 0;
  bool idle = false;

  for (size_t i = 0; i < s->replica_count; i++)
    for (size_t j = 0; j < s->replicas[i].adapter_count; j++)
      {
        held++;
        coming += s->replicas[i].adapters[j].ready_ms > now;
        idle = idle || is_idle (s->replicas[i].adapters[j].ref, now);
      }
  return fleet_is_idle (s, now) && coming < 4
         && (idle || held < s->service->engine->adapter_slots);
}

static bool
could_come (const struct fleet *f, const struct fleet_adapter *a, uint64_t now)
{
  bool place = false;

  for (const struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      const struct replica *r = s->service == a->wish.model->service
                                    ? replica_of (s, a->wish.model)
                                    : NULL;

      if (!r || !fleet_usable (s) || r->state != REPLICA_READY)
        continue;
      if (fleet_has_adapter (r, a))
        return false;
      place = place || has_place (s, now);
    }
  return place;
}

bool
plain_adapter_waits (const struct fleet *f, uint64_t now)
{
  for (const struct fleet_model *m = f->models; m; m = m->next)
    for (const struct fleet_adapter *a = m->adapters; a; a = a->hh.next)
      if (a->wish.waiting > 0 && could_come (f, a, now))
        return true;
  return false;
}
