#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lists.h"
#include "str.h"
#include "target.h"

/* Where to load, what to evict, how long to keep. Pure: inputs are plain
   structs and a clock value, so that a trace can be replayed. */

/**
 * struct policy_server - a server as far as a choice needs it.
 * @cache: nearest copy of the wanted model.
 * @usable: may receive loads.
 * @holds: has the wanted model already, in any state.
 */
struct policy_server
{
  struct str addr;
  struct str domain;
  uint64_t memory_bytes;
  uint64_t used_bytes;
  enum cache_place cache;
  bool usable;
  bool holds;
};

/**
 * struct policy_replica - a loaded model or adapter.
 * @server: index in the view.
 * @pinned: must stay: in use, waited for, or within min_replicas.
 */
struct policy_replica
{
  struct replica_key key;
  size_t server;
  uint64_t bytes;
  uint32_t load_ms;
  bool pinned;
};

struct policy_view
{
  const struct policy_server *servers;
  size_t server_count;
  const struct policy_replica *replicas;
  size_t replica_count;
};

/** struct policy_want - a load that is wanted. */
struct policy_want
{
  struct replica_key key;
  uint64_t bytes;
  uint32_t load_ms; /* estimate from remote; 0 is unknown */
  int priority;
  uint64_t deadline_ms; /* clock value; UINT64_MAX is none */
  uint64_t asked_ms;
};

#define POLICY_EVICT_MAX 32

/**
 * struct policy_choice - where to load.
 * @evict: replicas (indexes in the view) that have to go first.
 * @estimate_ms: expected time until loaded.
 * @reason: for the log; static.
 */
struct policy_choice
{
  size_t server;
  size_t evict[POLICY_EVICT_MAX];
  size_t evict_count;
  uint32_t estimate_ms;
  const char *reason;
};

/**
 * struct policy_use - use of a model since the last report.
 * @idle_ms: time without use so far; counts for a model not known before.
 */
struct policy_use
{
  struct replica_key key;
  uint32_t in_flight;
  uint32_t queued;
  uint32_t requests;
  uint32_t idle_ms;
  uint32_t slots; /* of one replica */
  uint32_t load_ms;
};

/**
 * struct policy_stage - a model that could be loaded ahead of any use, so that
 * a server's disk keeps its checkpoint.
 * @servers: with @cache and @holds for this model; the same servers for each
 *   model. A server that is not usable counts as lost.
 * @replicas: in any state.
 */
struct policy_stage
{
  struct policy_want want;
  uint32_t replicas;
  uint32_t max_replicas;
  const struct policy_server *servers;
};

/**
 * struct policy_demand - what a staging load may not compete with.
 * @waiting: a load waits or runs, or one failed just now.
 * @asked_ms: when a load was last asked for.
 * @staging: a staging load runs.
 * @staged: one has ended, and nobody asked for the model.
 */
struct policy_demand
{
  bool waiting;
  uint64_t asked_ms;
  bool staging;
  bool staged;
};

enum policy_step
{
  STAGE_NOTHING,
  STAGE_LOAD,
  STAGE_UNLOAD, /* the staged replica */
};

struct policy;

/**
 * struct policy_ops - behaviour; first member of a policy's state.
 * @used: take note of a model's use.
 * @choose: server for a load; false when none has or can get the memory.
 * @want: replicas that a model should have now; @loaded are there. 0 unloads,
 *   more than @loaded loads ahead of demand. @reason is static.
 * @before: does the load @a go before @b.
 * @stage: the next step of staging; for STAGE_LOAD with *@model and *@server,
 *   indexes of the arrays. The load never needs an eviction.
 */
struct policy_ops
{
  const char *name;
  void (*used) (struct policy *p, const struct policy_use *use, uint64_t now);
  bool (*choose) (struct policy *p, const struct policy_view *view,
                  const struct policy_want *want, uint64_t now,
                  struct policy_choice *out);
  uint32_t (*want) (struct policy *p, const struct replica_key *key,
                    uint32_t loaded, uint64_t now, const char **reason);
  bool (*before) (const struct policy_want *a, const struct policy_want *b);
  enum policy_step (*stage) (struct policy *p,
                             const struct policy_stage *models, size_t count,
                             size_t server_count,
                             const struct policy_demand *demand, uint64_t now,
                             size_t *model, size_t *server);
  void (*destroy) (struct policy *p);
};

struct policy
{
  const struct policy_ops *ops;
};

/** policy_create() - policy of a service; free with ops->destroy(). */
struct policy *policy_create (enum preference preference);
/**
 * policy_create_naive() - for comparison: fixed idle timeout, least recently
 * used goes first, first come first loaded.
 */
struct policy *policy_create_naive (uint64_t idle_timeout_ms);
/** policy_load_ms() - estimate of a load by the place of the nearest copy. */
uint32_t policy_load_ms (const struct policy_want *want,
                         enum cache_place cache);

/** policy_stage_quiet() - may a staging load begin beside this demand. */
bool policy_stage_quiet (const struct policy_demand *demand, uint64_t now);
/**
 * policy_stage_server() - where to stage a model.
 * @copies: failure domains with a copy so far.
 * Returns false if it has enough copies, or no server has the memory.
 */
bool policy_stage_server (const struct policy_stage *models, size_t count,
                          size_t server_count, size_t model, size_t *server,
                          size_t *copies);

/* Budget of the weight store. */

enum budget_kind
{
  BUDGET_MODEL,
  BUDGET_ADAPTER,
};

struct budget;

/**
 * budget_create() - empty budget.
 * @busy_ms: all model slots count as taken for this time, for loads that a
 *   former holder of the budget granted.
 */
struct budget *budget_create (uint64_t busy_ms, uint64_t now);
void budget_destroy (struct budget *b);
/** budget_limits() - rate and number at once of model loads. */
void budget_limits (struct budget *b, uint32_t loads_per_s,
                    uint32_t loads_at_once);
/**
 * budget_take() - take slots for loads that start now.
 * @hold_ms: the slots come back by themselves after this time.
 * Returns the number granted; if fewer than @count, *@retry_ms is the time
 * until another try makes sense.
 */
uint32_t budget_take (struct budget *b, struct str service,
                      enum budget_kind kind, uint32_t count, uint32_t hold_ms,
                      uint64_t now, uint32_t *retry_ms);
/** budget_give_back() - loads of a service ended before their time. */
void budget_give_back (struct budget *b, struct str service,
                       enum budget_kind kind, uint32_t count);
