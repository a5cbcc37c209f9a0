#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "crash.h"
#include "peer.h"
#include "str.h"

/* Scheduling of one model or plain service (design 8.4). Pure: callers pass in
   events and the time, and fetch the resulting actions with sched_next(). It
   does no I/O and reads no clock. */

struct sched;
struct sched_policy;

/** sched_real - by priority, then earliest deadline first; with early refusal
 * and prefix affinity. */
extern const struct sched_policy sched_real;
/** sched_naive - baseline for comparison: first in first out, refuses a
 * request only when its deadline has passed. */
extern const struct sched_policy sched_naive;

/**
 * struct sched_config - limits and initial estimates of one scheduler.
 * @queue_max: maximum number of waiting requests.
 * @grant_use_ms: time within which a granted attempt must start.
 * @grant_hold_ms: time after which a grant without a release frees its slot.
 * @load_ms: load time to assume until one is measured; 0 is unknown.
 * @service_ms: time to the first byte to assume until one is measured.
 * @slots: slots of a replica to assume while there is no replica.
 * @replicas_max: maximum number of replicas to request by a wake; 0 means no
 *   limit.
 * @plain: a plain service, whose targets need no wake.
 * @lock: request a lock with SCHED_LOCK before a suspect runs. Otherwise a
 *   suspect is isolated from the requests of this scheduler only.
 */
struct sched_config
{
  uint32_t queue_max;
  uint32_t grant_use_ms;
  uint32_t grant_hold_ms;
  uint32_t load_ms;
  uint32_t service_ms;
  uint32_t slots;
  uint32_t replicas_max;
  bool plain;
  bool lock;
};

/**
 * struct sched_request - a request for a grant; strings are copied.
 * @ctx: returned in the SCHED_GRANT or SCHED_REFUSE action that ends the
 *   request.
 * @entry: address of the requesting node, for sched_entry_lost(); may be
 *   empty.
 * @adapter: empty for the base model or a plain service.
 * @priority: higher is more urgent.
 * @deadline_ms: absolute time by which the first byte must arrive.
 * @attempt: 1 for a first attempt, higher for retries.
 * @crash_seen: a target died during an earlier attempt of the request.
 * @excluded: targets to avoid, if there are others.
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

/** struct sched_target - a replica, or a target of a plain service.
 * @instance: identifies one start of the target; 0 is unknown.
 * @slots: maximum number of concurrent requests; 0 means no limit.
 * @leaving: gets no new requests.
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

/** struct sched_result - outcome and durations of an attempt. */
struct sched_result
{
  attempt_outcome outcome;
  uint32_t first_byte_ms;
  uint32_t total_ms;
};

enum sched_action_kind
{
  SCHED_GRANT,       /* @ctx, @grant, @target, @fence, @expires_ms */
  SCHED_REFUSE,      /* @ctx, @code, @retry_after_ms, @detail */
  SCHED_WAKE,        /* @adapter, @priority, @wait_ms, @replicas */
  SCHED_SUSPECT,     /* @fingerprint ran on @target when that died */
  SCHED_QUARANTINE,  /* @fingerprint was on @target at its second crash */
  SCHED_CLEARED,     /* @fingerprint, a suspect, completed */
  SCHED_LOCK,        /* lock @target: no other suspect may run there */
  SCHED_UNLOCK,      /* return the lock of @target, or cancel its request */
  SCHED_TARGET_LOST, /* @target with instance @fence died; @grant: crash event
                      */
};

/**
 * struct sched_action - an action that the caller must carry out.
 * @wait_ms: time that the request waited; with SCHED_WAKE the time until the
 *   latest deadline of the requests that wait for the load, or a long time if
 *   none does.
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

/** struct sched_demand - demand for usage reports. */
struct sched_demand
{
  uint32_t in_flight;
  uint32_t queued;
  uint32_t requests;     /* since the last call for the same adapter */
  uint64_t last_used_ms; /* time of the last submit or release */
};

/**
 * sched_create() - create a scheduler without targets.
 * @config: copied.
 * @crash: record of fingerprints; borrowed, may be shared by schedulers.
 */
struct sched *sched_create (const struct sched_policy *policy,
                            const struct sched_config *config,
                            struct crash *crash, uint64_t now_ms);
/** sched_destroy() - free a scheduler; waiting requests end without an action.
 */
void sched_destroy (struct sched *sched);
void sched_configure (struct sched *sched, const struct sched_config *config);

void sched_submit (struct sched *sched, const struct sched_request *request,
                   uint64_t now_ms);
/** sched_cancel() - drop a waiting request without an action. */
void sched_cancel (struct sched *sched, const void *ctx);
/** sched_release() - end a grant with the result of its attempt.
 *
 * Returns false if there is no such grant (any more). */
bool sched_release (struct sched *sched, uint64_t grant,
                    const struct sched_result *result, uint64_t now_ms);
/** sched_targets() - replace the set of targets. */
void sched_targets (struct sched *sched, const struct sched_target *targets,
                    size_t count, uint64_t now_ms);
/** sched_adapter_targets() - set the targets that have an adapter loaded; new
 * targets are added. */
void sched_adapter_targets (struct sched *sched, struct str adapter,
                            const struct sched_target *targets, size_t count,
                            uint64_t now_ms);
/** sched_targets_loaded() - add targets that have loaded the model and, unless
 * @adapter is empty, the adapter; others are kept. */
void sched_targets_loaded (struct sched *sched, struct str adapter,
                           const struct sched_target *targets, size_t count,
                           uint64_t now_ms);
/**
 * sched_wake_done() - handle the result of a wake.
 * @code: with WAKE_LOADED, call sched_targets_loaded() before.
 * @eta_ms: expected remaining load time from the answer; 0 is unknown.
 */
void sched_wake_done (struct sched *sched, struct str adapter, wake_code code,
                      uint32_t eta_ms, uint64_t now_ms);
/** sched_lock_result() - handle the result of a SCHED_LOCK.
 * @held: if false, the suspect loses its reservation and may try again. */
void sched_lock_result (struct sched *sched, struct str target, bool held,
                        uint64_t now_ms);
/** sched_target_leaving() - send no new requests to a target. */
void sched_target_leaving (struct sched *sched, struct str target,
                           uint64_t now_ms);
/** sched_target_lost() - handle the death of a target that another scheduler
 * reported by SCHED_TARGET_LOST; @event is its crash event. */
void sched_target_lost (struct sched *sched, struct str target,
                        uint64_t instance, uint64_t event, uint64_t now_ms);
/** sched_entry_lost() - end the grants of a node that died and refuse its
 * waiting requests. */
void sched_entry_lost (struct sched *sched, struct str entry, uint64_t now_ms);
/** sched_tick() - run the timeouts; call it at least every 20 ms while
 * sched_waiting() is not 0, and every second otherwise. */
void sched_tick (struct sched *sched, uint64_t now_ms);
/** sched_drain() - refuse all waiting and later requests with GRANT_DRAINING.
 */
void sched_drain (struct sched *sched, uint64_t now_ms);
/** sched_resume() - accept requests again after sched_drain(). */
void sched_resume (struct sched *sched);
/** sched_next() - take the oldest action; its strings are valid until the next
 * call of any function of this scheduler.
 *
 * Returns false if there is none. */
bool sched_next (struct sched *sched, struct sched_action *out);

size_t sched_waiting (const struct sched *sched);
size_t sched_in_flight (const struct sched *sched);
/** sched_idle_ms() - time since the last submit or release. */
uint64_t sched_idle_ms (const struct sched *sched, uint64_t now_ms);
size_t sched_target_count (const struct sched *sched);
/** sched_target_in_flight() - number of unreleased grants on a target. */
uint32_t sched_target_in_flight (const struct sched *sched, struct str target);
/** sched_take_demand() - return the demand for an adapter, or for the whole
 * model if
 * @adapter is empty, and reset its request count. */
struct sched_demand sched_take_demand (struct sched *sched,
                                       struct str adapter);
/** sched_adapters() - list adapters in use or used within @recent_ms.
 * @out: names, borrowed from the scheduler.
 *
 * Returns their number, at most @max. */
size_t sched_adapters (const struct sched *sched, uint64_t recent_ms,
                       uint64_t now_ms, struct str *out, size_t max);
