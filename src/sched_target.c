#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "sched_impl.h"

/* Reports of a dead instance are ignored this long: the platform's status
   lags, and a target restarts in less time than that. */
#define DEAD_DISTRUST_MS 5000
#define REPLICA_MAX 1024
#define PAUSE_MS 50
#define PAUSE_MAX_MS 2000

bool
replica_open (const struct replica_slot *r)
{
  return r->used && !r->leaving && !r->alone && !r->reserved && !r->paused;
}

bool
replica_free (const struct replica_slot *r)
{
  return (r->slots == 0 || r->in_flight < r->slots)
         && (r->limit == 0 || r->in_flight < r->limit);
}

bool
replica_has (const struct sched *s, const struct replica_slot *r,
             const struct need *need)
{
  if (need == s->model)
    return true;
  for (size_t i = 0; i < r->adapter_count; i++)
    if (r->adapters[i] == need)
      return true;
  return false;
}

static bool
excludes (const struct waiter *w, const struct replica_slot *r)
{
  for (size_t i = 0; i < w->excluded_count; i++)
    if (w->excluded[i] == r->hash)
      return true;
  return false;
}

bool
replica_eligible (const struct sched *s, const struct waiter *w,
                  const struct replica_slot *r, bool soft)
{
  return replica_open (r) && replica_has (s, r, w->need)
         && (soft || !excludes (w, r));
}

/* Occupied replicas count: the request waits for one of them rather than go
   back to a target that failed it. */
bool
exclusions_void (const struct sched *s, const struct waiter *w)
{
  if (w->excluded_count == 0)
    return true;
  for (size_t i = 0; i < s->replica_cap; i++)
    {
      const struct replica_slot *r = &s->replicas[i];

      if (r->used && !r->leaving && replica_has (s, r, w->need)
          && !excludes (w, r))
        return false;
    }
  return true;
}

size_t
replica_find (const struct sched *s, uint64_t hash)
{
  for (size_t i = 0; i < s->replica_cap; i++)
    if (s->replicas[i].used && s->replicas[i].hash == hash)
      return i;
  return NO_REPLICA;
}

void
replica_distrust (struct sched *s, const struct replica_slot *r,
                  uint64_t until_ms)
{
  s->distrust[s->distrust_next++ % DISTRUST_MAX] = (struct distrust){
    .target = r->hash,
    .instance = r->instance,
    .until_ms = until_ms,
  };
}

void
replica_not_run (struct replica_slot *r, uint64_t now_ms)
{
  const uint32_t others = r->in_flight - 1;

  r->limit = others > 0 ? others : 1;
  r->done = 0;
  if (others > 0)
    return;
  r->paused = true;
  r->pause_ms = r->pause_ms ? r->pause_ms * 2 : PAUSE_MS;
  if (r->pause_ms > PAUSE_MAX_MS)
    r->pause_ms = PAUSE_MAX_MS;
  r->paused_until_ms = now_ms + r->pause_ms;
}

void
replica_done (struct replica_slot *r)
{
  r->paused = false;
  r->pause_ms = 0;
  if (r->limit == 0 || ++r->done < r->limit)
    return;
  r->done = 0;
  r->limit++;
  if (r->slots > 0 && r->limit >= r->slots)
    r->limit = 0;
}

void
replica_unpause (struct sched *s, uint64_t now_ms)
{
  for (size_t i = 0; i < s->replica_cap; i++)
    if (now_ms >= s->replicas[i].paused_until_ms)
      s->replicas[i].paused = false;
}

static bool
distrusted (const struct sched *s, uint64_t hash, uint64_t instance,
            uint64_t now_ms)
{
  for (size_t i = 0; i < DISTRUST_MAX; i++)
    if (s->distrust[i].target == hash && s->distrust[i].instance == instance
        && now_ms < s->distrust[i].until_ms)
      return true;
  return false;
}

void
replica_remove (struct sched *s, size_t index)
{
  struct replica_slot *r = &s->replicas[index];
  struct waiter *w;
  struct grant *g;
  struct grant *next;

  DL_FOREACH (s->queue, w)
  {
    if (w->reserved == index)
      w->reserved = NO_REPLICA;
  }
  HASH_ITER (hh, s->grants, g, next)
  {
    if (g->replica == index)
      g->replica = NO_REPLICA;
  }
  unreserve (s, r);
  str_free (&r->target);
  str_free (&r->domain);
  free (r->adapters);
  *r = (struct replica_slot){ 0 };
}

static size_t
unused_slot (struct sched *s)
{
  const size_t old = s->replica_cap;

  for (size_t i = 0; i < old; i++)
    if (!s->replicas[i].used)
      return i;
  if (old == REPLICA_MAX)
    return NO_REPLICA;
  s->replica_cap = old ? old * 2 : 4;
  s->replicas = xrealloc (s->replicas, s->replica_cap * sizeof *s->replicas);
  memset (s->replicas + old, 0, (s->replica_cap - old) * sizeof *s->replicas);
  return old;
}

/* Counts the grants that are out on a target that comes back into view. */
static void
adopt_grants (struct sched *s, size_t index)
{
  struct replica_slot *r = &s->replicas[index];
  struct grant *g;
  struct grant *next;

  HASH_ITER (hh, s->grants, g, next)
  {
    if (g->died || g->target_hash != r->hash || g->instance != r->instance)
      continue;
    g->replica = index;
    r->in_flight++;
    r->alone |= g->alone;
  }
}

static size_t
add (struct sched *s, const struct sched_target *t, uint64_t hash)
{
  const size_t i = unused_slot (s);

  if (i == NO_REPLICA)
    return i;
  s->replicas[i] = (struct replica_slot){
    .used = true,
    .target = str_dup (t->target),
    .domain = str_dup (t->domain),
    .hash = hash,
    .instance = t->instance,
  };
  adopt_grants (s, i);
  return i;
}

/* Adds or updates a target; NO_REPLICA if the report is not believed. */
static size_t
upsert (struct sched *s, const struct sched_target *t, uint64_t now_ms)
{
  const uint64_t hash = str_hash (t->target, 0);
  size_t i = replica_find (s, hash);

  if (distrusted (s, hash, t->instance, now_ms))
    return i;
  if (i != NO_REPLICA && s->replicas[i].instance != t->instance)
    {
      replica_remove (s, i);
      i = NO_REPLICA;
    }
  if (i == NO_REPLICA)
    i = add (s, t, hash);
  if (i == NO_REPLICA)
    return i;
  s->replicas[i].fence = t->fence;
  s->replicas[i].slots = t->slots;
  /* A target does not return from leaving without a restart. */
  s->replicas[i].leaving |= t->leaving;
  return i;
}

static bool
listed (const struct sched_target *targets, size_t count, uint64_t hash)
{
  for (size_t i = 0; i < count; i++)
    if (str_hash (targets[i].target, 0) == hash)
      return true;
  return false;
}

void
sched_targets (struct sched *s, const struct sched_target *targets,
               size_t count, uint64_t now_ms)
{
  for (size_t i = 0; i < s->replica_cap; i++)
    if (s->replicas[i].used && !listed (targets, count, s->replicas[i].hash))
      replica_remove (s, i);
  for (size_t i = 0; i < count; i++)
    upsert (s, &targets[i], now_ms);
  settle (s, now_ms);
}

void
replica_drop_adapter (struct replica_slot *r, const struct need *need)
{
  for (size_t i = 0; i < r->adapter_count; i++)
    if (r->adapters[i] == need)
      {
        r->adapters[i] = r->adapters[--r->adapter_count];
        return;
      }
}

static void
add_adapter (struct replica_slot *r, const struct need *need)
{
  const size_t bytes = (r->adapter_count + 1) * sizeof (struct need *);

  r->adapters = xrealloc (r->adapters, bytes);
  r->adapters[r->adapter_count++] = need;
}

void
sched_loaded (struct sched *s, struct str adapter,
              const struct sched_target *targets, size_t count,
              uint64_t now_ms)
{
  const struct need *need = need_get (s, adapter);

  for (size_t i = 0; i < count; i++)
    {
      const size_t at = upsert (s, &targets[i], now_ms);

      if (at != NO_REPLICA && !replica_has (s, &s->replicas[at], need))
        add_adapter (&s->replicas[at], need);
    }
  settle (s, now_ms);
}

void
sched_adapter (struct sched *s, struct str adapter,
               const struct sched_target *targets, size_t count,
               uint64_t now_ms)
{
  const struct need *need = need_get (s, adapter);

  if (need == s->model)
    return;
  for (size_t i = 0; i < s->replica_cap; i++)
    if (s->replicas[i].used && !listed (targets, count, s->replicas[i].hash))
      replica_drop_adapter (&s->replicas[i], need);
  sched_loaded (s, adapter, targets, count, now_ms);
}

void
sched_leaving (struct sched *s, struct str target, uint64_t now_ms)
{
  const size_t i = replica_find (s, str_hash (target, 0));

  if (i == NO_REPLICA || s->replicas[i].leaving)
    return;
  s->replicas[i].leaving = true;
  settle (s, now_ms);
}

void
unreserve (struct sched *s, struct replica_slot *r)
{
  if (r->locking)
    action_add (s, SCHED_UNLOCK, r->target);
  r->reserved = false;
  r->locking = false;
  r->locked = false;
}

bool
ready_alone (const struct sched *s, const struct replica_slot *r)
{
  return r->in_flight == 0 && (!s->config.lock || r->locked);
}

void
sched_locked (struct sched *s, struct str target, bool held, uint64_t now_ms)
{
  const size_t i = replica_find (s, str_hash (target, 0));
  struct waiter *w;

  if (i == NO_REPLICA || !s->replicas[i].locking)
    return;
  s->replicas[i].locked = held;
  s->replicas[i].locking = held;
  if (!held)
    {
      s->replicas[i].reserved = false;
      DL_FOREACH (s->queue, w)
      {
        if (w->reserved == i)
          w->reserved = NO_REPLICA;
      }
    }
  settle (s, now_ms);
}

/* At most a quarter of the replicas, and one at least, serve suspects, so
   that the suspects of a busy target do not stop all other work. */
static bool
may_reserve (const struct sched *s)
{
  size_t total = 0;
  size_t taken = 0;

  for (size_t i = 0; i < s->replica_cap; i++)
    {
      const struct replica_slot *r = &s->replicas[i];

      total += r->used && !r->leaving;
      taken += r->used && !r->leaving && (r->alone || r->reserved);
    }
  return taken < (total / 4 > 1 ? total / 4 : 1);
}

size_t
reserve (struct sched *s, struct waiter *w)
{
  const bool soft = exclusions_void (s, w);
  size_t best = NO_REPLICA;

  if (w->reserved != NO_REPLICA && s->replicas[w->reserved].leaving)
    {
      unreserve (s, &s->replicas[w->reserved]);
      w->reserved = NO_REPLICA;
    }
  if (w->reserved != NO_REPLICA || !may_reserve (s))
    return w->reserved;
  for (size_t i = 0; i < s->replica_cap; i++)
    if (replica_eligible (s, w, &s->replicas[i], soft)
        && (best == NO_REPLICA
            || s->replicas[i].in_flight < s->replicas[best].in_flight))
      best = i;
  w->reserved = best;
  if (best == NO_REPLICA)
    return best;
  s->replicas[best].reserved = true;
  s->replicas[best].locking = s->config.lock;
  if (s->config.lock)
    action_add (s, SCHED_LOCK, s->replicas[best].target);
  return best;
}

static void
note_death (struct sched *s, struct grant *g, uint64_t event, uint64_t now_ms)
{
  const uint32_t crashes
      = crash_died (s->crash, g->fingerprint, event, now_ms);

  g->died = true;
  if (crashes == 0)
    return;
  action_add (s, crashes == 1 ? SCHED_SUSPECT : SCHED_QUARANTINE, g->target)
      ->fingerprint
      = g->fingerprint;
}

void
grants_died (struct sched *s, uint64_t target, uint64_t instance,
             uint64_t event, uint64_t now_ms)
{
  const size_t i = replica_find (s, target);
  struct grant *g;
  struct grant *next;

  HASH_ITER (hh, s->grants, g, next)
  {
    if (!g->died && g->target_hash == target && g->instance == instance)
      note_death (s, g, event, now_ms);
  }
  if (i == NO_REPLICA || s->replicas[i].instance != instance)
    return;
  replica_distrust (s, &s->replicas[i], now_ms + DEAD_DISTRUST_MS);
  replica_remove (s, i);
}

void
sched_lost (struct sched *s, struct str target, uint64_t instance,
            uint64_t event, uint64_t now_ms)
{
  grants_died (s, str_hash (target, 0), instance, event, now_ms);
  settle (s, now_ms);
}
