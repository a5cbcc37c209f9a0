#pragma once

/* Parts of the plan of models; included by edge/plan*.c only. */

#include "edge/fleet_impl.h"

/* An unload waits for calls that run; it is asked about after this time. */
#define UNLOAD_MS 50
/* Time until the end of an order is known from a report. */
#define ORDER_END_MS 150
/* A load from the weight store takes seconds, so replicas that could go for it
   are looked for on all servers at this interval at most. */
#define PLAN_SEARCH_ROOM_MS 100

/* ---- plan_wants.c ---- */

/** plan_want() - what a model wants now.
 * @without: a server whose reserved room does not count; may be NULL. */
struct want plan_want (const struct fleet_model *model,
                       const struct fleet_server *without, uint64_t now_ms);
/** plan_refresh() - bring the wants of all models up to date. */
void plan_refresh (struct fleet *fleet, uint64_t now_ms);
/** plan_first() - the model of a service that needs a replica most, or NULL;
 * plan_next() - the one after it. */
struct fleet_model *plan_first (struct fleet_service *service);
struct fleet_model *plan_next (struct fleet_model *model);
/** plan_need_name() - for the log. */
const char *plan_need_name (enum need need);

/* ---- plan_room.c ---- */

/** plan_replica_elsewhere() - could another server get a replica of the model
 * without the weight store. */
bool plan_replica_elsewhere (const struct fleet_server *server,
                             const struct fleet_model *model);
/** plan_weights_elsewhere() - could another server load the model without the
 * weight store. */
bool plan_weights_elsewhere (const struct fleet_server *server,
                             const struct fleet_model *model);
/**
 * plan_make_room() - what to remove first for @missing_mb of room: one replica
 * that is large enough, or several.
 * @want: of the model that the room is for.
 * @cost_ms: in time that calls wait for it.
 *
 * Returns NULL when the room cannot be made, so that nothing goes in vain.
 */
const struct replica *plan_make_room (const struct fleet_server *server,
                                      const struct fleet_model *for_whom,
                                      const struct want *want, uint64_t now_ms,
                                      double missing_mb, double *cost_ms);

/* ---- plan_step.c ---- */

/** struct step - a step towards a replica of a model on one server.
 * @remove: the replica to unload first; NULL: load at once. */
struct step
{
  struct fleet_server *server;
  const struct replica *remove;
  double cost_ms;
  uint32_t takes_ms;
  enum weights weights;
};

/** plan_step_on() - the step on one server, if there is one. */
bool plan_step_on (struct fleet *fleet, struct fleet_server *server,
                   const struct fleet_model *model, const struct want *want,
                   const struct cold_gate *gate, uint64_t now_ms,
                   struct step *out);
/** plan_best_step() - the step that brings a replica soonest, if any. */
bool plan_best_step (struct fleet *fleet, struct fleet_model *model,
                     const struct cold_gate *gate, uint64_t now_ms,
                     struct step *out);
