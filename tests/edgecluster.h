#pragma once

#include "cluster.h"

/* Harness of end-to-end tests on the users' platform: the object store, plain
   servers, model servers and nodes. The configuration has two services:
   "plain", and "lm" with the models m1 to m4, two of which fit into the memory
   of a server. The hostname test.example has these routes:
   /plain/   idempotent, 2 attempts
   /once/    not idempotent
   /stream/  a resumable stream, 2 attempts
   /stream3/ a resumable stream, 3 attempts
   /whole/   a stream that must not be resumed
   /vN/      idempotent, 1 attempt; only in version N of the configuration
   /open/    idempotent, 1 attempt, needs no key */

#define EDGE_CALL_TIMEOUT_MS 8000

struct edgecluster
{
  struct cluster *cluster;
  struct cluster_proc *store;
  uint64_t version;               /* of the configuration to write next */
  uint32_t max_body_bytes;        /* limit of requests; 0 for 1 MiB */
  const char *const *more_models; /* of "lm", NULL-terminated; may be NULL */
  const char *tenants;            /* JSON list; NULL for none */
};

/** edgecluster_create() - create the cluster and start only its object store.
 */
struct edgecluster edgecluster_create (void);
/** edgecluster_create_with() - likewise, with flags for the store. */
struct edgecluster edgecluster_create_with (const char *const *store_flags);
void edgecluster_destroy (struct edgecluster *e);
/** edgecluster_configure() - write the next version of the configuration, with
 * @timeout_ms as the timeout of all routes. */
void edgecluster_configure (struct edgecluster *e, uint32_t timeout_ms);
/** edgecluster_configure_idle() - likewise, with a limit for idle connections.
 */
void edgecluster_configure_idle (struct edgecluster *e, uint32_t timeout_ms,
                                 uint32_t idle_timeout_ms);
/** edgecluster_put_object() - create or replace an object, as the operator or
 * a server does. @spec is JSON. */
void edgecluster_put_object (const struct edgecluster *e, const char *kind,
                             const char *name, const char *spec);
/** edgecluster_delete_object() - delete an object. */
void edgecluster_delete_object (const struct edgecluster *e, const char *kind,
                                const char *name);
/** edgecluster_put_server() - write a server's entry with the sequence number
 * 1; @models is a JSON array. */
void edgecluster_put_server (const struct edgecluster *e,
                             const struct cluster_proc *server,
                             const char *state, const char *models);
/** edgecluster_put_server_seq() - likewise with a sequence number. */
void edgecluster_put_server_seq (const struct edgecluster *e,
                                 const struct cluster_proc *server,
                                 const char *state, const char *models,
                                 uint64_t seq);
/** edgecluster_put_server_version() - likewise, with the version of the
 * server's software; it is "v1" otherwise. */
void edgecluster_put_server_version (const struct edgecluster *e,
                                     const struct cluster_proc *server,
                                     const char *state, const char *models,
                                     const char *version);
/** edgecluster_put_server_slots() - write the entry of a server that is ready,
 * with the number of calls that it runs at once. */
void edgecluster_put_server_slots (const struct edgecluster *e,
                                   const struct cluster_proc *server,
                                   int slots, const char *models);
/** edgecluster_put_full_server() - write the entry of a plain server that has
 * no slots, so that its calls wait. */
void edgecluster_put_full_server (const struct edgecluster *e,
                                  const struct cluster_proc *server);
/** edgecluster_set_faults() - replace the faults that the store injects.
 *
 * With "copy" the store also keeps a copy of its objects and revision, and
 * with "restore" it goes back to the copy. */
void edgecluster_set_faults (const struct edgecluster *e, const char *json);
/** edgecluster_call() - send a call with @id as its attempt id and wait for
 * the reply; @model may be NULL. */
struct cluster_reply edgecluster_call (const struct cluster_proc *edge,
                                       const char *method, const char *path,
                                       const char *id, const char *model,
                                       const char *body);
/** edgecluster_call_from() - likewise, without a model, from a client at the
 * loopback address @source. */
struct cluster_reply edgecluster_call_from (const struct cluster_proc *edge,
                                            const char *source,
                                            const char *method,
                                            const char *path, const char *id,
                                            const char *body);
/** edgecluster_call_for() - likewise, from a client that leaves after
 * @timeout_ms. */
struct cluster_reply edgecluster_call_for (const struct cluster_proc *edge,
                                           const char *method,
                                           const char *path, const char *id,
                                           const char *body,
                                           uint32_t timeout_ms);
/** edgecluster_call_prompt() - likewise with a model, m1, and the parts of the
 * prompt as ID:TOKENS pairs. */
struct cluster_reply edgecluster_call_prompt (const struct cluster_proc *edge,
                                              const char *path, const char *id,
                                              const char *parts);
/** edgecluster_take_up() - take up a stream after the event @last_event, with
 * the prompt "prompt" and the model m1.
 * @resumes: id of the call that brought the first event; may be NULL.
 */
struct cluster_reply edgecluster_take_up (const struct cluster_proc *edge,
                                          const char *path, const char *id,
                                          const char *resumes, int last_event);
/** edgecluster_call_begin() - send such a call from a new thread; see
 * cluster_http_start(). */
struct cluster_request *
edgecluster_call_begin (const struct cluster_proc *edge, const char *method,
                        const char *path, const char *id, const char *model,
                        const char *body);
/** edgecluster_run_count() - return how often a server ran the call with the
 * id. */
json_int_t edgecluster_run_count (const struct cluster_proc *server,
                                  const char *id);
/** edgecluster_whole_stream() - return the complete stream of a model server,
 * the events 1 to 8. */
struct str edgecluster_whole_stream (void);
/** edgecluster_log_line() - return the number of the first line with all
 * @words in the log of a node, counted from 1, or 0 if there is none. */
int edgecluster_log_line (const struct cluster_proc *edge,
                          const char *const *words);
/** edgecluster_wait_logged() - wait until the log of a node has a line with
 * all @words, which NULL ends; false after a timeout. A node logs a call only
 * after it sent the response. */
bool edgecluster_wait_logged (const struct cluster_proc *edge,
                              const char *const *words);
