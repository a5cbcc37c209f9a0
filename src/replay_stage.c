#include <stdlib.h>

#include "err.h"
#include "replay_impl.h"

static void
fill_servers (struct replay *r, size_t model, struct policy_server *out)
{
  for (size_t i = 0; i < r->server_count; i++)
    {
      struct replay_server *s = &r->servers[i];

      out[i] = (struct policy_server){
        .addr = str_from (s->addr),
        .domain = s->domain,
        .memory_bytes = s->memory_bytes,
        .used_bytes = s->used_bytes,
        .cache = s->on_disk[model] ? CACHE_DISK : CACHE_REMOTE,
        .usable
        = r->now_ms >= s->up_at_ms && s->replica_count < REPLAY_REPLICAS_MAX,
        .replica_present = load_find_replica (s, model, NO_ADAPTER) != NULL,
      };
    }
}

static void
start_staging (struct replay *r, size_t server, size_t model,
               const struct policy_load_request *request)
{
  const uint32_t load_ms = policy_load_ms (request, CACHE_REMOTE);

  r->staging = (struct replay_staging){
    .model = model,
    .server = server,
    .active = true,
  };
  r->counts.staging_loads++;
  r->counts.staging_ms += load_ms;
  load_start (r, server, model, NO_ADAPTER, request->bytes, load_ms);
}

void
stage_tick (struct replay *r)
{
  const struct policy_demand demand = {
    .load_pending = r->load_requests != NULL || !load_may_start (r),
    .last_request_ms = r->last_load_request_ms,
    .staging_active = r->staging.active,
  };
  const size_t n = r->server_count;
  struct policy_stage_candidate *models
      = xcalloc (r->model_count, sizeof *models);
  struct policy_server *servers
      = xcalloc (r->model_count * n, sizeof *servers);
  size_t model;
  size_t server;

  for (size_t i = 0; i < r->model_count; i++)
    {
      const struct model *m = r->models[i].spec;

      fill_servers (r, i, &servers[i * n]);
      models[i] = (struct policy_stage_candidate){
        .load_request = { .key = load_key (r, i, NO_ADAPTER),
                          .bytes = m->bytes,
                          .load_ms = m->load_ms },
        .replicas = load_count (r, i, NO_ADAPTER, true),
        .max_replicas = r->models[i].max_replicas,
        .servers = &servers[i * n],
      };
    }
  if (r->policy->ops->stage_action (r->policy, models, r->model_count, n,
                                    &demand, r->now_ms, &model, &server)
      == STAGE_LOAD)
    start_staging (r, server, model, &models[model].load_request);
  free (models);
  free (servers);
}

void
stage_finish (struct replay *r)
{
  const struct replay_staging *s = &r->staging;

  if (!s->active)
    return;
  const struct replay_replica *rep
      = load_find_replica (&r->servers[s->server], s->model, NO_ADAPTER);
  const struct policy_demand demand
      = { .staging_active = true, .staging_done = rep && rep->loaded };
  size_t model;
  size_t server;

  if (rep
      && r->policy->ops->stage_action (r->policy, NULL, 0, 0, &demand,
                                       r->now_ms, &model, &server)
             != STAGE_UNLOAD)
    return;
  r->staging.active = false;
  /* Requests that another replica could serve may already run on this one. */
  if (!rep || load_in_flight (r, s->model, s->server) > 0)
    return;
  load_unload (&r->servers[s->server], s->model, NO_ADAPTER);
  load_publish_targets (r, s->model);
}

void
stage_load_requested (struct replay *r, size_t model)
{
  r->last_load_request_ms = r->now_ms;
  if (r->staging.model == model)
    r->staging.active = false;
}
