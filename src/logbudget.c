#include "logbudget.h"

/* Sustained rate in lines per second: more than ten lines for each call that a
   node on half a core can serve per second. */
#define LINES_PER_S 400
/* Maximum burst after an idle period. */
#define BURST_LINES 1200
/* Share of the burst that is reserved for warnings and errors. */
#define RESERVED_SHARE 0.1

bool
log_budget_take (struct log_budget *b, bool important, uint64_t now_ms)
{
  const double limit
      = important ? BURST_LINES : BURST_LINES * (1 - RESERVED_SHARE);
  const uint64_t passed_ms
      = now_ms > b->updated_ms ? now_ms - b->updated_ms : 0;

  b->used_lines -= LINES_PER_S * (double)passed_ms / 1000;
  if (b->used_lines < 0)
    b->used_lines = 0;
  b->updated_ms = now_ms;
  if (b->used_lines + 1 > limit)
    {
      b->dropped++;
      return false;
    }
  b->used_lines += 1;
  return true;
}

uint64_t
log_budget_take_dropped (struct log_budget *b)
{
  const uint64_t n = b->dropped;

  b->dropped = 0;
  return n;
}
