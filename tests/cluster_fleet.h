#pragma once

#include "cluster.h"

/* A small complete system for end-to-end tests: a store, 4 engines, a plain
   service and 4 nodes, with the lists in tests/lists/small applied. */

#define FLEET_NODES 4
#define FLEET_ENGINES 4
#define FLEET_CALL_MS 20000

struct fleet
{
  struct cluster *cluster;
  struct cluster_proc *store;
  struct cluster_proc *engines[FLEET_ENGINES];
  struct cluster_proc *service;
  struct cluster_proc *nodes[FLEET_NODES];
};

/** struct fleet_options - settings of a test; NULL selects the default. */
struct fleet_options
{
  const char *const *node_flags;
  const char *const *engine_flags;
  const char *const *service_flags;
  const char *uses; /* path of the list of uses */
};

/* Node flags with which another node takes over a lost lease within 3 s. */
extern const char *const fleet_short_leases[];

/**
 * fleet_start() - start the system.
 * @options: NULL selects the defaults.
 *
 * Returns false if a process did not become ready or the hosts or lists could
 * not be written; fleet_stop() must be called in this case too.
 */
bool fleet_start (struct fleet *f, const struct fleet_options *options);
void fleet_stop (struct fleet *f);

/** fleet_chat() - request a chat completion as customer "opera". */
struct cluster_reply fleet_chat (const struct cluster_proc *node,
                                 const char *model, const char *text,
                                 bool stream);
struct cluster_request *fleet_chat_start (const struct cluster_proc *node,
                                          const char *model, const char *text,
                                          bool stream);
/**
 * fleet_release() - send POST /services/stage/release to a node.
 * @key: idempotency key, or NULL for none.
 */
struct cluster_reply fleet_release (const struct cluster_proc *node,
                                    const char *key, const char *body);
struct cluster_request *fleet_release_start (const struct cluster_proc *node,
                                             const char *key,
                                             const char *body);
/**
 * fleet_reply_complete() - check that a chat response is complete.
 * @text: the prompt.
 *
 * Returns true if the response, streamed or not, succeeded, contains the hash
 * of the prompt and, if streamed, the final [DONE].
 */
bool fleet_reply_complete (const struct cluster_reply *r, const char *text);
/** fleet_ran() - return true if the header X-Galenagate-Ran equals @ran. */
bool fleet_ran (const struct cluster_reply *r, const char *ran);
/** fleet_sum_counts() - sum of a member of GET /counts over the running
 * engines. */
json_int_t fleet_sum_counts (const struct fleet *f, const char *member);
/** fleet_execution_count() - how often the service executed the call with a
 * key. */
json_int_t fleet_execution_count (const struct fleet *f, const char *key);
/**
 * fleet_lease_holder() - node that holds a lease according to the store.
 *
 * Returns NULL if there is none.
 */
struct cluster_proc *fleet_lease_holder (const struct fleet *f,
                                         const char *lease);
/** fleet_running_engines() - number of engines that have not exited. */
size_t fleet_running_engines (const struct fleet *f);
/**
 * fleet_check_limits() - assert that no limit was violated.
 *
 * The running engines must not have exceeded their memory, nor the replica
 * limit by the count of the weight store, nor received an attempt twice.
 */
void fleet_check_limits (const struct fleet *f);
