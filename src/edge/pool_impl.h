#pragma once

/* Parts of the pool; included by edge/pool*.c only. */

#include <uthash.h>

#include "edge/pool.h"

struct placed_model
{
  struct str model;
  enum held_state state;
  uint64_t ready_ms;
  struct name_list adapters;
  uint64_t lacking_until_ms;
  struct str lacking; /* an adapter; empty for the model itself */
};

struct pool_server
{
  struct str id;
  struct str service;
  struct str address;
  struct str domain;
  uint64_t hash; /* of the id */
  uint64_t started_ms;
  uint64_t sequence;    /* of the entry */
  uint64_t order_count; /* as the holder told */
  uint32_t slots;
  bool leaving;    /* for good, for this start */
  bool listed;     /* the store has an entry */
  bool unreadable; /* the entry was not written by the server */
  bool replaced;   /* another server has its address */
  uint64_t removed_ms;
  uint64_t usable_until_ms; /* without an entry */
  struct placed_model *models;
  size_t model_count;
  uint64_t view_ms; /* when the holder's view was taken over; 0 for none */
  bool placed;      /* the holder knew then what the server holds */
  uint32_t others;  /* calls of other nodes */
  uint32_t running; /* calls of this node */
  uint32_t told;    /* of these, as last told to the holder */
  uint32_t failures;
  uint32_t rejections; /* since it served a call */
  uint64_t full_until_ms;
  uint64_t avoid_until_ms;
  bool unreached; /* it took no connection the last time */
  UT_hash_handle hh;
  UT_hash_handle hh_hash;
};

struct pool
{
  struct pool_server *servers;         /* by id */
  struct pool_server *servers_by_hash; /* by hash of the id */
  uint64_t heard_ms; /* when the holder last told something */
  bool reachable;
  uint64_t regained_ms;
};

/* ---- pool.c ---- */

/** pool_model() - what a server holds of a model, or NULL. */
struct placed_model *pool_model (const struct pool_server *server,
                                 struct str model);
