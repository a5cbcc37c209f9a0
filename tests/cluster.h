#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <curl/curl.h>
#include <jansson.h>

#include "str.h"

/* Harness for end-to-end tests. Runs one store and any number of engines,
   plain services and nodes as processes on the loopback interface. The kernel
   kills the child processes when the test process dies. Processes are started
   and stopped on the main thread only; cluster_http() may be called on any
   thread. */

#define CLUSTER_ARGS_MAX 24
#define CLUSTER_PROCS_MAX 96
#define CLUSTER_READY_MS 30000

enum cluster_role
{
  CLUSTER_STORE,
  CLUSTER_ENGINE,
  CLUSTER_SERVICE,
  CLUSTER_NODE,
  CLUSTER_OBJECTS, /* object store of the platform */
  CLUSTER_SERVER,  /* server of the platform */
  CLUSTER_EDGE,    /* `galenagate edge`, a node on the platform */
};

/**
 * struct cluster_proc - a child process; a restart keeps its addresses.
 * @url: base URL of its HTTP server, http://ip:port.
 * @bus_addr: ip:port of the bus; set for CLUSTER_NODE only.
 * @ready_url: base URL of the readiness check; set for CLUSTER_EDGE only.
 * @metrics_url: base URL of the metrics; set for CLUSTER_EDGE only.
 * @leaving: cluster_put_hosts() lists the process with the state "leaving".
 * @pid: 0 while the process is not running.
 * @status: status from waitpid() once the process has exited.
 * @log: path of the file that receives standard output and error.
 */
struct cluster_proc
{
  enum cluster_role role;
  char name[32];
  char url[48];
  char bus_addr[32];
  char ready_url[48];
  char metrics_url[48];
  char service[48];
  char domain[48];
  bool leaving;
  pid_t pid;
  int status;
  char *argv[CLUSTER_ARGS_MAX];
  char log[128];
};

struct cluster
{
  char region[48];
  char dir[64];
  int next_port;
  struct cluster_proc *store;
  struct cluster_proc *procs[CLUSTER_PROCS_MAX];
  size_t count;
};

/** struct cluster_reply - an HTTP response; free with cluster_reply_free(). */
struct cluster_reply
{
  CURLcode error;
  long status;
  struct buf headers;
  struct buf body;
};

/* NULL-terminated list of command-line flags, which may be empty, for example
   CLUSTER_FLAGS ("--slots", "2"). */
#define CLUSTER_FLAGS(...)                                                    \
  ((const char *const[]){ __VA_ARGS__ __VA_OPT__ (, ) NULL })

/**
 * cluster_create() - create a cluster without processes.
 *
 * First destroys a cluster that a failed test has left behind.
 */
struct cluster *cluster_create (const char *region);
/**
 * cluster_destroy() - stop and reap all child processes and free the cluster.
 *
 * Keeps the log files if an assertion has failed.
 */
void cluster_destroy (struct cluster *c);

/* Each of the following functions starts a process. All but cluster_node() and
   cluster_edge() wait until it responds, and fail the test if it doesn't;
   cluster_ready() waits for the nodes. The cluster owns the result. */
struct cluster_proc *cluster_store (struct cluster *c,
                                    const char *const *flags);
struct cluster_proc *cluster_engine (struct cluster *c, const char *service,
                                     const char *domain,
                                     const char *const *flags);
struct cluster_proc *cluster_service (struct cluster *c, const char *service,
                                      const char *domain,
                                      const char *const *flags);
struct cluster_proc *cluster_node (struct cluster *c, const char *domain,
                                   const char *const *flags);
/** cluster_objects() - start the object store of the platform. */
struct cluster_proc *cluster_objects (struct cluster *c,
                                      const char *const *flags);
/** cluster_server() - start a server of the platform, with its name as id. */
struct cluster_proc *cluster_server (struct cluster *c, const char *service,
                                     const char *domain,
                                     const char *const *flags);
/** cluster_edge() - start a node on the platform. */
struct cluster_proc *cluster_edge (struct cluster *c, const char *domain,
                                   const char *const *flags);
/**
 * cluster_put_hosts() - write the host list to the store.
 *
 * Lists the running engines and services, each with the state "live" or
 * "leaving". Returns false if the request failed.
 */
bool cluster_put_hosts (struct cluster *c);
/**
 * cluster_apply() - run `galenagate apply`.
 *
 * Returns the exit code, 128 + signal, or -1 after a timeout of 60 s.
 */
int cluster_apply (struct cluster *c, const char *plans, const char *uses,
                   const char *const *flags);
/**
 * cluster_ready() - wait until the readiness checks of all running nodes
 * return 200.
 *
 * Returns false if a node exits or does not become ready within
 * CLUSTER_READY_MS.
 */
bool cluster_ready (struct cluster *c);

/** cluster_program() - path of a program in the test program's directory. */
void cluster_program (char *out, size_t size, const char *name);
/** cluster_signal() - send a signal; false if the process is not running. */
bool cluster_signal (struct cluster_proc *p, int signum);
/**
 * cluster_wait_exit() - wait until a process exits.
 *
 * Returns the exit code, 128 + signal, or -1 after the timeout.
 */
int cluster_wait_exit (struct cluster_proc *p, uint32_t timeout_ms);
/** cluster_kill() - send SIGKILL to a process and reap it. */
void cluster_kill (struct cluster_proc *p);
/**
 * cluster_restart() - start a process again on the same addresses.
 *
 * Kills it first if it is running. Waits until it responds, except for nodes;
 * returns false if it doesn't.
 */
bool cluster_restart (struct cluster_proc *p);

/** cluster_poll_until() - poll until @fn returns true; false after the
 * timeout. */
bool cluster_poll_until (bool (*fn) (void *ctx), void *ctx,
                         uint32_t timeout_ms);

/**
 * cluster_http() - send an HTTP request on a new connection.
 * @headers: NULL-terminated list of header lines; may be NULL.
 * @body: null-terminated or NULL.
 */
struct cluster_reply cluster_http (const struct cluster_proc *p,
                                   const char *method, const char *path,
                                   const char *const *headers,
                                   const char *body, uint32_t timeout_ms);
/** cluster_http_from() - likewise from the loopback address @source; NULL for
 * the default one. */
struct cluster_reply cluster_http_from (const struct cluster_proc *p,
                                        const char *source, const char *method,
                                        const char *path,
                                        const char *const *headers,
                                        const char *body, uint32_t timeout_ms);
/**
 * cluster_header() - value of a response header, or empty if absent.
 * @name: compared without regard to case.
 */
struct str cluster_header (const struct cluster_reply *r, const char *name);
bool cluster_contains (const struct cluster_reply *r, const char *text);
void cluster_reply_free (struct cluster_reply *r);

/**
 * cluster_get_json() - parse the response to GET @path as JSON.
 *
 * Returns NULL on failure; free with json_decref().
 */
json_t *cluster_get_json (const struct cluster_proc *p, const char *path);
/**
 * cluster_json_int() - integer from the JSON response to GET @path.
 * @member: name of the member; "a/b" selects member b of the object a.
 *
 * Returns -1 if there is no such integer.
 */
json_int_t cluster_json_int (const struct cluster_proc *p, const char *path,
                             const char *member);
/** cluster_set_faults() - set the faults to inject: POST /faults to the store.
 */
bool cluster_set_faults (struct cluster *c, const char *json);

/** struct cluster_request - a cluster_http() request in its own thread. */
struct cluster_request;
/** cluster_http_start() - start a request; the arguments but @p are copied. */
struct cluster_request *
cluster_http_start (const struct cluster_proc *p, const char *method,
                    const char *path, const char *const *headers,
                    const char *body, uint32_t timeout_ms);
/** cluster_http_wait() - wait for the response and free @call. */
struct cluster_reply cluster_http_wait (struct cluster_request *call);
