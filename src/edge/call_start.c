#include "edge/call_impl.h"

#include <stdio.h>

#include "clock.h"
#include "log.h"

#define LOG_MODULE "call"
#define PRIORITY_LOWEST 9

/* Start of an attempt to run a call on a server. */

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
            c->possible_runs + c->rejections + call_in_flight_count (c) + 1,
            c->last_event_id, stats.running, stats.other_nodes_running,
            stats.view_age_ms, clock_ms () - c->arrival_ms,
            call_ms_until (c->client_deadline_ms), c->config_version);
}

static struct call_attempt *
unused_attempt (struct call *c)
{
  return c->attempts[0].forward ? &c->attempts[1] : &c->attempts[0];
}

static int
request_priority (const struct call *c)
{
  if (!call_criteria (c).engine)
    return -1;
  return c->priority > PRIORITY_LOWEST ? PRIORITY_LOWEST : (int)c->priority;
}

/* The result borrows from the call, the server and @lines. */
static struct forward_spec
make_spec (const struct call *c, const struct pool_server *server,
           const struct str *lines, size_t count)
{
  return (struct forward_spec){
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
    .first_event_timeout_ms = call_first_event_timeout (c),
    .gap_timeout_ms = call_event_gap_timeout (c),
    /* A server may write its rejection of an earlier attempt once more on a
       kept connection, with the same id. */
    .fresh_connection = c->rejections > 0,
    .run_once = !call_repeatable (c),
  };
}

void
call_start_attempt (struct call *c, struct pool_server *server,
                    bool uses_retry_budget)
{
  struct call_attempt *a = unused_attempt (c);
  struct str lines[CALL_HEADERS_MAX];
  const struct call_extra_headers stamp = {
    .deadline_ms = call_ms_until (c->client_deadline_ms),
    .server_id = pool_server_id (server),
    .priority = request_priority (c),
    .last_event_id = resume_event_id (c),
    .omit_credentials = c->has_tenants,
    .tenant = c->tenant,
  };
  const size_t count = call_headers (c->fields, c->field_count, &stamp, lines);
  const struct forward_spec spec = make_spec (c, server, lines, count);

  call_set_waiting (c, false);
  log_send (c, server);
  *a = (struct call_attempt){
    .call = c,
    .server = server,
    .server_start = site_server_start (server),
    .uses_retry_budget = uses_retry_budget,
  };
  call_bind_version (c, server);
  c->sent_ms = clock_ms ();
  pool_call_started (server);
  call_add_running_demand (c, 1);
  a->forward = forward_start (c->calls->http, c->calls->loop, &spec,
                              &call_attempt_events, a);
  for (size_t i = 0; i < count; i++)
    str_free (&lines[i]);
}
