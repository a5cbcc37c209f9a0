#pragma once

/* Private to scheduler*.c. */

#include <uthash.h>

#include "crash.h"
#include "hosts.h"
#include "lists.h"
#include "member.h"
#include "sched.h"
#include "scheduler.h"

struct ask;
struct lock;
struct placement;
struct release;

/* Version under which a service schedules its servers' slots for suspects. */
#define LOCK_VERSION STR ("suspect-lock")

/** struct unit - one model version or plain service that this node schedules.
 * @id: service, model and version, separated by line feeds.
 * @key: of the rendezvous order, "model/NAME" or "service/NAME".
 * @epoch: number of this unit on this node, part of its attempt ids.
 */
struct unit
{
  struct str id;
  struct str key;
  struct str service;
  struct str model;
  struct str version;
  bool plain;
  bool locks; /* of the servers' slots for suspects */
  bool owned; /* false once another node took over */
  uint64_t epoch;
  struct sched *sched;
  UT_hash_handle hh;
};

/** struct grant_key - a grant of a unit. */
struct grant_key
{
  uint64_t epoch;
  uint64_t grant;
};

/** struct call - a request for a grant, from PEER_GRANT to the release.
 * @req: NULL once answered.
 * @cold: no target had the model when the request came.
 */
struct call
{
  struct bus_request *req;
  struct unit *unit;
  struct str id; /* entry and request id */
  struct str request_id;
  struct str customer;
  struct str class_name;
  struct grant_key key; /* once granted */
  bool cold;
  uint64_t granted_ms;
  UT_hash_handle hh;       /* by id */
  UT_hash_handle by_grant; /* by key */
};

/** struct entry_node - a node that asked for grants. */
struct entry_node
{
  struct str addr;
  uint64_t instance;
  UT_hash_handle hh;
};

struct scheduler
{
  struct plugin plugin;
  struct kernel *kernel;
  struct bus *bus;
  struct placement *placement;
  struct crash *crash;
  struct unit *units;
  struct call *calls;
  struct call *granted;
  struct entry_node *entries;
  struct ask *asks;   /* scheduler_client.c */
  struct lock *locks; /* scheduler_lock.c */
  uint64_t last_lock;
  struct release *releases; /* scheduler_release.c */
  size_t release_count;
  uint64_t second_ms;      /* time of the last run of the second timer */
  uint64_t stale_until_ms; /* requests that arrive before are from a pause */
  uint64_t last_epoch;
  uv_timer_t second;
  uv_timer_t quick; /* runs while requests wait */
  bool started;
  bool draining;
  bool stopped;
};

/** struct sched_key - where a model or service is scheduled. */
struct sched_key
{
  struct str region;
  struct str key; /* heap-owned */
};

/* scheduler_owner.c */
/** sched_key_make() - of a model, or of a plain service with model empty. */
struct sched_key sched_key_make (const struct scheduler *s, struct str service,
                                 struct str model);
/**
 * scheduler_owner() - node to ask; NULL when no live node is known.
 *
 * The first of the order that is not suspected, or else the first. A node that
 * drains names its successor if there is one.
 */
const struct member_info *scheduler_owner (const struct scheduler *s,
                                           const struct sched_key *key);
/** scheduler_owns() - does this node schedule the key. */
bool scheduler_owns (const struct scheduler *s, const struct sched_key *key);

/* scheduler.c */
/** quick_timer() - run the quick timer as long as somebody waits. */
void quick_timer (struct scheduler *s);

/* scheduler_unit.c */
struct unit *unit_find (const struct scheduler *s, struct str service,
                        struct str model, struct str version);
struct unit *unit_get (struct scheduler *s, const struct grant_args *args);
/** unit_pump() - carry out what the unit's scheduler decided. */
void unit_pump (struct scheduler *s, struct unit *u);
void unit_configure (struct scheduler *s, struct unit *u);
/** unit_refresh() - tell a plain service's targets, and who is leaving. */
void unit_refresh (struct scheduler *s, struct unit *u);
void unit_destroy (struct scheduler *s, struct unit *u);
void call_free (struct scheduler *s, struct call *c);

/* scheduler_lock.c */
/** unit_lock() - ask for a server's slot for suspects; ends in
 * sched_lock_result(). */
void unit_lock (struct scheduler *s, struct unit *u, struct str target);
void unit_unlock (struct scheduler *s, struct unit *u, struct str target);
void locks_free (struct scheduler *s);

/* scheduler_usage.c */
void unit_wake (struct scheduler *s, struct unit *u,
                const struct sched_action *a);
/** usage_report() - tell placement the demand for all models of this node. */
void usage_report (struct scheduler *s);

/* scheduler_client.c */
void asks_tick (struct scheduler *s);
void asks_cancel (struct scheduler *s);

/* scheduler_release.c */
void releases_tick (struct scheduler *s);
void releases_free (struct scheduler *s);
