#pragma once

#include "edge/plan_impl.h"

/* Reference implementation of the plan of models, without indexes: each
   decision visits all models and servers. Tests compare the indexed plan with
   it. */

/**
 * reference_plan_models() - computes the order that plan_models() is expected
 * to return.
 *
 * Does not change the fleet. Returns false if no order is due.
 */
bool reference_plan_models (const struct fleet *fleet, uint64_t now_ms,
                            struct planned_order *out);
/**
 * reference_adapter_waits() - Returns true if an adapter that calls wait for
 * could be loaded, or a slot freed for it.
 */
bool reference_adapter_waits (const struct fleet *fleet, uint64_t now_ms);
