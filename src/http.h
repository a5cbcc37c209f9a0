#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "kernel.h"
#include "str.h"

struct http;
struct http_call;

/**
 * struct http_request - an outgoing request; all strings are copied.
 * @headers: @header_count lines "Name: value".
 * @connect_ms: bound for the connection to be made; 0 means 500.
 * @silence_ms: bound without any byte received; 0 means none.
 * @total_ms: bound for the whole call; 0 means none.
 * @target: request target sent as it is, in place of the URL's path; may be
 *   empty.
 * @unframed: accept an answer without a length that ends with its connection.
 * @fresh: use a new connection and close it after. Needed for each call that
 *   must not be repeated, because libcurl itself repeats a request on a reused
 *   connection that closes before the first byte of the answer.
 */
struct http_request
{
  struct str method;
  struct str url;
  struct str target;
  const struct str *headers;
  size_t header_count;
  struct str body;
  uint32_t connect_ms;
  uint32_t silence_ms;
  uint32_t total_ms;
  bool unframed;
  bool fresh;
};

/**
 * struct http_events - callbacks of a call.
 * @wanted: asked when the connection stands, before the first byte of the
 *   request is sent; false ends the call unsent, with -ECANCELED. It must not
 *   start or cancel calls. NULL: it is wanted.
 * @head: status line and headers are complete; may be NULL.
 * @data: a part of the body. May be NULL, then the body is collected and given
 *   to @done.
 * @done: end of the call, exactly once unless it was cancelled or cut. The
 *   code of @err is 0 only when the answer is complete. @sent is false only
 *   when certainly no byte of the request reached the peer.
 * @cut: http_close() ended the call; frees the context and does no more. May
 *   be NULL.
 */
struct http_events
{
  bool (*wanted) (void *ctx);
  void (*head) (void *ctx, struct http_call *call, int status);
  void (*data) (void *ctx, struct http_call *call, struct str part);
  void (*done) (void *ctx, struct http_call *call, struct err err, int status,
                bool sent, struct str body);
  void (*cut) (void *ctx);
};

struct http *http_get (struct kernel *kernel);
/** http_create() - client on a loop of its own, for commands without kernel.
 */
struct http *http_create (uv_loop_t *loop);
void http_close (struct http *http);
void http_destroy (struct http *http);

struct http_call *http_send (struct http *http, const struct http_request *req,
                             const struct http_events *events, void *ctx);
/** http_cancel() - end a call at once and close its connection; no callback.
 */
void http_cancel (struct http_call *call);
/** http_answering() - has the head of the answer begun to arrive. */
bool http_answering (const struct http_call *call);
/** http_header() - response header by name (any case), or the empty string. */
struct str http_header (const struct http_call *call, const char *name);

/** struct http_field - a header field; both strings are borrowed. */
struct http_field
{
  struct str name;
  struct str value;
};

/**
 * http_fields() - all fields of the response head.
 * @out: room for @max fields.
 *
 * Returns the number of fields stored.
 */
size_t http_fields (const struct http_call *call, struct http_field *out,
                    size_t max);
