#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* One node's view of one lease. Pure: the caller does the reads and writes and
   passes the clock (CLOCK_BOOTTIME in ms). */

/* Earlier holders that a record names at most. */
#define LEASE_EARLIER_MAX 8

/**
 * struct lease_record - value of a lease object.
 * @nodes: how many the holder knew of, for its successor; 0 when unknown.
 * @earlier: hashes of the nodes that held the lease shortly before, in order;
 *   empty unless leasestate_space_turns() was called.
 */
struct lease_record
{
  struct str holder; /* bus address; empty after a release */
  uint64_t instance;
  uint64_t fence;
  uint64_t renewals; /* differs in each write of one holder */
  uint32_t ttl_ms;
  uint32_t nodes;
  uint64_t earlier[LEASE_EARLIER_MAX];
  uint32_t earlier_count;
};

/** lease_record_encode() - JSON text; free with str_free(). */
struct str lease_record_encode (const struct lease_record *r);
/** lease_record_decode() - Returns 0 with *@out (free the holder with
 * str_free()), or -EBADMSG.
 */
int lease_record_decode (struct str json, struct lease_record *out);

enum lease_step
{
  LEASE_STEP_NONE,
  LEASE_STEP_READ,
  LEASE_STEP_WRITE, /* conditional on leasestate_version() */
};

struct leasestate;

/**
 * leasestate_create() - state of a node that holds nothing.
 * @self: bus address; copied.
 * @ttl_ms: lifetime; renewals are sent every third of it.
 * @margin_ms: a holder stops this long before the end, a successor waits this
 *   long after it.
 */
struct leasestate *leasestate_create (struct str self, uint64_t instance,
                                      uint32_t ttl_ms, uint32_t margin_ms);
void leasestate_destroy (struct leasestate *s);
/** leasestate_space_turns() - two nodes may not take turns within this time;
 * see leasestate_in_turn(). */
void leasestate_space_turns (struct leasestate *s, uint32_t turn_ms);

/** leasestate_candidate() - may this node take the lease when it is free. */
void leasestate_candidate (struct leasestate *s, bool candidate);
/**
 * leasestate_hint() - the holder told that the object has this version.
 *
 * A candidate that reads the same version later counts the wait from here.
 */
void leasestate_hint (struct leasestate *s, uint64_t now, uint64_t version);
/** leasestate_release() - hold the lease no longer, from this moment on. */
void leasestate_release (struct leasestate *s);
/** leasestate_released() - no release is left to be written. */
bool leasestate_released (const struct leasestate *s);

/**
 * leasestate_next() - the step that is due.
 * @out: for LEASE_STEP_WRITE the record to write; borrows from @s.
 *
 * No step is due while one is in progress. The validity of a lease counts from
 * @now of the call that returned the write.
 */
enum lease_step leasestate_next (struct leasestate *s, uint64_t now,
                                 struct lease_record *out);
/** leasestate_read_done() - answer to a read.
 * @err: 0, -ENOENT, or another negative errno value for an outage.
 * @record: with @err 0.
 */
void leasestate_read_done (struct leasestate *s, uint64_t now, int err,
                           uint64_t version,
                           const struct lease_record *record);
/** leasestate_write_done() - answer to a write.
 * @err: 0, -EEXIST, -EINPROGRESS (the answer was lost), or another negative
 *   errno value for a write that did not take effect.
 */
void leasestate_write_done (struct leasestate *s, uint64_t now, int err,
                            uint64_t version);

/** leasestate_set_delay() - take a free lease only after this time, so that a
 * node with a shorter one goes first. */
void leasestate_set_delay (struct leasestate *s, uint32_t delay_ms);
/** leasestate_note_nodes() - number of nodes to write with each renewal. */
void leasestate_note_nodes (struct leasestate *s, uint32_t nodes);
/** leasestate_nodes() - as last read or written; 0 when unknown. */
uint32_t leasestate_nodes (const struct leasestate *s);

bool leasestate_valid (const struct leasestate *s, uint64_t now);
/**
 * leasestate_in_turn() - may the holder act.
 *
 * A node that held the lease shortly before another one did must wait after it
 * took the lease back, also when its process started anew meanwhile.
 */
bool leasestate_in_turn (const struct leasestate *s, uint64_t now);
uint64_t leasestate_fence (const struct leasestate *s);
uint64_t leasestate_version (const struct leasestate *s);
/** leasestate_holder() - holder as last read, else empty. */
struct str leasestate_holder (const struct leasestate *s);
