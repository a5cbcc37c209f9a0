#pragma once

/* Private to sched*.c. */

#include <uthash.h>
#include <utlist.h>

#include "retry.h"
#include "sched.h"

#define EXCLUDED_MAX 8
#define NO_REPLICA SIZE_MAX

/** struct estimate - running mean and mean deviation of a duration in ms. */
struct estimate
{
  double mean;
  double deviation;
  uint32_t samples;
};

/**
 * struct capacity - replicas that have a variant and are not leaving.
 * @free_slots: slots of those replicas that accept requests now.
 * @unlimited: at least one replica has no limit of slots.
 */
struct capacity
{
  size_t replicas;
  uint64_t slots;
  uint64_t free_slots;
  bool unlimited;
};

/**
 * struct variant - an adapter, or the base model under the empty name.
 * @replicas_requested: number of replicas in the last wake that was sent.
 * @wake_start_ms: when the first of the wakes in flight was sent.
 * @next_wake_ms: earliest time of the next wake while none is in flight.
 * @next_scale_up_ms: earliest time of a wake for more replicas while one is in
 *   flight.
 * @load_after_refusal: a request was refused for lack of a replica; a wake is
 *   sent even if the queue is empty.
 * @model_unknown: the last wake ended with WAKE_UNKNOWN_MODEL.
 * @load_end_ms: absolute end of a load as announced by placement; 0 is
 *   unknown.
 * @requests: submitted since the last sched_take_demand().
 * @queued_ahead, @capacity, @capacity_known: valid during review_queue() only.
 */
struct variant
{
  struct str name;
  uint32_t wakes_in_flight;
  size_t replicas_requested;
  uint64_t wake_start_ms;
  uint64_t next_wake_ms;
  uint64_t next_scale_up_ms;
  uint32_t backoff_ms;
  bool load_after_refusal;
  bool last_wake_failed;
  bool model_unknown;
  struct estimate load_time;
  uint64_t load_end_ms;
  uint32_t in_flight;
  uint32_t queued;
  uint32_t requests;
  uint64_t last_used_ms;
  size_t queued_ahead;
  struct capacity capacity;
  bool capacity_known;
  UT_hash_handle hh;
};

/**
 * struct waiter - a request in the queue.
 * @excluded: hashes of the targets that the request should avoid.
 * @reserved_replica: replica kept empty for this suspect, or NO_REPLICA.
 */
struct waiter
{
  void *ctx;
  struct str entry;
  struct variant *variant;
  int priority;
  uint64_t deadline_ms;
  uint64_t submitted_ms;
  uint64_t fingerprint;
  uint64_t prefix_hash;
  uint64_t excluded[EXCLUDED_MAX];
  size_t excluded_count;
  size_t reserved_replica;
  struct waiter *prev;
  struct waiter *next;
};

/**
 * struct sched_replica - a replica, or a target of a plain service.
 * @used: false while this element of sched.replicas is free.
 * @reserved: kept empty for a waiting suspect.
 * @lock_requested: true from SCHED_LOCK until the lock is denied or
 * SCHED_UNLOCK is returned.
 * @paused: rejected a request while it had no others in flight; gets none
 *   until @paused_until_ms.
 * @pause_ms: length of the last pause; 0 after a completed request.
 * @in_flight_limit: current limit after a rejected request; 0 is no limit.
 * @completed_at_limit: requests completed since the limit was changed.
 */
struct sched_replica
{
  bool used;
  bool leaving;
  bool runs_suspect;
  bool reserved;
  bool lock_requested;
  bool lock_held;
  bool paused;
  uint32_t pause_ms;
  uint64_t paused_until_ms;
  uint32_t in_flight_limit;
  uint32_t completed_at_limit;
  struct str target;
  struct str domain;
  uint64_t target_hash;
  uint64_t fence;
  uint64_t instance;
  uint32_t slots;
  uint32_t in_flight;
  const struct variant **adapters;
  size_t adapter_count;
};

/**
 * struct ignored_target - a target instance that died or lost its model.
 *
 * Reports that arrive before @until_ms may be older than that and are ignored.
 */
struct ignored_target
{
  uint64_t target_hash;
  uint64_t instance;
  uint64_t until_ms;
};

#define IGNORED_TARGETS_MAX 64

/**
 * struct grant - a granted request until its release.
 * @replica: index in sched.replicas, or NO_REPLICA once that one is removed.
 * @hold_until_ms: when the grant ends without a release.
 * @suspect_run: a suspect that has the replica to itself.
 * @death_counted: the death of the target is recorded as a crash.
 */
struct grant
{
  uint64_t id;
  struct str target;
  uint64_t target_hash;
  uint64_t instance;
  struct str entry;
  struct variant *variant;
  size_t replica;
  uint64_t fingerprint;
  uint64_t hold_until_ms;
  bool suspect_run;
  bool death_counted;
  UT_hash_handle hh;
};

/** struct action_node - an element of the list of pending actions.
 * @text: owned copy of the target or adapter name in @action.
 */
struct action_node
{
  struct sched_action action;
  struct str text;
  struct action_node *next;
};

/**
 * struct sched - scheduler of one model or plain service.
 * @base: variant with the empty name.
 * @queue: waiting requests in the order of the policy.
 * @last_completed_ms: when the last request completed.
 * @returned_action: last action that sched_next() returned; kept because it
 *   owns the strings.
 */
struct sched
{
  const struct sched_policy *policy;
  struct sched_config config;
  struct crash *crash;
  struct retry_budget retry;
  struct variant *variants;
  struct variant *base;
  struct waiter *queue;
  size_t waiting;
  struct sched_replica *replicas;
  size_t replica_cap;
  struct ignored_target ignored[IGNORED_TARGETS_MAX];
  size_t next_ignored;
  struct grant *grants;
  uint64_t last_grant_id;
  uint64_t next_expiry_check_ms;
  struct estimate first_byte_time;
  struct estimate total_time;
  uint64_t last_completed_ms;
  bool draining;
  struct action_node *actions;
  struct action_node *returned_action;
};

/** struct queue_position - position of a request in the queue.
 * @ahead: number of requests before it.
 * @ahead_same_variant: number of those for the same variant.
 * @all_replicas: capacity of all replicas.
 * @variant_replicas: capacity of the replicas that have the variant.
 */
struct queue_position
{
  size_t ahead;
  size_t ahead_same_variant;
  struct capacity all_replicas;
  struct capacity variant_replicas;
};

/**
 * struct sched_policy - decisions that differ between schedulers.
 * @precedes: returns true if request @a is queued ahead of the waiting @b.
 * @misses_deadline: returns true if the request cannot meet its deadline from
 *   its position in the queue.
 * @choose_replica: returns the index of a replica for the request, or
 *   NO_REPLICA; a non-zero @only restricts the choice to the target with that
 *   hash.
 * @desired_replicas: returns the number of replicas that the current queue
 *   calls for.
 */
struct sched_policy
{
  const char *name;
  bool (*precedes) (const struct waiter *a, const struct waiter *b);
  bool (*misses_deadline) (const struct sched *s, const struct waiter *w,
                           const struct queue_position *position,
                           uint64_t now_ms);
  size_t (*choose_replica) (const struct sched *s, const struct waiter *w,
                            uint64_t only);
  size_t (*desired_replicas) (const struct sched *s,
                              const struct variant *variant,
                              const struct capacity *have);
};

/* sched_policy.c */
void estimate_add (struct estimate *e, double ms);
struct capacity capacity_of (const struct sched *s,
                             const struct variant *variant);
/** load_remaining_ms() - expected time until a variant is loaded; 0 is
 * unknown. */
double load_remaining_ms (const struct sched *s, const struct variant *variant,
                          uint64_t now_ms);

/* sched_target.c */
/** replica_available() - returns true if the replica may get new requests,
 * whether or not it has a free slot. */
bool replica_available (const struct sched_replica *r);
/** replica_has_free_slot() - returns true if the replica has a free slot under
 * its present limit. */
bool replica_has_free_slot (const struct sched_replica *r);
bool replica_has_variant (const struct sched *s, const struct sched_replica *r,
                          const struct variant *variant);
/**
 * replica_eligible() - returns true if the replica is available, has the
 * variant and is not excluded by the request.
 * @ignore_exclusions: result of exclusions_ignored().
 */
bool replica_eligible (const struct sched *s, const struct waiter *w,
                       const struct sched_replica *r, bool ignore_exclusions);
/** exclusions_ignored() - returns true if the exclusions of a request do not
 * apply: it has none, or no other replica has its variant. */
bool exclusions_ignored (const struct sched *s, const struct waiter *w);
size_t replica_find (const struct sched *s, uint64_t hash);
void replica_remove (struct sched *s, size_t index);
/** replica_ignore_reports() - ignore reports about this instance of the target
 * until a time. */
void replica_ignore_reports (struct sched *s, const struct sched_replica *r,
                             uint64_t until_ms);
void replica_drop_adapter (struct sched_replica *r,
                           const struct variant *variant);
/**
 * replica_throttle() - lower the limit of a replica that did not run a
 * request, because other requests occupy the server or it is unreachable.
 *
 * The limit becomes the number of its other requests in flight, at least 1. It
 * rises by one each time that as many requests have completed. A replica with
 * no others in flight is paused, twice as long each time.
 */
void replica_throttle (struct sched_replica *r, uint64_t now_ms);
/** replica_completed() - end the pause of a replica and raise its limit if a
 * whole round of requests has completed. */
void replica_completed (struct sched_replica *r);
/** replicas_end_pauses() - end the pauses whose time is over. */
void replicas_end_pauses (struct sched *s, uint64_t now_ms);
/** reserve_replica() - keep a replica empty for a suspect, if that is allowed.
 *
 * Returns its index, also if it is reserved already, or NO_REPLICA. */
size_t reserve_replica (struct sched *s, struct waiter *w);
/** release_reservation() - end a reservation, or the run of a suspect, and
 * return its lock. */
void release_reservation (struct sched *s, struct sched_replica *r);
/** suspect_may_start() - returns true if the reserved replica is empty and, if
 * the configuration asks for locks, locked. */
bool suspect_may_start (const struct sched *s, const struct sched_replica *r);
/** record_target_death() - record a crash for each grant on a target instance
 * and remove its replica. */
void record_target_death (struct sched *s, uint64_t target, uint64_t instance,
                          uint64_t event, uint64_t now_ms);

/* sched_queue.c */
/** struct refusal - reason of a refused request; @detail is static text. */
struct refusal
{
  grant_code code;
  uint32_t retry_after_ms;
  const char *detail;
};

/** refuse_request() - add the action that refuses a request; the queue is left
 * as it is. */
struct sched_action *refuse_request (struct sched *s, void *ctx,
                                     struct refusal refusal);
/** refuse_waiter() - refuse a waiting request and remove it from the queue. */
void refuse_waiter (struct sched *s, struct waiter *w, struct refusal refusal,
                    uint64_t now_ms);
struct refusal quarantine_refusal (uint32_t left_ms);
void waiter_remove (struct sched *s, struct waiter *w);
/** enqueue() - insert a request at its place in the order of the policy, after
 * those of equal rank. */
void enqueue (struct sched *s, struct waiter *w);
/** review_queue() - refuse the requests that can no longer meet their deadline
 * or are quarantined. */
void review_queue (struct sched *s, uint64_t now_ms);

/* sched_wake.c */
/** wake_variants() - send a wake for each variant that needs more replicas. */
void wake_variants (struct sched *s, uint64_t now_ms);

/* sched.c */
/** action_add() - append an action for sched_next().
 * @text: copied; the adapter of a SCHED_WAKE, else the target.
 */
struct sched_action *action_add (struct sched *s, enum sched_action_kind kind,
                                 struct str text);
/** variant_get() - find a variant or add it. */
struct variant *variant_get (struct sched *s, struct str name);
/** dispatch_and_wake() - grant the waiting requests that can run now, then
 * send wakes for the missing replicas. */
void dispatch_and_wake (struct sched *s, uint64_t now_ms);
