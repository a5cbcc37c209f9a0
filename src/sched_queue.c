#include <stdlib.h>

#include "sched_impl.h"

#define RETRY_AFTER_MS 1000

struct sched_action *
refuse_request (struct sched *s, void *ctx, struct refusal refusal)
{
  struct sched_action *a = action_add (s, SCHED_REFUSE, STR (""));

  a->ctx = ctx;
  a->code = refusal.code;
  a->retry_after_ms = refusal.retry_after_ms;
  a->detail = refusal.detail;
  return a;
}

void
waiter_remove (struct sched *s, struct waiter *w)
{
  if (w->reserved_replica != NO_REPLICA)
    release_reservation (s, &s->replicas[w->reserved_replica]);
  DL_DELETE (s->queue, w);
  s->waiting--;
  w->variant->queued--;
  str_free (&w->entry);
  free (w);
}

void
refuse_waiter (struct sched *s, struct waiter *w, struct refusal refusal,
               uint64_t now_ms)
{
  refuse_request (s, w->ctx, refusal)->wait_ms
      = (uint32_t)(now_ms - w->submitted_ms);
  waiter_remove (s, w);
}

struct refusal
quarantine_refusal (uint32_t left_ms)
{
  return (struct refusal){ .code = GRANT_QUARANTINED,
                           .retry_after_ms = left_ms,
                           .detail = "the request crashed two targets" };
}

/* Searches from the end, where most new requests belong. */
void
enqueue (struct sched *s, struct waiter *w)
{
  struct waiter *at = s->queue ? s->queue->prev : NULL;

  while (at && s->policy->precedes (w, at))
    at = at == s->queue ? NULL : at->prev;
  if (at)
    DL_APPEND_ELEM (s->queue, at, w);
  else
    DL_PREPEND (s->queue, w);
  s->waiting++;
  w->variant->queued++;
}

/* Returns the refusal for a request whose variant has no replica. */
static struct refusal
no_replica_refusal (const struct sched *s, const struct variant *variant,
                    uint64_t now_ms)
{
  const double left = load_remaining_ms (s, variant, now_ms);
  struct refusal refusal
      = { .code = GRANT_DEADLINE,
          .retry_after_ms = RETRY_AFTER_MS,
          .detail = "the load takes longer than the deadline" };

  if (s->config.plain)
    return (struct refusal){ .code = GRANT_UNAVAILABLE,
                             .retry_after_ms = RETRY_AFTER_MS,
                             .detail = "the service has no target" };
  if (left > RETRY_AFTER_MS)
    refusal.retry_after_ms = (uint32_t)left;
  if (!variant->last_wake_failed)
    return refusal;
  refusal.code
      = variant->model_unknown ? GRANT_UNAVAILABLE : GRANT_NO_CAPACITY;
  refusal.detail = variant->model_unknown ? "no server can load the model"
                                          : "no replica could be loaded";
  return refusal;
}

static bool
refuse_quarantined (struct sched *s, struct waiter *w, uint64_t now_ms)
{
  const struct crash_verdict v
      = crash_check (s->crash, w->fingerprint, now_ms);

  if (v.rule != CRASH_QUARANTINED)
    return false;
  refuse_waiter (s, w, quarantine_refusal (v.quarantine_left_ms), now_ms);
  return true;
}

static bool
refuse_late_request (struct sched *s, struct waiter *w,
                     const struct queue_position *p, uint64_t now_ms)
{
  struct variant *variant = w->variant;
  const bool no_replica = p->variant_replicas.replicas == 0;
  struct refusal refusal
      = { .code = GRANT_DEADLINE,
          .retry_after_ms = RETRY_AFTER_MS,
          .detail = "the queue is longer than the deadline" };

  if (!(no_replica && (variant->model_unknown || s->config.plain))
      && !s->policy->misses_deadline (s, w, p, now_ms))
    return false;
  if (no_replica)
    {
      /* A wake is sent nevertheless: the client is told to retry later, and
         a model that loads slower than the deadlines allow would otherwise
         never be loaded. */
      variant->load_after_refusal = !variant->model_unknown;
      refusal = no_replica_refusal (s, variant, now_ms);
    }
  refuse_waiter (s, w, refusal, now_ms);
  return true;
}

void
review_queue (struct sched *s, uint64_t now_ms)
{
  struct queue_position p = { .all_replicas = capacity_of (s, s->base) };
  const bool marked = crash_marked_count (s->crash) > 0;
  struct waiter *w;
  struct waiter *next;

  for (struct variant *n = s->variants; n; n = n->hh.next)
    {
      n->queued_ahead = 0;
      n->capacity_known = false;
    }
  DL_FOREACH_SAFE (s->queue, w, next)
  {
    struct variant *variant = w->variant;

    if (!variant->capacity_known)
      variant->capacity = capacity_of (s, variant);
    variant->capacity_known = true;
    p.variant_replicas = variant->capacity;
    p.ahead_same_variant = variant->queued_ahead;
    if ((marked && refuse_quarantined (s, w, now_ms))
        || refuse_late_request (s, w, &p, now_ms))
      continue;
    p.ahead++;
    variant->queued_ahead++;
  }
}
