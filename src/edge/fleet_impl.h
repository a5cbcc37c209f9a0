#pragma once

/* Parts of the fleet; included by edge/fleet*.c, edge/plan*.c and
   edge/coldloads.c only.

   Names are looked up once, where they enter. Services, models, adapters and
   servers then refer to each other, and whatever changes one of them marks the
   models whose need for replicas depends on it. */

#include <uthash.h>
#include <utlist.h>

#include "edge/duequeue.h"
#include "edge/fleet.h"

/** struct server_set - servers in the order in which they became known. */
struct server_set
{
  struct fleet_server **items;
  size_t count;
  size_t room;
};

/* ---- demand ---- */

/**
 * struct wish - demand of all nodes for a model or an adapter.
 * @adapter: NULL for the model itself.
 * @rate: calls a second, over about DEMAND_RATE_MS.
 * @rate_ms: when @rate was brought up to date.
 * @used_ms: when the last call came; 0 for never.
 * @busy: calls that waited or ran at once, as a maximum that decays.
 */
struct wish
{
  struct fleet_model *model;
  struct fleet_adapter *adapter;
  uint32_t waiting;
  uint32_t running;
  double rate;
  uint64_t rate_ms;
  uint64_t used_ms;
  double busy;
  uint64_t busy_ms;
};

struct node_wish
{
  struct wish *wish;
  uint32_t waiting;
  uint32_t running;
};

struct node_load
{
  uint64_t server;
  uint32_t running;
};

/** struct node - what one node told last.
 * @awaited_round: of the server that it was last told of by
 *   fleet_each_awaited(). */
struct node
{
  struct str name;
  uint64_t told_ms;
  bool known; /* told before what it tells now */
  struct node_wish *wishes;
  size_t wish_count;
  size_t wish_room;
  struct node_load *loads;
  size_t load_count;
  size_t load_room;
  uint64_t awaited_round;
  UT_hash_handle hh; /* in the order of @told_ms */
};

/* ---- models ---- */

/* How much a model needs a replica that it lacks. */
enum need
{
  NEED_NONE,
  NEED_SPARE_ROOM, /* not in use: only where room is free */
  NEED_MORE,       /* in use, with fewer replicas than it should have */
  NEED_FIRST,      /* in use, with none */
  NEED_CROWDED, /* likewise with fewer, and its calls slow each other down */
  NEED_WAITED_FOR, /* calls wait, and there is none */
};

/**
 * struct want - what a model wants.
 * @have: replicas ready, loading, or with room reserved.
 * @waiting, @rank: order among models with the same need. @rank is the
 *   logarithm of the rate at time 0, so that it stays while the rate decays.
 */
struct want
{
  enum need need;
  uint32_t target;
  uint32_t have;
  uint32_t ready;
  uint32_t waiting;
  double rank;
};

/* Where a load takes the weights from. */
enum weights
{
  WEIGHTS_MEMORY, /* of the server's host */
  WEIGHTS_DISK,   /* likewise */
  WEIGHTS_STORE,
};

/** struct weights_copy - a server that has a model's weights at hand. */
struct weights_copy
{
  struct fleet_server *server;
  enum weights where;
};

/** struct fleet_adapter - an adapter of a model. */
struct fleet_adapter
{
  struct str name;
  struct wish wish;
  uint32_t refs; /* replicas with it, and nodes that tell demand */
  bool is_waiting;
  bool is_hot;
  struct fleet_adapter *waiting_prev, *waiting_next;
  struct fleet_adapter *hot_prev, *hot_next;
  UT_hash_handle hh;
};

/**
 * struct fleet_model - a model of a service, configured or held by a server.
 * @spec: NULL when the configuration does not name the model.
 * @index: place in the configuration.
 * @refs: replicas, copies of weights, orders, reservations, demand of nodes.
 * @want: as of the last plan_refresh().
 * @is_stale: @want must be worked out anew.
 * @due: when @want changes without an event.
 * @waiters: nodes with calls that wait for it.
 */
struct fleet_model
{
  struct str name;
  struct fleet_service *service;
  const struct model_spec *spec;
  size_t index;
  uint32_t refs;
  struct wish wish;
  struct fleet_adapter *adapters;
  struct server_set replicas; /* in any state */
  struct server_set reserved; /* servers with room for it */
  struct node **waiters;
  size_t waiter_count;
  size_t waiter_room;
  struct weights_copy *copies;
  size_t copy_count;
  struct want want;
  bool is_queued;
  bool is_stale;
  struct due due;
  uint64_t room_searched_ms; /* in vain, for a load from the weight store */
  RB_ENTRY (fleet_model) queue;
  struct fleet_model *stale_prev, *stale_next;
  struct fleet_model *prev, *next; /* of all models */
  UT_hash_handle hh;
};

RB_HEAD (want_queue, fleet_model);
RB_HEAD (room_tree, fleet_server);

#define COLD_STARTS_MAX 256

/** struct cold_loads - loads from the weight store of one service.
 * @servers: with such a load, or room reserved for one. */
struct cold_loads
{
  uint64_t starts_ms[COLD_STARTS_MAX];
  size_t count;
  struct server_set servers;
};

/**
 * struct fleet_service - a group of servers.
 * @engine: NULL for a plain service, or one that is not configured.
 * @adapters_mb: memory that all adapter places of a server take when full.
 * @queue: models that need a replica, the most urgent one first.
 * @room: servers by free memory.
 */
struct fleet_service
{
  struct str name;
  const struct engine_spec *engine;
  double adapters_mb;
  struct fleet_model *models;
  struct server_set servers;
  struct want_queue queue;
  struct room_tree room;
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

/* What is known of the order that a server has to carry out. */
enum pending_state
{
  PENDING_NONE,
  PENDING_SENT,
  PENDING_UNANSWERED, /* may be carried out, now or later */
  PENDING_ACCEPTED,   /* is being carried out */
};

/**
 * struct pending - the newest order to a server.
 * @cold: loads from the weight store.
 * @spare: loads a model that is not in use.
 * @since_ms: when it was sent.
 */
struct pending
{
  enum pending_state state;
  enum order_kind kind;
  struct fleet_model *model;
  struct str adapter;
  bool cold;
  bool spare;
  uint64_t since_ms;
  uint32_t takes_ms;
  uint64_t expected_ms; /* once accepted: when it should be complete */
};

/**
 * struct fleet_server - a model server.
 * @ordinal: rises with each server that becomes known.
 * @known: holdings and order count were read from the server in this term.
 * @suspected_ms: when a node last told that it cannot reach the server.
 * @down: nor could the holder.
 * @free_mb: memory for weights, all adapter places taken as full.
 * @at_hand: models whose weights the server has in memory or on disk.
 * @reserved_for: model for which room was made here, until
 *   @reserved_until_ms.
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
  bool known;
  bool reporting;
  uint64_t suspected_ms;
  bool down;
  uint64_t report_due_ms; /* 0: none is due */
  uint64_t reported_ms;
  uint64_t avoid_until_ms;
  uint64_t order_count;
  struct replica *replicas;
  size_t replica_count;
  double free_mb;
  struct fleet_model **at_hand;
  size_t at_hand_count;
  struct pending pending;
  struct fleet_model *reserved_for;
  uint64_t reserved_until_ms;
  bool reserved_cold; /* the load will be one from the weight store */
  uint32_t running;   /* sum over nodes; see fleet_demand.c */
  struct due report;
  struct due advance;
  struct due resend;
  struct due tell;    /* to all nodes */
  uint64_t told_hash; /* of what they were told */
  uint64_t retell_ms; /* when they are told again without a change */
  struct due awaited; /* to nodes that wait */
  uint32_t running_told;
  bool running_changed;
  struct fleet_server *running_prev, *running_next;
  struct due departed; /* when a server that is not listed is forgotten */
  bool in_room;
  RB_ENTRY (fleet_server) room;
  UT_hash_handle hh;
  UT_hash_handle hh_hash;
};

struct fleet
{
  const struct routing *routing;
  uint32_t load_window_ms;
  uint64_t term_ms;      /* begin of this node's term as holder */
  uint32_t nodes_before; /* nodes that the holder before knew of */
  uint64_t ordinals;
  struct fleet_service *services;
  struct fleet_domain *domains;
  struct fleet_server *servers;         /* by id */
  struct fleet_server *servers_by_hash; /* by hash of the id */
  struct fleet_model *models;           /* of all services */
  struct fleet_model *stale;
  struct due_queue wants;
  struct due_queue reports;
  struct due_queue advances;
  struct due_queue resends;
  struct due_queue tells;
  struct due_queue awaited;
  uint64_t awaited_round;
  struct fleet_server *running_changed;
  struct due_queue departures;
  uint64_t expired_ms; /* last fleet_expire() */
  struct server_set reserved;
  struct fleet_adapter *waiting_adapters;
  struct fleet_adapter *hot_adapters;
  struct node *nodes;
};

/* ---- fleet_index.c ---- */

/** server_set_add() - add a server that is not in the set. */
void server_set_add (struct server_set *set, struct fleet_server *server);
/** server_set_remove() - remove a server if it is in the set. */
void server_set_remove (struct server_set *set,
                        const struct fleet_server *server);
bool server_set_has (const struct server_set *set,
                     const struct fleet_server *server);

/** fleet_service_get() - a service by name; made at first use. */
struct fleet_service *fleet_service_get (struct fleet *fleet, struct str name);
/** fleet_model_get() - a model by name; made at first use. */
struct fleet_model *fleet_model_get (struct fleet *fleet,
                                     struct fleet_service *service,
                                     struct str name);
/** fleet_adapter_get() - an adapter by name; made at first use. */
struct fleet_adapter *fleet_adapter_get (struct fleet_model *model,
                                         struct str name);
const struct fleet_domain *fleet_domain_get (struct fleet *fleet,
                                             struct str name);
/** fleet_index_routing() - take over what the configuration says of services
 * and models. */
void fleet_index_routing (struct fleet *fleet);
/** fleet_stale() - what the model wants may have changed. */
void fleet_stale (struct fleet *fleet, struct fleet_model *model);
/** fleet_sweep() - free some models and adapters that nothing refers to. */
void fleet_sweep (struct fleet *fleet, uint64_t now_ms);
/** fleet_index_free() - free all services, models and domains. */
void fleet_index_free (struct fleet *fleet);

/* ---- fleet.c ---- */

struct fleet_server *fleet_find (const struct fleet *fleet, struct str id);
/** fleet_find_hash() - server by str_hash() of its id, or NULL. */
struct fleet_server *fleet_find_hash (const struct fleet *fleet,
                                      uint64_t hash);
/** fleet_server_changed() - bring all indexes up to date after a change of the
 * server. */
void fleet_server_changed (struct fleet *fleet, struct fleet_server *server);
/** fleet_most_room() - the listed server of an engine service with most free
 * memory, or NULL; fleet_less_room() - the one after it. */
struct fleet_server *fleet_most_room (struct fleet_service *service);
struct fleet_server *fleet_less_room (struct fleet_server *server);
/** fleet_usable() - may get orders and calls. */
bool fleet_usable (const struct fleet_server *server);

/** fleet_forget_departed() - free servers that left the store long ago. */
void fleet_forget_departed (struct fleet *fleet, uint64_t now_ms);
void fleet_clear_pending (struct fleet_server *server);
/** fleet_reserve() - keep the room on a server for a model.
 * @cold: its load will be one from the weight store. */
void fleet_reserve (struct fleet *fleet, struct fleet_server *server,
                    struct fleet_model *model, uint64_t until_ms, bool cold);
void fleet_unreserve (struct fleet *fleet, struct fleet_server *server);

/** fleet_may_order() - usable, read in this term, and not avoided. */
bool fleet_may_order (const struct fleet_server *server, uint64_t now_ms);
/** fleet_is_idle() - likewise, and without an order under way. */
bool fleet_is_idle (const struct fleet_server *server, uint64_t now_ms);

/* ---- fleet_replicas.c ---- */

struct replica *fleet_replica (const struct fleet_server *server,
                               const struct fleet_model *model);
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
size_t fleet_adapters (const struct fleet_server *server);
/** fleet_replica_mb() - memory that a replica's weights take. */
double fleet_replica_mb (const struct replica *replica);
/** fleet_ready_replica() - the replica of a model that takes calls, or NULL.
 */
struct replica *fleet_ready_replica (const struct fleet_server *server,
                                     const struct fleet_model *model);
/** fleet_take_models() - replace the replicas by what the server holds. */
void fleet_take_models (struct fleet *fleet, struct fleet_server *server,
                        const struct held_model *models, size_t count);
/** fleet_take_at_hand() - replace the lists of weights at hand. */
void fleet_take_at_hand (struct fleet *fleet, struct fleet_server *server,
                         const struct name_list *memory,
                         const struct name_list *disk);
/** fleet_clear_replicas() - the server holds no model any more;
 * fleet_clear_at_hand() - nor weights. */
void fleet_clear_replicas (struct fleet *fleet, struct fleet_server *server);
void fleet_clear_at_hand (struct fleet_server *server);

/* ---- fleet_views.c ---- */

/** fleet_running_changed() - note that calls at the server began or ended. */
void fleet_running_changed (struct fleet *fleet, struct fleet_server *server);
/** fleet_became_ready() - a model or adapter on the server became ready, or
 * will be at @at_ms. */
void fleet_became_ready (struct fleet *fleet, struct fleet_server *server,
                         uint64_t at_ms);
/** fleet_views_forget() - the server is told of no longer. */
void fleet_views_forget (struct fleet *fleet, struct fleet_server *server);

/* ---- fleet_orders.c ---- */

/** fleet_index_pending() - note when the order to a server needs a step. */
void fleet_index_pending (struct fleet *fleet, struct fleet_server *server);

/* ---- fleet_demand.c ---- */

/** fleet_rate() - calls a second now. */
double fleet_rate (const struct wish *wish, uint64_t now_ms);
/** fleet_busy() - calls at once, lately. */
double fleet_busy (const struct wish *wish, uint64_t now_ms);
/** fleet_rate_falls_ms() - when the rate falls to @rate without calls.
 * fleet_busy_falls_ms() - likewise for calls at once; UINT64_MAX when the
 * calls of now keep it up. */
uint64_t fleet_rate_falls_ms (const struct wish *wish, double rate);
uint64_t fleet_busy_falls_ms (const struct wish *wish, double busy);
/** fleet_forget_demand() - drop what nodes told. */
void fleet_forget_demand (struct fleet *fleet);

/* ---- plan.c ---- */

/* An adapter with more calls a second is kept on more than one replica while
   there are free places. */
#define PLAN_RATE_OF_COPIES 0.3

/** struct planned - an order that the plan wants to give. */
struct planned
{
  struct fleet_server *server;
  enum order_kind kind;
  struct fleet_model *model;
  struct str adapter;
  bool cold;
  bool spare;
  uint32_t takes_ms;
  struct order_reason reason;
};

/** plan_models() - the most useful load or unload of a model, if any. */
bool plan_models (struct fleet *fleet, uint64_t now_ms, struct planned *out);
/** plan_weights() - where a server would load the model's weights from. */
enum weights plan_weights (const struct fleet_server *server,
                           const struct fleet_model *model);
/** plan_dequeue() - take a model out of the queue of its service until the
 * next plan. */
void plan_dequeue (struct fleet_model *model);
/** plan_adapters() - likewise for adapters; in plan_adapters.c. */
bool plan_adapters (struct fleet *fleet, uint64_t now_ms, struct planned *out);

/* ---- coldloads.c ---- */

/** struct cold_gate - which servers may begin a load from the weight store.
 * @spare: for a model that is not in use. */
struct cold_gate
{
  const struct cold_loads *cold;
  bool spare;
  bool window_open;
  uint32_t running;
  uint64_t now_ms;
};

struct cold_gate cold_gate (const struct fleet *fleet,
                            struct fleet_service *service, bool spare,
                            uint64_t now_ms);
/** cold_any_allowed() - may servers without such a load begin one. */
bool cold_any_allowed (const struct cold_gate *gate);
bool cold_allowed (const struct cold_gate *gate,
                   const struct fleet_server *server);
/** cold_begin() - count a load that begins. */
void cold_begin (struct fleet_server *server, uint64_t now_ms);
/** cold_note() - bring the set of servers with such loads up to date. */
void cold_note (struct fleet_server *server);
