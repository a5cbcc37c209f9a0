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

/* Internal to the placement task's files. */

/* Models and adapters that are known to be on a server's disk; when there are
   more, the oldest is forgotten. */
#define PLACE_CACHED_MAX 256

/** struct place_target - a server of a service, with its status poll. */
struct place_target
{
  struct place_service *service;
  struct str addr;
  struct http_call *poll;
  uint64_t asked_ms;
  uint64_t seq;
  uint64_t next_poll_ms;
  uint64_t refused_since_ms;  /* 0: reachable */
  uint64_t avoid_until_ms;    /* a load failed there */
  uint64_t unlisted_since_ms; /* 0: in the host list */
  bool fence_in_flight;
  bool leaving_found;         /* the last status said so first */
  bool failed;                /* the last poll failed */
  bool silent;                /* because there was no answer */
  struct replica_key *cached; /* loaded there before: still on its disk */
  size_t cached_count;
  UT_hash_handle hh;
};

/** struct place_wake - a caller that waits for a model. */
struct place_wake
{
  struct bus_request *req;
  struct policy_want want;
  uint32_t replicas; /* wanted */
  size_t enough;     /* answered when so many are there */
  bool failed;       /* a load for it failed meanwhile */
  struct place_wake *prev;
  struct place_wake *next;
};

/** struct place_plan - memory that is being freed for a load. */
struct place_plan
{
  struct policy_want want;
  struct str addr;
  uint64_t until_ms;
  struct place_plan *prev;
  struct place_plan *next;
};

/** struct place_use - use of a model as last reported. */
struct place_use
{
  struct str name;
  struct replica_key key;
  uint32_t in_flight;
  uint32_t queued;
  uint64_t at_ms;
  UT_hash_handle hh;
};

/** struct place_staging - the staging load under way.
 * @active: nobody asked for the model since it began.
 */
struct place_staging
{
  struct replica_key key;
  struct str addr;
  bool active;
};

struct place_service
{
  struct placement *placement;
  struct kernel *kernel;
  struct str name;
  struct str region;
  struct str lease;
  struct str key;
  struct str labels; /* of metrics */
  uint32_t loads_per_s;
  uint32_t loads_at_once;
  uint64_t fence;
  uint64_t epoch;
  uint64_t store_epoch;
  uint64_t store_retry_ms;
  uint64_t version;
  struct ledger *ledger;
  uint64_t former_until_ms; /* former intents wait for FENCE_OFF */
  struct policy *policy;
  struct place_target *targets;
  struct place_wake *wakes;
  struct place_plan *plans;
  struct place_use *uses;
  uint32_t granted[2]; /* load slots by enum budget_kind */
  uint64_t granted_until_ms;
  uint64_t next_turn_ms;
  uint64_t next_keep_ms;
  uint64_t next_stage_ms;
  uint64_t asked_ms; /* when a load was last asked for */
  struct place_staging staging;
  uint64_t idle_counted_ms;
  enum preference preference;
  bool listed;
  bool fenced;
  bool held;
  /* One store call at a time; its answer counts only in its epoch. */
  bool store_busy;
  bool compare; /* the answer to a write was lost */
  bool former_asked;
  bool slot_busy;
  UT_hash_handle hh;
};

/**
 * place_serving() - was the last known holder of the lease.
 *
 * During an outage of the store the lease expires but nobody else can take it:
 * the present replicas are still told to callers, and nothing is decided.
 */
bool place_serving (const struct place_service *s);
/** place_ready() - holds the lease at this moment and its stamp is stored. */
bool place_ready (const struct place_service *s);
/** place_model() - the listed model of a key, in this service; else NULL. */
const struct model *place_model (const struct place_service *s,
                                 const struct replica_key *key);

/* placestore.c: takeover and group commit. */
void place_store_step (struct place_service *s);

/* placetarget.c: status polls. */
void place_sync_hosts (struct place_service *s);
void place_poll (struct place_service *s);
void place_poll_stop (struct place_service *s);
struct place_target *place_target (const struct place_service *s,
                                   struct str addr);

/* placeorder.c: orders to the servers. */
void place_send_orders (struct place_service *s);
/** place_load_failed() - a load was refused by a server, or failed there. */
void place_load_failed (struct place_service *s, struct str addr,
                        const struct replica_key *key, bool refused);

/* placewake.c: callers. */
void place_on_wake (struct place_service *s, struct bus_request *req,
                    const struct wake_args *args);
void place_on_usage (struct place_service *s, struct bus_request *req,
                     const struct usage_args *args);
/** place_settle_wakes() - answers the callers whose model is there, or that
 * can wait no longer.
 */
void place_settle_wakes (struct place_service *s);
void place_fail_wakes (struct place_service *s, int err);
/** place_refuse() - answers all callers of a model. */
void place_refuse (struct place_service *s, const struct replica_key *key,
                   enum wake_code code, uint32_t eta_ms, const char *detail);
/** place_refuse_late() - answers the callers of a model whose deadline is
 * before the load's end.
 */
void place_refuse_late (struct place_service *s, const struct replica_key *key,
                        uint64_t ready_ms, uint64_t now);
/** place_loaded() - replicas that can be offered to callers. */
size_t place_loaded (const struct place_service *s,
                     const struct replica_key *key);
/** place_expire_uses() - a report that is not renewed counts as no use. */
void place_expire_uses (struct place_service *s, uint64_t now);
void place_uses_free (struct place_service *s);
const struct place_use *place_use (const struct place_service *s,
                                   const struct replica_key *key);

/* placedecide.c: decisions. */

/* Reported use counts for this long. */
#define PLACE_USE_FRESH_MS 10000
/* A replica stays at least this long after its load, so that the callers who
   asked for it can use it. */
#define PLACE_LOADED_GRACE_MS 3000

enum begun
{
  BEGUN,       /* a load was recorded, or memory is being freed for it */
  BEGUN_LATER, /* something that is under way has to end first */
  BEGUN_NO_MEMORY,
  BEGUN_LIMIT,
};

void place_decide (struct place_service *s);
/** place_begin_load() - start one more load of a model or adapter. */
enum begun place_begin_load (struct place_service *s,
                             const struct policy_want *want, bool may_evict,
                             const char *why, uint64_t now,
                             struct policy_choice *choice);
/** place_unload() - record the intent to unload, with the reason in the log.
 */
void place_unload (struct place_service *s, struct str addr,
                   const struct replica_key *key, const char *reason,
                   uint64_t now);
/** place_in_use() - are requests in flight, queued or waiting for a load. */
bool place_in_use (const struct place_service *s,
                   const struct replica_key *key, uint64_t now);
/** place_under_way() - loads decided or planned; *@first_ms is the earliest.
 */
size_t place_under_way (const struct place_service *s,
                        const struct replica_key *key, uint64_t *first_ms);
void place_plans_clear (struct place_service *s);
/** place_servers() - the ledger's servers as the policy sees them for a model
 * or adapter; @out has room for all.
 */
void place_servers (const struct place_service *s,
                    const struct replica_key *key, uint64_t now,
                    struct policy_server *out);
/** place_record_load() - record the intent to load; as ledger_load(). */
int place_record_load (struct place_service *s, const struct policy_want *want,
                       struct str addr, const char *reason, uint64_t now);

/* placestage.c: loads ahead of any use, for the checkpoint on disk. */
void place_stage (struct place_service *s, uint64_t now);
/** place_stage_asked() - a load was asked for: a model that is being staged
 * stays loaded, and no staging begins for a while.
 */
void place_stage_asked (struct place_service *s, const struct replica_key *key,
                        uint64_t now);
void place_stage_clear (struct place_service *s);

/* placekeep.c: standing duties. */
void place_keep (struct place_service *s, uint64_t now);
/** place_clear_out() - unloads what may not stay: on leaving servers, and what
 * is no longer listed.
 */
void place_clear_out (struct place_service *s, uint64_t now);

/* placement.c: the load budget. */
/** place_slots() - load slots that may be used now, of up to @count. */
uint32_t place_slots (struct place_service *s, enum budget_kind kind,
                      uint32_t count, uint32_t hold_ms);
void place_slot_done (struct place_service *s, enum budget_kind kind);
