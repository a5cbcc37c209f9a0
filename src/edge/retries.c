#include "edge/retries.h"

#include <string.h>

/* Share of the budget that a node uses. The rest covers differences between
   the nodes' counts, for example while the number of nodes is not known
   exactly. */
#define BUDGET_SHARE 0.7
/* Share of this that may be used by calls that were not executed. */
#define REJECTION_SHARE 0.75

static void
advance (struct retries *r, const struct retries_limits *l, uint64_t now_ms)
{
  const uint64_t bucket = now_ms / (l->window_ms / RETRIES_WINDOW_BUCKETS);
  uint64_t i = r->newest_bucket + 1;

  if (bucket >= r->newest_bucket + RETRIES_BUCKETS)
    i = bucket - RETRIES_BUCKETS + 1;
  for (; i <= bucket; i++)
    {
      r->first_sends[i % RETRIES_BUCKETS] = 0;
      r->repeats[i % RETRIES_BUCKETS] = 0;
    }
  if (bucket > r->newest_bucket)
    r->newest_bucket = bucket;
}

static uint32_t
sum (const uint32_t *counts)
{
  uint32_t total = 0;

  for (size_t i = 0; i < RETRIES_BUCKETS; i++)
    total += counts[i];
  return total;
}

void
retries_count_first_send (struct retries *r, const struct retries_limits *l,
                          uint64_t now_ms)
{
  advance (r, l, now_ms);
  r->first_sends[r->newest_bucket % RETRIES_BUCKETS]++;
}

bool
retries_allowed (struct retries *r, const struct retries_limits *l,
                 enum retry_cause cause, uint32_t nodes, uint64_t now_ms)
{
  const double share = cause == RETRY_AFTER_REJECTION
                           ? BUDGET_SHARE * REJECTION_SHARE
                           : BUDGET_SHARE;

  advance (r, l, now_ms);
  const double allowed
      = l->ratio * sum (r->first_sends) + l->slack / (nodes > 0 ? nodes : 1);

  return sum (r->repeats) + 1 <= allowed * share;
}

void
retries_refund (struct retries *r, const struct retries_limits *l,
                uint64_t now_ms)
{
  advance (r, l, now_ms);
  for (uint64_t i = r->newest_bucket; i + RETRIES_BUCKETS > r->newest_bucket;
       i--)
    if (r->repeats[i % RETRIES_BUCKETS] > 0)
      {
        r->repeats[i % RETRIES_BUCKETS]--;
        return;
      }
}

bool
retries_take (struct retries *r, const struct retries_limits *l,
              enum retry_cause cause, uint32_t nodes, uint64_t now_ms)
{
  if (!retries_allowed (r, l, cause, nodes, now_ms))
    return false;
  r->repeats[r->newest_bucket % RETRIES_BUCKETS]++;
  return true;
}
