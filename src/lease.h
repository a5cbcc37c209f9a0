#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "bus.h"
#include "kernel.h"
#include "str.h"

struct lease_table;

/* Called when a named lease is gained (with its fence) or lost. */
typedef void (*lease_fn) (void *ctx, struct str name, bool held,
                          uint64_t fence);

struct lease_table *lease_get (struct kernel *kernel);
/**
 * lease_campaign() - take part in the ownership of a lease.
 * @name: for example "placement/libreto-lm".
 * @region: only nodes of the region take part; empty means all.
 */
void lease_campaign (struct lease_table *table, struct str name,
                     struct str region, lease_fn fn, void *ctx);
/** lease_withdraw() - take part no longer; releases the lease if held. */
void lease_withdraw (struct lease_table *table, struct str name);
/**
 * lease_valid() - is the lease held at this moment, margin included.
 *
 * Reads the clock; call it immediately before each protected action.
 */
bool lease_valid (const struct lease_table *table, struct str name);
uint64_t lease_fence (const struct lease_table *table, struct str name);
/** lease_holder() - bus address of the holder as last read, else empty. */
struct str lease_holder (const struct lease_table *table, struct str name);
/** lease_each() - every lease that this node takes part in; @fence is that of
 * the state read last. */
void lease_each (const struct lease_table *table,
                 void (*fn) (void *ctx, struct str name, bool held,
                             uint64_t fence, struct str holder),
                 void *ctx);
/**
 * lease_call() - bus_call() to the holder of a lease.
 *
 * Starts at the first node of the lease's rendezvous order (or the last known
 * holder) and follows -ESTALE hints to at most 3 nodes. Ends with -ESTALE when
 * no holder was found in time.
 */
void lease_call (struct lease_table *table, struct str name, struct str region,
                 uint32_t proc, const void *args, uint32_t timeout_ms,
                 bus_reply_fn fn, void *ctx);
