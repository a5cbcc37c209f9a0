#include <stdlib.h>

#include "err.h"
#include "replay_impl.h"

static void
fill_servers (struct world *w, size_t model, struct policy_server *out)
{
  for (size_t i = 0; i < w->server_count; i++)
    {
      struct replay_server *s = &w->servers[i];

      out[i] = (struct policy_server){
        .addr = str_from (s->addr),
        .domain = s->domain,
        .memory_bytes = s->memory_bytes,
        .used_bytes = s->used_bytes,
        .cache = s->on_disk[model] ? CACHE_DISK : CACHE_REMOTE,
        .usable = w->now_ms >= s->up_ms && s->held_count < REPLAY_HELD_MAX,
        .holds = load_find (s, model, MODEL_ITSELF) != NULL,
      };
    }
}

static void
begin (struct world *w, size_t server, size_t model,
       const struct policy_want *want)
{
  const uint32_t load_ms = policy_load_ms (want, CACHE_REMOTE);

  w->staging = (struct replay_staging){
    .model = model,
    .server = server,
    .active = true,
  };
  w->counts.staging_loads++;
  w->counts.staging_ms += load_ms;
  load_begin (w, server, model, MODEL_ITSELF, want->bytes, load_ms);
}

void
stage_second (struct world *w)
{
  const struct policy_demand demand = {
    .waiting = w->wakes != NULL || !load_may_begin (w),
    .asked_ms = w->asked_ms,
    .staging = w->staging.active,
  };
  const size_t n = w->server_count;
  struct policy_stage *models = xcalloc (w->model_count, sizeof *models);
  struct policy_server *servers
      = xcalloc (w->model_count * n, sizeof *servers);
  size_t model;
  size_t server;

  for (size_t i = 0; i < w->model_count; i++)
    {
      const struct model *m = w->models[i].listed;

      fill_servers (w, i, &servers[i * n]);
      models[i] = (struct policy_stage){
        .want = { .key = load_key (w, i, MODEL_ITSELF),
                  .bytes = m->bytes,
                  .load_ms = m->load_ms },
        .replicas = load_count (w, i, MODEL_ITSELF, true),
        .max_replicas = w->models[i].max_replicas,
        .servers = &servers[i * n],
      };
    }
  if (w->policy->ops->stage (w->policy, models, w->model_count, n, &demand,
                             w->now_ms, &model, &server)
      == STAGE_LOAD)
    begin (w, server, model, &models[model].want);
  free (models);
  free (servers);
}

void
stage_step (struct world *w)
{
  const struct replay_staging *s = &w->staging;

  if (!s->active)
    return;
  const struct held *h
      = load_find (&w->servers[s->server], s->model, MODEL_ITSELF);
  const struct policy_demand demand
      = { .staging = true, .staged = h && h->loaded };
  size_t model;
  size_t server;

  if (h
      && w->policy->ops->stage (w->policy, NULL, 0, 0, &demand, w->now_ms,
                                &model, &server)
             != STAGE_UNLOAD)
    return;
  w->staging.active = false;
  /* A request that came for another replica may run on this one. */
  if (!h || load_in_flight (w, s->model, s->server) > 0)
    return;
  load_drop (&w->servers[s->server], s->model, MODEL_ITSELF);
  load_tell (w, s->model);
}

void
stage_asked (struct world *w, size_t model)
{
  w->asked_ms = w->now_ms;
  if (w->staging.model == model)
    w->staging.active = false;
}
