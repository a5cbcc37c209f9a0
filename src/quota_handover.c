#include "quota_impl.h"

#include <stdlib.h>

#include "err.h"

struct transfer *
quota_find_transfer (const struct quota *q, struct str customer)
{
  struct transfer *t;

  HASH_FIND (hh, q->transfers, customer.data, customer.len, t);
  return t;
}

void
quota_free_transfer (struct quota *q, struct transfer *t)
{
  HASH_DEL (q->transfers, t);
  str_free (&t->customer);
  str_free (&t->to);
  free (t);
}

/* Returns the time by which entry nodes have reported to this node the
   requests in flight. */
static uint64_t
node_settled_ms (const struct quota *q)
{
  const uint64_t view_settled_ms = q->views[0].since_ms + QUOTA_SETTLE_MS;

  return view_settled_ms > q->settled_ms ? view_settled_ms : q->settled_ms;
}

/* Starts an empty bucket that refills from @refilled_ms on. Its holds are
   complete at @settled_ms, or later if this node has not settled by then. */
static void
start_empty (const struct quota *q, struct bucket *b, uint64_t refilled_ms,
             uint64_t settled_ms)
{
  const uint64_t node_ms = node_settled_ms (q);

  b->started = true;
  b->tokens = (struct tokenbucket){ .refilled_ms = refilled_ms };
  b->settled_ms = settled_ms > node_ms ? settled_ms : node_ms;
}

/* Starts a bucket and returns QUOTA_GRANTED, or returns QUOTA_NEEDS_HANDOVER
   if a previous owner may still hold the customer's bucket. */
struct quota_decision
quota_start_bucket (struct quota *q, struct bucket *b, uint64_t now_ms)
{
  const struct transfer *t = quota_find_transfer (q, b->customer);
  struct str previous;
  uint64_t since_ms = quota_owner_since (q, b->customer, now_ms, &previous);

  if (t)
    {
      previous = t->to;
      since_ms = now_ms;
    }
  if (previous.len > 0 && member_find (&quota_latest_view (q)->view, previous))
    return quota_decide_with_node (q, QUOTA_NEEDS_HANDOVER, previous);
  start_empty (q, b, since_ms,
               previous.len > 0 ? since_ms + QUOTA_SETTLE_MS : 0);
  return (struct quota_decision){ .code = QUOTA_GRANTED };
}

void
quota_hand_over (struct quota *q, struct str customer, struct str to,
                 uint64_t now_ms, struct quota_state *out)
{
  struct quota_state state = { 0 };
  struct hold *h;
  struct hold *next;

  quota_check_pause (q, now_ms);
  struct bucket *b = quota_find_bucket (q, customer);
  struct transfer *t = quota_find_transfer (q, customer);
  if (t)
    quota_free_transfer (q, t);
  t = xcalloc (1, sizeof *t);
  t->customer = str_dup (customer);
  t->to = str_dup (to);
  t->at_ms = now_ms;
  HASH_ADD_KEYPTR (hh, q->transfers, t->customer.data, t->customer.len, t);
  /* The state of a bucket lost longer ago is stale: other owners have granted
     requests since. */
  if (b && b->ownership_lost
      && now_ms - b->ownership_lost_ms > QUOTA_SETTLE_MS)
    {
      quota_free_bucket (q, b);
      b = NULL;
    }
  uint64_t settled_ms = q->view_count > 0 ? node_settled_ms (q) : 0;
  if (b)
    settled_ms = b->started ? b->settled_ms : now_ms + QUOTA_SETTLE_MS;
  if (settled_ms > now_ms)
    state.settling_ms = (uint32_t)(settled_ms - now_ms);
  if (b)
    {
      state.known = b->started;
      if (b->started)
        quota_refill (b, now_ms);
      state.tokens = (uint64_t)b->tokens.level;
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
drop_transfer (struct quota *q, struct str customer)
{
  struct transfer *t = quota_find_transfer (q, customer);

  if (t)
    quota_free_transfer (q, t);
}

void
quota_import (struct quota *q, struct str customer,
              const struct quota_state *state, uint64_t now_ms)
{
  struct str previous;

  quota_check_pause (q, now_ms);
  struct bucket *b = quota_get_bucket (q, customer);
  if (b->started || q->view_count == 0)
    return;
  uint64_t since_ms = quota_owner_since (q, customer, now_ms, &previous);
  uint64_t settled_ms = now_ms + state->settling_ms;
  if (quota_find_transfer (q, customer))
    since_ms = now_ms;
  if (settled_ms < since_ms + QUOTA_SETTLE_MS)
    settled_ms = since_ms + QUOTA_SETTLE_MS;
  /* A previous owner without a bucket has granted nothing that still counts,
     so the bucket refills from the time when this node became owner. */
  start_empty (q, b, since_ms, settled_ms);
  if (state->known)
    {
      b->tokens.level = (double)state->tokens;
      b->tokens.refilled_ms = now_ms;
      b->settled_ms = now_ms + state->settling_ms;
    }
  drop_transfer (q, customer);
  for (size_t i = 0; i < state->hold_count; i++)
    quota_set_hold (b, state->holds[i].id, now_ms + state->holds[i].left_ms);
}

void
quota_handover_failed (struct quota *q, struct str customer, uint64_t now_ms)
{
  quota_check_pause (q, now_ms);
  struct bucket *b = quota_get_bucket (q, customer);
  if (b->started || q->view_count == 0)
    return;
  drop_transfer (q, customer);
  /* The previous owner may keep granting requests until its view changes. */
  start_empty (q, b, now_ms + QUOTA_SETTLE_MS, now_ms + QUOTA_SETTLE_MS);
}

void
quota_handover_refused (struct quota *q, struct str customer, uint64_t now_ms)
{
  struct str previous;

  if (now_ms - quota_owner_since (q, customer, now_ms, &previous)
      >= QUOTA_SETTLE_MS)
    quota_handover_failed (q, customer, now_ms);
}
