#include "retry.h"

/* Amounts are in thousandths of a retry. */
#define ONE_RETRY 1000u
#define PER_FIRST_ATTEMPT 100u
#define FLOOR_PER_SECOND ONE_RETRY
/* A single network fault can break a connection of every entry at once, even
   for a rarely used model: one retry for each of 4 entries and one spare. */
#define FLOOR_MAX (5 * ONE_RETRY)
/* Limits the budget accumulated by first attempts, so that a long period
   without retries does not allow a retry storm. */
#define EARNED_MAX (10 * ONE_RETRY)
#define REFUNDED_MAX (1000 * ONE_RETRY)

static void
add (struct retry_budget *r, uint64_t amount, uint32_t limit)
{
  if (r->milli_retries >= limit)
    return;
  if (amount > limit - r->milli_retries)
    amount = limit - r->milli_retries;
  r->milli_retries += (uint32_t)amount;
}

/* Credits the minimum rate since the last call, but never above FLOOR_MAX.
   Beyond that only first attempts and refunds add to the budget. */
static void
add_floor (struct retry_budget *r, uint64_t now_ms)
{
  if (now_ms <= r->floor_added_ms)
    return;
  add (r, (now_ms - r->floor_added_ms) * FLOOR_PER_SECOND / 1000, FLOOR_MAX);
  r->floor_added_ms = now_ms;
}

void
retry_init (struct retry_budget *r, uint64_t now_ms)
{
  *r = (struct retry_budget){ .milli_retries = FLOOR_MAX,
                              .floor_added_ms = now_ms };
}

void
retry_add_first_attempt (struct retry_budget *r, uint64_t now_ms)
{
  add_floor (r, now_ms);
  add (r, PER_FIRST_ATTEMPT, EARNED_MAX);
}

void
retry_refund (struct retry_budget *r)
{
  add (r, ONE_RETRY, REFUNDED_MAX);
}

bool
retry_take (struct retry_budget *r, uint64_t now_ms)
{
  add_floor (r, now_ms);
  if (r->milli_retries < ONE_RETRY)
    return false;
  r->milli_retries -= ONE_RETRY;
  return true;
}
