#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "crash.h"
#include "peer.h"
#include "str.h"

/* Scheduling of one model or plain service (design 8.4). Pure: events and the
   time go in, actions come out of sched_next(); no I/O, no clock. */

struct sched;
struct sched_policy;

/** sched_real - earliest deadline first, early refusal, affinity. */
extern const struct sched_policy sched_real;
/** sched_naive - first in first out, refusal only when a deadline passed;
 * for comparison. */
extern const struct sched_policy sched_naive;

/**
 * struct sched_config - bounds and assumptions of one scheduler.
 * @queue_max: requests that may wait.
 * @use_ms: a grant must be used within this time.
 * @hold_ms: a grant's slot is free again after this time without a release.
 * @load_ms: assumed load time until one was measured; 0 is unknown.
 * @slots: assumed slots of a replica until one is known.
 * @service_ms: assumed time to the first byte until some were measured.
 * @replicas_max: upper bound for wakes; 0 means none.
 * @plain: a plain service; its targets need no wake.
 * @lock: ask by SCHED_LOCK before a suspect runs. Without it, a suspect is
 *   alone among this scheduler's requests only.
 */
struct sched_config
{
  uint32_t queue_max;
  uint32_t use_ms;
  uint32_t hold_ms;
  uint32_t load_ms;
  uint32_t service_ms;
  uint32_t slots;
  uint32_t replicas_max;
  bool plain;
  bool lock;
};

/**
 * struct sched_request - one request for a grant; strings are copied.
 * @ctx: returned with the one SCHED_GRANT or SCHED_REFUSE action.
 * @entry: node that asks, for sched_entry_lost(); may be empty.
 * @deadline_ms: absolute time by which the first byte must be there.
 * @attempt: 1 for a first attempt.
 * @crash_seen: the entry saw a target die under an earlier attempt.
 */
struct sched_request
{
  void *ctx;
  struct str entry;
  struct str adapter;
  int priority;
  uint64_t deadline_ms;
  uint64_t fingerprint;
  uint64_t prefix_hash;
  uint32_t attempt;
  bool crash_seen;
  const struct str *excluded;
  size_t excluded_count;
};

/** struct sched_target - a replica or plain target that can take requests.
 * @instance: number of the target's start; 0 is unknown.
 * @slots: requests at once; 0 means unlimited.
 */
struct sched_target
{
  struct str target;
  struct str domain;
  uint64_t fence;
  uint64_t instance;
  uint32_t slots;
  bool leaving;
};

/** struct sched_result - how an attempt ended. */
struct sched_result
{
  attempt_outcome outcome;
  uint32_t first_byte_ms;
  uint32_t total_ms;
};

enum sched_action_kind
{
  SCHED_GRANT,      /* @ctx, @grant, @target, @fence, @expires_ms */
  SCHED_REFUSE,     /* @ctx, @code, @retry_after_ms, @detail */
  SCHED_WAKE,       /* @adapter, @priority, @wait_ms, @replicas */
  SCHED_SUSPECT,    /* @fingerprint, @target: it was running when one died */
  SCHED_QUARANTINE, /* @fingerprint: its second crash */
  SCHED_CLEARED,    /* @fingerprint: a suspect completed */
  SCHED_LOCK,       /* @target: no other suspect may run there meanwhile */
  SCHED_UNLOCK,     /* @target: ends SCHED_LOCK, answered or not */
  SCHED_LOST, /* @target with instance @fence died; @grant: crash event */
};

/**
 * struct sched_action - something that the caller must do.
 * @wait_ms: time the request waited; with SCHED_WAKE the time until the
 *   latest deadline that waits for the load, or a long time when none does.
 */
struct sched_action
{
  enum sched_action_kind kind;
  void *ctx;
  uint64_t grant;
  struct str target;
  uint64_t fence;
  uint32_t expires_ms;
  grant_code code;
  uint32_t retry_after_ms;
  const char *detail;
  struct str adapter;
  int priority;
  uint32_t wait_ms;
  uint32_t replicas;
  uint64_t fingerprint;
};

/** struct sched_load - demand for usage reports. */
struct sched_load
{
  uint32_t in_flight;
  uint32_t queued;
  uint32_t requests; /* since the last call for the same adapter */
  uint64_t used_ms;  /* time of the last submit or release */
};

/**
 * sched_create() - scheduler without targets.
 * @crash: record of fingerprints; borrowed, may be shared by schedulers.
 */
struct sched *sched_create (const struct sched_policy *policy,
                            const struct sched_config *config,
                            struct crash *crash, uint64_t now_ms);
/** sched_destroy() - no action is returned for requests still waiting. */
void sched_destroy (struct sched *sched);
void sched_configure (struct sched *sched, const struct sched_config *config);

void sched_submit (struct sched *sched, const struct sched_request *request,
                   uint64_t now_ms);
/** sched_cancel() - a waiting request goes without an action. */
void sched_cancel (struct sched *sched, const void *ctx);
/** sched_release() - returns false when the grant is not (or no more) known.
 */
bool sched_release (struct sched *sched, uint64_t grant,
                    const struct sched_result *result, uint64_t now_ms);
/** sched_targets() - all present targets; others are dropped. */
void sched_targets (struct sched *sched, const struct sched_target *targets,
                    size_t count, uint64_t now_ms);
/** sched_adapter() - all targets that have an adapter loaded; targets that
 * are not known yet are added. */
void sched_adapter (struct sched *sched, struct str adapter,
                    const struct sched_target *targets, size_t count,
                    uint64_t now_ms);
/** sched_loaded() - targets that now have the model and, unless its name is
 * empty, an adapter; others are kept. */
void sched_loaded (struct sched *sched, struct str adapter,
                   const struct sched_target *targets, size_t count,
                   uint64_t now_ms);
/**
 * sched_woken() - end of a wake.
 * @code: with WAKE_LOADED, sched_loaded() was told before.
 * @eta_ms: expected remaining load time, when the answer names one.
 */
void sched_woken (struct sched *sched, struct str adapter, wake_code code,
                  uint32_t eta_ms, uint64_t now_ms);
/** sched_locked() - answer to SCHED_LOCK; not @held: try again later. */
void sched_locked (struct sched *sched, struct str target, bool held,
                   uint64_t now_ms);
/** sched_leaving() - a target gets no new work. */
void sched_leaving (struct sched *sched, struct str target, uint64_t now_ms);
/** sched_lost() - a target died, as seen by another scheduler. */
void sched_lost (struct sched *sched, struct str target, uint64_t instance,
                 uint64_t event, uint64_t now_ms);
/** sched_entry_lost() - a node died; its grants end and its requests go. */
void sched_entry_lost (struct sched *sched, struct str entry, uint64_t now_ms);
/** sched_tick() - call at least every 20 ms while sched_waiting(), and every
 * second otherwise. */
void sched_tick (struct sched *sched, uint64_t now_ms);
/** sched_drain() - refuse all waiting and later requests: GRANT_DRAINING. */
void sched_drain (struct sched *sched, uint64_t now_ms);
/** sched_resume() - undo sched_drain(). */
void sched_resume (struct sched *sched);
/** sched_next() - take the oldest action; its strings are valid until the next
 * call of any other function of this scheduler. */
bool sched_next (struct sched *sched, struct sched_action *out);

size_t sched_waiting (const struct sched *sched);
size_t sched_in_flight (const struct sched *sched);
/** sched_idle_ms() - time since the last submit or release. */
uint64_t sched_idle_ms (const struct sched *sched, uint64_t now_ms);
size_t sched_target_count (const struct sched *sched);
/** sched_target_in_flight() - grants out on a target. */
uint32_t sched_target_in_flight (const struct sched *sched, struct str target);
/** sched_load() - demand for the model as a whole (adapter empty) or for an
 * adapter; resets the request count. */
struct sched_load sched_load (struct sched *sched, struct str adapter);
/** sched_adapters() - adapters in use or used within @recent_ms; returns their
 * number. */
size_t sched_adapters (const struct sched *sched, uint64_t recent_ms,
                       uint64_t now_ms, struct str *out, size_t max);
