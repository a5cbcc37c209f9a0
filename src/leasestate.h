#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* State machine of one lease on one node. Does no I/O: the caller does the
   reads and writes and passes the time (CLOCK_BOOTTIME in ms). */

/* Maximum number of earlier holders in a record. */
#define LEASE_EARLIER_MAX 8

/**
 * struct lease_record - value of a lease object.
 * @nodes: number of nodes that the holder knew, for its successor; 0 if
 *   unknown.
 * @earlier: address hashes of the nodes that held the lease shortly before,
 *   oldest first; empty unless leasestate_set_reacquire_delay() was called.
 */
struct lease_record
{
  struct str holder; /* bus address; empty after a release */
  uint64_t instance;
  uint64_t fence;
  uint64_t renewals; /* differs between the writes of one process */
  uint32_t ttl_ms;
  uint32_t nodes;
  uint64_t earlier[LEASE_EARLIER_MAX];
  uint32_t earlier_count;
};

/** lease_record_encode() - encode as JSON; free with str_free(). */
struct str lease_record_encode (const struct lease_record *r);
/**
 * lease_record_decode() - decode the JSON value of a lease object.
 *
 * Returns 0 with *@out (free the holder with str_free()), or -EBADMSG.
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
 * leasestate_create() - create the state of a node that doesn't hold the
 * lease; free with leasestate_destroy().
 * @self: bus address; copied.
 * @ttl_ms: lifetime; the holder renews after each third of it.
 * @margin_ms: safety margin: the holder stops this long before the expiry, and
 *   a successor waits this long after it.
 */
struct leasestate *leasestate_create (struct str self, uint64_t instance,
                                      uint32_t ttl_ms, uint32_t margin_ms);
void leasestate_destroy (struct leasestate *s);
/** leasestate_set_reacquire_delay() - set how long a node that takes the lease
 * back from another node must wait before it acts; see
 * leasestate_reacquire_delay_over(). 0, the default, means no wait.
 */
void leasestate_set_reacquire_delay (struct leasestate *s, uint32_t delay_ms);

/** leasestate_set_candidate() - set whether this node takes the lease once it
 * is free.
 */
void leasestate_set_candidate (struct leasestate *s, bool candidate);
/**
 * leasestate_report_version() - record a version of the object that the holder
 * reported.
 *
 * If this node later reads the same version, its wait for the expiry counts
 * from the time when the version was first reported.
 */
void leasestate_report_version (struct leasestate *s, uint64_t now,
                                uint64_t version);
/**
 * leasestate_begin_era() - the store lost what it had acknowledged, and the
 * lease has another object from now on.
 *
 * The terms before are not in that object. Their holder may still act on its
 * lease, so that another node takes the lease only after the time for which a
 * lease is valid, and then waits for the reacquire delay. The holder itself
 * takes it at once. The result of a step in progress is ignored.
 * @min_fence: fencing tokens of the era are greater, and those of earlier eras
 *   are not.
 */
void leasestate_begin_era (struct leasestate *s, uint64_t now,
                           uint64_t min_fence);
/** leasestate_report_fence() - another node uses this fencing token; this node
 * takes a later term only with a higher one. */
void leasestate_report_fence (struct leasestate *s, uint64_t fence);
/** leasestate_release() - stop holding the lease at once; a write that
 * releases the object follows as the next step.
 */
void leasestate_release (struct leasestate *s);
/** leasestate_released() - check that no release remains to be written. */
bool leasestate_released (const struct leasestate *s);

/**
 * leasestate_next() - start the step that is due.
 * @out: record to write, with LEASE_STEP_WRITE; borrows from @s.
 *
 * Returns LEASE_STEP_NONE while a step is in progress. The lifetime of the
 * lease counts from @now of the call that returned the write.
 */
enum lease_step leasestate_next (struct leasestate *s, uint64_t now,
                                 struct lease_record *out);
/**
 * leasestate_read_done() - apply the result of a read.
 * @err: 0, -ENOENT, or another negative errno value if the read failed.
 * @record: used only if @err is 0.
 */
void leasestate_read_done (struct leasestate *s, uint64_t now, int err,
                           uint64_t version,
                           const struct lease_record *record);
/**
 * leasestate_write_done() - apply the result of a write.
 * @err: 0, -EEXIST (the object has another version), -ENOENT (there is none to
 *   replace), -EINPROGRESS (the answer was lost), or another negative errno
 *   value if the write did not take effect.
 */
void leasestate_write_done (struct leasestate *s, uint64_t now, int err,
                            uint64_t version);

/** leasestate_set_takeover_delay() - set how long to wait before taking a free
 * lease, so that a node with a shorter delay takes it first.
 */
void leasestate_set_takeover_delay (struct leasestate *s, uint32_t delay_ms);
/** leasestate_set_node_count() - set the number of nodes to write with each
 * renewal.
 */
void leasestate_set_node_count (struct leasestate *s, uint32_t nodes);
/** leasestate_node_count() - number of nodes as last read or written; 0 if
 * unknown.
 */
uint32_t leasestate_node_count (const struct leasestate *s);

bool leasestate_valid (const struct leasestate *s, uint64_t now);
/**
 * leasestate_reacquire_delay_over() - check that the holder need not wait
 * before it acts.
 *
 * Returns false for the time set by leasestate_set_reacquire_delay() after a
 * node took the lease back from another one, also if its process was restarted
 * meanwhile.
 */
bool leasestate_reacquire_delay_over (const struct leasestate *s,
                                      uint64_t now);
/** leasestate_fence() - fencing token; 0 if the object, as last read or
 * written, doesn't name this process as the holder.
 */
uint64_t leasestate_fence (const struct leasestate *s);
uint64_t leasestate_version (const struct leasestate *s);
/** leasestate_holder() - holder as last read or written; empty if none. */
struct str leasestate_holder (const struct leasestate *s);
