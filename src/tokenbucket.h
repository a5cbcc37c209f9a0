#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Token bucket. Does no I/O and reads no clock. */

/* Parts of bucket::level per unit; 1 ms at 1 unit/s adds one part. Levels of
   whole-number rates are thus exact. */
#define TOKENBUCKET_PARTS 1000

/**
 * struct tokenbucket - level of a bucket.
 * @level: in parts of a unit; negative for a debt.
 * @refilled_ms: time up to which units were added; may lie in the future,
 *   then none are added until it has passed.
 */
struct tokenbucket
{
  double level;
  uint64_t refilled_ms;
};

/** tokenbucket_refill() - add what @rate_per_s gave since the last refill, up
 * to @burst units. */
void tokenbucket_refill (struct tokenbucket *b, double rate_per_s,
                         double burst, uint64_t now_ms);
/** tokenbucket_holds() - Returns true if the bucket holds @units. */
bool tokenbucket_holds (const struct tokenbucket *b, double units);
/** tokenbucket_charge() - remove @units, leaving a debt if it holds fewer. */
void tokenbucket_charge (struct tokenbucket *b, double units);
/** tokenbucket_units() - Returns the units held; negative for a debt. */
double tokenbucket_units (const struct tokenbucket *b);
/** tokenbucket_wait_ms() - Returns the time until the bucket holds @units at
 * this rate, rounded up; UINT64_MAX for never. */
uint64_t tokenbucket_wait_ms (const struct tokenbucket *b, double rate_per_s,
                              double units, uint64_t now_ms);
