#include "edge/retries.h"

#include <string.h>

/* Part of the budget that is used. The rest covers what other nodes count
   otherwise, for example while their number is not known exactly. */
#define USED_SHARE 0.7
/* Part of that which calls may use that can still be refused. */
#define REFUSABLE_SHARE 0.75

static void
advance (struct retries *r, const struct retries_limits *l, uint64_t now_ms)
{
  const uint64_t bucket = now_ms / (l->window_ms / RETRIES_WINDOW_BUCKETS);
  uint64_t i = r->bucket + 1;

  if (bucket >= r->bucket + RETRIES_BUCKETS)
    i = bucket - RETRIES_BUCKETS + 1;
  for (; i <= bucket; i++)
    {
      r->first[i % RETRIES_BUCKETS] = 0;
      r->repeated[i % RETRIES_BUCKETS] = 0;
    }
  if (bucket > r->bucket)
    r->bucket = bucket;
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
retries_first (struct retries *r, const struct retries_limits *l,
               uint64_t now_ms)
{
  advance (r, l, now_ms);
  r->first[r->bucket % RETRIES_BUCKETS]++;
}

bool
retries_left (struct retries *r, const struct retries_limits *l,
              enum retry_cause cause, uint32_t nodes, uint64_t now_ms)
{
  const double share
      = cause == RETRY_REFUSABLE ? USED_SHARE * REFUSABLE_SHARE : USED_SHARE;

  advance (r, l, now_ms);
  const double allowed
      = l->ratio * sum (r->first) + l->slack / (nodes > 0 ? nodes : 1);

  return sum (r->repeated) + 1 <= allowed * share;
}

void
retries_give_back (struct retries *r, const struct retries_limits *l,
                   uint64_t now_ms)
{
  advance (r, l, now_ms);
  for (uint64_t i = r->bucket; i + RETRIES_BUCKETS > r->bucket; i--)
    if (r->repeated[i % RETRIES_BUCKETS] > 0)
      {
        r->repeated[i % RETRIES_BUCKETS]--;
        return;
      }
}

bool
retries_take (struct retries *r, const struct retries_limits *l,
              enum retry_cause cause, uint32_t nodes, uint64_t now_ms)
{
  if (!retries_left (r, l, cause, nodes, now_ms))
    return false;
  r->repeated[r->bucket % RETRIES_BUCKETS]++;
  return true;
}
