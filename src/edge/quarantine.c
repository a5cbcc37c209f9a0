#include "edge/quarantine_impl.h"

#include <stdlib.h>

#include "err.h"

/* Evidence on subjects, and the decision which ones are refused. */

/* Crashes of servers within this time count once for a request that servers
   have completed: a frequent one runs on several servers that fail together
   for another reason. */
#define JOINT_CRASHES_MS 1000
/* A part under which a server began to respond is not blamed for this long. */
#define PART_PROOF_MS 30000
#define PART_SEED 0x70617274
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
      = { r->kind, r->fingerprint, server, r->crash_count };

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
quarantine_part_fingerprint (struct str part)
{
  return str_hash (part, PART_SEED);
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

/* Returns true if all crashes came with the same part behind this one, which
   is then the more specific explanation. */
static bool
next_part_explains (const struct subject *r)
{
  for (uint32_t i = 0; i < r->crash_count; i++)
    if (r->crashes[i].next_part == 0
        || r->crashes[i].next_part != r->crashes[0].next_part)
      return false;
  return true;
}

bool
quarantine_refused (const struct subject *r, uint64_t now_ms)
{
  return r->crash_count >= QUARANTINE_CRASHES && !next_part_explains (r)
         && !quarantine_expired (r, now_ms);
}

/* Returns the subject to displace: the oldest one that is not refused. */
static struct subject *
least_important (const struct quarantine *c, uint64_t now_ms)
{
  for (struct subject *r = c->subjects; r; r = r->hh.next)
    if (!quarantine_refused (r, now_ms))
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
find_or_add (struct quarantine *c, enum quarantine_kind kind,
             uint64_t fingerprint, uint64_t now_ms)
{
  struct subject *r = find (c, fingerprint);

  if (r && !quarantine_expired (r, now_ms))
    return r;
  if (r)
    forget (c, r);
  make_room (c, now_ms);
  r = xcalloc (1, sizeof *r);
  r->kind = kind;
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
add_completion (struct quarantine *c, uint64_t fingerprint, uint64_t at_ms)
{
  struct completion *done = find_completion (c, fingerprint);

  if (done && done->at_ms >= at_ms)
    return;
  if (done)
    HASH_DEL (c->completed, done); /* becomes the newest one */
  else
    done = xcalloc (1, sizeof *done);
  done->fingerprint = fingerprint;
  done->at_ms = at_ms;
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

/* Returns the time until which a completion clears crashes. */
static uint64_t
cleared_until (enum quarantine_kind kind, uint64_t completed_ms)
{
  return kind == QUARANTINE_PART ? completed_ms + PART_PROOF_MS : completed_ms;
}

static bool
is_cleared (const struct subject *r, uint64_t crash_ms)
{
  return r->completed_ms > 0
         && crash_ms <= cleared_until (r->kind, r->completed_ms);
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

static void
set_completed (struct subject *r, uint64_t at_ms, bool here)
{
  if (at_ms > r->completed_ms)
    r->completed_ms = at_ms;
  r->completed_here = here;
  mark_changed (r, at_ms);
}

/* Clears the crashes before a completion. */
static void
complete (struct quarantine *c, struct subject *r, uint64_t at_ms, bool here)
{
  const uint32_t before = r->crash_count;

  drop_crashes_before (r, cleared_until (r->kind, at_ms));
  if (r->crash_count == before)
    return;
  if (before == QUARANTINE_CRASHES)
    c->version++;
  set_completed (r, at_ms, here);
  report_change (c, r, 0);
}

void
quarantine_completed (struct quarantine *c, uint64_t fingerprint,
                      uint64_t now_ms)
{
  struct subject *r = find (c, fingerprint);

  add_completion (c, fingerprint, now_ms);
  if (r)
    complete (c, r, now_ms, true);
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
  if (r->kind != QUARANTINE_REQUEST
      || (r->completed_ms == 0 && !find_completion (c, r->fingerprint)))
    return false;
  for (uint32_t i = 0; i < r->crash_count; i++)
    if (at_ms < r->crashes[i].at_ms + JOINT_CRASHES_MS
        && r->crashes[i].at_ms < at_ms + JOINT_CRASHES_MS)
      return true;
  return false;
}

/* Returns the completion that shows that a part is not the cause of a crash;
   NULL if there is none. */
static const struct completion *
find_proof (const struct quarantine *c, const struct crash_record *crash,
            uint64_t at_ms)
{
  const struct completion *done = find_completion (c, crash->fingerprint);

  return done && crash->kind == QUARANTINE_PART
                 && at_ms <= cleared_until (crash->kind, done->at_ms)
             ? done
             : NULL;
}

/* Stores a crash. Of a part with all crashes that are kept explained by the
   next one, the newest makes room for one that is not. */
static void
store_crash (struct subject *r, const struct crash *crash)
{
  if (r->crash_count == QUARANTINE_CRASHES)
    r->crash_count--;
  r->crashes[r->crash_count++] = *crash;
}

static bool
has_room (const struct subject *r, const struct crash *crash)
{
  return r->crash_count < QUARANTINE_CRASHES
         || (next_part_explains (r)
             && crash->next_part != r->crashes[0].next_part);
}

static void
add_crash (struct quarantine *c, const struct crash_record *record,
           const struct crash *crash, uint64_t now_ms)
{
  struct subject *r
      = find_or_add (c, record->kind, record->fingerprint, now_ms);

  if (!has_room (r, crash) || is_cleared (r, crash->at_ms)
      || is_known_crash (r, crash->server)
      || is_joint_crash (c, r, crash->at_ms))
    return;
  store_crash (r, crash);
  if (quarantine_refused (r, now_ms))
    c->version++;
  mark_changed (r, crash->at_ms);
  report_change (c, r, crash->server);
}

void
quarantine_add_crash (struct quarantine *c, const struct crash_record *record,
                      uint64_t now_ms)
{
  const struct crash crash
      = { record->server, record->next_part, now_ms, .own = true };

  if (!find_proof (c, record, now_ms))
    add_crash (c, record, &crash, now_ms);
}

/* Another node counts a crash that a completion here clears: tells it. */
static void
contradict (struct quarantine *c, const struct crash_record *record,
            uint64_t crash_ms, const struct completion *proof, uint64_t now_ms)
{
  struct subject *r
      = find_or_add (c, record->kind, record->fingerprint, now_ms);

  if (!is_cleared (r, crash_ms))
    set_completed (r, proof->at_ms, true);
}

void
quarantine_merge (struct quarantine *c, const struct crash_evidence *e,
                  uint64_t now_ms)
{
  const uint64_t at_ms = now_ms - e->age_ms;
  const struct crash crash
      = { e->crash.server, e->crash.next_part, at_ms, .own = false };
  const struct completion *proof;
  struct subject *r;

  if (e->age_ms > QUARANTINE_RETENTION_MS || e->age_ms > now_ms)
    return;
  if (e->crash.server == 0)
    {
      r = find (c, e->crash.fingerprint);
      if (e->crash.kind == QUARANTINE_PART)
        add_completion (c, e->crash.fingerprint, at_ms);
      if (r)
        complete (c, r, at_ms, false);
      return;
    }
  proof = find_proof (c, &e->crash, at_ms);
  if (proof)
    contradict (c, &e->crash, at_ms, proof, now_ms);
  else
    add_crash (c, &e->crash, &crash, now_ms);
}

bool
quarantine_contains (const struct quarantine *c, uint64_t fingerprint,
                     uint64_t now_ms)
{
  const struct subject *r = find (c, fingerprint);

  return r && quarantine_refused (r, now_ms);
}

uint64_t
quarantine_version (const struct quarantine *c)
{
  return c->version;
}
