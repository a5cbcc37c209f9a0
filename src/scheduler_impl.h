#pragma once

/* Private to scheduler*.c. */

#include <uthash.h>

#include "crash.h"
#include "hosts.h"
#include "lists.h"
#include "member.h"
#include "sched.h"
#include "scheduler.h"

struct grant_query;
struct suspect_lock;
struct placement;
struct pending_release;

/* Version of the unit of a service that grants the suspect locks of its
   servers; see scheduler_lock.c. */
#define LOCK_VERSION STR ("suspect-lock")

/** struct unit - one model version or plain service that this node schedules.
 * @id: service, model and version, separated by line feeds.
 * @key: key of the rendezvous order, "model/NAME" or "service/NAME".
 * @plain: a plain service; @model is empty.
 * @grants_locks: the unit of a service that grants its suspect locks.
 * @owned: false once another node has taken over.
 * @epoch: sequence number of this unit on this node, part of its attempt ids.
 */
struct unit
{
  struct str id;
  struct str key;
  struct str service;
  struct str model;
  struct str version;
  bool plain;
  bool grants_locks;
  bool owned;
  uint64_t epoch;
  struct sched *sched;
  UT_hash_handle hh;
};

/** struct grant_key - identifies a grant among all units of this node.
 * @epoch: of the unit.
 * @grant: id from the unit's scheduler; 0 before the request is granted.
 */
struct grant_key
{
  uint64_t epoch;
  uint64_t grant;
};

/** struct grant_call - a PEER_GRANT call, kept until the grant is released.
 * @req: NULL once answered.
 * @id: address of the entry node and request id.
 * @cold: no target had the model when the request arrived.
 * @hh: in scheduler.grant_calls, by @id.
 * @by_grant: in scheduler.calls_by_grant, by @key, once granted.
 */
struct grant_call
{
  struct bus_request *req;
  struct unit *unit;
  struct str id;
  struct str request_id;
  struct str customer;
  struct str class_name;
  struct grant_key key;
  bool cold;
  uint64_t granted_ms;
  UT_hash_handle hh;
  UT_hash_handle by_grant;
};

/**
 * struct entry_node - a node that has requested grants.
 * @listed: the member view has listed this instance.
 * @unlisted_until_ms: when it counts as lost if that has not happened.
 */
struct entry_node
{
  struct str addr;
  uint64_t instance;
  bool listed;
  uint64_t unlisted_until_ms;
  UT_hash_handle hh;
};

/**
 * struct scheduler - the plug-in.
 * @grant_queries: requests of this node; scheduler_client.c.
 * @suspect_locks: requested or held by this node; scheduler_lock.c.
 * @releases: not yet acknowledged; scheduler_release.c.
 * @last_slow_timer_ms: time of the last run of @slow_timer; 0 before the
 *   first.
 * @stale_until_ms: calls that arrive before this time may have been sent
 * before the end of a pause of the process and are rejected.
 * @slow_timer: runs every second.
 * @fast_timer: runs while requests wait here or at other nodes.
 */
struct scheduler
{
  struct plugin plugin;
  struct kernel *kernel;
  struct bus *bus;
  struct placement *placement;
  struct crash *crash;
  struct unit *units;
  struct grant_call *grant_calls;
  struct grant_call *calls_by_grant;
  struct entry_node *entries;
  struct grant_query *grant_queries;
  struct suspect_lock *suspect_locks;
  uint64_t last_lock_id;
  struct pending_release *releases;
  size_t release_count;
  uint64_t last_slow_timer_ms;
  uint64_t stale_until_ms;
  uint64_t last_epoch;
  uv_timer_t slow_timer;
  uv_timer_t fast_timer;
  bool started;
  bool draining;
  bool stopped;
};

/** struct sched_key - determines the node that schedules a model or service.
 * @region: of the service; empty means all. Borrowed from the lists.
 * @key: key of the rendezvous order; heap-owned.
 */
struct sched_key
{
  struct str region;
  struct str key;
};

/* scheduler_owner.c */
/** sched_key_make() - make the key of a model, or of a plain service if @model
 * is empty. */
struct sched_key sched_key_make (const struct scheduler *s, struct str service,
                                 struct str model);
/**
 * scheduler_owner() - find the node that schedules a key.
 *
 * Returns the first alive node of the rendezvous order, else the first
 * suspected one. While this node drains, it returns this node only if there is
 * no other. Returns NULL if no live node is known.
 */
const struct member_info *scheduler_owner (const struct scheduler *s,
                                           const struct sched_key *key);
/** scheduler_owns() - returns true if this node schedules the key. */
bool scheduler_owns (const struct scheduler *s, const struct sched_key *key);

/* scheduler.c */
/** update_fast_timer() - run the fast timer only while requests wait. */
void update_fast_timer (struct scheduler *s);

/* scheduler_unit.c */
struct unit *unit_find (const struct scheduler *s, struct str service,
                        struct str model, struct str version);
/** unit_get() - find the unit that a grant call is for, or create it. */
struct unit *unit_get (struct scheduler *s, const struct grant_args *args);
/** unit_run_actions() - carry out the actions of the unit's scheduler. */
void unit_run_actions (struct scheduler *s, struct unit *u);
/** unit_configure() - apply the current lists to the unit. */
void unit_configure (struct scheduler *s, struct unit *u);
/** unit_refresh() - apply the current host list to the unit: the targets of a
 * plain service, and the targets that are leaving. */
void unit_refresh (struct scheduler *s, struct unit *u);
void unit_destroy (struct scheduler *s, struct unit *u);
void grant_call_free (struct scheduler *s, struct grant_call *c);

/* scheduler_lock.c */
/** unit_request_lock() - request the suspect lock of a server; the result goes
 * to sched_lock_result(). */
void unit_request_lock (struct scheduler *s, struct unit *u,
                        struct str target);
/** unit_return_lock() - return the lock of a server, or cancel its request. */
void unit_return_lock (struct scheduler *s, struct unit *u, struct str target);
void suspect_locks_free (struct scheduler *s);

/* scheduler_usage.c */
/** unit_wake() - send a wake to placement. */
void unit_wake (struct scheduler *s, struct unit *u,
                const struct sched_action *a);
/** usage_report() - report the demand for the models that this node schedules
 * to placement. */
void usage_report (struct scheduler *s);

/* scheduler_client.c */
/** grant_queries_tick() - resume the queries whose retry delay is over. */
void grant_queries_tick (struct scheduler *s);
/** grant_queries_cancel() - end the queries that have no call in flight. */
void grant_queries_cancel (struct scheduler *s);

/* scheduler_release.c */
/** releases_tick() - resend the releases that are due. */
void releases_tick (struct scheduler *s);
void releases_free (struct scheduler *s);
