#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "replay_impl.h"

/* Time to unload a replica that is evicted. */
#define UNLOAD_MS 300
/* Time in which the weight store delivers an adapter while at most
   ADAPTERS_AT_ONCE are loading. With more, it grows in proportion to their
   number. */
#define ADAPTER_MS 6
#define ADAPTERS_AT_ONCE 32

struct replica_key
load_key (const struct replay *r, size_t model, size_t adapter)
{
  const struct model *m = r->models[model].spec;

  return (struct replica_key){
    .model = m->name,
    .version = m->version,
    .adapter
    = adapter == NO_ADAPTER ? (struct str){ 0 } : m->adapters[adapter].name,
  };
}

size_t
load_adapter_index (const struct model *m, struct str name)
{
  for (size_t i = 0; i < m->adapter_count; i++)
    if (str_eq (m->adapters[i].name, name))
      return i;
  return NO_ADAPTER;
}

struct replay_replica *
load_find_replica (struct replay_server *s, size_t model, size_t adapter)
{
  for (size_t i = 0; i < s->replica_count; i++)
    if (s->replicas[i].model == model && s->replicas[i].adapter == adapter)
      return &s->replicas[i];
  return NULL;
}

static bool
is_up (const struct replay *r, const struct replay_server *s)
{
  return r->now_ms >= s->up_at_ms;
}

uint32_t
load_count (struct replay *r, size_t model, size_t adapter, bool loading)
{
  uint32_t n = 0;

  for (size_t i = 0; i < r->server_count; i++)
    {
      const struct replay_replica *rep
          = load_find_replica (&r->servers[i], model, adapter);

      n += rep && (rep->loaded || loading);
    }
  return n;
}

uint32_t
load_in_flight (const struct replay *r, size_t model, size_t server)
{
  return sched_target_in_flight (r->models[model].sched,
                                 str_from (r->servers[server].addr));
}

/* ---- targets of the schedulers ---- */

static size_t
list_targets (struct replay *r, size_t model, size_t adapter,
              struct sched_target *out)
{
  size_t n = 0;

  for (size_t i = 0; i < r->server_count; i++)
    {
      const struct replay_replica *rep
          = load_find_replica (&r->servers[i], model, adapter);

      if (rep && rep->loaded)
        out[n++] = (struct sched_target){
          .target = str_from (r->servers[i].addr),
          .domain = r->servers[i].domain,
          .instance = r->servers[i].instance,
          .slots = r->models[model].spec->slots,
        };
    }
  return n;
}

void
load_publish_targets (struct replay *r, size_t model)
{
  struct sched_target list[REPLAY_SERVERS_MAX];
  struct replay_model *m = &r->models[model];
  const size_t n = list_targets (r, model, NO_ADAPTER, list);

  sched_targets (m->sched, list, n, r->now_ms);
  for (size_t i = 0; i < m->spec->adapter_count; i++)
    {
      const size_t count = list_targets (r, model, i, list);

      sched_adapter_targets (m->sched, m->spec->adapters[i].name, list, count,
                             r->now_ms);
    }
  run_actions (r, m);
}

/* ---- unloading ---- */

void
load_unload (struct replay_server *s, size_t model, size_t adapter)
{
  size_t kept = 0;

  for (size_t i = 0; i < s->replica_count; i++)
    {
      const struct replay_replica rep = s->replicas[i];

      if (rep.model == model
          && (adapter == NO_ADAPTER || rep.adapter == adapter))
        s->used_bytes -= rep.bytes;
      else
        s->replicas[kept++] = rep;
    }
  s->replica_count = kept;
}

static bool
is_pinned (struct replay *r, size_t server, const struct replay_replica *rep)
{
  const struct replay_model *m = &r->models[rep->model];

  if (!rep->loaded || load_in_flight (r, rep->model, server) > 0
      || sched_waiting (m->sched) > 0)
    return true;
  return rep->adapter == NO_ADAPTER
         && load_count (r, rep->model, NO_ADAPTER, false)
                <= m->spec->min_replicas;
}

/* ---- loading ---- */

struct view
{
  struct policy_server servers[REPLAY_SERVERS_MAX];
  struct policy_replica *replicas;
  size_t *replica_index; /* in replay_server.replicas, by policy_replica */
  struct policy_view view;
};

static void
view_create (struct replay *r, const struct replay_load_request *load,
             struct view *v)
{
  const size_t max = r->server_count * REPLAY_REPLICAS_MAX;
  size_t n = 0;

  v->replicas = xcalloc (max, sizeof *v->replicas);
  v->replica_index = xcalloc (max, sizeof *v->replica_index);
  for (size_t i = 0; i < r->server_count; i++)
    {
      struct replay_server *s = &r->servers[i];
      const struct replay_replica *model
          = load_find_replica (s, load->model, NO_ADAPTER);
      const bool adapter = load->adapter != NO_ADAPTER;

      v->servers[i] = (struct policy_server){
        .addr = str_from (s->addr),
        .domain = s->domain,
        .memory_bytes = s->memory_bytes,
        .used_bytes = s->used_bytes,
        .cache = s->on_disk[load->model] ? CACHE_DISK : CACHE_REMOTE,
        .usable = is_up (r, s) && s->replica_count < REPLAY_REPLICAS_MAX
                  && (!adapter || (model && model->loaded)),
        .replica_present
        = load_find_replica (s, load->model, load->adapter) != NULL,
      };
      for (size_t j = 0; j < s->replica_count; j++)
        {
          const struct replay_replica *rep = &s->replicas[j];

          v->replica_index[n] = j;
          v->replicas[n++] = (struct policy_replica){
            .key = load_key (r, rep->model, rep->adapter),
            .server = i,
            .bytes = rep->bytes,
            .load_ms = rep->adapter == NO_ADAPTER
                           ? r->models[rep->model].spec->load_ms
                           : ADAPTER_MS,
            .pinned = is_pinned (r, i, rep) || rep->model == load->model,
          };
        }
    }
  v->view = (struct policy_view){ .servers = v->servers,
                                  .server_count = r->server_count,
                                  .replicas = v->replicas,
                                  .replica_count = n };
}

static void
view_destroy (struct view *v)
{
  free (v->replicas);
  free (v->replica_index);
}

static struct policy_load_request
describe_load (const struct replay *r, const struct replay_load_request *load)
{
  const struct model *m = r->models[load->model].spec;
  const bool adapter = load->adapter != NO_ADAPTER;

  return (struct policy_load_request){
    .key = load_key (r, load->model, load->adapter),
    .bytes = adapter ? m->adapters[load->adapter].bytes : m->bytes,
    .load_ms = adapter ? ADAPTER_MS : m->load_ms,
    .priority = load->priority,
    .deadline_ms = load->deadline_ms,
    .requested_ms = load->requested_ms,
  };
}

static void
loads_in_progress (const struct replay *r, uint32_t *models,
                   uint32_t *adapters)
{
  *models = 0;
  *adapters = 0;
  for (size_t i = 0; i < r->server_count; i++)
    for (size_t j = 0; j < r->servers[i].replica_count; j++)
      {
        const struct replay_replica *rep = &r->servers[i].replicas[j];

        if (!rep->loaded)
          *(rep->adapter == NO_ADAPTER ? models : adapters) += 1;
      }
}

/* Evicts the replicas that the policy chose. They are copied first, as each
   unload changes the indexes of the others. */
static void
evict_chosen (struct replay *r, const struct view *v,
              const struct policy_choice *c)
{
  struct replay_server *s = &r->servers[c->server];
  struct replay_replica chosen[POLICY_EVICT_MAX];

  for (size_t i = 0; i < c->evict_count; i++)
    chosen[i] = s->replicas[v->replica_index[c->evict[i]]];
  for (size_t i = 0; i < c->evict_count; i++)
    {
      load_unload (s, chosen[i].model, chosen[i].adapter);
      r->counts.evictions += chosen[i].adapter == NO_ADAPTER;
      load_publish_targets (r, chosen[i].model);
    }
}

static uint32_t
load_time_ms (const struct replay *r, const struct replay_load_request *load,
              const struct policy_load_request *request,
              const struct policy_choice *c)
{
  const enum cache_place cache
      = r->servers[c->server].on_disk[load->model] ? CACHE_DISK : CACHE_REMOTE;
  uint32_t models;
  uint32_t adapters;

  if (load->adapter == NO_ADAPTER)
    return policy_load_ms (request, cache)
           + (c->evict_count > 0 ? UNLOAD_MS : 0);
  loads_in_progress (r, &models, &adapters);
  return adapters < ADAPTERS_AT_ONCE
             ? ADAPTER_MS
             : ADAPTER_MS * (adapters + 1) / ADAPTERS_AT_ONCE;
}

void
load_start (struct replay *r, size_t server, size_t model, size_t adapter,
            uint64_t bytes, uint32_t load_ms)
{
  struct replay_server *s = &r->servers[server];

  s->replicas[s->replica_count++] = (struct replay_replica){
    .model = model,
    .adapter = adapter,
    .bytes = bytes,
    .ready_ms = r->now_ms + load_ms,
  };
  s->used_bytes += bytes;
  if (adapter != NO_ADAPTER)
    {
      r->counts.adapter_loads++;
      return;
    }
  r->counts.loads++;
  r->next_load_ms = r->now_ms + 1000 / r->loads_per_s;
}

bool
load_may_start (const struct replay *r)
{
  uint32_t models;
  uint32_t adapters;

  loads_in_progress (r, &models, &adapters);
  return models < r->loads_at_once && r->now_ms >= r->next_load_ms;
}

/* Starts a requested load, with the evictions that it needs. Returns false if
   no server has the memory. */
static bool
choose_and_start (struct replay *r, const struct replay_load_request *load)
{
  const struct policy_load_request request = describe_load (r, load);
  struct policy_choice c;
  struct view v;

  view_create (r, load, &v);
  const bool found
      = r->policy->ops->choose (r->policy, &v.view, &request, r->now_ms, &c);

  if (found)
    {
      evict_chosen (r, &v, &c);
      load_start (r, c.server, load->model, load->adapter, request.bytes,
                  load_time_ms (r, load, &request, &c));
    }
  view_destroy (&v);
  return found;
}

/* ---- load requests ---- */

void
load_enqueue (struct replay *r, size_t model, const struct sched_action *a)
{
  struct replay_load_request *load = xcalloc (1, sizeof *load);

  *load = (struct replay_load_request){
    .model = model,
    .adapter = load_adapter_index (r->models[model].spec, a->adapter),
    .replicas = a->replicas,
    .priority = a->priority,
    .deadline_ms = r->now_ms + a->wait_ms,
    .requested_ms = r->now_ms,
  };
  DL_APPEND (r->load_requests, load);
  stage_load_requested (r, model);
}

static void
finish_load_request (struct replay *r, struct replay_load_request *load,
                     wake_code code)
{
  const size_t model = load->model;
  const struct str adapter = load_key (r, model, load->adapter).adapter;
  const bool ahead_of_demand = load->ahead_of_demand;

  DL_DELETE (r->load_requests, load);
  free (load);
  if (ahead_of_demand)
    return;
  sched_wake_done (r->models[model].sched, adapter, code, 0, r->now_ms);
  run_actions (r, &r->models[model]);
}

/* Returns the number of replicas requested, limited to max_replicas. */
static uint32_t
replica_goal (const struct replay *r, const struct replay_load_request *load)
{
  const uint32_t max = r->models[load->model].max_replicas;

  return load->replicas < max ? load->replicas : max;
}

/* Returns true if a request needs one more replica whose load may start. The
   load of an adapter may start once its model is loaded somewhere. */
static bool
needs_replica (struct replay *r, const struct replay_load_request *load)
{
  if (load_count (r, load->model, load->adapter, true)
      >= replica_goal (r, load))
    return false;
  return load->adapter == NO_ADAPTER
         || load_count (r, load->model, NO_ADAPTER, false) > 0;
}

/* Returns true if a request is for an adapter of a model that no server has or
   loads, and sets @out to a request for one replica of the model. */
static bool
needs_model_first (struct replay *r, const struct replay_load_request *load,
                   struct replay_load_request *out)
{
  if (load->adapter == NO_ADAPTER
      || load_count (r, load->model, NO_ADAPTER, true) > 0)
    return false;
  *out = *load;
  out->adapter = NO_ADAPTER;
  out->replicas = 1;
  return true;
}

/* Returns the request whose load is next in the order of the policy, or NULL.
   Sets @out to the load itself, which is that of the model if the request is
   for an adapter of a model that no server has. */
static struct replay_load_request *
next_load (struct replay *r, struct replay_load_request *out)
{
  const bool may_load = load_may_start (r);
  struct replay_load_request *best = NULL;
  struct replay_load_request *queued;

  DL_FOREACH (r->load_requests, queued)
  {
    struct replay_load_request candidate = *queued;

    if (!needs_model_first (r, queued, &candidate)
        && !needs_replica (r, queued))
      continue;
    if (candidate.adapter == NO_ADAPTER && !may_load)
      continue;
    const struct policy_load_request a = describe_load (r, &candidate);
    const struct policy_load_request b = best ? describe_load (r, out) : a;

    if (best && !r->policy->ops->load_before (&a, &b))
      continue;
    best = queued;
    *out = candidate;
  }
  return best;
}

static void
finish_fulfilled (struct replay *r)
{
  struct replay_load_request *load = r->load_requests;

  while (load)
    {
      struct replay_load_request *next = load->next;

      if (load_count (r, load->model, load->adapter, false)
          >= replica_goal (r, load))
        {
          finish_load_request (r, load, WAKE_LOADED);
          next = r->load_requests;
        }
      load = next;
    }
}

void
load_start_pending (struct replay *r)
{
  struct replay_load_request load;
  struct replay_load_request *queued;

  finish_fulfilled (r);
  while ((queued = next_load (r, &load)) != NULL)
    if (!choose_and_start (r, &load))
      finish_load_request (r, queued, WAKE_NO_MEMORY);
}

void
load_finish_due (struct replay *r)
{
  for (size_t i = 0; i < r->server_count; i++)
    for (size_t j = 0; j < r->servers[i].replica_count; j++)
      {
        struct replay_replica *rep = &r->servers[i].replicas[j];

        if (rep->loaded || r->now_ms < rep->ready_ms)
          continue;
        rep->loaded = true;
        if (rep->adapter == NO_ADAPTER)
          r->servers[i].on_disk[rep->model] = true;
        load_publish_targets (r, rep->model);
      }
  stage_finish (r);
}

uint64_t
load_next_ms (const struct replay *r)
{
  uint64_t next_ms = UINT64_MAX;

  for (size_t i = 0; i < r->server_count; i++)
    for (size_t j = 0; j < r->servers[i].replica_count; j++)
      {
        const struct replay_replica *rep = &r->servers[i].replicas[j];

        if (!rep->loaded && rep->ready_ms < next_ms)
          next_ms = rep->ready_ms;
      }
  if (r->load_requests && r->next_load_ms > r->now_ms
      && r->next_load_ms < next_ms)
    next_ms = r->next_load_ms;
  return next_ms;
}

void
load_server_lost (struct replay *r, size_t server)
{
  struct replay_server *s = &r->servers[server];

  s->replica_count = 0;
  s->used_bytes = 0;
  s->instance++;
  for (size_t i = 0; i < r->model_count; i++)
    {
      s->on_disk[i] = false;
      load_publish_targets (r, i);
    }
}
