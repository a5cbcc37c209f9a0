#include "logbudget.h"

/* Lines a second in the long run: over ten for each call that a node of half a
   core can serve a second. */
#define LINES_PER_S 400
/* Lines at once after a quiet time. */
#define BURST_LINES 1200
/* Part of the burst that is kept for warnings and errors. */
#define IMPORTANT_SHARE 0.1

bool
log_budget_take (struct log_budget *b, bool important, uint64_t now_ms)
{
  const double limit
      = important ? BURST_LINES : BURST_LINES * (1 - IMPORTANT_SHARE);
  const uint64_t passed_ms = now_ms > b->at_ms ? now_ms - b->at_ms : 0;

  b->spent -= LINES_PER_S * (double)passed_ms / 1000;
  if (b->spent < 0)
    b->spent = 0;
  b->at_ms = now_ms;
  if (b->spent + 1 > limit)
    {
      b->dropped++;
      return false;
    }
  b->spent += 1;
  return true;
}

uint64_t
log_budget_report (struct log_budget *b)
{
  const uint64_t n = b->dropped;

  b->dropped = 0;
  return n;
}
