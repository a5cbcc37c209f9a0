#include "edge/pool_impl.h"

/* Which server gets a call. */

/* Load at which a plain service's server is taken as full: calls for each of
   its places, since it keeps a short queue. */
#define PLAIN_QUEUE 3
/* Added to the load of a server in another failure domain: bytes between
   domains cost, but less than a crowded server. */
#define DOMAIN_PENALTY 0.05

bool
pool_server_usable (const struct pool_server *s, uint64_t now_ms)
{
  return !s->leaving && !s->unreadable && !s->replaced
         && (s->listed || now_ms < s->usable_until_ms);
}

static double
load_of (const struct pool_server *s, const struct pool_need *need)
{
  const double slots = s->slots > 0 ? s->slots : 1;
  double load = (s->running + s->others) / slots;

  if (!str_eq (s->domain, need->domain))
    load += DOMAIN_PENALTY;
  return load;
}

static bool
is_full (const struct pool_server *s, const struct pool_need *need,
         uint64_t now_ms)
{
  const uint32_t places = need->engine ? s->slots : s->slots * PLAIN_QUEUE;

  return s->running + s->others >= places || now_ms < s->full_until_ms;
}

static bool
is_lacking (const struct placed_model *m, struct str adapter, uint64_t now_ms)
{
  return now_ms < m->lacking_until_ms && str_eq (m->lacking, adapter);
}

/* Can the server run the call, full or not? */
static enum pool_verdict
suits (const struct pool_server *s, const struct pool_need *need,
       uint64_t now_ms)
{
  const struct placed_model *m;

  if (!need->engine)
    return POOL_CHOSEN;
  m = pool_model (s, need->model);
  /* A server that is down holds nothing when it is back. Calls that wait tell
     the placement holder to load the model elsewhere. */
  if (!m || m->state != HELD_READY || is_lacking (m, STR (""), now_ms)
      || (s->unreached && now_ms < s->avoid_until_ms))
    return POOL_NO_MODEL;
  if (need->adapter.len > 0
      && (!name_list_has (&m->adapters, need->adapter)
          || is_lacking (m, need->adapter, now_ms)))
    return POOL_NO_ADAPTER;
  return is_full (s, need, now_ms) ? POOL_FULL : POOL_CHOSEN;
}

/* Prefers a server that did not fail lately, then the least loaded one. */
static bool
is_better (const struct pool_server *a, const struct pool_server *b,
           const struct pool_need *need, uint64_t now_ms)
{
  const bool a_avoided = now_ms < a->avoid_until_ms || a == need->avoid;
  const bool b_avoided = now_ms < b->avoid_until_ms || b == need->avoid;

  if (a_avoided != b_avoided)
    return b_avoided;
  return load_of (a, need) < load_of (b, need);
}

static enum pool_verdict
nearer (enum pool_verdict a, enum pool_verdict b)
{
  /* The order of the enum is that of how near a call is to be served. */
  return a > b ? a : b;
}

enum pool_verdict
pool_choose (struct pool *p, const struct pool_need *need, uint64_t now_ms,
             struct pool_server **out)
{
  enum pool_verdict verdict = POOL_NO_SERVER;
  struct pool_server *best = NULL;

  for (struct pool_server *s = p->servers; s; s = s->hh.next)
    {
      if (!str_eq (s->service, need->service)
          || !pool_server_usable (s, now_ms))
        continue;
      enum pool_verdict v = suits (s, need, now_ms);
      if (v == POOL_CHOSEN && is_full (s, need, now_ms))
        v = POOL_FULL;
      if (v != POOL_CHOSEN)
        verdict = nearer (verdict, v);
      else if (!best || is_better (s, best, need, now_ms))
        best = s;
    }
  if (!best)
    return verdict;
  *out = best;
  return POOL_CHOSEN;
}

uint32_t
pool_ready_in (const struct pool *p, const struct pool_need *need,
               uint64_t now_ms)
{
  uint32_t best = UINT32_MAX;

  for (const struct pool_server *s = p->servers; s; s = s->hh.next)
    {
      const struct placed_model *m = pool_model (s, need->model);

      if (!m || m->state != HELD_LOADING || !str_eq (s->service, need->service)
          || !pool_server_usable (s, now_ms))
        continue;
      const uint64_t left = m->ready_ms > now_ms ? m->ready_ms - now_ms : 0;
      if (left < best)
        best = (uint32_t)left;
    }
  return best;
}
