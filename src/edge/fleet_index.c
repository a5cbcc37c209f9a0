#include "edge/fleet_impl.h"

#include <stdlib.h>
#include <string.h>

#include "edge/demand.h"
#include "err.h"

/* Services, models, adapters and failure domains by name, and sets of
   servers. */

/* Number of models that one sweep checks. */
#define SWEEP_MODELS 4
/* An unused adapter, or an unused model that is not configured, is freed after
   this time without calls. */
#define UNUSED_KEPT_MS 60000

/* ---- sets of servers ---- */

bool
server_set_has (const struct server_set *set, const struct fleet_server *s)
{
  for (size_t i = 0; i < set->count; i++)
    if (set->items[i] == s)
      return true;
  return false;
}

void
server_set_add (struct server_set *set, struct fleet_server *s)
{
  if (set->count == set->capacity)
    {
      set->capacity = set->capacity ? 2 * set->capacity : 4;
      set->items = xrealloc (set->items, set->capacity * sizeof *set->items);
    }
  size_t i = set->count++;
  for (; i > 0 && set->items[i - 1]->ordinal > s->ordinal; i--)
    set->items[i] = set->items[i - 1];
  set->items[i] = s;
}

void
server_set_remove (struct server_set *set, const struct fleet_server *s)
{
  for (size_t i = 0; i < set->count; i++)
    if (set->items[i] == s)
      {
        set->count--;
        memmove (&set->items[i], &set->items[i + 1],
                 (set->count - i) * sizeof *set->items);
        return;
      }
}

/* ---- lookup ---- */

const struct fleet_domain *
fleet_domain_get (struct fleet *f, struct str name)
{
  struct fleet_domain *d;

  HASH_FIND (hh, f->domains, name.data, name.len, d);
  if (d)
    return d;
  d = xcalloc (1, sizeof *d);
  d->name = str_dup (name);
  HASH_ADD_KEYPTR (hh, f->domains, d->name.data, d->name.len, d);
  return d;
}

static void
configure_service (const struct fleet *f, struct fleet_service *v)
{
  const struct service *spec
      = f->routing ? routing_service (f->routing, v->name) : NULL;
  double adapter_mb = 0;

  v->engine = spec ? spec->engine : NULL;
  v->adapters_mb = 0;
  if (!v->engine)
    return;
  for (size_t i = 0; i < v->engine->model_count; i++)
    if (v->engine->models[i].adapter_mb > adapter_mb)
      adapter_mb = v->engine->models[i].adapter_mb;
  v->adapters_mb = adapter_mb * v->engine->adapter_slots;
}

struct fleet_service *
fleet_service_get (struct fleet *f, struct str name)
{
  struct fleet_service *v;

  HASH_FIND (hh, f->services, name.data, name.len, v);
  if (v)
    return v;
  v = xcalloc (1, sizeof *v);
  v->name = str_dup (name);
  HASH_ADD_KEYPTR (hh, f->services, v->name.data, v->name.len, v);
  configure_service (f, v);
  return v;
}

struct fleet_model *
fleet_model_get (struct fleet *f, struct fleet_service *v, struct str name)
{
  struct fleet_model *m;

  HASH_FIND (hh, v->models, name.data, name.len, m);
  if (m)
    return m;
  m = xcalloc (1, sizeof *m);
  m->name = str_dup (name);
  m->service = v;
  m->demand.model = m;
  m->need_due.owner = m;
  m->need_due.ordinal = ++f->ordinals;
  m->hash = demand_model_hash (v->name, name);
  HASH_ADD_KEYPTR (hh, v->models, m->name.data, m->name.len, m);
  HASH_ADD (hh_hash, f->models_by_hash, hash, sizeof m->hash, m);
  DL_APPEND (f->models, m);
  return m;
}

bool
fleet_find_model (const struct fleet *f, uint64_t hash, struct str *service,
                  struct str *model)
{
  const struct fleet_model *m;

  HASH_FIND (hh_hash, f->models_by_hash, &hash, sizeof hash, m);
  if (!m)
    return false;
  *service = m->service->name;
  *model = m->name;
  return true;
}

struct fleet_adapter *
fleet_adapter_get (struct fleet_model *m, struct str name)
{
  struct fleet_adapter *a;

  HASH_FIND (hh, m->adapters, name.data, name.len, a);
  if (a)
    return a;
  a = xcalloc (1, sizeof *a);
  a->name = str_dup (name);
  a->demand.model = m;
  a->demand.adapter = a;
  HASH_ADD_KEYPTR (hh, m->adapters, a->name.data, a->name.len, a);
  return a;
}

void
fleet_mark_stale (struct fleet *f, struct fleet_model *m)
{
  if (m->is_stale)
    return;
  m->is_stale = true;
  DL_APPEND2 (f->stale, m, stale_prev, stale_next);
}

/* ---- configuration ---- */

static void
configure_models (struct fleet *f, struct fleet_service *v)
{
  for (struct fleet_model *m = v->models; m; m = m->hh.next)
    {
      plan_dequeue (m);
      m->spec = NULL;
      fleet_mark_stale (f, m);
    }
  for (size_t i = 0; v->engine && i < v->engine->model_count; i++)
    {
      const struct model_spec *spec = &v->engine->models[i];
      struct fleet_model *m = fleet_model_get (f, v, spec->name);

      m->spec = spec;
      m->index = i;
      fleet_mark_stale (f, m);
    }
}

void
fleet_index_routing (struct fleet *f)
{
  for (size_t i = 0; f->routing && i < f->routing->service_count; i++)
    fleet_service_get (f, f->routing->services[i].name);
  for (struct fleet_service *v = f->services; v; v = v->hh.next)
    {
      configure_service (f, v);
      configure_models (f, v);
    }
  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    fleet_server_changed (f, s);
}

/* ---- release ---- */

static void
adapter_free (struct fleet *f, struct fleet_model *m, struct fleet_adapter *a)
{
  if (a->is_waiting)
    DL_DELETE2 (f->waiting_adapters, a, waiting_prev, waiting_next);
  if (a->is_hot)
    DL_DELETE2 (f->hot_adapters, a, hot_prev, hot_next);
  HASH_DEL (m->adapters, a);
  str_free (&a->name);
  free (a);
}

static void
model_free (struct fleet *f, struct fleet_model *m)
{
  struct fleet_adapter *a;
  struct fleet_adapter *next;

  HASH_ITER (hh, m->adapters, a, next)
  adapter_free (f, m, a);
  if (m->is_stale)
    DL_DELETE2 (f->stale, m, stale_prev, stale_next);
  due_clear (&f->need_changes, &m->need_due);
  DL_DELETE (f->models, m);
  HASH_DEL (m->service->models, m);
  HASH_DELETE (hh_hash, f->models_by_hash, m);
  free (m->replicas.items);
  free (m->reserved.items);
  free (m->waiters);
  free (m->copies);
  str_free (&m->name);
  free (m);
}

static bool
is_unused (const struct total_demand *w, uint64_t now)
{
  return w->waiting == 0 && w->running == 0
         && now >= w->used_ms + UNUSED_KEPT_MS;
}

static void
sweep_model (struct fleet *f, struct fleet_model *m, uint64_t now)
{
  struct fleet_adapter *a;
  struct fleet_adapter *next;

  HASH_ITER (hh, m->adapters, a, next)
  if (a->refs == 0 && is_unused (&a->demand, now))
    adapter_free (f, m, a);
  if (!m->spec && !m->is_queued && m->refs == 0 && !m->adapters
      && is_unused (&m->demand, now))
    model_free (f, m);
}

void
fleet_sweep (struct fleet *f, uint64_t now)
{
  for (int i = 0; i < SWEEP_MODELS && f->models; i++)
    {
      struct fleet_model *m = f->models;

      DL_DELETE (f->models, m);
      DL_APPEND (f->models, m);
      sweep_model (f, m, now);
    }
}

void
fleet_index_free (struct fleet *f)
{
  struct fleet_service *v;
  struct fleet_service *next_service;
  struct fleet_domain *d;
  struct fleet_domain *next_domain;

  while (f->models)
    model_free (f, f->models);
  HASH_ITER (hh, f->services, v, next_service)
  {
    HASH_DEL (f->services, v);
    free (v->servers.items);
    free (v->cold.servers.items);
    str_free (&v->name);
    free (v);
  }
  HASH_ITER (hh, f->domains, d, next_domain)
  {
    HASH_DEL (f->domains, d);
    str_free (&d->name);
    free (d);
  }
}
