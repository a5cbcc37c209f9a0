#pragma once

#include "edge/quarantine.h"
#include "edge/demand.h"
#include "edge/pool.h"
#include "edge/streamorigins.h"
#include "edge/streamorigins_store.h"
#include "edge/topology.h"
#include "kernel.h"

/* Plug-in that holds this node's view of the installation: the configuration
   in force, the servers, and the demand of the node's own calls. */

struct site;

/**
 * struct site_listener - callbacks for changes of the servers' entries; called
 * after the pool was updated.
 * @reachable: the store has become reachable or unreachable for this node.
 */
struct site_listener
{
  void (*server) (void *ctx, const struct server_entry *entry);
  void (*server_removed) (void *ctx, struct str id);
  void (*reachable) (void *ctx, bool reachable);
};

struct site *site_get (struct kernel *kernel);
/** site_listen() - set the only listener, before the kernel runs. @listener
 * must outlive the site. */
void site_listen (struct site *site, const struct site_listener *listener,
                  void *ctx);
struct pool *site_pool (struct site *site);
struct demand *site_demand (struct site *site);
/** site_server_start() - hash of the server's current start. */
uint64_t site_server_start (const struct pool_server *server);
/**
 * site_server_ended() - record that a server's process ended without notice,
 * which confirms the requests that are suspected of crashing it.
 * @evidence: what shows it, for the log.
 */
void site_server_ended (struct site *site, const struct pool_server *server,
                        const char *evidence);
/** site_quarantine() - record of requests that crash servers. */
struct quarantine *site_quarantine (struct site *site);
/** site_streamorigins() - where the streams began that clients may take up
 * again. */
struct streamorigins *site_streamorigins (struct site *site);
/** site_streamorigins_store() - what the nodes stored of them. */
struct streamorigins_store *site_streamorigins_store (struct site *site);
/** site_routing() - configuration in force, or NULL before the first one.
 * Valid until control returns to the event loop. */
const struct routing *site_routing (const struct site *site);
/** site_ready() - Returns true once the node has a configuration and has
 * listed the servers. */
bool site_ready (const struct site *site);
