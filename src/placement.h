#pragma once

#include <stdint.h>

#include "bus.h"
#include "kernel.h"
#include "peer.h"

struct placement;

struct placement *placement_get (struct kernel *kernel);
/**
 * placement_wake() - requests replicas of a model from the placement owner.
 * @args: @deadline_ms is the time left. The owner answers once replicas are
 *   loaded, or refuses.
 * @fn: receives a struct wake_res, or -ESTALE if no owner was found in time.
 */
void placement_wake (struct placement *placement, const struct wake_args *args,
                     bus_reply_fn fn, void *ctx);
/**
 * placement_usage() - reports usage since the last report to the placement
 * owner.
 * @fn: receives a struct usage_res with the available replicas, one item for
 *   each item of @args in the same order.
 */
void placement_usage (struct placement *placement,
                      const struct usage_args *args, uint32_t timeout_ms,
                      bus_reply_fn fn, void *ctx);
