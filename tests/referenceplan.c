#include "referenceplan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "edge/demand.h"
#include "err.h"

#define SERVERS_MAX 64

/* State of one planning pass. The reservations of the servers in @ignored do
   not count. */
struct plan_pass
{
  const struct fleet *fleet;
  const struct fleet_service *service;
  uint64_t now;
  const struct fleet_server *ignored[SERVERS_MAX];
  size_t ignored_count;
  struct replica_need *needs; /* by index of the model in the configuration */
};

static bool
is_reservation_ignored (const struct plan_pass *pass,
                        const struct fleet_server *s)
{
  for (size_t i = 0; i < pass->ignored_count; i++)
    if (pass->ignored[i] == s)
      return true;
  return false;
}

static bool
has_reservation (const struct plan_pass *pass, const struct fleet_server *s,
                 const struct fleet_model *m)
{
  return !is_reservation_ignored (pass, s) && pass->now < s->reserved_until_ms
         && s->reserved_for && str_eq (s->reserved_for->name, m->name);
}

static const struct replica *
replica_on (const struct fleet_server *s, const struct fleet_model *m)
{
  for (size_t i = 0; i < s->replica_count; i++)
    if (str_eq (s->replicas[i].model, m->name))
      return &s->replicas[i];
  return NULL;
}

/* ---- needs ---- */

static struct replica_need
compute_need (const struct plan_pass *pass, const struct fleet_model *m)
{
  const struct engine_spec *e = pass->service->engine;
  const double busy = fleet_concurrency (&m->demand, pass->now);
  const double rate = fleet_rate (&m->demand, pass->now);
  struct replica_need w = { .waiting = m->demand.waiting, .rank = -INFINITY };

  if (m->demand.rate > 0)
    w.rank = log (m->demand.rate) + (double)m->demand.rate_ms / DEMAND_RATE_MS;

  for (const struct fleet_server *s = pass->fleet->servers; s; s = s->hh.next)
    {
      const struct replica *r = replica_on (s, m);

      if (s->service != pass->service || !s->listed || s->leaving || s->down)
        continue;
      w.ready += r && r->state == REPLICA_READY;
      w.have += (r && r->state != REPLICA_UNLOADING)
                || has_reservation (pass, s, m);
    }
  if (w.waiting > 0 || m->demand.running > 0 || rate >= 0.02)
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
model_at (const struct plan_pass *pass, size_t index)
{
  struct fleet_model *m;
  const struct str name = pass->service->engine->models[index].name;

  HASH_FIND (hh, pass->service->models, name.data, name.len, m);
  return m;
}

static void
compute_needs (struct plan_pass *pass)
{
  for (size_t i = 0; i < pass->service->engine->model_count; i++)
    pass->needs[i] = compute_need (pass, model_at (pass, i));
}

static const struct plan_pass *sorted_pass; /* for qsort() */

static int
by_urgency (const void *a, const void *b)
{
  const size_t i = *(const size_t *)a;
  const size_t j = *(const size_t *)b;
  const struct replica_need *x = &sorted_pass->needs[i];
  const struct replica_need *y = &sorted_pass->needs[j];
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
nearest_weights (const struct fleet_server *s, const struct fleet_model *m)
{
  enum weights best = WEIGHTS_STORE;

  for (size_t i = 0; i < m->copy_count; i++)
    if (m->copies[i].server == s && m->copies[i].where < best)
      best = m->copies[i].where;
  return best;
}

static bool
weights_on_other_server (const struct plan_pass *pass,
                         const struct fleet_server *s,
                         const struct fleet_model *m)
{
  for (const struct fleet_server *o = pass->fleet->servers; o; o = o->hh.next)
    if (o != s && fleet_usable (o) && o->service == pass->service
        && nearest_weights (o, m) != WEIGHTS_STORE)
      return true;
  return false;
}

static bool
loadable_elsewhere (const struct plan_pass *pass, const struct fleet_server *s,
                    const struct fleet_model *m)
{
  for (const struct fleet_server *o = pass->fleet->servers; o; o = o->hh.next)
    if (o != s && fleet_usable (o) && o->service == pass->service
        && nearest_weights (o, m) != WEIGHTS_STORE && !replica_on (o, m))
      return true;
  return false;
}

static double
removal_cost (const struct plan_pass *pass, const struct fleet_server *s,
              const struct replica *r, const struct fleet_model *for_model,
              const struct replica_need *model_need)
{
  const struct engine_spec *e = pass->service->engine;
  const struct model_spec *spec = engine_model (e, r->model);
  const struct total_demand *demand = &r->ref->demand;
  const double rate = fleet_rate (demand, pass->now);
  const double model_rate = fleet_rate (&for_model->demand, pass->now);
  const uint64_t age_ms
      = pass->now > r->ordered_ms ? pass->now - r->ordered_ms : 0;

  if (!spec)
    return 10;
  const struct replica_need *w = &pass->needs[spec - e->models];
  if (w->target == 0 && w->ready > 1)
    return 20;
  if (w->ready > w->target)
    return 100 + (w->ready > 0 ? 100 * demand->running / w->ready : 0);
  const bool may_displace
      = model_need->need == NEED_WAITED_FOR
        || (model_need->need == NEED_CROWDED && rate * 2 < model_rate);
  const bool unused = demand->waiting == 0 && demand->running == 0
                      && pass->now > demand->used_ms + 1000;
  if (!may_displace || !unused)
    return INFINITY;
  return 400 + 1000 * rate + 0.2 * (double)(age_ms < 10000 ? age_ms : 10000)
         + (weights_on_other_server (pass, s, r->ref) ? 0 : 500);
}

static const struct replica *
cheapest (const struct plan_pass *pass, const struct fleet_server *s,
          const struct fleet_model *m, const struct replica_need *model_need,
          uint64_t removed, double least_mb, double *cost)
{
  const struct replica *best = NULL;

  *cost = INFINITY;
  for (size_t i = 0; i < s->replica_count; i++)
    {
      const struct replica *r = &s->replicas[i];

      if (r->state != REPLICA_READY || (removed & (1ULL << i))
          || fleet_replica_mb (r) < least_mb)
        continue;
      const double c = removal_cost (pass, s, r, m, model_need);
      if (c < *cost)
        {
          *cost = c;
          best = r;
        }
    }
  return best;
}

static const struct replica *
make_room (const struct plan_pass *pass, const struct fleet_server *s,
           const struct fleet_model *m, const struct replica_need *model_need,
           double missing_mb, double *cost)
{
  const struct replica *first = NULL;
  uint64_t removed = 0;
  double several_cost = 0;
  double c;
  const struct replica *single
      = cheapest (pass, s, m, model_need, 0, missing_mb, cost);

  while (missing_mb > 0)
    {
      const struct replica *r
          = cheapest (pass, s, m, model_need, removed, 0, &c);

      if (!r)
        return single;
      several_cost += c + (first ? UNLOAD_MS + ORDER_END_MS : 0);
      if (!first)
        first = r;
      removed |= 1ULL << (r - s->replicas);
      missing_mb -= fleet_replica_mb (r);
    }
  if (single && *cost <= several_cost)
    return single;
  *cost = several_cost;
  return first;
}

/* ---- steps ---- */

static bool
cold_load_allowed (const struct plan_pass *pass,
                   const struct fleet_server *except, bool spare)
{
  const struct cold_loads *c = &pass->service->cold;
  size_t started = 0;
  uint32_t running = 0;

  for (size_t i = 0; i < c->count; i++)
    started += pass->now < c->starts_ms[i] + pass->fleet->load_window_ms;
  for (const struct fleet_server *s = pass->fleet->servers; s; s = s->hh.next)
    {
      const bool is_loading = s->pending.state != PENDING_NONE
                              && s->pending.cold
                              && (spare || !s->pending.spare);
      const bool will_load = !is_reservation_ignored (pass, s)
                             && s->reserved_cold
                             && pass->now < s->reserved_until_ms;

      running += s != except && !s->down && s->service == pass->service
                 && (is_loading || will_load);
    }
  return started + 1 <= pass->service->engine->loads_per_s
                            * pass->fleet->load_window_ms / 1000.0
         && running < 2;
}

static bool
step_on_server (const struct plan_pass *pass, struct fleet_server *s,
                const struct fleet_model *m, const struct replica_need *w,
                struct step *out)
{
  const uint64_t now = pass->now;
  const bool reserved
      = !is_reservation_ignored (pass, s) && now < s->reserved_until_ms;
  double missing_mb = m->spec->weights_mb - free_mb (s);
  double removal = 0;
  uint64_t left_ms = 0;

  if (!fleet_may_order (s, now) || (reserved && s->reserved_for != m)
      || replica_on (s, m))
    return false;
  *out = (struct step){ .server = s, .weights = nearest_weights (s, m) };
  const bool cold = out->weights == WEIGHTS_STORE;
  out->duration_ms = cold                           ? m->spec->load_ms
                     : out->weights == WEIGHTS_DISK ? m->spec->disk_load_ms
                                                    : m->spec->memory_load_ms;
  if (cold && !cold_load_allowed (pass, s, w->need == NEED_SPARE_ROOM))
    return false;
  if (missing_mb > 0)
    {
      if (w->need == NEED_SPARE_ROOM || now < pass->fleet->term_ms + 600
          || (cold && loadable_elsewhere (pass, s, m)))
        return false;
      out->remove = make_room (pass, s, m, w, missing_mb, &removal);
      if (!out->remove)
        return false;
    }
  if (s->pending.state != PENDING_NONE)
    {
      left_ms = s->pending.expected_ms + ORDER_END_MS;
      left_ms = left_ms > now ? left_ms - now : ORDER_END_MS;
    }
  out->cost_ms
      = (uint32_t)left_ms + out->duration_ms + removal + 15 * s->running;
  for (const struct fleet_server *o = pass->fleet->servers; o && w->have > 0;
       o = o->hh.next)
    if (o != s && fleet_usable (o) && o->domain == s->domain
        && o->service == s->service && replica_on (o, m))
      {
        out->cost_ms += 200;
        break;
      }
  return true;
}

static bool
best_step (const struct plan_pass *pass, const struct fleet_model *m,
           const struct replica_need *w, struct step *out)
{
  const bool search_paused
      = pass->now < m->cold_searched_ms + PLAN_COLD_SEARCH_MS;
  bool found = false;
  struct step step;

  for (struct fleet_server *s = pass->fleet->servers; s; s = s->hh.next)
    if (s->service == pass->service && step_on_server (pass, s, m, w, &step)
        && !(search_paused && step.remove && step.weights == WEIGHTS_STORE)
        && (!found || step.cost_ms < out->cost_ms))
      {
        *out = step;
        found = true;
      }
  return found;
}

static void
to_planned (const struct step *step, struct fleet_model *m,
            struct planned_order *out)
{
  *out = (struct planned_order){
    .server = step->server,
    .kind = step->remove ? ORDER_UNLOAD : ORDER_LOAD,
    .model = step->remove ? step->remove->ref : m,
    .duration_ms = step->remove ? UNLOAD_MS : step->duration_ms,
    .cold = !step->remove && step->weights == WEIGHTS_STORE,
    .reason = { .for_model = m->name },
  };
}

static bool
use_reserved (struct plan_pass *pass, struct planned_order *out)
{
  for (struct fleet_server *s = pass->fleet->servers; s; s = s->hh.next)
    {
      struct step step;

      if (pass->now >= s->reserved_until_ms || !fleet_is_idle (s, pass->now)
          || s->service != pass->service)
        continue;
      pass->ignored[pass->ignored_count++] = s;
      compute_needs (pass);
      const struct replica_need *w = &pass->needs[s->reserved_for->index];
      if (!s->reserved_for->spec || w->need == NEED_NONE
          || w->need == NEED_SPARE_ROOM)
        continue;
      if (step_on_server (pass, s, s->reserved_for, w, &step))
        {
          to_planned (&step, s->reserved_for, out);
          return true;
        }
      pass->ignored_count--;
    }
  return false;
}

static bool
plan_service (struct plan_pass *pass, struct planned_order *out)
{
  const size_t n = pass->service->engine->model_count;
  size_t *order = xcalloc (n, sizeof *order);
  bool found = false;
  struct step step;

  compute_needs (pass);
  for (size_t i = 0; i < n; i++)
    order[i] = i;
  sorted_pass = pass;
  qsort (order, n, sizeof *order, by_urgency);
  sorted_pass = NULL;
  for (size_t i = 0; i < n && i < 24 && !found; i++)
    {
      const struct replica_need *w = &pass->needs[order[i]];
      struct fleet_model *m = model_at (pass, order[i]);

      if (w->need == NEED_NONE)
        break;
      found = best_step (pass, m, w, &step)
              && fleet_is_idle (step.server, pass->now);
      if (found)
        to_planned (&step, m, out);
    }
  free (order);
  return found;
}

bool
reference_plan_models (const struct fleet *f, uint64_t now,
                       struct planned_order *out)
{
  bool found = false;

  for (const struct fleet_service *s = f->services; s && !found;
       s = s->hh.next)
    {
      struct plan_pass pass = { .fleet = f, .service = s, .now = now };

      if (!s->engine)
        continue;
      pass.needs = xcalloc (s->engine->model_count + 1, sizeof *pass.needs);
      found = use_reserved (&pass, out) || plan_service (&pass, out);
      free (pass.needs);
    }
  return found;
}

/* ---- adapters ---- */

static bool
is_idle (const struct fleet_adapter *a, uint64_t now)
{
  const struct total_demand *w = &a->demand;

  return w->waiting == 0 && w->running == 0
         && (w->used_ms == 0 || now >= w->used_ms + 200);
}

/* Returns true if the server can take one more adapter, or unload an idle one
   for it. */
static bool
has_adapter_slot (const struct fleet_server *s, uint64_t now)
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
could_load_adapter (const struct fleet *f, const struct fleet_adapter *a,
                    uint64_t now)
{
  bool has_slot = false;

  for (const struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      const struct replica *r = s->service == a->demand.model->service
                                    ? replica_on (s, a->demand.model)
                                    : NULL;

      if (!r || !fleet_usable (s) || r->state != REPLICA_READY)
        continue;
      if (fleet_has_adapter (r, a))
        return false;
      has_slot = has_slot || has_adapter_slot (s, now);
    }
  return has_slot;
}

bool
reference_adapter_waits (const struct fleet *f, uint64_t now)
{
  for (const struct fleet_model *m = f->models; m; m = m->next)
    for (const struct fleet_adapter *a = m->adapters; a; a = a->hh.next)
      if (a->demand.waiting > 0 && could_load_adapter (f, a, now))
        return true;
  return false;
}
