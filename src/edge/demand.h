#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* What calls of this node ask of models and adapters. Pure. */

/* Time constant of the rates of calls. */
#define DEMAND_RATE_MS 8000.0

struct demand;

/**
 * struct demand_item - demand for a model, or for an adapter of it.
 * @adapter: empty for the model itself.
 * @waiting: calls that wait now.
 * @running: calls at servers now.
 * @arrivals: calls since the last demand_take().
 * @rate: calls a second, over about 8 s.
 * @idle_ms: since the last call.
 */
struct demand_item
{
  struct str service;
  struct str model;
  struct str adapter;
  uint32_t waiting;
  uint32_t running;
  uint32_t arrivals;
  double rate;
  uint32_t idle_ms;
};

/** demand_rate() - a rate after some time, and the calls that came then. */
double demand_rate (double rate, double passed_ms, uint32_t arrivals);
struct demand *demand_create (void);
void demand_destroy (struct demand *demand);
/** demand_key() - one string for the three names; free with str_free(). */
struct str demand_key (struct str service, struct str model,
                       struct str adapter);
/** demand_find() - the item of a key; made at first use. Valid until it is
 * taken without calls. */
struct demand_item *demand_find (struct demand *demand, struct str service,
                                 struct str model, struct str adapter);
/**
 * demand_take() - items with calls, and those that had some the last time.
 * @whole: all items that are not forgotten, for one who knows nothing yet.
 * @fn: called for each; the arrivals count from 0 again after it.
 */
void demand_take (struct demand *demand, bool whole, uint64_t now_ms,
                  void (*fn) (void *ctx, const struct demand_item *item),
                  void *ctx);
