#pragma once

/* Private to replay*.c. */

#include <utlist.h>

#include "crash.h"
#include "lists.h"
#include "policy.h"
#include "replay_report.h"
#include "replay_trace.h"
#include "sched.h"

#define REPLAY_SERVERS_MAX 64
#define REPLAY_HELD_MAX 256
#define MODEL_ITSELF SIZE_MAX

/** struct held - a model or adapter on a server.
 * @adapter: index in the model's adapters, or MODEL_ITSELF.
 * @ready_ms: end of the load.
 */
struct held
{
  size_t model;
  size_t adapter;
  uint64_t bytes;
  uint64_t ready_ms;
  bool loaded;
};

/** struct replay_server - a target: memory, and what it holds.
 * @up_ms: alive from this time on.
 */
struct replay_server
{
  char addr[64];
  struct str domain;
  uint64_t memory_bytes;
  uint64_t used_bytes;
  uint64_t instance;
  uint64_t up_ms;
  struct held held[REPLAY_HELD_MAX];
  size_t held_count;
  bool *on_disk; /* by model: loaded there before */
};

/** struct replay_wake - replicas that a scheduler asked for.
 * @ahead: decided by the policy itself; nobody is told.
 */
struct replay_wake
{
  size_t model;
  size_t adapter;
  uint32_t replicas;
  int priority;
  uint64_t deadline_ms;
  uint64_t asked_ms;
  bool ahead;
  struct replay_wake *prev;
  struct replay_wake *next;
};

/** struct replay_staging - the staging load under way.
 * @active: nobody asked for the model since it began.
 */
struct replay_staging
{
  size_t model;
  size_t server;
  bool active;
};

struct replay_model
{
  const struct model *listed;
  struct sched *sched;
  uint32_t max_replicas;
};

/** struct job - a request of the trace. */
struct job
{
  struct replay_model *model;
  struct str customer;
  struct str class_name;
  struct str adapter;
  int priority;
  uint64_t id;
  uint64_t deadline_ms;
  uint64_t submitted_ms;
  uint64_t first_byte_ms; /* time of the first byte; known at the grant */
  uint64_t end_ms;
  uint64_t grant;
  uint32_t tokens;
  uint32_t attempt;
  size_t server;
  bool idempotent;
  bool cold;
  bool running;
  struct job *prev;
  struct job *next;
};

struct world
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
  uint64_t next_load_ms; /* by the rate of the weight store */
  uint32_t loads_per_s;
  uint32_t loads_at_once;
  uint32_t first_byte_ms;
  uint32_t token_us;
  struct replay_server *servers;
  size_t server_count;
  struct replay_model *models;
  size_t model_count;
  struct replay_wake *wakes;
  uint64_t asked_ms; /* when a load was last asked for */
  struct replay_staging staging;
  struct job *running;
  uint64_t last_job;
};

/* replay_load.c: what placement does. */
/** load_pump() - start the loads that may start, in the policy's order. */
void load_pump (struct world *w);
/** load_step() - end the loads that are due. */
void load_step (struct world *w);
/** load_next_ms() - time of the next change, or UINT64_MAX. */
uint64_t load_next_ms (const struct world *w);
void load_server_lost (struct world *w, size_t server);
void load_wake (struct world *w, size_t model, const struct sched_action *a);
size_t load_adapter_index (const struct model *m, struct str name);
struct replica_key load_key (const struct world *w, size_t model,
                             size_t adapter);
struct held *load_find (struct replay_server *s, size_t model, size_t adapter);
/** load_count() - replicas that are loaded, or with @loading also in load. */
uint32_t load_count (struct world *w, size_t model, size_t adapter,
                     bool loading);
uint32_t load_in_flight (const struct world *w, size_t model, size_t server);
/** load_tell() - tell a scheduler which replicas there are. */
void load_tell (struct world *w, size_t model);
/** load_drop() - unload; a model goes with its adapters. */
void load_drop (struct replay_server *s, size_t model, size_t adapter);
/** load_begin() - a load that takes @load_ms begins on a server. */
void load_begin (struct world *w, size_t server, size_t model, size_t adapter,
                 uint64_t bytes, uint32_t load_ms);
/** load_may_begin() - does the weight store serve one more model now. */
bool load_may_begin (const struct world *w);

/* replay_stage.c */
/** stage_second() - begin a staging load if the policy wants one. */
void stage_second (struct world *w);
/** stage_step() - unload what was staged. */
void stage_step (struct world *w);
/** stage_asked() - a load was asked for; a staged model stays loaded. */
void stage_asked (struct world *w, size_t model);

/* replay_keep.c */
/** keep_second() - account idle replicas; load and unload by the policy. */
void keep_second (struct world *w);

/* replay_run.c: requests. */
void run_submit (struct world *w, struct job *job);
void run_step (struct world *w);
uint64_t run_next_ms (const struct world *w);
void run_server_lost (struct world *w, size_t server);
/** run_pump() - carry out the actions of a model's scheduler. */
void run_pump (struct world *w, struct replay_model *m);
struct job *run_job (struct world *w, const struct trace_event *e);
