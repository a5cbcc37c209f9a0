#pragma once

#include "bus.h"
#include "kernel.h"
#include "peer.h"

struct scheduler;

struct scheduler *scheduler_get (struct kernel *kernel);
/**
 * scheduler_grant() - ask the scheduler of a model or plain service.
 * @args: copied before return; @args->entry is filled in here. For a plain
 *   service the model is empty.
 * @fn: runs once, with a struct grant_res and @err 0; when no scheduler could
 *   be reached before the deadline the result is made here (GRANT_UNAVAILABLE
 *   or GRANT_DEADLINE). @err is -ECANCELED when the node stops.
 *
 * A request that asks again under the same request id gives up what it was
 * granted before.
 */
void scheduler_grant (struct scheduler *scheduler,
                      const struct grant_args *args, bus_reply_fn fn,
                      void *ctx);
/**
 * scheduler_release() - tell how the attempt of a grant ended.
 * @args: copied before return. Each grant is released once; one that was not
 *   used is released with ATTEMPT_UNUSED.
 */
void scheduler_release (struct scheduler *scheduler,
                        const struct release_args *args);

/** struct scheduler_info - a model or plain service that this node schedules;
 * @model is empty for a plain service. */
struct scheduler_info
{
  struct str service;
  struct str model;
  size_t targets;
  size_t waiting;
  size_t in_flight;
};

void scheduler_each (const struct scheduler *scheduler,
                     void (*fn) (void *ctx, const struct scheduler_info *info),
                     void *ctx);
