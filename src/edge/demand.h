#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "edge/drainrate.h"
#include "str.h"

/* Demand of this node's calls for models and adapters. Does no I/O and reads
   no clock. */

/* Time constant of the decay of call rates. */
#define DEMAND_RATE_MS 8000.0

struct demand;

/**
 * struct demand_item - demand for a model, or for an adapter of it.
 * @adapter: empty for the model itself.
 * @waiting: queued calls.
 * @full_waiting: those that wait because all servers are full.
 * @full_check: number of the check of waiting calls that found all servers
 *   full.
 * @ahead: calls that this check left waiting.
 * @drain: how fast places become free, while @full_waiting is above 0.
 * @running: calls in flight at servers.
 * @arrivals: calls since the last demand_take().
 * @rate: calls per second, decaying with the time constant DEMAND_RATE_MS; as
 *   of the last demand_take().
 * @idle_ms: time since the last call; as of the last demand_take().
 */
struct demand_item
{
  struct str service;
  struct str model;
  struct str adapter;
  uint32_t waiting;
  uint32_t full_waiting;
  uint64_t full_check;
  uint32_t ahead;
  struct drainrate drain;
  uint32_t running;
  uint32_t arrivals;
  double rate;
  uint32_t idle_ms;
};

/** demand_rate() - Returns a call rate after @passed_ms of decay and
 * @arrivals further calls. */
double demand_rate (double rate, double passed_ms, uint32_t arrivals);
struct demand *demand_create (void);
void demand_destroy (struct demand *demand);
/** demand_key() - Joins the three names to a unique string; free it with
 * str_free(). */
struct str demand_key (struct str service, struct str model,
                       struct str adapter);
/** demand_model_hash() - Returns a hash that stands for the names of a service
 * and its model in digests, whose size then does not depend on names. */
uint64_t demand_model_hash (struct str service, struct str model);
/** demand_lookup() - Returns the item of the three names, or NULL. */
struct demand_item *demand_lookup (const struct demand *demand,
                                   struct str service, struct str model,
                                   struct str adapter);
/** demand_find() - Returns the item of the three names, created at first use.
 * An item with calls stays valid; one without calls may be removed by
 * demand_take(). */
struct demand_item *demand_find (struct demand *demand, struct str service,
                                 struct str model, struct str adapter);
/**
 * demand_take() - Calls @fn for each item that has calls, or had some at the
 * previous demand_take(), and resets its arrivals.
 * @include_idle: includes the other items, for a holder that has received no
 *   demand from this node yet.
 */
void demand_take (struct demand *demand, bool include_idle, uint64_t now_ms,
                  void (*fn) (void *ctx, const struct demand_item *item),
                  void *ctx);
