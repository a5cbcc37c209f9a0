#pragma once

#include "cluster.h"

/* A small installation on the users' platform for end-to-end tests: the object
   store, plain servers and model servers, and nodes. Its configuration has the
   routes /plain/ (idempotent, 2 attempts), /once/ (not idempotent), /stream/
   (resumable) and /whole/ (a stream that may not be resumed) at the host
   test.example, the services "plain" and "lm", and the models m1 to m4, of
   which a server holds two. */

#define EDGE_CALL_MS 8000

struct edges
{
  struct cluster *cluster;
  struct cluster_proc *store;
  uint64_t version; /* of the configuration */
};

/** edges_create() - starts the store only. */
struct edges edges_create (void);
void edges_destroy (struct edges *e);
/** edges_configure() - write the configuration; @timeout_ms is that of all
 * routes. */
void edges_configure (struct edges *e, uint32_t timeout_ms);
/** edges_put() - write an object as the operator or a server does. */
void edges_put (const struct edges *e, const char *kind, const char *name,
                const char *spec);
/** edges_delete() - remove an object. */
void edges_delete (const struct edges *e, const char *kind, const char *name);
/** edges_register() - write a server's entry. */
void edges_register (const struct edges *e, const struct cluster_proc *server,
                     const char *state, const char *models);
/** edges_faults() - set faults of the store. */
void edges_faults (const struct edges *e, const char *json);
/** edges_call() - a call with an id of its own; @model may be NULL. */
struct cluster_reply edges_call (const struct cluster_proc *edge,
                                 const char *method, const char *path,
                                 const char *id, const char *model,
                                 const char *body);
/** edges_begin() - likewise, in a thread of its own. */
struct cluster_call *edges_begin (const struct cluster_proc *edge,
                                  const char *method, const char *path,
                                  const char *id, const char *model,
                                  const char *body);
/** edges_runs() - how often a server ran the call with the id. */
json_int_t edges_runs (const struct cluster_proc *server, const char *id);
