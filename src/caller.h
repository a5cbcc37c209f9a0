#pragma once

#include <stdbool.h>

#include <h2o.h>

#include "str.h"

/* Connection to the caller of one request: sends the response through h2o and
   detects that the caller has disconnected. */

struct caller;

/**
 * caller_create() - wrap an h2o request.
 * @on_disconnect: runs at most once, when the caller disconnects before the
 *   response has ended. The object stays valid until caller_release().
 */
struct caller *caller_create (h2o_req_t *req,
                              void (*on_disconnect) (void *ctx), void *ctx);
/** caller_release() - drop the object; data not yet sent is still sent. */
void caller_release (struct caller *caller);
/**
 * caller_disconnected() - check whether the caller has disconnected.
 *
 * h2o does not read from an HTTP/1.1 connection while a handler holds its
 * request, so only this check detects that such a caller has disconnected.
 */
bool caller_disconnected (const struct caller *caller);
/**
 * caller_stalled() - returns true if the caller has stopped reading its
 * response. Call it regularly: a caller that has stopped is closed before
 * others when memory is short.
 */
bool caller_stalled (struct caller *caller);
/** caller_paused() - returns true if caller_await_drain() returned true and
 * the caller has not read enough since. */
bool caller_paused (const struct caller *caller);
/** caller_abort() - close the connection at once; on_disconnect does not run.
 */
void caller_abort (struct caller *caller);
/** caller_add_header() - add a header, before the response is started. */
void caller_add_header (struct caller *caller, const char *name,
                        struct str value);
/**
 * caller_set_content_length() - set the content length of a streamed response.
 *
 * Call it before the response is started.
 */
void caller_set_content_length (struct caller *caller, size_t bytes);
/** caller_send() - send a complete response. @content_type may be empty. */
void caller_send (struct caller *caller, int status, struct str content_type,
                  struct str body);
/** caller_start_response() - start a streamed response. @content_type may be
 * empty. */
void caller_start_response (struct caller *caller, int status,
                            struct str content_type);
/**
 * caller_write() - send a part of a streamed response.
 *
 * Returns false if the caller reads too slowly and the response should be
 * aborted.
 */
bool caller_write (struct caller *caller, struct str part);
/**
 * caller_await_drain() - returns true if the caller reads more slowly than
 * the response arrives, and the server should be read no further until
 * @on_drained.
 * @on_drained: runs once when the caller has read most of what is unsent; not
 *   called if the function returned false.
 */
bool caller_await_drain (struct caller *caller,
                         void (*on_drained) (void *ctx));
/**
 * caller_end_response() - end a streamed response.
 * @complete: false makes it visible to the caller that the response was cut.
 */
void caller_end_response (struct caller *caller, bool complete);
/** caller_count() - number of requests that h2o holds in this process. */
size_t caller_count (void);
