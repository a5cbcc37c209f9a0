#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Rate limit of log lines, without I/O. Lines above the limit are dropped and
   counted, so that a burst of events uses a bounded share of the CPU. */

/**
 * struct log_budget - token bucket; zero-initialised, the bucket is full.
 * @used_lines: tokens taken from the bucket and not refilled yet.
 * @updated_ms: time of the last refill.
 * @dropped: lines dropped since the last log_budget_take_dropped().
 */
struct log_budget
{
  double used_lines;
  uint64_t updated_ms;
  uint64_t dropped;
};

/**
 * log_budget_take() - take a token for one line.
 * @important: true for warnings and errors, which may use the reserved share.
 *
 * Returns false if the line must be dropped, which is counted.
 */
bool log_budget_take (struct log_budget *budget, bool important,
                      uint64_t now_ms);
/** log_budget_take_dropped() - return the number of dropped lines and reset
 * it; it is logged before the next line. */
uint64_t log_budget_take_dropped (struct log_budget *budget);
