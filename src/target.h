#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Status reports of an engine and orders to it (design, section 10). Does no
   I/O. */

/**
 * struct replica_key - a loadable item: a model version or one of its
 * adapters.
 * @adapter: empty for the model itself.
 */
struct replica_key
{
  struct str model;
  struct str version;
  struct str adapter;
};

bool replica_key_eq (const struct replica_key *a, const struct replica_key *b);
struct replica_key replica_key_dup (const struct replica_key *k);
void replica_key_free (struct replica_key *k);

enum target_entry_state
{
  TARGET_LOADING,
  TARGET_LOADED,
  TARGET_UNLOADING,
  TARGET_CACHED, /* weights on the host's disk or in its memory, not loaded */
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
  enum target_entry_state state;
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
 * target_status_decode() - parse the response to GET /status.
 *
 * Returns 0 and sets *@out (free with target_status_free()), or -EBADMSG.
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

/** struct order - an order to an engine; its strings are borrowed. */
struct order
{
  enum order_kind kind;
  struct str order_id;
  uint64_t fence;
  uint64_t instance;
  struct replica_key key;
  uint64_t bytes;
};

/** order_encode() - create the body of POST /orders; free with str_free(). */
struct str order_encode (const struct order *o);

enum order_answer
{
  ORDER_ACCEPTED,
  ORDER_REFUSED,        /* this copy of the order is not executed */
  ORDER_FAILED,         /* executed and failed; the engine refuses resends */
  ORDER_BUSY,           /* not executed; may be sent again later */
  ORDER_OLD_FENCE,      /* the engine has accepted a newer fence */
  ORDER_WRONG_INSTANCE, /* addressed to an earlier process of the engine */
  ORDER_NOT_SENT,       /* certainly never left this node */
  ORDER_UNANSWERED,     /* may be executed, now or later */
};

/**
 * order_answer_decode() - interpret the HTTP response to an order.
 * @err: 0 or a negative errno value of the HTTP call.
 * @sent: false only if certainly no byte of the order reached the engine.
 */
enum order_answer order_answer_decode (int err, bool sent, int status,
                                       struct str body);
