#pragma once

/* Internals of the fleet; included by edge/fleet*.c, edge/plan*.c and
   edge/coldloads.c only.

   Names are resolved once, when they enter the fleet. From then on services,
   models, adapters and servers point to each other, and each change marks the
   models as stale whose need for replicas depends on it. */

#include <uthash.h>
#include <utlist.h>

#include "edge/duequeue.h"
#include "edge/fleet.h"

/** struct server_set - array of servers, sorted by ordinal. */
struct server_set
{
  struct fleet_server **items;
  size_t count;
  size_t capacity;
};

/* ---- demand ---- */

/**
 * struct total_demand - total demand of all nodes for a model or an adapter.
 * @adapter: NULL for the model itself.
 * @rate: calls per second, decaying with the time constant DEMAND_RATE_MS.
 * @rate_ms: time of the last update of @rate.
 * @used_ms: when the last call arrived; 0 for never.
 * @concurrency: maximum number of calls that waited or ran at once, decaying
 *   over time.
 * @concurrency_ms: time of the last update of @concurrency.
 */
struct total_demand
{
  struct fleet_model *model;
  struct fleet_adapter *adapter;
  uint32_t waiting;
  uint32_t running;
  double rate;
  uint64_t rate_ms;
  uint64_t used_ms;
  double concurrency;
  uint64_t concurrency_ms;
};

/** struct demand_share - contribution of one node to a total. */
struct demand_share
{
  struct total_demand *total;
  uint32_t waiting;
  uint32_t running;
};

struct node_load
{
  uint64_t server; /* hash of its id */
  uint32_t running;
};

/**
 * struct fleet_node - the last demand digest of a node.
 * @name: key given by the caller of fleet_begin_digest().
 * @has_reported: the node sent a digest before this one.
 * @notice_round: last round of fleet_each_waiting_node() that included the
 * node.
 */
struct fleet_node
{
  struct str name;
  uint64_t reported_ms;
  bool has_reported;
  struct demand_share *shares;
  size_t share_count;
  size_t share_capacity;
  struct node_load *loads;
  size_t load_count;
  size_t load_capacity;
  uint64_t notice_round;
  UT_hash_handle hh; /* ordered by @reported_ms */
};

/* ---- models ---- */

/* How urgently a model needs another replica. */
enum need
{
  NEED_NONE,
  NEED_SPARE_ROOM, /* not in use; loaded only into free memory */
  NEED_MORE,       /* in use, with fewer replicas than its target */
  NEED_FIRST,      /* in use, without a replica */
  NEED_CROWDED,    /* below target, and its calls slow each other down */
  NEED_WAITED_FOR, /* calls wait, and there is no replica */
};

/**
 * struct replica_need - a model's need for replicas.
 * @target: number of replicas that it should have.
 * @have: replicas that are ready or loading, and servers with memory reserved
 *   for one.
 * @ready: replicas that are ready.
 * @waiting: calls that wait; orders models with the same need.
 * @rank: orders models with the same @waiting. It is the logarithm of the call
 *   rate, extrapolated to time 0, so that it stays constant while the rate
 *   decays.
 */
struct replica_need
{
  enum need need;
  uint32_t target;
  uint32_t have;
  uint32_t ready;
  uint32_t waiting;
  double rank;
};

/* Where a load reads the weights from. */
enum weights
{
  WEIGHTS_MEMORY, /* of the server's host */
  WEIGHTS_DISK,   /* of the server's host */
  WEIGHTS_STORE,
};

/** struct weights_copy - a server that has a model's weights cached. */
struct weights_copy
{
  struct fleet_server *server;
  enum weights where;
};

/**
 * struct fleet_adapter - an adapter of a model.
 * @refs: replicas with the adapter, and nodes that report demand for it.
 * @is_waiting: in the list of adapters with waiting calls.
 * @is_hot: in the list of adapters with more than PLAN_EXTRA_COPY_RATE calls
 *   per second.
 */
struct fleet_adapter
{
  struct str name;
  struct total_demand demand;
  uint32_t refs;
  bool is_waiting;
  bool is_hot;
  struct fleet_adapter *waiting_prev, *waiting_next;
  struct fleet_adapter *hot_prev, *hot_next;
  UT_hash_handle hh;
};

/**
 * struct fleet_model - a model of a service, configured or held by a server.
 * @spec: NULL when the configuration does not name the model.
 * @index: position in the configuration.
 * @refs: replicas, cached weights, orders, reservations and node digests that
 *   refer to the model.
 * @replicas: servers with a replica in any state.
 * @reserved: servers with memory reserved for the model.
 * @waiters: nodes with calls that wait for the model.
 * @copies: servers with the weights cached.
 * @replica_need: as of the last plan_refresh_needs().
 * @is_queued: in the service's queue.
 * @is_stale: @replica_need must be computed again.
 * @need_due: when @replica_need changes by the passage of time alone.
 * @cold_searched_ms: when all servers of the service were last searched for
 *   one that could load the model from the weight store, and none was found.
 */
struct fleet_model
{
  struct str name;
  struct fleet_service *service;
  const struct model_spec *spec;
  size_t index;
  uint32_t refs;
  struct total_demand demand;
  struct fleet_adapter *adapters;
  struct server_set replicas;
  struct server_set reserved;
  struct fleet_node **waiters;
  size_t waiter_count;
  size_t waiter_capacity;
  struct weights_copy *copies;
  size_t copy_count;
  struct replica_need replica_need;
  bool is_queued;
  bool is_stale;
  struct due_item need_due;
  uint64_t cold_searched_ms;
  RB_ENTRY (fleet_model) queue;
  struct fleet_model *stale_prev, *stale_next;
  struct fleet_model *prev, *next; /* in the list of all models */
  uint64_t hash;                   /* demand_model_hash() */
  UT_hash_handle hh;
  UT_hash_handle hh_hash;
};

RB_HEAD (need_queue, fleet_model);
RB_HEAD (free_memory_tree, fleet_server);

#define COLD_STARTS_MAX 256

/**
 * struct cold_loads - loads from the weight store of one service.
 * @starts_ms: start times of the loads within the load window.
 * @servers: servers with such a load in progress, or with memory reserved for
 *   one.
 */
struct cold_loads
{
  uint64_t starts_ms[COLD_STARTS_MAX];
  size_t count;
  struct server_set servers;
};

/**
 * struct fleet_service - a group of servers.
 * @engine: NULL for a plain service, or one that is not configured.
 * @adapters_mb: memory that the adapters of a server take when all adapter
 *   slots are used.
 * @queue: models that need a replica, the most urgent one first.
 * @servers_by_free_memory: listed servers, the one with most free memory
 *   first.
 */
struct fleet_service
{
  struct str name;
  const struct engine_spec *engine;
  double adapters_mb;
  struct fleet_model *models;
  struct server_set servers;
  struct need_queue queue;
  struct free_memory_tree servers_by_free_memory;
  struct cold_loads cold;
  UT_hash_handle hh;
};

/** struct fleet_domain - a failure domain. */
struct fleet_domain
{
  struct str name;
  UT_hash_handle hh;
};

/* ---- servers ---- */

/* State of the latest order to a server. */
enum pending_state
{
  PENDING_NONE,
  PENDING_SENT,
  PENDING_UNANSWERED, /* may be carried out, now or later */
  PENDING_ACCEPTED,   /* is being carried out */
};

/**
 * struct pending_order - the latest order to a server.
 * @adapter: empty for the model itself.
 * @cold: loads from the weight store.
 * @spare: loads a model that is not in use.
 * @sent_ms: when it was last sent.
 * @duration_ms: expected duration.
 * @expected_ms: expected completion, once the order was accepted.
 */
struct pending_order
{
  enum pending_state state;
  enum order_kind kind;
  struct fleet_model *model;
  struct str adapter;
  bool cold;
  bool spare;
  uint64_t sent_ms;
  uint32_t duration_ms;
  uint64_t expected_ms;
};

/**
 * struct fleet_server - a model server.
 * @ordinal: increases with each server that is added.
 * @listed: has an entry in the store.
 * @listed_ms: when it was listed last.
 * @leaving: its entry says that it is about to stop.
 * @confirmed: replicas and order count were read from the server in this term.
 * @report_in_flight: a report was requested and is not answered.
 * @suspected_ms: when a node last reported that it cannot reach the server.
 * @down: neither a node nor the holder could reach the server.
 * @next_report_ms: when to request the next report; 0 for none.
 * @reported_ms: when the last report request ended.
 * @avoid_until_ms: gets no orders until then.
 * @order_count: orders that the server has accepted since it started.
 * @free_mb: free memory for weights, with all adapter slots counted as used.
 * @cached: models whose weights the server has in memory or on disk.
 * @reserved_for: model that memory is reserved for, until @reserved_until_ms.
 * @reserved_cold: the load into the reserved memory will be from the weight
 *   store.
 * @running: calls in flight from all nodes; see fleet_demand.c.
 * @report_due: in the queue of reports to request.
 * @completion_due: in the queue of orders with a known duration.
 * @resend_due: in the queue of unanswered orders.
 * @update_due: in the queue of servers to publish to all nodes.
 * @published_hash: hash of the view that was published last.
 * @republish_ms: when to publish the server again without a change.
 * @published_running: @running as published last.
 * @notice_due: in the queue of servers to publish to nodes with waiting calls.
 * @departure_due: in the queue of servers that are not listed, to be freed.
 */
struct fleet_server
{
  struct str id;
  uint64_t hash;
  uint64_t ordinal;
  struct fleet_service *service;
  struct str address;
  const struct fleet_domain *domain;
  uint64_t started_ms;
  bool listed;
  uint64_t listed_ms;
  bool leaving;
  bool confirmed;
  bool report_in_flight;
  uint64_t suspected_ms;
  bool down;
  uint64_t next_report_ms;
  uint64_t reported_ms;
  uint64_t avoid_until_ms;
  uint64_t order_count;
  struct replica *replicas;
  size_t replica_count;
  double free_mb;
  struct fleet_model **cached;
  size_t cached_count;
  struct pending_order pending;
  struct fleet_model *reserved_for;
  uint64_t reserved_until_ms;
  bool reserved_cold;
  uint32_t running;
  struct due_item report_due;
  struct due_item completion_due;
  struct due_item resend_due;
  struct due_item update_due;
  uint64_t published_hash;
  uint64_t republish_ms;
  struct due_item notice_due;
  uint32_t published_running;
  bool running_changed;
  struct fleet_server *running_prev, *running_next;
  struct due_item departure_due;
  bool in_free_memory_tree;
  RB_ENTRY (fleet_server) free_memory_entry;
  UT_hash_handle hh;
  UT_hash_handle hh_hash;
};

/**
 * struct fleet - see fleet.h.
 * @term_ms: start of this node's term as holder.
 * @previous_nodes: number of nodes that the previous holder counted.
 * @ordinals: last ordinal given to a server or model.
 * @stale: models whose need for replicas must be computed again.
 * @need_changes: models by the time at which their need changes.
 * @reports: servers by the time at which a report is to be requested.
 * @completions: servers by the time at which their order should be complete.
 * @resends: servers by the time at which their order is to be sent again.
 * @updates: servers by the time at which they are to be published.
 * @notices: servers by the time at which something on them becomes ready.
 * @notice_round: number of servers handled by fleet_each_waiting_node() so
 * far.
 * @running_changed: servers whose number of calls is to be published.
 * @departures: servers that are not listed, by the time to free them.
 * @last_expire_ms: time of the last fleet_expire().
 * @reserved: servers with reserved memory.
 * @nodes: the node that reported longest ago comes first.
 */
struct fleet
{
  const struct routing *routing;
  uint32_t load_window_ms;
  uint64_t term_ms;
  uint32_t previous_nodes;
  uint64_t ordinals;
  struct fleet_service *services;
  struct fleet_domain *domains;
  struct fleet_server *servers;         /* by id */
  struct fleet_server *servers_by_hash; /* by hash of the id */
  struct fleet_model *models;           /* of all services */
  struct fleet_model *models_by_hash;   /* likewise, by their hash */
  struct fleet_model *stale;
  struct due_queue need_changes;
  struct due_queue reports;
  struct due_queue completions;
  struct due_queue resends;
  struct due_queue updates;
  struct due_queue notices;
  uint64_t notice_round;
  struct fleet_server *running_changed;
  struct due_queue departures;
  uint64_t last_expire_ms;
  struct server_set reserved;
  struct fleet_adapter *waiting_adapters;
  struct fleet_adapter *hot_adapters;
  struct fleet_node *nodes;
};

/* ---- fleet_index.c ---- */

/** server_set_add() - Adds a server that is not in the set. */
void server_set_add (struct server_set *set, struct fleet_server *server);
/** server_set_remove() - Removes a server if it is in the set. */
void server_set_remove (struct server_set *set,
                        const struct fleet_server *server);
bool server_set_has (const struct server_set *set,
                     const struct fleet_server *server);

/** fleet_service_get() - Returns a service by name, created at first use. */
struct fleet_service *fleet_service_get (struct fleet *fleet, struct str name);
/** fleet_model_get() - Returns a model by name, created at first use. */
struct fleet_model *fleet_model_get (struct fleet *fleet,
                                     struct fleet_service *service,
                                     struct str name);
/** fleet_adapter_get() - Returns an adapter by name, created at first use. */
struct fleet_adapter *fleet_adapter_get (struct fleet_model *model,
                                         struct str name);
const struct fleet_domain *fleet_domain_get (struct fleet *fleet,
                                             struct str name);
/** fleet_index_routing() - Applies the configuration to services, models and
 * servers. */
void fleet_index_routing (struct fleet *fleet);
/** fleet_mark_stale() - Notes that the model's need for replicas may have
 * changed. */
void fleet_mark_stale (struct fleet *fleet, struct fleet_model *model);
/** fleet_sweep() - Checks the next few models, and frees those, and their
 * adapters, that nothing refers to. */
void fleet_sweep (struct fleet *fleet, uint64_t now_ms);
/** fleet_index_free() - Frees all services, models and domains. */
void fleet_index_free (struct fleet *fleet);

/* ---- fleet.c ---- */

/** fleet_find() - Returns a server by id, or NULL. */
struct fleet_server *fleet_find (const struct fleet *fleet, struct str id);
/** fleet_find_hash() - Returns a server by str_hash() of its id, or NULL. */
struct fleet_server *fleet_find_hash (const struct fleet *fleet,
                                      uint64_t hash);
/** fleet_server_changed() - Updates all indexes after a change of the server.
 */
void fleet_server_changed (struct fleet *fleet, struct fleet_server *server);
/** fleet_most_free() - Returns the listed server of an engine service with the
 * most free memory, or NULL. */
struct fleet_server *fleet_most_free (struct fleet_service *service);
/** fleet_next_most_free() - Returns the next server by descending free memory,
 * or NULL. */
struct fleet_server *fleet_next_most_free (struct fleet_server *server);
/** fleet_usable() - Returns true if the server may get orders and calls. */
bool fleet_usable (const struct fleet_server *server);

/** fleet_forget_departed() - Frees servers that left the store long ago. */
void fleet_forget_departed (struct fleet *fleet, uint64_t now_ms);
void fleet_clear_pending (struct fleet_server *server);
/**
 * fleet_reserve() - Reserves the free memory of a server for a model.
 * @cold: the model will be loaded from the weight store.
 */
void fleet_reserve (struct fleet *fleet, struct fleet_server *server,
                    struct fleet_model *model, uint64_t until_ms, bool cold);
void fleet_unreserve (struct fleet *fleet, struct fleet_server *server);

/** fleet_may_order() - Returns true if the server is usable, was read in this
 * term, and is not avoided because an order could not be sent to it. */
bool fleet_may_order (const struct fleet_server *server, uint64_t now_ms);
/** fleet_is_idle() - Returns true if the server may get orders and has none
 * pending. */
bool fleet_is_idle (const struct fleet_server *server, uint64_t now_ms);

/* ---- fleet_replicas.c ---- */

/** fleet_replica() - Returns the replica of a model on a server, or NULL. */
struct replica *fleet_replica (const struct fleet_server *server,
                               const struct fleet_model *model);
/** fleet_add_replica() - Returns the replica of a model on a server, added if
 * there is none. Invalidates pointers to the server's other replicas. */
struct replica *fleet_add_replica (struct fleet *fleet,
                                   struct fleet_server *server,
                                   struct fleet_model *model);
void fleet_drop_replica (struct fleet *fleet, struct fleet_server *server,
                         struct replica *replica);
void fleet_add_adapter (struct replica *replica, struct str name,
                        uint64_t ready_ms);
void fleet_drop_adapter (struct replica *replica, struct str name);
bool fleet_has_adapter (const struct replica *replica,
                        const struct fleet_adapter *adapter);
/** fleet_adapters() - Returns the number of adapters on all replicas of a
 * server. */
size_t fleet_adapters (const struct fleet_server *server);
/** fleet_replica_mb() - Returns the memory that a replica's weights take, in
 * MB. */
double fleet_replica_mb (const struct replica *replica);
/** fleet_ready_replica() - Returns the replica of a model on a server if it
 * takes calls, or NULL. */
struct replica *fleet_ready_replica (const struct fleet_server *server,
                                     const struct fleet_model *model);
/** fleet_set_models() - Replaces the replicas by the models that the server's
 * report or entry lists. */
void fleet_set_models (struct fleet *fleet, struct fleet_server *server,
                       const struct held_model *models, size_t count);
/** fleet_set_cached() - Replaces the list of models whose weights the server
 * has in memory or on disk. */
void fleet_set_cached (struct fleet *fleet, struct fleet_server *server,
                       const struct name_list *memory,
                       const struct name_list *disk);
/** fleet_clear_replicas() - Removes all replicas of the server. */
void fleet_clear_replicas (struct fleet *fleet, struct fleet_server *server);
/** fleet_clear_cached() - Empties the server's list of cached weights. */
void fleet_clear_cached (struct fleet_server *server);

/* ---- fleet_views.c ---- */

/** fleet_running_changed() - Notes that the server's number of calls in flight
 * changed. */
void fleet_running_changed (struct fleet *fleet, struct fleet_server *server);
/** fleet_became_ready() - Notes that a model or adapter on the server becomes
 * ready at @at_ms, so that nodes with waiting calls are informed then. */
void fleet_became_ready (struct fleet *fleet, struct fleet_server *server,
                         uint64_t at_ms);
/** fleet_views_remove() - Stops publishing the server. */
void fleet_views_remove (struct fleet *fleet, struct fleet_server *server);

/* ---- fleet_orders.c ---- */

/** fleet_index_pending() - Schedules the completion or resending of the
 * server's pending order. */
void fleet_index_pending (struct fleet *fleet, struct fleet_server *server);

/* ---- fleet_demand.c ---- */

/** fleet_rate() - Returns the call rate, decayed to now, in calls per second.
 */
double fleet_rate (const struct total_demand *demand, uint64_t now_ms);
/** fleet_concurrency() - Returns the decayed maximum of calls that waited or
 * ran at once. */
double fleet_concurrency (const struct total_demand *demand, uint64_t now_ms);
/** fleet_rate_falls_ms() - Returns when the call rate falls to @rate if no
 * calls arrive. */
uint64_t fleet_rate_falls_ms (const struct total_demand *demand, double rate);
/** fleet_concurrency_falls_ms() - Returns when fleet_concurrency() falls to
 * @concurrency if the calls stay as they are, or UINT64_MAX if the current
 * calls keep it above. */
uint64_t fleet_concurrency_falls_ms (const struct total_demand *demand,
                                     double concurrency);
/** fleet_forget_demand() - Drops the demand of all nodes. */
void fleet_forget_demand (struct fleet *fleet);

/* ---- plan.c ---- */

/* An adapter with more calls per second than this is loaded on further
   replicas while there are free adapter slots. */
#define PLAN_EXTRA_COPY_RATE 0.3

/**
 * struct planned_order - an order chosen by the plan.
 * @adapter: empty for the model itself.
 * @cold: loads from the weight store.
 * @spare: loads a model that is not in use.
 * @duration_ms: expected duration.
 */
struct planned_order
{
  struct fleet_server *server;
  enum order_kind kind;
  struct fleet_model *model;
  struct str adapter;
  bool cold;
  bool spare;
  uint32_t duration_ms;
  struct order_reason reason;
};

/** plan_models() - Chooses the most urgent load or unload of a model. Returns
 * false when there is none. */
bool plan_models (struct fleet *fleet, uint64_t now_ms,
                  struct planned_order *out);
/** plan_weights() - Returns where a server would load the model's weights
 * from. */
enum weights plan_weights (const struct fleet_server *server,
                           const struct fleet_model *model);
/** plan_dequeue() - Removes a model from the queue of its service until its
 * need is computed again. */
void plan_dequeue (struct fleet_model *model);
/** plan_adapters() - Chooses the next load or unload of an adapter. Returns
 * false when there is none. Defined in plan_adapters.c. */
bool plan_adapters (struct fleet *fleet, uint64_t now_ms,
                    struct planned_order *out);

/* ---- coldloads.c ---- */

/**
 * struct cold_admission - decides which servers may start a load from the
 * weight store.
 * @spare: the load is for a model that is not in use.
 * @window_open: the limit of loads per window is not reached.
 * @running: loads in progress or with reserved memory that count against the
 *   concurrency limit.
 */
struct cold_admission
{
  const struct cold_loads *cold;
  bool spare;
  bool window_open;
  uint32_t running;
  uint64_t now_ms;
};

struct cold_admission cold_admission (const struct fleet *fleet,
                                      struct fleet_service *service,
                                      bool spare, uint64_t now_ms);
/** cold_any_allowed() - Returns true if servers without a load from the weight
 * store may start one. */
bool cold_any_allowed (const struct cold_admission *admission);
/** cold_allowed() - Returns true if the server may start a load from the
 * weight store. Its own load or reservation does not count. */
bool cold_allowed (const struct cold_admission *admission,
                   const struct fleet_server *server);
/** cold_record_start() - Counts a load that starts. */
void cold_record_start (struct fleet_server *server, uint64_t now_ms);
/** cold_update_server() - Adds the server to the set of servers that load from
 * the weight store, or removes it, by its current state. */
void cold_update_server (struct fleet_server *server);
