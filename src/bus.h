#pragma once

#include <stdint.h>

#include "kernel.h"
#include "peer.h"
#include "str.h"

struct bus;
struct bus_request;

/**
 * bus_reply_fn - end of a call; runs once for each bus_call().
 * @err: 0, or a negative errno value: -ETIMEDOUT (the procedure may have run),
 *   -ECONNREFUSED (it did not run), -EPIPE (connection lost, may have run),
 *   -EPROTONOSUPPORT (other protocol version), -EBADMSG (undecodable), or what
 *   the handler gave to bus_fail().
 * @hint: text that the handler gave to bus_fail(), else empty.
 * @result: decoded result (a struct of peer.h) or NULL; freed after return.
 */
typedef void (*bus_reply_fn) (void *ctx, int err, struct str hint,
                              const void *result);

/**
 * bus_handler_fn - serve a call.
 * @args: decoded arguments (a struct of peer.h); valid until the reply.
 *
 * The handler ends the request with bus_reply() or bus_fail(), at once or
 * later, exactly once.
 */
typedef void (*bus_handler_fn) (void *ctx, struct bus_request *req,
                                const void *args);

/** bus_get() - the bus plug-in of this kernel. */
struct bus *bus_get (struct kernel *kernel);
/** bus_handle() - register the handler of a procedure (PEER_* of peer.h). */
void bus_handle (struct bus *bus, uint32_t proc, bus_handler_fn fn, void *ctx);
/**
 * bus_call() - call a procedure of the node at an address.
 * @to: bus address "ip:port"; the own address gives a local call, which is
 *   encoded and decoded too and answered in a later loop turn.
 * @args: struct of peer.h for the procedure; copied before return.
 * @fn: may be NULL when the result does not matter.
 */
void bus_call (struct bus *bus, struct str to, uint32_t proc, const void *args,
               uint32_t timeout_ms, bus_reply_fn fn, void *ctx);
/** bus_reply() - answer a request; @result is copied before return. */
void bus_reply (struct bus_request *req, const void *result);
/**
 * bus_fail() - refuse a request.
 * @err: negative errno value; -ESTALE means "not the owner".
 * @hint: with -ESTALE the bus address of the owner if known, else empty.
 */
void bus_fail (struct bus_request *req, int err, struct str hint);
/** bus_peer() - bus address of the calling connection's remote end. */
struct str bus_peer (const struct bus_request *req);
/** bus_gone() - the caller's connection has closed; an answer is dropped. */
bool bus_gone (const struct bus_request *req);
