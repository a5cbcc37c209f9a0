#pragma once

#include <stdint.h>

#include "kernel.h"
#include "peer.h"
#include "str.h"

struct bus;
struct bus_request;

/**
 * bus_reply_fn - receive the outcome of a call; runs once per bus_call().
 * @err: 0, or a negative errno value: -ETIMEDOUT (the procedure may have run),
 *   -ECONNREFUSED (it did not run), -EPIPE (connection lost, it may have run),
 *   -EPROTONOSUPPORT (protocol version mismatch), -EBADMSG (the result cannot
 *   be decoded), -EMSGSIZE (the arguments or the result are too large),
 *   -ECANCELED (the bus is stopping), or the error that the handler passed to
 *   bus_fail().
 * @hint: text that the handler passed to bus_fail(), else empty; valid until
 *   return.
 * @result: decoded result (a struct of peer.h), or NULL after an error; freed
 *   after return.
 */
typedef void (*bus_reply_fn) (void *ctx, int err, struct str hint,
                              const void *result);

/**
 * bus_handler_fn - serve a call.
 * @args: decoded arguments (a struct of peer.h); valid until the request is
 *   completed.
 *
 * The handler completes each request exactly once with bus_reply() or
 * bus_fail(), before it returns or later.
 */
typedef void (*bus_handler_fn) (void *ctx, struct bus_request *req,
                                const void *args);

/** bus_get() - return the bus plug-in of a kernel. */
struct bus *bus_get (struct kernel *kernel);
/** bus_handle() - register the handler of a procedure (PEER_* of peer.h). */
void bus_handle (struct bus *bus, uint32_t proc, bus_handler_fn fn, void *ctx);
/**
 * bus_call() - call a procedure of the node at an address.
 * @to: bus address "ip:port". A call to this node's own address is local: it
 *   is encoded and decoded like any other, and completes in a later iteration
 *   of the event loop.
 * @args: arguments of the procedure (a struct of peer.h); copied.
 * @fn: NULL if the result is not needed.
 */
void bus_call (struct bus *bus, struct str to, uint32_t proc, const void *args,
               uint32_t timeout_ms, bus_reply_fn fn, void *ctx);
/** bus_reply() - complete a request; @result is copied, NULL if void. */
void bus_reply (struct bus_request *req, const void *result);
/**
 * bus_fail() - complete a request with an error.
 * @err: negative errno value; -ESTALE if this node is not the owner.
 * @hint: with -ESTALE the owner's bus address if known, else empty.
 */
void bus_fail (struct bus_request *req, int err, struct str hint);
/** bus_peer_addr() - address of the remote end; own bus address if local. */
struct str bus_peer_addr (const struct bus_request *req);
/** bus_caller_disconnected() - true once the caller's connection has closed; a
 * reply is then dropped. */
bool bus_caller_disconnected (const struct bus_request *req);
