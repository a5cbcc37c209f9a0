#include "place.h"

#include <stdlib.h>

#include "metrics.h"

/* Interval at which keep-alive is looked at. */
#define KEEP_INTERVAL_MS 1000

/* Removes what may not stay: leaving servers, what is no longer listed. */
void
place_clear_out (struct place_service *s, uint64_t now)
{
  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      struct ledger_server *server = s->ledger->servers[i];

      for (size_t j = 0; j < server->entry_count; j++)
        {
          const struct ledger_entry *e = server->entries[j];
          const struct model *m = place_model (s, &e->key);
          const bool known = m && str_eq (m->version, e->key.version)
                             && (e->key.adapter.len == 0
                                 || lists_adapter (m, e->key.adapter) != NULL);

          if (e->state != LEDGER_LOADED)
            continue;
          if (ledger_leaving (server))
            place_unload (s, server->addr, &e->key, "target-leaving", now);
          else if (!known)
            place_unload (s, server->addr, &e->key, "not-listed", now);
        }
    }
}

/* Unloads one replica of a model, on the fullest server. */
static void
drop_one (struct place_service *s, const struct replica_key *key,
          const char *reason, uint64_t now)
{
  const struct ledger_server *best = NULL;
  uint64_t most = 0;

  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      const struct ledger_server *server = s->ledger->servers[i];
      const struct ledger_entry *e = ledger_entry (server, key);

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
keep_model (struct place_service *s, const struct model *m, uint64_t now)
{
  const struct policy_want want
      = { .key = { .model = m->name, .version = m->version },
          .bytes = m->bytes,
          .load_ms = m->load_ms,
          .priority = INT32_MIN,
          .deadline_ms = UINT64_MAX,
          .asked_ms = now };
  const size_t loaded = place_loaded (s, &want.key);
  struct policy_choice choice;
  uint64_t first_ms;
  const char *reason;
  uint32_t n = s->policy->ops->want (s->policy, &want.key, (uint32_t)loaded,
                                     now, &reason);

  if (n < m->min_replicas)
    {
      n = m->min_replicas;
      reason = "min-replicas";
    }
  if (n == 0 && place_in_use (s, &want.key, now))
    n = 1;
  if (n < loaded)
    drop_one (s, &want.key, reason, now);
  else if (n > loaded)
    {
      place_stage_asked (s, &want.key, now);
      if (n > loaded + place_under_way (s, &want.key, &first_ms))
        place_begin_load (s, &want, n <= m->min_replicas, reason, now,
                          &choice);
    }
}

static void
keep_adapters (struct place_service *s, const struct model *m, uint64_t now)
{
  for (size_t i = 0; i < m->adapter_count; i++)
    {
      const struct replica_key key = { .model = m->name,
                                       .version = m->version,
                                       .adapter = m->adapters[i].name };
      const size_t loaded = place_loaded (s, &key);
      const char *reason;

      if (loaded == 0 || place_in_use (s, &key, now)
          || s->policy->ops->want (s->policy, &key, (uint32_t)loaded, now,
                                   &reason)
                 > 0)
        continue;
      drop_one (s, &key, reason, now);
    }
}

/* Counts the time that replicas are loaded with no request in flight. */
static void
count_idle (struct place_service *s, uint64_t now)
{
  const uint64_t ms = s->idle_counted_ms > 0 ? now - s->idle_counted_ms : 0;
  uint64_t sum = 0;

  s->idle_counted_ms = now;
  for (size_t i = 0; i < s->ledger->server_count; i++)
    for (size_t j = 0; j < s->ledger->servers[i]->entry_count; j++)
      {
        const struct ledger_entry *e = s->ledger->servers[i]->entries[j];
        const struct place_use *u = place_use (s, &e->key);

        if (e->key.adapter.len == 0 && e->state == LEDGER_LOADED
            && (!u || u->in_flight == 0
                || now >= u->at_ms + PLACE_USE_FRESH_MS))
          sum += ms;
      }
  metrics_add ("galenagate_idle_accelerator_ms_total", s->labels, sum);
}

void
place_keep (struct place_service *s, uint64_t now)
{
  const struct lists *lists = kernel_latest (s->kernel, TOPIC_LISTS);

  if (!lists || now < s->next_keep_ms)
    return;
  s->next_keep_ms = now + KEEP_INTERVAL_MS;
  place_expire_uses (s, now);
  count_idle (s, now);
  for (size_t i = 0; i < lists->model_count; i++)
    {
      const struct model *m = &lists->models[i];

      if (!str_eq (m->service, s->name))
        continue;
      keep_model (s, m, now);
      keep_adapters (s, m, now);
    }
}
