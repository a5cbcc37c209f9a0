#include "retry.h"

#define RETRY 1000u
#define FIRST_SHARE 100u /* 10 % of a retry */
#define FLOOR_PER_S RETRY
/* One fault of the network meets a connection of each entry at once, also of a
   model that is rarely used: one retry for each of 4 entries and one more. */
#define FLOOR_KEPT (5 * RETRY)
/* Unused budget is kept up to this many retries, so that a long calm does not
   pay for a storm of retries. */
#define KEPT (10 * RETRY)
#define REFUNDED_MAX (1000 * RETRY)

static void
add (struct retry *r, uint64_t amount, uint32_t limit)
{
  if (r->thousandths >= limit)
    return;
  if (amount > limit - r->thousandths)
    amount = limit - r->thousandths;
  r->thousandths += (uint32_t)amount;
}

/* The floor refills a small budget only; above it the share of first attempts
   decides. */
static void
add_floor (struct retry *r, uint64_t now_ms)
{
  if (now_ms <= r->floor_ms)
    return;
  add (r, (now_ms - r->floor_ms) * FLOOR_PER_S / 1000, FLOOR_KEPT);
  r->floor_ms = now_ms;
}

void
retry_init (struct retry *r, uint64_t now_ms)
{
  *r = (struct retry){ .thousandths = FLOOR_KEPT, .floor_ms = now_ms };
}

void
retry_first (struct retry *r, uint64_t now_ms)
{
  add_floor (r, now_ms);
  add (r, FIRST_SHARE, KEPT);
}

void
retry_refund (struct retry *r)
{
  add (r, RETRY, REFUNDED_MAX);
}

bool
retry_take (struct retry *r, uint64_t now_ms)
{
  add_floor (r, now_ms);
  if (r->thousandths < RETRY)
    return false;
  r->thousandths -= RETRY;
  return true;
}
