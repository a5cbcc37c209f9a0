#pragma once

/* Parts of the plan of models; included by edge/plan*.c only. */

#include "edge/fleet_impl.h"

/* An unload waits for calls that run; it is asked about after this time. */
#define UNLOAD_MS 50
/* Time until the end of an order is known from a report. */
#define ORDER_END_MS 150

/* How much a model needs a replica that it lacks. */
enum need
{
  NEED_NONE,
  NEED_SPARE_ROOM, /* not in use: only where room is free */
  NEED_MORE,       /* in use, with fewer replicas than it should have */
  NEED_FIRST,      /* in use, with none */
  NEED_CROWDED, /* likewise with fewer, and its calls slow each other down */
  NEED_WAITED_FOR, /* calls wait, and there is none */
};

/* A model of a service with its replicas and demand. */
struct want
{
  const struct model_spec *spec;
  struct str service;
  const struct wish *wish; /* NULL without demand */
  double rate;
  uint32_t target;
  uint32_t have; /* ready, loading, or with room reserved */
  uint32_t ready;
  double busy; /* calls at once */
  enum need need;
};

/* What all models of a service want, in the order of its configuration. */
struct wants
{
  const struct engine_spec *engine;
  struct want *items;
};

/* ---- plan_wants.c ---- */

/** plan_wants() - what all models of a service want; free @items. */
struct wants plan_wants (const struct fleet *fleet, struct str service,
                         const struct engine_spec *engine, uint64_t now_ms);
/** plan_need_name() - for the log. */
const char *plan_need_name (enum need need);

/* ---- plan_room.c ---- */

/** plan_free_mb() - memory for weights that is free on a server, all its
 * adapter places taken as full. */
double plan_free_mb (const struct fleet_server *server,
                     const struct engine_spec *engine);
/** plan_weights_elsewhere() - could another server load the model without the
 * weight store. */
bool plan_weights_elsewhere (const struct fleet *fleet,
                             const struct fleet_server *server,
                             const struct model_spec *model);
/**
 * plan_make_room() - what to remove first for @missing_mb of room: one replica
 * that is large enough, or several.
 * @cost_ms: in time that calls wait for it.
 *
 * Returns NULL when the room cannot be made, so that nothing goes in vain.
 */
const struct replica *
plan_make_room (const struct fleet *fleet, const struct fleet_server *server,
                const struct wants *all, const struct want *for_whom,
                uint64_t now_ms, double missing_mb, double *cost_ms);
