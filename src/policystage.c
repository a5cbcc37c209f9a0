#include "policy.h"

/* Time without a request for a load before a staging load begins: the first
   requests after a quiet period arrive in bursts, which need the weight store
   for themselves. */
#define STAGE_QUIET_MS 10000
/* Copies in different failure domains: one survives the loss of the other. */
#define STAGE_COPIES 2

bool
policy_stage_quiet (const struct policy_demand *demand, uint64_t now)
{
  return !demand->waiting && !demand->staging
         && now >= demand->asked_ms + STAGE_QUIET_MS;
}

static bool
has_copy (const struct policy_server *s)
{
  return s->usable && (s->holds || s->cache != CACHE_REMOTE);
}

static bool
copy_in_domain (const struct policy_stage *m, size_t server_count,
                size_t server)
{
  for (size_t i = 0; i < server_count; i++)
    if (has_copy (&m->servers[i])
        && str_eq (m->servers[i].domain, m->servers[server].domain))
      return true;
  return false;
}

static size_t
domains_with_copy (const struct policy_stage *m, size_t server_count)
{
  size_t n = 0;

  for (size_t i = 0; i < server_count; i++)
    n += has_copy (&m->servers[i]) && !copy_in_domain (m, i, i);
  return n;
}

/* Bytes of the models that a server has a copy of. Staging spreads them:
   demand follows the copies, and models whose copies are on the same servers
   would evict each other there. */
static uint64_t
copied_bytes (const struct policy_stage *models, size_t count, size_t server)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < count; i++)
    if (has_copy (&models[i].servers[server]))
      sum += models[i].want.bytes;
  return sum;
}

bool
policy_stage_server (const struct policy_stage *models, size_t count,
                     size_t server_count, size_t model, size_t *server,
                     size_t *copies)
{
  const struct policy_stage *m = &models[model];
  uint64_t least = UINT64_MAX;

  *copies = domains_with_copy (m, server_count);
  if (*copies >= STAGE_COPIES || m->replicas >= m->max_replicas)
    return false;
  for (size_t i = 0; i < server_count; i++)
    {
      const struct policy_server *s = &m->servers[i];

      if (!s->usable || s->holds || copy_in_domain (m, server_count, i)
          || s->used_bytes + m->want.bytes > s->memory_bytes)
        continue;
      const uint64_t bytes = copied_bytes (models, count, i);
      if (bytes >= least)
        continue;
      least = bytes;
      *server = i;
    }
  return least < UINT64_MAX;
}
