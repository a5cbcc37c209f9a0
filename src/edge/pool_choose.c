#include "edge/pool_impl.h"

/* Choice of the server for a call. */

/* Calls per slot at which a server of a plain service counts as full; such
   servers keep a short queue. */
#define PLAIN_CALLS_PER_SLOT 3
/* Added to the load of a server in another failure domain. Traffic between
   domains costs something, but less than an overloaded server. */
#define DOMAIN_PENALTY 0.05

bool
pool_server_usable (const struct pool_server *s, uint64_t now_ms)
{
  return !s->leaving && !s->unreadable && !s->replaced
         && (s->listed ? now_ms >= s->doubted_until_ms
                       : now_ms < s->usable_until_ms);
}

static double
load_of (const struct pool_server *s, const struct pool_criteria *criteria)
{
  const double slots = s->slots > 0 ? s->slots : 1;
  double load = (s->running + s->other_nodes_running) / slots;

  if (!str_eq (s->domain, criteria->domain))
    load += DOMAIN_PENALTY;
  return load;
}

static bool
is_full (const struct pool_server *s, const struct pool_criteria *criteria,
         uint64_t now_ms)
{
  const uint32_t capacity
      = criteria->engine ? s->slots : s->slots * PLAIN_CALLS_PER_SLOT;

  return s->running + s->other_nodes_running >= capacity
         || now_ms < s->full_until_ms;
}

static bool
is_missing (const struct placed_model *m, struct str adapter, uint64_t now_ms)
{
  return now_ms < m->missing_until_ms && str_eq (m->missing, adapter);
}

static bool
fits_version (const struct pool_server *s,
              const struct pool_criteria *criteria)
{
  return !criteria->version_bound
         || (criteria->software_version.len > 0
             && str_eq (s->software_version, criteria->software_version));
}

/* Returns POOL_CHOSEN if the server can run the call, else why not. Leaves out
   whether it wants no calls yet, and for a plain service whether it is full.
 */
static enum pool_result
match_server (const struct pool_server *s,
              const struct pool_criteria *criteria, uint64_t now_ms)
{
  const struct placed_model *m;

  if (!fits_version (s, criteria))
    return POOL_OTHER_VERSION;
  if (!criteria->engine)
    return POOL_CHOSEN;
  m = pool_model (s, criteria->model);
  /* A server that is down has lost its models when it is back. Waiting calls
     make the placement holder load the model elsewhere. */
  if (!m || m->state != POOL_MODEL_READY || is_missing (m, STR (""), now_ms)
      || (s->unreached && now_ms < s->avoid_until_ms))
    return POOL_NO_MODEL;
  if (criteria->adapter.len > 0
      && (!name_list_has (&m->adapters, criteria->adapter)
          || is_missing (m, criteria->adapter, now_ms)))
    return POOL_NO_ADAPTER;
  return is_full (s, criteria, now_ms) ? POOL_FULL : POOL_CHOSEN;
}

/* Prefers a server without a recent failure, then the least loaded one. */
static bool
is_better (const struct pool_server *a, const struct pool_server *b,
           const struct pool_criteria *criteria, uint64_t now_ms)
{
  const bool a_avoided = now_ms < a->avoid_until_ms || a == criteria->avoid;
  const bool b_avoided = now_ms < b->avoid_until_ms || b == criteria->avoid;

  if (a_avoided != b_avoided)
    return b_avoided;
  return load_of (a, criteria) < load_of (b, criteria);
}

static enum pool_result
closer_result (enum pool_result a, enum pool_result b)
{
  /* The values are in the order of how close the call is to being served. */
  return a > b ? a : b;
}

enum pool_result
pool_choose (struct pool *p, const struct pool_criteria *criteria,
             uint64_t now_ms, struct pool_server **out)
{
  enum pool_result result = POOL_NO_SERVER;
  struct pool_server *best = NULL;

  for (struct pool_server *s = p->servers; s; s = s->hh.next)
    {
      if (!str_eq (s->service, criteria->service)
          || !pool_server_usable (s, now_ms))
        continue;
      enum pool_result match = match_server (s, criteria, now_ms);
      if (match == POOL_CHOSEN && is_full (s, criteria, now_ms))
        match = POOL_FULL;
      if ((match == POOL_CHOSEN || match == POOL_FULL)
          && now_ms < s->deferred_until_ms)
        match = POOL_DEFERRED;
      if (match != POOL_CHOSEN)
        result = closer_result (result, match);
      else if (!best || is_better (s, best, criteria, now_ms))
        best = s;
    }
  if (!best)
    return result;
  *out = best;
  return POOL_CHOSEN;
}

uint32_t
pool_deferred_for (const struct pool *p, const struct pool_criteria *criteria,
                   uint64_t now_ms)
{
  uint32_t best = UINT32_MAX;

  for (const struct pool_server *s = p->servers; s; s = s->hh.next)
    {
      enum pool_result match;

      if (now_ms >= s->deferred_until_ms
          || !str_eq (s->service, criteria->service)
          || !pool_server_usable (s, now_ms))
        continue;
      match = match_server (s, criteria, now_ms);
      if ((match == POOL_CHOSEN || match == POOL_FULL)
          && s->deferred_until_ms - now_ms < best)
        best = (uint32_t)(s->deferred_until_ms - now_ms);
    }
  return best;
}

uint32_t
pool_ready_in (const struct pool *p, const struct pool_criteria *criteria,
               uint64_t now_ms)
{
  uint32_t best = UINT32_MAX;

  for (const struct pool_server *s = p->servers; s; s = s->hh.next)
    {
      const struct placed_model *m = pool_model (s, criteria->model);

      if (!m || m->state != POOL_MODEL_LOADING
          || !str_eq (s->service, criteria->service)
          || !fits_version (s, criteria) || !pool_server_usable (s, now_ms))
        continue;
      const uint64_t remaining_ms
          = m->ready_at_ms > now_ms ? m->ready_at_ms - now_ms : 0;
      if (remaining_ms < best)
        best = (uint32_t)remaining_ms;
    }
  return best;
}
