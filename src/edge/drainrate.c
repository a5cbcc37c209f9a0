#include "edge/drainrate.h"

void
drainrate_start (struct drainrate *r, uint64_t now_ms)
{
  *r = (struct drainrate){ .start_ms = now_ms };
}

void
drainrate_completed (struct drainrate *r, uint64_t now_ms)
{
  const uint64_t passed_ms = now_ms - r->start_ms;

  if (passed_ms > 2 * (uint64_t)DRAINRATE_WINDOW_MS)
    {
      r->start_ms += passed_ms / 2;
      r->completions /= 2;
    }
  r->completions++;
}

bool
drainrate_time_for (const struct drainrate *r, uint32_t places,
                    uint64_t now_ms, uint64_t *out_ms)
{
  if (r->completions < DRAINRATE_COMPLETIONS_MIN)
    return false;
  *out_ms = (now_ms - r->start_ms) * places / r->completions;
  return true;
}
