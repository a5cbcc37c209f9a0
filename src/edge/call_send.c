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
/* Retry-After for a request that is refused because it crashes servers. */
#define QUARANTINE_RETRY_AFTER_MS 60000
#define STATUS_BAD_GATEWAY 502
#define STATUS_GATEWAY_TIMEOUT 504

static uint64_t
remaining_ms (uint64_t end_ms)
{
  const uint64_t now = clock_ms ();

  return end_ms > now ? end_ms - now : 0;
}

/* ---- attempt ---- */

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
  if (timeout_ms > remaining_ms (c->response_deadline_ms) / 2)
    timeout_ms = (uint32_t)(remaining_ms (c->response_deadline_ms) / 2);
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
      || remaining_ms (c->response_deadline_ms) < ATTEMPT_MIN_MS)
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

static struct pool_criteria
need_of (const struct call *c)
{
  const struct routing *routing = site_routing (c->calls->site);
  const struct service *service
      = routing ? routing_service (routing, c->service) : NULL;

  return (struct pool_criteria){
    .service = c->service,
    .engine = service ? service->engine : NULL,
    .model = c->meta.model,
    .adapter = c->meta.adapter,
    .domain = edge_settings ()->domain,
    .avoid = c->avoided_server,
  };
}

/* Returns true if the attempt is to be ended. A silent server may still
   respond, so this requires that another server can take the call at once. */
static bool
on_silence_timeout (void *ctx)
{
  struct call *c = ctx;
  struct pool_criteria criteria = need_of (c);
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
            clock_ms () - c->arrival_ms, remaining_ms (c->client_deadline_ms),
            c->config_version);
}

static void
send_to (struct call *c, struct pool_server *server, bool engine)
{
  struct str lines[CALL_HEADERS_MAX];
  const struct call_extra_headers stamp = {
    .deadline_ms = remaining_ms (c->client_deadline_ms),
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

/* ---- dispatch ---- */

/* POOL_CHOSEN: a server could take the call, but the retry budget does not
   allow it yet. */
static const char *const wait_reason_names[] = {
  [POOL_CHOSEN] = "retry-budget",   [POOL_NO_SERVER] = "no-server",
  [POOL_NO_MODEL] = "no-model",     [POOL_NO_ADAPTER] = "no-adapter",
  [POOL_FULL] = "all-servers-full",
};

/* Counts a first send, or takes a retry from the budget if an earlier attempt
   may have reached a server. Returns false if the budget doesn't allow it. */
static bool
admit_send (struct call *c)
{
  c->uses_retry_budget = c->reached_server;
  if (c->reached_server)
    return call_take_retry (c);
  if (!c->first_send_counted)
    call_count_first_send (c);
  c->first_send_counted = true;
  return true;
}

void
call_give_up (struct call *c, uint32_t retry_after_ms, const char *reason)
{
  if (c->possible_runs > 0)
    call_fail (c, STATUS_BAD_GATEWAY, reason);
  else
    call_refuse (c, retry_after_ms, reason);
}

static void
wait (struct call *c, const struct pool_criteria *criteria,
      enum pool_result result)
{
  const uint64_t now = clock_ms ();
  const uint32_t ready_in
      = result == POOL_NO_MODEL
            ? pool_ready_in (site_pool (c->calls->site), criteria, now)
            : UINT32_MAX;

  if (!c->response_started && ready_in != UINT32_MAX
      && now + ready_in > call_wait_deadline_ms (c))
    {
      call_give_up (c, ready_in, "model-loads-too-late");
      return;
    }
  if (c->waiting && c->wait_reason == result)
    return;
  call_set_waiting (c, true);
  c->wait_reason = result;
  LOG_INFO ("wait",
            CALL_LOG_FMT
            " reason=%s ready_in_ms=%ld max_wait_ms=%lu config=%lu",
            CALL_LOG_ARG (c), wait_reason_names[result],
            ready_in == UINT32_MAX ? -1L : (long)ready_in,
            remaining_ms (call_wait_deadline_ms (c)), c->config_version);
  if (result == POOL_NO_MODEL || result == POOL_NO_ADAPTER)
    kernel_publish (c->calls->kernel, TOPIC_DEMAND, NULL, NULL);
}

void
call_dispatch (struct call *c)
{
  struct call_table *calls = c->calls;
  const struct pool_criteria criteria = need_of (c);
  struct pool_server *server;
  enum pool_result result;

  if (remaining_ms (c->response_deadline_ms) < ATTEMPT_MIN_MS)
    {
      call_give_up (c, 0, "no-time-left");
      return;
    }
  if (quarantine_contains (site_quarantine (calls->site), c->fingerprint,
                           clock_ms ()))
    {
      call_give_up (c, QUARANTINE_RETRY_AFTER_MS, "crashes-servers");
      return;
    }
  result
      = pool_choose (site_pool (calls->site), &criteria, clock_ms (), &server);
  if (result == POOL_CHOSEN && server == c->avoided_server
      && clock_ms () < c->avoided_until_ms)
    result = POOL_FULL;
  /* For calls that keep waiting, the client check timer does this. */
  if ((result == POOL_CHOSEN || !c->waiting)
      && caller_disconnected (c->caller))
    {
      call_drop (c, "left-before-send");
      return;
    }
  if (result == POOL_CHOSEN && admit_send (c))
    send_to (c, server, criteria.engine != NULL);
  else if (c->response_started)
    /* A cut can't be taken back, and each of these conditions may pass. */
    wait (c, &criteria, result);
  else if (result == POOL_CHOSEN)
    call_give_up (c, 0, "retry-budget");
  else if (result == POOL_NO_SERVER)
    call_give_up (c, 0, "no-server");
  else
    wait (c, &criteria, result);
}
