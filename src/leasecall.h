#pragma once

#include <stdbool.h>

#include "bus.h"
#include "kernel.h"
#include "str.h"

struct leasecall;

/** struct leasecalls - the calls in progress of one kernel. */
struct leasecalls
{
  struct leasecall *head;
  bool stopped;
};

/**
 * struct leasecall_params - a call to the holder of a lease; all is copied.
 * @holder: last known holder, or empty.
 * @remember: told where the holder answered, or an empty address when a node
 *   turned out not to be it.
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
  void (*remember) (void *ctx, struct str name, struct str holder);
  void *remember_ctx;
};

/** leasecall_start() - see lease_call(). */
void leasecall_start (const struct leasecall_params *p, bus_reply_fn fn,
                      void *ctx);
/** leasecall_stop() - end the calls that wait for a holder; start no rounds.
 */
void leasecall_stop (struct leasecalls *calls);
