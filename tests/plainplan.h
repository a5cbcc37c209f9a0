#pragma once

#include "edge/plan_impl.h"

/* The plan of models without any index: each decision walks all models and
   servers. Reference for the tests of the indexed plan. */

/**
 * plain_models() - the order that plan_models() should want.
 *
 * Changes nothing. Returns false when there is none.
 */
bool plain_models (const struct fleet *fleet, uint64_t now_ms,
                   struct planned *out);
/** plain_adapter_waits() - could an adapter that calls wait for be loaded, or
 * a place be made for it. */
bool plain_adapter_waits (const struct fleet *fleet, uint64_t now_ms);
