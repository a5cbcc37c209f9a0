#pragma once

/* State and functions shared by the files replay*.c. */

#include <utlist.h>

#include "crash.h"
#include "lists.h"
#include "policy.h"
#include "replay_report.h"
#include "replay_trace.h"
#include "sched.h"

#define REPLAY_SERVERS_MAX 64
#define REPLAY_REPLICAS_MAX 256
#define NO_ADAPTER SIZE_MAX

/**
 * struct replay_replica - a model or adapter on a server.
 * @model: index in replay.models.
 * @adapter: index in the model's adapters; NO_ADAPTER for the model itself.
 * @ready_ms: time at which the load is done.
 */
struct replay_replica
{
  size_t model;
  size_t adapter;
  uint64_t bytes;
  uint64_t ready_ms;
  bool loaded;
};

/**
 * struct replay_server - a target with its memory and replicas.
 * @up_at_ms: time from which the server is up.
 * @on_disk: by model; true if the model was loaded there since the last
 *   failure of the server.
 */
struct replay_server
{
  char addr[64];
  struct str domain;
  uint64_t memory_bytes;
  uint64_t used_bytes;
  uint64_t instance;
  uint64_t up_at_ms;
  struct replay_replica replicas[REPLAY_REPLICAS_MAX];
  size_t replica_count;
  bool *on_disk;
};

/**
 * struct replay_load_request - replicas that a scheduler or the policy
 * requested.
 * @adapter: index in the model's adapters; NO_ADAPTER for the model itself.
 * @replicas: number that should be loaded, including those that are loaded.
 * @ahead_of_demand: requested by the policy; no scheduler gets the result.
 */
struct replay_load_request
{
  size_t model;
  size_t adapter;
  uint32_t replicas;
  int priority;
  uint64_t deadline_ms;
  uint64_t requested_ms;
  bool ahead_of_demand;
  struct replay_load_request *prev;
  struct replay_load_request *next;
};

/**
 * struct replay_staging - the staging load in progress.
 * @active: false if there is none, or once a load of the model was requested,
 *   so that the replica stays loaded.
 */
struct replay_staging
{
  size_t model;
  size_t server;
  bool active;
};

struct replay_model
{
  const struct model *spec;
  struct sched *sched;
  uint32_t max_replicas;
};

/** struct replay_request - a request of the trace; owns its strings. */
struct replay_request
{
  struct replay_model *model;
  struct str customer;
  struct str class_name;
  struct str adapter;
  int priority;
  uint64_t id;
  uint64_t deadline_ms;
  uint64_t submitted_ms;
  uint64_t first_byte_ms; /* time of the first byte, set with the grant */
  uint64_t end_ms;
  uint64_t grant;
  uint32_t tokens;
  uint32_t attempt;
  size_t server;
  bool idempotent;
  bool cold;
  bool running;
  struct replay_request *prev;
  struct replay_request *next;
};

/**
 * struct replay - state of a replay.
 * @next_second_ms: time of the next call of replay_adjust_tick().
 * @next_load_ms: earliest start of the next model load, by the rate of the
 *   weight store.
 * @first_byte_ms: time from a grant to the first byte, as in the trace.
 * @last_load_request_ms: time of the last request for a load.
 */
struct replay
{
  const struct sched_policy *sched_policy;
  bool naive;
  struct policy *policy;
  struct lists *lists;
  struct crash *crash;
  struct replay_report *report;
  struct replay_counts counts;
  uint64_t now_ms;
  uint64_t next_second_ms;
  uint64_t next_load_ms;
  uint32_t loads_per_s;
  uint32_t loads_at_once;
  uint32_t first_byte_ms;
  uint32_t token_us;
  struct replay_server *servers;
  size_t server_count;
  struct replay_model *models;
  size_t model_count;
  struct replay_load_request *load_requests;
  uint64_t last_load_request_ms;
  struct replay_staging staging;
  struct replay_request *running;
  uint64_t last_request_id;
};

/* replay_load.c: loads and evictions, as placement does them. */
/** load_start_pending() - starts the requested loads that may start now, in
 * the order of the policy. */
void load_start_pending (struct replay *r);
/** load_finish_due() - finishes the loads that are done by now. */
void load_finish_due (struct replay *r);
/** load_next_ms() - returns the time when the next load finishes or may start,
 * or UINT64_MAX. */
uint64_t load_next_ms (const struct replay *r);
/** load_server_lost() - drops the replicas and the disk of a failed server. */
void load_server_lost (struct replay *r, size_t server);
/** load_enqueue() - queues a load requested by a scheduler (SCHED_WAKE). */
void load_enqueue (struct replay *r, size_t model,
                   const struct sched_action *a);
/** load_adapter_index() - returns the index of an adapter, or NO_ADAPTER. */
size_t load_adapter_index (const struct model *m, struct str name);
struct replica_key load_key (const struct replay *r, size_t model,
                             size_t adapter);
struct replay_replica *load_find_replica (struct replay_server *s,
                                          size_t model, size_t adapter);
/** load_count() - returns the number of loaded replicas, plus those that are
 * loading if @loading is set. */
uint32_t load_count (struct replay *r, size_t model, size_t adapter,
                     bool loading);
uint32_t load_in_flight (const struct replay *r, size_t model, size_t server);
/** load_publish_targets() - passes the loaded replicas of a model and of its
 * adapters to the scheduler. */
void load_publish_targets (struct replay *r, size_t model);
/** load_unload() - unloads an adapter, or a model with all its adapters. */
void load_unload (struct replay_server *s, size_t model, size_t adapter);
/** load_start() - starts a load that takes @load_ms on a server. */
void load_start (struct replay *r, size_t server, size_t model, size_t adapter,
                 uint64_t bytes, uint32_t load_ms);
/** load_may_start() - returns true if the weight store can serve one more
 * model load now. */
bool load_may_start (const struct replay *r);

/* replay_stage.c: staging loads. */
/** stage_tick() - starts a staging load if the policy decides so; called each
 * second. */
void stage_tick (struct replay *r);
/** stage_finish() - unloads the staged model once it is loaded, unless it has
 * requests in flight. */
void stage_finish (struct replay *r);
/** stage_load_requested() - records the request for a load; if it is for the
 * model that is being staged, that replica stays loaded. */
void stage_load_requested (struct replay *r, size_t model);

/* replay_adjust.c: keep-alive. */
/** replay_adjust_tick() - counts the idle time of the replicas, and loads and
 * unloads as the policy decides; called each second. */
void replay_adjust_tick (struct replay *r);

/* replay_requests.c: requests. */
/** run_submit() - submits a request, or its next attempt, to the scheduler. */
void run_submit (struct replay *r, struct replay_request *req);
/** run_finish_due() - ends the requests that are answered by now. */
void run_finish_due (struct replay *r);
/** run_next_ms() - returns the next end of a request, or UINT64_MAX. */
uint64_t run_next_ms (const struct replay *r);
void run_server_lost (struct replay *r, size_t server);
/** run_actions() - carries out the pending actions of a model's scheduler. */
void run_actions (struct replay *r, struct replay_model *m);
/** run_create_request() - creates a request from a trace event; its model is
 * not set. */
struct replay_request *run_create_request (struct replay *r,
                                           const struct trace_event *e);
