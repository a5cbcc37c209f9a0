#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Record of requests that may crash targets (design 8.7). Pure: it does no I/O
   and reads no clock. A fingerprint of 0 means that none is known; it is not
   recorded and may always run. Targets are named by a hash. */

struct crash;

/* How long a fingerprint is refused after its second crash. */
#define CRASH_QUARANTINE_MS (10 * 60 * 1000)

enum crash_rule
{
  CRASH_ANYWHERE, /* completed before: runs on any target */
  CRASH_HERE,     /* runs already; may join on the same target only */
  CRASH_WAIT,     /* a suspect that runs already: wait for its end */
  CRASH_ALONE,    /* a suspect: needs a replica without other requests */
  CRASH_REFUSED,  /* in quarantine */
};

/** struct crash_verdict - what is allowed for a fingerprint now.
 * @target: with CRASH_HERE the hash of the target.
 * @left_ms: with CRASH_REFUSED the remaining time of the quarantine.
 */
struct crash_verdict
{
  enum crash_rule rule;
  uint64_t target;
  uint32_t left_ms;
};

/** crash_create() - empty record that remembers at most @max fingerprints. */
struct crash *crash_create (size_t max);
void crash_destroy (struct crash *crash);

struct crash_verdict crash_check (struct crash *crash, uint64_t fingerprint,
                                  uint64_t now_ms);
/** crash_begin() - a request with the fingerprint was sent to a target. */
void crash_begin (struct crash *crash, uint64_t fingerprint, uint64_t target,
                  uint64_t now_ms);
/**
 * crash_end() - a run begun with crash_begin() is over.
 * @completed: the target gave a whole answer, which clears the fingerprint.
 *
 * Returns true when a suspect was cleared.
 */
bool crash_end (struct crash *crash, uint64_t fingerprint, bool completed,
                uint64_t now_ms);
/** crash_event() - a number for crash_died() that was not given before. */
uint64_t crash_event (struct crash *crash);
/**
 * crash_died() - a target died while it ran the fingerprint.
 * @event: number of the death, above 0; a repeat of the last one for the
 *   fingerprint is not counted again.
 *
 * Returns the number of crashes now on record (2 or more: quarantined), or 0
 * when the death was counted before.
 */
uint32_t crash_died (struct crash *crash, uint64_t fingerprint, uint64_t event,
                     uint64_t now_ms);
/**
 * crash_merge() - take over what another node or an entry knows.
 * @crashes: 0 clears a suspect, 1 makes one, 2 or more quarantines.
 * @left_ms: remaining quarantine with @crashes of 2 or more.
 *
 * Applying the same news twice changes nothing.
 */
void crash_merge (struct crash *crash, uint64_t fingerprint, uint32_t crashes,
                  uint32_t left_ms, uint64_t now_ms);
/** crash_running() - number of runs in flight of a fingerprint. */
uint32_t crash_running (const struct crash *crash, uint64_t fingerprint);
/** crash_marked() - number of suspects and quarantined fingerprints. */
size_t crash_marked (const struct crash *crash);
size_t crash_count (const struct crash *crash);
