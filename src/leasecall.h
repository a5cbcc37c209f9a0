#pragma once

#include <stdbool.h>

#include "bus.h"
#include "kernel.h"
#include "str.h"

struct leasecall;

/** struct leasecalls - calls in progress of one kernel. */
struct leasecalls
{
  struct leasecall *head;
  bool stopped;
};

/**
 * struct leasecall_params - call to the holder of a lease.
 * @holder: last known holder, or empty.
 * @update_holder: called after each attempt with the address of the node if
 *   the call succeeded there, else with an empty address.
 *
 * leasecall_start() copies the strings and @args.
 */
struct leasecall_params
{
  struct kernel *kernel;
  struct leasecalls *calls;
  struct str name;
  struct str region;
  struct str holder;
  uint32_t proc;
  const void *args;
  uint32_t timeout_ms;
  void (*update_holder) (void *ctx, struct str name, struct str holder);
  void *update_holder_ctx;
};

/** leasecall_start() - see lease_call(). */
void leasecall_start (const struct leasecall_params *p, bus_reply_fn fn,
                      void *ctx);
/** leasecall_stop() - fail the calls that wait between rounds with -ECANCELED,
 * and start no new round.
 */
void leasecall_stop (struct leasecalls *calls);
