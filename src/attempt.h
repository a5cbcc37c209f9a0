#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "http.h"
#include "peer.h"
#include "str.h"

/* Sends a request to one target and handles its response. */

struct attempt;

enum attempt_kind
{
  ATTEMPT_KIND_STREAM,   /* model engine, server-sent events */
  ATTEMPT_KIND_BUFFERED, /* model engine, non-streaming response */
  ATTEMPT_KIND_PLAIN,    /* plain service */
};

/**
 * struct attempt_spec - request to send; strings are copied.
 * @id: attempt id from the grant.
 * @total_ms: timeout for the complete response; ignored for a stream.
 * @retryable: false forces a new connection, so that libcurl cannot resend
 *   the request by itself.
 * @is_retry: this is not the first attempt of the request.
 */
struct attempt_spec
{
  enum attempt_kind kind;
  struct str target;
  struct str id;
  struct str request_id;
  struct str method;
  struct str path;
  struct str content_type;
  struct str idempotency_key;
  struct str body;
  int priority;
  uint32_t total_ms;
  bool retryable;
  bool is_retry;
};

/**
 * struct attempt_result - result of an attempt; its strings are borrowed.
 * @outcome: ATTEMPT_DONE only if the complete response arrived and belongs to
 *   this attempt.
 * @sent: false only if certainly no byte of the request reached the target.
 * @body: complete response body; empty for a stream.
 * @first_byte_ms: time from the start to the first event of a stream or to
 *   the complete response; 0 if there was none.
 * @total_ms: time from the start to the end of the attempt.
 * @tokens: generated tokens: the events of a stream, else as reported by the
 *   engine; 0 for a plain service.
 */
struct attempt_result
{
  enum attempt_outcome outcome;
  struct err err;
  bool sent;
  int status;
  struct str content_type;
  struct str body;
  uint32_t first_byte_ms;
  uint32_t total_ms;
  uint32_t tokens;
};

/**
 * struct attempt_events - callbacks of an attempt.
 * @may_send: runs when the connection is established, before the first byte of
 *   the request is sent. Returning false ends the attempt with ATTEMPT_UNUSED.
 *   Must not start or cancel attempts.
 * @stream_events: receives complete events of a stream that belong to this
 *   attempt. Returning false stops delivery, and the attempt fails. May be
 *   NULL for kinds other than ATTEMPT_KIND_STREAM.
 * @done: runs exactly once unless the attempt is cancelled; the attempt is
 *   freed after it returns.
 */
struct attempt_events
{
  bool (*may_send) (void *ctx);
  bool (*stream_events) (void *ctx, struct str events);
  void (*done) (void *ctx, const struct attempt_result *result);
};

struct attempt *attempt_start (struct http *http, uv_loop_t *loop,
                               const struct attempt_spec *spec,
                               const struct attempt_events *events, void *ctx);
/**
 * attempt_cancel() - abort and free an attempt.
 *
 * Also sends an engine a request to stop generating. No callback follows.
 */
void attempt_cancel (struct attempt *attempt);
