#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Budget of repeated calls to one service, in a sliding window. Pure. All
   nodes share it: each takes its part of the fixed slack, and a ratio of its
   own first calls. */

/* Buckets in a window, and one more, since the oldest is cut by it. */
#define RETRIES_WINDOW_BUCKETS 10
#define RETRIES_BUCKETS (RETRIES_WINDOW_BUCKETS + 1)

/**
 * struct retries_limits - what the operators allow over all nodes.
 * @ratio: repeated calls for each first call in the window.
 * @slack: repeated calls in the window besides.
 */
struct retries_limits
{
  double ratio;
  double slack;
  uint32_t window_ms;
};

/** struct retries - counts of one service; zero-initialise. */
struct retries
{
  uint32_t first[RETRIES_BUCKETS];
  uint32_t repeated[RETRIES_BUCKETS];
  uint64_t bucket; /* number of the newest one */
};

/**
 * enum retry_cause - what becomes of the call if it is not sent once more.
 * @RETRY_REFUSABLE: it has not run, and its client may come back.
 * @RETRY_BEGUN: it has run, and is lost; part of the budget is kept for such.
 */
enum retry_cause
{
  RETRY_REFUSABLE,
  RETRY_BEGUN,
};

/** retries_first() - a call was sent to a server for the first time. */
void retries_first (struct retries *r, const struct retries_limits *limits,
                    uint64_t now_ms);
/**
 * retries_take() - may a call be sent to a server once more.
 * @nodes: that share the slack.
 */
bool retries_take (struct retries *r, const struct retries_limits *limits,
                   enum retry_cause cause, uint32_t nodes, uint64_t now_ms);
/** retries_left() - would retries_take() allow it. */
bool retries_left (struct retries *r, const struct retries_limits *limits,
                   enum retry_cause cause, uint32_t nodes, uint64_t now_ms);
/** retries_give_back() - the call that retries_take() allowed reached no
 * server. */
void retries_give_back (struct retries *r, const struct retries_limits *limits,
                        uint64_t now_ms);
