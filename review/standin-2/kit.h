#pragma once

/* Parts that the cases share: child processes, a small HTTP/1.1 client, the
   configuration of a small deployment, and a model server. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define NODES 4
#define GRACE_MS 8000
#define CONTACT_MS 3000

/* ---- time, record and directories ---- */

/** now_ms() - time since the driver started; the same in all its processes. */
int64_t now_ms (void);
/** record() - append a line to the record, preceded by the time in ms. */
void record (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));
/** start_record() - create the record file, which all processes append to. */
void start_record (const char *path);
/** record_count() - number of lines that contain both texts. */
int record_count (const char *first, const char *second);
/** record_time() - time of the nth line that contains the text; 0 if there are
 * fewer. */
int64_t record_time (const char *text, int nth);
/** record_count_after() - number of later lines that contain the text. */
int record_count_after (const char *text, int64_t after_ms);
/** trouble() - returns false if the run is to do without the disruption. */
bool trouble (void);
/** cannot_run() - ends the driver with status 2. */
void cannot_run (const char *why) __attribute__ ((noreturn));

/* ---- HTTP ---- */

/** struct answer - @status is 0 if the connection ended before a head.
 * @complete: the whole body arrived.
 * @close: the answer says that the connection closes.
 */
struct answer
{
  int status;
  bool complete;
  bool close;
  char body[256];
};

int dial (int port);
bool send_all (int fd, const char *data, size_t len);
/** read_answer() - read one response from a connection. */
struct answer read_answer (int fd);
/** new_id() - a new attempt id. */
void new_id (char out[32]);

/* ---- deployment ---- */

struct node
{
  pid_t pid;
  int front;
};

extern struct node nodes[NODES];

/** start_deployment() - start the store and the nodes, and write the
 * configuration. */
void start_deployment (void);
/** node_ended() - returns true if the node's process has ended. */
bool node_ended (int node);
/** restart_node() - start a node that ended once more, at its addresses. */
void restart_node (int node);
/** await_nodes() - wait until all nodes are ready. */
void await_nodes (void);
/** stop_all() - end all processes that were started. */
void stop_all (void);

/**
 * struct server - a stand-in server in a process of its own.
 * @born: Unix time of its start, in ms.
 */
struct server
{
  int number;
  int port;
  pid_t pid;
  int64_t born;
};

/* Set before servers are started: one that crashes on a part of a prompt sends
   the first event of its answer before. */
extern bool crash_after_event;

/** start_server() - start a server and write its entry to the store.
 * @model: serves streams of the model m1; otherwise a plain service.
 */
void start_server (struct server *server, int number, bool model);
/** server_ended() - returns true if the server's process has ended. */
bool server_ended (struct server *server);
/** restart_server() - start a server that ended once more, at its address. */
void restart_server (struct server *server, bool model);
