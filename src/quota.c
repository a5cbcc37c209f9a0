#include "quota_impl.h"

#include <stdlib.h>

#include "err.h"

struct str
quota_key (struct str customer)
{
  return str_printf ("quota/" STR_FMT, STR_ARG (customer));
}

uint64_t
quota_request_id (struct str customer, struct str request_id)
{
  const uint64_t id = str_hash (request_id, str_hash (customer, 0));

  return id != 0 ? id : 1;
}

struct quota *
quota_create (struct str self, struct str region)
{
  struct quota *q = xcalloc (1, sizeof *q);

  q->self = str_dup (self);
  q->region = str_dup (region);
  return q;
}

static void
reset_after_pause (struct quota *q, uint64_t now_ms)
{
  struct bucket *b;
  struct bucket *next;

  HASH_ITER (hh, q->buckets, b, next) { quota_free_bucket (q, b); }
  /* Entry nodes that did not notice the pause report their requests with the
     next renewal. */
  q->settled_ms = now_ms + QUOTA_RENEW_INTERVAL_MS + QUOTA_SETTLE_MS;
  if (q->view_count > 0)
    {
      quota_drop_views (q, q->view_count - 1);
      q->views[0].since_ms = now_ms;
    }
}

/* Drops the state after a pause of the process. Called first for each event
   but quota_set_view(). */
void
quota_check_pause (struct quota *q, uint64_t now_ms)
{
  if (q->last_event_ms > 0 && now_ms - q->last_event_ms > QUOTA_PAUSE_MIN_MS)
    reset_after_pause (q, now_ms);
  q->last_event_ms = now_ms;
}

struct quota_decision
quota_decide_with_node (struct quota *q, enum quota_code code, struct str node)
{
  struct str copy = str_dup (node);

  str_free (&q->decision_node);
  q->decision_node = copy;
  return (struct quota_decision){ .code = code, .node = copy };
}

/* Returns QUOTA_GRANTED if this node may decide on the customer, else
   QUOTA_NOT_OWNER with the node that may. */
static struct quota_decision
check_owner (struct quota *q, struct str customer, uint64_t now_ms)
{
  const struct str owner = quota_owner_of (q, customer);
  const struct transfer *t = quota_find_transfer (q, customer);

  if (!str_eq (owner, q->self))
    return quota_decide_with_node (q, QUOTA_NOT_OWNER, owner);
  if (t && now_ms - t->at_ms < QUOTA_REDIRECT_MS
      && member_find (&quota_latest_view (q)->view, t->to))
    return quota_decide_with_node (q, QUOTA_NOT_OWNER, t->to);
  return (struct quota_decision){ .code = QUOTA_GRANTED };
}

struct quota_decision
quota_take (struct quota *q, struct str customer,
            const struct quota_limits *limits, uint64_t id, uint64_t now_ms)
{
  quota_check_pause (q, now_ms);
  struct quota_decision a = check_owner (q, customer, now_ms);
  if (a.code != QUOTA_GRANTED)
    return a;
  struct bucket *b = quota_get_bucket (q, customer);
  if (b->started)
    quota_refill (b, now_ms);
  b->limits = *limits;
  b->last_take_ms = now_ms;
  if (!b->started)
    {
      a = quota_start_bucket (q, b, now_ms);
      if (a.code != QUOTA_GRANTED)
        return a;
    }
  quota_refill (b, now_ms);
  return quota_take_token (b, id, now_ms);
}

void
quota_finish (struct quota *q, struct str customer, uint64_t id,
              uint64_t now_ms)
{
  struct hold *h = NULL;

  quota_check_pause (q, now_ms);
  struct bucket *b = quota_find_bucket (q, customer);
  if (b)
    HASH_FIND (hh, b->holds, &id, sizeof id, h);
  if (!h)
    return;
  HASH_DEL (b->holds, h);
  free (h);
}

void
quota_renew (struct quota *q, struct str customer, uint64_t id,
             uint64_t now_ms)
{
  quota_check_pause (q, now_ms);
  if (str_eq (quota_owner_of (q, customer), q->self))
    quota_set_hold (quota_get_bucket (q, customer), id,
                    now_ms + QUOTA_HOLD_TTL_MS);
}

void
quota_tick (struct quota *q, uint64_t now_ms)
{
  struct bucket *b;
  struct bucket *next;
  struct transfer *t;
  struct transfer *next_transfer;

  quota_check_pause (q, now_ms);
  HASH_ITER (hh, q->buckets, b, next)
  {
    quota_expire_holds (b, now_ms);
    if (quota_is_idle (b, now_ms))
      quota_free_bucket (q, b);
  }
  HASH_ITER (hh, q->transfers, t, next_transfer)
  {
    if (now_ms - t->at_ms > QUOTA_HISTORY_MS)
      quota_free_transfer (q, t);
  }
}

size_t
quota_count (const struct quota *q)
{
  return HASH_COUNT (q->buckets);
}

void
quota_destroy (struct quota *q)
{
  struct bucket *b;
  struct bucket *next;
  struct transfer *t;
  struct transfer *next_transfer;

  HASH_ITER (hh, q->buckets, b, next) { quota_free_bucket (q, b); }
  HASH_ITER (hh, q->transfers, t, next_transfer)
  {
    quota_free_transfer (q, t);
  }
  quota_drop_views (q, q->view_count);
  str_free (&q->self);
  str_free (&q->region);
  str_free (&q->decision_node);
  free (q);
}
