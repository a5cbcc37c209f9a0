#include "crash.h"

#include <stdlib.h>

#include <uthash.h>

#include "err.h"

/* A suspect that nobody sends again is forgotten after this time. */
#define SUSPECT_MS (60 * 60 * 1000)

enum state
{
  STATE_UNPROVEN,
  STATE_PROVEN,
  STATE_SUSPECT,
  STATE_QUARANTINED,
};

struct entry
{
  uint64_t fingerprint;
  uint64_t target; /* of the newest run */
  uint64_t event;  /* newest counted death */
  uint64_t until_ms;
  enum state state;
  uint32_t running;
  UT_hash_handle hh;
};

struct crash
{
  struct entry *entries; /* oldest use first */
  size_t max;
  size_t marked;
  uint64_t events;
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
  struct entry *e;
  struct entry *next;

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
marked (const struct entry *e)
{
  return e->state == STATE_SUSPECT || e->state == STATE_QUARANTINED;
}

static void
set_state (struct crash *c, struct entry *e, enum state state)
{
  c->marked -= marked (e);
  e->state = state;
  c->marked += marked (e);
}

static void
drop (struct crash *c, struct entry *e)
{
  c->marked -= marked (e);
  HASH_DEL (c->entries, e);
  free (e);
}

static void
move_to_end (struct crash *c, struct entry *e)
{
  HASH_DEL (c->entries, e);
  HASH_ADD (hh, c->entries, fingerprint, sizeof e->fingerprint, e);
}

/* Makes room for one entry. Running ones stay; marked ones stay while they
   are at most half of the record, so that a flood of new fingerprints does
   not erase a quarantine. Kept entries go to the end, which bounds the work
   per call on average. */
static void
make_room (struct crash *c)
{
  size_t tries = HASH_COUNT (c->entries);

  while (HASH_COUNT (c->entries) >= c->max && tries-- > 0)
    {
      struct entry *e = c->entries;

      if (!e)
        return;
      if (e->running > 0 || (marked (e) && c->marked <= c->max / 2))
        move_to_end (c, e);
      else
        drop (c, e);
    }
}

static struct entry *
find (const struct crash *c, uint64_t fingerprint)
{
  struct entry *e;

  HASH_FIND (hh, c->entries, &fingerprint, sizeof fingerprint, e);
  return e;
}

static struct entry *
touch (struct crash *c, uint64_t fingerprint)
{
  struct entry *e = find (c, fingerprint);

  if (e)
    {
      move_to_end (c, e);
      return e;
    }
  make_room (c);
  e = xcalloc (1, sizeof *e);
  e->fingerprint = fingerprint;
  HASH_ADD (hh, c->entries, fingerprint, sizeof e->fingerprint, e);
  return e;
}

/* A quarantine that is over leaves a suspect: it runs alone, and one more
   crash quarantines it again. */
static void
expire (struct crash *c, struct entry *e, uint64_t now_ms)
{
  if (!marked (e) || now_ms < e->until_ms)
    return;
  if (e->state == STATE_SUSPECT)
    {
      set_state (c, e, STATE_UNPROVEN);
      return;
    }
  set_state (c, e, STATE_SUSPECT);
  e->until_ms = now_ms + SUSPECT_MS;
}

struct crash_verdict
crash_check (struct crash *c, uint64_t fingerprint, uint64_t now_ms)
{
  struct entry *e = fingerprint ? find (c, fingerprint) : NULL;

  if (!e)
    return (struct crash_verdict){ .rule = CRASH_ANYWHERE };
  expire (c, e, now_ms);
  switch (e->state)
    {
    case STATE_QUARANTINED:
      return (struct crash_verdict){ .rule = CRASH_REFUSED,
                                     .left_ms
                                     = (uint32_t)(e->until_ms - now_ms) };
    case STATE_SUSPECT:
      return (struct crash_verdict){ .rule = e->running > 0 ? CRASH_WAIT
                                                            : CRASH_ALONE };
    case STATE_UNPROVEN:
      if (e->running > 0)
        return (struct crash_verdict){ .rule = CRASH_HERE,
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
  struct entry *e = touch (c, fingerprint);

  expire (c, e, now_ms);
  e->running++;
  e->target = target;
}

bool
crash_end (struct crash *c, uint64_t fingerprint, bool completed,
           uint64_t now_ms)
{
  struct entry *e = fingerprint ? find (c, fingerprint) : NULL;

  if (!e)
    {
      if (completed && fingerprint)
        touch (c, fingerprint)->state = STATE_PROVEN;
      return false;
    }
  expire (c, e, now_ms);
  if (e->running > 0)
    e->running--;
  /* A late answer of another run does not lift a quarantine. */
  if (!completed || e->state == STATE_QUARANTINED)
    return false;
  const bool cleared = e->state == STATE_SUSPECT;

  set_state (c, e, STATE_PROVEN);
  return cleared;
}

uint64_t
crash_event (struct crash *c)
{
  return ++c->events;
}

static void
quarantine (struct crash *c, struct entry *e, uint64_t until_ms)
{
  set_state (c, e, STATE_QUARANTINED);
  if (until_ms > e->until_ms)
    e->until_ms = until_ms;
}

uint32_t
crash_died (struct crash *c, uint64_t fingerprint, uint64_t event,
            uint64_t now_ms)
{
  if (fingerprint == 0)
    return 0;
  struct entry *e = touch (c, fingerprint);

  expire (c, e, now_ms);
  if (e->event == event)
    return 0;
  e->event = event;
  if (marked (e))
    {
      e->until_ms = 0;
      quarantine (c, e, now_ms + CRASH_QUARANTINE_MS);
      return 2;
    }
  set_state (c, e, STATE_SUSPECT);
  e->until_ms = now_ms + SUSPECT_MS;
  return 1;
}

void
crash_merge (struct crash *c, uint64_t fingerprint, uint32_t crashes,
             uint32_t left_ms, uint64_t now_ms)
{
  struct entry *e = fingerprint ? find (c, fingerprint) : NULL;

  if (fingerprint == 0 || (!e && crashes == 0))
    return;
  e = touch (c, fingerprint);
  expire (c, e, now_ms);
  if (crashes >= 2)
    {
      if (e->state != STATE_QUARANTINED)
        e->until_ms = 0;
      quarantine (c, e, now_ms + left_ms);
    }
  else if (crashes == 1 && !marked (e))
    {
      set_state (c, e, STATE_SUSPECT);
      e->until_ms = now_ms + SUSPECT_MS;
    }
  else if (crashes == 0 && e->state == STATE_SUSPECT)
    set_state (c, e, STATE_PROVEN);
}

uint32_t
crash_running (const struct crash *c, uint64_t fingerprint)
{
  const struct entry *e = find (c, fingerprint);

  return e ? e->running : 0;
}

size_t
crash_marked (const struct crash *c)
{
  return c->marked;
}

size_t
crash_count (const struct crash *c)
{
  return HASH_COUNT (c->entries);
}
