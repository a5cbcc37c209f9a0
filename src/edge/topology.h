#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "edge/tenants.h"
#include "str.h"

/* Routes, services and servers as the platform describes them. All strings are
   heap-owned by the struct that holds them. */

enum call_kind
{
  CALL_IDEMPOTENT,     /* may run more than once */
  CALL_NON_IDEMPOTENT, /* runs at most once */
  CALL_STREAM,         /* server-sent events; may run again if resumable */
};

/** struct route_target - a service that receives a weighted share of a route's
 * calls. */
struct route_target
{
  struct str service;
  uint32_t weight;
};

/**
 * struct route - routing of calls to a host and path prefix.
 * @timeout_ms: time limit for the answer to a call, which may be an error.
 * @latency_objective_ms: latency objective; for a stream, of its first event.
 * @event_gap_ms: objective for the longest pause between two events.
 * @max_attempts: maximum number of servers that one call is sent to.
 * @priority: 0 is the most urgent.
 * @resumable: a broken stream may be resumed at another server after the last
 *   event received.
 * @allow_anonymous: calls need no key of a tenant.
 */
struct route
{
  struct str name;
  struct str host;
  struct str prefix;
  enum call_kind kind;
  uint32_t timeout_ms;
  uint32_t latency_objective_ms;
  uint32_t event_gap_ms;
  uint32_t max_attempts;
  uint32_t priority;
  bool resumable;
  bool allow_anonymous;
  struct route_target *targets;
  size_t target_count;
};

/**
 * struct model_spec - a model that an engine service can load.
 * @load_ms: duration of a load from the weight store.
 * @disk_load_ms: duration of a load with the weights on the server's disk.
 * @memory_load_ms: duration with the weights in the server's host memory.
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
 * @batch: maximum number of calls running at once.
 * @kv_tokens: capacity, in tokens, for running calls and cached prompts.
 * @loads_per_s: rate at which all servers together may start loads from the
 *   weight store.
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

/** struct service - a group of servers; @engine is NULL for a plain service,
 * which holds no models. */
struct service
{
  struct str name;
  uint32_t max_connections;
  struct engine_spec *engine;
};

/** struct client_limits - limits on clients' requests and connections; 0 when
 * not configured. */
struct client_limits
{
  uint64_t header_bytes;
  uint64_t body_bytes;
  uint32_t header_ms;
  uint32_t idle_ms;
};

/**
 * struct routing - one version of the operators' configuration.
 * @tenants: NULL if the configuration has no list of tenants; calls need no
 *   key then.
 */
struct routing
{
  uint64_t version;
  struct route *routes;
  size_t route_count;
  struct service *services;
  size_t service_count;
  struct client_limits limits;
  struct tenants *tenants;
};

void routing_destroy (struct routing *routing);
/**
 * routing_find() - find the route of a call: the one of its host with the
 * longest matching prefix.
 * @host: value of the Host header; port and letter case are ignored.
 * @path: request target.
 *
 * Returns NULL when no route matches.
 */
const struct route *routing_find (const struct routing *routing,
                                  struct str host, struct str path);
const struct service *routing_service (const struct routing *routing,
                                       struct str name);
/** route_key() - hash of the calls that the route takes, which stays when a
 * later configuration sends them elsewhere. */
uint64_t route_key (const struct route *route);
/**
 * route_pick() - pick the service for a call by the route's weights.
 * @random: any number; the same number picks the same service.
 *
 * Returns an empty string if the route has no targets.
 */
struct str route_pick (const struct route *route, uint64_t random);
/** engine_model() - spec of a model by name, or NULL. */
const struct model_spec *engine_model (const struct engine_spec *engine,
                                       struct str name);

/* A server that does not accept a connection within this time is presumed down
   or cut off from this node. */
#define SERVER_CONNECT_MS 250

enum server_state
{
  SERVER_READY,
  SERVER_DRAINING,
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
 * struct server_entry - a server's entry in the store, written by the server.
 * @id: id of the server instance; also the name of the entry.
 * @address: ip:port.
 * @domain: failure domain.
 * @software_version: empty if the entry has none that can be read.
 * @started_ms: Unix time of the server's start, 0 when unknown. Distinguishes
 *   processes that use the same id.
 * @sequence: increases with each entry that the server writes.
 * @models: models held when the server wrote the entry.
 * @in_memory: models whose weights are in the server's host memory.
 * @on_disk: models whose weights are on the server's disk.
 */
struct server_entry
{
  struct str id;
  struct str service;
  struct str address;
  struct str domain;
  struct str software_version;
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
 * struct server_report - a model server's answer to a report request; some
 * hundred ms old.
 * @order_count: orders accepted since the server's start.
 * @busy: the server is carrying out an order to load or unload a model.
 * @loading_adapters: adapters being loaded, as "MODEL/ADAPTER".
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
  struct name_list loading_adapters;
  struct name_list in_memory;
  struct name_list on_disk;
};

void server_report_free (struct server_report *report);
void held_models_free (struct held_model *models, size_t count);
void name_list_free (struct name_list *list);
/** name_list_copy() - Returns a heap copy of the names; free it with
 * name_list_free(). */
struct name_list name_list_copy (const struct str *names, size_t count);
bool name_list_has (const struct name_list *list, struct str name);
