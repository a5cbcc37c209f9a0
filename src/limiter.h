#pragma once

#include <stdint.h>

#include "bus.h"
#include "kernel.h"
#include "str.h"

/* Enforces the limits of customers' plans across all nodes of the region. One
   node, the owner, decides for each customer; the entry nodes, at which the
   clients' requests arrive, send it their takes. */

struct limiter;

/* An owner that has not replied within this time counts as unreachable. */
#define LIMITER_CALL_TIMEOUT_MS 300

struct limiter *limiter_get (struct kernel *kernel);
/**
 * limiter_take() - take one request from a customer's limits.
 * @request_id: unique; passed to limiter_finish() again.
 * @deadline_ms: time from now after which the result is of no use.
 * @fn: gets a struct quota_res (peer.h), either with granted 1 or with granted
 *   0, retry_after_ms and detail. On an error no owner could be reached, and
 *   the hint gives the reason. Never runs before limiter_take() returns.
 */
void limiter_take (struct limiter *limiter, struct str customer,
                   struct str request_id, uint32_t deadline_ms,
                   bus_reply_fn fn, void *ctx);
/** limiter_finish() - report that a granted request is no longer in flight. */
void limiter_finish (struct limiter *limiter, struct str customer,
                     struct str request_id);
