#pragma once

#include "edge/crashers.h"
#include "edge/demand.h"
#include "edge/pool.h"
#include "edge/topology.h"
#include "kernel.h"

/* The plug-in that holds what this node knows of the installation: the
   configuration in force, the servers, and the demand of its own calls. */

struct site;

/**
 * struct site_listener - who follows the servers' entries besides the pool.
 * @reachable: the store answers this node again, or no longer.
 */
struct site_listener
{
  void (*server) (void *ctx, const struct server_entry *entry);
  void (*server_removed) (void *ctx, struct str id);
  void (*reachable) (void *ctx, bool reachable);
};

struct site *site_get (struct kernel *kernel);
void site_listen (struct site *site, const struct site_listener *listener,
                  void *ctx);
struct pool *site_pool (struct site *site);
struct demand *site_demand (struct site *site);
/** site_crashers() - requests that crash servers. */
struct crashers *site_crashers (struct site *site);
/** site_routing() - configuration in force, or NULL before the first one.
 * Valid until control returns to the loop. */
const struct routing *site_routing (const struct site *site);
/** site_ready() - the node knows a configuration and the servers. */
bool site_ready (const struct site *site);
