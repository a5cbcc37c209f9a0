#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct retry_budget - retry budget of one model. Does no I/O and reads no
 * clock.
 * @milli_retries: available budget in thousandths of a retry.
 * @floor_added_ms: time up to which the minimum rate has been credited.
 *
 * Each first attempt adds a tenth of a retry, up to ten retries. A minimum
 * rate of one retry per second, up to five retries, allows retries of rarely
 * used models. Initialise with retry_init().
 */
struct retry_budget
{
  uint32_t milli_retries;
  uint64_t floor_added_ms;
};

void retry_init (struct retry_budget *retry, uint64_t now_ms);
/** retry_add_first_attempt() - credit the budget for a first attempt. */
void retry_add_first_attempt (struct retry_budget *retry, uint64_t now_ms);
/**
 * retry_refund() - return one retry to the budget.
 *
 * Called when an attempt is proved not to have executed: its retry adds no
 * load at the targets, so it must not consume budget.
 */
void retry_refund (struct retry_budget *retry);
/** retry_take() - take one retry from the budget; false if it is exhausted. */
bool retry_take (struct retry_budget *retry, uint64_t now_ms);
