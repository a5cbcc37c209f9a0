#include "quota_impl.h"

#include <stdlib.h>

#include "err.h"

struct yield *
quota_find_yield (const struct quota *q, struct str customer)
{
  struct yield *y;

  HASH_FIND (hh, q->yields, customer.data, customer.len, y);
  return y;
}

void
quota_free_yield (struct quota *q, struct yield *y)
{
  HASH_DEL (q->yields, y);
  str_free (&y->customer);
  str_free (&y->to);
  free (y);
}

/* When entries have reported to this node what is in flight. */
static uint64_t
node_settled_ms (const struct quota *q)
{
  const uint64_t joined_ms = q->views[0].since_ms + QUOTA_SETTLE_MS;

  return joined_ms > q->settled_ms ? joined_ms : q->settled_ms;
}

/* Starts a bucket that fills from a time on; requests in flight are known
   from another time on. */
static void
start_empty (const struct quota *q, struct bucket *b, uint64_t filled_ms,
             uint64_t settled_ms)
{
  const uint64_t own_ms = node_settled_ms (q);

  b->ready = true;
  b->tokens = 0;
  b->filled_ms = filled_ms;
  b->settled_ms = settled_ms > own_ms ? settled_ms : own_ms;
}

/* Decides where a bucket starts. QUOTA_GRANTED means that it is ready. */
struct quota_answer
quota_start_bucket (struct quota *q, struct bucket *b, uint64_t now_ms)
{
  const struct yield *y = quota_find_yield (q, b->customer);
  struct str former;
  uint64_t since_ms = quota_owner_since (q, b->customer, now_ms, &former);

  if (y)
    {
      former = y->to;
      since_ms = now_ms;
    }
  if (former.len > 0 && member_find (&quota_latest_view (q)->view, former))
    return quota_refer (q, QUOTA_ASK_FORMER, former);
  start_empty (q, b, since_ms,
               former.len > 0 ? since_ms + QUOTA_SETTLE_MS : 0);
  return (struct quota_answer){ .code = QUOTA_GRANTED };
}

void
quota_yield (struct quota *q, struct str customer, struct str to,
             uint64_t now_ms, struct quota_state *out)
{
  struct quota_state state = { 0 };
  struct hold *h;
  struct hold *next;

  quota_check_pause (q, now_ms);
  struct bucket *b = quota_find_bucket (q, customer);
  struct yield *y = quota_find_yield (q, customer);
  if (y)
    quota_free_yield (q, y);
  y = xcalloc (1, sizeof *y);
  y->customer = str_dup (customer);
  y->to = str_dup (to);
  y->at_ms = now_ms;
  HASH_ADD_KEYPTR (hh, q->yields, y->customer.data, y->customer.len, y);
  /* What was lost longer ago has been granted from by others since. */
  if (b && b->lost && now_ms - b->lost_ms > QUOTA_SETTLE_MS)
    {
      quota_free_bucket (q, b);
      b = NULL;
    }
  uint64_t settled_ms = q->view_count > 0 ? node_settled_ms (q) : 0;
  if (b)
    settled_ms = b->ready ? b->settled_ms : now_ms + QUOTA_SETTLE_MS;
  if (settled_ms > now_ms)
    state.settling_ms = (uint32_t)(settled_ms - now_ms);
  if (b)
    {
      state.known = b->ready;
      if (b->ready)
        quota_refill (b, now_ms);
      state.tokens = b->tokens;
      state.holds = xcalloc (HASH_COUNT (b->holds) + 1, sizeof *state.holds);
      HASH_ITER (hh, b->holds, h, next)
      {
        if (h->expires_ms > now_ms)
          state.holds[state.hold_count++] = (struct quota_hold){
            .id = h->id, .left_ms = (u_int)(h->expires_ms - now_ms)
          };
      }
      quota_free_bucket (q, b);
    }
  *out = state;
}

static void
end_yield (struct quota *q, struct str customer)
{
  struct yield *y = quota_find_yield (q, customer);

  if (y)
    quota_free_yield (q, y);
}

void
quota_import (struct quota *q, struct str customer,
              const struct quota_state *state, uint64_t now_ms)
{
  struct str former;

  quota_check_pause (q, now_ms);
  struct bucket *b = quota_need_bucket (q, customer);
  if (b->ready || q->view_count == 0)
    return;
  uint64_t since_ms = quota_owner_since (q, customer, now_ms, &former);
  uint64_t settled_ms = now_ms + state->settling_ms;
  if (quota_find_yield (q, customer))
    since_ms = now_ms;
  if (settled_ms < since_ms + QUOTA_SETTLE_MS)
    settled_ms = since_ms + QUOTA_SETTLE_MS;
  /* A former owner without a bucket granted nothing that counts, so the
     bucket fills since this node became owner. */
  start_empty (q, b, since_ms, settled_ms);
  if (state->known)
    {
      b->tokens = state->tokens;
      b->filled_ms = now_ms;
      b->settled_ms = now_ms + state->settling_ms;
    }
  end_yield (q, customer);
  for (size_t i = 0; i < state->hold_count; i++)
    quota_set_hold (b, state->holds[i].id, now_ms + state->holds[i].left_ms);
}

void
quota_former_silent (struct quota *q, struct str customer, uint64_t now_ms)
{
  quota_check_pause (q, now_ms);
  struct bucket *b = quota_need_bucket (q, customer);
  if (b->ready || q->view_count == 0)
    return;
  end_yield (q, customer);
  /* The former owner may still grant until its view changes too. */
  start_empty (q, b, now_ms + QUOTA_SETTLE_MS, now_ms + QUOTA_SETTLE_MS);
}

void
quota_former_refused (struct quota *q, struct str customer, uint64_t now_ms)
{
  struct str former;

  if (now_ms - quota_owner_since (q, customer, now_ms, &former)
      >= QUOTA_SETTLE_MS)
    quota_former_silent (q, customer, now_ms);
}
