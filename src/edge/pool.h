#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "edge/topology.h"

/* The servers as this node sees them, and the choice of one for a call. Pure:
   it does no I/O and reads no clock. The state comes from the servers' entries
   in the store, from the placement holder, and from the outcomes of this
   node's calls. */

struct pool;
struct pool_server;

enum pool_model_state
{
  POOL_MODEL_READY,
  POOL_MODEL_LOADING,
  POOL_MODEL_UNLOADING,
};

/**
 * struct pool_model_info - a model on a server, as reported by the placement
 * holder.
 * @ready_in_ms: remaining load time; with POOL_MODEL_LOADING.
 */
struct pool_model_info
{
  struct str model;
  enum pool_model_state state;
  uint32_t ready_in_ms;
  const struct str *adapters;
  size_t adapter_count;
};

/**
 * struct pool_view - what the placement holder reports about a server.
 * @server: str_hash() of the server's id.
 * @order_count: number of orders that the server had accepted.
 * @running: calls in flight from all nodes, by their latest reports.
 * @models_known: the holder knows which models the server has; otherwise
 * @models is not valid.
 * @models_omitted: the list is too large to report: the server's entry counts.
 */
struct pool_view
{
  uint64_t server;
  uint64_t order_count;
  uint32_t running;
  bool models_known;
  bool models_omitted;
  const struct pool_model_info *models;
  size_t model_count;
};

/**
 * struct pool_criteria - requirements of a call for its server. Strings are
 * borrowed.
 * @engine: NULL for a plain service.
 * @domain: failure domain of this node; servers there are slightly preferred.
 * @avoid: server of an earlier attempt that failed or was rejected, or NULL;
 *   servers without recent failures are preferred to it.
 * @version_bound: only servers of @software_version fit; if it is empty, none.
 */
struct pool_criteria
{
  struct str service;
  const struct engine_spec *engine;
  struct str model;
  struct str adapter;
  struct str domain;
  const struct pool_server *avoid;
  struct str software_version;
  bool version_bound;
};

enum pool_result
{
  POOL_CHOSEN,
  POOL_NO_SERVER,     /* the service has no usable server */
  POOL_OTHER_VERSION, /* likewise, but servers of other software versions */
  POOL_NO_MODEL,      /* no server has the model */
  POOL_NO_ADAPTER,    /* servers have the model without the adapter */
  POOL_DEFERRED,      /* all servers that could run it want no calls yet */
  POOL_FULL,          /* likewise full */
};

struct pool *pool_create (void);
void pool_destroy (struct pool *pool);

/** pool_update() - apply a server's entry. Returns false for an entry that is
 * older than the last one, which is ignored. */
bool pool_update (struct pool *pool, const struct server_entry *entry,
                  uint64_t now_ms);
/**
 * pool_remove() - the store no longer has an entry for the server.
 *
 * In an outage of the store, entries of live servers expire too. After an
 * outage the server stays usable until it had time to write its entry again.
 */
void pool_remove (struct pool *pool, struct str id, uint64_t now_ms);
/** pool_entry_unreadable() - stop using a server whose entry is not valid,
 * until its next valid entry. */
void pool_entry_unreadable (struct pool *pool, struct str id);
/** pool_store_outage_ended() - the store answers again after an outage. */
void pool_store_outage_ended (struct pool *pool, uint64_t now_ms);
/** pool_store_restored() - the store came back from an older copy. Live
 * servers write their entries again. An entry that was removed before may be
 * there again; it makes its server usable only once it has lasted for longer
 * than the store keeps entries of servers that are gone. */
void pool_store_restored (struct pool *pool, uint64_t now_ms);
/** pool_apply_view() - apply the placement holder's report about a server. */
void pool_apply_view (struct pool *pool, const struct pool_view *view,
                      uint64_t now_ms);

/** pool_renew_views() - record that the placement holder is alive, so that its
 * earlier reports about servers are still valid. */
void pool_renew_views (struct pool *pool, uint64_t now_ms);
/** pool_apply_running() - set the number of calls from all nodes at a server,
 * as reported by the placement holder. */
void pool_apply_running (struct pool *pool, uint64_t server, uint32_t running);

/**
 * pool_choose() - choose the server for a call.
 * @out: set with POOL_CHOSEN only; borrowed.
 *
 * Returns POOL_CHOSEN, or why no server can take the call.
 */
enum pool_result pool_choose (struct pool *pool,
                              const struct pool_criteria *criteria,
                              uint64_t now_ms, struct pool_server **out);

/** pool_call_started() - count a call that is sent to the server. */
void pool_call_started (struct pool_server *server);
/** pool_call_ended() - count the end of a started call. */
void pool_call_ended (struct pool_server *server);
/** pool_call_failed() - a call got no response or a truncated one. */
void pool_call_failed (struct pool_server *server, uint64_t now_ms);
/** pool_connect_failed() - the server accepted no connection. */
void pool_connect_failed (struct pool_server *server, uint64_t now_ms);
/** pool_call_served() - a call got its complete response. */
void pool_call_served (struct pool_server *server);
/** pool_call_rejected() - the server had no capacity for a call. */
void pool_call_rejected (struct pool_server *server, uint64_t now_ms);
/** pool_model_missing() - the server doesn't have the model or adapter. */
void pool_model_missing (struct pool_server *server, struct str model,
                         struct str adapter, uint64_t now_ms);
/** pool_server_announced_leaving() - the server said in a response that it is
 * shutting down. It gets no calls until it starts again. Returns false if this
 * was known. */
bool pool_server_announced_leaving (struct pool_server *server);
/** pool_defer_calls() - the server wants no calls of this node until then, or
 * until a later time that it said before. */
void pool_defer_calls (struct pool_server *server, uint64_t until_ms);
/** pool_deferred_for() - shortest time in ms until a server that could run the
 * call wants calls again; UINT32_MAX if none wants to wait. */
uint32_t pool_deferred_for (const struct pool *pool,
                            const struct pool_criteria *criteria,
                            uint64_t now_ms);
/** pool_server_replaced() - another server uses the address now. */
void pool_server_replaced (struct pool_server *server);

struct str pool_server_id (const struct pool_server *server);
/** pool_server_started() - Unix time of the server's start in ms, 0 if not
 * known. */
uint64_t pool_server_started (const struct pool_server *server);
/** pool_server_leaving() - returns true if the server announced that it is
 * shutting down. */
bool pool_server_leaving (const struct pool_server *server);
/** pool_find_at() - look up a listed server by address; NULL if there is none.
 */
struct pool_server *pool_find_at (const struct pool *pool, struct str address);
/** pool_find() - look up a server by id; NULL if there is none. */
struct pool_server *pool_find (const struct pool *pool, struct str id);
struct str pool_server_address (const struct pool_server *server);
/** pool_server_software_version() - empty if the server's entry has none that
 * can be read. */
struct str pool_server_software_version (const struct pool_server *server);
/** pool_each_listed() - call @visit for each server that the store has an
 * entry of. */
void pool_each_listed (const struct pool *pool,
                       void (*visit) (void *ctx, struct str service,
                                      struct str software_version),
                       void *ctx);
/**
 * struct pool_server_stats - load of a server as this node sees it, for logs.
 * @running: calls of this node.
 * @other_nodes_running: calls of other nodes, as reported by the placement
 *   holder.
 * @view_age_ms: age of the holder's report about the server's models; 0 if
 *   there is only the server's entry.
 */
struct pool_server_stats
{
  uint32_t running;
  uint32_t other_nodes_running;
  uint64_t view_age_ms;
};
struct pool_server_stats
pool_get_server_stats (const struct pool_server *server, uint64_t now_ms);
/** pool_server_usable() - returns true if the server may get calls at all. */
bool pool_server_usable (const struct pool_server *server, uint64_t now_ms);

/**
 * struct pool_load_report - this node's calls at a server, for the placement
 * holder.
 * @server: str_hash() of the server's id.
 * @running: calls of this node.
 * @unreached: the server accepts no connection from this node.
 */
struct pool_load_report
{
  uint64_t server;
  uint32_t running;
  bool unreached;
};
/** pool_report_loads() - list the servers that have calls of this node or that
 * it can't connect to, for the report to the placement holder. Returns their
 * number. */
size_t pool_report_loads (struct pool *pool, uint64_t now_ms,
                          struct pool_load_report *out, size_t max);
/** pool_ready_in() - shortest remaining load time of the model in ms, over all
 * servers that are loading it; UINT32_MAX if none is. */
uint32_t pool_ready_in (const struct pool *pool,
                        const struct pool_criteria *criteria, uint64_t now_ms);
