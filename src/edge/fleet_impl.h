#pragma once

/* Parts of the fleet; included by edge/fleet*.c, edge/plan*.c and
   edge/coldloads.c only. */

#include <uthash.h>

#include "edge/fleet.h"

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
  struct str model;
  struct str adapter;
  bool cold;
  bool spare;
  uint64_t since_ms;
  uint32_t takes_ms;
  uint64_t expected_ms; /* once accepted: when it should be complete */
};

/**
 * struct fleet_server - a model server.
 * @known: holdings and order count were read from the server in this term.
 * @suspected_ms: when a node last told that it cannot reach the server.
 * @down: nor could the holder.
 * @reserved_model: for which room was made here, until @reserved_until_ms.
 */
struct fleet_server
{
  struct str id;
  uint64_t hash;
  struct str service;
  struct str address;
  struct str domain;
  uint64_t started_ms;
  bool listed;
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
  struct name_list in_memory;
  struct name_list on_disk;
  struct pending pending;
  struct str reserved_model;
  uint64_t reserved_until_ms;
  bool reserved_cold; /* the load will be one from the weight store */
  uint32_t running;   /* sum over nodes; see fleet_demand.c */
  UT_hash_handle hh;
};

/**
 * struct wish - demand of all nodes for a model or an adapter.
 * @rate: calls a second, over about RATE_MS.
 * @rate_ms: when @rate was brought up to date.
 * @used_ms: when the last call came.
 * @busy: calls that waited or ran at once, as a maximum that decays.
 */
struct wish
{
  struct str key;
  struct str service;
  struct str model;
  struct str adapter;
  uint32_t waiting;
  uint32_t running;
  double rate;
  uint64_t rate_ms;
  uint64_t used_ms;
  double busy;
  uint64_t busy_ms;
  UT_hash_handle hh;
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

/** struct node - what one node told last. */
struct node
{
  struct str name;
  uint64_t told_ms;
  bool known; /* told before what it tells now */
  struct node_wish *wishes;
  size_t wish_count;
  struct node_load *loads;
  size_t load_count;
  UT_hash_handle hh;
};

#define COLD_STARTS_MAX 256

/** struct cold_loads - loads from the weight store of one service. */
struct cold_loads
{
  struct str service;
  uint64_t starts_ms[COLD_STARTS_MAX];
  size_t count;
  UT_hash_handle hh;
};

struct fleet
{
  const struct routing *routing;
  uint32_t load_window_ms;
  uint64_t term_ms; /* begin of this node's term as holder */
  struct fleet_server *servers;
  struct wish *wishes;
  struct node *nodes;
  struct cold_loads *cold;
};

/* ---- fleet.c ---- */

struct fleet_server *fleet_find (const struct fleet *fleet, struct str id);
/** fleet_find_hash() - server by str_hash() of its id, or NULL. */
struct fleet_server *fleet_find_hash (const struct fleet *fleet,
                                      uint64_t hash);
struct replica *fleet_replica (const struct fleet_server *server,
                               struct str model);
struct replica *fleet_add_replica (struct fleet_server *server,
                                   struct str model);
void fleet_drop_replica (struct fleet_server *server, struct replica *replica);
void fleet_add_adapter (struct replica *replica, struct str name,
                        uint64_t ready_ms);
void fleet_drop_adapter (struct replica *replica, struct str name);
bool fleet_has_adapter (const struct replica *replica, struct str name);
size_t fleet_adapters (const struct fleet_server *server);
const struct engine_spec *fleet_engine (const struct fleet *fleet,
                                        const struct fleet_server *server);
/** fleet_usable() - may get orders and calls. */
bool fleet_usable (const struct fleet_server *server);

void fleet_clear_pending (struct fleet_server *server);
/** fleet_take_models() - replace the replicas by what the server holds. */
void fleet_take_models (struct fleet_server *server,
                        const struct held_model *models, size_t count);
/** fleet_take_at_hand() - replace the lists of weights at hand. */
void fleet_take_at_hand (struct fleet_server *server,
                         const struct name_list *memory,
                         const struct name_list *disk);

/** fleet_may_order() - usable, read in this term, and not avoided. */
bool fleet_may_order (const struct fleet_server *server, uint64_t now_ms);
/** fleet_is_idle() - likewise, and without an order under way. */
bool fleet_is_idle (const struct fleet_server *server, uint64_t now_ms);
/** fleet_ready_replica() - the replica of a model that takes calls, or NULL.
 */
struct replica *fleet_ready_replica (const struct fleet_server *server,
                                     struct str service, struct str model);

/* ---- fleet_demand.c ---- */

/** fleet_wish_find() - demand of a key, or NULL. */
struct wish *fleet_wish_find (const struct fleet *fleet, struct str service,
                              struct str model, struct str adapter);
/** fleet_rate() - calls a second now. */
double fleet_rate (const struct wish *wish, uint64_t now_ms);
/** fleet_busy() - calls at once, lately. */
double fleet_busy (const struct wish *wish, uint64_t now_ms);
/** fleet_forget_demand() - drop what nodes told. */
void fleet_forget_demand (struct fleet *fleet);

/* ---- plan.c ---- */

/** struct planned - an order that the plan wants to give. */
struct planned
{
  struct fleet_server *server;
  enum order_kind kind;
  struct str model;
  struct str adapter;
  bool cold;
  bool spare;
  uint32_t takes_ms;
  struct order_reason reason;
};

/** plan_models() - the most useful load or unload of a model, if any. */
bool plan_models (struct fleet *fleet, uint64_t now_ms, struct planned *out);
/** plan_adapters() - likewise for adapters; in plan_adapters.c. */
bool plan_adapters (struct fleet *fleet, uint64_t now_ms, struct planned *out);

/* ---- coldloads.c ---- */

/** cold_allowed() - may a load from the weight store begin. @spare: of a model
 * that is not in use. */
bool cold_allowed (struct fleet *fleet, const struct fleet_server *server,
                   bool spare, uint64_t now_ms);
/** cold_begin() - count a load that begins. */
void cold_begin (struct fleet *fleet, const struct fleet_server *server,
                 uint64_t now_ms);
