#include <stdlib.h>

#include "err.h"
#include "replay_impl.h"

/* Interval at which the policy is queried for models that are not loaded. */
#define UNLOADED_CHECK_MS 10000

static void
report_usage (struct replay *r, size_t model, struct str adapter,
              const struct replica_key *key)
{
  const struct replay_model *m = &r->models[model];
  const struct sched_demand load = sched_take_demand (m->sched, adapter);
  const struct policy_usage use = {
    .key = *key,
    .in_flight = load.in_flight,
    .queued = load.queued,
    .requests = load.requests,
    .slots = m->spec->slots,
    .load_ms = adapter.len > 0 ? 0 : m->spec->load_ms,
  };

  r->policy->ops->add_usage_report (r->policy, &use, r->now_ms);
}

/* Unloads the idle replica on the server with the most memory in use. Returns
   false if no replica is idle. */
static bool
unload_one (struct replay *r, size_t model)
{
  size_t fullest = r->server_count;

  for (size_t i = 0; i < r->server_count; i++)
    {
      const struct replay_replica *rep
          = load_find_replica (&r->servers[i], model, NO_ADAPTER);

      if (rep && rep->loaded && load_in_flight (r, model, i) == 0
          && (fullest == r->server_count
              || r->servers[i].used_bytes > r->servers[fullest].used_bytes))
        fullest = i;
    }
  if (fullest == r->server_count)
    return false;
  load_unload (&r->servers[fullest], model, NO_ADAPTER);
  r->counts.unloads++;
  load_publish_targets (r, model);
  return true;
}

static void
request_load_ahead (struct replay *r, size_t model, uint32_t replicas)
{
  struct replay_load_request *load = xcalloc (1, sizeof *load);

  *load = (struct replay_load_request){
    .model = model,
    .adapter = NO_ADAPTER,
    .replicas = replicas,
    .priority = INT32_MIN,
    .deadline_ms = UINT64_MAX,
    .requested_ms = r->now_ms,
    .ahead_of_demand = true,
  };
  DL_APPEND (r->load_requests, load);
  stage_load_requested (r, model);
}

static bool
has_load_request (const struct replay *r, size_t model)
{
  const struct replay_load_request *load;

  DL_FOREACH (r->load_requests, load)
  {
    if (load->model == model)
      return true;
  }
  return false;
}

static void
apply_policy (struct replay *r, size_t model)
{
  const struct replica_key key = load_key (r, model, NO_ADAPTER);
  const struct replay_model *m = &r->models[model];
  const uint32_t loaded = load_count (r, model, NO_ADAPTER, false);
  const char *reason;
  uint32_t goal;

  if (has_load_request (r, model)
      || (loaded == 0 && r->now_ms % UNLOADED_CHECK_MS != 0))
    return;
  goal = r->policy->ops->desired_replicas (r->policy, &key, loaded, r->now_ms,
                                           &reason);
  if (goal < m->spec->min_replicas)
    goal = m->spec->min_replicas;
  if (goal > loaded)
    request_load_ahead (r, model, goal);
  for (uint32_t n = loaded; n > goal && sched_waiting (m->sched) == 0; n--)
    if (!unload_one (r, model))
      return;
}

static void
count_idle (struct replay *r)
{
  for (size_t i = 0; i < r->server_count; i++)
    for (size_t j = 0; j < r->servers[i].replica_count; j++)
      {
        const struct replay_replica *rep = &r->servers[i].replicas[j];

        if (rep->loaded && rep->adapter == NO_ADAPTER
            && load_in_flight (r, rep->model, i) == 0)
          r->counts.idle_ms += 1000;
      }
}

void
replay_adjust_tick (struct replay *r)
{
  count_idle (r);
  for (size_t i = 0; i < r->model_count; i++)
    {
      const struct replica_key key = load_key (r, i, NO_ADAPTER);

      sched_tick (r->models[i].sched, r->now_ms);
      run_actions (r, &r->models[i]);
      report_usage (r, i, STR (""), &key);
      apply_policy (r, i);
    }
  stage_tick (r);
}
