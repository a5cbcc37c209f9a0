#include "edge/outage.h"

/* No server's entry expires in a shorter outage. */
#define OUTAGE_MIN_MS 1000
/* Time to repeat a call on a new connection. A longer silence is not explained
   by the loss of a single connection. */
#define REPEAT_MAX_MS 500

void
outage_call_failed (struct outage *o, uint64_t since_ms,
                    bool on_new_connection)
{
  if (o->failures == 0)
    o->since_ms = since_ms;
  o->failures++;
  o->new_connection_failed = o->new_connection_failed || on_new_connection;
}

bool
outage_ended (struct outage *o, uint32_t call_max_ms, uint64_t now_ms)
{
  const uint64_t lasted_ms = now_ms - o->since_ms;
  const struct outage ended = *o;

  *o = (struct outage){ 0 };
  if (ended.failures == 0)
    return false;
  if (ended.new_connection_failed)
    return lasted_ms >= OUTAGE_MIN_MS;
  return lasted_ms > call_max_ms + REPEAT_MAX_MS;
}
