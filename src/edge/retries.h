#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Retry budget of one service over a sliding window. Pure. The nodes share the
   budget: each may use an equal part of the fixed slack, plus a ratio of its
   own first sends. */

/* One bucket more than the window has, because the window covers only a part
   of the oldest one. */
#define RETRIES_WINDOW_BUCKETS 10
#define RETRIES_BUCKETS (RETRIES_WINDOW_BUCKETS + 1)

/**
 * struct retries_limits - limits set by the operators, for all nodes together.
 * @ratio: retries allowed per first send in the window.
 * @slack: retries allowed in the window in addition.
 */
struct retries_limits
{
  double ratio;
  double slack;
  uint32_t window_ms;
};

/**
 * struct retries - counts of one service; zero-initialise.
 * @newest_bucket: number of the current bucket since time 0; its index is the
 *   number modulo RETRIES_BUCKETS.
 */
struct retries
{
  uint32_t first_sends[RETRIES_BUCKETS];
  uint32_t repeats[RETRIES_BUCKETS];
  uint64_t newest_bucket;
};

/**
 * enum retry_cause - state of a call that needs a retry.
 * @RETRY_AFTER_REJECTION: it was not executed; without a retry it is refused,
 * and the client may send it again.
 * @RETRY_AFTER_FAILURE: it may have been executed; without a retry it is lost.
 * Part of the budget is reserved for such calls.
 */
enum retry_cause
{
  RETRY_AFTER_REJECTION,
  RETRY_AFTER_FAILURE,
};

/** retries_count_first_send() - count a call that is sent for the first time.
 */
void retries_count_first_send (struct retries *r,
                               const struct retries_limits *limits,
                               uint64_t now_ms);
/**
 * retries_take() - take a retry from the budget.
 * @nodes: number of nodes that share the slack.
 *
 * Returns false if the budget doesn't allow it.
 */
bool retries_take (struct retries *r, const struct retries_limits *limits,
                   enum retry_cause cause, uint32_t nodes, uint64_t now_ms);
/** retries_allowed() - returns true if retries_take() would succeed. */
bool retries_allowed (struct retries *r, const struct retries_limits *limits,
                      enum retry_cause cause, uint32_t nodes, uint64_t now_ms);
/** retries_refund() - return a retry to the budget that reached no server. */
void retries_refund (struct retries *r, const struct retries_limits *limits,
                     uint64_t now_ms);
