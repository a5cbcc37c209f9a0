#include "edge/call_impl.h"

#include "clock.h"
#include "log.h"
#include "platform/platform.h"

/* Record of where streams begin, and streams that a client takes up after a
   broken connection. Such a call goes on only at the version that began the
   stream. */

#define LOG_MODULE "call"

bool
call_is_resumable (const struct call *c)
{
  return c->kind == CALL_STREAM && c->resumable;
}

/* Hash of the id of the client attempt that brought the first event, or will
   bring it. */
static uint64_t
stream_id (const struct call *c)
{
  return streamorigins_id (c->takes_up ? c->meta.resumes
                                       : c->meta.client_attempt_id);
}

/* ---- record of the streams ---- */

void
call_record_stream (const struct call *c)
{
  const struct stream_origin origin = { c->service, c->software_version };

  if (c->takes_up && c->meta.resumes.len == 0)
    return;
  streamorigins_begin (site_streamorigins (c->calls->site), stream_id (c),
                       c->route_key, &origin, clock_ms ());
}

void
call_complete_stream (const struct call *c)
{
  if (call_is_resumable (c))
    streamorigins_complete (site_streamorigins (c->calls->site),
                            stream_id (c));
}

/* ---- origin of a stream ---- */

/* Returns true if the configuration sends calls of the route to the service.
 */
static bool
is_target (const struct call *c, struct str service)
{
  const struct routing *routing = site_routing (c->calls->site);
  const struct route *r
      = routing ? routing_find (routing, c->fields[0].value, c->request_target)
                : NULL;

  if (!r || !routing_service (routing, service))
    return false;
  for (size_t i = 0; i < r->target_count; i++)
    if (r->targets[i].weight > 0 && str_eq (r->targets[i].service, service))
      return true;
  return false;
}

/* The route's calls may go to other services now, which may have servers of
   the version too. */
static void
bind_to_origin (struct call *c, const struct stream_origin *origin)
{
  if (is_target (c, origin->service))
    str_assign (&c->service, origin->service);
  str_assign (&c->software_version, origin->version);
  c->version_bound = true;
}

/* Another version may come into service before the call is sent. */
static void
bind_to_only_version (struct call *c)
{
  const struct str version = streamorigins_latest_version (
      site_streamorigins (c->calls->site), c->service);

  if (version.len == 0)
    return;
  str_assign (&c->software_version, version);
  c->version_bound = true;
}

static void
refuse_unknown (struct call *c)
{
  LOG_INFO ("stream-origin-unknown",
            "id=" STR_FMT " service=" STR_FMT " resumes=" STR_FMT
            " last_event=%lu",
            STR_ARG (c->meta.client_attempt_id), STR_ARG (c->service),
            LOG_NAME_ARG (c->meta.resumes), c->last_event_id);
  call_give_up (c, 0, "stream-origin-unknown");
}

/* What the store has of the stream may take a moment to come. */
static void
wait_for_origin (struct call *c)
{
  if (c->waiting)
    return;
  call_set_waiting (c, true);
  LOG_INFO ("wait", CALL_LOG_FMT " reason=stream-origin max_wait_ms=%lu",
            CALL_LOG_ARG (c), call_ms_until (call_wait_deadline_ms (c)));
}

/* Asks this node's record, what the nodes stored, and the servers' entries in
   the store. */
static enum streamorigins_answer
ask (struct call *c, uint64_t now_ms)
{
  struct site *site = c->calls->site;
  struct streamorigins_store *store = site_streamorigins_store (site);
  struct platform *platform = platform_get (c->calls->kernel);

  if (c->origin_asked_ms == 0)
    c->origin_asked_ms = now_ms;
  if (c->meta.resumes.len == 0
      && streamorigins_may_differ (site_streamorigins (site), c->route_key,
                                   c->service, now_ms))
    return STREAMORIGINS_UNKNOWN;

  const struct streamorigins_question question
      = { .id = stream_id (c),
          .route = c->route_key,
          .service = c->service,
          .since_ms = c->origin_asked_ms,
          .servers_read_ms = platform_servers_read_ms (platform) };
  const enum streamorigins_answer answer
      = streamorigins_store_ask (store, &question, now_ms);
  if (answer == STREAMORIGINS_ASKING)
    platform_read_servers (platform, c->origin_asked_ms,
                           streamorigins_store_read_gap_ms (store));
  return answer;
}

bool
call_find_origin (struct call *c)
{
  struct streamorigins *origins = site_streamorigins (c->calls->site);
  const uint64_t now = clock_ms ();
  struct stream_origin origin;

  switch (ask (c, now))
    {
    case STREAMORIGINS_KNOWN:
      if (streamorigins_find (origins, stream_id (c), now, &origin))
        bind_to_origin (c, &origin);
      break;
    case STREAMORIGINS_ONE_VERSION:
      bind_to_only_version (c);
      break;
    case STREAMORIGINS_ASKING:
      wait_for_origin (c);
      return false;
    case STREAMORIGINS_UNKNOWN:
      refuse_unknown (c);
      return false;
    }
  call_set_waiting (c, false);
  c->awaits_origin = false;
  return true;
}
