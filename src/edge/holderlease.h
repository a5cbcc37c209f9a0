#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "platform/objects.h"
#include "str.h"

/* The lease of the placement holder, stored as an object in the platform's
   store. */

struct holderlease;

/**
 * holderlease_create() - create this node's view of the lease.
 * @objects: the store; must outlive the lease.
 * @self: address at which other nodes reach this one; copied.
 * @instance: start time of this process.
 * @lease_ms: time for which a node that takes the lease back from another one
 *   may not send orders; the lease lives for half of it without a renewal.
 * @changed: called after each answer of the store, when the holder, its
 *   address or the validity of the lease may have changed.
 */
struct holderlease *holderlease_create (struct objects *objects,
                                        struct str self, uint64_t instance,
                                        uint32_t lease_ms,
                                        void (*changed) (void *ctx),
                                        void *ctx);
void holderlease_destroy (struct holderlease *lease);
/** holderlease_step() - start the read or write that is due. Call it at short
 * intervals. */
void holderlease_step (struct holderlease *lease);
/** holderlease_set_candidate() - set whether this node takes the lease when it
 * is free. */
void holderlease_set_candidate (struct holderlease *lease, bool candidate);
/**
 * holderlease_hint() - report what the holder sent.
 * @fence: its fencing token.
 * @revision: of the lease object in the era @era of the store.
 */
void holderlease_hint (struct holderlease *lease, uint64_t fence, uint64_t era,
                       uint64_t revision);
/** holderlease_revision() - last known revision of the lease object; 0 when
 * unknown. */
uint64_t holderlease_revision (const struct holderlease *lease);
/** holderlease_release() - give up the lease. It is invalid at once. */
void holderlease_release (struct holderlease *lease);
/** holderlease_released() - Returns true if no release is left to write. */
bool holderlease_released (const struct holderlease *lease);
/** holderlease_valid() - Returns true if this node holds the lease now. */
bool holderlease_valid (const struct holderlease *lease);
/** holderlease_may_order() - Returns false for lease_ms after this node took
 * the lease back from another one. It does not check the lease's validity. */
bool holderlease_may_order (const struct holderlease *lease);
/** holderlease_set_delay() - wait before taking a free lease. Nodes with a
 * shorter delay take it first. */
void holderlease_set_delay (struct holderlease *lease, uint32_t delay_ms);
/** holderlease_set_node_count() - set the number of nodes to store in the
 * lease for the next holder. */
void holderlease_set_node_count (struct holderlease *lease, uint32_t nodes);
/** holderlease_nodes() - number of nodes that the last holder stored; 0 when
 * unknown. */
uint32_t holderlease_nodes (const struct holderlease *lease);
/** holderlease_fence() - fencing token of this node's lease, or 0. */
uint64_t holderlease_fence (const struct holderlease *lease);
/** holderlease_holder() - last read address of the holder; may be empty. */
struct str holderlease_holder (const struct holderlease *lease);
