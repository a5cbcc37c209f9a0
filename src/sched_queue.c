#include <stdlib.h>

#include "sched_impl.h"

#define RETRY_AFTER_MS 1000

struct sched_action *
refuse (struct sched *s, void *ctx, struct refusal why)
{
  struct sched_action *a = action_add (s, SCHED_REFUSE, STR (""));

  a->ctx = ctx;
  a->code = why.code;
  a->retry_after_ms = why.retry_after_ms;
  a->detail = why.detail;
  return a;
}

void
waiter_remove (struct sched *s, struct waiter *w)
{
  if (w->reserved != NO_REPLICA)
    unreserve (s, &s->replicas[w->reserved]);
  DL_DELETE (s->queue, w);
  s->waiting--;
  w->need->queued--;
  str_free (&w->entry);
  free (w);
}

void
refuse_waiter (struct sched *s, struct waiter *w, struct refusal why,
               uint64_t now_ms)
{
  refuse (s, w->ctx, why)->wait_ms = (uint32_t)(now_ms - w->submitted_ms);
  waiter_remove (s, w);
}

struct refusal
quarantine_refusal (uint32_t left_ms)
{
  return (struct refusal){ .code = GRANT_QUARANTINED,
                           .retry_after_ms = left_ms,
                           .detail = "the request crashed two targets" };
}

/* Searched from the end, where a new request belongs in most cases. */
void
enqueue (struct sched *s, struct waiter *w)
{
  struct waiter *at = s->queue ? s->queue->prev : NULL;

  while (at && s->policy->before (w, at))
    at = at == s->queue ? NULL : at->prev;
  if (at)
    DL_APPEND_ELEM (s->queue, at, w);
  else
    DL_PREPEND (s->queue, w);
  s->waiting++;
  w->need->queued++;
}

/* Why a request without any replica is refused. */
static struct refusal
missing_refusal (const struct sched *s, const struct need *need,
                 uint64_t now_ms)
{
  const double left = load_left_ms (s, need, now_ms);
  struct refusal why = { .code = GRANT_DEADLINE,
                         .retry_after_ms = RETRY_AFTER_MS,
                         .detail = "the load takes longer than the deadline" };

  if (s->config.plain)
    return (struct refusal){ .code = GRANT_UNAVAILABLE,
                             .retry_after_ms = RETRY_AFTER_MS,
                             .detail = "the service has no target" };
  if (left > RETRY_AFTER_MS)
    why.retry_after_ms = (uint32_t)left;
  if (!need->failed)
    return why;
  why.code = need->unknown ? GRANT_UNAVAILABLE : GRANT_NO_CAPACITY;
  why.detail = need->unknown ? "no server can load the model"
                             : "no replica could be loaded";
  return why;
}

static bool
refuse_quarantined (struct sched *s, struct waiter *w, uint64_t now_ms)
{
  const struct crash_verdict v
      = crash_check (s->crash, w->fingerprint, now_ms);

  if (v.rule != CRASH_REFUSED)
    return false;
  refuse_waiter (s, w, quarantine_refusal (v.left_ms), now_ms);
  return true;
}

static bool
refuse_hopeless (struct sched *s, struct waiter *w, const struct place *p,
                 uint64_t now_ms)
{
  struct need *need = w->need;
  const bool missing = p->same.replicas == 0;
  struct refusal why = { .code = GRANT_DEADLINE,
                         .retry_after_ms = RETRY_AFTER_MS,
                         .detail = "the queue is longer than the deadline" };

  if (!(missing && (need->unknown || s->config.plain))
      && !s->policy->hopeless (s, w, p, now_ms))
    return false;
  if (missing)
    {
      /* The load is asked for all the same: the caller is told to come
         back, and otherwise a model whose load is slow would never load. */
      need->missed = !need->unknown;
      why = missing_refusal (s, need, now_ms);
    }
  refuse_waiter (s, w, why, now_ms);
  return true;
}

void
review (struct sched *s, uint64_t now_ms)
{
  struct place p = { .all = capacity_of (s, s->model) };
  const bool marked = crash_marked (s->crash) > 0;
  struct waiter *w;
  struct waiter *next;

  for (struct need *n = s->needs; n; n = n->hh.next)
    {
      n->ahead = 0;
      n->capacity_known = false;
    }
  DL_FOREACH_SAFE (s->queue, w, next)
  {
    struct need *need = w->need;

    if (!need->capacity_known)
      need->capacity = capacity_of (s, need);
    need->capacity_known = true;
    p.same = need->capacity;
    p.ahead_same = need->ahead;
    if ((marked && refuse_quarantined (s, w, now_ms))
        || refuse_hopeless (s, w, &p, now_ms))
      continue;
    p.ahead++;
    need->ahead++;
  }
}
