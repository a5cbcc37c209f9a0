#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"
#include "target.h"

/* Records which replicas each server of a service holds or has been ordered to
   load. Does no I/O and reads no clock: the caller does both. A change takes
   effect in memory at once, but its order may be sent only after the change is
   stored; see ledger_due_order(). */

enum ledger_state
{
  LEDGER_INTENT_LOAD,
  LEDGER_LOADED,
  LEDGER_INTENT_UNLOAD,
};

/**
 * struct ledger_entry - server memory that a replica uses or has reserved.
 * @order_id: id of the load order.
 * @unload_id: id of the unload order; empty until an unload is decided.
 * @fence: fencing token under which the last order was decided.
 * @instance: server process that the orders are addressed to.
 * @order_open: the load order may still be carried out; the entry's memory
 * stays reserved even while the server's status does not list the replica.
 *
 * The members after @order_open are not stored.
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
  bool order_open;
  uint64_t changed_seq; /* stored once the ledger's stored_seq reaches it */
  /* When the server accepted the load. A status requested earlier does not
     prove that the replica is absent. */
  uint64_t accepted_ms;
  uint64_t sent_ms;      /* when this node last sent the load order, or 0 */
  uint64_t retry_ms;     /* earliest time to send an order again */
  uint64_t loaded_ms;    /* when this node learnt that the load is complete */
  uint64_t decided_ms;   /* when this node decided, took over or found it */
  uint32_t lost_answers; /* sent load orders whose answer was lost */
  bool in_flight;        /* an order is in flight */
  bool holds_load_slot;  /* counted in the load budget */
  bool load_logged;      /* the completed load was logged */
  bool fenced_off;       /* this node must never send the load order */
};

struct ledger_server
{
  struct str addr;
  struct str domain;
  uint64_t instance;
  uint64_t memory_bytes;
  struct ledger_entry **entries;
  size_t entry_count;
  /* The members below are not stored. */
  bool status_known;    /* this node has its status since the takeover */
  bool leaving;         /* the server's own status says so */
  bool listed_leaving;  /* the host list or a notice says so */
  bool fence_confirmed; /* the server rejects orders with older fences */
  uint64_t fence_confirmed_ms;
  uint32_t slots;
  uint32_t running;
};

struct ledger
{
  struct str service;
  bool fenced;
  uint64_t pause_bound_ms;
  uint64_t fence;
  uint64_t former_fence; /* fence of the ledger before the takeover */
  struct str writer;
  uint64_t writer_instance;
  struct str former_writer;
  uint64_t takeover_stored_ms; /* when the takeover was stored; 0 until then */
  bool is_superseded; /* superseded: makes no decision and sends no order */
  uint64_t stored_seq;
  uint64_t last_seq;    /* sequence number of the last write started */
  uint64_t writing_seq; /* sequence number of the write in flight, or 0 */
  bool dirty;
  size_t stored_bytes; /* size of the last encoded value */
  uint64_t order_seq;
  struct ledger_server **servers; /* sorted by address */
  size_t server_count;
};

/**
 * ledger_create() - create an empty ledger; free with ledger_destroy().
 * @fenced: the service's engines reject orders with an old fence.
 * @pause_bound_ms: longest time for which a process may be paused or an order
 *   delayed.
 */
struct ledger *ledger_create (struct str service, bool fenced,
                              uint64_t pause_bound_ms);
void ledger_destroy (struct ledger *l);
/** ledger_encode() - encode the stored form as JSON; free with str_free(). */
struct str ledger_encode (const struct ledger *l, uint64_t seq);
/**
 * ledger_decode() - decode the stored form into an empty ledger.
 *
 * Returns 0, or -EBADMSG; the caller must then destroy @l.
 */
int ledger_decode (struct ledger *l, struct str json);

/**
 * ledger_take_over() - make this node the owner, with a new fencing token.
 *
 * The ledger makes no decision until the takeover is stored; see
 * ledger_write_done(). Returns 0, or -ESTALE if the ledger has a higher fence,
 * or the same fence from another writer.
 */
int ledger_take_over (struct ledger *l, uint64_t fence, struct str writer,
                      uint64_t instance, uint64_t now);

/* Group commit: each write holds all changes made before it, and at most one
   write is in flight. */

/**
 * ledger_write_begin() - start a write.
 *
 * Returns the JSON to write (free with str_free()), or an empty string if
 * nothing changed, a write is in flight or the ledger is superseded.
 */
struct str ledger_write_begin (struct ledger *l);
enum ledger_write_result
{
  LEDGER_STORED,
  LEDGER_NOT_STORED, /* the write must be repeated */
  LEDGER_SUPERSEDED, /* another owner wrote; this ledger is out of use */
};
void ledger_write_done (struct ledger *l, enum ledger_write_result result,
                        uint64_t now);
/**
 * ledger_check_write() - find out whether a write took effect.
 * @json: value read back after the write; empty if the object does not exist.
 */
enum ledger_write_result ledger_check_write (const struct ledger *l,
                                             struct str json);

/* Servers. */

struct ledger_server *ledger_find_server (const struct ledger *l,
                                          struct str addr);
struct ledger_server *ledger_server_add (struct ledger *l, struct str addr,
                                         struct str domain);
/**
 * ledger_server_ended() - drop all entries of a server whose process is known
 * to have ended.
 * @remove: drop the server too.
 */
void ledger_server_ended (struct ledger *l, struct str addr, bool remove);
bool ledger_server_leaving (const struct ledger_server *s);
uint64_t ledger_used_bytes (const struct ledger_server *s);
struct ledger_entry *ledger_find_entry (const struct ledger_server *s,
                                        const struct replica_key *key);
/** ledger_find_any_version() - find the entry of a model or adapter in any
 * version.
 *
 * Returns NULL if there is none.
 */
struct ledger_entry *ledger_find_any_version (const struct ledger_server *s,
                                              const struct replica_key *key);
/** ledger_replica_count() - count the servers with an entry of a model or
 * adapter in any state and version.
 */
size_t ledger_replica_count (const struct ledger *l,
                             const struct replica_key *key);

/* Decisions. */

/**
 * ledger_decide_load() - record the intent to load a model or adapter.
 *
 * Returns 0, or -EPERM (superseded, or the takeover is not stored yet),
 * -ENOENT (no such server), -EHOSTDOWN (no status received yet), -ESHUTDOWN
 * (the server is leaving), -EEXIST (it has the replica in some version),
 * -ENOMEM (not enough free memory there), -ENOLINK (the adapter's model is not
 * loaded there), -EDQUOT (max_replicas reached), -EFBIG (the stored object
 * could exceed the store's limit).
 */
int ledger_decide_load (struct ledger *l, struct str addr,
                        const struct replica_key *key, uint64_t bytes,
                        uint32_t max_replicas, uint64_t now);
/**
 * ledger_decide_unload() - record the intent to unload an adapter, or a model
 * with its adapters.
 *
 * Returns 0, or -EPERM (as ledger_decide_load()), -ENOENT (no such server or
 * entry), -EBUSY (it or one of its adapters is being loaded), -EALREADY (it is
 * being unloaded).
 */
int ledger_decide_unload (struct ledger *l, struct str addr,
                          const struct replica_key *key, uint64_t now);

/* Orders. */

/**
 * ledger_due_order() - build the order of an entry, if one is due.
 * @out: borrows its strings from the entry.
 *
 * Returns true if the intent is stored and an order for it is outstanding, not
 * in flight and not waiting for a retry. A load is outstanding until it is
 * accepted, an unload until the entry is dropped. The caller checks the lease.
 */
bool ledger_due_order (const struct ledger *l, const struct ledger_entry *e,
                       uint64_t now, struct order *out);
/** ledger_order_sent() - mark an order in flight; call it immediately before
 * the order is sent.
 */
void ledger_order_sent (struct ledger_entry *e, enum order_kind kind,
                        uint64_t now);
/** ledger_order_answer() - apply the outcome of an order that was sent. */
void ledger_order_answer (struct ledger *l, struct str addr, struct str id,
                          enum order_kind kind, enum order_answer answer,
                          uint64_t now);
/** ledger_fence_confirmed() - record that a server rejects orders with fences
 * older than this ledger's.
 */
void ledger_fence_confirmed (struct ledger *l, struct str addr, uint64_t now);

/**
 * ledger_apply_status() - reconcile the entries of a server with its status.
 * @requested_ms: when the status was requested; it proves nothing about
 * earlier moments.
 */
void ledger_apply_status (struct ledger *l, struct str addr,
                          const struct target_status *status,
                          uint64_t requested_ms, uint64_t now);

/* Takeover from a former owner that is reachable. */

/**
 * ledger_fence_off() - on the former owner, stop using the ledger and cancel
 * all load orders that were never sent.
 * @fence: highest fence that is superseded; a ledger with a higher one stays
 *   in use.
 * @fn: called with the id of each order that was never sent.
 */
void ledger_fence_off (struct ledger *l, uint64_t fence,
                       void (*fn) (void *ctx, struct str order_id), void *ctx);
/**
 * ledger_void_order() - drop the entry of an order that the former owner
 * confirmed as never sent.
 *
 * Returns true if the entry was dropped. It stays if this node has sent the
 * order itself or the order is no longer open.
 */
bool ledger_void_order (struct ledger *l, struct str order_id);
/** ledger_has_former_orders() - check for open load orders of former owners.
 *
 * Returns true if there is at least one.
 */
bool ledger_has_former_orders (const struct ledger *l);

/* Shared by the source files of the ledger. */

/** ledger_entry_append() - add an entry; the server takes ownership of it. */
void ledger_entry_append (struct ledger_server *s, struct ledger_entry *e);
/** ledger_entry_drop() - free the entry at index @i; the last entry moves to
 * this index.
 */
void ledger_entry_drop (struct ledger *l, struct ledger_server *s, size_t i);
