#include "edge/forward.h"

#include <errno.h>
#include <stdlib.h>

#include "edge/topology.h"
#include "platform/callheaders.h"
#include "sse.h"

/* Responses up to this size are buffered until they are complete, so that the
   call can be repeated or refused if the response breaks off. */
#define BUFFERED_BYTES_MAX (256 * 1024)
#define STATUS_OK 200

struct forward
{
  struct http_call *call;
  const struct forward_events *events;
  void *ctx;
  struct str call_id;
  struct str server_id;
  uv_timer_t timer;
  bool stream;
  bool response_started;
  bool forwardable; /* signed by the server, and the body is unmodified */
  bool malformed;   /* data that can't be part of the call's response */
  bool timed_out;
  bool finished;
  bool paused;
  int status;
  uint64_t last_event_id;
  uint32_t gap_timeout_ms;
  struct sse sse;
  struct buf buffered;
};

static const char *const outcome_names[] = {
  [FORWARD_ANSWERED] = "answered",   [FORWARD_NOT_SENT] = "not-sent",
  [FORWARD_WITHDRAWN] = "withdrawn", [FORWARD_NOT_EXECUTED] = "not-executed",
  [FORWARD_NO_MODEL] = "no-model",   [FORWARD_OTHER_SERVER] = "other-server",
  [FORWARD_BROKEN] = "broken",
};

const char *
forward_outcome_name (enum forward_outcome outcome)
{
  return outcome_names[outcome];
}

/* Runs after the callback that ended the attempt, which may still read the
   buffers. */
static void
free_forward (uv_handle_t *handle)
{
  struct forward *f = handle->data;

  buf_free (&f->sse.pending);
  buf_free (&f->buffered);
  free (f);
}

static void
release (struct forward *f)
{
  f->finished = true;
  uv_close ((uv_handle_t *)&f->timer, free_forward);
}

static enum forward_outcome
outcome_of (const struct forward *f, const struct http_call *call, int code,
            bool sent)
{
  struct answer_meta meta;

  if (!sent)
    return code == -ECANCELED ? FORWARD_WITHDRAWN : FORWARD_NOT_SENT;
  if (f->status == 0 || f->malformed)
    return FORWARD_BROKEN;
  answer_meta_read (call, f->status, &meta);
  if (meta.encoded)
    return FORWARD_BROKEN;
  if (meta.not_executed && !f->response_started)
    {
      if (f->status != 421)
        return FORWARD_NOT_EXECUTED;
      return meta.server_id.len > 0 && !str_eq (meta.server_id, f->server_id)
                 ? FORWARD_OTHER_SERVER
                 : FORWARD_NO_MODEL;
    }
  if (code != 0 || f->sse.pending.len > 0)
    return FORWARD_BROKEN;
  if (f->status < 300 && !meta.sealed)
    return FORWARD_BROKEN;
  return FORWARD_ANSWERED;
}

static void
finish (struct forward *f, struct http_call *call, struct err err, bool sent)
{
  const struct forward_result result = {
    .outcome = outcome_of (f, call, err.code, sent),
    .err = err,
    .status = f->status,
    .body = buf_str (&f->buffered),
    .response_started = f->response_started,
    .timed_out = f->timed_out,
  };

  f->finished = true;
  f->events->done (f->ctx, &result, call);
  release (f);
}

/* ---- events of the HTTP client ---- */

static bool
on_due (void *ctx)
{
  const struct forward *f = ctx;

  return f->events->confirm_send (f->ctx);
}

/* Ends the attempt at malformed data, which may never end by itself. Closes
   the connection, on which more of it may follow. */
static void
end_malformed (struct forward *f, struct http_call *call)
{
  f->malformed = true;
  finish (f, call, err_make (-EBADMSG, "answer", f->server_id), true);
  http_cancel (call);
}

/* Returns true if a later request on the connection may be lost: a server may
   write its refusal once more, in front of the next response, and may close
   the connection soon after a stream. */
static bool
is_connection_unreliable (const struct forward *f,
                          const struct http_call *call,
                          const struct answer_meta *meta)
{
  return meta->not_executed
         || (f->stream && http_header (call, "Keep-Alive").len == 0);
}

static void
on_head (void *ctx, struct http_call *call, int status)
{
  struct forward *f = ctx;
  struct answer_meta meta;

  if (f->finished)
    return;
  f->status = status;
  answer_meta_read (call, status, &meta);
  f->forwardable = meta.sealed && !meta.encoded;
  if (is_connection_unreliable (f, call, &meta))
    http_mark_connection_unreliable (call);
  /* A response without the call's id may belong to an earlier call on the
     connection. */
  if (str_eq (meta.id, f->call_id))
    f->events->head (f->ctx, &meta);
  else
    end_malformed (f, call);
}

static void
begin (struct forward *f)
{
  f->response_started = true;
  f->events->start (f->ctx, f->call, f->status);
}

static void
on_silence (uv_timer_t *timer)
{
  struct forward *f = timer->data;
  struct http_call *call = f->call;
  const uint32_t next_ms = f->events->silence (f->ctx);

  if (next_ms > 0)
    {
      uv_timer_start (timer, on_silence, next_ms, 0);
      return;
    }
  f->timed_out = true;
  finish (f, call, err_make (-ETIMEDOUT, "wait", f->server_id), true);
  http_cancel (call);
}

/* Returns true if the attempt is to resume a stream and has not yet sent an
   event that follows those before. */
static bool
awaits_resume (const struct forward *f)
{
  return f->last_event_id > 0 && !f->response_started;
}

static void
restart_silence (struct forward *f)
{
  if (f->gap_timeout_ms > 0 && !f->paused)
    uv_timer_start (&f->timer, on_silence, f->gap_timeout_ms, 0);
  else
    uv_timer_stop (&f->timer);
}

static bool
on_event (void *ctx, const struct sse_event *event)
{
  struct forward *f = ctx;

  if (awaits_resume (f) && !event->has_id)
    {
      /* A failure's text, between events of the stream. */
      f->malformed = !event->is_comment;
      return event->is_comment;
    }
  if (event->has_id && event->id <= f->last_event_id)
    {
      f->malformed = true;
      return false;
    }
  if (event->has_id)
    f->last_event_id = event->id;
  if (!f->response_started)
    begin (f);
  f->events->part (f->ctx, event->raw, f->last_event_id);
  if (f->finished)
    return false;
  restart_silence (f);
  return true;
}

static void
handle_data (struct forward *f, struct str part)
{
  if (f->stream && f->status == STATUS_OK)
    {
      if (!f->forwardable || !sse_feed (&f->sse, part, on_event, f))
        f->malformed = true;
      return;
    }
  if (!f->response_started && f->buffered.len + part.len <= BUFFERED_BYTES_MAX)
    {
      buf_append (&f->buffered, part);
      return;
    }
  /* A call of a stream may be resumed after what was forwarded, which must
     therefore be events. */
  if (f->stream)
    {
      f->malformed = true;
      return;
    }
  if (!f->response_started)
    {
      if (!f->forwardable)
        {
          f->malformed = true;
          return;
        }
      begin (f);
      uv_timer_stop (&f->timer);
      f->events->part (f->ctx, buf_str (&f->buffered), 0);
      buf_reset (&f->buffered);
    }
  f->events->part (f->ctx, part, 0);
}

static void
on_data (void *ctx, struct http_call *call, struct str part)
{
  struct forward *f = ctx;

  if (f->finished)
    return;
  handle_data (f, part);
  if (!f->finished && f->malformed)
    end_malformed (f, call);
}

static void
on_done (void *ctx, struct http_call *call, struct err err, int status,
         bool sent, struct str body)
{
  struct forward *f = ctx;

  (void)status;
  (void)body;
  finish (f, call, err, sent);
}

static void
on_cut (void *ctx)
{
  release (ctx);
}

static const struct http_events http_events = { .confirm_send = on_due,
                                                .head = on_head,
                                                .data = on_data,
                                                .done = on_done,
                                                .closed = on_cut };

struct forward *
forward_start (struct http *http, uv_loop_t *loop,
               const struct forward_spec *spec,
               const struct forward_events *events, void *ctx)
{
  struct forward *f = xcalloc (1, sizeof *f);
  struct str url = str_printf ("http://" STR_FMT "/", STR_ARG (spec->address));
  const struct http_request req = {
    .method = spec->method,
    .url = url,
    .target = spec->request_target,
    .headers = spec->headers,
    .header_count = spec->header_count,
    .body = spec->body,
    .connect_ms = SERVER_CONNECT_MS,
    .allow_close_delimited = true,
    .fresh_connection = spec->fresh_connection,
    .run_once = spec->run_once,
  };

  f->events = events;
  f->ctx = ctx;
  f->call_id = spec->call_id;
  f->server_id = spec->server_id;
  f->stream = spec->stream;
  f->last_event_id = spec->last_event_id;
  f->gap_timeout_ms = spec->gap_timeout_ms;
  uv_timer_init (loop, &f->timer);
  f->timer.data = f;
  if (spec->first_event_timeout_ms > 0)
    uv_timer_start (&f->timer, on_silence, spec->first_event_timeout_ms, 0);
  f->call = http_send (http, &req, &http_events, f);
  str_free (&url);
  return f;
}

void
forward_cancel (struct forward *f)
{
  if (f->finished)
    return;
  http_cancel (f->call);
  release (f);
}

void
forward_pause (struct forward *f)
{
  if (f->finished || f->paused)
    return;
  f->paused = true;
  uv_timer_stop (&f->timer);
  http_pause (f->call);
}

void
forward_resume (struct forward *f)
{
  if (f->finished || !f->paused)
    return;
  f->paused = false;
  if (f->stream)
    restart_silence (f);
  http_resume (f->call);
}
