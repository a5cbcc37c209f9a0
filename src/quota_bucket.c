#include "quota_impl.h"

#include <stdlib.h>

#include "err.h"

void
quota_free_bucket (struct quota *q, struct bucket *b)
{
  struct hold *h;
  struct hold *next;

  HASH_ITER (hh, b->holds, h, next)
  {
    HASH_DEL (b->holds, h);
    free (h);
  }
  HASH_DEL (q->buckets, b);
  str_free (&b->customer);
  free (b);
}

struct bucket *
quota_find_bucket (const struct quota *q, struct str customer)
{
  struct bucket *b;

  HASH_FIND (hh, q->buckets, customer.data, customer.len, b);
  return b;
}

struct bucket *
quota_get_bucket (struct quota *q, struct str customer)
{
  struct bucket *b = quota_find_bucket (q, customer);

  if (b)
    return b;
  b = xcalloc (1, sizeof *b);
  b->customer = str_dup (customer);
  HASH_ADD_KEYPTR (hh, q->buckets, b->customer.data, b->customer.len, b);
  return b;
}

void
quota_refill (struct bucket *b, uint64_t now_ms)
{
  tokenbucket_refill (&b->tokens, b->limits.requests_per_s, b->limits.burst,
                      now_ms);
}

void
quota_set_hold (struct bucket *b, uint64_t id, uint64_t expires_ms)
{
  struct hold *h;

  HASH_FIND (hh, b->holds, &id, sizeof id, h);
  if (!h)
    {
      h = xcalloc (1, sizeof *h);
      h->id = id;
      HASH_ADD (hh, b->holds, id, sizeof h->id, h);
    }
  if (h->expires_ms < expires_ms)
    h->expires_ms = expires_ms;
}

void
quota_expire_holds (struct bucket *b, uint64_t now_ms)
{
  struct hold *h;
  struct hold *next;

  HASH_ITER (hh, b->holds, h, next)
  {
    if (h->expires_ms > now_ms)
      continue;
    HASH_DEL (b->holds, h);
    free (h);
  }
}

struct quota_decision
quota_take_token (struct bucket *b, uint64_t id, uint64_t now_ms)
{
  const struct quota_limits *l = &b->limits;
  struct quota_decision a = { .code = QUOTA_GRANTED };
  struct hold *h;

  HASH_FIND (hh, b->holds, &id, sizeof id, h);
  if (h && h->expires_ms > now_ms)
    return a;
  if (l->in_flight > 0 && now_ms < b->settled_ms)
    return (struct quota_decision){
      .code = QUOTA_SETTLING,
      .retry_after_ms = (uint32_t)(b->settled_ms - now_ms),
    };
  if (l->in_flight > 0 && HASH_COUNT (b->holds) >= l->in_flight)
    quota_expire_holds (b, now_ms);
  if (l->in_flight > 0 && HASH_COUNT (b->holds) >= l->in_flight)
    return (struct quota_decision){ .code = QUOTA_IN_FLIGHT,
                                    .retry_after_ms = 1000 };
  if (l->requests_per_s > 0 && !tokenbucket_holds (&b->tokens, 1))
    return (struct quota_decision){
      .code = QUOTA_RATE,
      .retry_after_ms = (uint32_t)tokenbucket_wait_ms (
          &b->tokens, l->requests_per_s, 1, now_ms),
    };
  if (l->requests_per_s > 0)
    tokenbucket_charge (&b->tokens, 1);
  if (l->in_flight > 0)
    quota_set_hold (b, id, now_ms + QUOTA_HOLD_TTL_MS);
  return a;
}

bool
quota_is_idle (struct bucket *b, uint64_t now_ms)
{
  if (b->holds)
    return false;
  if (b->ownership_lost)
    return now_ms - b->ownership_lost_ms > QUOTA_HISTORY_MS;
  /* Kept this long, because a new bucket might need a handover from the
     previous owner again. */
  if (now_ms - b->last_take_ms <= QUOTA_HISTORY_MS)
    return false;
  if (!b->started)
    return true;
  quota_refill (b, now_ms);
  return tokenbucket_holds (&b->tokens, b->limits.burst)
         || b->limits.requests_per_s == 0;
}
