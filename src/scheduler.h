#pragma once

#include "bus.h"
#include "kernel.h"
#include "peer.h"

struct scheduler;

/** scheduler_get() - return the scheduler plug-in of this kernel. */
struct scheduler *scheduler_get (struct kernel *kernel);
/**
 * scheduler_grant() - request a grant from the scheduler of a model or plain
 * service.
 * @args: copied before return; @args->entry is set here. The model of a plain
 *   service is empty.
 * @fn: runs once, with a struct grant_res and @err 0. If no scheduler can be
 *   reached before the deadline, the result is made locally with
 *   GRANT_UNAVAILABLE or GRANT_DEADLINE. @err is -ECANCELED when the node
 *   stops.
 *
 * A repeated request of this node with the same request id cancels the former
 * request or releases its grant.
 */
void scheduler_grant (struct scheduler *scheduler,
                      const struct grant_args *args, bus_reply_fn fn,
                      void *ctx);
/**
 * scheduler_release() - report the outcome of a granted attempt.
 * @args: copied before return.
 *
 * Each grant is released exactly once, with ATTEMPT_UNUSED if it was not used.
 * The report is sent until the granting scheduler has answered, or given up
 * after a while.
 */
void scheduler_release (struct scheduler *scheduler,
                        const struct release_args *args);

/** struct scheduler_info - a model or plain service that this node schedules.
 * @model: empty for a plain service.
 */
struct scheduler_info
{
  struct str service;
  struct str model;
  size_t targets;
  size_t waiting;
  size_t in_flight;
};

/** scheduler_each() - call @fn for each model and plain service that this node
 * schedules. */
void scheduler_each (const struct scheduler *scheduler,
                     void (*fn) (void *ctx, const struct scheduler_info *info),
                     void *ctx);
