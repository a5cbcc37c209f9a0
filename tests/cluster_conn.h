#pragma once

#include "cluster.h"

/* Client connections of end-to-end tests that write requests byte by byte and
   read the answers as they come. */

#define CONN_WAIT_MS 15000

/**
 * struct connection - a client's connection to a node.
 * @received: bytes that belong to no answer yet.
 */
struct connection
{
  int fd;
  struct buf received;
};

/**
 * struct answer - an answer, or the beginning of one.
 * @status: 0 if the connection ended before a whole head.
 * @body: the beginning of a body that was sent with its length.
 */
struct answer
{
  int status;
  bool whole;
  bool retry_after;
  bool closes;
  char body[256];
};

/** connection_open() - connect to a node.
 * @receive_bytes: size of the receive buffer; 0 for the default.
 */
struct connection connection_open (const struct cluster_proc *node,
                                   int receive_bytes);
void connection_close (struct connection *c);
/** connection_send() - send a text. Returns false if it can't be sent whole at
 * once. */
bool connection_send (const struct connection *c, const char *text);
/** connection_receive() - receive some bytes. Returns false at the end of the
 * connection, or after CONN_WAIT_MS. */
bool connection_receive (struct connection *c);
/** connection_read_answer() - read the next answer that is not interim. */
struct answer connection_read_answer (struct connection *c);
