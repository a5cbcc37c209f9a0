#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The order in which calls that wait for a server are offered to servers.

   Calls whose response has begun come first, because they can't be refused any
   more, then calls by priority. A call that has waited for more than half of
   its time counts one priority level higher, and for more than three quarters,
   two levels, so that urgent calls don't starve others. Within a level,
   calls that can still meet their latency objective come before late ones,
   which lose less by waiting longer. Then calls with less time left come
   first, until the objective or, if they are late, until they stop waiting;
   then those with less work, then those added first. */

/**
 * struct waitorder_call - a waiting call.
 * @begun: its response has begun.
 * @priority: 0 is the most urgent.
 * @arrival_ms: when it arrived.
 * @deadline_ms: when it stops waiting.
 * @objective_ms: when it misses its latency objective; 0 for none.
 * @work: prompt and output tokens; 0 if not known.
 * @ref: the caller's.
 */
struct waitorder_call
{
  bool begun;
  uint32_t priority;
  uint64_t arrival_ms;
  uint64_t deadline_ms;
  uint64_t objective_ms;
  uint64_t work;
  void *ref;
};

struct waitorder;

struct waitorder *waitorder_create (void);
void waitorder_destroy (struct waitorder *order);
/** waitorder_add() - add a call, in the order of arrival.
 * @now_ms: the same for all calls until the order is empty again. */
void waitorder_add (struct waitorder *order, const struct waitorder_call *call,
                    uint64_t now_ms);
/** waitorder_pop() - remove the first call and return its @ref; NULL if there
 * is none. */
void *waitorder_pop (struct waitorder *order);
/** waitorder_level() - priority of a call after the time that it has waited.
 */
uint32_t waitorder_level (const struct waitorder_call *call, uint64_t now_ms);
