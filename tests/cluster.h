#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <curl/curl.h>
#include <jansson.h>

#include "str.h"

/* Harness of end-to-end tests: one store and any number of engines, plain
   services and nodes as processes on loopback. Children die with the test
   process. Starting and stopping belongs to the main thread; cluster_http()
   may be used from any thread. */

#define CLUSTER_ARGS_MAX 24
#define CLUSTER_PROCS_MAX 96
#define CLUSTER_READY_MS 30000

enum cluster_role
{
  CLUSTER_STORE,
  CLUSTER_ENGINE,
  CLUSTER_SERVICE,
  CLUSTER_NODE,
  CLUSTER_OBJECTS, /* the platform's object store */
  CLUSTER_SERVER,  /* a server of the platform */
  CLUSTER_EDGE,    /* a node on the platform */
};

/**
 * struct cluster_proc - a child; its addresses survive a restart.
 * @pid: 0 while it does not run.
 * @status: as by waitpid() after it ended.
 */
struct cluster_proc
{
  enum cluster_role role;
  char name[32];
  char url[48];       /* of its HTTP side, http://ip:port */
  char bus_addr[32];  /* nodes only */
  char ready_url[48]; /* edges only: readiness checks */
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

/** struct cluster_reply - free with cluster_reply_free(). */
struct cluster_reply
{
  CURLcode error;
  long status;
  struct buf headers;
  struct buf body;
};

/* Optional flags, for example CLUSTER_FLAGS ("--slots", "2"). */
#define CLUSTER_FLAGS(...)                                                    \
  ((const char *const[]){ __VA_ARGS__ __VA_OPT__ (, ) NULL })

/** cluster_create() - ends a cluster that a failed test left behind. */
struct cluster *cluster_create (const char *region);
/** cluster_destroy() - kill and reap all children; logs stay on a failure. */
void cluster_destroy (struct cluster *c);

/* Each starts a process and waits until it answers; nodes are awaited by
   cluster_ready(). They fail the test if the process does not come up. */
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
/** cluster_objects() - the platform's object store. */
struct cluster_proc *cluster_objects (struct cluster *c);
/** cluster_server() - a server of the platform; its name is its id. */
struct cluster_proc *cluster_server (struct cluster *c, const char *service,
                                     const char *domain,
                                     const char *const *flags);
/** cluster_edge() - a node on the platform, awaited by cluster_ready(). */
struct cluster_proc *cluster_edge (struct cluster *c, const char *domain,
                                   const char *const *flags);
/** cluster_put_hosts() - give the store the engines and services that are to
    be listed: those that run, with their leaving marks. */
bool cluster_put_hosts (struct cluster *c);
/** cluster_apply() - run `galenagate apply`; returns its exit code or -1. */
int cluster_apply (struct cluster *c, const char *plans, const char *uses,
                   const char *const *flags);
/** cluster_ready() - wait until all running nodes answer /readyz with 200. */
bool cluster_ready (struct cluster *c);

/** cluster_program() - path of a program beside this test program. */
void cluster_program (char *out, size_t size, const char *name);
/** cluster_signal() - send a signal; false when the process does not run. */
bool cluster_signal (struct cluster_proc *p, int signum);
/** cluster_wait_exit() - exit code, 128 + signal, or -1 at the timeout. */
int cluster_wait_exit (struct cluster_proc *p, uint32_t timeout_ms);
/** cluster_kill() - SIGKILL and reap. */
void cluster_kill (struct cluster_proc *p);
/** cluster_restart() - start an ended process again on its addresses. */
bool cluster_restart (struct cluster_proc *p);

/** cluster_until() - poll until @fn is true; false at the timeout. */
bool cluster_until (bool (*fn) (void *ctx), void *ctx, uint32_t timeout_ms);

/**
 * cluster_http() - one HTTP call on a new connection.
 * @headers: lines, ended by NULL; may be NULL.
 * @body: null-terminated or NULL.
 */
struct cluster_reply cluster_http (const struct cluster_proc *p,
                                   const char *method, const char *path,
                                   const char *const *headers,
                                   const char *body, uint32_t timeout_ms);
/** cluster_header() - header of a reply by lower-case name, or empty. */
struct str cluster_header (const struct cluster_reply *r, const char *name);
bool cluster_contains (const struct cluster_reply *r, const char *text);
void cluster_reply_free (struct cluster_reply *r);

/** cluster_json() - GET @path as JSON, or NULL; free with json_decref(). */
json_t *cluster_json (const struct cluster_proc *p, const char *path);
/** cluster_count() - a number of GET @path, or -1; "a/b" descends. */
json_int_t cluster_count (const struct cluster_proc *p, const char *path,
                          const char *member);
/** cluster_faults() - POST /faults to the store. */
bool cluster_faults (struct cluster *c, const char *json);

/** struct cluster_call - a cluster_http() in a thread of its own. */
struct cluster_call;
struct cluster_call *cluster_begin (const struct cluster_proc *p,
                                    const char *method, const char *path,
                                    const char *const *headers,
                                    const char *body, uint32_t timeout_ms);
/** cluster_end() - wait for the call and free it. */
struct cluster_reply cluster_end (struct cluster_call *call);
