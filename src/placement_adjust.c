#include "placement_impl.h"

#include <stdlib.h>

#include "metrics.h"

/* Interval between two adjustments of the replicas. */
#define ADJUST_INTERVAL_MS 1000

void
place_unload_obsolete (struct place_service *s, uint64_t now)
{
  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      struct ledger_server *server = s->ledger->servers[i];

      for (size_t j = 0; j < server->entry_count; j++)
        {
          const struct ledger_entry *e = server->entries[j];
          const struct model *m = place_model (s, &e->key);
          const bool listed
              = m && str_eq (m->version, e->key.version)
                && (e->key.adapter.len == 0
                    || lists_adapter (m, e->key.adapter) != NULL);

          if (e->state != LEDGER_LOADED)
            continue;
          if (ledger_server_leaving (server))
            place_unload (s, server->addr, &e->key, "target-leaving", now);
          else if (!listed)
            place_unload (s, server->addr, &e->key, "not-listed", now);
        }
    }
}

/* Unloads one replica of a model or adapter, on the server with the most
   memory in use. */
static void
unload_fullest (struct place_service *s, const struct replica_key *key,
                const char *reason, uint64_t now)
{
  const struct ledger_server *best = NULL;
  uint64_t most = 0;

  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      const struct ledger_server *server = s->ledger->servers[i];
      const struct ledger_entry *e = ledger_find_entry (server, key);

      if (!e || e->state != LEDGER_LOADED
          || now < e->loaded_ms + PLACE_LOADED_GRACE_MS)
        continue;
      if (!best || ledger_used_bytes (server) > most)
        {
          best = server;
          most = ledger_used_bytes (server);
        }
    }
  if (best)
    place_unload (s, best->addr, key, reason, now);
}

static void
adjust_model (struct place_service *s, const struct model *m, uint64_t now)
{
  const struct policy_load_request load
      = { .key = { .model = m->name, .version = m->version },
          .bytes = m->bytes,
          .load_ms = m->load_ms,
          .priority = INT32_MIN,
          .deadline_ms = UINT64_MAX,
          .requested_ms = now };
  const size_t available = place_available_replicas (s, &load.key);
  struct policy_choice choice;
  uint64_t first_ms;
  const char *reason;
  uint32_t wanted = s->policy->ops->desired_replicas (
      s->policy, &load.key, (uint32_t)available, now, &reason);

  if (wanted < m->min_replicas)
    {
      wanted = m->min_replicas;
      reason = "min-replicas";
    }
  if (wanted == 0 && place_in_use (s, &load.key, now))
    wanted = 1;
  if (wanted < available)
    unload_fullest (s, &load.key, reason, now);
  else if (wanted > available)
    {
      place_stage_load_requested (s, &load.key, now);
      if (wanted > available + place_pending_loads (s, &load.key, &first_ms))
        place_start_load (s, &load, wanted <= m->min_replicas, reason, now,
                          &choice);
    }
}

static void
unload_idle_adapters (struct place_service *s, const struct model *m,
                      uint64_t now)
{
  for (size_t i = 0; i < m->adapter_count; i++)
    {
      const struct replica_key key = { .model = m->name,
                                       .version = m->version,
                                       .adapter = m->adapters[i].name };
      const size_t available = place_available_replicas (s, &key);
      const char *reason;

      if (available == 0 || place_in_use (s, &key, now)
          || s->policy->ops->desired_replicas (
                 s->policy, &key, (uint32_t)available, now, &reason)
                 > 0)
        continue;
      unload_fullest (s, &key, reason, now);
    }
}

/* Adds the time since the last call to the metric of idle time, for each
   loaded model replica without a request in flight. */
static void
count_idle_time (struct place_service *s, uint64_t now)
{
  const uint64_t ms = s->idle_counted_ms > 0 ? now - s->idle_counted_ms : 0;
  uint64_t sum = 0;

  s->idle_counted_ms = now;
  for (size_t i = 0; i < s->ledger->server_count; i++)
    for (size_t j = 0; j < s->ledger->servers[i]->entry_count; j++)
      {
        const struct ledger_entry *e = s->ledger->servers[i]->entries[j];
        const struct place_usage *u = place_usage (s, &e->key);

        if (e->key.adapter.len == 0 && e->state == LEDGER_LOADED
            && (!u || u->in_flight == 0
                || now >= u->reported_ms + PLACE_USAGE_VALID_MS))
          sum += ms;
      }
  metrics_add ("galenagate_idle_accelerator_ms_total", s->metric_labels, sum);
}

void
place_adjust_replicas (struct place_service *s, uint64_t now)
{
  const struct lists *lists = kernel_latest (s->kernel, TOPIC_LISTS);

  if (!lists || now < s->next_adjust_ms)
    return;
  s->next_adjust_ms = now + ADJUST_INTERVAL_MS;
  place_expire_usage (s, now);
  count_idle_time (s, now);
  for (size_t i = 0; i < lists->model_count; i++)
    {
      const struct model *m = &lists->models[i];

      if (!str_eq (m->service, s->name))
        continue;
      adjust_model (s, m, now);
      unload_idle_adapters (s, m, now);
    }
}
