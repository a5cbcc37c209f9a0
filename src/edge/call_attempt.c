#include "edge/call_impl.h"

#include <errno.h>
#include <stdio.h>

#include "clock.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "call"
/* A server that rejected a call does not get it again for this long. */
#define REJECTION_BACKOFF_MS 60
/* Rejections by servers after which a call is refused. */
#define REJECTIONS_MAX 6
/* A repeatable call is sent to another server when the first one sends
   nothing for this many times the latency objective. */
#define SILENCE_LATENCY_FACTOR 3
#define SILENCE_TIMEOUT_MIN_MS 300
/* A resumable stream moves to another server after a pause of this many times
   the longest on-time pause between events. Engines also pause when they
   preempt, which the factor allows for. */
#define EVENT_GAP_FACTOR 5
#define EVENT_GAP_TIMEOUT_MIN_MS 1000
#define PRIORITY_LOWEST 9
#define STATUS_BAD_GATEWAY 502
#define STATUS_GATEWAY_TIMEOUT 504

static bool
repeatable (const struct call *c)
{
  return c->kind == CALL_IDEMPOTENT
         || (c->kind == CALL_STREAM && c->resumable);
}

static bool
has_attempts_left (const struct call *c)
{
  return c->possible_runs < c->max_attempts;
}

static uint32_t
first_event_timeout (const struct call *c)
{
  uint32_t timeout_ms = c->latency_objective_ms * SILENCE_LATENCY_FACTOR;

  /* A timeout helps only a call that can be sent once more. */
  if (!repeatable (c) || c->possible_runs + 1 >= c->max_attempts)
    return 0;
  if (timeout_ms < SILENCE_TIMEOUT_MIN_MS)
    timeout_ms = SILENCE_TIMEOUT_MIN_MS;
  if (timeout_ms > call_ms_until (c->response_deadline_ms) / 2)
    timeout_ms = (uint32_t)(call_ms_until (c->response_deadline_ms) / 2);
  return timeout_ms;
}

static uint32_t
event_gap_timeout (const struct call *c)
{
  const uint32_t timeout_ms = c->event_gap_ms * EVENT_GAP_FACTOR;

  if (!repeatable (c) || c->possible_runs + 1 >= c->max_attempts)
    return 0;
  return timeout_ms > EVENT_GAP_TIMEOUT_MIN_MS ? timeout_ms
                                               : EVENT_GAP_TIMEOUT_MIN_MS;
}

static void
add_running_demand (struct call *c, int change)
{
  if (c->model_demand)
    c->model_demand->running += (uint32_t)change;
  if (c->adapter_demand)
    c->adapter_demand->running += (uint32_t)change;
}

static void
on_response_start (void *ctx, const struct http_call *response, int status)
{
  struct call *c = ctx;

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
on_part (void *ctx, struct str part, uint64_t last_event_id)
{
  struct call *c = ctx;

  c->last_event_id = last_event_id;
  record_gap (c);
  if (caller_write (c->caller, part))
    return;
  call_cancel_attempt (c);
  call_fail (c, STATUS_BAD_GATEWAY, "client-reads-too-slowly");
}

static void
end_attempt (struct call *c)
{
  pool_call_ended (c->server);
  add_running_demand (c, -1);
  c->forward = NULL;
}

void
call_cancel_attempt (struct call *c)
{
  if (!c->forward)
    return;
  forward_cancel (c->forward);
  end_attempt (c);
  c->server = NULL;
}

/* Keeps the call away from the server of its last attempt for a short time. */
static void
avoid_server (struct call *c)
{
  c->avoided_server = c->server;
  c->avoided_until_ms = clock_ms () + REJECTION_BACKOFF_MS;
}

/* Connecting failed, so that the server received nothing of the call. */
static void
on_connect_failed (struct call *c)
{
  call_server_unreachable (c->calls, c->server);
  if (c->uses_retry_budget)
    call_refund_retry (c);
  avoid_server (c);
  call_dispatch (c);
}

/* The client disconnected while the connection to the server was opened;
   nothing of the call was sent. */
static void
on_withdrawn (struct call *c)
{
  if (c->uses_retry_budget)
    call_refund_retry (c);
  call_drop (c, "left-while-connecting");
}

/* The server certainly did not execute the call. */
static void
on_rejected (struct call *c, const struct forward_result *r)
{
  c->reached_server = true;
  c->rejections++;
  switch (r->outcome)
    {
    case FORWARD_NO_MODEL:
      pool_model_missing (c->server, c->meta.model, c->meta.adapter,
                          clock_ms ());
      break;
    case FORWARD_NOT_EXECUTED:
      pool_call_rejected (c->server, clock_ms ());
      break;
    case FORWARD_OTHER_SERVER:
      pool_server_replaced (c->server);
      break;
    default:
      break;
    }
  avoid_server (c);
  if (c->rejections >= REJECTIONS_MAX && !c->response_started)
    call_refuse (c, 0, "turned-away");
  else
    call_dispatch (c);
}

/* The call may have been executed, but there is no usable response. */
static void
on_broken (struct call *c, const struct forward_result *r)
{
  call_suspect_crash (c);
  pool_call_failed (c->server, clock_ms ());
  c->reached_server = true;
  c->possible_runs++;
  c->avoided_server = c->server;
  if (!repeatable (c) || !has_attempts_left (c)
      || call_ms_until (c->response_deadline_ms) < ATTEMPT_MIN_MS)
    call_fail (c,
               r->err.code == -ETIMEDOUT ? STATUS_GATEWAY_TIMEOUT
                                         : STATUS_BAD_GATEWAY,
               "server-broke-off");
  else
    call_dispatch (c);
}

static void
on_answered (struct call *c, const struct forward_result *r,
             const struct http_call *response)
{
  c->possible_runs++;
  quarantine_request_completed (site_quarantine (c->calls->site),
                                c->fingerprint, clock_ms ());
  pool_call_served (c->server);
  if (r->response_started)
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
on_done (void *ctx, const struct forward_result *r,
         const struct http_call *response)
{
  struct call *c = ctx;

  end_attempt (c);
  count_attempt (c, r->outcome);
  if (r->outcome != FORWARD_ANSWERED)
    LOG_INFO (
        "attempt-failed",
        "id=" STR_FMT " server=" STR_FMT
        " outcome=%s status=%d timed_out=%d response_started=%d " LOG_E_FMT,
        STR_ARG (c->meta.client_attempt_id),
        STR_ARG (pool_server_id (c->server)),
        forward_outcome_name (r->outcome), r->status, r->timed_out,
        r->response_started, LOG_E_ARG (r->err));
  switch (r->outcome)
    {
    case FORWARD_ANSWERED:
      on_answered (c, r, response);
      break;
    case FORWARD_BROKEN:
      on_broken (c, r);
      break;
    case FORWARD_NOT_SENT:
      on_connect_failed (c);
      break;
    case FORWARD_WITHDRAWN:
      on_withdrawn (c);
      break;
    default:
      on_rejected (c, r);
      break;
    }
}

/* Returns true if the attempt is to be ended. A silent server may still
   respond, so this requires that another server can take the call at once. */
static bool
on_silence_timeout (void *ctx)
{
  struct call *c = ctx;
  struct pool_criteria criteria = call_criteria (c);
  struct pool_server *other;

  criteria.avoid = c->server;
  return call_retry_allowed (c)
         && pool_choose (site_pool (c->calls->site), &criteria, clock_ms (),
                         &other)
                == POOL_CHOSEN
         && other != c->server;
}

static bool
is_wanted (void *ctx)
{
  const struct call *c = ctx;

  return !caller_disconnected (c->caller);
}

static const struct forward_events forward_events = {
  .confirm_send = is_wanted,
  .timeout = on_silence_timeout,
  .start = on_response_start,
  .part = on_part,
  .done = on_done,
};

static struct str
resume_event_id (struct call *c)
{
  if (c->kind != CALL_STREAM || c->last_event_id == 0)
    return (struct str){ 0 };
  snprintf (c->last_event_id_text, sizeof c->last_event_id_text, "%lu",
            c->last_event_id);
  return str_from (c->last_event_id_text);
}

static void
log_send (const struct call *c, const struct pool_server *server)
{
  const struct pool_server_stats stats
      = pool_get_server_stats (server, clock_ms ());

  LOG_INFO ("send",
            CALL_LOG_FMT
            " server=" STR_FMT
            " attempt=%u last_event=%lu running=%u other_nodes=%u"
            " view_age_ms=%lu wait_ms=%lu deadline_ms=%lu config=%lu",
            CALL_LOG_ARG (c), STR_ARG (pool_server_id (server)),
            c->possible_runs + c->rejections + 1, c->last_event_id,
            stats.running, stats.other_nodes_running, stats.view_age_ms,
            clock_ms () - c->arrival_ms, call_ms_until (c->client_deadline_ms),
            c->config_version);
}

void
call_start_attempt (struct call *c, struct pool_server *server, bool engine)
{
  struct str lines[CALL_HEADERS_MAX];
  const struct call_extra_headers stamp = {
    .deadline_ms = call_ms_until (c->client_deadline_ms),
    .server_id = pool_server_id (server),
    .priority = !engine                         ? -1
                : c->priority > PRIORITY_LOWEST ? PRIORITY_LOWEST
                                                : (int)c->priority,
    .last_event_id = resume_event_id (c),
  };
  const size_t count = call_headers (c->fields, c->field_count, &stamp, lines);
  const struct forward_spec spec = {
    .address = pool_server_address (server),
    .method = c->method,
    .request_target = c->request_target,
    .headers = lines,
    .header_count = count,
    .body = c->body,
    .call_id = c->meta.client_attempt_id,
    .server_id = pool_server_id (server),
    .stream = c->kind == CALL_STREAM,
    .last_event_id = c->last_event_id,
    .first_event_timeout_ms = first_event_timeout (c),
    .gap_timeout_ms = event_gap_timeout (c),
    .repeatable = repeatable (c),
  };

  call_set_waiting (c, false);
  log_send (c, server);
  c->server = server;
  c->sent_ms = clock_ms ();
  pool_call_started (server);
  add_running_demand (c, 1);
  c->forward = forward_start (c->calls->http, c->calls->loop, &spec,
                              &forward_events, c);
  for (size_t i = 0; i < count; i++)
    str_free (&lines[i]);
}
