#include "attempt.h"

#include <errno.h>
#include <stdlib.h>

#include <jansson.h>

#include "clock.h"
#include "log.h"
#include "sse.h"

#define LOG_MODULE "attempt"
/* Engines send a comment every 2 s while a stream is idle. */
#define STREAM_IDLE_TIMEOUT_MS 5000
/* A stream that broke is given up if no event arrives for this time. */
#define RESUME_LIMIT_MS (2 * STREAM_IDLE_TIMEOUT_MS)
/* Pause between resumes that bring no event. */
#define RESUME_INTERVAL_MS 250
#define PROBE_TIMEOUT_MS 500
#define HEADERS_MAX 8

struct attempt
{
  struct http *http;
  struct http_call *call; /* NULL while a resume is due */
  const struct attempt_events *events;
  void *ctx;
  enum attempt_kind kind;
  struct str target;
  struct str id;
  struct sse sse;
  uint64_t started_ms;
  /* Time of the first event of a stream or of the complete response; 0 before.
   */
  uint64_t first_output_ms;
  uint32_t tokens;
  uint64_t last_event_id;
  uint64_t broken_ms; /* when the stream broke; valid while resuming */
  uv_timer_t resume_timer;
  int status;
  bool done_seen;        /* "[DONE]" was received */
  bool wrong_attempt_id; /* the response belongs to another attempt */
  bool aborted;  /* stream_events returned false, or an event is too long */
  bool resuming; /* the stream broke and no event has arrived since */
  bool sent;
  struct err first_err; /* error before these resumes */
};

static void
on_timer_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
free_attempt (struct attempt *a)
{
  str_free (&a->target);
  str_free (&a->id);
  buf_free (&a->sse.pending);
  uv_close ((uv_handle_t *)&a->resume_timer, on_timer_closed);
}

static struct str
target_url (const struct attempt *a, const char *path)
{
  return str_printf ("http://" STR_FMT "%s", STR_ARG (a->target), path);
}

/* ---- end of an attempt ---- */

static void
end_attempt (struct attempt *a, enum attempt_outcome outcome, struct err err,
             struct str content_type, struct str body)
{
  const uint64_t now_ms = clock_ms ();
  const struct attempt_result result = {
    .outcome = outcome,
    .err = err,
    .sent = a->sent,
    .status = a->status,
    .content_type = content_type,
    .body = body,
    .first_byte_ms = a->first_output_ms > 0
                         ? (uint32_t)(a->first_output_ms - a->started_ms)
                         : 0,
    .total_ms = (uint32_t)(now_ms - a->started_ms),
    .tokens = a->tokens,
  };

  a->call = NULL;
  a->events->done (a->ctx, &result);
  free_attempt (a);
}

static void
finish_failed (struct attempt *a, enum attempt_outcome outcome, struct err err)
{
  end_attempt (a, outcome, err, (struct str){ 0 }, (struct str){ 0 });
}

/* ---- crash detection ---- */

/* Only a response proves that the target is alive: the listening socket of a
   dying process still accepts connections and then resets them. */
static void
on_probe_done (void *ctx, struct http_call *call, struct err err, int status,
               bool sent, struct str body)
{
  struct attempt *a = ctx;

  (void)call;
  (void)status;
  (void)sent;
  (void)body;
  finish_failed (a, err.code == 0 ? ATTEMPT_BROKEN : ATTEMPT_CRASHED,
                 a->first_err);
}

/* Requests the status of the target on a new connection, to find out whether
   only the connection broke or the target crashed while it ran the request. */
static void
probe_target (struct attempt *a)
{
  static const struct http_events events = { .done = on_probe_done };
  struct str url = target_url (a, "/status");
  const struct http_request req = { .method = STR ("GET"),
                                    .url = url,
                                    .total_ms = PROBE_TIMEOUT_MS,
                                    .new_connection = true };

  a->call = http_send (a->http, &req, &events, a);
  str_free (&url);
}

static void resume_later (struct attempt *a);

/* Returns true if the engine may still have the rest of a broken stream. A
   process that refuses connections has ended, and its streams with it. */
static bool
may_resume (const struct attempt *a, struct err err)
{
  if (a->kind != ATTEMPT_KIND_STREAM || a->first_output_ms == 0)
    return false;
  if (err.code == -ENOENT || err.code == -ECONNREFUSED)
    return false;
  return clock_ms () - a->broken_ms < RESUME_LIMIT_MS;
}

static void
handle_failure (struct attempt *a, struct err err)
{
  if (!a->resuming)
    {
      a->first_err = err;
      a->broken_ms = clock_ms ();
    }
  if (a->wrong_attempt_id || a->aborted)
    finish_failed (a, a->aborted ? ATTEMPT_CANCELLED : ATTEMPT_BROKEN,
                   a->first_err);
  else if (!a->sent)
    finish_failed (
        a, err.code == -ECANCELED ? ATTEMPT_UNUSED : ATTEMPT_NOT_RUN, err);
  else if (may_resume (a, err))
    resume_later (a);
  else if (err.code == -ETIMEDOUT && !a->resuming)
    finish_failed (a, ATTEMPT_TIMEOUT, err);
  else
    probe_target (a);
}

/* ---- complete responses ---- */

/* Returns true and sets @outcome if the engine refused the request with an
   error that proves that it did not execute it. */
static bool
proves_not_run (int status, struct str body, enum attempt_outcome *outcome)
{
  static const struct
  {
    int status;
    const char *error;
    enum attempt_outcome outcome;
  } refusals[] = {
    { 404, "not_loaded", ATTEMPT_NOT_LOADED },
    { 503, "leaving", ATTEMPT_LEAVING },
    { 503, "full", ATTEMPT_NOT_RUN },
  };
  json_t *json = json_loadb (body.data ? body.data : "", body.len, 0, NULL);
  const char *error = json_string_value (json_object_get (json, "error"));
  bool found = false;

  for (size_t i = 0; error && i < sizeof refusals / sizeof *refusals; i++)
    if (status == refusals[i].status
        && str_eq (str_from (error), str_from (refusals[i].error)))
      {
        *outcome = refusals[i].outcome;
        found = true;
      }
  json_decref (json);
  return found;
}

static uint32_t
usage_tokens (struct str body)
{
  json_t *json = json_loadb (body.data ? body.data : "", body.len, 0, NULL);
  json_int_t n = 0;

  n = json_integer_value (
      json_object_get (json_object_get (json, "usage"), "completion_tokens"));
  json_decref (json);
  return n > 0 && n < UINT32_MAX ? (uint32_t)n : 0;
}

/* Returns true if the response carries the id of this attempt. Plain services
   are not required to send it. */
static bool
response_matches_attempt (const struct attempt *a,
                          const struct http_call *call)
{
  return a->kind == ATTEMPT_KIND_PLAIN
         || str_eq (http_header (call, "X-Attempt-Id"), a->id);
}

static void
handle_response (struct attempt *a, struct http_call *call, struct str body)
{
  enum attempt_outcome outcome = ATTEMPT_BROKEN;

  if (a->kind != ATTEMPT_KIND_PLAIN
      && proves_not_run (a->status, body, &outcome))
    {
      finish_failed (a, outcome, err_make (-EAGAIN, "refused", a->target));
      return;
    }
  if (!response_matches_attempt (a, call))
    {
      a->wrong_attempt_id = true;
      handle_failure (a, err_make (-EBADMSG, "attempt-id", a->target));
      return;
    }
  if (a->kind != ATTEMPT_KIND_PLAIN)
    a->tokens = usage_tokens (body);
  if (a->first_output_ms == 0)
    a->first_output_ms = clock_ms ();
  end_attempt (a, ATTEMPT_DONE, ERR_NONE, http_header (call, "Content-Type"),
               body);
}

static void
on_response_done (void *ctx, struct http_call *call, struct err err,
                  int status, bool sent, struct str body)
{
  struct attempt *a = ctx;

  a->status = status;
  a->sent = a->sent || sent;
  if (err.code != 0)
    handle_failure (a, err);
  else
    handle_response (a, call, body);
}

/* ---- streams ---- */

static bool
event_matches_attempt (struct attempt *a, const struct sse_event *event)
{
  json_t *json = json_loadb (event->data.data, event->data.len, 0, NULL);
  const char *id = json_string_value (json_object_get (json, "attempt"));
  const bool ours = id && str_eq (str_from (id), a->id);

  json_decref (json);
  return ours;
}

static bool
on_event (void *ctx, const struct sse_event *event)
{
  struct attempt *a = ctx;

  if (event->data.len == 0)
    return true; /* a comment, sent as a keep-alive */
  if (a->done_seen || (event->has_id && event->id <= a->last_event_id))
    return true; /* received before the resume */
  if (str_eq (event->data, STR ("[DONE]")))
    a->done_seen = true;
  else if (!event_matches_attempt (a, event))
    {
      a->wrong_attempt_id = true;
      return false;
    }
  else
    a->tokens++;
  a->resuming = false;
  if (event->has_id)
    a->last_event_id = event->id;
  if (a->first_output_ms == 0)
    a->first_output_ms = clock_ms ();
  if (!a->events->stream_events (a->ctx, event->raw))
    a->aborted = true;
  return !a->aborted;
}

static void
on_stream_data (void *ctx, struct http_call *call, struct str part)
{
  struct attempt *a = ctx;

  if (!a->wrong_attempt_id && !response_matches_attempt (a, call))
    a->wrong_attempt_id = true;
  if (!a->wrong_attempt_id && !a->aborted
      && !sse_feed (&a->sse, part, on_event, a))
    a->aborted = true;
}

static void
on_stream_done (void *ctx, struct http_call *call, struct err err, int status,
                bool sent, struct str body)
{
  struct attempt *a = ctx;

  (void)call;
  (void)body;
  a->status = status;
  a->sent = a->sent || sent;
  if (a->done_seen && !a->wrong_attempt_id && err.code == 0)
    end_attempt (a, ATTEMPT_DONE, ERR_NONE, STR ("text/event-stream"),
                 (struct str){ 0 });
  else if (a->wrong_attempt_id)
    handle_failure (a, err_make (-EBADMSG, "attempt-id", a->target));
  else if (err.code != 0)
    handle_failure (a, err);
  else
    handle_failure (a, err_make (-EPIPE, "stream-end", a->target));
}

/* An error response has a JSON body instead of events; on_stream_body()
   collects it. */
static void
on_stream_response_done (void *ctx, struct http_call *call, struct err err,
                         int status, bool sent, struct str body)
{
  struct attempt *a = ctx;

  if (a->status == 200)
    {
      on_stream_done (ctx, call, err, status, sent, body);
      return;
    }
  const struct str collected = buf_str (&a->sse.pending);
  struct str copy = str_dup (collected);
  on_response_done (ctx, call, err, status, sent, copy);
  str_free (&copy);
}

static void
on_stream_body (void *ctx, struct http_call *call, struct str part)
{
  struct attempt *a = ctx;

  if (a->status == 200)
    on_stream_data (ctx, call, part);
  else
    buf_append (&a->sse.pending, part);
}

static bool
may_send_request (void *ctx)
{
  const struct attempt *a = ctx;

  return a->events->may_send (a->ctx);
}

static void
on_head (void *ctx, struct http_call *call, int status)
{
  struct attempt *a = ctx;

  (void)call;
  a->status = status;
}

static const struct http_events stream_events
    = { .confirm_send = may_send_request,
        .head = on_head,
        .data = on_stream_body,
        .done = on_stream_response_done };
static const struct http_events response_events
    = { .confirm_send = may_send_request, .done = on_response_done };

/* ---- resume ---- */

static void
on_resume_done (void *ctx, struct http_call *call, struct err err, int status,
                bool sent, struct str body)
{
  struct attempt *a = ctx;

  if (err.code == 0 && status != 200)
    err = err_make (status == 404 ? -ENOENT : -EPIPE, "resume", a->target);
  on_stream_done (ctx, call, err, status, sent, body);
}

static const struct http_events resume_events
    = { .head = on_head, .data = on_stream_body, .done = on_resume_done };

/* Requests the rest of a broken stream, from after the last complete event. */
static void
on_resume_due (uv_timer_t *timer)
{
  struct attempt *a = timer->data;

  buf_reset (&a->sse.pending);
  struct str url
      = str_printf ("http://" STR_FMT "/streams/" STR_FMT "?from=%lu",
                    STR_ARG (a->target), STR_ARG (a->id), a->last_event_id);
  const struct http_request req = { .method = STR ("GET"),
                                    .url = url,
                                    .silence_ms = STREAM_IDLE_TIMEOUT_MS,
                                    .new_connection = true };

  LOG_INFO ("resume", "attempt=" STR_FMT " target=" STR_FMT " from=%lu",
            STR_ARG (a->id), STR_ARG (a->target), a->last_event_id);
  a->call = http_send (a->http, &req, &resume_events, a);
  str_free (&url);
}

static void
resume_later (struct attempt *a)
{
  const uint64_t delay_ms = a->resuming ? RESUME_INTERVAL_MS : 0;

  a->resuming = true;
  a->call = NULL;
  uv_timer_start (&a->resume_timer, on_resume_due, delay_ms, 0);
}

/* ---- start and cancel ---- */

static size_t
make_headers (const struct attempt_spec *spec, struct str out[HEADERS_MAX])
{
  size_t n = 0;

  out[n++] = str_printf ("X-Request-Id: " STR_FMT, STR_ARG (spec->request_id));
  out[n++] = str_printf ("X-Attempt-Id: " STR_FMT, STR_ARG (spec->id));
  out[n++] = str_printf ("X-Priority: %d", spec->priority);
  out[n++] = spec->content_type.len > 0 ? str_printf (
                 "Content-Type: " STR_FMT, STR_ARG (spec->content_type))
                                        : str_printf ("Content-Type:");
  if (spec->idempotency_key.len > 0)
    out[n++] = str_printf ("Idempotency-Key: " STR_FMT,
                           STR_ARG (spec->idempotency_key));
  return n;
}

struct attempt *
attempt_start (struct http *http, uv_loop_t *loop,
               const struct attempt_spec *spec,
               const struct attempt_events *events, void *ctx)
{
  struct attempt *a = xcalloc (1, sizeof *a);
  struct str headers[HEADERS_MAX];
  const size_t n = make_headers (spec, headers);
  struct str path = str_dup (spec->path);

  a->http = http;
  a->events = events;
  a->ctx = ctx;
  a->kind = spec->kind;
  a->target = str_dup (spec->target);
  a->id = str_dup (spec->id);
  a->started_ms = clock_ms ();
  uv_timer_init (loop, &a->resume_timer);
  a->resume_timer.data = a;
  struct str url = target_url (a, path.data);
  const bool stream = spec->kind == ATTEMPT_KIND_STREAM;
  const struct http_request req = {
    .method = spec->method,
    .url = url,
    .headers = headers,
    .header_count = n,
    .body = spec->body,
    .silence_ms = stream ? STREAM_IDLE_TIMEOUT_MS : 0,
    .total_ms = stream ? 0 : spec->total_ms,
    /* A non-streaming engine sends nothing before its response, so a dead
       reused connection would not be noticed. A retry must not reuse the
       connection that failed. */
    .new_connection = !spec->retryable || spec->is_retry
                      || spec->kind == ATTEMPT_KIND_BUFFERED,
  };
  a->call
      = http_send (http, &req, stream ? &stream_events : &response_events, a);
  str_free (&url);
  str_free (&path);
  for (size_t i = 0; i < n; i++)
    str_free (&headers[i]);
  return a;
}

static void
on_cancel_done (void *ctx, struct http_call *call, struct err err, int status,
                bool sent, struct str body)
{
  (void)ctx;
  (void)call;
  (void)err;
  (void)status;
  (void)sent;
  (void)body;
}

static void
cancel_at_engine (const struct attempt *a)
{
  static const struct http_events events = { .done = on_cancel_done };
  struct str url = str_printf ("http://" STR_FMT "/streams/" STR_FMT,
                               STR_ARG (a->target), STR_ARG (a->id));
  const struct http_request req
      = { .method = STR ("DELETE"), .url = url, .total_ms = PROBE_TIMEOUT_MS };

  http_send (a->http, &req, &events, NULL);
  str_free (&url);
}

void
attempt_cancel (struct attempt *a)
{
  if (a->call)
    http_cancel (a->call);
  if (a->kind != ATTEMPT_KIND_PLAIN)
    cancel_at_engine (a);
  free_attempt (a);
}
