#pragma once

#include <uthash.h>
#include <utlist.h>

#include "bus.h"
#include "hosts.h"
#include "http.h"
#include "kernel.h"
#include "ledger.h"
#include "lists.h"
#include "policy.h"

/* Internal to the files of the placement plugin. */

/* Maximum number of replica keys remembered as cached on a server's disk. With
   more, one is forgotten for each new one. */
#define PLACE_CACHED_MAX 256

/**
 * struct place_target - a server of a service and its status poll.
 * @poll: the status request in flight, or NULL.
 * @poll_sent_ms: when the last status request was sent.
 * @status_seq: sequence number of the last status. The next poll waits for a
 *   change from it; with 0 it is answered at once.
 * @refused_since_ms: since when the server refuses connections; 0 if it does
 *   not.
 * @avoid_until_ms: no load is started before, because one failed there.
 * @unlisted_since_ms: since when the host list does not name the server; 0 if
 *   it does.
 * @fence_in_flight: a fence order is in flight.
 * @leaving_reported: the status being handled is the first to report that the
 *   server is leaving.
 * @poll_failed: the last poll failed.
 * @poll_timed_out: the last poll failed because no response arrived in time.
 * @cached: replicas that were loaded here; their checkpoints are taken to be
 *   still on the server's disk.
 */
struct place_target
{
  struct place_service *service;
  struct str addr;
  struct http_call *poll;
  uint64_t poll_sent_ms;
  uint64_t status_seq;
  uint64_t next_poll_ms;
  uint64_t refused_since_ms;
  uint64_t avoid_until_ms;
  uint64_t unlisted_since_ms;
  bool fence_in_flight;
  bool leaving_reported;
  bool poll_failed;
  bool poll_timed_out;
  struct replica_key *cached;
  size_t cached_count;
  UT_hash_handle hh;
};

/**
 * struct place_wake - a wake request that waits for replicas of a model or
 * adapter.
 * @load: the requested load, with the priority and deadline of the request.
 * @min_available: the request is answered once this many replicas are
 *   available.
 * @load_failed: a load of the model failed while the request waited.
 */
struct place_wake
{
  struct bus_request *req;
  struct policy_load_request load;
  uint32_t replicas_wanted;
  size_t min_available;
  bool load_failed;
  struct place_wake *prev;
  struct place_wake *next;
};

/**
 * struct place_reservation - memory of a server that is reserved for a load
 * while replicas are evicted for it.
 */
struct place_reservation
{
  struct policy_load_request load;
  struct str addr;
  uint64_t until_ms;
  struct place_reservation *prev;
  struct place_reservation *next;
};

/**
 * struct place_usage - last reported usage of a model or adapter.
 * @name: hash key, "MODEL/ADAPTER".
 */
struct place_usage
{
  struct str name;
  struct replica_key key;
  uint32_t in_flight;
  uint32_t queued;
  uint64_t reported_ms;
  UT_hash_handle hh;
};

/**
 * struct place_staging - the staging load in progress.
 * @active: a staging load is in progress, and the model was not requested
 *   since it was started.
 */
struct place_staging
{
  struct replica_key key;
  struct str addr;
  bool active;
};

/**
 * struct place_service - placement of one engine service.
 * @region: only nodes of this region own the placement; empty for all.
 * @ledger_key: key of the ledger in the store.
 * @fence: fence of the lease that was acquired last.
 * @epoch: incremented when the lease is acquired with a new fence.
 * @store_call_epoch: epoch of the last store call.
 * @ledger_version: version of the ledger in the store.
 * @fence_off_until_ms: orders decided by former owners are held back until
 *   then, while the answer to FENCE_OFF is outstanding; else 0.
 * @granted_slots: load slots granted by another node, by enum budget_kind;
 *   valid until @granted_until_ms.
 * @load_requested_ms: when a load was last requested, or the lease acquired.
 * @idle_counted_ms: when idle time was last counted; 0 after the lease was
 *   lost.
 * @fenced: the service's engines refuse orders with an old fence.
 * @lease_held: as of the last notification; see place_ready().
 * @store_busy: a store call is in flight. There is one at a time, and its
 *   result is used only in the epoch in which it was sent.
 * @write_unconfirmed: the result of a write is unknown; the ledger is read
 *   back to find it out.
 * @fence_off_started: FENCE_OFF was sent to the former owner, or is not
 *   needed.
 */
struct place_service
{
  struct placement *placement;
  struct kernel *kernel;
  struct str name;
  struct str region;
  struct str lease_name;
  struct str ledger_key;
  struct str metric_labels;
  uint32_t loads_per_s;
  uint32_t loads_at_once;
  uint64_t fence;
  uint64_t epoch;
  uint64_t store_call_epoch;
  uint64_t store_retry_ms;
  uint64_t ledger_version;
  struct ledger *ledger;
  uint64_t fence_off_until_ms;
  struct policy *policy;
  struct place_target *targets;
  struct place_wake *wakes;
  struct place_reservation *reservations;
  struct place_usage *usage;
  uint32_t granted_slots[2];
  uint64_t granted_until_ms;
  uint64_t next_step_ms;
  uint64_t next_adjust_ms;
  uint64_t next_stage_ms;
  uint64_t load_requested_ms;
  struct place_staging staging;
  uint64_t idle_counted_ms;
  enum preference preference;
  bool listed;
  bool fenced;
  bool lease_held;
  bool store_busy;
  bool write_unconfirmed;
  bool fence_off_started;
  bool slot_call_in_flight;
  UT_hash_handle hh;
};

/**
 * place_serving() - Returns true while this node is the last known owner of
 * the service's placement, even if its lease has expired.
 *
 * During an outage of the store the lease expires, but no other node can
 * acquire it: available replicas are still reported to callers, and nothing is
 * decided.
 */
bool place_serving (const struct place_service *s);
/**
 * place_ready() - Returns true while this node holds the lease and has stored
 * the ledger with its fence; required for decisions.
 */
bool place_ready (const struct place_service *s);
/**
 * place_model() - Returns the listed model of a key, or NULL if it is not
 * listed for this service. The versions may differ.
 */
const struct model *place_model (const struct place_service *s,
                                 const struct replica_key *key);

/* placement_store.c: takeover and group commit. */

/**
 * place_store_step() - starts the next store call that is needed, if none is
 * in flight.
 */
void place_store_step (struct place_service *s);

/* placement_target.c: status polls. */

/** place_sync_hosts() - updates servers and targets from the host list. */
void place_sync_hosts (struct place_service *s);
/** place_poll() - sends the status requests that are due. */
void place_poll (struct place_service *s);
/** place_poll_stop() - cancels the polls and frees all targets. */
void place_poll_stop (struct place_service *s);
struct place_target *place_target (const struct place_service *s,
                                   struct str addr);

/* placement_orders.c: orders to the servers. */

void place_send_orders (struct place_service *s);
/**
 * place_on_load_failure() - notes that a load failed on a server.
 * @refused: the server refused it; the server is avoided for a shorter time
 *   than after a load that failed.
 */
void place_on_load_failure (struct place_service *s, struct str addr,
                            const struct replica_key *key, bool refused);

/* placement_wake.c: wake requests and usage reports. */

void place_on_wake (struct place_service *s, struct bus_request *req,
                    const struct wake_args *args);
void place_on_usage (struct place_service *s, struct bus_request *req,
                     const struct usage_args *args);
/**
 * place_answer_wakes() - answers the wake requests whose replicas are
 * available, whose deadline has passed, or whose lease was lost.
 */
void place_answer_wakes (struct place_service *s);
/** place_fail_wakes() - fails all wake requests, with the holder as a hint. */
void place_fail_wakes (struct place_service *s, int err);
/** place_refuse_wakes() - answers all wake requests for a key. */
void place_refuse_wakes (struct place_service *s,
                         const struct replica_key *key, enum wake_code code,
                         uint32_t eta_ms, const char *detail);
/**
 * place_refuse_late_wakes() - answers the wake requests for a key whose
 * deadline is before the expected end of the load.
 * @ready_ms: clock value of the expected end.
 */
void place_refuse_late_wakes (struct place_service *s,
                              const struct replica_key *key, uint64_t ready_ms,
                              uint64_t now);
/**
 * place_available_replicas() - Returns the number of loaded replicas on
 * reachable servers that are not leaving.
 */
size_t place_available_replicas (const struct place_service *s,
                                 const struct replica_key *key);
/** place_expire_usage() - resets usage that was not reported again in time. */
void place_expire_usage (struct place_service *s, uint64_t now);
void place_usage_free (struct place_service *s);
/** place_usage() - Returns the reported usage of a key, or NULL. */
const struct place_usage *place_usage (const struct place_service *s,
                                       const struct replica_key *key);

/* placement_decide.c: decisions. */

/* Validity of a usage report. */
#define PLACE_USAGE_VALID_MS 10000
/* A replica stays at least this long after its load, so that the callers that
   requested it can use it. */
#define PLACE_LOADED_GRACE_MS 3000

/**
 * enum place_load_result - result of place_start_load().
 * @PLACE_LOAD_STARTED: the load is recorded, or memory is reserved for it.
 * @PLACE_LOAD_DEFERRED: a load, an unload or a grace period has to end first,
 *   or no server is usable yet.
 * @PLACE_LOAD_NO_MEMORY: no server has the memory or may free it.
 * @PLACE_LOAD_LIMIT: the model has max_replicas.
 */
enum place_load_result
{
  PLACE_LOAD_STARTED,
  PLACE_LOAD_DEFERRED,
  PLACE_LOAD_NO_MEMORY,
  PLACE_LOAD_LIMIT,
};

/** place_decide() - takes all decisions that are due and acts on them. */
void place_decide (struct place_service *s);
/**
 * place_start_load() - starts one more load of a model or adapter.
 * @may_evict: replicas may be evicted for it.
 * @trigger: why it is needed, for the log.
 * @choice: set to the policy's choice.
 */
enum place_load_result
place_start_load (struct place_service *s,
                  const struct policy_load_request *load, bool may_evict,
                  const char *trigger, uint64_t now,
                  struct policy_choice *choice);
/**
 * place_unload() - records the intent to unload; see ledger_decide_unload().
 * @reason: for the log.
 */
void place_unload (struct place_service *s, struct str addr,
                   const struct replica_key *key, const char *reason,
                   uint64_t now);
/**
 * place_in_use() - Returns true if requests for a model or adapter are in
 * flight, queued, or waiting for a load.
 */
bool place_in_use (const struct place_service *s,
                   const struct replica_key *key, uint64_t now);
/**
 * place_pending_loads() - Returns the number of loads that are recorded, or
 * have memory reserved.
 * @first_ms: set to when the earliest of them was recorded, or UINT64_MAX.
 */
size_t place_pending_loads (const struct place_service *s,
                            const struct replica_key *key, uint64_t *first_ms);
void place_reservations_clear (struct place_service *s);
/**
 * place_policy_servers() - describes the ledger's servers to the policy, for a
 * load of a model or adapter.
 * @out: array with one element per server of the ledger; borrows strings.
 */
void place_policy_servers (const struct place_service *s,
                           const struct replica_key *key, uint64_t now,
                           struct policy_server *out);
/**
 * place_record_load() - records the intent to load.
 * @reason: for the log.
 *
 * Returns the result of ledger_decide_load().
 */
int place_record_load (struct place_service *s,
                       const struct policy_load_request *load, struct str addr,
                       const char *reason, uint64_t now);

/* placement_stage.c: loads ahead of demand that put a checkpoint on a server's
   disk. */

/** place_stage() - starts or finishes a staging load when it is due. */
void place_stage (struct place_service *s, uint64_t now);
/**
 * place_stage_load_requested() - notes that a load was requested: no staging
 * load is started for a while, and a model that is being staged stays loaded.
 */
void place_stage_load_requested (struct place_service *s,
                                 const struct replica_key *key, uint64_t now);
void place_stage_clear (struct place_service *s);

/* placement_adjust.c: periodic adjustment of the replicas. */

/**
 * place_adjust_replicas() - loads and unloads replicas by policy and
 * configured limits, and expires usage.
 */
void place_adjust_replicas (struct place_service *s, uint64_t now);
/**
 * place_unload_obsolete() - unloads what is on leaving servers or no longer
 * listed.
 */
void place_unload_obsolete (struct place_service *s, uint64_t now);

/* placement.c: the load budget. */

/**
 * place_take_slots() - takes slots of the load budget.
 * @hold_ms: the slots return to the budget by themselves after this time.
 *
 * Returns the number taken. When another node owns the budget, this is 0 or
 * @count: slots are requested from the owner, and place_send_orders() is
 * called once it grants some.
 */
uint32_t place_take_slots (struct place_service *s, enum budget_kind kind,
                           uint32_t count, uint32_t hold_ms);
/** place_return_slot() - returns one slot to the load budget. */
void place_return_slot (struct place_service *s, enum budget_kind kind);
