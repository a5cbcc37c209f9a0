#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "replay_impl.h"

/* Time to unload a replica that makes room. */
#define UNLOAD_MS 300
/* The weight store delivers an adapter in this time while no more than the
   limit are in flight, and proportionally slower beyond. */
#define ADAPTER_MS 6
#define ADAPTERS_AT_ONCE 32

struct replica_key
load_key (const struct world *w, size_t model, size_t adapter)
{
  const struct model *m = w->models[model].listed;

  return (struct replica_key){
    .model = m->name,
    .version = m->version,
    .adapter
    = adapter == MODEL_ITSELF ? (struct str){ 0 } : m->adapters[adapter].name,
  };
}

size_t
load_adapter_index (const struct model *m, struct str name)
{
  for (size_t i = 0; i < m->adapter_count; i++)
    if (str_eq (m->adapters[i].name, name))
      return i;
  return MODEL_ITSELF;
}

struct held *
load_find (struct replay_server *s, size_t model, size_t adapter)
{
  for (size_t i = 0; i < s->held_count; i++)
    if (s->held[i].model == model && s->held[i].adapter == adapter)
      return &s->held[i];
  return NULL;
}

static bool
up (const struct world *w, const struct replay_server *s)
{
  return w->now_ms >= s->up_ms;
}

/* Replicas of a model or adapter that are loaded, or also those in load. */
uint32_t
load_count (struct world *w, size_t model, size_t adapter, bool loading)
{
  uint32_t n = 0;

  for (size_t i = 0; i < w->server_count; i++)
    {
      const struct held *h = load_find (&w->servers[i], model, adapter);

      n += h && (h->loaded || loading);
    }
  return n;
}

uint32_t
load_in_flight (const struct world *w, size_t model, size_t server)
{
  return sched_target_in_flight (w->models[model].sched,
                                 str_from (w->servers[server].addr));
}

/* ---- what the schedulers see ---- */

static size_t
list_targets (struct world *w, size_t model, size_t adapter,
              struct sched_target *out)
{
  size_t n = 0;

  for (size_t i = 0; i < w->server_count; i++)
    {
      const struct held *h = load_find (&w->servers[i], model, adapter);

      if (h && h->loaded)
        out[n++] = (struct sched_target){
          .target = str_from (w->servers[i].addr),
          .domain = w->servers[i].domain,
          .instance = w->servers[i].instance,
          .slots = w->models[model].listed->slots,
        };
    }
  return n;
}

void
load_tell (struct world *w, size_t model)
{
  struct sched_target list[REPLAY_SERVERS_MAX];
  struct replay_model *m = &w->models[model];
  const size_t n = list_targets (w, model, MODEL_ITSELF, list);

  sched_targets (m->sched, list, n, w->now_ms);
  for (size_t i = 0; i < m->listed->adapter_count; i++)
    {
      const size_t with = list_targets (w, model, i, list);

      sched_adapter (m->sched, m->listed->adapters[i].name, list, with,
                     w->now_ms);
    }
  run_pump (w, m);
}

/* ---- unloading ---- */

void
load_drop (struct replay_server *s, size_t model, size_t adapter)
{
  size_t kept = 0;

  for (size_t i = 0; i < s->held_count; i++)
    {
      const struct held h = s->held[i];

      if (h.model == model
          && (adapter == MODEL_ITSELF || h.adapter == adapter))
        s->used_bytes -= h.bytes;
      else
        s->held[kept++] = h;
    }
  s->held_count = kept;
}

static bool
pinned (struct world *w, size_t server, const struct held *h)
{
  const struct replay_model *m = &w->models[h->model];

  if (!h->loaded || load_in_flight (w, h->model, server) > 0
      || sched_waiting (m->sched) > 0)
    return true;
  return h->adapter == MODEL_ITSELF
         && load_count (w, h->model, MODEL_ITSELF, false)
                <= m->listed->min_replicas;
}

/* ---- loading ---- */

struct view
{
  struct policy_server servers[REPLAY_SERVERS_MAX];
  struct policy_replica *replicas;
  size_t *held; /* index on the server, by replica */
  struct policy_view view;
};

static void
view_make (struct world *w, const struct replay_wake *k, struct view *v)
{
  const size_t max = w->server_count * REPLAY_HELD_MAX;
  size_t n = 0;

  v->replicas = xcalloc (max, sizeof *v->replicas);
  v->held = xcalloc (max, sizeof *v->held);
  for (size_t i = 0; i < w->server_count; i++)
    {
      struct replay_server *s = &w->servers[i];
      const struct held *model = load_find (s, k->model, MODEL_ITSELF);
      const bool adapter = k->adapter != MODEL_ITSELF;

      v->servers[i] = (struct policy_server){
        .addr = str_from (s->addr),
        .domain = s->domain,
        .memory_bytes = s->memory_bytes,
        .used_bytes = s->used_bytes,
        .cache = s->on_disk[k->model] ? CACHE_DISK : CACHE_REMOTE,
        .usable = up (w, s) && s->held_count < REPLAY_HELD_MAX
                  && (!adapter || (model && model->loaded)),
        .holds = load_find (s, k->model, k->adapter) != NULL,
      };
      for (size_t j = 0; j < s->held_count; j++)
        {
          const struct held *h = &s->held[j];

          v->held[n] = j;
          v->replicas[n++] = (struct policy_replica){
            .key = load_key (w, h->model, h->adapter),
            .server = i,
            .bytes = h->bytes,
            .load_ms = h->adapter == MODEL_ITSELF
                           ? w->models[h->model].listed->load_ms
                           : ADAPTER_MS,
            .pinned = pinned (w, i, h) || h->model == k->model,
          };
        }
    }
  v->view = (struct policy_view){ .servers = v->servers,
                                  .server_count = w->server_count,
                                  .replicas = v->replicas,
                                  .replica_count = n };
}

static void
view_free (struct view *v)
{
  free (v->replicas);
  free (v->held);
}

static struct policy_want
want_of (const struct world *w, const struct replay_wake *k)
{
  const struct model *m = w->models[k->model].listed;
  const bool adapter = k->adapter != MODEL_ITSELF;

  return (struct policy_want){
    .key = load_key (w, k->model, k->adapter),
    .bytes = adapter ? m->adapters[k->adapter].bytes : m->bytes,
    .load_ms = adapter ? ADAPTER_MS : m->load_ms,
    .priority = k->priority,
    .deadline_ms = k->deadline_ms,
    .asked_ms = k->asked_ms,
  };
}

static void
loads_now (const struct world *w, uint32_t *models, uint32_t *adapters)
{
  *models = 0;
  *adapters = 0;
  for (size_t i = 0; i < w->server_count; i++)
    for (size_t j = 0; j < w->servers[i].held_count; j++)
      {
        const struct held *h = &w->servers[i].held[j];

        if (!h->loaded)
          *(h->adapter == MODEL_ITSELF ? models : adapters) += 1;
      }
}

/* Evicts what the policy chose. The held entries move as others go, so the
   choice is translated to keys first. */
static void
evict (struct world *w, const struct view *v, const struct policy_choice *c)
{
  struct replay_server *s = &w->servers[c->server];
  struct held chosen[POLICY_EVICT_MAX];

  for (size_t i = 0; i < c->evict_count; i++)
    chosen[i] = s->held[v->held[c->evict[i]]];
  for (size_t i = 0; i < c->evict_count; i++)
    {
      load_drop (s, chosen[i].model, chosen[i].adapter);
      w->counts.evictions += chosen[i].adapter == MODEL_ITSELF;
      load_tell (w, chosen[i].model);
    }
}

static uint32_t
load_time_ms (const struct world *w, const struct replay_wake *k,
              const struct policy_want *want, const struct policy_choice *c)
{
  const enum cache_place cache
      = w->servers[c->server].on_disk[k->model] ? CACHE_DISK : CACHE_REMOTE;
  uint32_t models;
  uint32_t adapters;

  if (k->adapter == MODEL_ITSELF)
    return policy_load_ms (want, cache) + (c->evict_count > 0 ? UNLOAD_MS : 0);
  loads_now (w, &models, &adapters);
  return adapters < ADAPTERS_AT_ONCE
             ? ADAPTER_MS
             : ADAPTER_MS * (adapters + 1) / ADAPTERS_AT_ONCE;
}

void
load_begin (struct world *w, size_t server, size_t model, size_t adapter,
            uint64_t bytes, uint32_t load_ms)
{
  struct replay_server *s = &w->servers[server];

  s->held[s->held_count++] = (struct held){
    .model = model,
    .adapter = adapter,
    .bytes = bytes,
    .ready_ms = w->now_ms + load_ms,
  };
  s->used_bytes += bytes;
  if (adapter != MODEL_ITSELF)
    {
      w->counts.adapter_loads++;
      return;
    }
  w->counts.loads++;
  w->next_load_ms = w->now_ms + 1000 / w->loads_per_s;
}

bool
load_may_begin (const struct world *w)
{
  uint32_t models;
  uint32_t adapters;

  loads_now (w, &models, &adapters);
  return models < w->loads_at_once && w->now_ms >= w->next_load_ms;
}

/* Starts one load for a wake; false when no server has the memory. */
static bool
start (struct world *w, const struct replay_wake *k)
{
  const struct policy_want want = want_of (w, k);
  struct policy_choice c;
  struct view v;

  view_make (w, k, &v);
  const bool found
      = w->policy->ops->choose (w->policy, &v.view, &want, w->now_ms, &c);

  if (found)
    {
      evict (w, &v, &c);
      load_begin (w, c.server, k->model, k->adapter, want.bytes,
                  load_time_ms (w, k, &want, &c));
    }
  view_free (&v);
  return found;
}

/* ---- wakes ---- */

void
load_wake (struct world *w, size_t model, const struct sched_action *a)
{
  struct replay_wake *k = xcalloc (1, sizeof *k);

  *k = (struct replay_wake){
    .model = model,
    .adapter = load_adapter_index (w->models[model].listed, a->adapter),
    .replicas = a->replicas,
    .priority = a->priority,
    .deadline_ms = w->now_ms + a->wait_ms,
    .asked_ms = w->now_ms,
  };
  DL_APPEND (w->wakes, k);
  stage_asked (w, model);
}

static void
finish (struct world *w, struct replay_wake *k, wake_code code)
{
  const size_t model = k->model;
  const struct str adapter = load_key (w, model, k->adapter).adapter;
  const bool ahead = k->ahead;

  DL_DELETE (w->wakes, k);
  free (k);
  if (ahead)
    return;
  sched_woken (w->models[model].sched, adapter, code, 0, w->now_ms);
  run_pump (w, &w->models[model]);
}

static uint32_t
wanted (const struct world *w, const struct replay_wake *k)
{
  const uint32_t max = w->models[k->model].max_replicas;

  return k->replicas < max ? k->replicas : max;
}

/* Does a wake lack a load that could start. An adapter waits for its model,
   which is loaded first when it is nowhere. */
static bool
lacking (struct world *w, const struct replay_wake *k)
{
  if (load_count (w, k->model, k->adapter, true) >= wanted (w, k))
    return false;
  return k->adapter == MODEL_ITSELF
         || load_count (w, k->model, MODEL_ITSELF, false) > 0;
}

static bool
wake_for_model (struct world *w, const struct replay_wake *k,
                struct replay_wake *out)
{
  if (k->adapter == MODEL_ITSELF
      || load_count (w, k->model, MODEL_ITSELF, true) > 0)
    return false;
  *out = *k;
  out->adapter = MODEL_ITSELF;
  out->replicas = 1;
  return true;
}

/* The wake whose load goes first, with the load itself in @out. */
static struct replay_wake *
first_wake (struct world *w, struct replay_wake *out)
{
  const bool may_load = load_may_begin (w);
  struct replay_wake *best = NULL;
  struct replay_wake *k;

  DL_FOREACH (w->wakes, k)
  {
    struct replay_wake load = *k;

    if (!wake_for_model (w, k, &load) && !lacking (w, k))
      continue;
    if (load.adapter == MODEL_ITSELF && !may_load)
      continue;
    const struct policy_want a = want_of (w, &load);
    const struct policy_want b = best ? want_of (w, out) : a;

    if (best && !w->policy->ops->before (&a, &b))
      continue;
    best = k;
    *out = load;
  }
  return best;
}

static void
finish_loaded (struct world *w)
{
  struct replay_wake *k = w->wakes;

  while (k)
    {
      struct replay_wake *next = k->next;

      if (load_count (w, k->model, k->adapter, false) >= wanted (w, k))
        {
          finish (w, k, WAKE_LOADED);
          next = w->wakes;
        }
      k = next;
    }
}

void
load_pump (struct world *w)
{
  struct replay_wake load;
  struct replay_wake *k;

  finish_loaded (w);
  while ((k = first_wake (w, &load)) != NULL)
    if (!start (w, &load))
      finish (w, k, WAKE_NO_MEMORY);
}

void
load_step (struct world *w)
{
  for (size_t i = 0; i < w->server_count; i++)
    for (size_t j = 0; j < w->servers[i].held_count; j++)
      {
        struct held *h = &w->servers[i].held[j];

        if (h->loaded || w->now_ms < h->ready_ms)
          continue;
        h->loaded = true;
        if (h->adapter == MODEL_ITSELF)
          w->servers[i].on_disk[h->model] = true;
        load_tell (w, h->model);
      }
  stage_step (w);
}

uint64_t
load_next_ms (const struct world *w)
{
  uint64_t next_ms = UINT64_MAX;

  for (size_t i = 0; i < w->server_count; i++)
    for (size_t j = 0; j < w->servers[i].held_count; j++)
      {
        const struct held *h = &w->servers[i].held[j];

        if (!h->loaded && h->ready_ms < next_ms)
          next_ms = h->ready_ms;
      }
  if (w->wakes && w->next_load_ms > w->now_ms && w->next_load_ms < next_ms)
    next_ms = w->next_load_ms;
  return next_ms;
}

void
load_server_lost (struct world *w, size_t server)
{
  struct replay_server *s = &w->servers[server];

  s->held_count = 0;
  s->used_bytes = 0;
  s->instance++;
  for (size_t i = 0; i < w->model_count; i++)
    {
      s->on_disk[i] = false;
      load_tell (w, i);
    }
}
