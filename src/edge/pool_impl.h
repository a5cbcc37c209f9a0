#pragma once

/* Internals of the pool; included by edge/pool*.c only. */

#include <uthash.h>

#include "edge/pool.h"

/**
 * struct placed_model - a model on a server.
 * @ready_at_ms: when the load ends; with POOL_MODEL_LOADING.
 * @missing: adapter that a call found missing, or empty for the model itself;
 *   valid until @missing_until_ms.
 */
struct placed_model
{
  struct str model;
  enum pool_model_state state;
  uint64_t ready_at_ms;
  struct name_list adapters;
  uint64_t missing_until_ms;
  struct str missing;
};

/**
 * struct pool_server - state of a server.
 * @hash: str_hash() of @id.
 * @sequence: of the newest entry.
 * @order_count: of the newest report of the placement holder.
 * @leaving: the server is shutting down; stays set until it starts again.
 * @listed: the store has an entry.
 * @unreadable: the entry is not valid; the server did not write it.
 * @replaced: another server uses the address.
 * @removed_ms: when the entry was removed.
 * @removed_before_restore: the store came back from an older copy since then,
 *   which may have the entry.
 * @doubted_until_ms: the entry is there again, as it was when it was removed.
 *   The store removes it once more before then if the server is gone.
 * @usable_until_ms: while there is no entry.
 * @view_received_ms: when the holder's report was applied; 0 if there is none.
 * @models_known: the holder's latest report knew which models the server
 *   has.
 * @running: calls of this node.
 * @reported_running: value of @running that was last reported to the holder.
 * @rejections: since the server last served a call.
 * @deferred_until_ms: the server wants no calls of this node before.
 * @unreached: the last connection attempt failed.
 */
struct pool_server
{
  struct str id;
  struct str service;
  struct str address;
  struct str domain;
  struct str software_version;
  uint64_t hash;
  uint64_t started_ms;
  uint64_t sequence;
  uint64_t order_count;
  uint32_t slots;
  bool leaving;
  bool listed;
  bool unreadable;
  bool replaced;
  uint64_t removed_ms;
  bool removed_before_restore;
  uint64_t doubted_until_ms;
  uint64_t usable_until_ms;
  struct placed_model *models;
  size_t model_count;
  uint64_t view_received_ms;
  bool models_known;
  uint32_t other_nodes_running;
  uint32_t running;
  uint32_t reported_running;
  uint32_t failures;
  uint32_t rejections;
  uint64_t full_until_ms;
  uint64_t avoid_until_ms;
  uint64_t deferred_until_ms;
  bool unreached;
  UT_hash_handle hh;
  UT_hash_handle hh_hash;
};

/**
 * struct pool - all servers.
 * @servers: by id.
 * @servers_by_hash: by the hash of the id.
 * @holder_message_ms: when the last message of the placement holder arrived.
 * @outage_ended_ms: end of the store's last outage; 0 if there was none.
 * @restored_ms: when the store last came back from an older copy; likewise.
 */
struct pool
{
  struct pool_server *servers;
  struct pool_server *servers_by_hash;
  uint64_t holder_message_ms;
  uint64_t outage_ended_ms;
  uint64_t restored_ms;
};

/* ---- pool.c ---- */

/** pool_model() - look up a model of a server; NULL if there is none. */
struct placed_model *pool_model (const struct pool_server *server,
                                 struct str model);
