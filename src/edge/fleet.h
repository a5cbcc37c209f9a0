#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "edge/topology.h"
#include "platform/orders.h"

/* Model servers as the placement holder believes them to be, the demand that
   all nodes tell, and the orders that follow. Pure: it does no I/O and reads
   no clock. */

struct fleet;
struct fleet_adapter;
struct fleet_model;
struct fleet_server;

struct fleet *fleet_create (void);
void fleet_destroy (struct fleet *fleet);

/**
 * fleet_routing() - configuration in force.
 * @routing: lives until the next call.
 * @load_window_ms: time over which loads from the weight store are counted.
 */
void fleet_routing (struct fleet *fleet, const struct routing *routing,
                    uint32_t load_window_ms);
/** fleet_entry() - a server's entry in the store. */
void fleet_entry (struct fleet *fleet, const struct server_entry *entry);
/** fleet_removed() - the store has no entry of the server any more. */
void fleet_removed (struct fleet *fleet, struct str id);
/** fleet_term() - this node became the holder: what servers hold must be read
 * from them before they get orders, and what nodes ask for before replicas are
 * removed. @nodes: how many the holder before knew of. */
void fleet_term (struct fleet *fleet, uint32_t nodes, uint64_t now_ms);

/* ---- demand ---- */

/**
 * struct fleet_wish - demand of one node for a model or an adapter.
 * @arrivals: calls since the node told last.
 * @rate, @idle_ms: calls a second and time since the last one, as the node
 *   knows them; taken over when the node tells for the first time.
 */
struct fleet_wish
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

/** fleet_node_begin() - a node tells its demand and loads anew; what it told
 * before is dropped. @node: any name of it, which fleet_each_awaited() gives
 * back. */
void fleet_node_begin (struct fleet *fleet, struct str node, uint64_t now_ms);
/** fleet_node_wish() - part of what the node tells. */
void fleet_node_wish (struct fleet *fleet, struct str node,
                      const struct fleet_wish *wish, uint64_t now_ms);
/** fleet_node_load() - calls of the node at a server, by hash of its id. */
void fleet_node_load (struct fleet *fleet, struct str node, uint64_t server,
                      uint32_t running);
/** fleet_suspect() - a node cannot reach a server. The server is asked for a
 * report; without one, it counts as down until it gives one. */
void fleet_suspect (struct fleet *fleet, uint64_t server, uint64_t now_ms);
/** fleet_servers() - number of servers that are known. */
uint32_t fleet_servers (const struct fleet *fleet);
/** fleet_nodes() - nodes that tell their demand. Until all had time to hear of
 * this holder, at least as many as the holder before knew of. */
uint32_t fleet_nodes (const struct fleet *fleet, uint64_t now_ms);
/** fleet_expire() - drop what nodes told that are silent. */
void fleet_expire (struct fleet *fleet, uint64_t now_ms);

/* ---- orders ---- */

/**
 * struct order_reason - what decided an order, for the log.
 * @need: how much the model needs a replica; "adapter" for adapters.
 * @weights: where a load takes the weights from.
 * @for_model: the model that an unload makes room for.
 * @waiting, @running, @rate: demand of that model, or of the one to load.
 * @replicas, @target: how many it has and should have.
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
 * fleet_next_order() - the order that is due now.
 * @out: holder and fence are left empty; strings are valid until the next
 *   call that changes the fleet.
 * @why: likewise.
 *
 * Returns the server that gets the order, or NULL. The order is taken as sent.
 */
struct fleet_server *fleet_next_order (struct fleet *fleet, uint64_t now_ms,
                                       struct order *out,
                                       struct order_reason *why);
/** fleet_advance() - take loads as done whose time has passed. */
void fleet_advance (struct fleet *fleet, uint64_t now_ms);
/** fleet_order_done() - how an order ended. */
void fleet_order_done (struct fleet *fleet, struct str server_id,
                       enum order_result result, uint64_t now_ms);
/** fleet_next_report() - a server whose report is due, or NULL. The report is
 * taken as asked for. */
struct fleet_server *fleet_next_report (struct fleet *fleet, uint64_t now_ms);
/** fleet_report() - a server's report; NULL when it gave none. */
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

/** struct replica_adapter - @ready_ms is in the past when it can be used. */
struct replica_adapter
{
  struct str name;
  struct fleet_adapter *ref;
  uint64_t ready_ms;
};

/** struct replica - a model on a server. @since_ms: when its load was ordered;
 * 0 for one that the server held before. */
struct replica
{
  struct str model;
  struct fleet_model *ref;
  enum replica_state state;
  uint64_t ready_ms;
  uint64_t since_ms;
  struct replica_adapter *adapters;
  size_t adapter_count;
};

/**
 * struct fleet_view - what is told to all nodes about a server.
 * @known: the replicas were read from the server in this term.
 */
struct fleet_view
{
  uint64_t hash;
  uint64_t order_count;
  uint32_t running;
  bool known;
  const struct replica *replicas;
  size_t replica_count;
};

/** fleet_view_fn - sees a server. Returns false to stop for now. */
typedef bool (*fleet_view_fn) (void *ctx, const struct fleet_view *view);

/**
 * fleet_each_changed() - call @fn for each listed server that may hold other
 * models than @fn last saw, or was last seen @refresh_ms ago.
 *
 * Servers that changed come before those that did not. Returns false when @fn
 * stopped; the rest is left for the next call.
 */
bool fleet_each_changed (struct fleet *fleet, uint64_t now_ms,
                         uint32_t refresh_ms, fleet_view_fn fn, void *ctx);
/** fleet_each_listed() - call @fn for all listed servers. */
void fleet_each_listed (const struct fleet *fleet, fleet_view_fn fn,
                        void *ctx);
/** fleet_retell() - fleet_each_changed() sees all servers again. */
void fleet_retell (struct fleet *fleet);
/** fleet_is_telling() - has fleet_each_changed() more servers to see now. */
bool fleet_is_telling (const struct fleet *fleet, uint64_t now_ms);
/** fleet_each_running() - call @fn for servers whose calls changed so much
 * that other nodes should hear of it. */
void fleet_each_running (struct fleet *fleet,
                         void (*fn) (void *ctx, uint64_t server,
                                     uint32_t running),
                         void *ctx);
/** fleet_each_awaited() - call @fn for nodes with calls that wait for a model
 * on a server where something became ready since the last call. */
void fleet_each_awaited (struct fleet *fleet, uint64_t now_ms,
                         void (*fn) (void *ctx, struct str node,
                                     const struct fleet_view *view),
                         void *ctx);
