#include "attempt.h"

#include <errno.h>
#include <stdlib.h>

#include <jansson.h>

#include "clock.h"
#include "log.h"
#include "sse.h"

#define LOG_MODULE "attempt"
/* Engines send a comment every 2 s while a stream waits. */
#define STREAM_SILENCE_MS 5000
#define RESUME_LIMIT 2
#define RESUME_FIRST_BYTE_MS 3000
#define PROBE_MS 500
#define HEADERS_MAX 8

struct attempt
{
  struct http *http;
  struct http_call *call;
  const struct attempt_events *events;
  void *ctx;
  enum attempt_kind kind;
  struct str target;
  struct str id;
  struct sse sse;
  uint64_t begun_ms;
  uint64_t first_ms; /* 0 until the first event or byte of the answer */
  uint32_t tokens;
  uint64_t last_event;
  unsigned resumes;
  int status;
  bool finished; /* "[DONE]" was seen */
  bool mismatch; /* an answer to another attempt */
  bool given_up; /* the part callback returned false */
  bool resuming;
  bool sent;
  struct err first_err; /* of the connection that broke first */
};

static void
free_attempt (struct attempt *a)
{
  str_free (&a->target);
  str_free (&a->id);
  buf_free (&a->sse.in);
  free (a);
}

static struct str
target_url (const struct attempt *a, const char *path)
{
  return str_printf ("http://" STR_FMT "%s", STR_ARG (a->target), path);
}

/* ---- end of an attempt ---- */

static void
report (struct attempt *a, enum attempt_outcome outcome, struct err err,
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
    .first_byte_ms
    = a->first_ms > 0 ? (uint32_t)(a->first_ms - a->begun_ms) : 0,
    .total_ms = (uint32_t)(now_ms - a->begun_ms),
    .tokens = a->tokens,
  };

  a->call = NULL;
  a->events->done (a->ctx, &result);
  free_attempt (a);
}

static void
report_failure (struct attempt *a, enum attempt_outcome outcome,
                struct err err)
{
  report (a, outcome, err, (struct str){ 0 }, (struct str){ 0 });
}

/* ---- did the target die? ---- */

/* Only an answer shows that the target lives: the listening socket of a
   process that is just dying still takes connections and then resets them. */
static void
on_probe_done (void *ctx, struct http_call *call, struct err err, int status,
               bool sent, struct str body)
{
  struct attempt *a = ctx;

  (void)call;
  (void)status;
  (void)sent;
  (void)body;
  report_failure (a, err.code == 0 ? ATTEMPT_BROKEN : ATTEMPT_CRASHED,
                  a->first_err);
}

/* A broken connection may mean that the target died while it ran the request;
   a new connection tells the two apart. */
static void
probe (struct attempt *a)
{
  static const struct http_events events = { .done = on_probe_done };
  struct str url = target_url (a, "/status");
  const struct http_request req = {
    .method = STR ("GET"), .url = url, .total_ms = PROBE_MS, .fresh = true
  };

  a->call = http_send (a->http, &req, &events, a);
  str_free (&url);
}

static bool resume (struct attempt *a);

static void
fail (struct attempt *a, struct err err)
{
  if (!a->resuming)
    a->first_err = err;
  if (a->mismatch || a->given_up)
    report_failure (a, a->given_up ? ATTEMPT_CANCELLED : ATTEMPT_BROKEN,
                    a->first_err);
  else if (!a->sent)
    report_failure (
        a, err.code == -ECANCELED ? ATTEMPT_UNUSED : ATTEMPT_NOT_RUN, err);
  else if (resume (a))
    return;
  else if (err.code == -ETIMEDOUT && !a->resuming)
    report_failure (a, ATTEMPT_TIMEOUT, err);
  else
    probe (a);
}

/* ---- answers ---- */

/* Refusals by which an engine proves that it did not run the request. */
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

/* Does the answer name this attempt? Plain services need not. */
static bool
names_attempt (const struct attempt *a, const struct http_call *call)
{
  return a->kind == ATTEMPT_PLAIN
         || str_eq (http_header (call, "X-Attempt-Id"), a->id);
}

static void
finish_whole (struct attempt *a, struct http_call *call, struct str body)
{
  enum attempt_outcome outcome = ATTEMPT_BROKEN;

  if (a->kind != ATTEMPT_PLAIN && proves_not_run (a->status, body, &outcome))
    {
      report_failure (a, outcome, err_make (-EAGAIN, "refused", a->target));
      return;
    }
  if (!names_attempt (a, call))
    {
      a->mismatch = true;
      fail (a, err_make (-EBADMSG, "attempt-id", a->target));
      return;
    }
  if (a->kind != ATTEMPT_PLAIN)
    a->tokens = usage_tokens (body);
  if (a->first_ms == 0)
    a->first_ms = clock_ms ();
  report (a, ATTEMPT_DONE, ERR_NONE, http_header (call, "Content-Type"), body);
}

static void
on_whole_done (void *ctx, struct http_call *call, struct err err, int status,
               bool sent, struct str body)
{
  struct attempt *a = ctx;

  a->status = status;
  a->sent = a->sent || sent;
  if (err.code != 0)
    fail (a, err);
  else
    finish_whole (a, call, body);
}

/* ---- streams ---- */

static bool
event_is_ours (struct attempt *a, const struct sse_event *event)
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
    return true; /* a comment keeps the connection alive */
  if (event->has_id && event->id <= a->last_event)
    return true; /* repeated by a resume */
  if (str_eq (event->data, STR ("[DONE]")))
    a->finished = true;
  else if (!event_is_ours (a, event))
    {
      a->mismatch = true;
      return false;
    }
  else
    a->tokens++;
  if (event->has_id)
    a->last_event = event->id;
  if (a->first_ms == 0)
    a->first_ms = clock_ms ();
  if (!a->events->part (a->ctx, event->raw))
    a->given_up = true;
  return !a->given_up;
}

static void
on_stream_data (void *ctx, struct http_call *call, struct str part)
{
  struct attempt *a = ctx;

  if (!a->mismatch && !names_attempt (a, call))
    a->mismatch = true;
  if (!a->mismatch && !a->given_up && !sse_feed (&a->sse, part, on_event, a))
    a->given_up = true;
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
  if (a->finished && !a->mismatch && err.code == 0)
    report (a, ATTEMPT_DONE, ERR_NONE, STR ("text/event-stream"),
            (struct str){ 0 });
  else if (a->mismatch)
    fail (a, err_make (-EBADMSG, "attempt-id", a->target));
  else if (err.code != 0)
    fail (a, err);
  else
    fail (a, err_make (-EPIPE, "stream-end", a->target));
}

/* A refusal has a JSON body, not events, and was collected until the end. */
static void
on_stream_call_done (void *ctx, struct http_call *call, struct err err,
                     int status, bool sent, struct str body)
{
  struct attempt *a = ctx;

  if (a->status == 200)
    {
      on_stream_done (ctx, call, err, status, sent, body);
      return;
    }
  const struct str collected = buf_str (&a->sse.in);
  struct str copy = str_dup (collected);
  on_whole_done (ctx, call, err, status, sent, copy);
  str_free (&copy);
}

static void
on_any_data (void *ctx, struct http_call *call, struct str part)
{
  struct attempt *a = ctx;

  if (a->status == 200)
    on_stream_data (ctx, call, part);
  else
    buf_append (&a->sse.in, part);
}

static bool
on_due (void *ctx)
{
  const struct attempt *a = ctx;

  return a->events->wanted (a->ctx);
}

static void
on_head (void *ctx, struct http_call *call, int status)
{
  struct attempt *a = ctx;

  (void)call;
  a->status = status;
}

static const struct http_events stream_events
    = { .wanted = on_due,
        .head = on_head,
        .data = on_any_data,
        .done = on_stream_call_done };
static const struct http_events whole_events
    = { .wanted = on_due, .done = on_whole_done };

/* ---- resume ---- */

static void
on_resume_done (void *ctx, struct http_call *call, struct err err, int status,
                bool sent, struct str body)
{
  struct attempt *a = ctx;

  if (err.code == 0 && status != 200)
    err = err_make (-EPIPE, "resume", a->target);
  on_stream_done (ctx, call, err, status, sent, body);
}

static const struct http_events resume_events
    = { .head = on_head, .data = on_any_data, .done = on_resume_done };

/* Goes on with a broken stream from the last whole event. */
static bool
resume (struct attempt *a)
{
  if (a->kind != ATTEMPT_STREAM || a->first_ms == 0 || a->finished
      || a->resumes == RESUME_LIMIT)
    return false;
  a->resumes++;
  a->resuming = true;
  buf_reset (&a->sse.in);
  struct str url
      = str_printf ("http://" STR_FMT "/streams/" STR_FMT "?from=%lu",
                    STR_ARG (a->target), STR_ARG (a->id), a->last_event);
  const struct http_request req = { .method = STR ("GET"),
                                    .url = url,
                                    .silence_ms = STREAM_SILENCE_MS,
                                    .fresh = true };

  LOG_INFO ("resume", "attempt=" STR_FMT " target=" STR_FMT " from=%lu",
            STR_ARG (a->id), STR_ARG (a->target), a->last_event);
  a->call = http_send (a->http, &req, &resume_events, a);
  str_free (&url);
  return true;
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
attempt_start (struct http *http, const struct attempt_spec *spec,
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
  a->begun_ms = clock_ms ();
  struct str url = target_url (a, path.data);
  const bool stream = spec->kind == ATTEMPT_STREAM;
  const struct http_request req = {
    .method = spec->method,
    .url = url,
    .headers = headers,
    .header_count = n,
    .body = spec->body,
    .silence_ms = stream ? STREAM_SILENCE_MS : 0,
    .total_ms = stream ? 0 : spec->total_ms,
    /* Nothing arrives before a whole answer that would show that a kept
       connection still works, and a repeated attempt must not meet the fault
       of the first. */
    .fresh
    = !spec->repeatable || spec->repeated || spec->kind == ATTEMPT_WHOLE,
  };
  a->call = http_send (http, &req, stream ? &stream_events : &whole_events, a);
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
      = { .method = STR ("DELETE"), .url = url, .total_ms = PROBE_MS };

  http_send (a->http, &req, &events, NULL);
  str_free (&url);
}

void
attempt_cancel (struct attempt *a)
{
  if (a->call)
    http_cancel (a->call);
  if (a->kind != ATTEMPT_PLAIN)
    cancel_at_engine (a);
  free_attempt (a);
}
