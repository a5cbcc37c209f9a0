#include "policy.h"

/* Time since the last requested load before a staging load may start. The
   first requests after a quiet period arrive in bursts, which need the full
   rate of the weight store. */
#define STAGE_QUIET_MS 10000
/* Number of failure domains that should have a copy, so that one copy survives
   the loss of a domain. */
#define STAGE_DOMAINS_MIN 2

bool
policy_stage_allowed (const struct policy_demand *demand, uint64_t now)
{
  return !demand->load_pending && !demand->staging_active
         && now >= demand->last_request_ms + STAGE_QUIET_MS;
}

static bool
has_copy (const struct policy_server *s)
{
  return s->usable && (s->replica_present || s->cache != CACHE_REMOTE);
}

static bool
domain_has_copy (const struct policy_stage_candidate *m, size_t server_count,
                 size_t server)
{
  for (size_t i = 0; i < server_count; i++)
    if (has_copy (&m->servers[i])
        && str_eq (m->servers[i].domain, m->servers[server].domain))
      return true;
  return false;
}

static size_t
domains_with_copy (const struct policy_stage_candidate *m, size_t server_count)
{
  size_t n = 0;

  for (size_t i = 0; i < server_count; i++)
    n += has_copy (&m->servers[i]) && !domain_has_copy (m, i, i);
  return n;
}

/* Returns the total size of the models of which a server has a copy. Staging
   prefers the server with the lowest total: models are loaded where their
   copies are, and models with copies on the same server would evict each
   other. */
static uint64_t
bytes_with_copy (const struct policy_stage_candidate *models, size_t count,
                 size_t server)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < count; i++)
    if (has_copy (&models[i].servers[server]))
      sum += models[i].load_request.bytes;
  return sum;
}

bool
policy_stage_server (const struct policy_stage_candidate *models, size_t count,
                     size_t server_count, size_t model, size_t *server,
                     size_t *copies)
{
  const struct policy_stage_candidate *m = &models[model];
  uint64_t least_bytes = UINT64_MAX;

  *copies = domains_with_copy (m, server_count);
  if (*copies >= STAGE_DOMAINS_MIN || m->replicas >= m->max_replicas)
    return false;
  for (size_t i = 0; i < server_count; i++)
    {
      const struct policy_server *s = &m->servers[i];

      if (!s->usable || s->replica_present
          || domain_has_copy (m, server_count, i)
          || s->used_bytes + m->load_request.bytes > s->memory_bytes)
        continue;
      const uint64_t bytes = bytes_with_copy (models, count, i);
      if (bytes >= least_bytes)
        continue;
      least_bytes = bytes;
      *server = i;
    }
  return least_bytes < UINT64_MAX;
}
