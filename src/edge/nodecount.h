#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Number of nodes that share a common limit, as reported by placement holders.
   With too small a number the sum of the nodes' shares exceeds the limit, so
   the maximum of the recent counts is used. Does no I/O and reads no clock. */

#define NODECOUNT_BUCKETS 12

/**
 * struct nodecount - maximum count in a sliding window; initialised to zero.
 * @max_nodes: maximum of the counts received in each bucket.
 * @bucket: number of the newest bucket.
 * @known: a count was received.
 */
struct nodecount
{
  uint32_t max_nodes[NODECOUNT_BUCKETS];
  uint64_t bucket;
  bool known;
};

/** nodecount_record() - Records the number of nodes that a holder counted; 0
 * while it does not know it. */
void nodecount_record (struct nodecount *count, uint32_t nodes,
                       uint64_t now_ms);
/** nodecount_max() - Returns the largest recent count, or 0 when no holder
 * reported one. */
uint32_t nodecount_max (const struct nodecount *count);
