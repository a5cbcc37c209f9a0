#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "edge/tenants.h"

/* The owner's part of the quotas: one token bucket per tenant for all nodes.
   Pure: the steady time is passed in. Each call takes constant time, and a
   tick the logarithm of the number of records per expired one.

   All buckets start empty when the owner is created, so that credit given by
   a former owner is not given again. */

/* Longest time between two calls of the owner, in ms. Time beyond it counts
   as a pause, in which the nodes use their fallback. */
#define QUOTA_OWNER_GAP_MS 120
/* Bounds of retry_after_ms. */
#define QUOTA_RETRY_MIN_MS 100
#define QUOTA_RETRY_MAX_MS 60000
/* Part of the rate that the fallbacks of all nodes together use. */
#define QUOTA_FALLBACK_SHARE 0.75

/**
 * struct quota_draw - a node's request for units of a tenant.
 * @number: grows by one per node and tenant; from 1.
 * @wanted_now: units that waiting calls need beyond the node's credit.
 * @step: of @wanted_now, what the first waiting call needs. The owner gives
 *   multiples of it if it cannot give all, because a part of a call's cost
 *   would expire unused at the node.
 * @wanted_ahead: units for calls that are expected next.
 */
struct quota_draw
{
  uint64_t tenant_hash;
  uint64_t number;
  uint32_t wanted_now;
  uint32_t step;
  uint32_t wanted_ahead;
};

/**
 * struct quota_credit - the owner's answer to a draw.
 * @given: units; they are the node's from now on.
 * @retry_after_ms: when the rest of what was wanted now is available; 0 if
 *   all of it was given.
 */
struct quota_credit
{
  uint64_t tenant_hash;
  uint64_t number;
  uint32_t given;
  uint32_t retry_after_ms;
};

/** quota_burst() - Returns the units that a bucket may save up: at least one,
 * or no call would ever pass. */
double quota_burst (const struct quota_spec *spec);
/** quota_retry_after_ms() - Returns a wait, rounded up and limited to the
 * bounds of retry_after_ms. */
uint32_t quota_retry_after_ms (double wait_ms);

struct quotaowner;

struct quotaowner *quotaowner_create (uint64_t now_ms);
void quotaowner_destroy (struct quotaowner *owner);
/**
 * quotaowner_set_nodes() - tell how many nodes there are.
 * @nodes: nodes of the deployment, reachable or not; the count that the nodes
 *   pass to quotashare_set_nodes().
 * @reached: of these, nodes that reach the owner, itself included.
 *
 * The others are taken to use their fallback; the buckets refill slower by
 * what these fallbacks may give. Before the first call all count as reachable.
 */
void quotaowner_set_nodes (struct quotaowner *owner, uint32_t nodes,
                           uint32_t reached, uint64_t now_ms);
/**
 * quotaowner_draw() - give units of a tenant to a node.
 * @node: name of the node.
 * @instance: changes when the node's process starts anew; draw numbers are
 *   compared within an instance.
 * @spec: the tenant's limit by the owner's configuration; rate_per_s must be
 *   above 0. A lower limit than at the last draw takes effect at once.
 * @out: the answer. The draw number that was used last for this tenant gets
 *   its former answer and takes nothing; an older one gets nothing.
 */
void quotaowner_draw (struct quotaowner *owner, struct str node,
                      uint64_t instance, const struct quota_spec *spec,
                      const struct quota_draw *draw, uint64_t now_ms,
                      struct quota_credit *out);
/** quotaowner_tick() - expire idle buckets and records of nodes. To be called
 * at least every QUOTA_OWNER_GAP_MS / 2 ms. */
void quotaowner_tick (struct quotaowner *owner, uint64_t now_ms);
/** quotaowner_bucket_count() - Returns the number of buckets in memory. */
size_t quotaowner_bucket_count (const struct quotaowner *owner);
/** quotaowner_record_count() - Returns the number of answers in memory, one
 * for each node's process and tenant. */
size_t quotaowner_record_count (const struct quotaowner *owner);
