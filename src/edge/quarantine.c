#include "edge/quarantine_impl.h"

#include <stdlib.h>

#include "err.h"

/* Evidence on requests, and the decision which ones are refused. */

/* Crashes of servers within this time count once for a request that servers
   have completed: a frequent one runs on several servers that fail together
   for another reason. */
#define JOINT_CRASHES_MS 1000
#define SUBJECTS_MAX 4096
#define COMPLETED_MAX 4096

struct quarantine *
quarantine_create (void)
{
  return xcalloc (1, sizeof (struct quarantine));
}

void
quarantine_observe (struct quarantine *c, quarantine_change_fn fn, void *ctx)
{
  c->changed = fn;
  c->ctx = ctx;
}

static void
report_change (const struct quarantine *c, const struct subject *r,
               uint64_t server)
{
  const struct quarantine_change change
      = { r->fingerprint, server, r->crash_count };

  if (c->changed)
    c->changed (c->ctx, &change);
}

static void
forget (struct quarantine *c, struct subject *r)
{
  HASH_DEL (c->subjects, r);
  free (r);
}

static void
forget_completion (struct quarantine *c, struct completion *done)
{
  HASH_DEL (c->completed, done);
  free (done);
}

void
quarantine_destroy (struct quarantine *c)
{
  struct subject *r;
  struct subject *next;

  struct completion *done;
  struct completion *next_done;

  HASH_ITER (hh, c->subjects, r, next)
  forget (c, r);
  HASH_ITER (hh, c->completed, done, next_done)
  forget_completion (c, done);
  quarantine_free_suspects (c);
  free (c);
}

uint64_t
quarantine_fingerprint (uint64_t client, struct str method, struct str target,
                        struct str body)
{
  return str_hash (body, str_hash (target, str_hash (method, client)));
}

uint64_t
quarantine_server_hash (struct str id, uint64_t started_ms)
{
  return str_hash (id, started_ms);
}

static struct subject *
find (const struct quarantine *c, uint64_t fingerprint)
{
  struct subject *r;

  HASH_FIND (hh, c->subjects, &fingerprint, sizeof fingerprint, r);
  return r;
}

bool
quarantine_expired (const struct subject *r, uint64_t now_ms)
{
  return now_ms > r->updated_ms + QUARANTINE_RETENTION_MS;
}

/* Returns the request to displace: the oldest one that is not refused. */
static struct subject *
least_important (const struct quarantine *c, uint64_t now_ms)
{
  for (struct subject *r = c->subjects; r; r = r->hh.next)
    if (r->crash_count < QUARANTINE_CRASHES || quarantine_expired (r, now_ms))
      return r;
  return c->subjects;
}

static void
make_room (struct quarantine *c, uint64_t now_ms)
{
  while (c->subjects && quarantine_expired (c->subjects, now_ms))
    forget (c, c->subjects);
  while (HASH_COUNT (c->subjects) >= SUBJECTS_MAX)
    forget (c, least_important (c, now_ms));
}

static struct subject *
find_or_add (struct quarantine *c, uint64_t fingerprint, uint64_t now_ms)
{
  struct subject *r = find (c, fingerprint);

  if (r && !quarantine_expired (r, now_ms))
    return r;
  if (r)
    forget (c, r);
  make_room (c, now_ms);
  r = xcalloc (1, sizeof *r);
  r->fingerprint = fingerprint;
  HASH_ADD (hh, c->subjects, fingerprint, sizeof r->fingerprint, r);
  return r;
}

static struct completion *
find_completion (const struct quarantine *c, uint64_t fingerprint)
{
  struct completion *done;

  HASH_FIND (hh, c->completed, &fingerprint, sizeof fingerprint, done);
  return done;
}

static void
add_completion (struct quarantine *c, uint64_t fingerprint)
{
  struct completion *done = find_completion (c, fingerprint);

  if (done)
    HASH_DEL (c->completed, done); /* becomes the newest one */
  else
    done = xcalloc (1, sizeof *done);
  done->fingerprint = fingerprint;
  HASH_ADD (hh, c->completed, fingerprint, sizeof done->fingerprint, done);
  if (HASH_COUNT (c->completed) > COMPLETED_MAX)
    forget_completion (c, c->completed);
}

static void
mark_changed (struct subject *r, uint64_t at_ms)
{
  if (at_ms > r->updated_ms)
    r->updated_ms = at_ms;
  r->listed = 0;
}

static void
drop_crashes_before (struct subject *r, uint64_t end_ms)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < r->crash_count; i++)
    if (r->crashes[i].at_ms > end_ms)
      r->crashes[kept++] = r->crashes[i];
  r->crash_count = kept;
}

/* Clears the crashes before a completion. Returns false if there were none. */
static bool
complete (struct quarantine *c, struct subject *r, uint64_t at_ms)
{
  const uint32_t before = r->crash_count;

  drop_crashes_before (r, at_ms);
  if (r->crash_count == before)
    return false;
  if (before == QUARANTINE_CRASHES)
    c->version++;
  if (at_ms > r->completed_ms)
    r->completed_ms = at_ms;
  mark_changed (r, at_ms);
  report_change (c, r, 0);
  return true;
}

void
quarantine_completed (struct quarantine *c, uint64_t fingerprint,
                      uint64_t now_ms)
{
  struct subject *r = find (c, fingerprint);

  add_completion (c, fingerprint);
  if (r && complete (c, r, now_ms))
    r->completed_here = true;
}

static bool
is_known_crash (const struct subject *r, uint64_t server)
{
  for (uint32_t i = 0; i < r->crash_count; i++)
    if (r->crashes[i].server == server)
      return true;
  return false;
}

/* Returns true if the crash comes close to another one of a request that
   servers complete. */
static bool
is_joint_crash (const struct quarantine *c, const struct subject *r,
                uint64_t at_ms)
{
  if (r->completed_ms == 0 && !find_completion (c, r->fingerprint))
    return false;
  for (uint32_t i = 0; i < r->crash_count; i++)
    if (at_ms < r->crashes[i].at_ms + JOINT_CRASHES_MS
        && r->crashes[i].at_ms < at_ms + JOINT_CRASHES_MS)
      return true;
  return false;
}

static void
add_crash (struct quarantine *c, uint64_t fingerprint,
           const struct crash *crash, uint64_t now_ms)
{
  struct subject *r = find_or_add (c, fingerprint, now_ms);

  if (r->crash_count == QUARANTINE_CRASHES || crash->at_ms <= r->completed_ms
      || is_known_crash (r, crash->server)
      || is_joint_crash (c, r, crash->at_ms))
    return;
  r->crashes[r->crash_count++] = *crash;
  if (r->crash_count == QUARANTINE_CRASHES)
    c->version++;
  mark_changed (r, crash->at_ms);
  report_change (c, r, crash->server);
}

void
quarantine_add_crash (struct quarantine *c, const struct crash_record *record,
                      uint64_t now_ms)
{
  const struct crash crash = { record->server, now_ms, .own = true };

  add_crash (c, record->fingerprint, &crash, now_ms);
}

void
quarantine_merge (struct quarantine *c, const struct crash_evidence *e,
                  uint64_t now_ms)
{
  const struct crash crash = { e->server, now_ms - e->age_ms, .own = false };
  struct subject *r;

  if (e->age_ms > QUARANTINE_RETENTION_MS || e->age_ms > now_ms)
    return;
  if (e->server != 0)
    {
      add_crash (c, e->fingerprint, &crash, now_ms);
      return;
    }
  r = find (c, e->fingerprint);
  if (r && complete (c, r, crash.at_ms))
    r->completed_here = false;
}

bool
quarantine_contains (const struct quarantine *c, uint64_t fingerprint,
                     uint64_t now_ms)
{
  const struct subject *r = find (c, fingerprint);

  return r && r->crash_count >= QUARANTINE_CRASHES
         && !quarantine_expired (r, now_ms);
}

uint64_t
quarantine_version (const struct quarantine *c)
{
  return c->version;
}
