#include "edge/nodecount.h"

/* All buckets together last longer than the window of the retry budget. */
#define BUCKET_MS 1000
/* Counts older than all buckets are dropped, except while no holder tells. */
static void
advance (struct nodecount *c, uint64_t now)
{
  const uint64_t bucket = now / BUCKET_MS;
  uint64_t i = c->bucket + 1;

  if (bucket >= c->bucket + NODECOUNT_BUCKETS)
    i = bucket - NODECOUNT_BUCKETS + 1;
  for (; i <= bucket; i++)
    c->most[i % NODECOUNT_BUCKETS] = 0;
  if (bucket > c->bucket)
    c->bucket = bucket;
}

void
nodecount_told (struct nodecount *c, uint32_t nodes, uint64_t now)
{
  uint32_t *most;

  if (nodes == 0)
    return;
  c->known = true;
  advance (c, now);
  most = &c->most[c->bucket % NODECOUNT_BUCKETS];
  if (nodes > *most)
    *most = nodes;
}

uint32_t
nodecount_most (const struct nodecount *c)
{
  uint32_t most = 0;

  for (int i = 0; i < NODECOUNT_BUCKETS && c->known; i++)
    if (c->most[i] > most)
      most = c->most[i];
  return most;
}
