#pragma once

#include <stdint.h>

#include "err.h"
#include "http.h"
#include "kernel.h"
#include "str.h"

struct store;

/* Expected version of an object that must not exist yet. */
#define STORE_NEW 0

/**
 * store_fn - completion callback; called exactly once.
 * @err: code 0; -ENOENT (no such object); -EEXIST (version differs; @version
 *   is the current one, 0 if there is no object); -EINPROGRESS (a write with
 *   no definite reply, which may have taken effect); -ETIMEDOUT, -ECONNREFUSED
 *   or -EIO (outage); -EFBIG (value over 1 MB); -EAGAIN (a watch timed out
 *   without a change).
 * @version: version of the object after the call.
 * @value: body of a read, list or watch; valid during the callback.
 */
typedef void (*store_fn) (void *ctx, struct err err, uint64_t version,
                          struct str value);

struct store *store_get (struct kernel *kernel);
/** store_create() - creates a client without a kernel, for operator commands.
 */
struct store *store_create (struct http *http, struct str url);
void store_destroy (struct store *store);

void store_read (struct store *store, struct str key, store_fn fn, void *ctx);
/** store_write() - conditional write. @version: the expected version of the
 * object, or STORE_NEW. */
void store_write (struct store *store, struct str key, uint64_t version,
                  struct str value, store_fn fn, void *ctx);
void store_remove (struct store *store, struct str key, uint64_t version,
                   store_fn fn, void *ctx);
/** store_list() - lists the objects with a key prefix as a JSON array of
 * {key, version}. */
void store_list (struct store *store, struct str prefix, store_fn fn,
                 void *ctx);
/** store_watch() - reads an object once its version differs from @version. */
void store_watch (struct store *store, struct str key, uint64_t version,
                  uint32_t timeout_ms, store_fn fn, void *ctx);
/** store_watch_hosts() - reads the host list once its version differs from
 * @version; JSON as in section 7 of the design. */
void store_watch_hosts (struct store *store, uint64_t version,
                        uint32_t timeout_ms, store_fn fn, void *ctx);
