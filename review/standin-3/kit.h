#pragma once

/* Helpers of the review's scripts: processes, HTTP over loopback, the record
   and the verdict. */

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define NODES_MAX 4

/* Exit codes of a script. */
enum verdict
{
  HELD = 0,
  BROKEN = 1,
  NOT_RUN = 2,
};

struct node
{
  pid_t pid;
  int front;
  int ready;
  int metrics;
  int peer;
  int store; /* port at which the node finds the store */
  char name[24];
};

extern struct node nodes[NODES_MAX];
extern int store_port;
extern bool trouble; /* false with TROUBLE=0 */

/** kit_begin() - open the record in the folder, make a temporary folder, and
 * start the project's stand-in of the store with the flags. */
void kit_begin (const char *folder, char *const *store_flags);
/** kit_end() - end all processes, remove the temporary folder, exit. */
void kit_end (enum verdict v) __attribute__ ((noreturn));
/** kit_fail() - likewise, because the script can't run. */
void kit_fail (const char *what) __attribute__ ((noreturn));

long now_ms (void);
void sleep_ms (long ms);
void rec (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));
/** tmp_path() - path of a file in the temporary folder. */
const char *tmp_path (const char *name);
int free_port (void);

/** spawn() - start a process; it ends with this one. */
pid_t spawn (char *const *argv, char *const *env, const char *out);
/** end_process() - signal a process that spawn() started, and wait for it. */
void end_process (pid_t pid, int sig);
/** running() - returns true while such a process has not ended. */
bool running (pid_t pid);

/** start_node() - start a node with the command of the deploy file.
 * @store: port of the store, or of a proxy in front of it. */
void start_node (int i, int store);
/** wait_ready() - wait until the node answers 200 to readiness checks. */
bool wait_ready (int i, long timeout_ms);

struct reply
{
  int status; /* 0: no whole response */
  bool complete;
  char *text; /* the head and the body as received; freed by the caller */
  size_t len;
  char *body; /* in @text */
};

/** http() - send a request on a new connection, and read the response to its
 * end. @headers are whole lines with their ends. */
struct reply http (int port, const char *method, const char *path,
                   const char *headers, const char *body, long timeout_ms);
/** put_object() - create or replace an object, as the operator or a server
 * does. Returns false without an acknowledgement. */
bool put_object (const char *kind, const char *name, const char *spec);
int connect_to (int port);

/* ---- proxy in front of the store ---- */

struct proxy;

/** proxy_start() - forward connections from a port of its own to another one.
 */
struct proxy *proxy_start (int to);
int proxy_port (const struct proxy *p);
/** proxy_set_silent() - pass on nothing, and keep all connections open. */
void proxy_set_silent (struct proxy *p, bool silent);
