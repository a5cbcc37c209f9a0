#include "tokenbucket.h"

#include <math.h>

/* Larger waits, about 285 years, count as never; a double holds whole numbers
   up to here exactly. */
#define WAIT_MAX_MS 9e15

void
tokenbucket_refill (struct tokenbucket *b, double rate_per_s, double burst,
                    uint64_t now_ms)
{
  const double full = burst * TOKENBUCKET_PARTS;

  if (now_ms > b->refilled_ms)
    {
      b->level += (double)(now_ms - b->refilled_ms) * rate_per_s;
      b->refilled_ms = now_ms;
    }
  if (b->level > full)
    b->level = full;
}

bool
tokenbucket_holds (const struct tokenbucket *b, double units)
{
  return b->level >= units * TOKENBUCKET_PARTS;
}

void
tokenbucket_charge (struct tokenbucket *b, double units)
{
  b->level -= units * TOKENBUCKET_PARTS;
}

double
tokenbucket_units (const struct tokenbucket *b)
{
  return b->level / TOKENBUCKET_PARTS;
}

uint64_t
tokenbucket_wait_ms (const struct tokenbucket *b, double rate_per_s,
                     double units, uint64_t now_ms)
{
  const double missing = units * TOKENBUCKET_PARTS - b->level;

  if (missing <= 0)
    return 0;
  if (rate_per_s <= 0 || missing / rate_per_s > WAIT_MAX_MS)
    return UINT64_MAX;
  uint64_t wait_ms = (uint64_t)ceil (missing / rate_per_s);
  if (b->refilled_ms > now_ms)
    wait_ms += b->refilled_ms - now_ms;
  return wait_ms;
}
