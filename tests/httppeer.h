#pragma once

#include <uv.h>

#include "http.h"
#include "platform/orders.h"

/* A client of src/http.c with its own event loop, and a listening socket that
   takes the place of its peer. */

/** struct peer_outcome - what became of a request; context of its callbacks.
 * @wanted: the request is still to be sent.
 * @result: of an order only. */
struct peer_outcome
{
  bool wanted;
  bool done;
  bool sent;
  int code;
  int status;
  enum order_result result;
};

/**
 * struct peer - a client and its peer.
 * @addr: ip:port of the socket.
 */
struct peer
{
  uv_loop_t loop;
  struct http *http;
  int fd;
  struct str addr;
};

void peer_open (struct peer *p);
/** peer_run_until() - run the loop until @done is set. */
void peer_run_until (struct peer *p, const bool *done);
/** peer_stop() - close the client and end its loop. */
void peer_stop (struct peer *p);
/** peer_close() - free the client, after peer_stop(), and close the socket. */
void peer_close (struct peer *p);
/** peer_read_request() - read a request whose body has no empty line. Returns
 * false if the connection was closed before. */
bool peer_read_request (int fd);
/** peer_read_request_text() - likewise, and store its text, null-terminated.
 */
bool peer_read_request_text (int fd, char *out, size_t size);

/* Callbacks of requests with a struct peer_outcome as their context. */
bool peer_is_wanted (void *ctx);
void peer_on_done (void *ctx, struct http_call *call, struct err err,
                   int status, bool sent, struct str body);
void peer_on_order_done (void *ctx, enum order_result result);

/**
 * struct peer_exchange - a request and its answer.
 * @call: part of the request's text.
 * @era: of the store, as the answer names it.
 */
struct peer_exchange
{
  const char *call;
  const char *status;
  unsigned era;
  const char *body;
};

/**
 * struct peer_script - exchanges on one connection, which ends with an
 * exchange without a call, or with @count.
 * @fd: listening socket.
 * @unexpected: a request was not the next one of the script.
 * @answered: number of answers sent.
 */
struct peer_script
{
  int fd;
  const struct peer_exchange *exchanges;
  size_t count;
  bool unexpected;
  _Atomic size_t answered;
};

/** peer_run_script() - accept a connection and answer its requests, and none
 * after the last one; a thread's function. @ctx: struct peer_script. */
void *peer_run_script (void *ctx);
