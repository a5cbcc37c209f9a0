#include "edge/quarantine.h"

#include <stdlib.h>

#include <uthash.h>

#include "err.h"

/* Its crashes and a completion. */
#define EVIDENCE_PER_REQUEST_MAX (QUARANTINE_CRASHES + 1)
/* A crash is attributed to attempts that broke off at most this long before
   it was detected. Often only the entry of the restarted server tells of it,
   and crashed servers are away for seconds. */
#define SUSPECT_WINDOW_MS 10000
/* Crashes of servers within this time count once for a request that servers
   have completed: a frequent one runs on several servers that fail together
   for another reason. */
#define JOINT_CRASHES_MS 1000
#define SUSPECTS_MAX 4096
#define CRASHED_STARTS_MAX 1024
/* Crashes from which on the holder tells all nodes of a request. */
#define CRASHES_FOR_ALL 2
/* Evidence is listed so often after a change, then at the interval. Nodes that
   were cut off must know it before they count as in touch again, 3 s later. */
#define LISTS_AFTER_CHANGE 4
#define LIST_INTERVAL_MS 2000
#define REQUESTS_MAX 4096
#define COMPLETED_MAX 4096

/* A request whose attempt at a server broke off. */
struct suspect
{
  struct crash_record crash;
  uint64_t broke_off_ms;
  UT_hash_handle hh;
};

/* A start of a server that is known to have crashed. */
struct crashed_start
{
  uint64_t server;
  uint64_t known_ms;
  UT_hash_handle hh;
};

struct crash
{
  uint64_t server;
  uint64_t at_ms;
  bool own; /* seen by this node */
};

/* A request that ran on servers when they crashed. */
struct request
{
  uint64_t fingerprint;
  struct crash crashes[QUARANTINE_CRASHES];
  uint32_t crash_count;
  uint64_t completed_ms; /* newest completion that cleared crashes, or 0 */
  bool completed_here;   /* seen by this node */
  uint64_t updated_ms;   /* newest crash or completion */
  uint32_t listed;       /* number of lists since the last change */
  uint64_t listed_ms;
  UT_hash_handle hh;
};

/* A request that a server completed. */
struct completion
{
  uint64_t fingerprint;
  UT_hash_handle hh;
};

/* Requests with crashes have a table of their own, because completed ones
   would displace them within seconds on a busy node. */
struct request_quarantine
{
  struct request *requests;      /* in order of insertion */
  struct completion *completed;  /* in order of insertion */
  struct crashed_start *crashed; /* in the order in which they became known */
  struct suspect *suspects;      /* in the order of their breaks */
  uint64_t version;              /* see quarantine_version() */
  quarantine_change_fn changed;  /* NULL: not observed */
  void *ctx;
};

struct request_quarantine *
quarantine_create (void)
{
  return xcalloc (1, sizeof (struct request_quarantine));
}

void
quarantine_observe (struct request_quarantine *c, quarantine_change_fn fn,
                    void *ctx)
{
  c->changed = fn;
  c->ctx = ctx;
}

static void
report_change (const struct request_quarantine *c, const struct request *r,
               uint64_t server)
{
  const struct quarantine_change change
      = { r->fingerprint, server, r->crash_count };

  if (c->changed)
    c->changed (c->ctx, &change);
}

static void
forget (struct request_quarantine *c, struct request *r)
{
  HASH_DEL (c->requests, r);
  free (r);
}

static void
forget_completion (struct request_quarantine *c, struct completion *done)
{
  HASH_DEL (c->completed, done);
  free (done);
}

static void
forget_suspect (struct request_quarantine *c, struct suspect *s)
{
  HASH_DEL (c->suspects, s);
  free (s);
}

static void
forget_start (struct request_quarantine *c, struct crashed_start *start)
{
  HASH_DEL (c->crashed, start);
  free (start);
}

void
quarantine_destroy (struct request_quarantine *c)
{
  struct crashed_start *start;
  struct crashed_start *next_start;
  struct suspect *s;
  struct suspect *next_suspect;
  struct request *r;
  struct request *next;

  struct completion *done;
  struct completion *next_done;

  HASH_ITER (hh, c->requests, r, next)
  forget (c, r);
  HASH_ITER (hh, c->completed, done, next_done)
  forget_completion (c, done);
  HASH_ITER (hh, c->crashed, start, next_start)
  forget_start (c, start);
  HASH_ITER (hh, c->suspects, s, next_suspect)
  forget_suspect (c, s);
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

static struct request *
find (const struct request_quarantine *c, uint64_t fingerprint)
{
  struct request *r;

  HASH_FIND (hh, c->requests, &fingerprint, sizeof fingerprint, r);
  return r;
}

static bool
is_expired (const struct request *r, uint64_t now_ms)
{
  return now_ms > r->updated_ms + QUARANTINE_RETENTION_MS;
}

/* Returns the request to displace: the oldest one that is not refused. */
static struct request *
least_important (const struct request_quarantine *c, uint64_t now_ms)
{
  for (struct request *r = c->requests; r; r = r->hh.next)
    if (r->crash_count < QUARANTINE_CRASHES || is_expired (r, now_ms))
      return r;
  return c->requests;
}

static void
make_room (struct request_quarantine *c, uint64_t now_ms)
{
  while (c->requests && is_expired (c->requests, now_ms))
    forget (c, c->requests);
  while (HASH_COUNT (c->requests) >= REQUESTS_MAX)
    forget (c, least_important (c, now_ms));
}

static void
forget_old_starts (struct request_quarantine *c, uint64_t now_ms)
{
  while (c->crashed
         && (HASH_COUNT (c->crashed) >= CRASHED_STARTS_MAX
             || now_ms > c->crashed->known_ms + SUSPECT_WINDOW_MS))
    forget_start (c, c->crashed);
}

static struct crashed_start *
find_start (struct request_quarantine *c, uint64_t server, uint64_t now_ms)
{
  struct crashed_start *start;

  forget_old_starts (c, now_ms);
  HASH_FIND (hh, c->crashed, &server, sizeof server, start);
  return start;
}

static void
forget_old_suspects (struct request_quarantine *c, uint64_t now_ms)
{
  while (c->suspects && now_ms > c->suspects->broke_off_ms + SUSPECT_WINDOW_MS)
    forget_suspect (c, c->suspects);
}

static void
add_suspect (struct request_quarantine *c, const struct crash_record *crash,
             uint64_t now_ms)
{
  struct suspect *s;

  forget_old_suspects (c, now_ms);
  HASH_FIND (hh, c->suspects, crash, sizeof *crash, s);
  if (s)
    HASH_DEL (c->suspects, s); /* becomes the newest one */
  else
    s = xcalloc (1, sizeof *s);
  if (HASH_COUNT (c->suspects) >= SUSPECTS_MAX)
    forget_suspect (c, c->suspects);
  s->crash = *crash;
  s->broke_off_ms = now_ms;
  HASH_ADD (hh, c->suspects, crash, sizeof s->crash, s);
}

void
quarantine_suspect (struct request_quarantine *c,
                    const struct crash_record *suspect, uint64_t now_ms)
{
  if (find_start (c, suspect->server, now_ms))
    {
      quarantine_add_crash (c, suspect, now_ms);
      return;
    }
  add_suspect (c, suspect, now_ms);
}

static void
add_start (struct request_quarantine *c, uint64_t server, uint64_t now_ms)
{
  struct crashed_start *start = xcalloc (1, sizeof *start);

  start->server = server;
  start->known_ms = now_ms;
  HASH_ADD (hh, c->crashed, server, sizeof start->server, start);
}

bool
quarantine_server_crashed (struct request_quarantine *c, uint64_t server,
                           uint64_t now_ms)
{
  struct suspect *s;
  struct suspect *next;

  if (find_start (c, server, now_ms))
    return false;
  add_start (c, server, now_ms);
  forget_old_suspects (c, now_ms);
  HASH_ITER (hh, c->suspects, s, next)
  {
    if (s->crash.server != server)
      continue;
    quarantine_add_crash (c, &s->crash, now_ms);
    forget_suspect (c, s);
  }
  return true;
}

static struct request *
find_or_add (struct request_quarantine *c, uint64_t fingerprint,
             uint64_t now_ms)
{
  struct request *r = find (c, fingerprint);

  if (r && !is_expired (r, now_ms))
    return r;
  if (r)
    forget (c, r);
  make_room (c, now_ms);
  r = xcalloc (1, sizeof *r);
  r->fingerprint = fingerprint;
  HASH_ADD (hh, c->requests, fingerprint, sizeof r->fingerprint, r);
  return r;
}

static struct completion *
find_completion (const struct request_quarantine *c, uint64_t fingerprint)
{
  struct completion *done;

  HASH_FIND (hh, c->completed, &fingerprint, sizeof fingerprint, done);
  return done;
}

static void
add_completion (struct request_quarantine *c, uint64_t fingerprint)
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
mark_changed (struct request *r, uint64_t at_ms)
{
  if (at_ms > r->updated_ms)
    r->updated_ms = at_ms;
  r->listed = 0;
}

static void
drop_crashes_before (struct request *r, uint64_t end_ms)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < r->crash_count; i++)
    if (r->crashes[i].at_ms > end_ms)
      r->crashes[kept++] = r->crashes[i];
  r->crash_count = kept;
}

/* Clears the crashes before a completion. Returns false if there were none. */
static bool
complete (struct request_quarantine *c, struct request *r, uint64_t at_ms)
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
quarantine_request_completed (struct request_quarantine *c,
                              uint64_t fingerprint, uint64_t now_ms)
{
  struct request *r = find (c, fingerprint);

  add_completion (c, fingerprint);
  if (r && complete (c, r, now_ms))
    r->completed_here = true;
}

static bool
is_known_crash (const struct request *r, uint64_t server)
{
  for (uint32_t i = 0; i < r->crash_count; i++)
    if (r->crashes[i].server == server)
      return true;
  return false;
}

/* Returns true if the crash comes close to another one of a request that
   servers complete. */
static bool
is_joint_crash (const struct request_quarantine *c, const struct request *r,
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
add_crash (struct request_quarantine *c, uint64_t fingerprint,
           const struct crash *crash, uint64_t now_ms)
{
  struct request *r = find_or_add (c, fingerprint, now_ms);

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
quarantine_add_crash (struct request_quarantine *c,
                      const struct crash_record *record, uint64_t now_ms)
{
  const struct crash crash = { record->server, now_ms, .own = true };

  add_crash (c, record->fingerprint, &crash, now_ms);
}

void
quarantine_merge (struct request_quarantine *c, const struct crash_evidence *e,
                  uint64_t now_ms)
{
  const struct crash crash = { e->server, now_ms - e->age_ms, .own = false };
  struct request *r;

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
quarantine_contains (const struct request_quarantine *c, uint64_t fingerprint,
                     uint64_t now_ms)
{
  const struct request *r = find (c, fingerprint);

  return r && r->crash_count >= QUARANTINE_CRASHES && !is_expired (r, now_ms);
}

/* ---- lists for other nodes ---- */

/* Orders requests by how often they were listed, then by crashes. */
static int
compare_urgency (const void *left, const void *right)
{
  const struct request *a = *(struct request *const *)left;
  const struct request *b = *(struct request *const *)right;

  if (a->listed != b->listed)
    return a->listed < b->listed ? -1 : 1;
  if (a->crash_count != b->crash_count)
    return a->crash_count > b->crash_count ? -1 : 1;
  return 0;
}

static bool
has_own_evidence (const struct request *r)
{
  for (uint32_t i = 0; i < r->crash_count; i++)
    if (r->crashes[i].own)
      return true;
  return r->completed_here;
}

static bool
is_in_scope (const struct request *r, enum quarantine_scope scope)
{
  if (scope == QUARANTINE_OWN)
    return has_own_evidence (r);
  return r->crash_count >= CRASHES_FOR_ALL || r->completed_ms > 0;
}

static bool
is_due (const struct request *r, uint64_t now_ms)
{
  return !is_expired (r, now_ms)
         && (r->listed < LISTS_AFTER_CHANGE
             || now_ms >= r->listed_ms + LIST_INTERVAL_MS);
}

static size_t
collect_due (const struct request_quarantine *c, enum quarantine_scope scope,
             uint64_t now_ms, struct request **out)
{
  size_t n = 0;

  for (struct request *r = c->requests; r; r = r->hh.next)
    if (is_in_scope (r, scope) && is_due (r, now_ms))
      out[n++] = r;
  qsort (out, n, sizeof *out, compare_urgency);
  return n;
}

static struct crash_evidence
crash_item (const struct request *r, const struct crash *crash,
            uint64_t now_ms)
{
  return (struct crash_evidence){ r->fingerprint, crash->server,
                                  (uint32_t)(now_ms - crash->at_ms) };
}

/* Stores the evidence on a request. Returns the number of items. */
static size_t
write_evidence (const struct request *r, enum quarantine_scope scope,
                uint64_t now_ms, struct crash_evidence *out)
{
  size_t n = 0;

  for (uint32_t i = 0; i < r->crash_count; i++)
    if (scope == QUARANTINE_ALL || r->crashes[i].own)
      out[n++] = (struct crash_evidence){ r->fingerprint, r->crashes[i].server,
                                          (uint32_t)(now_ms
                                                     - r->crashes[i].at_ms) };
  if (r->completed_ms > 0 && (scope == QUARANTINE_ALL || r->completed_here))
    out[n++] = (struct crash_evidence){ r->fingerprint, 0,
                                        (uint32_t)(now_ms - r->completed_ms) };
  return n;
}

size_t
quarantine_list (struct request_quarantine *c, enum quarantine_scope scope,
                 uint64_t now_ms, struct crash_evidence *out, size_t max)
{
  struct request **due;
  size_t count;
  size_t n = 0;

  if (!c->requests)
    return 0;
  due = xcalloc (HASH_COUNT (c->requests), sizeof (struct request *));
  count = collect_due (c, scope, now_ms, due);
  for (size_t i = 0; i < count && n + EVIDENCE_PER_REQUEST_MAX <= max; i++)
    {
      n += write_evidence (due[i], scope, now_ms, out + n);
      due[i]->listed++;
      due[i]->listed_ms = now_ms;
    }
  free (due);
  return n;
}

void
quarantine_list_anew (struct request_quarantine *c)
{
  for (struct request *r = c->requests; r; r = r->hh.next)
    r->listed = 0;
}

uint64_t
quarantine_version (const struct request_quarantine *c)
{
  return c->version;
}

size_t
quarantine_list_refused (const struct request_quarantine *c, uint64_t now_ms,
                         struct crash_evidence *out, size_t max)
{
  const struct request *r
      = c->requests
            ? ELMT_FROM_HH (c->requests->hh.tbl, c->requests->hh.tbl->tail)
            : NULL;
  size_t n = 0;

  for (; r && n + QUARANTINE_CRASHES <= max; r = r->hh.prev)
    if (r->crash_count == QUARANTINE_CRASHES && !is_expired (r, now_ms))
      for (uint32_t i = 0; i < r->crash_count; i++)
        out[n++] = crash_item (r, &r->crashes[i], now_ms);
  return n;
}
