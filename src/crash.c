#include "crash.h"

#include <stdlib.h>

#include <uthash.h>

#include "err.h"

/* A suspect that neither completes nor crashes again within this time becomes
   unproven again. */
#define SUSPECT_MS (60 * 60 * 1000)

enum crash_state
{
  STATE_UNPROVEN,    /* new, or a suspect that expired */
  STATE_PROVEN,      /* completed since its last crash */
  STATE_SUSPECT,     /* one crash, or its quarantine has expired */
  STATE_QUARANTINED, /* another crash as a suspect */
};

struct crash_entry
{
  uint64_t fingerprint;
  uint64_t target;        /* of the newest run */
  uint64_t last_death_id; /* newest one counted */
  uint64_t expires_ms;    /* of the suspect state or the quarantine */
  enum crash_state state;
  uint32_t running;
  UT_hash_handle hh;
};

struct crash
{
  struct crash_entry *entries; /* least recently used first */
  size_t max;
  size_t marked; /* suspect and quarantined entries */
  uint64_t last_death_id;
};

struct crash *
crash_create (size_t max)
{
  struct crash *c = xcalloc (1, sizeof *c);

  c->max = max;
  return c;
}

void
crash_destroy (struct crash *c)
{
  struct crash_entry *e;
  struct crash_entry *next;

  if (!c)
    return;
  HASH_ITER (hh, c->entries, e, next)
  {
    HASH_DEL (c->entries, e);
    free (e);
  }
  free (c);
}

static bool
is_marked (const struct crash_entry *e)
{
  return e->state == STATE_SUSPECT || e->state == STATE_QUARANTINED;
}

static void
set_state (struct crash *c, struct crash_entry *e, enum crash_state state)
{
  c->marked -= is_marked (e);
  e->state = state;
  c->marked += is_marked (e);
}

static void
delete_entry (struct crash *c, struct crash_entry *e)
{
  c->marked -= is_marked (e);
  HASH_DEL (c->entries, e);
  free (e);
}

static void
move_to_newest (struct crash *c, struct crash_entry *e)
{
  HASH_DEL (c->entries, e);
  HASH_ADD (hh, c->entries, fingerprint, sizeof e->fingerprint, e);
}

/* Evicts the least recently used entries until another one fits. Keeps entries
   that are in flight, and marked entries while they are at most half of the
   capacity, so that a flood of new fingerprints does not erase a quarantine.
   Kept entries move to the newest end, which bounds the amortised work. */
static void
evict_for_insert (struct crash *c)
{
  size_t tries = HASH_COUNT (c->entries);

  while (HASH_COUNT (c->entries) >= c->max && tries-- > 0)
    {
      struct crash_entry *e = c->entries;

      if (!e)
        return;
      if (e->running > 0 || (is_marked (e) && c->marked <= c->max / 2))
        move_to_newest (c, e);
      else
        delete_entry (c, e);
    }
}

static struct crash_entry *
find (const struct crash *c, uint64_t fingerprint)
{
  struct crash_entry *e;

  HASH_FIND (hh, c->entries, &fingerprint, sizeof fingerprint, e);
  return e;
}

static struct crash_entry *
find_or_insert (struct crash *c, uint64_t fingerprint)
{
  struct crash_entry *e = find (c, fingerprint);

  if (e)
    {
      move_to_newest (c, e);
      return e;
    }
  evict_for_insert (c);
  e = xcalloc (1, sizeof *e);
  e->fingerprint = fingerprint;
  HASH_ADD (hh, c->entries, fingerprint, sizeof e->fingerprint, e);
  return e;
}

/* Applies an expiry that is due. An expired quarantine leaves a suspect, which
   runs alone and is quarantined again after one more crash. */
static void
apply_expiry (struct crash *c, struct crash_entry *e, uint64_t now_ms)
{
  if (!is_marked (e) || now_ms < e->expires_ms)
    return;
  if (e->state == STATE_SUSPECT)
    {
      set_state (c, e, STATE_UNPROVEN);
      return;
    }
  set_state (c, e, STATE_SUSPECT);
  e->expires_ms = now_ms + SUSPECT_MS;
}

struct crash_verdict
crash_check (struct crash *c, uint64_t fingerprint, uint64_t now_ms)
{
  struct crash_entry *e = fingerprint ? find (c, fingerprint) : NULL;

  if (!e)
    return (struct crash_verdict){ .rule = CRASH_ANYWHERE };
  apply_expiry (c, e, now_ms);
  switch (e->state)
    {
    case STATE_QUARANTINED:
      return (struct crash_verdict){ .rule = CRASH_QUARANTINED,
                                     .quarantine_left_ms
                                     = (uint32_t)(e->expires_ms - now_ms) };
    case STATE_SUSPECT:
      return (struct crash_verdict){ .rule = e->running > 0 ? CRASH_WAIT
                                                            : CRASH_ISOLATED };
    case STATE_UNPROVEN:
      if (e->running > 0)
        return (struct crash_verdict){ .rule = CRASH_SAME_TARGET,
                                       .target = e->target };
      break;
    case STATE_PROVEN:
      break;
    }
  return (struct crash_verdict){ .rule = CRASH_ANYWHERE };
}

void
crash_begin (struct crash *c, uint64_t fingerprint, uint64_t target,
             uint64_t now_ms)
{
  if (fingerprint == 0)
    return;
  struct crash_entry *e = find_or_insert (c, fingerprint);

  apply_expiry (c, e, now_ms);
  e->running++;
  e->target = target;
}

bool
crash_end (struct crash *c, uint64_t fingerprint, bool completed,
           uint64_t now_ms)
{
  struct crash_entry *e = fingerprint ? find (c, fingerprint) : NULL;

  if (!e)
    {
      if (completed && fingerprint)
        find_or_insert (c, fingerprint)->state = STATE_PROVEN;
      return false;
    }
  apply_expiry (c, e, now_ms);
  if (e->running > 0)
    e->running--;
  /* A late response of another run does not lift a quarantine. */
  if (!completed || e->state == STATE_QUARANTINED)
    return false;
  const bool cleared = e->state == STATE_SUSPECT;

  set_state (c, e, STATE_PROVEN);
  return cleared;
}

uint64_t
crash_next_death_id (struct crash *c)
{
  return ++c->last_death_id;
}

static void
quarantine (struct crash *c, struct crash_entry *e, uint64_t expires_ms)
{
  set_state (c, e, STATE_QUARANTINED);
  if (expires_ms > e->expires_ms)
    e->expires_ms = expires_ms;
}

uint32_t
crash_record_death (struct crash *c, uint64_t fingerprint, uint64_t death_id,
                    uint64_t now_ms)
{
  if (fingerprint == 0)
    return 0;
  struct crash_entry *e = find_or_insert (c, fingerprint);

  apply_expiry (c, e, now_ms);
  if (e->last_death_id == death_id)
    return 0;
  e->last_death_id = death_id;
  if (is_marked (e))
    {
      e->expires_ms = 0;
      quarantine (c, e, now_ms + CRASH_QUARANTINE_MS);
      return 2;
    }
  set_state (c, e, STATE_SUSPECT);
  e->expires_ms = now_ms + SUSPECT_MS;
  return 1;
}

void
crash_merge (struct crash *c, uint64_t fingerprint, uint32_t crashes,
             uint32_t left_ms, uint64_t now_ms)
{
  struct crash_entry *e = fingerprint ? find (c, fingerprint) : NULL;

  if (fingerprint == 0 || (!e && crashes == 0))
    return;
  e = find_or_insert (c, fingerprint);
  apply_expiry (c, e, now_ms);
  if (crashes >= 2)
    {
      if (e->state != STATE_QUARANTINED)
        e->expires_ms = 0;
      quarantine (c, e, now_ms + left_ms);
    }
  else if (crashes == 1 && !is_marked (e))
    {
      set_state (c, e, STATE_SUSPECT);
      e->expires_ms = now_ms + SUSPECT_MS;
    }
  else if (crashes == 0 && e->state == STATE_SUSPECT)
    set_state (c, e, STATE_PROVEN);
}

uint32_t
crash_running (const struct crash *c, uint64_t fingerprint)
{
  const struct crash_entry *e = find (c, fingerprint);

  return e ? e->running : 0;
}

size_t
crash_marked_count (const struct crash *c)
{
  return c->marked;
}

size_t
crash_count (const struct crash *c)
{
  return HASH_COUNT (c->entries);
}
