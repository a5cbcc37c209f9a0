#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"
#include "target.h"

/* What each server of a service holds or may come to hold. Pure: the caller
   does the I/O and passes the clock. A change takes effect in memory at once
   and may be acted upon only when it is stored (ledger_next_order()). */

enum ledger_state
{
  LEDGER_INTENT_LOAD,
  LEDGER_LOADED,
  LEDGER_INTENT_UNLOAD,
};

/**
 * struct ledger_entry - memory of a server that is used or promised.
 * @order_id: of the load order.
 * @unload_id: of the unload order, empty before LEDGER_INTENT_UNLOAD.
 * @fence: under which the last order was decided.
 * @instance: process of the server that the orders are meant for.
 * @open: the load order may still be carried out; the entry is counted even
 *   when the server does not show it.
 * The members after @open are not stored.
 */
struct ledger_entry
{
  struct replica_key key;
  enum ledger_state state;
  struct str order_id;
  struct str unload_id;
  uint64_t fence;
  uint64_t instance;
  uint64_t bytes;
  bool open;
  uint64_t changed_seq; /* stored once the ledger's stored_seq reaches it */
  uint64_t known_ms;    /* a status asked for earlier proves no absence */
  uint64_t sent_ms;     /* last copy of the load order sent by this node */
  uint64_t retry_ms;    /* no copy is sent before */
  uint64_t loaded_ms;   /* when the load was confirmed to this node */
  uint64_t decided_ms;  /* when this node decided or took over the entry */
  uint32_t unanswered;  /* copies of the load order whose answer was lost */
  bool in_flight;       /* an order is being sent */
  bool slot;            /* counted in the load budget */
  bool told;            /* its load was logged */
  bool given_up;        /* FENCE_OFF: never to be sent by this node */
};

struct ledger_server
{
  struct str addr;
  struct str domain;
  uint64_t instance;
  uint64_t memory_bytes;
  struct ledger_entry **entries;
  size_t entry_count;
  /* Not stored: */
  bool seen;    /* its status was seen by this node since the takeover */
  bool leaving; /* by its own answer */
  bool listed_leaving; /* by the host list or a notice */
  bool fence_known;    /* the server refuses older fences */
  uint64_t fence_known_ms;
  uint32_t slots;
  uint32_t running;
};

struct ledger
{
  struct str service;
  bool fenced;
  uint64_t pause_bound_ms;
  uint64_t fence;
  uint64_t former_fence; /* of the ledger before the takeover */
  struct str writer;
  uint64_t writer_instance;
  struct str former_writer;
  uint64_t stamped_ms; /* when the takeover was stored; 0 is not yet */
  bool dropped;        /* superseded: nothing is decided or sent */
  uint64_t stored_seq;
  uint64_t last_seq;    /* of the last write that was begun */
  uint64_t writing_seq; /* of the write in flight, 0 is none */
  bool dirty;
  size_t stored_bytes; /* size of the last value that was written */
  uint64_t next_order;
  struct ledger_server **servers; /* sorted by address */
  size_t server_count;
};

/**
 * ledger_create() - empty ledger.
 * @fenced: the service's engines refuse orders with an old fence.
 * @pause_bound_ms: longest time that a process or an order may be delayed.
 */
struct ledger *ledger_create (struct str service, bool fenced,
                              uint64_t pause_bound_ms);
void ledger_destroy (struct ledger *l);
/** ledger_encode() - JSON of what is to be stored; free with str_free(). */
struct str ledger_encode (const struct ledger *l, uint64_t seq);
/**
 * ledger_decode() - read the stored form into an empty ledger.
 * Returns 0 or -EBADMSG (@l is then to be destroyed).
 */
int ledger_decode (struct ledger *l, struct str json);

/**
 * ledger_take_over() - become the owner with a fence.
 *
 * The ledger takes no decision before the stamp is stored, see
 * ledger_write_done(). Returns 0, or -ESTALE if the ledger has a higher fence
 * or the same one of another writer.
 */
int ledger_take_over (struct ledger *l, uint64_t fence, struct str writer,
                      uint64_t instance, uint64_t now);

/* Group commit: one write in flight holds all changes made before it. */

/**
 * ledger_write_begin() - JSON to write, or an empty string if there is nothing
 * to write or a write is in flight; free with str_free().
 */
struct str ledger_write_begin (struct ledger *l);
enum ledger_write
{
  LEDGER_STORED,
  LEDGER_NOT_STORED, /* write again */
  LEDGER_SUPERSEDED, /* another owner wrote: ledger is dropped */
};
void ledger_write_done (struct ledger *l, enum ledger_write result,
                        uint64_t now);
/**
 * ledger_compare() - what a read back says on a write whose answer was lost.
 * @json: the stored value, empty when there is none.
 */
enum ledger_write ledger_compare (const struct ledger *l, struct str json);

/* Servers. */

struct ledger_server *ledger_server (const struct ledger *l, struct str addr);
struct ledger_server *ledger_server_add (struct ledger *l, struct str addr,
                                         struct str domain);
/**
 * ledger_server_gone() - the process of a server has ended for certain; all
 * its entries go. With @remove the server goes too.
 */
void ledger_server_gone (struct ledger *l, struct str addr, bool remove);
bool ledger_leaving (const struct ledger_server *s);
uint64_t ledger_used_bytes (const struct ledger_server *s);
struct ledger_entry *ledger_entry (const struct ledger_server *s,
                                   const struct replica_key *key);
/** ledger_holds() - entry of the model or adapter in any version. */
struct ledger_entry *ledger_holds (const struct ledger_server *s,
                                   const struct replica_key *key);
/** ledger_replicas() - entries of a model in any state and version, on all
 * servers.
 */
size_t ledger_replicas (const struct ledger *l, const struct replica_key *key);

/* Decisions. */

/**
 * ledger_load() - record the intent to load.
 * Returns 0, or -EPERM (no fence is stamped), -ENOENT (no such server),
 * -EHOSTDOWN (status not seen yet), -ESHUTDOWN (leaving), -EEXIST, -ENOMEM
 * (memory), -EDQUOT (max_replicas), -ENOLINK (the adapter's model is not
 * loaded there), -EFBIG (the object would exceed the store's limit).
 */
int ledger_load (struct ledger *l, struct str addr,
                 const struct replica_key *key, uint64_t bytes,
                 uint32_t max_replicas, uint64_t now);
/**
 * ledger_unload() - record the intent to unload; a model with its adapters.
 * Returns 0, or -EPERM, -ENOENT, -EBUSY (it or an adapter is being loaded),
 * -EALREADY.
 */
int ledger_unload (struct ledger *l, struct str addr,
                   const struct replica_key *key, uint64_t now);

/* Orders. */

/**
 * ledger_order() - the order of an entry, if one may be sent now.
 *
 * True only for what is stored, not yet accepted, and not in flight. Borrows
 * from the entry. The caller checks the lease.
 */
bool ledger_order (const struct ledger *l, const struct ledger_entry *e,
                   uint64_t now, struct order *out);
/** ledger_order_sent() - call immediately before the order is sent. */
void ledger_order_sent (struct ledger_entry *e, enum order_kind kind,
                        uint64_t now);
/** ledger_order_answer() - how the sending of an order ended. */
void ledger_order_answer (struct ledger *l, struct str addr, struct str id,
                          enum order_kind kind, enum order_answer answer,
                          uint64_t now);
/** ledger_fence_known() - the server confirmed this ledger's fence. */
void ledger_fence_known (struct ledger *l, struct str addr, uint64_t now);

/**
 * ledger_status() - reconcile with a server's status.
 * @asked_ms: when the status was asked for; it proves nothing earlier.
 */
void ledger_status (struct ledger *l, struct str addr,
                    const struct target_status *status, uint64_t asked_ms,
                    uint64_t now);

/* Takeover from a former owner that can be reached. */

/**
 * ledger_fence_off() - give up all unsent orders, on the former owner.
 * @fn: called with the id of each order that was never sent.
 */
void ledger_fence_off (struct ledger *l, uint64_t fence,
                       void (*fn) (void *ctx, struct str order_id), void *ctx);
/**
 * ledger_void() - the former owner confirmed that it never sent an order.
 * Returns whether the entry was dropped.
 */
bool ledger_void (struct ledger *l, struct str order_id);
/** ledger_former_intents() - does any entry wait for a former owner. */
bool ledger_former_intents (const struct ledger *l);

/* Shared by the ledger's files. */

/** ledger_entry_append() - the server owns the entry from now on. */
void ledger_entry_append (struct ledger_server *s, struct ledger_entry *e);
/** ledger_entry_drop() - the last entry takes its place. */
void ledger_entry_drop (struct ledger *l, struct ledger_server *s, size_t i);
