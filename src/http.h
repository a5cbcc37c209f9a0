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
 * @connect_ms: connection timeout; 0 means 500.
 * @silence_ms: limit for the time without a received byte; 0 means none.
 * @total_ms: limit for the whole call; 0 means none.
 * @target: request target sent as it is, instead of the URL's path; may be
 *   empty.
 * @collected_max_bytes: limit for a collected body; 0 means 32 MiB. A larger
 *   one ends the call with -EMSGSIZE.
 * @allow_close_delimited: accept a response without a length, whose body ends
 *   when the connection closes.
 * @fresh_connection: use a new connection, which later calls may use too.
 * @run_once: use a kept connection only as long as the peer certainly has not
 *   closed it for being idle, because a request that was sent on a closed
 *   connection can't be repeated.
 * @repeat_if_closed: send the request once more on a new connection if a
 *   reused one closes before the first byte of the response. For reads without
 *   a deadline or a budget only.
 * @new_connection: use a new connection and close it afterwards. A connection
 *   that was used before may be closed by the peer while the request is sent,
 *   and whether the call was executed is then unknown.
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
  size_t collected_max_bytes;
  bool allow_close_delimited;
  bool repeat_if_closed;
  bool fresh_connection;
  bool run_once;
  bool new_connection;
};

/**
 * struct http_events - callbacks of a call.
 * @confirm_send: runs when the connection is established, before the first
 * byte of the request is sent; returning false ends the call unsent with
 * -ECANCELED. Must not start or cancel calls. May be NULL, then the request is
 * sent.
 * @head: status line and headers are complete; may be NULL.
 * @data: a part of the body. May be NULL; then the body is collected for
 *   @done.
 * @done: end of the call; runs exactly once unless the call was cancelled or
 *   ended by http_close(). The code of @err is 0 only if the response is
 *   complete, and -EPROTO if its head is malformed. @sent is false only if
 *   certainly no byte of the request reached the peer. Without
 *   @repeat_if_closed a request is sent once at most, and ends with -EPIPE if
 *   its connection closes before the response.
 * @closed: http_close() ended the call. Must only free the context. May be
 * NULL.
 */
struct http_events
{
  bool (*confirm_send) (void *ctx);
  void (*head) (void *ctx, struct http_call *call, int status);
  void (*data) (void *ctx, struct http_call *call, struct str part);
  void (*done) (void *ctx, struct http_call *call, struct err err, int status,
                bool sent, struct str body);
  void (*closed) (void *ctx);
};

struct http *http_get (struct kernel *kernel);
/** http_create() - client on the given loop, for commands without a kernel. */
struct http *http_create (uv_loop_t *loop);
/** http_close() - end all calls and close all handles; http_destroy() may run
 * once the loop has closed them. */
void http_close (struct http *http);
void http_destroy (struct http *http);

/** http_send() - start a call. @events must outlive it. */
struct http_call *http_send (struct http *http, const struct http_request *req,
                             const struct http_events *events, void *ctx);
/** http_cancel() - end a call at once and close its connection. No callback
 * follows. */
void http_cancel (struct http_call *call);
/** http_mark_connection_unreliable() - keep later calls with @run_once off the
 * call's connection. For use in head(). */
void http_mark_connection_unreliable (struct http_call *call);
/** http_pause() - read no more of the response until http_resume(). Meanwhile
 * the limit for silence does not apply. A part that was already received may
 * still follow after http_resume(). */
void http_pause (struct http_call *call);
void http_resume (struct http_call *call);
/** http_response_started() - returns true once a byte of the response has
 * arrived. */
bool http_response_started (const struct http_call *call);
/** http_opened_connection() - returns true if the call opened its connection,
 * and false if it reused one. */
bool http_opened_connection (const struct http_call *call);
/** http_header() - value of a response header by case-insensitive name; empty
 * if there is none. */
struct str http_header (const struct http_call *call, const char *name);

/** struct http_field - a header field; both strings are borrowed. */
struct http_field
{
  struct str name;
  struct str value;
};

/**
 * http_fields() - list the header fields of the response.
 * @out: space for @max fields.
 *
 * Returns the number of fields stored.
 */
size_t http_fields (const struct http_call *call, struct http_field *out,
                    size_t max);
