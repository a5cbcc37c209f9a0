#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "http.h"
#include "platform/callheaders.h"
#include "str.h"

/* One attempt to run a call on one server. */

struct forward;

/**
 * struct forward_spec - what to send. Strings are copied, except @call_id and
 * @server_id, which must outlive the attempt.
 * @address: ip:port of the server.
 * @request_target: as the client sent it.
 * @headers: lines "Name: value".
 * @call_id: id that the response must carry.
 * @server_id: id of the expected start of the server.
 * @stream: forward server-sent events as they arrive.
 * @last_event_id: id of the last event that the client received; 0 for none.
 * @first_event_timeout_ms: limit for the first event, or for a body until it
 *   is complete or forwarded in parts; 0 for none.
 * @gap_timeout_ms: limit for the pause between events; 0 for none.
 * @fresh_connection: send the call on a new connection.
 * @run_once: the call must not run a second time.
 */
struct forward_spec
{
  struct str address;
  struct str method;
  struct str request_target;
  const struct str *headers;
  size_t header_count;
  struct str body;
  struct str call_id;
  struct str server_id;
  bool stream;
  uint64_t last_event_id;
  uint32_t first_event_timeout_ms;
  uint32_t gap_timeout_ms;
  bool fresh_connection;
  bool run_once;
};

enum forward_outcome
{
  FORWARD_ANSWERED,     /* the response is complete */
  FORWARD_NOT_SENT,     /* no byte reached a server */
  FORWARD_WITHDRAWN,    /* likewise; confirm_send() returned false */
  FORWARD_NOT_EXECUTED, /* the server reports that it didn't run the call */
  FORWARD_NO_MODEL,     /* likewise: it lacks the model or adapter */
  FORWARD_OTHER_SERVER, /* likewise: it is another server */
  FORWARD_BROKEN,       /* no complete response; the call may have run */
};

/** forward_outcome_name() - name for logs and metrics. */
const char *forward_outcome_name (enum forward_outcome outcome);

/**
 * struct forward_result - outcome of an attempt.
 * @status: of the response; 0 if there is none.
 * @body: of a response that was not forwarded in parts.
 * @response_started: parts of the response were forwarded.
 * @timed_out: the attempt ended because no data arrived in time.
 */
struct forward_result
{
  enum forward_outcome outcome;
  struct err err;
  int status;
  struct str body;
  bool response_started;
  bool timed_out;
};

/**
 * struct forward_events - callbacks.
 * @confirm_send: runs before the first byte is sent; returning false ends the
 *   attempt with FORWARD_WITHDRAWN.
 * @head: the head of the call's response arrived, whatever its status.
 * @silence: no data arrived in time. Returns the time in ms after which the
 *   callback runs again if still no data has arrived; 0 ends the attempt.
 * @start: the response will be forwarded in parts. @call has its head.
 * @part: a part of the response. For a stream it is one whole event, and
 *   @last_event_id is the id of the newest event.
 * @done: the attempt ended; runs exactly once unless it was cancelled. @call
 *   still has the head of the response.
 */
struct forward_events
{
  bool (*confirm_send) (void *ctx);
  void (*head) (void *ctx, const struct answer_meta *meta);
  uint32_t (*silence) (void *ctx);
  void (*start) (void *ctx, const struct http_call *call, int status);
  void (*part) (void *ctx, struct str part, uint64_t last_event_id);
  void (*done) (void *ctx, const struct forward_result *result,
                const struct http_call *call);
};

struct forward *forward_start (struct http *http, uv_loop_t *loop,
                               const struct forward_spec *spec,
                               const struct forward_events *events, void *ctx);
/** forward_cancel() - cancel the attempt and close its connection, so that the
 * server stops working on it. No callback follows. */
void forward_cancel (struct forward *forward);
/** forward_pause() - read no more of the response until forward_resume(), and
 * let no limit for silence pass meanwhile. */
void forward_pause (struct forward *forward);
void forward_resume (struct forward *forward);
