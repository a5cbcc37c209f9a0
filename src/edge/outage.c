#include "edge/outage.h"

/* No server's entry expires in a shorter outage. */
#define OUTAGE_MIN_MS 1000
/* Time to repeat a call on a new connection. A longer silence is not explained
   by the loss of a single connection. */
#define REPEAT_MAX_MS 500

void
outage_call_failed (struct outage *o, uint64_t since_ms)
{
  if (o->failures == 0)
    o->since_ms = since_ms;
  o->failures++;
}

bool
outage_ended (struct outage *o, uint32_t call_max_ms, uint64_t now_ms)
{
  const uint64_t lasted_ms = now_ms - o->since_ms;
  const uint32_t failures = o->failures;

  o->failures = 0;
  if (failures == 0)
    return false;
  /* The repetition of the first failed call was made on a new connection. */
  if (failures > 1)
    return lasted_ms >= OUTAGE_MIN_MS;
  return lasted_ms > call_max_ms + REPEAT_MAX_MS;
}
