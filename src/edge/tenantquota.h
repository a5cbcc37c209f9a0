#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "edge/quotashare.h"
#include "edge/tenants.h"
#include "kernel.h"
#include "str.h"

/* Plug-in that charges calls to the quotas of their tenants. One limit holds
   for all nodes together: the placement holder owns the buckets, and the nodes
   draw credit from it. */

struct tenantquota;

/**
 * struct tenantquota_decision - whether a call may go on.
 * @retry_after_ms: if it may not, when it could; above 0.
 * @source: what the decision rests on.
 * @credit_age_ms: time since the holder's last answer for the tenant;
 *   UINT64_MAX if there was none.
 */
struct tenantquota_decision
{
  bool granted;
  uint32_t retry_after_ms;
  enum quota_source source;
  uint64_t credit_age_ms;
};

typedef void (*tenantquota_fn) (void *ctx,
                                const struct tenantquota_decision *decision);

/** struct tenantquota_wait - a call that waits for credit. Embedded by the
 * caller and zero-initialised; its fields belong to the plug-in. */
struct tenantquota_wait
{
  struct quota_waiter waiter;
  uint64_t tenant_hash;
  tenantquota_fn fn;
  void *ctx;
};

struct tenantquota *tenantquota_get (struct kernel *kernel);
/** tenantquota_hash() - hash that stands for a tenant's name. */
uint64_t tenantquota_hash (struct str tenant);
/**
 * tenantquota_take() - charge @cost units to a tenant.
 * @priority: 0 is the most urgent.
 * @wait: must stay valid until @fn ran or tenantquota_cancel().
 * @fn: runs exactly once unless cancelled, before the function returns if the
 *   decision needs no answer of the holder. The decision takes about 120 ms at
 *   most, so there is no deadline.
 */
void tenantquota_take (struct tenantquota *quota, struct str tenant,
                       const struct quota_spec *spec, uint32_t cost,
                       uint32_t priority, struct tenantquota_wait *wait,
                       tenantquota_fn fn, void *ctx);
/** tenantquota_cancel() - end a wait; no effect if it has ended. */
void tenantquota_cancel (struct tenantquota *quota,
                         struct tenantquota_wait *wait);
/** tenantquota_refund() - give back what a call was charged that did not run.
 * @tenant_hash: as tenantquota_hash(). */
void tenantquota_refund (struct tenantquota *quota, uint64_t tenant_hash,
                         uint32_t units);
/** tenantquota_count_refused() - count units of a call that was refused
 * without tenantquota_take(). */
void tenantquota_count_refused (struct tenantquota *quota,
                                uint64_t tenant_hash, uint32_t units);
/** quota_source_name() - name for logs. */
const char *quota_source_name (enum quota_source source);
