#include <stdlib.h>

#include "err.h"
#include "replay_impl.h"

/* The policy is asked this often for models that are not loaded. */
#define AHEAD_MS 10000

static void
report_use (struct world *w, size_t model, struct str adapter,
            const struct replica_key *key)
{
  const struct replay_model *m = &w->models[model];
  const struct sched_load load = sched_load (m->sched, adapter);
  const struct policy_use use = {
    .key = *key,
    .in_flight = load.in_flight,
    .queued = load.queued,
    .requests = load.requests,
    .slots = m->listed->slots,
    .load_ms = adapter.len > 0 ? 0 : m->listed->load_ms,
  };

  w->policy->ops->used (w->policy, &use, w->now_ms);
}

/* Unloads the idle replica on the server that is fullest. */
static bool
unload_one (struct world *w, size_t model)
{
  size_t best = w->server_count;

  for (size_t i = 0; i < w->server_count; i++)
    {
      const struct held *h = load_find (&w->servers[i], model, MODEL_ITSELF);

      if (h && h->loaded && load_in_flight (w, model, i) == 0
          && (best == w->server_count
              || w->servers[i].used_bytes > w->servers[best].used_bytes))
        best = i;
    }
  if (best == w->server_count)
    return false;
  load_drop (&w->servers[best], model, MODEL_ITSELF);
  w->counts.unloads++;
  load_tell (w, model);
  return true;
}

static void
load_ahead (struct world *w, size_t model, uint32_t replicas)
{
  struct replay_wake *k = xcalloc (1, sizeof *k);

  *k = (struct replay_wake){
    .model = model,
    .adapter = MODEL_ITSELF,
    .replicas = replicas,
    .priority = INT32_MIN,
    .deadline_ms = UINT64_MAX,
    .asked_ms = w->now_ms,
    .ahead = true,
  };
  DL_APPEND (w->wakes, k);
  stage_asked (w, model);
}

static bool
is_waking (const struct world *w, size_t model)
{
  const struct replay_wake *k;

  DL_FOREACH (w->wakes, k)
  {
    if (k->model == model)
      return true;
  }
  return false;
}

static void
keep (struct world *w, size_t model)
{
  const struct replica_key key = load_key (w, model, MODEL_ITSELF);
  const struct replay_model *m = &w->models[model];
  const uint32_t loaded = load_count (w, model, MODEL_ITSELF, false);
  const char *reason;
  uint32_t want;

  if (is_waking (w, model) || (loaded == 0 && w->now_ms % AHEAD_MS != 0))
    return;
  want = w->policy->ops->want (w->policy, &key, loaded, w->now_ms, &reason);
  if (want < m->listed->min_replicas)
    want = m->listed->min_replicas;
  if (want > loaded)
    load_ahead (w, model, want);
  for (uint32_t n = loaded; n > want && sched_waiting (m->sched) == 0; n--)
    if (!unload_one (w, model))
      return;
}

static void
count_idle (struct world *w)
{
  for (size_t i = 0; i < w->server_count; i++)
    for (size_t j = 0; j < w->servers[i].held_count; j++)
      {
        const struct held *h = &w->servers[i].held[j];

        if (h->loaded && h->adapter == MODEL_ITSELF
            && load_in_flight (w, h->model, i) == 0)
          w->counts.idle_ms += 1000;
      }
}

void
keep_second (struct world *w)
{
  count_idle (w);
  for (size_t i = 0; i < w->model_count; i++)
    {
      const struct replica_key key = load_key (w, i, MODEL_ITSELF);

      sched_tick (w->models[i].sched, w->now_ms);
      run_pump (w, &w->models[i]);
      report_use (w, i, STR (""), &key);
      keep (w, i);
    }
  stage_second (w);
}
