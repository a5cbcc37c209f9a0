#include "edge/call_impl.h"

#include "clock.h"
#include "log.h"

/* Handover of a call whose server sends nothing. The call goes to a second
   server while the first attempt stays open, because the first server may only
   have paused and the second one may reject the call. */

#define LOG_MODULE "call"
/* A repeatable call is sent to another server when the first one sends
   nothing for this many times the latency objective. */
#define SILENCE_LATENCY_FACTOR 3
#define SILENCE_TIMEOUT_MIN_MS 300
/* A resumable stream moves to another server after a pause of this many times
   the longest on-time pause between events. Engines also pause when they
   preempt, which the factor allows for. */
#define EVENT_GAP_FACTOR 5
#define EVENT_GAP_TIMEOUT_MIN_MS 1000
/* Interval of the checks of a silent server. */
#define SILENCE_CHECK_MS 100
/* The silent attempt ends when the second one was sent this long ago. A server
   rejects a call sooner than that, and the first server must stop within
   400 ms after the second one received the call. */
#define HANDOVER_OVERLAP_MS 200

uint32_t
call_first_event_timeout (const struct call *c)
{
  const uint64_t half_ms = call_ms_until (c->response_deadline_ms) / 2;
  uint32_t timeout_ms = c->latency_objective_ms * SILENCE_LATENCY_FACTOR;

  /* A timeout helps only a call that can be sent once more. */
  if (!call_repeatable (c) || call_attempts_left (c) <= 1)
    return 0;
  if (timeout_ms < SILENCE_TIMEOUT_MIN_MS)
    timeout_ms = SILENCE_TIMEOUT_MIN_MS;
  return timeout_ms < half_ms ? timeout_ms : (uint32_t)half_ms;
}

uint32_t
call_event_gap_timeout (const struct call *c)
{
  const uint32_t timeout_ms = c->event_gap_ms * EVENT_GAP_FACTOR;

  if (!call_repeatable (c) || call_attempts_left (c) <= 1)
    return 0;
  return timeout_ms > EVENT_GAP_TIMEOUT_MIN_MS ? timeout_ms
                                               : EVENT_GAP_TIMEOUT_MIN_MS;
}

/* Returns true if the call may be sent to a second server. An attempt that is
   still connecting ends soon by itself. */
static bool
may_hand_over (const struct call_attempt *a)
{
  struct call *c = a->call;

  return a->sent_ms > 0 && clock_ms () >= c->repeat_after_ms
         && call_repeatable (c) && call_attempts_left (c) > 0
         && call_ms_until (c->response_deadline_ms) >= ATTEMPT_MIN_MS
         && call_quarantined (c) == 0 && call_retry_allowed (c);
}

/* Returns a server that can take the call at once, or NULL. */
static struct pool_server *
choose_other_server (const struct call_attempt *a)
{
  const struct call *c = a->call;
  struct pool_criteria criteria = call_criteria (c);
  struct pool_server *server;

  criteria.avoid = a->server;
  if (pool_choose (site_pool (c->calls->site), &criteria, clock_ms (), &server)
          != POOL_CHOSEN
      || server == a->server || call_avoids (c, server))
    return NULL;
  return server;
}

static void
log_handover (const struct call_attempt *a, const struct pool_server *to)
{
  const struct call *c = a->call;
  const uint64_t silent_since_ms
      = c->last_part_ms > a->sent_ms ? c->last_part_ms : a->sent_ms;

  LOG_INFO ("handover",
            "id=" STR_FMT " from=" STR_FMT " to=" STR_FMT " silent_ms=%lu",
            STR_ARG (c->meta.client_attempt_id),
            STR_ARG (pool_server_id (a->server)),
            STR_ARG (pool_server_id (to)), clock_ms () - silent_since_ms);
}

static bool
hand_over (struct call_attempt *a)
{
  struct call *c = a->call;
  struct pool_server *server;

  if (!may_hand_over (a))
    return false;
  server = choose_other_server (a);
  if (!server || caller_disconnected (c->caller) || !call_take_retry (c))
    return false;
  a->silent = true;
  log_handover (a, server);
  call_start_attempt (c, server, true);
  return true;
}

/* Returns how long the silent attempt is kept beside the other one. */
static uint32_t
overlap_left_ms (const struct call_attempt *other)
{
  return other->sent_ms > 0
             ? (uint32_t)call_ms_until (other->sent_ms + HANDOVER_OVERLAP_MS)
             : SILENCE_CHECK_MS;
}

uint32_t
call_handle_silence (struct call_attempt *a)
{
  const struct call_attempt *other = call_other_attempt (a);

  if (other && a->silent)
    return overlap_left_ms (other);
  if (!other && hand_over (a))
    return HANDOVER_OVERLAP_MS;
  return SILENCE_CHECK_MS;
}
