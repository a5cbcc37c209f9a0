#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lists.h"
#include "str.h"
#include "target.h"

/* Placement policies: where a model is loaded, what is evicted for it and how
   long it stays loaded. Policies do no I/O and read no clock; their inputs are
   plain structs and the time, so that traces can be replayed. */

/**
 * struct policy_server - state of a server for the placement of one model.
 * @cache: nearest copy of the model.
 * @usable: true if loads may be sent to the server.
 * @replica_present: true if the server has a replica of the model, in any
 * state.
 */
struct policy_server
{
  struct str addr;
  struct str domain;
  uint64_t memory_bytes;
  uint64_t used_bytes;
  enum cache_place cache;
  bool usable;
  bool replica_present;
};

/**
 * struct policy_replica - a loaded model or adapter.
 * @server: index in policy_view.servers.
 * @load_ms: load time from the weight store.
 * @pinned: not evictable, because it is in use, because requests wait for it,
 *   or because the model would fall below min_replicas.
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

/**
 * struct policy_load_request - a load that is to be done.
 * @load_ms: estimated load time from the weight store; 0 if unknown.
 * @priority: higher values are loaded first.
 * @deadline_ms: clock value; UINT64_MAX means none.
 * @requested_ms: clock value of the request for the load.
 */
struct policy_load_request
{
  struct replica_key key;
  uint64_t bytes;
  uint32_t load_ms;
  int priority;
  uint64_t deadline_ms;
  uint64_t requested_ms;
};

#define POLICY_EVICT_MAX 32

/**
 * struct policy_choice - server chosen for a load.
 * @server: index in policy_view.servers.
 * @evict: replicas to evict before the load, as indexes in
 *   policy_view.replicas.
 * @estimate_ms: expected time until the load is done.
 * @reason: static text for the log.
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
 * struct policy_usage - usage report of a model or adapter.
 * @requests: since the last report.
 * @idle_ms: time since the last use; read only while the policy has no idle
 *   time of its own for the model.
 * @slots: of one replica.
 */
struct policy_usage
{
  struct replica_key key;
  uint32_t in_flight;
  uint32_t queued;
  uint32_t requests;
  uint32_t idle_ms;
  uint32_t slots;
  uint32_t load_ms;
};

/**
 * struct policy_stage_candidate - a candidate for staging. A staging load
 * loads a model and unloads it again, so that its checkpoint is cached on the
 * server's disk.
 * @replicas: number of replicas, in any state.
 * @servers: all servers, with @cache and @replica_present for this model; in
 * the same order for each model. Copies on a server that is not usable don't
 * count.
 */
struct policy_stage_candidate
{
  struct policy_load_request load_request;
  uint32_t replicas;
  uint32_t max_replicas;
  const struct policy_server *servers;
};

/**
 * struct policy_demand - load activity of a service, with which staging must
 * not compete.
 * @load_pending: a load is queued or in progress, or failed recently.
 * @last_request_ms: clock value of the last request for a load.
 * @staging_active: a staging load is in progress.
 * @staging_done: the staging load is done, and no load of its model was
 * requested meanwhile.
 */
struct policy_demand
{
  bool load_pending;
  uint64_t last_request_ms;
  bool staging_active;
  bool staging_done;
};

enum policy_stage_action
{
  STAGE_NOTHING,
  STAGE_LOAD,
  STAGE_UNLOAD, /* unload the staged replica */
};

struct policy;

/**
 * struct policy_ops - operations of a policy.
 * @name: name of the policy.
 * @add_usage_report: records a usage report.
 * @choose: chooses the server for a load. Returns false if no usable server
 *   has enough memory, even with evictions.
 * @desired_replicas: returns the number of replicas that a model should have,
 * given that
 *   @loaded are loaded. 0 unloads the model, and more than @loaded loads it
 *   ahead of demand. *@reason is set to a static text.
 * @load_before: returns true if load @a has to start before load @b.
 * @stage_action: returns the next staging action. For STAGE_LOAD, sets *@model
 * and
 *   *@server to indexes of @models and of their servers; the load fits without
 *   evictions.
 * @destroy: frees the policy.
 */
struct policy_ops
{
  const char *name;
  void (*add_usage_report) (struct policy *p, const struct policy_usage *use,
                            uint64_t now);
  bool (*choose) (struct policy *p, const struct policy_view *view,
                  const struct policy_load_request *request, uint64_t now,
                  struct policy_choice *out);
  uint32_t (*desired_replicas) (struct policy *p,
                                const struct replica_key *key, uint32_t loaded,
                                uint64_t now, const char **reason);
  bool (*load_before) (const struct policy_load_request *a,
                       const struct policy_load_request *b);
  enum policy_stage_action (*stage_action) (
      struct policy *p, const struct policy_stage_candidate *models,
      size_t count, size_t server_count, const struct policy_demand *demand,
      uint64_t now, size_t *model, size_t *server);
  void (*destroy) (struct policy *p);
};

/** struct policy - first member of the state of each policy. */
struct policy
{
  const struct policy_ops *ops;
};

/**
 * policy_create() - creates the policy of a service, which decides by the
 * distribution of each model's idle times; free with ops->destroy().
 */
struct policy *policy_create (enum preference preference);
/**
 * policy_create_naive() - creates a simple policy for comparison: fixed idle
 * timeout, eviction of the least recently used model, loads in the order of
 * their requests; free with ops->destroy().
 */
struct policy *policy_create_naive (uint64_t idle_timeout_ms);
/** policy_load_ms() - estimates a load time, given the nearest copy. */
uint32_t policy_load_ms (const struct policy_load_request *request,
                         enum cache_place cache);

/**
 * policy_stage_allowed() - returns true if a staging load may start: no load
 * is queued, in progress or recent.
 */
bool policy_stage_allowed (const struct policy_demand *demand, uint64_t now);
/**
 * policy_stage_server() - chooses the server on which to stage a model.
 * @model: index in @models.
 * @server: set to the index of the server.
 * @copies: set to the number of failure domains with a copy.
 *
 * Returns false if enough domains have a copy, if the model has max_replicas
 * replicas, or if no server in another domain has enough free memory.
 */
bool policy_stage_server (const struct policy_stage_candidate *models,
                          size_t count, size_t server_count, size_t model,
                          size_t *server, size_t *copies);

/* Budget for loads from the weight store: their rate and their number at the
   same time. */

enum budget_kind
{
  BUDGET_MODEL,
  BUDGET_ADAPTER,
};

struct budget;

/**
 * budget_create() - creates a budget without loads.
 * @busy_ms: time during which all model slots count as taken, because loads
 *   granted by the previous holder of the budget may still run.
 */
struct budget *budget_create (uint64_t busy_ms, uint64_t now);
void budget_destroy (struct budget *b);
/** budget_limits() - sets the limits of model loads; the default is 1 each. */
void budget_limits (struct budget *b, uint32_t loads_per_s,
                    uint32_t loads_at_once);
/**
 * budget_take() - takes slots for loads that start now.
 * @hold_ms: time after which slots that were not given back are free again.
 * @retry_ms: set to the time after which to retry if fewer than @count slots
 *   were granted, and to 0 otherwise.
 *
 * Returns the number of slots granted.
 */
uint32_t budget_take (struct budget *b, struct str service,
                      enum budget_kind kind, uint32_t count, uint32_t hold_ms,
                      uint64_t now, uint32_t *retry_ms);
/** budget_release() - frees the slots of loads that ended early. */
void budget_release (struct budget *b, struct str service,
                     enum budget_kind kind, uint32_t count);
