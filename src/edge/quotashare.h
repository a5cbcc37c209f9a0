#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv/tree.h>

#include "edge/quotaowner.h"
#include "edge/tenants.h"

/* A node's part of the quotas: credit that the owner gave, the calls that wait
   for it, and a local fallback while there is no owner. Pure: the steady time
   is passed in. No call iterates over the tenants; ticks touch the tenants
   with something due. */

/** enum quota_result - outcome of quotashare_take(). */
enum quota_result
{
  QUOTASHARE_GRANTED,
  QUOTASHARE_REFUSED,
  QUOTASHARE_WAITING,
};

/** enum quota_source - what a decision rests on, for logs. */
enum quota_source
{
  QUOTA_SOURCE_OWNER,
  QUOTA_SOURCE_FALLBACK,
  QUOTA_SOURCE_LIMIT, /* the call costs more than can ever be saved up */
};

struct share_tenant;

/**
 * struct quota_waiter - a call that waits for credit. Embedded by the caller
 * and zero-initialised; must stay valid until the callback or the
 * cancellation. All fields belong to quotashare.
 */
struct quota_waiter
{
  struct share_tenant *tenant; /* NULL unless it waits */
  uint32_t cost;
  uint32_t priority;
  uint64_t ordinal;
  bool decided;
  bool granted;
  uint32_t retry_after_ms;
  enum quota_source source;
  RB_ENTRY (quota_waiter) entry;
  struct quota_waiter *prev;
  struct quota_waiter *next;
};

/**
 * struct quotashare_events - callbacks, called within the functions that take
 * a time. They may call any function but tick and destroy.
 * @decided: a waiting call is granted, or refused with @retry_after_ms above
 *   0. The waiter is no longer used.
 * @fallback_changed: a tenant started or stopped to use the fallback; may be
 *   NULL.
 */
struct quotashare_events
{
  void (*decided) (void *ctx, struct quota_waiter *waiter, bool granted,
                   uint32_t retry_after_ms, enum quota_source source);
  void (*fallback_changed) (void *ctx, uint64_t tenant_hash, bool active);
  void *ctx;
};

struct quotashare;

/** quotashare_create() - @seed: of the random start levels of the fallback; to
 * differ between nodes. */
struct quotashare *quotashare_create (uint64_t seed,
                                      const struct quotashare_events *events);
/** quotashare_destroy() - Waiting calls are not called back. */
void quotashare_destroy (struct quotashare *share);
/**
 * quotashare_take() - charge a call.
 * @priority: 0 is the most urgent.
 * @waiter: linked in if the call waits; unused otherwise.
 * @retry_after_ms: set if the call is refused.
 * @source: set if the call is granted or refused; may be NULL.
 *
 * Without a limit (a rate of 0) the call is granted and nothing is kept.
 */
enum quota_result
quotashare_take (struct quotashare *share, uint64_t tenant_hash,
                 const struct quota_spec *spec, uint32_t cost,
                 uint32_t priority, uint64_t now_ms,
                 struct quota_waiter *waiter, uint32_t *retry_after_ms,
                 enum quota_source *source);
/** quotashare_cancel() - remove a waiting call; it is not called back. No
 * effect if it does not wait. */
void quotashare_cancel (struct quotashare *share, struct quota_waiter *waiter);
/**
 * quotashare_refund() - return what a granted call was charged that did not
 * run. The credit grows to at most the larger of @units and the use of the
 * last 200 ms, because many late refunds at once would exceed the limit.
 */
void quotashare_refund (struct quotashare *share, uint64_t tenant_hash,
                        uint32_t units, uint64_t now_ms);
/**
 * quotashare_collect() - get draws to be sent now, new ones and repeats.
 *
 * Returns the number of draws set in @out; call it again if this is @max.
 * Calls that arrive later join the next draw, so the caller may delay this by
 * up to 2 ms to fill a datagram.
 */
size_t quotashare_collect (struct quotashare *share, uint64_t now_ms,
                           struct quota_draw *out, size_t max);
/** quotashare_credit() - handle an answer of the owner. Answers to other draws
 * than the tenant's newest are ignored. */
void quotashare_credit (struct quotashare *share,
                        const struct quota_credit *credit, uint64_t now_ms);
/**
 * quotashare_set_nodes() - tell what is known of the other nodes.
 * @nodes: nodes of the deployment, reachable or not; the fallback's rate is
 *   divided by it.
 * @owner_known: false sends calls to the fallback at once.
 */
void quotashare_set_nodes (struct quotashare *share, uint32_t nodes,
                           bool owner_known, uint64_t now_ms);
/** quotashare_resume() - the process was frozen: all credit expires. */
void quotashare_resume (struct quotashare *share, uint64_t now_ms);
/**
 * quotashare_next_due_ms() - Returns when quotashare_tick() or
 * quotashare_collect() have something to do next; UINT64_MAX for never. A time
 * that has passed means now.
 */
uint64_t quotashare_next_due_ms (const struct quotashare *share);
/** quotashare_tick() - time out draws, expire idle tenants. */
void quotashare_tick (struct quotashare *share, uint64_t now_ms);
/** quotashare_credit_age_ms() - Returns the time since the tenant's last
 * answer of the owner; UINT64_MAX if there was none. For logs. */
uint64_t quotashare_credit_age_ms (const struct quotashare *share,
                                   uint64_t tenant_hash, uint64_t now_ms);
/** quotashare_tenant_count() - Returns the number of tenants in memory. */
size_t quotashare_tenant_count (const struct quotashare *share);
