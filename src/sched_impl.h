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

/** struct capacity - slots of the open replicas that have a need. */
struct capacity
{
  size_t replicas;
  uint64_t slots;
  uint64_t free;
  bool unlimited;
};

/** struct need - an adapter, or the model itself under the empty name. */
struct need
{
  struct str name;
  uint32_t waking;        /* wakes in flight */
  size_t wanted;          /* replicas that they asked for */
  uint64_t wake_start_ms; /* of the first of them */
  uint64_t wake_after_ms; /* next wake not before this time */
  uint64_t more_after_ms; /* next one for more, while one is in flight */
  uint32_t backoff_ms;
  bool missed;  /* a request was refused for lack of a replica */
  bool failed;  /* the last wake failed */
  bool unknown; /* the last wake was for an unknown model */
  struct estimate load;
  uint64_t eta_ms; /* absolute end of a load as announced; 0 is unknown */
  uint32_t in_flight;
  uint32_t queued;
  uint32_t requests;
  uint64_t used_ms;
  size_t ahead;             /* during a review */
  struct capacity capacity; /* during a review */
  bool capacity_known;
  UT_hash_handle hh;
};

struct waiter
{
  void *ctx;
  struct str entry;
  struct need *need;
  int priority;
  uint64_t deadline_ms;
  uint64_t submitted_ms;
  uint64_t fingerprint;
  uint64_t prefix_hash;
  uint64_t excluded[EXCLUDED_MAX];
  size_t excluded_count;
  size_t reserved; /* replica kept empty for this suspect */
  struct waiter *prev;
  struct waiter *next;
};

struct replica_slot
{
  bool used;
  bool leaving;
  bool alone;    /* runs a suspect */
  bool reserved; /* kept empty for a waiting suspect */
  bool locking;  /* SCHED_LOCK was sent, and no SCHED_UNLOCK */
  bool locked;
  bool paused; /* empty, and did not take a request a moment ago */
  uint32_t pause_ms;
  uint64_t paused_until_ms;
  uint32_t limit; /* requests that it takes at present; 0 is no limit */
  uint32_t done;  /* completed since the limit was changed */
  struct str target;
  struct str domain;
  uint64_t hash;
  uint64_t fence;
  uint64_t instance;
  uint32_t slots;
  uint32_t in_flight;
  const struct need **adapters;
  size_t adapter_count;
};

/* A target that died or lost its model: reports about the same instance are
   older than that for a while and are ignored. */
struct distrust
{
  uint64_t target;
  uint64_t instance;
  uint64_t until_ms;
};

#define DISTRUST_MAX 64

struct grant
{
  uint64_t id;
  struct str target;
  uint64_t target_hash;
  uint64_t instance;
  struct str entry;
  struct need *need;
  size_t replica;
  uint64_t fingerprint;
  uint64_t until_ms;
  bool alone;
  bool died; /* the target's death is counted */
  UT_hash_handle hh;
};

struct action_node
{
  struct sched_action action;
  struct str text; /* owned copy of the target or adapter name */
  struct action_node *next;
};

struct sched
{
  const struct sched_policy *policy;
  struct sched_config config;
  struct crash *crash;
  struct retry retry;
  struct need *needs;
  struct need *model;   /* the need with the empty name */
  struct waiter *queue; /* in order of the policy */
  size_t waiting;
  struct replica_slot *replicas;
  size_t replica_cap;
  struct distrust distrust[DISTRUST_MAX];
  size_t distrust_next;
  struct grant *grants;
  uint64_t next_grant;
  uint64_t expiry_check_ms;
  struct estimate first_byte;
  struct estimate total;
  uint64_t sampled_ms; /* time of the last completed run */
  bool draining;
  struct action_node *actions;
  struct action_node *taken; /* last one given out; frees its strings */
};

/** struct place - where in the queue a request stands.
 * @ahead: requests before it.
 * @ahead_same: those of them with the same need.
 */
struct place
{
  size_t ahead;
  size_t ahead_same;
  struct capacity all;
  struct capacity same;
};

/**
 * struct sched_policy - what differs between schedulers.
 * @before: does a request go ahead of one that waits.
 * @hopeless: can a request not meet its deadline from its place.
 * @choose: replica for a request or NO_REPLICA; @only restricts to a target.
 * @replicas: number of replicas wanted for the present queue.
 */
struct sched_policy
{
  const char *name;
  bool (*before) (const struct waiter *a, const struct waiter *b);
  bool (*hopeless) (const struct sched *s, const struct waiter *w,
                    const struct place *place, uint64_t now_ms);
  size_t (*choose) (const struct sched *s, const struct waiter *w,
                    uint64_t only);
  size_t (*replicas) (const struct sched *s, const struct need *need,
                      const struct capacity *have);
};

/* sched_policy.c */
void estimate_add (struct estimate *e, double ms);
struct capacity capacity_of (const struct sched *s, const struct need *need);
/** load_left_ms() - expected time until a need is loaded; 0 is unknown. */
double load_left_ms (const struct sched *s, const struct need *need,
                     uint64_t now_ms);

/* sched_target.c */
bool replica_open (const struct replica_slot *r);
bool replica_free (const struct replica_slot *r);
bool replica_has (const struct sched *s, const struct replica_slot *r,
                  const struct need *need);
/** replica_eligible() - open, has the need and is not excluded. Exclusions
 * are ignored (@soft) when nothing else is left. */
bool replica_eligible (const struct sched *s, const struct waiter *w,
                       const struct replica_slot *r, bool soft);
bool exclusions_void (const struct sched *s, const struct waiter *w);
size_t replica_find (const struct sched *s, uint64_t hash);
void replica_remove (struct sched *s, size_t index);
void replica_distrust (struct sched *s, const struct replica_slot *r,
                       uint64_t until_ms);
void replica_drop_adapter (struct replica_slot *r, const struct need *need);
/**
 * replica_not_run() - a replica did not take a request: others run on the same
 * server, or it cannot be reached.
 *
 * It gets no more requests than run there now, and one more for each round
 * that completes. An empty one gets none for a pause, which doubles each time.
 */
void replica_not_run (struct replica_slot *r, uint64_t now_ms);
void replica_done (struct replica_slot *r);
void replica_unpause (struct sched *s, uint64_t now_ms);
/** reserve() - replica kept empty for a suspect; NO_REPLICA if none. */
size_t reserve (struct sched *s, struct waiter *w);
/** unreserve() - end a reservation, or the run of a suspect. */
void unreserve (struct sched *s, struct replica_slot *r);
/** ready_alone() - may the reserved replica run its suspect now. */
bool ready_alone (const struct sched *s, const struct replica_slot *r);
void grants_died (struct sched *s, uint64_t target, uint64_t instance,
                  uint64_t event, uint64_t now_ms);

/* sched_queue.c */
/** struct refusal - why a request is refused; @detail is static text. */
struct refusal
{
  grant_code code;
  uint32_t retry_after_ms;
  const char *detail;
};

/** refuse() - end a request that is not in the queue. */
struct sched_action *refuse (struct sched *s, void *ctx, struct refusal why);
/** refuse_waiter() - end and remove a request that waits. */
void refuse_waiter (struct sched *s, struct waiter *w, struct refusal why,
                    uint64_t now_ms);
struct refusal quarantine_refusal (uint32_t left_ms);
void waiter_remove (struct sched *s, struct waiter *w);
/** enqueue() - insert behind all that the policy does not put after it. */
void enqueue (struct sched *s, struct waiter *w);
/** review() - refuse what became hopeless or quarantined. */
void review (struct sched *s, uint64_t now_ms);

/* sched_wake.c */
void wake_needs (struct sched *s, uint64_t now_ms);

/* sched.c */
struct sched_action *action_add (struct sched *s, enum sched_action_kind kind,
                                 struct str text);
struct need *need_get (struct sched *s, struct str name);
/** settle() - grant what can be granted, then ask for what is missing. */
void settle (struct sched *s, uint64_t now_ms);
