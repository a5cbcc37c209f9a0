#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "edge/topology.h"
#include "platform/orders.h"

/* The placement holder's state of the model servers, the demand that all nodes
   report, and the load and unload orders that follow from both. Does no I/O
   and reads no clock. */

struct fleet;
struct fleet_adapter;
struct fleet_model;
struct fleet_server;

struct fleet *fleet_create (void);
void fleet_destroy (struct fleet *fleet);

/**
 * fleet_set_routing() - Sets the configuration in force.
 * @routing: borrowed; must stay valid until the next call.
 * @load_window_ms: sliding window over which loads from the weight store are
 *   counted against the service's limit.
 */
void fleet_set_routing (struct fleet *fleet, const struct routing *routing,
                        uint32_t load_window_ms);
/** fleet_update_server() - Adds or updates a server from its entry in the
 * store. An entry of an earlier start of the server is ignored. */
void fleet_update_server (struct fleet *fleet,
                          const struct server_entry *entry);
/** fleet_remove_server() - Notes that the server's entry is gone from the
 * store. */
void fleet_remove_server (struct fleet *fleet, struct str id);
/**
 * fleet_begin_term() - Begins a term of this node as placement holder.
 * @nodes: number of nodes that the previous holder counted.
 *
 * A server gets no order before its report was read in this term, and replicas
 * are only evicted once the nodes had time to report their demand.
 */
void fleet_begin_term (struct fleet *fleet, uint32_t nodes, uint64_t now_ms);

/* ---- demand ---- */

/**
 * struct node_demand - demand of one node for a model or an adapter.
 * @adapter: empty for the model itself.
 * @waiting: calls queued on the node.
 * @running: calls in flight at servers.
 * @arrivals: calls since the node's previous digest.
 * @rate: the node's own estimate of its calls per second; used only in the
 *   first digest that this holder receives from the node.
 * @idle_ms: time since the node's last call; used as @rate.
 */
struct node_demand
{
  struct str service;
  struct str model;
  struct str adapter;
  uint32_t waiting;
  uint32_t running;
  uint32_t arrivals;
  double rate;
  uint32_t idle_ms;
};

/**
 * fleet_find_model() - Finds a model that is configured or held by a server.
 * @hash: of its names, by demand_model_hash().
 * @service, @model: its names, valid until the next call that changes the
 *   fleet.
 *
 * Returns false if there is none.
 */
bool fleet_find_model (const struct fleet *fleet, uint64_t hash,
                       struct str *service, struct str *model);
/**
 * fleet_begin_digest() - Starts a new demand digest of a node and drops the
 * contents of its previous one.
 * @node: any unique key; fleet_each_waiting_node() passes it back.
 */
void fleet_begin_digest (struct fleet *fleet, struct str node,
                         uint64_t now_ms);
/** fleet_add_node_demand() - Adds an item to the node's digest, which
 * fleet_begin_digest() must have started. */
void fleet_add_node_demand (struct fleet *fleet, struct str node,
                            const struct node_demand *demand, uint64_t now_ms);
/**
 * fleet_add_node_load() - Adds the number of the node's calls at a server to
 * its digest, which fleet_begin_digest() must have started.
 * @server: hash of the server's id; unknown servers are ignored.
 */
void fleet_add_node_load (struct fleet *fleet, struct str node,
                          uint64_t server, uint32_t running);
/**
 * fleet_suspect() - Notes that a node cannot reach a server.
 * @server: hash of the server's id.
 *
 * A report is requested from the server. If the request fails, the server
 * counts as down until a report succeeds.
 */
void fleet_suspect (struct fleet *fleet, uint64_t server, uint64_t now_ms);
/** fleet_servers() - Returns the number of known servers. */
uint32_t fleet_servers (const struct fleet *fleet);
/** fleet_nodes() - Returns the number of nodes that report demand. Early in a
 * term, until all nodes had time to learn of this holder, the result is at
 * least the count of the previous holder. */
uint32_t fleet_nodes (const struct fleet *fleet, uint64_t now_ms);
/** fleet_expire() - Drops the demand of nodes that stopped reporting, servers
 * that left the store long ago, and unused models and adapters. */
void fleet_expire (struct fleet *fleet, uint64_t now_ms);

/* ---- orders ---- */

/**
 * struct order_reason - why an order was chosen, for the log.
 * @need: why the model needs a replica; "adapter" for orders on adapters,
 *   "no-answer" for an order that is sent again.
 * @weights: where the load reads the weights from, or "-".
 * @for_model: the model to load, or the one that the unload frees memory for.
 * @waiting: calls that wait for that model or adapter.
 * @running: calls in flight on it.
 * @rate: calls per second.
 * @replicas: number of replicas or adapter copies that exist.
 * @target: number that should exist.
 */
struct order_reason
{
  const char *need;
  const char *weights;
  struct str for_model;
  uint32_t waiting;
  uint32_t running;
  double rate;
  uint32_t replicas;
  uint32_t target;
};

/**
 * fleet_next_order() - Chooses the next order to send.
 * @out: holder and fence are left empty; strings are valid until the next
 *   call that changes the fleet.
 * @why: strings are valid as long as those of @out.
 *
 * Returns the server to send the order to, or NULL when there is none. The
 * order counts as sent.
 */
struct fleet_server *fleet_next_order (struct fleet *fleet, uint64_t now_ms,
                                       struct order *out,
                                       struct order_reason *why);
/** fleet_complete_orders() - Marks unloads, and loads of cached weights, as
 * complete once their expected time has passed. */
void fleet_complete_orders (struct fleet *fleet, uint64_t now_ms);
/** fleet_order_done() - Records the result of sending an order. */
void fleet_order_done (struct fleet *fleet, struct str server_id,
                       enum order_result result, uint64_t now_ms);
/** fleet_next_report() - Returns a server whose report is due, or NULL. The
 * report counts as requested. */
struct fleet_server *fleet_next_report (struct fleet *fleet, uint64_t now_ms);
/**
 * fleet_report() - Processes the answer to a report request.
 * @report: NULL when the request failed.
 */
void fleet_report (struct fleet *fleet, struct str server_id,
                   const struct server_report *report, uint64_t now_ms);

struct str fleet_server_id (const struct fleet_server *server);
struct str fleet_server_address (const struct fleet_server *server);

/* ---- views ---- */

enum replica_state
{
  REPLICA_READY,
  REPLICA_LOADING,
  REPLICA_UNLOADING,
};

/** struct replica_adapter - an adapter on a replica.
 * @ready_ms: when it can be used; not later than now once it can be. */
struct replica_adapter
{
  struct str name;
  struct fleet_adapter *ref;
  uint64_t ready_ms;
};

/**
 * struct replica - a model on a server.
 * @ready_ms: expected end of the load, while it is loading.
 * @ordered_ms: when this holder ordered the load; 0 for a replica that existed
 *   before.
 */
struct replica
{
  struct str model;
  struct fleet_model *ref;
  enum replica_state state;
  uint64_t ready_ms;
  uint64_t ordered_ms;
  struct replica_adapter *adapters;
  size_t adapter_count;
};

/**
 * struct fleet_view - state of a server as published to the nodes.
 * @hash: of the server's id.
 * @running: calls in flight from all nodes.
 * @confirmed: the replicas were read from the server in this term.
 */
struct fleet_view
{
  uint64_t hash;
  uint64_t order_count;
  uint32_t running;
  bool confirmed;
  const struct replica *replicas;
  size_t replica_count;
};

/** fleet_view_fn - Receives the view of a server, valid during the call.
 * Returns false to stop the iteration. */
typedef bool (*fleet_view_fn) (void *ctx, const struct fleet_view *view);

/**
 * fleet_each_changed() - Calls @fn for each listed server whose models changed
 * since they were last published, or that was published @refresh_ms ago.
 *
 * Changed servers come before unchanged ones. Returns false when @fn stopped
 * the iteration; the remaining servers are left for the next call.
 */
bool fleet_each_changed (struct fleet *fleet, uint64_t now_ms,
                         uint32_t refresh_ms, fleet_view_fn fn, void *ctx);
/** fleet_each_listed() - Calls @fn for all listed servers, until it returns
 * false. */
void fleet_each_listed (const struct fleet *fleet, fleet_view_fn fn,
                        void *ctx);
/** fleet_republish() - Makes all listed servers due for fleet_each_changed().
 */
void fleet_republish (struct fleet *fleet);
/** fleet_has_updates() - Returns true while servers are due for
 * fleet_each_changed(). */
bool fleet_has_updates (const struct fleet *fleet, uint64_t now_ms);
/** fleet_each_running() - Calls @fn for each server whose number of calls in
 * flight changed enough to be published. */
void fleet_each_running (struct fleet *fleet,
                         void (*fn) (void *ctx, uint64_t server,
                                     uint32_t running),
                         void *ctx);
/** fleet_each_waiting_node() - Calls @fn for each server on which a model or
 * adapter became ready since the last call, and each node with calls that wait
 * for a model on that server. */
void fleet_each_waiting_node (struct fleet *fleet, uint64_t now_ms,
                              void (*fn) (void *ctx, struct str node,
                                          const struct fleet_view *view),
                              void *ctx);
