#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* What the platform tells about routes, services and servers. All strings are
   heap-owned by the struct that holds them. */

enum call_kind
{
  CALL_IDEMPOTENT,     /* may run more than once */
  CALL_NON_IDEMPOTENT, /* runs at most once */
  CALL_STREAM,         /* server-sent events; may run again if resumable */
};

/** struct route_target - a service that takes a share of a route's calls. */
struct route_target
{
  struct str service;
  uint32_t weight;
};

/**
 * struct route - where calls to a host and path prefix go.
 * @timeout_ms: a call is answered by then, whatever the answer is.
 * @target_ms: latency objective; for a stream, of the first event.
 * @event_gap_ms: longest pause between events that is still on time.
 * @max_attempts: servers that one call may be sent to.
 * @priority: 0 is the most urgent.
 * @resumable: a stream may go on at another server after its last event.
 */
struct route
{
  struct str name;
  struct str host;
  struct str prefix;
  enum call_kind kind;
  uint32_t timeout_ms;
  uint32_t target_ms;
  uint32_t event_gap_ms;
  uint32_t max_attempts;
  uint32_t priority;
  bool resumable;
  struct route_target *targets;
  size_t target_count;
};

/**
 * struct model_spec - a model that an engine service can load.
 * @load_ms: duration of a load from the weight store.
 * @disk_load_ms: duration when the server's disk has the weights.
 * @memory_load_ms: duration when the server's memory has them.
 */
struct model_spec
{
  struct str name;
  double weights_mb;
  uint32_t load_ms;
  uint32_t disk_load_ms;
  uint32_t memory_load_ms;
  uint32_t adapter_count;
  double adapter_mb;
};

/**
 * struct engine_spec - limits of each model server of a service.
 * @batch: calls that run at once.
 * @kv_tokens: memory for tokens of running calls and kept prompts.
 * @loads_per_s: loads from the weight store that all servers may begin.
 */
struct engine_spec
{
  uint32_t batch;
  uint64_t kv_tokens;
  double weights_mb;
  uint32_t adapter_slots;
  double loads_per_s;
  struct model_spec *models;
  size_t model_count;
};

/** struct service - a group of servers; @engine is NULL for a plain one. */
struct service
{
  struct str name;
  uint32_t max_connections;
  struct engine_spec *engine;
};

/** struct client_limits - bounds on what clients send. */
struct client_limits
{
  uint64_t header_bytes;
  uint64_t body_bytes;
  uint32_t header_ms;
  uint32_t idle_ms;
};

/** struct routing - one version of the operators' configuration. */
struct routing
{
  uint64_t version;
  struct route *routes;
  size_t route_count;
  struct service *services;
  size_t service_count;
  struct client_limits limits;
};

void routing_destroy (struct routing *routing);
/** routing_find() - route of a call: longest prefix among those of the host.
 * @host: value of the Host header; a port and letter case do not matter.
 * @path: request target.
 *
 * Returns NULL when no route matches.
 */
const struct route *routing_find (const struct routing *routing,
                                  struct str host, struct str path);
const struct service *routing_service (const struct routing *routing,
                                       struct str name);
/** route_pick() - service for a call.
 * @random: any number; the same one picks the same service.
 */
struct str route_pick (const struct route *route, uint64_t random);
/** engine_model() - spec of a model by name, or NULL. */
const struct model_spec *engine_model (const struct engine_spec *engine,
                                       struct str name);

/* A server that does not take a connection in this time is dark or cut off. */
#define SERVER_CONNECT_MS 250

enum server_state
{
  SERVER_READY,
  SERVER_LEAVING,
};

/** struct held_model - a model in a server's accelerator memory. */
struct held_model
{
  struct str name;
  struct str *adapters;
  size_t adapter_count;
};

/** struct name_list - heap-owned names. */
struct name_list
{
  struct str *names;
  size_t count;
};

/**
 * struct server_entry - a server's description of itself.
 * @id: of this start of the server.
 * @started_ms: Unix time of the start; 0 when unknown. Tells starts under one
 *   id apart.
 * @sequence: rises with each entry that the server writes.
 * @models: held now, as far as the server knew when it wrote the entry.
 * @in_memory: models whose weights are in the server's host memory.
 * @on_disk: models whose weights are on the server's disk.
 */
struct server_entry
{
  struct str id;
  struct str service;
  struct str address;
  struct str domain;
  enum server_state state;
  uint64_t started_ms;
  uint64_t sequence;
  uint32_t slots;
  struct held_model *models;
  size_t model_count;
  struct name_list in_memory;
  struct name_list on_disk;
};

void server_entry_free (struct server_entry *entry);

/**
 * struct server_report - a model server's state, some hundred ms old.
 * @order_count: orders accepted since the start.
 * @busy: an order to load or unload a model is being carried out.
 * @coming: adapters on their way, as "MODEL/ADAPTER".
 */
struct server_report
{
  uint64_t started_ms;
  uint64_t order_count;
  bool busy;
  uint32_t queued;
  uint32_t running;
  struct held_model *models;
  size_t model_count;
  struct name_list coming;
  struct name_list in_memory;
  struct name_list on_disk;
};

void server_report_free (struct server_report *report);
void held_models_free (struct held_model *models, size_t count);
void name_list_free (struct name_list *list);
/** name_list_copy() - heap copy of names; free with name_list_free(). */
struct name_list name_list_copy (const struct str *names, size_t count);
bool name_list_has (const struct name_list *list, struct str name);
