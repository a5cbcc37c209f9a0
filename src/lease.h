#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "bus.h"
#include "kernel.h"
#include "str.h"

struct lease_table;

/* Called when a lease is gained or lost. @fence is the fencing token of the
   term that begins or ended. */
typedef void (*lease_fn) (void *ctx, struct str name, bool held,
                          uint64_t fence);

struct lease_table *lease_get (struct kernel *kernel);
/**
 * lease_campaign() - compete for a lease.
 * @name: for example "placement/libreto-lm".
 * @region: only nodes of this region compete; empty means all.
 * @fn: may be NULL.
 */
void lease_campaign (struct lease_table *table, struct str name,
                     struct str region, lease_fn fn, void *ctx);
/**
 * lease_keep_while_draining() - keep a lease during a graceful shutdown.
 *
 * Other leases are released as soon as the shutdown starts; this one, if held,
 * once the plug-ins of higher rank have drained. Call after lease_campaign().
 */
void lease_keep_while_draining (struct lease_table *table, struct str name);
/**
 * lease_take_while_draining() - compete for a lease during a graceful
 * shutdown.
 *
 * Without this call a node that shuts down takes no lease. It competes only
 * while it knows no live node, which would take the lease instead.
 */
void lease_take_while_draining (struct lease_table *table, struct str name);
/** lease_withdraw() - stop competing for a lease; releases it if held. */
void lease_withdraw (struct lease_table *table, struct str name);
/**
 * lease_valid() - check whether this node may act as the holder.
 *
 * Returns false from the safety margin before the expiry on. Reads the clock;
 * call it immediately before each protected action.
 */
bool lease_valid (const struct lease_table *table, struct str name);
uint64_t lease_fence (const struct lease_table *table, struct str name);
/** lease_holder() - bus address of the last known holder; empty if unknown. */
struct str lease_holder (const struct lease_table *table, struct str name);
/**
 * lease_foreach() - call a function for each lease known to this node.
 * @fn: its @fence is 0 unless the lease object as last read or written names
 *   this process as the holder.
 */
void lease_foreach (const struct lease_table *table,
                    void (*fn) (void *ctx, struct str name, bool held,
                                uint64_t fence, struct str holder),
                    void *ctx);
/**
 * lease_call() - bus_call() to the holder of a lease.
 *
 * Starts with the last known holder, or else with the first node of the
 * lease's rendezvous order, and follows -ESTALE hints to at most 3 nodes.
 * Repeats this after a pause while time is left. Fails with -ESTALE if no
 * holder was found in time.
 */
void lease_call (struct lease_table *table, struct str name, struct str region,
                 uint32_t proc, const void *args, uint32_t timeout_ms,
                 bus_reply_fn fn, void *ctx);
