#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Tracks requests that may crash their targets (design 8.7). Does no I/O and
   reads no clock. A request is identified by its fingerprint; 0 stands for an
   unknown fingerprint, which is not recorded and never restricted. A target is
   identified by a hash. */

struct crash;

/* Duration of the quarantine after the second crash of a fingerprint. */
#define CRASH_QUARANTINE_MS (10 * 60 * 1000)

enum crash_rule
{
  CRASH_ANYWHERE,    /* may run on any target */
  CRASH_SAME_TARGET, /* unproven and in flight: only on the same target */
  CRASH_WAIT,        /* a suspect in flight: wait until that run ends */
  CRASH_ISOLATED,    /* a suspect: needs a replica without other requests */
  CRASH_QUARANTINED, /* quarantined */
};

/**
 * struct crash_verdict - where a fingerprint may run.
 * @target: hash of the target; set with CRASH_SAME_TARGET only.
 * @quarantine_left_ms: remaining time of the quarantine; set with
 * CRASH_QUARANTINED only.
 */
struct crash_verdict
{
  enum crash_rule rule;
  uint64_t target;
  uint32_t quarantine_left_ms;
};

/**
 * crash_create() - create an empty record.
 * @max: number of fingerprints to remember; exceeded only while more than that
 *   are in flight or protected from eviction.
 */
struct crash *crash_create (size_t max);
void crash_destroy (struct crash *crash);

struct crash_verdict crash_check (struct crash *crash, uint64_t fingerprint,
                                  uint64_t now_ms);
/** crash_begin() - record that a request is sent to a target. */
void crash_begin (struct crash *crash, uint64_t fingerprint, uint64_t target,
                  uint64_t now_ms);
/**
 * crash_end() - record the end of a run recorded with crash_begin().
 * @completed: the target sent a complete response, which clears a suspect.
 *
 * Returns true if this cleared a suspect.
 */
bool crash_end (struct crash *crash, uint64_t fingerprint, bool completed,
                uint64_t now_ms);
/** crash_next_death_id() - allocate an unused id of a death, for
 * crash_record_death(). */
uint64_t crash_next_death_id (struct crash *crash);
/**
 * crash_record_death() - record that a target died while running the
 * fingerprint.
 * @death_id: id of the death, above 0. The last one recorded for the
 *   fingerprint is not counted twice.
 *
 * Returns 1 if the fingerprint is now a suspect, 2 if it is quarantined, or 0
 * if the death was already counted or the fingerprint is 0.
 */
uint32_t crash_record_death (struct crash *crash, uint64_t fingerprint,
                             uint64_t death_id, uint64_t now_ms);
/**
 * crash_merge() - apply a report from another node or an entry.
 * @crashes: 0 clears a suspect, 1 marks the fingerprint as a suspect, 2 or
 *   more quarantines it.
 * @quarantine_left_ms: remaining time of the quarantine if @crashes is 2 or
 * more.
 *
 * Applying the same report twice has no further effect.
 */
void crash_merge (struct crash *crash, uint64_t fingerprint, uint32_t crashes,
                  uint32_t left_ms, uint64_t now_ms);
/** crash_running() - number of requests in flight with a fingerprint. */
uint32_t crash_running (const struct crash *crash, uint64_t fingerprint);
/** crash_marked_count() - number of suspect and quarantined fingerprints. */
size_t crash_marked_count (const struct crash *crash);
/** crash_count() - number of remembered fingerprints. */
size_t crash_count (const struct crash *crash);
