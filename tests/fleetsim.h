#pragma once

#include "edge/fleet.h"

/* Simulated model servers for tests of placement: orders take time, lose their
   answers and are carried out late, servers die, and holders change. The
   servers count what exceeds their memory. */

#define SERVERS 4
#define MODELS 10
#define MODELS_MAX 40
#define MODEL_MB 30
#define SERVER_MB 100
#define ADAPTER_SLOTS 2
#define HELD_MAX 8
#define LATE_MAX 64
#define TICK_MS 10
#define LOAD_MS 600
#define DISK_MS 100
#define COLD_PER_S 3

struct held
{
  char model[16];
  char adapters[HELD_MAX][16];
  int adapter_count;
};

struct server
{
  char id[16];
  uint64_t started_ms;
  uint64_t order_count;
  uint64_t fence;
  struct held held[HELD_MAX];
  int count;
  char on_disk[MODELS_MAX][16];
  int disk_count;
  bool busy;
  bool loading;
  char busy_model[16];
  uint64_t busy_until_ms;
  bool dark; /* answers nobody */
};

/* An order that is on its way to a server, or whose answer was lost. */
struct late
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
  struct server servers[SERVERS];
  struct late late[LATE_MAX];
  size_t late_count;
  uint64_t now;
  uint64_t random;
  uint64_t fence;
  int violations;
  uint64_t cold_starts[4096];
  size_t cold_count;
  unsigned faults; /* of 100 orders */
  /* fleet_next_order(), or what checks it. */
  struct fleet_server *(*next_order) (struct fleet *fleet, uint64_t now_ms,
                                      struct order *out,
                                      struct order_reason *why);
};

/** sim_create() - SERVERS empty servers and MODELS models, all of one size.
 * @faults: of 100 orders, those whose answer is lost.
 */
struct sim sim_create (uint64_t seed, unsigned faults);
struct sim sim_create_with (uint64_t seed, unsigned faults, int model_count);
void sim_destroy (struct sim *m);
/** sim_routing() - a configuration with the first models. */
struct routing *sim_routing (int model_count);
/** sim_draw() - a random number below @below. */
uint32_t sim_draw (struct sim *m, uint32_t below);
/** sim_restart() - a server starts again, empty but for its disk. */
void sim_restart (struct sim *m, int server);
/** sim_take_away() - remove a server from the store's list. */
void sim_take_away (struct sim *m, int server);
/** sim_fill_disks() - all servers but the first have the weights of the models
 * on disk. */
void sim_fill_disks (struct sim *m, int model_count);
/** sim_wish() - calls of "node" that wait; they came since it told last. */
void sim_wish (struct sim *m, const char *model, const char *adapter,
               uint32_t waiting);
/** sim_tick() - let TICK_MS pass. */
void sim_tick (struct sim *m);
/** sim_find_held() - the model on a server, or NULL. */
struct held *sim_find_held (struct server *server, const char *model);
/** sim_holds() - does a server hold the model, and the adapter if one is
 * given. */
bool sim_holds (struct sim *m, const char *model, const char *adapter);
/** sim_live_replicas() - servers that hold the model and answer. */
int sim_live_replicas (struct sim *m, const char *model);
/** sim_most_cold() - most loads from the weight store that began within 5 s.
 */
size_t sim_most_cold (const struct sim *m);
