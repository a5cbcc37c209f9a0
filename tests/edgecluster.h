#pragma once

#include "cluster.h"

/* Harness of end-to-end tests on the users' platform: the object store, plain
   servers, model servers and nodes. The configuration has two services:
   "plain", and "lm" with the models m1 to m4, two of which fit into the memory
   of a server. The hostname test.example has these routes:
   /plain/   idempotent, 2 attempts
   /once/    not idempotent
   /stream/  a resumable stream
   /whole/   a stream that must not be resumed */

#define EDGE_CALL_TIMEOUT_MS 8000

struct edges
{
  struct cluster *cluster;
  struct cluster_proc *store;
  uint64_t version; /* of the configuration to write next */
};

/** edges_create() - create the cluster and start only its object store. */
struct edges edges_create (void);
void edges_destroy (struct edges *e);
/** edges_configure() - write the next version of the configuration, with
 * @timeout_ms as the timeout of all routes. */
void edges_configure (struct edges *e, uint32_t timeout_ms);
/** edges_put() - create or replace an object, as the operator or a server
 * does. @spec is JSON. */
void edges_put (const struct edges *e, const char *kind, const char *name,
                const char *spec);
/** edges_delete() - delete an object. */
void edges_delete (const struct edges *e, const char *kind, const char *name);
/** edges_register() - write a server's entry; @models is a JSON array. */
void edges_register (const struct edges *e, const struct cluster_proc *server,
                     const char *state, const char *models);
/** edges_faults() - replace the faults that the store injects. */
void edges_faults (const struct edges *e, const char *json);
/** edges_call() - send a call with @id as its attempt id and wait for the
 * reply; @model may be NULL. */
struct cluster_reply edges_call (const struct cluster_proc *edge,
                                 const char *method, const char *path,
                                 const char *id, const char *model,
                                 const char *body);
/** edges_begin() - send such a call from a new thread; see cluster_begin(). */
struct cluster_call *edges_begin (const struct cluster_proc *edge,
                                  const char *method, const char *path,
                                  const char *id, const char *model,
                                  const char *body);
/** edges_runs() - return how often a server ran the call with the id. */
json_int_t edges_runs (const struct cluster_proc *server, const char *id);
