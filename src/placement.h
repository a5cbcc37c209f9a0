#pragma once

#include <stdint.h>

#include "bus.h"
#include "kernel.h"
#include "peer.h"

struct placement;

struct placement *placement_get (struct kernel *kernel);
/**
 * placement_wake() - ask the placement owner for replicas of a model.
 * @args: @deadline_ms is the time left. The owner answers once the replicas
 *   are loaded, or refuses.
 * @fn: result is a struct wake_res; -ESTALE if no owner was found in time.
 */
void placement_wake (struct placement *placement, const struct wake_args *args,
                     bus_reply_fn fn, void *ctx);
/**
 * placement_usage() - report use since the last report to the owner.
 * @fn: result is a struct usage_res with the present replicas, one item for
 *   each of @args in the same order.
 */
void placement_usage (struct placement *placement,
                      const struct usage_args *args, uint32_t timeout_ms,
                      bus_reply_fn fn, void *ctx);
