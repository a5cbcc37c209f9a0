#include "edge/nodecount.h"

/* All buckets together cover more time than the window of the retry budget. */
#define BUCKET_MS 1000

/* Moves on to the current bucket and clears those in between. Runs only when a
   count arrives, so that old counts stay while no holder reports any. */
static void
advance (struct nodecount *c, uint64_t now)
{
  const uint64_t bucket = now / BUCKET_MS;
  uint64_t i = c->bucket + 1;

  if (bucket >= c->bucket + NODECOUNT_BUCKETS)
    i = bucket - NODECOUNT_BUCKETS + 1;
  for (; i <= bucket; i++)
    c->max_nodes[i % NODECOUNT_BUCKETS] = 0;
  if (bucket > c->bucket)
    c->bucket = bucket;
}

void
nodecount_record (struct nodecount *c, uint32_t nodes, uint64_t now)
{
  uint32_t *max;

  if (nodes == 0)
    return;
  c->known = true;
  advance (c, now);
  max = &c->max_nodes[c->bucket % NODECOUNT_BUCKETS];
  if (nodes > *max)
    *max = nodes;
}

uint32_t
nodecount_max (const struct nodecount *c)
{
  uint32_t max = 0;

  for (int i = 0; i < NODECOUNT_BUCKETS && c->known; i++)
    if (c->max_nodes[i] > max)
      max = c->max_nodes[i];
  return max;
}
