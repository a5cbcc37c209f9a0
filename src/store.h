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
 * store_fn - end of a store call; runs exactly once.
 * @err: code 0; -ENOENT (no such object); -EEXIST (version differs; @version
 *   is the present one, 0 if there is none); -EINPROGRESS (a write whose
 *   answer was lost: it may have taken effect); -ETIMEDOUT, -ECONNREFUSED,
 *   -EIO (outage); -EFBIG (value over 1 MB); -EAGAIN (watch ended, no change).
 * @version: version of the object after the call.
 * @value: body for get, list and watch; valid during the callback.
 */
typedef void (*store_fn) (void *ctx, struct err err, uint64_t version,
                          struct str value);

struct store *store_get (struct kernel *kernel);
/** store_create() - client without a kernel, for operator commands. */
struct store *store_create (struct http *http, struct str url);
void store_destroy (struct store *store);

void store_read (struct store *store, struct str key, store_fn fn, void *ctx);
/** store_write() - conditional update; @version as last seen or STORE_NEW. */
void store_write (struct store *store, struct str key, uint64_t version,
                  struct str value, store_fn fn, void *ctx);
void store_remove (struct store *store, struct str key, uint64_t version,
                   store_fn fn, void *ctx);
/** store_list() - JSON array of {key, version} for a prefix. */
void store_list (struct store *store, struct str prefix, store_fn fn,
                 void *ctx);
/** store_watch() - read once the version differs from @version. */
void store_watch (struct store *store, struct str key, uint64_t version,
                  uint32_t timeout_ms, store_fn fn, void *ctx);
/** store_hosts() - host list once its version differs; JSON of design 7. */
void store_hosts (struct store *store, uint64_t version, uint32_t timeout_ms,
                  store_fn fn, void *ctx);
