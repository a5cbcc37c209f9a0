#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Budget of log lines a second. Pure. Lines beyond it are dropped and counted,
   so that a burst of events costs a bounded share of the processor. */

/**
 * struct log_budget - token bucket; zero-initialise for a full one.
 * @dropped: lines dropped since the last report of them.
 */
struct log_budget
{
  double spent;
  uint64_t at_ms;
  uint64_t dropped;
};

/**
 * log_budget_take() - may a line be written.
 * @important: warnings and errors; they may use the last part of the budget.
 */
bool log_budget_take (struct log_budget *budget, bool important,
                      uint64_t now_ms);
/** log_budget_report() - number of lines dropped since the last report, to be
 * told before the next line. */
uint64_t log_budget_report (struct log_budget *budget);
