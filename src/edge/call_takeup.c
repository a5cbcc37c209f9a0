#include "edge/call_impl.h"

#include "clock.h"
#include "log.h"

/* Streams that a client takes up after a broken connection. Such a call goes
   on only at the version that began the stream. */

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
                       &origin, clock_ms ());
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
    if (str_eq (r->targets[i].service, service))
      return true;
  return false;
}

static void
apply_origin (struct call *c, const struct stream_origin *origin)
{
  if (!str_eq (c->service, origin->service) && !is_target (c, origin->service))
    return;
  str_assign (&c->service, origin->service);
  str_assign (&c->software_version, origin->version);
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

bool
call_find_origin (struct call *c)
{
  struct streamorigins *origins = site_streamorigins (c->calls->site);
  struct stream_origin origin;
  const uint64_t now = clock_ms ();

  if (streamorigins_find (origins, stream_id (c), now, &origin))
    apply_origin (c, &origin);
  else if (streamorigins_several_versions (origins, c->service, now))
    {
      refuse_unknown (c);
      return false;
    }
  c->awaits_origin = false;
  return true;
}
