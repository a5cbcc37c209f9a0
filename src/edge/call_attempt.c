#include "edge/call_impl.h"

#include <arpa/inet.h>
#include <errno.h>

#include "clock.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "call"
/* A server that rejected a call does not get it again for this long. */
#define REJECTION_BACKOFF_MS 60
/* Rejections by servers after which a call is refused. One that can't be
   refused any more pauses longer after each rejection instead, since each of
   its repeats is taken from the budget of the other calls. */
#define REJECTIONS_MAX 6
#define REPEAT_BACKOFF_MIN_MS 60
#define REPEAT_BACKOFF_DOUBLINGS_MAX 3
/* Parts of a prompt in a log line. */
#define LOGGED_PARTS_MAX 8
#define STATUS_OK 200
#define STATUS_SUCCESS_END 300

bool
call_repeatable (const struct call *c)
{
  return (c->kind == CALL_IDEMPOTENT && !c->response_started)
         || call_is_resumable (c);
}

uint32_t
call_in_flight_count (const struct call *c)
{
  uint32_t n = 0;

  for (size_t i = 0; i < CALL_ATTEMPTS_IN_FLIGHT_MAX; i++)
    n += c->attempts[i].forward != NULL;
  return n;
}

bool
call_in_flight (const struct call *c)
{
  return call_in_flight_count (c) > 0;
}

uint32_t
call_attempts_left (const struct call *c)
{
  const uint32_t used = c->possible_runs + call_in_flight_count (c);

  return used < c->max_attempts ? c->max_attempts - used : 0;
}

struct call_attempt *
call_other_attempt (const struct call_attempt *a)
{
  struct call *c = a->call;

  for (size_t i = 0; i < CALL_ATTEMPTS_IN_FLIGHT_MAX; i++)
    if (&c->attempts[i] != a && c->attempts[i].forward)
      return &c->attempts[i];
  return NULL;
}

void
call_add_running_demand (struct call *c, int change)
{
  if (c->model_demand)
    c->model_demand->running += (uint32_t)change;
  if (c->adapter_demand)
    c->adapter_demand->running += (uint32_t)change;
}

/* ---- end of an attempt ---- */

static void
end_attempt (struct call_attempt *a)
{
  struct demand_item *queue = call_queue (a->call);

  pool_call_ended (a->server);
  call_add_running_demand (a->call, -1);
  a->forward = NULL;
  if (queue && queue->full_waiting > 0)
    call_check_waiting (a->call->calls);
}

/* The attempt has left a place at its server. */
static void
record_free_place (const struct call_attempt *a)
{
  struct demand_item *queue = call_queue (a->call);

  if (queue)
    drainrate_completed (&queue->drain, clock_ms ());
}

static void
cancel_attempt (struct call_attempt *a)
{
  if (a->sent_ms > 0)
    {
      call_record_cancelled (a);
      record_free_place (a);
    }
  forward_cancel (a->forward);
  end_attempt (a);
}

void
call_cancel_attempts (struct call *c)
{
  for (size_t i = 0; i < CALL_ATTEMPTS_IN_FLIGHT_MAX; i++)
    if (c->attempts[i].forward)
      {
        cancel_attempt (&c->attempts[i]);
        c->server = NULL;
      }
}

/* The server failed on the call, which it may have executed. */
static void
record_failure (const struct call_attempt *a)
{
  call_suspect_crash (a);
  pool_call_failed (a->server, clock_ms ());
}

static void
refund_retry (const struct call_attempt *a)
{
  if (a->uses_retry_budget)
    call_refund_retry (a->call);
}

/* Cancels the other attempt, because this one has responded first. */
static void
select_attempt (struct call_attempt *a)
{
  struct call_attempt *other = call_other_attempt (a);

  a->silent = false;
  if (!other)
    return;
  cancel_attempt (other);
  if (other->sent_ms == 0)
    {
      refund_retry (other);
      return;
    }
  a->call->reached_server = true;
  a->call->possible_runs++;
  if (other->silent)
    record_failure (other);
}

/* ---- events of an attempt ---- */

static void
on_response_start (void *ctx, const struct http_call *response, int status)
{
  struct call_attempt *a = ctx;
  struct call *c = a->call;

  select_attempt (a);
  call_record_response (a);
  if (c->response_start_ms == 0)
    c->response_start_ms = clock_ms ();
  if (!c->response_started)
    call_start_response (c, response, status);
}

static void
record_gap (struct call *c)
{
  const uint64_t now = clock_ms ();

  if (c->last_part_ms > 0 && now - c->last_part_ms > c->longest_gap_ms)
    c->longest_gap_ms = now - c->last_part_ms;
  c->last_part_ms = now;
}

static void
on_caller_drained (void *ctx)
{
  struct call *c = ctx;

  for (size_t i = 0; i < CALL_ATTEMPTS_IN_FLIGHT_MAX; i++)
    if (c->attempts[i].forward)
      forward_resume (c->attempts[i].forward);
}

static void
on_part (void *ctx, struct str part, uint64_t last_event_id)
{
  struct call_attempt *a = ctx;
  struct call *c = a->call;

  select_attempt (a);
  call_record_progress (a);
  if (c->last_part_ms == 0 && call_is_resumable (c))
    call_confirm_version (a);
  c->last_event_id = last_event_id;
  record_gap (c);
  if (caller_write (c->caller, part))
    {
      if (caller_await_drain (c->caller, on_caller_drained))
        forward_pause (a->forward);
      return;
    }
  call_cancel_attempts (c);
  call_fail (c, STATUS_BAD_GATEWAY, "client-reads-too-slowly");
}

bool
call_avoids (const struct call *c, const struct pool_server *server)
{
  return server == c->avoided_server && clock_ms () < c->avoided_until_ms;
}

/* Keeps the call away from the attempt's server for a short time. */
static void
avoid_server (const struct call_attempt *a)
{
  a->call->avoided_server = a->server;
  a->call->avoided_until_ms = clock_ms () + REJECTION_BACKOFF_MS;
}

/* Connecting failed, so that the server received nothing of the call. */
static void
on_connect_failed (const struct call_attempt *a,
                   const struct forward_result *r)
{
  call_server_unreachable (a->call->calls, a->server, r->err.code);
  refund_retry (a);
  avoid_server (a);
  if (!call_in_flight (a->call))
    call_dispatch (a->call);
}

/* The client disconnected while the connection to the server was opened;
   nothing of the call was sent. */
static void
on_withdrawn (const struct call_attempt *a)
{
  struct call *c = a->call;
  const char *reason
      = call_in_flight (c) ? "left-running" : "left-while-connecting";

  refund_retry (a);
  call_cancel_attempts (c);
  call_drop (c, reason);
}

static void
record_rejection (const struct call_attempt *a, enum forward_outcome outcome)
{
  const struct call *c = a->call;

  if (outcome == FORWARD_NO_MODEL)
    pool_model_missing (a->server, c->meta.model, c->meta.adapter,
                        clock_ms ());
  else if (outcome == FORWARD_NOT_EXECUTED)
    pool_call_rejected (a->server, clock_ms ());
  else if (outcome == FORWARD_OTHER_SERVER)
    call_server_replaced (c->calls, a->server);
}

static void
delay_repeat (struct call *c)
{
  uint32_t doublings = c->rejections - 1;

  if (doublings > REPEAT_BACKOFF_DOUBLINGS_MAX)
    doublings = REPEAT_BACKOFF_DOUBLINGS_MAX;
  c->repeat_after_ms = clock_ms () + (REPEAT_BACKOFF_MIN_MS << doublings);
}

/* The server certainly did not execute the call. */
static void
on_rejected (const struct call_attempt *a, const struct forward_result *r)
{
  struct call *c = a->call;

  c->reached_server = true;
  c->rejections++;
  record_rejection (a, r->outcome);
  avoid_server (a);
  delay_repeat (c);
  if (call_in_flight (c))
    return;
  if (c->rejections >= REJECTIONS_MAX && !c->response_started)
    call_give_up (c, 0, "turned-away");
  else
    call_dispatch (c);
}

/* The call may have been executed, but there is no usable response. Goes on
   with the other attempt or another server, if the call allows it. */
static void
repeat_or_fail (const struct call_attempt *a, int status, const char *reason)
{
  struct call *c = a->call;

  c->reached_server = true;
  c->possible_runs++;
  c->avoided_server = a->server;
  if (call_in_flight (c))
    return;
  if (!call_repeatable (c) || call_attempts_left (c) == 0
      || call_ms_until (c->response_deadline_ms) < ATTEMPT_MIN_MS)
    call_fail (c, status, reason);
  else
    call_dispatch (c);
}

static void
on_broken (const struct call_attempt *a, const struct forward_result *r)
{
  const int status = r->err.code == -ETIMEDOUT ? STATUS_GATEWAY_TIMEOUT
                                               : STATUS_BAD_GATEWAY;

  record_failure (a);
  repeat_or_fail (a, status, "server-broke-off");
}

static bool
is_event_stream (const struct http_call *response)
{
  return str_starts (http_header (response, "Content-Type"),
                     STR ("text/event-stream"));
}

/* Returns true if the response ends the call. A stream that has begun goes on
   with events; a stream without any says that there are no more. Without a
   framed body the server may as well have crashed before its first event. */
static bool
ends_call (const struct call *c, const struct forward_result *r,
           const struct http_call *response)
{
  if (!c->response_started || r->response_started)
    return true;
  return r->status == STATUS_OK && is_event_stream (response)
         && (http_header (response, "Content-Length").len > 0
             || http_header (response, "Transfer-Encoding").len > 0);
}

/* The server responded to a stream that was to be resumed with something else
   than events. */
static void
on_not_resumed (const struct call_attempt *a, const struct forward_result *r)
{
  LOG_INFO ("not-resumed", "id=" STR_FMT " server=" STR_FMT " status=%d",
            STR_ARG (a->call->meta.client_attempt_id),
            STR_ARG (pool_server_id (a->server)), r->status);
  pool_call_failed (a->server, clock_ms ());
  repeat_or_fail (a, STATUS_BAD_GATEWAY, "stream-not-resumed");
}

static void
on_answered (struct call_attempt *a, const struct forward_result *r,
             const struct http_call *response)
{
  struct call *c = a->call;

  if (!ends_call (c, r, response))
    {
      on_not_resumed (a, r);
      return;
    }
  c->possible_runs++;
  select_attempt (a);
  if (r->status < STATUS_SUCCESS_END)
    call_record_completion (a);
  pool_call_served (a->server);
  if (c->response_started)
    call_finish_response (c);
  else
    call_send_response (c, r, response);
}

static void
count_attempt (const struct call *c, enum forward_outcome outcome)
{
  struct str labels
      = str_printf ("service=\"" STR_FMT "\",outcome=\"%s\"",
                    STR_ARG (c->service), forward_outcome_name (outcome));

  metrics_add ("galenagate_attempts_total", labels, 1);
  str_free (&labels);
}

static void
join_parts (const struct call_meta *meta, struct buf *out)
{
  struct str parts = meta->prompt_parts;
  struct str id;

  for (size_t i = 0;
       i < LOGGED_PARTS_MAX && call_next_shared_part (&parts, &id); i++)
    {
      if (i > 0)
        buf_append (out, STR (","));
      buf_append (out, id);
    }
}

static void
log_failed_attempt (const struct call_attempt *a,
                    const struct forward_result *r)
{
  const struct call *c = a->call;
  struct buf parts = { 0 };

  join_parts (&c->meta, &parts);
  LOG_INFO (
      "attempt-failed",
      "id=" STR_FMT " fingerprint=%016lx client=%08x"
      " parts=" STR_FMT " server=" STR_FMT
      " outcome=%s status=%d timed_out=%d response_started=%d " LOG_E_FMT,
      STR_ARG (c->meta.client_attempt_id), c->fingerprint,
      ntohl (c->client_address), STR_ARG (parts),
      STR_ARG (pool_server_id (a->server)), forward_outcome_name (r->outcome),
      r->status, r->timed_out, r->response_started, LOG_E_ARG (r->err));
  buf_free (&parts);
}

static void
on_done (void *ctx, const struct forward_result *r,
         const struct http_call *response)
{
  struct call_attempt *a = ctx;
  struct call *c = a->call;

  end_attempt (a);
  c->server = a->server;
  count_attempt (c, r->outcome);
  if (r->outcome != FORWARD_ANSWERED)
    log_failed_attempt (a, r);
  if (r->outcome == FORWARD_ANSWERED || r->outcome == FORWARD_BROKEN)
    record_free_place (a);
  switch (r->outcome)
    {
    case FORWARD_ANSWERED:
      on_answered (a, r, response);
      break;
    case FORWARD_BROKEN:
      on_broken (a, r);
      break;
    case FORWARD_NOT_SENT:
      on_connect_failed (a, r);
      break;
    case FORWARD_WITHDRAWN:
      on_withdrawn (a);
      break;
    default:
      on_rejected (a, r);
      break;
    }
}

/* Runs before the first byte is sent. */
static bool
on_confirm_send (void *ctx)
{
  struct call_attempt *a = ctx;

  if (caller_disconnected (a->call->caller))
    return false;
  if (a->sent_ms == 0)
    a->sent_ms = clock_ms ();
  return true;
}

static void
on_head (void *ctx, const struct answer_meta *meta)
{
  const struct call_attempt *a = ctx;
  const struct str id = a->call->meta.client_attempt_id;
  const struct str server = pool_server_id (a->server);

  if (site_server_start (a->server) != a->server_start)
    return;
  if (meta->leaving && pool_server_announced_leaving (a->server))
    {
      LOG_INFO ("server-leaves", "server=" STR_FMT " id=" STR_FMT,
                STR_ARG (server), STR_ARG (id));
      metrics_add ("galenagate_servers_left_total", STR (""), 1);
    }
  if (meta->retry_after_ms == 0)
    return;
  LOG_INFO ("server-deferred",
            "server=" STR_FMT " id=" STR_FMT " retry_after_ms=%u",
            STR_ARG (server), STR_ARG (id), meta->retry_after_ms);
  metrics_add ("galenagate_servers_deferred_total", STR (""), 1);
  pool_defer_calls (a->server, clock_ms () + meta->retry_after_ms);
}

static uint32_t
on_silence (void *ctx)
{
  return call_handle_silence (ctx);
}

const struct forward_events call_attempt_events = {
  .confirm_send = on_confirm_send,
  .head = on_head,
  .silence = on_silence,
  .start = on_response_start,
  .part = on_part,
  .done = on_done,
};
