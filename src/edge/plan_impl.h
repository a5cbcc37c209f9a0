#pragma once

/* Internals of the plan for models; included by edge/plan*.c only. */

#include "edge/fleet_impl.h"

/* Expected duration of an unload, after which the server's report is read. The
   unload takes longer while calls are in flight. */
#define UNLOAD_MS 50
/* Time from the end of an order until a report shows it. */
#define ORDER_END_MS 150
/* Minimum interval between two searches of all servers for replicas to evict
   in favour of a load from the weight store. Such a load takes seconds, so
   that more frequent searches gain little. */
#define PLAN_COLD_SEARCH_MS 100

/* ---- plan_need.c ---- */

/**
 * plan_model_need() - Computes a model's need for replicas.
 * @without: a server whose reservation does not count; may be NULL.
 */
struct replica_need plan_model_need (const struct fleet_model *model,
                                     const struct fleet_server *without,
                                     uint64_t now_ms);
/** plan_refresh_needs() - Updates the needs of all models that are stale or
 * whose need changes over time. */
void plan_refresh_needs (struct fleet *fleet, uint64_t now_ms);
/** plan_most_urgent() - Returns the model of a service that needs a replica
 * most urgently, or NULL. */
struct fleet_model *plan_most_urgent (struct fleet_service *service);
/** plan_next_urgent() - Returns the next model by descending urgency, or NULL.
 */
struct fleet_model *plan_next_urgent (struct fleet_model *model);
/** plan_need_name() - Returns the name of a need for the log. */
const char *plan_need_name (enum need need);

/* ---- plan_eviction.c ---- */

/** plan_cached_load_elsewhere() - Returns true if another usable server has
 * the model's weights cached and no replica of the model yet.
 * @server: may be NULL. */
bool plan_cached_load_elsewhere (const struct fleet_server *server,
                                 const struct fleet_model *model);
/** plan_cached_elsewhere() - Returns true if another usable server has the
 * model's weights cached. */
bool plan_cached_elsewhere (const struct fleet_server *server,
                            const struct fleet_model *model);
/**
 * plan_eviction() - Chooses the replica to unload first in order to free
 * memory: a single one that is large enough, or the first of several,
 * whichever costs less.
 * @for_model: the model that needs the memory.
 * @model_need: its need for replicas.
 * @missing_mb: memory to free.
 * @cost_ms: receives the cost of all evictions, as time that calls wait.
 *
 * Returns NULL when the memory cannot be freed, so that no replica is evicted
 * without effect.
 */
const struct replica *plan_eviction (const struct fleet_server *server,
                                     const struct fleet_model *for_model,
                                     const struct replica_need *model_need,
                                     uint64_t now_ms, double missing_mb,
                                     double *cost_ms);

/* ---- plan_step.c ---- */

/**
 * struct step - the next order towards a replica of a model on a server.
 * @remove: the replica to unload first; NULL to load the model now.
 * @cost_ms: estimated time until the replica is ready, plus penalties.
 * @duration_ms: expected duration of the load.
 */
struct step
{
  struct fleet_server *server;
  const struct replica *remove;
  double cost_ms;
  uint32_t duration_ms;
  enum weights weights;
};

/** plan_step_on() - Computes the step on one server. Returns false when the
 * server cannot get a replica of the model now. */
bool plan_step_on (struct fleet *fleet, struct fleet_server *server,
                   const struct fleet_model *model,
                   const struct replica_need *model_need,
                   const struct cold_admission *admission, uint64_t now_ms,
                   struct step *out);
/** plan_best_step() - Computes the step with the lowest cost over all servers.
 * Returns false when no server can get a replica of the model now. */
bool plan_best_step (struct fleet *fleet, struct fleet_model *model,
                     const struct cold_admission *admission, uint64_t now_ms,
                     struct step *out);
