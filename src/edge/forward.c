#include "edge/forward.h"

#include <errno.h>
#include <stdlib.h>

#include "edge/topology.h"
#include "platform/callheaders.h"
#include "sse.h"

/* Answers up to this size are held until they are whole, so that one that
   breaks off can be repeated or refused. */
#define HELD_BYTES (256 * 1024)
/* A silent server that nobody can replace is looked at again after this. */
#define SILENCE_RECHECK_MS 100
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
  bool begun;
  bool bad;    /* bytes that cannot belong to the call's answer */
  bool silent; /* the bound without data passed */
  bool over;
  int status;
  uint64_t last_event;
  uint32_t gap_ms;
  struct sse sse;
  struct buf held;
};

static const char *const outcome_names[] = {
  [FORWARD_ANSWERED] = "answered",   [FORWARD_NOT_SENT] = "not-sent",
  [FORWARD_WITHDRAWN] = "withdrawn", [FORWARD_NOT_EXECUTED] = "not-executed",
  [FORWARD_MISPLACED] = "no-model",  [FORWARD_REPLACED] = "other-server",
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

  buf_free (&f->sse.in);
  buf_free (&f->held);
  free (f);
}

static void
release (struct forward *f)
{
  f->over = true;
  uv_close ((uv_handle_t *)&f->timer, free_forward);
}

/* Does the answer bear the call's id, and the server's own body? */
static bool
is_own_answer (const struct forward *f, const struct answer_meta *meta)
{
  return !meta->encoded
         && (meta->id.len == 0 || str_eq (meta->id, f->call_id));
}

static enum forward_outcome
outcome_of (const struct forward *f, const struct http_call *call, int code,
            bool sent)
{
  struct answer_meta meta;

  if (!sent)
    return code == -ECANCELED ? FORWARD_WITHDRAWN : FORWARD_NOT_SENT;
  if (f->status == 0 || f->bad)
    return FORWARD_BROKEN;
  answer_meta_read (call, f->status, &meta);
  if (!is_own_answer (f, &meta))
    return FORWARD_BROKEN;
  if (meta.not_executed && !f->begun)
    {
      if (f->status != 421)
        return FORWARD_NOT_EXECUTED;
      return meta.server_id.len > 0 && !str_eq (meta.server_id, f->server_id)
                 ? FORWARD_REPLACED
                 : FORWARD_MISPLACED;
    }
  if (code != 0 || f->sse.in.len > 0)
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
    .body = buf_str (&f->held),
    .begun = f->begun,
    .silent = f->silent,
  };

  f->over = true;
  f->events->done (f->ctx, &result, call);
  release (f);
}

/* ---- events of the HTTP client ---- */

static bool
on_due (void *ctx)
{
  const struct forward *f = ctx;

  return f->events->wanted (f->ctx);
}

static void
on_head (void *ctx, struct http_call *call, int status)
{
  struct forward *f = ctx;

  (void)call;
  f->status = status;
}

static void
begin (struct forward *f)
{
  f->begun = true;
  f->events->begin (f->ctx, f->call, f->status);
}

static void
on_gap (uv_timer_t *timer)
{
  struct forward *f = timer->data;
  struct http_call *call = f->call;

  if (!f->events->silent (f->ctx))
    {
      uv_timer_start (timer, on_gap, SILENCE_RECHECK_MS, 0);
      return;
    }
  f->silent = true;
  finish (f, call, err_make (-ETIMEDOUT, "wait", f->server_id), true);
  http_cancel (call);
}

static bool
on_event (void *ctx, const struct sse_event *event)
{
  struct forward *f = ctx;

  if (event->has_id && event->id <= f->last_event)
    {
      f->bad = true;
      return false;
    }
  if (event->has_id)
    f->last_event = event->id;
  if (!f->begun)
    begin (f);
  f->events->part (f->ctx, event->raw, f->last_event);
  if (f->over)
    return false;
  if (f->gap_ms > 0)
    uv_timer_start (&f->timer, on_gap, f->gap_ms, 0);
  else
    uv_timer_stop (&f->timer);
  return true;
}

/* Only the answer of the right server to this call goes to the client. */
static bool
may_pass_on (struct forward *f)
{
  struct answer_meta meta;

  answer_meta_read (f->call, f->status, &meta);
  if (meta.sealed && is_own_answer (f, &meta))
    return true;
  f->bad = true;
  return false;
}

static void
take_data (struct forward *f, struct str part)
{
  if (f->stream && f->status == STATUS_OK)
    {
      if (may_pass_on (f) && !sse_feed (&f->sse, part, on_event, f))
        f->bad = true;
      return;
    }
  if (!f->begun && f->held.len + part.len <= HELD_BYTES)
    {
      buf_append (&f->held, part);
      return;
    }
  if (!f->begun)
    {
      if (!may_pass_on (f))
        return;
      begin (f);
      f->events->part (f->ctx, buf_str (&f->held), 0);
      buf_reset (&f->held);
    }
  f->events->part (f->ctx, part, 0);
}

/* Bytes that are no answer may go on without end, so they end the attempt. */
static void
on_data (void *ctx, struct http_call *call, struct str part)
{
  struct forward *f = ctx;

  if (f->over)
    return;
  take_data (f, part);
  if (f->over || !f->bad)
    return;
  finish (f, call, err_make (-EBADMSG, "answer", f->server_id), true);
  http_cancel (call);
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

static const struct http_events http_events = { .wanted = on_due,
                                                .head = on_head,
                                                .data = on_data,
                                                .done = on_done,
                                                .cut = on_cut };

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
    .target = spec->target,
    .headers = spec->lines,
    .header_count = spec->line_count,
    .body = spec->body,
    .connect_ms = SERVER_CONNECT_MS,
    .unframed = true,
    /* libcurl repeats a request by itself on a reused connection that closes
       before the answer. */
    .fresh = !spec->repeatable,
  };

  f->events = events;
  f->ctx = ctx;
  f->call_id = spec->call_id;
  f->server_id = spec->server_id;
  f->stream = spec->stream;
  f->last_event = spec->last_event;
  f->gap_ms = spec->gap_ms;
  uv_timer_init (loop, &f->timer);
  f->timer.data = f;
  if (spec->first_ms > 0)
    uv_timer_start (&f->timer, on_gap, spec->first_ms, 0);
  f->call = http_send (http, &req, &http_events, f);
  str_free (&url);
  return f;
}

void
forward_cancel (struct forward *f)
{
  if (f->over)
    return;
  http_cancel (f->call);
  release (f);
}
