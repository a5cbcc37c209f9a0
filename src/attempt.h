#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "http.h"
#include "peer.h"
#include "str.h"

/* One attempt of a request at one target. */

struct attempt;

enum attempt_kind
{
  ATTEMPT_STREAM, /* model engine, server-sent events */
  ATTEMPT_WHOLE,  /* model engine, answer in one piece */
  ATTEMPT_PLAIN,  /* plain service */
};

/**
 * struct attempt_spec - what to send; strings are copied.
 * @id: attempt id of the grant.
 * @total_ms: bound until the first event of a stream, or for the whole answer.
 * @repeatable: false forces a new connection, so that libcurl cannot repeat
 *   the request by itself.
 * @repeated: an earlier attempt of the request failed.
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
  bool repeatable;
  bool repeated;
};

/**
 * struct attempt_result - end of an attempt.
 * @outcome: ATTEMPT_DONE only when the whole answer arrived and is the one to
 *   this attempt.
 * @sent: false only when certainly nothing reached the target.
 * @body: whole answer; empty for a stream.
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
 * struct attempt_events - callbacks.
 * @wanted: asked before the first byte is sent; false ends the attempt with
 *   ATTEMPT_UNUSED. Must not start or cancel attempts.
 * @part: events of a stream, checked to belong to this attempt. Returns false
 *   to give up. May be NULL for kinds other than ATTEMPT_STREAM.
 * @done: end, exactly once unless cancelled; the attempt is freed after.
 */
struct attempt_events
{
  bool (*wanted) (void *ctx);
  bool (*part) (void *ctx, struct str events);
  void (*done) (void *ctx, const struct attempt_result *result);
};

struct attempt *attempt_start (struct http *http,
                               const struct attempt_spec *spec,
                               const struct attempt_events *events, void *ctx);
/** attempt_cancel() - give up; tells an engine to stop. No callback follows.
 */
void attempt_cancel (struct attempt *attempt);
