#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "http.h"
#include "str.h"

/* One attempt of a call at one server. */

struct forward;

/**
 * struct forward_spec - what to send. Strings are copied, except @call_id.
 * @address: ip:port of the server.
 * @target: request target, as the client sent it.
 * @lines: header lines.
 * @call_id: id that the answer must bear; lives as long as the attempt.
 * @server_id: start of the server that is expected; likewise.
 * @stream: pass events on as they arrive.
 * @last_event: number of the last event that the client has.
 * @first_ms: bound for the answer's first event or whole body; 0 for none.
 * @gap_ms: bound for the pause between events; 0 for none.
 * @repeatable: the call may run more than once, so a kept connection may be
 *   used.
 */
struct forward_spec
{
  struct str address;
  struct str method;
  struct str target;
  const struct str *lines;
  size_t line_count;
  struct str body;
  struct str call_id;
  struct str server_id;
  bool stream;
  uint64_t last_event;
  uint32_t first_ms;
  uint32_t gap_ms;
  bool repeatable;
};

enum forward_outcome
{
  FORWARD_ANSWERED,     /* the server's whole answer */
  FORWARD_NOT_SENT,     /* no byte reached a server */
  FORWARD_WITHDRAWN,    /* likewise: the call was no longer wanted */
  FORWARD_NOT_EXECUTED, /* the server states that it has not run the call */
  FORWARD_MISPLACED,    /* likewise: it lacks the model or adapter */
  FORWARD_REPLACED,     /* likewise: it is another server */
  FORWARD_BROKEN,       /* no whole answer; the call may have run */
};

/** forward_outcome_name() - for logs and counters. */
const char *forward_outcome_name (enum forward_outcome outcome);

/**
 * struct forward_result - end of an attempt.
 * @status: of the answer; 0 without one.
 * @body: of an answer that was not passed on in parts.
 * @begun: parts were passed on.
 * @silent: the attempt ended because nothing arrived in time.
 */
struct forward_result
{
  enum forward_outcome outcome;
  struct err err;
  int status;
  struct str body;
  bool begun;
  bool silent;
};

/**
 * struct forward_events - callbacks.
 * @wanted: asked before the first byte is sent; false withdraws the attempt.
 * @silent: nothing arrived within the bound. Returns whether to give up on the
 *   server; otherwise it is asked again soon.
 * @begin: the answer will be passed on in parts. The head is read from @call.
 * @part: a part; for a stream whole events only, @last_event is the number of
 *   the last one.
 * @done: end, exactly once unless cancelled. @call still has the head.
 */
struct forward_events
{
  bool (*wanted) (void *ctx);
  bool (*silent) (void *ctx);
  void (*begin) (void *ctx, const struct http_call *call, int status);
  void (*part) (void *ctx, struct str part, uint64_t last_event);
  void (*done) (void *ctx, const struct forward_result *result,
                const struct http_call *call);
};

struct forward *forward_start (struct http *http, uv_loop_t *loop,
                               const struct forward_spec *spec,
                               const struct forward_events *events, void *ctx);
/** forward_cancel() - close the connection, so that the server stops. No
 * callback follows. */
void forward_cancel (struct forward *forward);
