#pragma once

#include <stdint.h>

#include "bus.h"
#include "kernel.h"
#include "str.h"

/* The limits of customers' plans, over all nodes of the region. */

struct limiter;

/* An owner that has not answered by then is taken as unreachable. */
#define LIMITER_CALL_MS 300

struct limiter *limiter_get (struct kernel *kernel);
/**
 * limiter_take() - take one request from a customer's limits.
 * @request_id: unique; names the request to limiter_finish().
 * @deadline_ms: no answer is of use later.
 * @fn: its result is a struct quota_res (peer.h): granted 1; or granted 0 with
 *   retry_after_ms and detail. An error means that no owner could be asked;
 *   the hint says why. Never runs before this returns.
 */
void limiter_take (struct limiter *limiter, struct str customer,
                   struct str request_id, uint32_t deadline_ms,
                   bus_reply_fn fn, void *ctx);
/** limiter_finish() - a granted request is no longer in flight. */
void limiter_finish (struct limiter *limiter, struct str customer,
                     struct str request_id);
