#pragma once

#include "cluster.h"

/* A small whole system for end-to-end tests: a store, 4 engines, a plain
   service and 4 nodes, with the lists of tests/lists/small applied. */

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

/* What a test may vary; NULL and 0 mean the usual. */
struct fleet_options
{
  const char *const *node_flags;
  const char *const *engine_flags;
  const char *const *service_flags;
  const char *uses; /* other list of uses */
};

/* Node flags with which a lost lease passes on within 3 s. */
extern const char *const fleet_short_leases[];

/** fleet_start() - false when a part did not come up; stop it all the same. */
bool fleet_start (struct fleet *f, const struct fleet_options *options);
void fleet_stop (struct fleet *f);

/** fleet_chat() - chat completion of the customer "opera" at a node. */
struct cluster_reply fleet_chat (const struct cluster_proc *node,
                                 const char *model, const char *text,
                                 bool stream);
struct cluster_call *fleet_chat_begin (const struct cluster_proc *node,
                                       const char *model, const char *text,
                                       bool stream);
/** fleet_release() - POST /services/stage/release with a key (or NULL). */
struct cluster_reply fleet_release (const struct cluster_proc *node,
                                    const char *key, const char *body);
struct cluster_call *fleet_release_begin (const struct cluster_proc *node,
                                          const char *key, const char *body);
/** fleet_whole() - is it a whole streamed or plain answer with the text. */
bool fleet_whole (const struct cluster_reply *r, const char *text);
/** fleet_ran() - value of the header X-Galenagate-Ran. */
bool fleet_ran (const struct cluster_reply *r, const char *ran);
/** fleet_sum() - sum of a number in GET /counts over the engines that run. */
json_int_t fleet_sum (const struct fleet *f, const char *member);
/** fleet_runs() - how often the service ran the call with a key. */
json_int_t fleet_runs (const struct fleet *f, const char *key);
/** fleet_holder() - node that holds a lease according to the store, or NULL.
 */
struct cluster_proc *fleet_holder (const struct fleet *f, const char *lease);
/** fleet_running() - engines that have not died. */
size_t fleet_running (const struct fleet *f);
/** fleet_check_limits() - no engine and not the weight store saw memory or
    replicas exceeded. */
void fleet_check_limits (const struct fleet *f);
