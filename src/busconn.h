#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "str.h"

/* A TCP connection of the bus that carries RPC records. */

struct busconn;

/**
 * struct busconn_events - callbacks of a connection.
 * @record: receives a complete record without its record mark; the bytes are
 *   valid until return.
 * @closed: runs once the connection has closed; the object is freed after
 *   return. @connected is false if the connection was never established.
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
/** busconn_accept() - accept a connection; never NULL. After an error it
 * closes in a later iteration of the event loop. */
struct busconn *busconn_accept (uv_stream_t *server,
                                const struct busconn_events *events,
                                void *ctx);
/** busconn_send() - queue a record with its mark; takes ownership of it. */
void busconn_send (struct busconn *conn, struct str record);
/** busconn_close() - close; the closed callback runs in a later iteration of
 * the event loop. */
void busconn_close (struct busconn *conn);
/** busconn_addr() - address passed to busconn_connect(), or the address of the
 * remote end of an accepted connection. */
struct str busconn_addr (const struct busconn *conn);
bool busconn_connected (const struct busconn *conn);
/** busconn_age_ms() - time since busconn_connect() or busconn_accept(). */
uint64_t busconn_age_ms (const struct busconn *conn);
/** busconn_receive_idle_ms() - time since bytes were last received, or since
 * the connection was established. */
uint64_t busconn_receive_idle_ms (const struct busconn *conn);
/** busconn_total_bytes() - total of bytes sent and received by this process.
 */
uint64_t busconn_total_bytes (void);
