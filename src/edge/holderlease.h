#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "platform/objects.h"
#include "str.h"

/* The lease of the placement holder, kept as an object in the platform's
   store. */

struct holderlease;

/**
 * holderlease_create() - a lease that this node does not hold.
 * @self: address of this node for the others.
 * @instance: start of this process.
 * @lease_ms: time within which holders may not take turns.
 * @changed: the holder's address became known or is another one.
 */
struct holderlease *holderlease_create (struct objects *objects,
                                        struct str self, uint64_t instance,
                                        uint32_t lease_ms,
                                        void (*changed) (void *ctx),
                                        void *ctx);
void holderlease_destroy (struct holderlease *lease);
/** holderlease_step() - read or write what is due; call it often. */
void holderlease_step (struct holderlease *lease);
/** holderlease_campaign() - take the lease when it is free, or do not. */
void holderlease_campaign (struct holderlease *lease, bool campaign);
/** holderlease_hint() - the holder told the revision of the lease's object. */
void holderlease_hint (struct holderlease *lease, uint64_t revision);
/** holderlease_revision() - of the object, as last known; 0 when unknown. */
uint64_t holderlease_revision (const struct holderlease *lease);
void holderlease_release (struct holderlease *lease);
bool holderlease_released (const struct holderlease *lease);
/** holderlease_valid() - this node holds it at this moment. */
bool holderlease_valid (const struct holderlease *lease);
/** holderlease_in_turn() - may the holder give orders; false for a while after
 * it took the lease back from another node. */
bool holderlease_in_turn (const struct holderlease *lease);
/** holderlease_set_delay() - nodes with a shorter delay take the lease first.
 */
void holderlease_set_delay (struct holderlease *lease, uint32_t delay_ms);
/** holderlease_note_nodes() - number of nodes, for the next holder;
 * holderlease_nodes() - as a holder last noted it; 0 when unknown. */
void holderlease_note_nodes (struct holderlease *lease, uint32_t nodes);
uint32_t holderlease_nodes (const struct holderlease *lease);
/** holderlease_fence() - fencing token of this node's lease, or 0. */
uint64_t holderlease_fence (const struct holderlease *lease);
/** holderlease_holder() - address of the holder as last read; may be empty. */
struct str holderlease_holder (const struct holderlease *lease);
