#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Tenants of the configuration, found by the keys that their clients send. */

/**
 * struct quota_spec - what a tenant's calls may cost, over all nodes.
 * @rate_per_s: units added per second; 0 for no limit.
 * @burst: units that may be saved up.
 * @by_tokens: a call costs its tokens; otherwise it costs 1.
 * @plain_tokens: cost of a call that states no tokens, if @by_tokens.
 */
struct quota_spec
{
  double rate_per_s;
  double burst;
  bool by_tokens;
  uint32_t plain_tokens;
};

/**
 * struct tenant - an owner of keys.
 * @name: owned by the tenants.
 * @priority: overrides the route's if @has_priority; 0 is the most urgent.
 */
struct tenant
{
  struct str name;
  bool has_priority;
  uint32_t priority;
  struct quota_spec quota;
};

struct tenants;

struct tenants *tenants_create (void);
void tenants_destroy (struct tenants *tenants);
/**
 * tenants_add() - add a tenant; its name is copied.
 *
 * Returns the tenant, or NULL if there is one with this name.
 */
const struct tenant *tenants_add (struct tenants *tenants,
                                  const struct tenant *tenant);
/** tenants_add_key() - add a key, which is copied, of the tenant. Returns
 * false if the key belongs to a tenant already. */
bool tenants_add_key (struct tenants *tenants, const struct tenant *tenant,
                      struct str key);
/** tenants_find() - Returns the tenant that owns the key, or NULL. */
const struct tenant *tenants_find (const struct tenants *tenants,
                                   struct str key);
/** tenants_by_name() - Returns the tenant, or NULL. */
const struct tenant *tenants_by_name (const struct tenants *tenants,
                                      struct str name);
size_t tenants_count (const struct tenants *tenants);
/** tenants_each() - call @fn for each tenant. */
void tenants_each (const struct tenants *tenants,
                   void (*fn) (void *ctx, const struct tenant *tenant),
                   void *ctx);
