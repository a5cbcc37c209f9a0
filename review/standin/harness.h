#pragma once

/* Shared parts of the review's cases: processes, records, a plain HTTP/1.1
   client, a stand-in server, and a proxy in front of the store. */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define EXIT_HELD 0
#define EXIT_BROKEN 1
#define EXIT_NOT_RUN 2

#define NODES_MAX 4
#define ID_MAX 64

/* ---- time, record, end of a case ---- */

/** harness_start() - open the record and the temporary folder. The case's
 * folder is the first argument of the program. Ends the program after
 * @limit_s. */
void harness_start (int argc, char **argv, double limit_s);
/** trouble() - false if TROUBLE=0 is set: run without the disruption. */
bool trouble (void);
/** now_s() - seconds since harness_start(), by the monotonic clock. */
double now_s (void);
void sleep_until (double at_s);
/** rec() - write a line with the time to the record. */
void rec (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/** verdict() - write the result, end all processes, and exit. */
void verdict (int code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3), noreturn));

/* ---- processes ---- */

int free_port (void);
/** start_process() - start a program of the project; its output goes to the
 * temporary folder. @env: NAME=VALUE strings besides PATH. */
pid_t start_process (const char *name, char *const argv[], char *const env[]);
/** process_end() - returns true if the process has ended, with its status. */
bool process_end (pid_t pid, int *status);
void stop_process (pid_t pid);

/* ---- HTTP ---- */

/** struct answer - the answer to a request.
 * @status: 0 if there was no head.
 * @complete: the whole body has arrived.
 * @close: the connection can't be used again. */
struct answer
{
  int status;
  bool complete;
  bool close;
  char body[4096];
  size_t len;
};

int connect_to (int port);
int listen_on (int port);
/** http_exchange() - send a request on an open connection and read the answer.
 * @extra: further header lines, each with CRLF; may be "". Returns false if
 * the connection ended before the whole answer. */
bool http_exchange (int fd, const char *method, const char *path,
                    const char *host, const char *extra, const char *body,
                    struct answer *out);
/** http_call() - likewise on a connection of its own. */
bool http_call (int port, const char *method, const char *path,
                const char *host, const char *extra, const char *body,
                struct answer *out);

/* ---- the store and the configuration ---- */

extern int store_port;
/** store_start() - start the project's stand-in for the store. */
void store_start (void);
void store_create (const char *kind, const char *name, const char *spec);
void store_replace (const char *kind, const char *name, const char *spec);
void store_delete (const char *kind, const char *name);

/* ---- nodes ---- */

struct node
{
  char name[24];
  char domain[16];
  int front_port;
  int ready_port;
  int metrics_port;
  int peer_port;
  int platform_port;
  pid_t pid;
  double started_s;
  int ends;
};

/** node_init() - choose the ports of a node. @platform_port: of the store, or
 * of a proxy in front of it. */
void node_init (struct node *n, int index, int platform_port);
void node_start (struct node *n);
/** node_watch() - restart a node that has ended by itself, a second later. */
void node_watch (struct node *n);
bool node_ready (const struct node *n);
/** node_wait_ready() - wait until the node is ready; ends the case with 2 if
 * it isn't within 10 s. */
void node_wait_ready (const struct node *n);

/* ---- a stand-in server of a plain service ---- */

struct server;
/** struct server_request - a request as the server received it. */
struct server_request
{
  struct server *server;
  char method[16];
  char path[256];
  char id[ID_MAX];
  double at_s;
  double deadline_ms;
};

/** struct server - a server; serves until the program ends.
 * @run: called for each request that is executed, before its work. Returns
 *   false if the connection is to be closed without an answer after the work.
 */
struct server
{
  char id[ID_MAX];
  char service[32];
  char domain[16];
  int port;
  int slots;
  double work_ms;
  bool (*run) (const struct server_request *request);
  int listener;
};

void server_start (struct server *s);
/** server_entry() - the entry of the server in the store. */
void server_entry (const struct server *s, char *out, size_t size);
/** server_register() - write the server's entry to the store. */
void server_register (const struct server *s);

/* ---- a proxy in front of the store ---- */

/** proxy_start() - returns the port of a proxy that forwards connections to
 * the store. */
int proxy_start (void);
/** proxy_silence() - from now on nothing passes on the connections that are
 * open now, which stay open. New connections work. Returns their number. */
int proxy_silence (void);
