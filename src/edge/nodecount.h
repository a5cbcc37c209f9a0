#pragma once

#include <stdbool.h>
#include <stdint.h>

/* How many nodes share what all of them may use together, by what placement
   holders tell. Pure. Too small a count lets the sum exceed the limit, so the
   largest of the last while counts. */

/* Counts told in one bucket are kept as their maximum. */
#define NODECOUNT_BUCKETS 12

/** struct nodecount - zero-initialise. */
struct nodecount
{
  uint32_t most[NODECOUNT_BUCKETS];
  uint64_t bucket; /* number of the newest one */
  bool known;
};

/** nodecount_told() - a holder told how many nodes it hears; 0 when it does
 * not know yet. */
void nodecount_told (struct nodecount *count, uint32_t nodes, uint64_t now_ms);
/** nodecount_most() - nodes that may be there, or 0 when no holder told. */
uint32_t nodecount_most (const struct nodecount *count);
