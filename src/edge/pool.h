#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "edge/topology.h"

/* Servers as this node believes them to be, and the choice of one for a call.
   Pure: it does no I/O and reads no clock. Beliefs come from the servers'
   entries in the store, from the placement holder, and from what calls of this
   node met. */

struct pool;
struct pool_server;

enum held_state
{
  HELD_READY,
  HELD_LOADING,
  HELD_UNLOADING,
};

/**
 * struct holding - a model on a server, as the placement holder tells.
 * @ready_in_ms: with HELD_LOADING.
 */
struct holding
{
  struct str model;
  enum held_state state;
  uint32_t ready_in_ms;
  const struct str *adapters;
  size_t adapter_count;
};

/**
 * struct pool_view - what the placement holder tells of a server.
 * @server: str_hash() of the server's id.
 * @order_count: orders that the server had accepted.
 * @running: calls in flight from all nodes, as they last told.
 * @placed: the holder knows what the server holds; else @holdings is void.
 */
struct pool_view
{
  uint64_t server;
  uint64_t order_count;
  uint32_t running;
  bool placed;
  const struct holding *holdings;
  size_t holding_count;
};

/**
 * struct pool_need - what a call needs. Strings are borrowed.
 * @engine: NULL for a plain service.
 * @domain: of this node; a server there is preferred a little.
 * @avoid: a server that failed the call before, or NULL.
 */
struct pool_need
{
  struct str service;
  const struct engine_spec *engine;
  struct str model;
  struct str adapter;
  struct str domain;
  const struct pool_server *avoid;
};

enum pool_verdict
{
  POOL_CHOSEN,
  POOL_NO_SERVER,  /* the service has none that can be used */
  POOL_NO_MODEL,   /* no server holds the model */
  POOL_NO_ADAPTER, /* servers hold the model without the adapter */
  POOL_FULL,       /* all that could serve are full */
};

struct pool *pool_create (void);
void pool_destroy (struct pool *pool);

/** pool_update() - take over a server's entry. */
void pool_update (struct pool *pool, const struct server_entry *entry,
                  uint64_t now_ms);
/**
 * pool_remove() - the store has no entry of the server any more.
 *
 * While the store was away, entries of live servers lapse too; the server is
 * then used on until it had time to write its entry again.
 */
void pool_remove (struct pool *pool, struct str id, uint64_t now_ms);
/** pool_unreadable() - the entry does not describe a server now. */
void pool_unreadable (struct pool *pool, struct str id);
/** pool_store_reachable() - the store answers this node again, or no longer.
 */
void pool_store_reachable (struct pool *pool, bool reachable, uint64_t now_ms);
/** pool_apply_view() - take over what the placement holder tells. */
void pool_apply_view (struct pool *pool, const struct pool_view *view,
                      uint64_t now_ms);

/** pool_heard() - the placement holder is alive: what it told of servers
 * still holds. */
void pool_heard (struct pool *pool, uint64_t now_ms);
/** pool_apply_running() - calls of all nodes at a server, as the placement
 * holder tells. */
void pool_apply_running (struct pool *pool, uint64_t server, uint32_t running);

enum pool_verdict pool_choose (struct pool *pool, const struct pool_need *need,
                               uint64_t now_ms, struct pool_server **out);

/** pool_begin() - a call is sent to the server. */
void pool_begin (struct pool_server *server);
/** pool_end() - a call begun with pool_begin() is over. */
void pool_end (struct pool_server *server);
/** pool_failed() - a call met a server that did not answer or broke off. */
void pool_failed (struct pool_server *server, uint64_t now_ms);
/** pool_unreached() - the server took no connection. */
void pool_unreached (struct pool_server *server, uint64_t now_ms);
/** pool_served() - a call was answered as it should be. */
void pool_served (struct pool_server *server);
/** pool_turned_away() - the server had no place for a call. */
void pool_turned_away (struct pool_server *server, uint64_t now_ms);
/** pool_misplaced() - the server does not hold the model or adapter. */
void pool_misplaced (struct pool_server *server, struct str model,
                     struct str adapter, uint64_t now_ms);
/** pool_replaced() - another server has the address now. */
void pool_replaced (struct pool_server *server);

struct str pool_server_id (const struct pool_server *server);
/** pool_server_started() - Unix ms of the server's start, 0 when unknown. */
uint64_t pool_server_started (const struct pool_server *server);
/** pool_find() - server by id, or NULL. */
struct pool_server *pool_find (const struct pool *pool, struct str id);
struct str pool_server_address (const struct pool_server *server);
/**
 * struct pool_belief - what decides about a server, for the log.
 * @running: calls of this node.
 * @others: calls of other nodes, as the placement holder told.
 * @view_age_ms: since the holder told of its models; 0 when only its entry
 *   did.
 */
struct pool_belief
{
  uint32_t running;
  uint32_t others;
  uint64_t view_age_ms;
};
struct pool_belief pool_server_belief (const struct pool_server *server,
                                       uint64_t now_ms);
bool pool_server_usable (const struct pool_server *server, uint64_t now_ms);

/**
 * struct pool_load - what this node knows of one server by its calls.
 * @server: str_hash() of its id.
 * @running: calls of this node.
 * @unreached: it takes no connection from this node.
 */
struct pool_load
{
  uint64_t server;
  uint32_t running;
  bool unreached;
};
/** pool_loads() - servers with calls of this node, to be told to the holder.
 * Returns their number. */
size_t pool_loads (struct pool *pool, uint64_t now_ms, struct pool_load *out,
                   size_t max);
/** pool_ready_in() - shortest time until a server that loads the model holds
 * it; UINT32_MAX when none does. */
uint32_t pool_ready_in (const struct pool *pool, const struct pool_need *need,
                        uint64_t now_ms);
