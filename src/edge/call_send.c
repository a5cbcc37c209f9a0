#include "edge/call_impl.h"

#include "clock.h"
#include "log.h"

#define LOG_MODULE "call"
/* A waiting call is checked for the quarantine at this interval, besides the
   check before each send: it may have thousands of parts. */
#define QUARANTINE_CHECK_MS 250
/* Retry-After for a request that is refused because it crashes servers. */
#define QUARANTINE_RETRY_AFTER_MS 60000

uint64_t
call_ms_until (uint64_t end_ms)
{
  const uint64_t now = clock_ms ();

  return end_ms > now ? end_ms - now : 0;
}

struct pool_criteria
call_criteria (const struct call *c)
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
    .software_version = c->software_version,
    .version_bound = c->version_bound,
  };
}

/* POOL_CHOSEN: a server could take the call, but the retry budget does not
   allow it yet. */
static const char *const wait_reason_names[] = {
  [POOL_CHOSEN] = "retry-budget",
  [POOL_NO_SERVER] = "no-server",
  [POOL_OTHER_VERSION] = "no-server-of-version",
  [POOL_NO_MODEL] = "no-model",
  [POOL_NO_ADAPTER] = "no-adapter",
  [POOL_DEFERRED] = "all-servers-deferred",
  [POOL_FULL] = "all-servers-full",
};

/* Counts a first send, or takes a retry from the budget if an earlier attempt
   may have reached a server. Returns false if the budget doesn't allow it. */
static bool
admit_send (struct call *c)
{
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

/* Returns the time in ms after which the call's condition is known to pass;
   UINT32_MAX if it is not known. */
static uint32_t
ready_time (const struct call *c, const struct pool_criteria *criteria,
            enum pool_result result)
{
  const struct pool *pool = site_pool (c->calls->site);

  if (result == POOL_NO_MODEL)
    return pool_ready_in (pool, criteria, clock_ms ());
  if (result == POOL_DEFERRED)
    return pool_deferred_for (pool, criteria, clock_ms ());
  return UINT32_MAX;
}

static void
wait_for_server (struct call *c, const struct pool_criteria *criteria,
                 enum pool_result result, bool full)
{
  const uint32_t ready_in = ready_time (c, criteria, result);

  if (!c->response_started && ready_in != UINT32_MAX
      && clock_ms () + ready_in > call_wait_deadline_ms (c))
    {
      call_give_up (c, ready_in,
                    result == POOL_DEFERRED ? "servers-deferred"
                                            : "model-loads-too-late");
      return;
    }
  call_set_full (c, full);
  if (c->waiting && c->wait_reason == result)
    return;
  call_set_waiting (c, true);
  c->wait_reason = result;
  LOG_INFO ("wait",
            CALL_LOG_FMT
            " reason=%s ready_in_ms=%ld max_wait_ms=%lu config=%lu",
            CALL_LOG_ARG (c), wait_reason_names[result],
            ready_in == UINT32_MAX ? -1L : (long)ready_in,
            call_ms_until (call_wait_deadline_ms (c)), c->config_version);
  if (result == POOL_NO_MODEL || result == POOL_NO_ADAPTER)
    kernel_publish (c->calls->kernel, TOPIC_DEMAND, NULL, NULL);
}

/* Returns true if the call has to wait for the next check of waiting calls,
   because others already wait for the same servers, and a more urgent one of
   them may come first. */
static bool
must_queue (const struct call *c)
{
  const struct demand_item *queue = call_queue (c);

  return !c->waiting && !c->response_started && queue
         && queue->full_waiting > 0 && call_shares_queue (c);
}

/* Returns POOL_CHOSEN only if the call may be sent to the server now.
   @full: all servers that could run the call are full. */
static enum pool_result
choose_server (const struct call *c, const struct pool_criteria *criteria,
               struct pool_server **server, bool *full)
{
  struct call_table *calls = c->calls;
  struct demand_item *queue = call_shares_queue (c) ? call_queue (c) : NULL;
  enum pool_result result = POOL_FULL;

  if (!must_queue (c))
    result
        = pool_choose (site_pool (calls->site), criteria, clock_ms (), server);
  *full = result == POOL_FULL && queue;
  if (*full)
    queue->full_check = calls->check_number;
  if (result == POOL_CHOSEN
      && (call_avoids (c, *server)
          || (c->response_started && clock_ms () < c->repeat_after_ms)))
    return POOL_FULL;
  return result;
}

/* All servers of the version that began the stream have left. */
static void
give_up_version (struct call *c)
{
  LOG_INFO ("no-server-of-version",
            "id=" STR_FMT " service=" STR_FMT " version=" STR_FMT
            " last_event=%lu",
            STR_ARG (c->meta.client_attempt_id), STR_ARG (c->service),
            LOG_NAME_ARG (c->software_version), c->last_event_id);
  call_give_up (c, 0, "no-server-of-version");
}

static bool
must_check_quarantine (const struct call *c, enum pool_result result)
{
  return result == POOL_CHOSEN || !c->waiting
         || clock_ms () >= c->quarantine_checked_ms + QUARANTINE_CHECK_MS;
}

/* Returns false if the call was refused because it, or a part of its prompt,
   crashes servers. */
static bool
check_quarantine (struct call *c)
{
  const uint64_t subject = call_quarantined (c);

  c->quarantine_checked_ms = clock_ms ();
  if (subject == 0)
    return true;
  LOG_INFO ("quarantined", "id=" STR_FMT " subject=%016lx",
            STR_ARG (c->meta.client_attempt_id), subject);
  call_give_up (c, QUARANTINE_RETRY_AFTER_MS, "crashes-servers");
  return false;
}

void
call_dispatch (struct call *c)
{
  const struct pool_criteria criteria = call_criteria (c);
  struct pool_server *server;
  enum pool_result result;
  bool full;

  if (!call_identify_again (c))
    return;
  if (call_ms_until (c->response_deadline_ms) < ATTEMPT_MIN_MS)
    {
      call_give_up (c, 0, "no-time-left");
      return;
    }
  result = choose_server (c, &criteria, &server, &full);
  if (must_check_quarantine (c, result) && !check_quarantine (c))
    return;
  /* For calls that keep waiting, the client check timer does this. */
  if ((result == POOL_CHOSEN || !c->waiting)
      && caller_disconnected (c->caller))
    {
      call_drop (c, "left-before-send");
      return;
    }
  if (result == POOL_CHOSEN && admit_send (c))
    call_start_attempt (c, server, c->reached_server);
  else if (result == POOL_OTHER_VERSION)
    give_up_version (c);
  else if (c->response_started)
    /* A cut can't be taken back, and each of these conditions may pass. */
    wait_for_server (c, &criteria, result, full);
  else if (result == POOL_CHOSEN)
    call_give_up (c, 0, "retry-budget");
  else if (result == POOL_NO_SERVER)
    call_give_up (c, 0, "no-server");
  else
    wait_for_server (c, &criteria, result, full);
}
