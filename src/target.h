#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* What an engine reports and is ordered (design, section 10). Pure. */

/** struct replica_key - a model or, with @adapter set, one of its adapters. */
struct replica_key
{
  struct str model;
  struct str version;
  struct str adapter;
};

bool replica_key_eq (const struct replica_key *a, const struct replica_key *b);
struct replica_key replica_key_dup (const struct replica_key *k);
void replica_key_free (struct replica_key *k);

enum target_state
{
  TARGET_LOADING,
  TARGET_LOADED,
  TARGET_UNLOADING,
  TARGET_CACHED, /* on the host's disk or in its memory, not loaded */
};

enum cache_place
{
  CACHE_MEMORY,
  CACHE_DISK,
  CACHE_REMOTE,
};

struct target_entry
{
  struct replica_key key;
  uint64_t bytes;
  enum target_state state;
  struct str order_id;
  enum cache_place cache;
};

struct target_status
{
  uint64_t seq;
  uint64_t instance;
  uint64_t fence;
  bool leaving;
  uint64_t memory_bytes;
  uint32_t slots;
  uint32_t running;
  uint32_t queued;
  struct target_entry *entries;
  size_t entry_count;
};

/**
 * target_status_decode() - parse the answer to GET /status.
 * Returns 0 with *@out (free with target_status_free()), or -EBADMSG.
 */
int target_status_decode (struct str json, struct target_status *out);
void target_status_free (struct target_status *s);
const struct target_entry *target_status_find (const struct target_status *s,
                                               const struct replica_key *key);

enum order_kind
{
  ORDER_LOAD,
  ORDER_UNLOAD,
  ORDER_FENCE,
};

/** struct order - what is sent to an engine; borrows its strings. */
struct order
{
  enum order_kind kind;
  struct str order_id;
  uint64_t fence;
  uint64_t instance;
  struct replica_key key;
  uint64_t bytes;
};

/** order_encode() - body of POST /orders; free with str_free(). */
struct str order_encode (const struct order *o);

enum order_answer
{
  ORDER_ACCEPTED,
  ORDER_REFUSED,        /* not carried out by this copy */
  ORDER_FAILED,         /* was carried out in vain; repeats are refused */
  ORDER_BUSY,           /* not now; may be sent again */
  ORDER_OLD_FENCE,      /* a newer fence is known there */
  ORDER_WRONG_INSTANCE, /* meant for a former process */
  ORDER_NOT_SENT,       /* certainly never left this node */
  ORDER_UNANSWERED,     /* may be carried out, now or later */
};

/** order_answer_decode() - meaning of the HTTP answer to an order. */
enum order_answer order_answer_decode (int err, bool sent, int status,
                                       struct str body);
