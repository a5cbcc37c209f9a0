#include "edge/quarantine_impl.h"

#include <stdlib.h>

#include "err.h"

/* Evidence on subjects, and the decision which ones are refused. */

/* Crashes of servers within this time count once for a request that servers
   have completed: a frequent one runs on several servers that fail together
   for another reason. */
#define JOINT_CRASHES_MS 1000
/* A part is not blamed for this long after its completion. */
#define PART_PROOF_MS 30000
/* Crashes after which a subject is refused. Two may be chance while servers
   crash for other reasons; of running responses, servers have many at a time.
 */
#define CRASHES_TO_REFUSE 3
#define RESPONSE_CRASHES_TO_REFUSE 4
#define PART_SEED 0x70617274
#define SUBJECTS_MAX 4096
#define COMPLETED_MAX 4096

struct quarantine *
quarantine_create (void)
{
  return xcalloc (1, sizeof (struct quarantine));
}

void
quarantine_observe (struct quarantine *q, quarantine_change_fn fn, void *ctx)
{
  q->changed = fn;
  q->ctx = ctx;
}

static void
report_change (const struct quarantine *q, const struct subject *s,
               uint64_t server)
{
  const struct quarantine_change change
      = { s->kind, s->fingerprint, server, s->crash_count };

  if (q->changed)
    q->changed (q->ctx, &change);
}

static void
forget (struct quarantine *q, struct subject *s)
{
  HASH_DEL (q->subjects, s);
  free (s);
}

static void
forget_completion (struct quarantine *q, struct completion *done)
{
  HASH_DEL (q->completed, done);
  free (done);
}

void
quarantine_destroy (struct quarantine *q)
{
  struct subject *s;
  struct subject *next;
  struct completion *done;
  struct completion *next_done;

  HASH_ITER (hh, q->subjects, s, next)
  forget (q, s);
  HASH_ITER (hh, q->completed, done, next_done)
  forget_completion (q, done);
  quarantine_free_suspects (q);
  free (q);
}

uint64_t
quarantine_fingerprint (struct str tenant, struct str method,
                        struct str target, struct str body)
{
  /* Fingerprints without a tenant stay as older nodes compute them. */
  const uint64_t seed = tenant.len > 0 ? str_hash (tenant, 0) : 0;

  return str_hash (body, str_hash (target, str_hash (method, seed)));
}

uint64_t
quarantine_part_fingerprint (struct str part, enum quarantine_kind kind)
{
  return str_hash (part, PART_SEED + kind - QUARANTINE_PART);
}

uint64_t
quarantine_server_hash (struct str id, uint64_t started_ms)
{
  return str_hash (id, started_ms);
}

static struct subject *
find (const struct quarantine *q, uint64_t fingerprint)
{
  struct subject *s;

  HASH_FIND (hh, q->subjects, &fingerprint, sizeof fingerprint, s);
  return s;
}

bool
quarantine_expired (const struct subject *s, uint64_t now_ms)
{
  return now_ms > s->updated_ms + QUARANTINE_RETENTION_MS;
}

static struct completion *
find_completion (const struct quarantine *q, uint64_t fingerprint)
{
  struct completion *done;

  HASH_FIND (hh, q->completed, &fingerprint, sizeof fingerprint, done);
  return done;
}

/* Returns true if the part that followed this one in the prompt of a crash may
   have caused it: servers have not completed it since. */
static bool
next_part_may_explain (const struct quarantine *q, const struct crash *crash)
{
  const struct completion *done = find_completion (q, crash->next_part);

  return crash->next_part != 0 && !(done && done->at_ms >= crash->at_ms);
}

/* Returns true if all crashes came with the same part behind this one, which
   is then the more specific explanation. */
static bool
next_part_explains (const struct quarantine *q, const struct subject *s)
{
  for (uint32_t i = 0; i < s->crash_count; i++)
    if (s->crashes[i].next_part != s->crashes[0].next_part
        || !next_part_may_explain (q, &s->crashes[i]))
      return false;
  return true;
}

static uint32_t
crashes_to_refuse (enum quarantine_kind kind)
{
  return kind > QUARANTINE_PART ? RESPONSE_CRASHES_TO_REFUSE
                                : CRASHES_TO_REFUSE;
}

bool
quarantine_refused (const struct quarantine *q, const struct subject *s,
                    uint64_t now_ms)
{
  return s->crash_count >= crashes_to_refuse (s->kind)
         && !next_part_explains (q, s) && !quarantine_expired (s, now_ms);
}

/* Returns the subject to displace: the oldest one that is not refused. */
static struct subject *
least_important (const struct quarantine *q, uint64_t now_ms)
{
  for (struct subject *s = q->subjects; s; s = s->hh.next)
    if (!quarantine_refused (q, s, now_ms))
      return s;
  return q->subjects;
}

static void
make_room (struct quarantine *q, uint64_t now_ms)
{
  while (q->subjects && quarantine_expired (q->subjects, now_ms))
    forget (q, q->subjects);
  while (HASH_COUNT (q->subjects) >= SUBJECTS_MAX)
    forget (q, least_important (q, now_ms));
}

static struct subject *
find_or_add (struct quarantine *q, enum quarantine_kind kind,
             uint64_t fingerprint, uint64_t now_ms)
{
  struct subject *s = find (q, fingerprint);

  if (s && !quarantine_expired (s, now_ms))
    return s;
  if (s)
    forget (q, s);
  make_room (q, now_ms);
  s = xcalloc (1, sizeof *s);
  s->kind = kind;
  s->fingerprint = fingerprint;
  HASH_ADD (hh, q->subjects, fingerprint, sizeof s->fingerprint, s);
  return s;
}

static void
add_completion (struct quarantine *q, uint64_t fingerprint, uint64_t at_ms)
{
  struct completion *done = find_completion (q, fingerprint);

  if (done && done->at_ms >= at_ms)
    return;
  if (done)
    HASH_DEL (q->completed, done); /* becomes the newest one */
  else
    done = xcalloc (1, sizeof *done);
  done->fingerprint = fingerprint;
  done->at_ms = at_ms;
  HASH_ADD (hh, q->completed, fingerprint, sizeof done->fingerprint, done);
  if (HASH_COUNT (q->completed) > COMPLETED_MAX)
    forget_completion (q, q->completed);
}

static void
mark_changed (struct subject *s, uint64_t at_ms)
{
  if (at_ms > s->updated_ms)
    s->updated_ms = at_ms;
  s->listed = 0;
}

/* Returns the time until which a completion clears crashes. */
static uint64_t
cleared_until (enum quarantine_kind kind, uint64_t completed_ms)
{
  return kind == QUARANTINE_REQUEST ? completed_ms
                                    : completed_ms + PART_PROOF_MS;
}

static bool
is_cleared (const struct subject *s, uint64_t crash_ms)
{
  return s->completed_ms > 0
         && crash_ms <= cleared_until (s->kind, s->completed_ms);
}

static void
drop_crashes_before (struct subject *s, uint64_t end_ms)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < s->crash_count; i++)
    if (s->crashes[i].at_ms > end_ms)
      s->crashes[kept++] = s->crashes[i];
  s->crash_count = kept;
}

static void
set_completed (struct subject *s, uint64_t at_ms, bool here)
{
  if (at_ms > s->completed_ms)
    s->completed_ms = at_ms;
  s->completed_here = here;
  mark_changed (s, at_ms);
}

/* Clears the crashes before a completion. */
static void
complete (struct quarantine *q, struct subject *s, uint64_t at_ms, bool here)
{
  const uint32_t before = s->crash_count;

  drop_crashes_before (s, cleared_until (s->kind, at_ms));
  if (s->crash_count == before)
    return;
  if (before >= crashes_to_refuse (s->kind))
    q->version++;
  set_completed (s, at_ms, here);
  report_change (q, s, 0);
}

void
quarantine_completed (struct quarantine *q, uint64_t fingerprint,
                      uint64_t now_ms)
{
  struct subject *s = find (q, fingerprint);

  add_completion (q, fingerprint, now_ms);
  if (s)
    complete (q, s, now_ms, true);
}

static struct crash *
find_crash (struct subject *s, uint64_t server)
{
  for (uint32_t i = 0; i < s->crash_count; i++)
    if (s->crashes[i].server == server)
      return &s->crashes[i];
  return NULL;
}

/* Returns true if the crash comes close to another one of a request that
   servers complete. */
static bool
is_joint_crash (const struct quarantine *q, const struct subject *s,
                uint64_t at_ms)
{
  if (s->kind != QUARANTINE_REQUEST
      || (s->completed_ms == 0 && !find_completion (q, s->fingerprint)))
    return false;
  for (uint32_t i = 0; i < s->crash_count; i++)
    if (at_ms < s->crashes[i].at_ms + JOINT_CRASHES_MS
        && s->crashes[i].at_ms < at_ms + JOINT_CRASHES_MS)
      return true;
  return false;
}

/* Returns the completion that shows that the subject is not the cause of a
   crash; NULL if there is none. */
static const struct completion *
find_proof (const struct quarantine *q, const struct crash_record *crash,
            uint64_t at_ms)
{
  const struct completion *done = find_completion (q, crash->fingerprint);

  return done && at_ms <= cleared_until (crash->kind, done->at_ms) ? done
                                                                   : NULL;
}

/* Stores a crash. Of a part with all crashes that are kept explained by the
   next one, the newest makes room for one that is not. */
static void
store_crash (struct subject *s, const struct crash *crash)
{
  if (s->crash_count == crashes_to_refuse (s->kind))
    s->crash_count--;
  s->crashes[s->crash_count++] = *crash;
}

static bool
has_room (const struct quarantine *q, const struct subject *s,
          const struct crash *crash)
{
  return s->crash_count < crashes_to_refuse (s->kind)
         || (next_part_explains (q, s)
             && crash->next_part != s->crashes[0].next_part);
}

static void
record_change (struct quarantine *q, struct subject *s, uint64_t at_ms,
               uint64_t now_ms)
{
  if (quarantine_refused (q, s, now_ms))
    q->version++;
  mark_changed (s, at_ms);
}

static void
add_crash (struct quarantine *q, const struct crash_record *record,
           const struct crash *crash, uint64_t now_ms)
{
  struct subject *s
      = find_or_add (q, record->kind, record->fingerprint, now_ms);
  struct crash *known = find_crash (s, crash->server);

  if (known && known->next_part != 0 && crash->next_part == 0)
    {
      /* Another node knows that the next part does not explain it. */
      known->next_part = 0;
      record_change (q, s, crash->at_ms, now_ms);
    }
  if (known || !has_room (q, s, crash) || is_cleared (s, crash->at_ms)
      || is_joint_crash (q, s, crash->at_ms))
    return;
  store_crash (s, crash);
  record_change (q, s, crash->at_ms, now_ms);
  report_change (q, s, crash->server);
}

void
quarantine_drop_disproved (struct quarantine *q, struct subject *s,
                           uint64_t now_ms)
{
  bool dropped = false;

  for (uint32_t i = 0; i < s->crash_count; i++)
    if (s->crashes[i].next_part != 0
        && !next_part_may_explain (q, &s->crashes[i]))
      {
        s->crashes[i].next_part = 0;
        dropped = true;
      }
  if (dropped)
    record_change (q, s, s->updated_ms, now_ms);
}

void
quarantine_add_crash (struct quarantine *q, const struct crash_record *record,
                      uint64_t at_ms)
{
  const struct crash crash
      = { record->server, record->next_part, at_ms, .own = true };

  if (!find_proof (q, record, at_ms))
    add_crash (q, record, &crash, at_ms);
}

/* Another node counts a crash that a completion here clears: tells it. */
static void
contradict (struct quarantine *q, const struct crash_record *record,
            uint64_t crash_ms, const struct completion *proof, uint64_t now_ms)
{
  struct subject *s
      = find_or_add (q, record->kind, record->fingerprint, now_ms);

  if (!is_cleared (s, crash_ms))
    set_completed (s, proof->at_ms, true);
}

void
quarantine_merge (struct quarantine *q, const struct crash_evidence *e,
                  uint64_t now_ms)
{
  const uint64_t at_ms = now_ms - e->age_ms;
  const struct crash crash
      = { e->crash.server, e->crash.next_part, at_ms, .own = false };
  const struct completion *proof;
  struct subject *s;

  if (e->age_ms > QUARANTINE_RETENTION_MS || e->age_ms > now_ms)
    return;
  if (e->crash.server == 0)
    {
      s = find (q, e->crash.fingerprint);
      if (e->crash.kind != QUARANTINE_REQUEST)
        add_completion (q, e->crash.fingerprint, at_ms);
      if (s)
        complete (q, s, at_ms, false);
      return;
    }
  proof = find_proof (q, &e->crash, at_ms);
  if (proof)
    contradict (q, &e->crash, at_ms, proof, now_ms);
  else
    add_crash (q, &e->crash, &crash, now_ms);
}

bool
quarantine_contains (const struct quarantine *q, uint64_t fingerprint,
                     uint64_t now_ms)
{
  const struct subject *s = find (q, fingerprint);

  return s && quarantine_refused (q, s, now_ms);
}

uint64_t
quarantine_version (const struct quarantine *q)
{
  return q->version;
}
