#include "placement_impl.h"

#include <stdlib.h>

#include "err.h"

/* Interval between two searches for a model to stage. */
#define STAGE_INTERVAL_MS 1000

void
place_stage_clear (struct place_service *s)
{
  replica_key_free (&s->staging.key);
  str_free (&s->staging.addr);
  s->staging = (struct place_staging){ 0 };
}

void
place_stage_load_requested (struct place_service *s,
                            const struct replica_key *key, uint64_t now)
{
  s->load_requested_ms = now;
  if (s->staging.active && str_eq (s->staging.key.model, key->model))
    place_stage_clear (s);
}

/* Ends the staging load when it has completed or failed. The replica is then
   unloaded, unless min_replicas requires it. */
static void
finish_staging (struct place_service *s, uint64_t now)
{
  const struct ledger_server *server
      = ledger_find_server (s->ledger, s->staging.addr);
  const struct ledger_entry *e
      = server ? ledger_find_entry (server, &s->staging.key) : NULL;
  const struct policy_demand demand
      = { .staging_active = true,
          .staging_done = e && e->state == LEDGER_LOADED };
  const struct model *m = place_model (s, &s->staging.key);
  size_t unused_model;
  size_t unused_server;

  if (e && e->state == LEDGER_INTENT_LOAD)
    return;
  /* The operator may have raised min_replicas since the load started. */
  if (e && m && place_available_replicas (s, &s->staging.key) > m->min_replicas
      && s->policy->ops->stage_action (s->policy, NULL, 0, 0, &demand, now,
                                       &unused_model, &unused_server)
             == STAGE_UNLOAD)
    place_unload (s, s->staging.addr, &s->staging.key, "stage", now);
  place_stage_clear (s);
}

/* Returns true if a load is waiting or running, or a server is being avoided
   after a failed load. */
static bool
is_load_pending (const struct place_service *s, uint64_t now)
{
  if (s->wakes || s->reservations)
    return true;
  for (const struct place_target *t = s->targets; t; t = t->hh.next)
    if (now < t->avoid_until_ms)
      return true;
  for (size_t i = 0; i < s->ledger->server_count; i++)
    for (size_t j = 0; j < s->ledger->servers[i]->entry_count; j++)
      if (s->ledger->servers[i]->entries[j]->state == LEDGER_INTENT_LOAD)
        return true;
  return false;
}

static struct policy_stage_candidate
describe_candidate (const struct place_service *s, const struct model *m,
                    struct policy_server *servers, uint64_t now)
{
  struct policy_stage_candidate stage = {
    .load_request = { .key = { .model = m->name, .version = m->version },
                      .bytes = m->bytes,
                      .load_ms = m->load_ms,
                      .priority = INT32_MIN,
                      .deadline_ms = UINT64_MAX,
                      .requested_ms = now },
    .max_replicas = m->max_replicas,
    .servers = servers,
  };

  place_policy_servers (s, &stage.load_request.key, now, servers);
  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      const struct place_target *t = place_target (s, servers[i].addr);

      /* With a full list each new copy would displace another one, which would
         then be staged again. */
      if (t && t->cached_count == PLACE_CACHED_MAX)
        servers[i].usable = false;
    }
  stage.replicas
      = (uint32_t)ledger_replica_count (s->ledger, &stage.load_request.key);
  return stage;
}

static void
start_staging (struct place_service *s,
               const struct policy_stage_candidate *stage, size_t server,
               uint64_t now)
{
  const struct str addr = stage->servers[server].addr;

  if (place_record_load (s, &stage->load_request, addr, "stage", now) != 0)
    return;
  s->staging = (struct place_staging){
    .key = replica_key_dup (&stage->load_request.key),
    .addr = str_dup (addr),
    .active = true,
  };
}

static void
consider_staging (struct place_service *s, const struct lists *lists,
                  uint64_t now)
{
  const struct policy_demand demand
      = { .load_pending = is_load_pending (s, now),
          .last_request_ms = s->load_requested_ms };
  const size_t n = s->ledger->server_count;
  struct policy_stage_candidate *models
      = xcalloc (lists->model_count + 1, sizeof *models);
  struct policy_server *servers
      = xcalloc (lists->model_count * n + 1, sizeof *servers);
  size_t count = 0;
  size_t model;
  size_t server;

  for (size_t i = 0; i < lists->model_count; i++)
    if (str_eq (lists->models[i].service, s->name))
      {
        models[count] = describe_candidate (s, &lists->models[i],
                                            &servers[count * n], now);
        count++;
      }
  if (s->policy->ops->stage_action (s->policy, models, count, n, &demand, now,
                                    &model, &server)
      == STAGE_LOAD)
    start_staging (s, &models[model], server, now);
  free (models);
  free (servers);
}

void
place_stage (struct place_service *s, uint64_t now)
{
  const struct lists *lists = kernel_latest (s->kernel, TOPIC_LISTS);

  if (s->staging.active)
    {
      finish_staging (s, now);
      return;
    }
  if (!lists || now < s->next_stage_ms)
    return;
  s->next_stage_ms = now + STAGE_INTERVAL_MS;
  consider_staging (s, lists, now);
}
