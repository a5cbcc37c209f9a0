#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "str.h"

/* One TCP connection that carries records; used by bus.c. */

struct busconn;

/**
 * struct busconn_events - callbacks of a connection.
 * @record: a whole record without its mark.
 * @closed: the connection has ended; the object is freed after return.
 *   @connected is false when the connection never came about.
 */
struct busconn_events
{
  void (*record) (void *ctx, struct busconn *conn, struct str record);
  void (*closed) (void *ctx, struct busconn *conn, bool connected);
};

/** busconn_connect() - connect to "ip:port"; NULL on a malformed address. */
struct busconn *busconn_connect (uv_loop_t *loop, struct str addr,
                                 const struct busconn_events *events,
                                 void *ctx);
/** busconn_accept() - take a connection from a listening socket. */
struct busconn *busconn_accept (uv_stream_t *server,
                                const struct busconn_events *events,
                                void *ctx);
/** busconn_send() - queue a record; takes ownership of its heap data. */
void busconn_send (struct busconn *conn, struct str record);
/** busconn_close() - close; the closed callback runs in a later loop turn. */
void busconn_close (struct busconn *conn);
/** busconn_addr() - address given to connect, or of the remote end. */
struct str busconn_addr (const struct busconn *conn);
bool busconn_connected (const struct busconn *conn);
/** busconn_age_ms() - time since the connection was begun. */
uint64_t busconn_age_ms (const struct busconn *conn);
/** busconn_silence_ms() - time since bytes were last received. */
uint64_t busconn_silence_ms (const struct busconn *conn);
/** busconn_bytes() - bytes on all connections of this process, both ways. */
uint64_t busconn_bytes (void);
