#include "edge/quarantine_impl.h"

#include <stdlib.h>

#include "err.h"

/* Lists of the evidence, for other nodes and for the store. */

/* Its crashes and a completion. */
#define EVIDENCE_PER_SUBJECT_MAX (QUARANTINE_CRASHES_MAX + 1)
/* Crashes from which on the holder tells all nodes of a subject. */
#define CRASHES_FOR_ALL 2
/* Evidence is listed so often after a change, then at the interval. Nodes that
   were cut off must know it before they count as in touch again, 3 s later. */
#define LISTS_AFTER_CHANGE 4
#define LIST_INTERVAL_MS 2000

/* Orders subjects by how often they were listed, then by crashes. */
static int
compare_urgency (const void *left, const void *right)
{
  const struct subject *a = *(struct subject *const *)left;
  const struct subject *b = *(struct subject *const *)right;

  if (a->listed != b->listed)
    return a->listed < b->listed ? -1 : 1;
  if (a->crash_count != b->crash_count)
    return a->crash_count > b->crash_count ? -1 : 1;
  return 0;
}

static bool
has_own_evidence (const struct subject *s)
{
  for (uint32_t i = 0; i < s->crash_count; i++)
    if (s->crashes[i].own)
      return true;
  return s->completed_here;
}

static bool
is_in_scope (const struct subject *s, enum quarantine_scope scope)
{
  if (scope == QUARANTINE_OWN)
    return has_own_evidence (s);
  return s->crash_count >= CRASHES_FOR_ALL || s->completed_ms > 0;
}

static bool
is_due (const struct subject *s, uint64_t now_ms)
{
  return !quarantine_expired (s, now_ms)
         && (s->listed < LISTS_AFTER_CHANGE
             || now_ms >= s->listed_ms + LIST_INTERVAL_MS);
}

static size_t
collect_due (struct quarantine *q, enum quarantine_scope scope,
             uint64_t now_ms, struct subject **out)
{
  size_t n = 0;

  for (struct subject *s = q->subjects; s; s = s->hh.next)
    {
      if (!is_in_scope (s, scope) || !is_due (s, now_ms))
        continue;
      quarantine_drop_disproved (q, s, now_ms);
      out[n++] = s;
    }
  qsort (out, n, sizeof *out, compare_urgency);
  return n;
}

static struct crash_evidence
crash_item (const struct subject *s, const struct crash *crash,
            uint64_t now_ms)
{
  return (struct crash_evidence){
    .crash = { s->fingerprint, crash->server, crash->next_part, s->kind },
    .age_ms = (uint32_t)(now_ms - crash->at_ms),
  };
}

/* Stores the evidence on a subject. Returns the number of items. */
static size_t
write_evidence (const struct subject *s, enum quarantine_scope scope,
                uint64_t now_ms, struct crash_evidence *out)
{
  const struct crash completion = { .at_ms = s->completed_ms };
  size_t n = 0;

  for (uint32_t i = 0; i < s->crash_count; i++)
    if (scope == QUARANTINE_ALL || s->crashes[i].own)
      out[n++] = crash_item (s, &s->crashes[i], now_ms);
  if (s->completed_ms > 0 && (scope == QUARANTINE_ALL || s->completed_here))
    out[n++] = crash_item (s, &completion, now_ms);
  return n;
}

size_t
quarantine_list (struct quarantine *q, enum quarantine_scope scope,
                 uint64_t now_ms, struct crash_evidence *out, size_t max)
{
  struct subject **due;
  size_t count;
  size_t n = 0;

  if (!q->subjects)
    return 0;
  due = xcalloc (HASH_COUNT (q->subjects), sizeof (struct subject *));
  count = collect_due (q, scope, now_ms, due);
  for (size_t i = 0; i < count && n + EVIDENCE_PER_SUBJECT_MAX <= max; i++)
    {
      n += write_evidence (due[i], scope, now_ms, out + n);
      due[i]->listed++;
      due[i]->listed_ms = now_ms;
    }
  free (due);
  return n;
}

void
quarantine_list_anew (struct quarantine *q)
{
  for (struct subject *s = q->subjects; s; s = s->hh.next)
    s->listed = 0;
}

size_t
quarantine_list_refused (const struct quarantine *q, uint64_t now_ms,
                         struct crash_evidence *out, size_t max)
{
  const struct subject *s
      = q->subjects
            ? ELMT_FROM_HH (q->subjects->hh.tbl, q->subjects->hh.tbl->tail)
            : NULL;
  size_t n = 0;

  for (; s && n + QUARANTINE_CRASHES_MAX <= max; s = s->hh.prev)
    if (quarantine_refused (q, s, now_ms))
      for (uint32_t i = 0; i < s->crash_count; i++)
        out[n++] = crash_item (s, &s->crashes[i], now_ms);
  return n;
}
