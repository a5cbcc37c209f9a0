#include "edge/call_impl.h"

#include <errno.h>
#include <stdio.h>

#include "clock.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "call"
/* A server that turned a call away does not get it again before this time. */
#define TURNED_AWAY_MS 60
/* Servers that may turn a call away before it is refused. */
#define BOUNCES_MAX 6
/* A call that may be repeated is sent to another server when the first one is
   silent for this many times the latency objective. */
#define SILENCE_TARGETS 3
#define SILENCE_MIN_MS 300
/* Pause between events after which a stream goes on at another server, in
   pauses that are still on time. Engines also pause when they preempt. */
#define GAP_FACTOR 5
#define GAP_MIN_MS 1000
#define PRIORITY_LOWEST 9
/* When a request that crashes servers may come back. */
#define CRASHER_RETRY_AFTER_MS 60000
#define STATUS_BAD_GATEWAY 502
#define STATUS_GATEWAY_TIMEOUT 504

static uint64_t
left_ms (uint64_t end_ms)
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
attempts_left (const struct call *c)
{
  return c->runs < c->max_attempts;
}

static uint32_t
first_bound (const struct call *c)
{
  uint32_t bound = c->target_ms * SILENCE_TARGETS;

  /* Only a call that can be sent once more gains by an end. */
  if (!repeatable (c) || c->runs + 1 >= c->max_attempts)
    return 0;
  if (bound < SILENCE_MIN_MS)
    bound = SILENCE_MIN_MS;
  if (bound > left_ms (c->end_ms) / 2)
    bound = (uint32_t)(left_ms (c->end_ms) / 2);
  return bound;
}

static uint32_t
gap_bound (const struct call *c)
{
  const uint32_t bound = c->event_gap_ms * GAP_FACTOR;

  if (!repeatable (c) || c->runs + 1 >= c->max_attempts)
    return 0;
  return bound > GAP_MIN_MS ? bound : GAP_MIN_MS;
}

static void
demand_running (struct call *c, int change)
{
  if (c->demand_model)
    c->demand_model->running += (uint32_t)change;
  if (c->demand_adapter)
    c->demand_adapter->running += (uint32_t)change;
}

static void
on_begin (void *ctx, const struct http_call *answer, int status)
{
  struct call *c = ctx;

  if (c->first_ms == 0)
    c->first_ms = clock_ms ();
  if (!c->answer_begun)
    call_begin_answer (c, answer, status);
}

static void
note_gap (struct call *c)
{
  const uint64_t now = clock_ms ();

  if (c->part_ms > 0 && now - c->part_ms > c->gap_ms)
    c->gap_ms = now - c->part_ms;
  c->part_ms = now;
}

static void
on_part (void *ctx, struct str part, uint64_t last_event)
{
  struct call *c = ctx;

  c->last_event = last_event;
  note_gap (c);
  if (caller_write (c->caller, part))
    return;
  call_abandon (c);
  call_fail (c, STATUS_BAD_GATEWAY, "client-reads-too-slowly");
}

static void
end_attempt (struct call *c)
{
  pool_end (c->server);
  demand_running (c, -1);
  c->forward = NULL;
}

void
call_abandon (struct call *c)
{
  if (!c->forward)
    return;
  forward_cancel (c->forward);
  end_attempt (c);
  c->server = NULL;
}

/* The server of the attempt that ended does not get the call again soon. */
static void
avoid_server (struct call *c)
{
  c->avoid = c->server;
  c->avoid_until_ms = clock_ms () + TURNED_AWAY_MS;
}

/* No connection: the server saw nothing of the call. */
static void
on_unreached (struct call *c)
{
  call_found_dead (c->calls, c->server);
  if (c->from_budget)
    call_retry_give_back (c);
  avoid_server (c);
  call_proceed (c);
}

/* The client left while the connection to the server was opened; nothing of
   its call was sent. */
static void
on_withdrawn (struct call *c)
{
  if (c->from_budget)
    call_retry_give_back (c);
  call_drop (c, "left-while-connecting");
}

/* The call certainly did not run at the server. */
static void
on_turned_away (struct call *c, const struct forward_result *r)
{
  c->arrived = true;
  c->bounces++;
  switch (r->outcome)
    {
    case FORWARD_MISPLACED:
      pool_misplaced (c->server, c->meta.model, c->meta.adapter, clock_ms ());
      break;
    case FORWARD_NOT_EXECUTED:
      pool_turned_away (c->server, clock_ms ());
      break;
    case FORWARD_REPLACED:
      pool_replaced (c->server);
      break;
    default:
      break;
    }
  avoid_server (c);
  if (c->bounces >= BOUNCES_MAX)
    call_refuse (c, 0, "turned-away");
  else
    call_proceed (c);
}

/* The call may have run without a usable answer. */
static void
on_broken (struct call *c, const struct forward_result *r)
{
  call_suspect (c);
  pool_failed (c->server, clock_ms ());
  c->arrived = true;
  c->runs++;
  c->avoid = c->server;
  if (!repeatable (c) || !attempts_left (c)
      || left_ms (c->end_ms) < ATTEMPT_MIN_MS)
    call_fail (c,
               r->err.code == -ETIMEDOUT ? STATUS_GATEWAY_TIMEOUT
                                         : STATUS_BAD_GATEWAY,
               "server-broke-off");
  else
    call_proceed (c);
}

static void
on_answered (struct call *c, const struct forward_result *r,
             const struct http_call *answer)
{
  c->runs++;
  crashers_completed (site_crashers (c->calls->site), c->fingerprint,
                      clock_ms ());
  pool_served (c->server);
  if (r->begun)
    call_end_answer (c);
  else
    call_relay (c, r, answer);
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
         const struct http_call *answer)
{
  struct call *c = ctx;

  end_attempt (c);
  count_attempt (c, r->outcome);
  if (r->outcome != FORWARD_ANSWERED)
    LOG_INFO ("attempt-failed",
              "id=" STR_FMT " server=" STR_FMT
              " outcome=%s status=%d silent=%d begun=%d " LOG_E_FMT,
              STR_ARG (c->meta.id), STR_ARG (pool_server_id (c->server)),
              forward_outcome_name (r->outcome), r->status, r->silent,
              r->begun, LOG_E_ARG (r->err));
  switch (r->outcome)
    {
    case FORWARD_ANSWERED:
      on_answered (c, r, answer);
      break;
    case FORWARD_BROKEN:
      on_broken (c, r);
      break;
    case FORWARD_NOT_SENT:
      on_unreached (c);
      break;
    case FORWARD_WITHDRAWN:
      on_withdrawn (c);
      break;
    default:
      on_turned_away (c, r);
      break;
    }
}

static struct pool_need
need_of (const struct call *c)
{
  const struct routing *routing = site_routing (c->calls->site);
  const struct service *service
      = routing ? routing_service (routing, c->service) : NULL;

  return (struct pool_need){
    .service = c->service,
    .engine = service ? service->engine : NULL,
    .model = c->meta.model,
    .adapter = c->meta.adapter,
    .domain = edge_settings ()->domain,
    .avoid = c->avoid,
  };
}

/* A silent server may still answer. It is given up only when the call can go
   on elsewhere at once. */
static bool
on_silent (void *ctx)
{
  struct call *c = ctx;
  struct pool_need need = need_of (c);
  struct pool_server *other;

  need.avoid = c->server;
  return call_retry_left (c)
         && pool_choose (site_pool (c->calls->site), &need, clock_ms (),
                         &other)
                == POOL_CHOSEN
         && other != c->server;
}

static bool
is_wanted (void *ctx)
{
  const struct call *c = ctx;

  return !caller_left (c->caller);
}

static const struct forward_events forward_events = {
  .wanted = is_wanted,
  .silent = on_silent,
  .begin = on_begin,
  .part = on_part,
  .done = on_done,
};

static struct str
resume_point (struct call *c)
{
  if (c->kind != CALL_STREAM || c->last_event == 0)
    return (struct str){ 0 };
  snprintf (c->last_event_text, sizeof c->last_event_text, "%lu",
            c->last_event);
  return str_from (c->last_event_text);
}

static void
log_send (const struct call *c, const struct pool_server *server)
{
  const struct pool_belief b = pool_server_belief (server, clock_ms ());

  LOG_INFO ("send",
            CALL_LOG_FMT
            " server=" STR_FMT
            " attempt=%u last_event=%lu running=%u others=%u"
            " view_age_ms=%lu wait_ms=%lu deadline_ms=%lu config=%lu",
            CALL_LOG_ARG (c), STR_ARG (pool_server_id (server)),
            c->runs + c->bounces + 1, c->last_event, b.running, b.others,
            b.view_age_ms, clock_ms () - c->begun_ms,
            left_ms (c->deadline_end_ms), c->config);
}

static void
send_to (struct call *c, struct pool_server *server, bool engine)
{
  struct str lines[CALL_HEADERS_MAX];
  const struct call_stamp stamp = {
    .deadline_ms = left_ms (c->deadline_end_ms),
    .server_id = pool_server_id (server),
    .priority = !engine                         ? -1
                : c->priority > PRIORITY_LOWEST ? PRIORITY_LOWEST
                                                : (int)c->priority,
    .last_event = resume_point (c),
  };
  const size_t count = call_headers (c->fields, c->field_count, &stamp, lines);
  const struct forward_spec spec = {
    .address = pool_server_address (server),
    .method = c->method,
    .target = c->target,
    .lines = lines,
    .line_count = count,
    .body = c->body,
    .call_id = c->meta.id,
    .server_id = pool_server_id (server),
    .stream = c->kind == CALL_STREAM,
    .last_event = c->last_event,
    .first_ms = first_bound (c),
    .gap_ms = gap_bound (c),
    .repeatable = repeatable (c),
  };

  call_set_waiting (c, false);
  log_send (c, server);
  c->server = server;
  c->sent_ms = clock_ms ();
  pool_begin (server);
  demand_running (c, 1);
  c->forward = forward_start (c->calls->http, c->calls->loop, &spec,
                              &forward_events, c);
  for (size_t i = 0; i < count; i++)
    str_free (&lines[i]);
}

/* ---- choice ---- */

static const char *const verdict_names[] = {
  [POOL_CHOSEN] = "chosen",         [POOL_NO_SERVER] = "no-server",
  [POOL_NO_MODEL] = "no-model",     [POOL_NO_ADAPTER] = "no-adapter",
  [POOL_FULL] = "all-servers-full",
};

/* Counts the send. An attempt that reached no server is none. Returns false
   when the budget does not allow it. */
static bool
count_send (struct call *c)
{
  c->from_budget = c->arrived;
  if (c->arrived)
    return call_retry_take (c);
  if (!c->counted)
    call_count_first (c);
  c->counted = true;
  return true;
}

void
call_give_up (struct call *c, uint32_t retry_after_ms, const char *reason)
{
  if (c->runs > 0)
    call_fail (c, STATUS_BAD_GATEWAY, reason);
  else
    call_refuse (c, retry_after_ms, reason);
}

static void
wait (struct call *c, const struct pool_need *need, enum pool_verdict verdict)
{
  const uint64_t now = clock_ms ();
  const uint32_t ready_in
      = verdict == POOL_NO_MODEL
            ? pool_ready_in (site_pool (c->calls->site), need, now)
            : UINT32_MAX;

  if (ready_in != UINT32_MAX && now + ready_in > c->wait_end_ms)
    {
      call_give_up (c, ready_in, "model-loads-too-late");
      return;
    }
  if (c->waiting && c->verdict == verdict)
    return;
  call_set_waiting (c, true);
  c->verdict = verdict;
  LOG_INFO ("wait",
            CALL_LOG_FMT
            " reason=%s ready_in_ms=%ld patience_ms=%lu config=%lu",
            CALL_LOG_ARG (c), verdict_names[verdict],
            ready_in == UINT32_MAX ? -1L : (long)ready_in,
            left_ms (c->wait_end_ms), c->config);
  if (verdict == POOL_NO_MODEL || verdict == POOL_NO_ADAPTER)
    kernel_publish (c->calls->kernel, TOPIC_DEMAND, NULL, NULL);
}

void
call_proceed (struct call *c)
{
  struct calls *all = c->calls;
  const struct pool_need need = need_of (c);
  struct pool_server *server;
  enum pool_verdict verdict;

  if (left_ms (c->end_ms) < ATTEMPT_MIN_MS)
    {
      call_give_up (c, 0, "no-time-left");
      return;
    }
  if (crashers_refused (site_crashers (all->site), c->fingerprint,
                        clock_ms ()))
    {
      call_give_up (c, CRASHER_RETRY_AFTER_MS, "crashes-servers");
      return;
    }
  verdict = pool_choose (site_pool (all->site), &need, clock_ms (), &server);
  if (verdict == POOL_CHOSEN && server == c->avoid
      && clock_ms () < c->avoid_until_ms)
    verdict = POOL_FULL;
  /* A timer looks at the clients of calls that go on waiting. */
  if ((verdict == POOL_CHOSEN || !c->waiting) && caller_left (c->caller))
    {
      call_drop (c, "left-before-send");
      return;
    }
  if (verdict == POOL_NO_SERVER)
    call_give_up (c, 0, "no-server");
  else if (verdict != POOL_CHOSEN)
    wait (c, &need, verdict);
  else if (!count_send (c))
    call_give_up (c, 0, "retry-budget");
  else
    send_to (c, server, need.engine != NULL);
}
