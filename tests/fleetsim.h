#pragma once

#include "edge/fleet.h"

/* Simulated model servers for tests of the placement: orders take time, lose
   their answers or are carried out late, servers restart or become
   unreachable, and the holder changes. The simulation counts loads that exceed
   a server's memory or adapter slots. */

#define SERVERS 4
#define MODELS 10
#define MODELS_MAX 40
#define MODEL_MB 30
#define SERVER_MB 100
#define ADAPTER_SLOTS 2
#define HELD_MAX 8
#define DELAYED_MAX 64
#define TICK_MS 10
#define LOAD_MS 600
#define DISK_MS 100
#define COLD_PER_S 3

/* A model on a simulated server. */
struct sim_replica
{
  char model[16];
  char adapters[HELD_MAX][16];
  int adapter_count;
};

struct sim_server
{
  char id[16];
  uint64_t started_ms;
  uint64_t order_count;
  uint64_t fence;
  struct sim_replica replicas[HELD_MAX];
  int count;
  char on_disk[MODELS_MAX][16];
  int disk_count;
  bool busy;
  bool loading;
  char busy_model[16];
  uint64_t busy_until_ms;
  bool unreachable;
};

/* An order to a server. If its answer is lost, it may be carried out as late
   as @at_ms. */
struct delayed_order
{
  int server;
  uint64_t at_ms;
  uint64_t started_ms;
  struct order order;
  char model[16];
  char adapter[16];
};

struct sim
{
  struct fleet *fleet;
  struct routing *routing;
  struct sim_server servers[SERVERS];
  struct delayed_order delayed[DELAYED_MAX];
  size_t delayed_count;
  uint64_t now;
  uint64_t random;
  uint64_t fence;
  int violations;
  uint64_t cold_starts[4096];
  size_t cold_count;
  unsigned faults; /* percentage of orders whose answer is lost */
  /* fleet_next_order(), or a function that checks its result. */
  struct fleet_server *(*next_order) (struct fleet *fleet, uint64_t now_ms,
                                      struct order *out,
                                      struct order_reason *why);
};

/**
 * sim_create() - Creates SERVERS empty servers and MODELS models of equal
 * size.
 * @faults: percentage of orders whose answer is lost.
 */
struct sim sim_create (uint64_t seed, unsigned faults);
/** sim_create_with() - Like sim_create(), with @model_count models. */
struct sim sim_create_with (uint64_t seed, unsigned faults, int model_count);
void sim_destroy (struct sim *m);
/** sim_routing() - Creates a configuration with the first @model_count models;
 * free it with routing_destroy(). */
struct routing *sim_routing (int model_count);
/** sim_random() - Returns a random number below @below. */
uint32_t sim_random (struct sim *m, uint32_t below);
/** sim_restart() - Restarts a server; only the weights on its disk are kept.
 */
void sim_restart (struct sim *m, int server);
/** sim_remove_server() - Removes a server's entry from the store and makes the
 * server unreachable. */
void sim_remove_server (struct sim *m, int server);
/** sim_fill_disks() - Puts the weights of the first @model_count models on the
 * disks of all servers except the first. */
void sim_fill_disks (struct sim *m, int model_count);
/** sim_add_demand() - Adds new waiting calls to the digest of "node". */
void sim_add_demand (struct sim *m, const char *model, const char *adapter,
                     uint32_t waiting);
/** sim_tick() - Advances the simulation by TICK_MS. */
void sim_tick (struct sim *m);
/** sim_find_replica() - Returns the model on a server, or NULL. */
struct sim_replica *sim_find_replica (struct sim_server *server,
                                      const char *model);
/** sim_holds() - Returns true if a server holds the model, together with the
 * adapter unless @adapter is empty. */
bool sim_holds (struct sim *m, const char *model, const char *adapter);
/** sim_live_replicas() - Returns the number of reachable servers that hold the
 * model. */
int sim_live_replicas (struct sim *m, const char *model);
/** sim_max_cold_loads() - Returns the largest number of loads from the weight
 * store that started within 5 s. */
size_t sim_max_cold_loads (const struct sim *m);
