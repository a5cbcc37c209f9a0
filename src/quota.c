#include "quota_impl.h"

#include <stdlib.h>

#include "err.h"

struct str
quota_key (struct str customer)
{
  return str_printf ("quota/" STR_FMT, STR_ARG (customer));
}

uint64_t
quota_id (struct str customer, struct str request_id)
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
forget_after_pause (struct quota *q, uint64_t now_ms)
{
  struct bucket *b;
  struct bucket *next;

  HASH_ITER (hh, q->buckets, b, next) { quota_free_bucket (q, b); }
  /* Entries that did not notice the pause report by their next renewal. */
  q->settled_ms = now_ms + QUOTA_RENEW_MS + QUOTA_SETTLE_MS;
  if (q->view_count > 0)
    {
      quota_forget_views (q, q->view_count - 1);
      q->views[0].since_ms = now_ms;
    }
}

/* Each event passes here first. */
void
quota_check_pause (struct quota *q, uint64_t now_ms)
{
  if (q->active_ms > 0 && now_ms - q->active_ms > QUOTA_PAUSE_MS)
    forget_after_pause (q, now_ms);
  q->active_ms = now_ms;
}

struct quota_answer
quota_refer (struct quota *q, enum quota_code code, struct str node)
{
  struct str copy = str_dup (node);

  str_free (&q->answer_node);
  q->answer_node = copy;
  return (struct quota_answer){ .code = code, .node = copy };
}

/* May this node decide on the customer. QUOTA_GRANTED means that it may. */
static struct quota_answer
check_owner (struct quota *q, struct str customer, uint64_t now_ms)
{
  const struct str owner = quota_owner_of (q, customer);
  const struct yield *y = quota_find_yield (q, customer);

  if (!str_eq (owner, q->self))
    return quota_refer (q, QUOTA_NOT_OWNER, owner);
  if (y && now_ms - y->at_ms < QUOTA_YIELD_MS
      && member_find (&quota_latest_view (q)->view, y->to))
    return quota_refer (q, QUOTA_NOT_OWNER, y->to);
  return (struct quota_answer){ .code = QUOTA_GRANTED };
}

struct quota_answer
quota_take (struct quota *q, struct str customer,
            const struct quota_limits *limits, uint64_t id, uint64_t now_ms)
{
  quota_check_pause (q, now_ms);
  struct quota_answer a = check_owner (q, customer, now_ms);
  if (a.code != QUOTA_GRANTED)
    return a;
  struct bucket *b = quota_need_bucket (q, customer);
  if (b->ready)
    quota_refill (b, now_ms);
  b->limits = *limits;
  b->used_ms = now_ms;
  if (!b->ready)
    {
      a = quota_start_bucket (q, b, now_ms);
      if (a.code != QUOTA_GRANTED)
        return a;
    }
  quota_refill (b, now_ms);
  const uint64_t full = (uint64_t)limits->burst * TOKEN;
  if (b->tokens > full)
    b->tokens = full;
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
    quota_set_hold (quota_need_bucket (q, customer), id,
                    now_ms + QUOTA_HOLD_MS);
}

void
quota_tick (struct quota *q, uint64_t now_ms)
{
  struct bucket *b;
  struct bucket *next;
  struct yield *y;
  struct yield *next_yield;

  quota_check_pause (q, now_ms);
  HASH_ITER (hh, q->buckets, b, next)
  {
    quota_expire_holds (b, now_ms);
    if (quota_is_idle (b, now_ms))
      quota_free_bucket (q, b);
  }
  HASH_ITER (hh, q->yields, y, next_yield)
  {
    if (now_ms - y->at_ms > QUOTA_MEMORY_MS)
      quota_free_yield (q, y);
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
  struct yield *y;
  struct yield *next_yield;

  HASH_ITER (hh, q->buckets, b, next) { quota_free_bucket (q, b); }
  HASH_ITER (hh, q->yields, y, next_yield) { quota_free_yield (q, y); }
  quota_forget_views (q, q->view_count);
  str_free (&q->self);
  str_free (&q->region);
  str_free (&q->answer_node);
  free (q);
}
