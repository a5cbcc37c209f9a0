#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "sched_impl.h"

/* Reports about a dead instance are ignored for this long, because the status
   of the platform lags. A target restarts in less time than that. */
#define DEAD_IGNORE_MS 5000
#define REPLICAS_MAX 1024
#define REJECT_PAUSE_MS 50
#define REJECT_PAUSE_MAX_MS 2000

bool
replica_available (const struct sched_replica *r)
{
  return r->used && !r->leaving && !r->runs_suspect && !r->reserved
         && !r->paused;
}

bool
replica_has_free_slot (const struct sched_replica *r)
{
  return (r->slots == 0 || r->in_flight < r->slots)
         && (r->in_flight_limit == 0 || r->in_flight < r->in_flight_limit);
}

bool
replica_has_variant (const struct sched *s, const struct sched_replica *r,
                     const struct variant *variant)
{
  if (variant == s->base)
    return true;
  for (size_t i = 0; i < r->adapter_count; i++)
    if (r->adapters[i] == variant)
      return true;
  return false;
}

static bool
is_excluded (const struct waiter *w, const struct sched_replica *r)
{
  for (size_t i = 0; i < w->excluded_count; i++)
    if (w->excluded[i] == r->target_hash)
      return true;
  return false;
}

bool
replica_eligible (const struct sched *s, const struct waiter *w,
                  const struct sched_replica *r, bool ignore_exclusions)
{
  return replica_available (r) && replica_has_variant (s, r, w->variant)
         && (ignore_exclusions || !is_excluded (w, r));
}

/* Occupied replicas count as alternatives: the request waits for one of them
   rather than return to a target on which it failed. */
bool
exclusions_ignored (const struct sched *s, const struct waiter *w)
{
  if (w->excluded_count == 0)
    return true;
  for (size_t i = 0; i < s->replica_cap; i++)
    {
      const struct sched_replica *r = &s->replicas[i];

      if (r->used && !r->leaving && replica_has_variant (s, r, w->variant)
          && !is_excluded (w, r))
        return false;
    }
  return true;
}

size_t
replica_find (const struct sched *s, uint64_t hash)
{
  for (size_t i = 0; i < s->replica_cap; i++)
    if (s->replicas[i].used && s->replicas[i].target_hash == hash)
      return i;
  return NO_REPLICA;
}

void
replica_ignore_reports (struct sched *s, const struct sched_replica *r,
                        uint64_t until_ms)
{
  s->ignored[s->next_ignored++ % IGNORED_TARGETS_MAX]
      = (struct ignored_target){
          .target_hash = r->target_hash,
          .instance = r->instance,
          .until_ms = until_ms,
        };
}

void
replica_throttle (struct sched_replica *r, uint64_t now_ms)
{
  const uint32_t others = r->in_flight - 1;

  r->in_flight_limit = others > 0 ? others : 1;
  r->completed_at_limit = 0;
  if (others > 0)
    return;
  r->paused = true;
  r->pause_ms = r->pause_ms ? r->pause_ms * 2 : REJECT_PAUSE_MS;
  if (r->pause_ms > REJECT_PAUSE_MAX_MS)
    r->pause_ms = REJECT_PAUSE_MAX_MS;
  r->paused_until_ms = now_ms + r->pause_ms;
}

void
replica_completed (struct sched_replica *r)
{
  r->paused = false;
  r->pause_ms = 0;
  if (r->in_flight_limit == 0 || ++r->completed_at_limit < r->in_flight_limit)
    return;
  r->completed_at_limit = 0;
  r->in_flight_limit++;
  if (r->slots > 0 && r->in_flight_limit >= r->slots)
    r->in_flight_limit = 0;
}

void
replicas_end_pauses (struct sched *s, uint64_t now_ms)
{
  for (size_t i = 0; i < s->replica_cap; i++)
    if (now_ms >= s->replicas[i].paused_until_ms)
      s->replicas[i].paused = false;
}

static bool
reports_ignored (const struct sched *s, uint64_t hash, uint64_t instance,
                 uint64_t now_ms)
{
  for (size_t i = 0; i < IGNORED_TARGETS_MAX; i++)
    if (s->ignored[i].target_hash == hash && s->ignored[i].instance == instance
        && now_ms < s->ignored[i].until_ms)
      return true;
  return false;
}

void
replica_remove (struct sched *s, size_t index)
{
  struct sched_replica *r = &s->replicas[index];
  struct waiter *w;
  struct grant *g;
  struct grant *next;

  DL_FOREACH (s->queue, w)
  {
    if (w->reserved_replica == index)
      w->reserved_replica = NO_REPLICA;
  }
  HASH_ITER (hh, s->grants, g, next)
  {
    if (g->replica == index)
      g->replica = NO_REPLICA;
  }
  release_reservation (s, r);
  str_free (&r->target);
  str_free (&r->domain);
  free (r->adapters);
  *r = (struct sched_replica){ 0 };
}

static size_t
unused_index (struct sched *s)
{
  const size_t old = s->replica_cap;

  for (size_t i = 0; i < old; i++)
    if (!s->replicas[i].used)
      return i;
  if (old == REPLICAS_MAX)
    return NO_REPLICA;
  s->replica_cap = old ? old * 2 : 4;
  s->replicas = xrealloc (s->replicas, s->replica_cap * sizeof *s->replicas);
  memset (s->replicas + old, 0, (s->replica_cap - old) * sizeof *s->replicas);
  return old;
}

/* Attaches the unreleased grants on a target to its replica, when the target
   is reported again after it was missing. */
static void
attach_grants (struct sched *s, size_t index)
{
  struct sched_replica *r = &s->replicas[index];
  struct grant *g;
  struct grant *next;

  HASH_ITER (hh, s->grants, g, next)
  {
    if (g->death_counted || g->target_hash != r->target_hash
        || g->instance != r->instance)
      continue;
    g->replica = index;
    r->in_flight++;
    r->runs_suspect |= g->suspect_run;
  }
}

static size_t
add_replica (struct sched *s, const struct sched_target *t, uint64_t hash)
{
  const size_t i = unused_index (s);

  if (i == NO_REPLICA)
    return i;
  s->replicas[i] = (struct sched_replica){
    .used = true,
    .target = str_dup (t->target),
    .domain = str_dup (t->domain),
    .target_hash = hash,
    .instance = t->instance,
  };
  attach_grants (s, i);
  return i;
}

/* Adds or updates a target unless reports about it are ignored. Returns the
   index of its replica, or NO_REPLICA if there is none. */
static size_t
update_target (struct sched *s, const struct sched_target *t, uint64_t now_ms)
{
  const uint64_t hash = str_hash (t->target, 0);
  size_t i = replica_find (s, hash);

  if (reports_ignored (s, hash, t->instance, now_ms))
    return i;
  if (i != NO_REPLICA && s->replicas[i].instance != t->instance)
    {
      replica_remove (s, i);
      i = NO_REPLICA;
    }
  if (i == NO_REPLICA)
    i = add_replica (s, t, hash);
  if (i == NO_REPLICA)
    return i;
  s->replicas[i].fence = t->fence;
  s->replicas[i].slots = t->slots;
  /* A target that is leaving stays so until it restarts as a new instance. */
  s->replicas[i].leaving |= t->leaving;
  return i;
}

static bool
is_listed (const struct sched_target *targets, size_t count, uint64_t hash)
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
    if (s->replicas[i].used
        && !is_listed (targets, count, s->replicas[i].target_hash))
      replica_remove (s, i);
  for (size_t i = 0; i < count; i++)
    update_target (s, &targets[i], now_ms);
  dispatch_and_wake (s, now_ms);
}

void
replica_drop_adapter (struct sched_replica *r, const struct variant *variant)
{
  for (size_t i = 0; i < r->adapter_count; i++)
    if (r->adapters[i] == variant)
      {
        r->adapters[i] = r->adapters[--r->adapter_count];
        return;
      }
}

static void
add_adapter (struct sched_replica *r, const struct variant *variant)
{
  const size_t bytes = (r->adapter_count + 1) * sizeof (struct variant *);

  r->adapters = xrealloc (r->adapters, bytes);
  r->adapters[r->adapter_count++] = variant;
}

void
sched_targets_loaded (struct sched *s, struct str adapter,
                      const struct sched_target *targets, size_t count,
                      uint64_t now_ms)
{
  const struct variant *variant = variant_get (s, adapter);

  for (size_t i = 0; i < count; i++)
    {
      const size_t at = update_target (s, &targets[i], now_ms);

      if (at != NO_REPLICA
          && !replica_has_variant (s, &s->replicas[at], variant))
        add_adapter (&s->replicas[at], variant);
    }
  dispatch_and_wake (s, now_ms);
}

void
sched_adapter_targets (struct sched *s, struct str adapter,
                       const struct sched_target *targets, size_t count,
                       uint64_t now_ms)
{
  const struct variant *variant = variant_get (s, adapter);

  if (variant == s->base)
    return;
  for (size_t i = 0; i < s->replica_cap; i++)
    if (s->replicas[i].used
        && !is_listed (targets, count, s->replicas[i].target_hash))
      replica_drop_adapter (&s->replicas[i], variant);
  sched_targets_loaded (s, adapter, targets, count, now_ms);
}

void
sched_target_leaving (struct sched *s, struct str target, uint64_t now_ms)
{
  const size_t i = replica_find (s, str_hash (target, 0));

  if (i == NO_REPLICA || s->replicas[i].leaving)
    return;
  s->replicas[i].leaving = true;
  dispatch_and_wake (s, now_ms);
}

void
release_reservation (struct sched *s, struct sched_replica *r)
{
  if (r->lock_requested)
    action_add (s, SCHED_UNLOCK, r->target);
  r->reserved = false;
  r->lock_requested = false;
  r->lock_held = false;
}

bool
suspect_may_start (const struct sched *s, const struct sched_replica *r)
{
  return r->in_flight == 0 && (!s->config.lock || r->lock_held);
}

void
sched_lock_result (struct sched *s, struct str target, bool held,
                   uint64_t now_ms)
{
  const size_t i = replica_find (s, str_hash (target, 0));
  struct waiter *w;

  if (i == NO_REPLICA || !s->replicas[i].lock_requested)
    return;
  s->replicas[i].lock_held = held;
  s->replicas[i].lock_requested = held;
  if (!held)
    {
      s->replicas[i].reserved = false;
      DL_FOREACH (s->queue, w)
      {
        if (w->reserved_replica == i)
          w->reserved_replica = NO_REPLICA;
      }
    }
  dispatch_and_wake (s, now_ms);
}

/* Returns true if another replica may be reserved. At most a quarter of the
   replicas, but at least one, serve suspects, so that the suspects of a busy
   target do not block all other requests. */
static bool
may_reserve_replica (const struct sched *s)
{
  size_t total = 0;
  size_t for_suspects = 0;

  for (size_t i = 0; i < s->replica_cap; i++)
    {
      const struct sched_replica *r = &s->replicas[i];

      total += r->used && !r->leaving;
      for_suspects
          += r->used && !r->leaving && (r->runs_suspect || r->reserved);
    }
  return for_suspects < (total / 4 > 1 ? total / 4 : 1);
}

size_t
reserve_replica (struct sched *s, struct waiter *w)
{
  const bool ignore_exclusions = exclusions_ignored (s, w);
  size_t best = NO_REPLICA;

  if (w->reserved_replica != NO_REPLICA
      && s->replicas[w->reserved_replica].leaving)
    {
      release_reservation (s, &s->replicas[w->reserved_replica]);
      w->reserved_replica = NO_REPLICA;
    }
  if (w->reserved_replica != NO_REPLICA || !may_reserve_replica (s))
    return w->reserved_replica;
  for (size_t i = 0; i < s->replica_cap; i++)
    if (replica_eligible (s, w, &s->replicas[i], ignore_exclusions)
        && (best == NO_REPLICA
            || s->replicas[i].in_flight < s->replicas[best].in_flight))
      best = i;
  w->reserved_replica = best;
  if (best == NO_REPLICA)
    return best;
  s->replicas[best].reserved = true;
  s->replicas[best].lock_requested = s->config.lock;
  if (s->config.lock)
    action_add (s, SCHED_LOCK, s->replicas[best].target);
  return best;
}

static void
record_crash (struct sched *s, struct grant *g, uint64_t event,
              uint64_t now_ms)
{
  const uint32_t crashes
      = crash_record_death (s->crash, g->fingerprint, event, now_ms);

  g->death_counted = true;
  if (crashes == 0)
    return;
  action_add (s, crashes == 1 ? SCHED_SUSPECT : SCHED_QUARANTINE, g->target)
      ->fingerprint
      = g->fingerprint;
}

void
record_target_death (struct sched *s, uint64_t target, uint64_t instance,
                     uint64_t event, uint64_t now_ms)
{
  const size_t i = replica_find (s, target);
  struct grant *g;
  struct grant *next;

  HASH_ITER (hh, s->grants, g, next)
  {
    if (!g->death_counted && g->target_hash == target
        && g->instance == instance)
      record_crash (s, g, event, now_ms);
  }
  if (i == NO_REPLICA || s->replicas[i].instance != instance)
    return;
  replica_ignore_reports (s, &s->replicas[i], now_ms + DEAD_IGNORE_MS);
  replica_remove (s, i);
}

void
sched_target_lost (struct sched *s, struct str target, uint64_t instance,
                   uint64_t event, uint64_t now_ms)
{
  record_target_death (s, str_hash (target, 0), instance, event, now_ms);
  dispatch_and_wake (s, now_ms);
}
