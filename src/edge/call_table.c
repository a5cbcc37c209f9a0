#include "edge/call_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "edge/edge.h"
#include "log.h"
#include "metrics.h"
#include "random.h"

#define LOG_MODULE "call"
/* Waiting calls are dispatched again at this interval, and whenever the server
   pool changes. */
#define WAIT_CHECK_MS 25
/* h2o doesn't report when an HTTP/1.1 client disconnects before the end of
   its response, so clients are polled. Servers must stop working on a call
   within half a second after its client left. */
#define CLIENT_CHECK_MS 150
/* Lateness of the event loop from which on it is logged. */
#define LOOP_LATE_LOG_MS 250
/* A call ends this long before the client's deadline, so that the response
   still arrives. */
#define DEADLINE_RESERVE_MS 30
/* Clients abandon a stream without events after the longest of these times:
   EVENT_WAIT_MIN_MS, EVENT_WAIT_LATENCY_FACTOR times the latency objective,
   and EVENT_WAIT_GAP_FACTOR times the longest on-time pause between events. */
#define EVENT_WAIT_MIN_MS 2000
#define EVENT_WAIT_LATENCY_FACTOR 4
#define EVENT_WAIT_GAP_FACTOR 8
/* Time for a refusal to reach the client before it abandons the stream. */
#define REFUSAL_RESERVE_MS 100
/* A call is refused early if it would have to wait for this many times the
   time that it has: places become free unevenly, and models may get more
   servers. */
#define EARLY_REFUSAL_FACTOR 2
/* Longest Retry-After of such a call. */
#define READY_IN_MAX_MS 60000
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_FIELDS_TOO_LARGE 431

/* ---- list of calls ---- */

static void
link_call (struct call *c)
{
  struct call_table *calls = c->calls;

  c->prev = calls->last;
  if (calls->last)
    calls->last->next = c;
  else
    calls->first = c;
  calls->last = c;
  calls->open_count++;
}

static void
unlink_call (struct call *c)
{
  struct call_table *calls = c->calls;

  if (c->prev)
    c->prev->next = c->next;
  else
    calls->first = c->next;
  if (c->next)
    c->next->prev = c->prev;
  else
    calls->last = c->prev;
  calls->open_count--;
}

static void
free_call (uv_handle_t *handle)
{
  struct call *c = handle->data;

  str_free (&c->route_name);
  str_free (&c->service);
  str_free (&c->tenant);
  str_free (&c->software_version);
  promptparts_free (&c->parts);
  free (c);
}

uint64_t
call_wait_deadline_ms (const struct call *c)
{
  const uint64_t end_ms = c->response_started ? c->response_deadline_ms
                                              : c->first_event_deadline_ms;

  return end_ms - ATTEMPT_MIN_MS;
}

void
call_set_waiting (struct call *c, bool waiting)
{
  const uint32_t change = waiting ? 1 : UINT32_MAX; /* wraps to -1 */

  if (!waiting)
    call_set_full (c, false);
  if (waiting == c->waiting)
    return;
  c->waiting = waiting;
  if (c->model_demand)
    c->model_demand->waiting += change;
  if (c->adapter_demand)
    c->adapter_demand->waiting += change;
}

void
call_close (struct call *c, enum call_end end, int status, const char *reason)
{
  call_record_end (c, end, status, reason);
  call_end_charge (c, end);
  if (c->last_part_ms == 0)
    call_complete_stream (c);
  call_set_waiting (c, false);
  unlink_call (c);
  caller_release (c->caller);
  uv_close ((uv_handle_t *)&c->timer, free_call);
}

/* ---- arrival ---- */

static void
on_client_left (void *ctx)
{
  struct call *c = ctx;
  const char *reason
      = c->waiting || c->awaits_quota ? "left-waiting" : "left-running";

  call_cancel_attempts (c);
  call_drop (c, reason);
}

static void
on_deadline (uv_timer_t *timer)
{
  struct call *c = timer->data;

  if (!call_in_flight (c) && c->possible_runs == 0)
    {
      /* The check of waiting calls would refuse it too, but may run late. */
      call_refuse (c, 0, c->waiting ? "waited-too-long" : "no-time-left");
      return;
    }
  call_cancel_attempts (c);
  call_fail (c, STATUS_GATEWAY_TIMEOUT, "timeout");
}

static struct str
iovec_view (h2o_iovec_t v)
{
  return (struct str){ v.base, v.len };
}

static void
copy_fields (struct call *c, h2o_req_t *req)
{
  /* h2o removes the Host header from the list. */
  c->fields[c->field_count++]
      = (struct http_field){ STR ("Host"), iovec_view (req->input.authority) };
  for (size_t i = 0;
       i < req->headers.size && c->field_count < CALL_HEADER_FIELDS_MAX; i++)
    {
      const h2o_header_t *h = &req->headers.entries[i];

      c->fields[c->field_count++]
          = (struct http_field){ iovec_view (*h->name),
                                 iovec_view (h->value) };
    }
}

/* Returns the client's IPv4 address without the port, 0 for other families. */
static uint32_t
client_address (h2o_req_t *req)
{
  struct sockaddr_storage addr = { 0 };
  const struct sockaddr_in *sin = (const struct sockaddr_in *)&addr;

  req->conn->callbacks->get_peername (req->conn, (struct sockaddr *)&addr);
  return sin->sin_family == AF_INET ? sin->sin_addr.s_addr : 0;
}

static struct call *
create_call (struct call_table *calls, h2o_req_t *req)
{
  struct call *c = xcalloc (1, sizeof *c);

  c->calls = calls;
  c->arrival_ms = clock_ms ();
  uv_timer_init (calls->loop, &c->timer);
  c->timer.data = c;
  copy_fields (c, req);
  call_meta_read (c->fields, c->field_count, &c->meta);
  c->method = iovec_view (req->input.method);
  c->request_target = iovec_view (req->input.path);
  c->body = iovec_view (req->entity);
  c->client_address = client_address (req);
  c->caller = caller_create (req, on_client_left, c);
  link_call (c);
  return c;
}

/* Returns how long a stream may wait for a server, so that a refusal arrives
   before the client abandons it. */
static uint64_t
max_event_wait_ms (const struct route *r)
{
  uint64_t ms = EVENT_WAIT_MIN_MS;

  if (ms < (uint64_t)r->latency_objective_ms * EVENT_WAIT_LATENCY_FACTOR)
    ms = (uint64_t)r->latency_objective_ms * EVENT_WAIT_LATENCY_FACTOR;
  if (ms < (uint64_t)r->event_gap_ms * EVENT_WAIT_GAP_FACTOR)
    ms = (uint64_t)r->event_gap_ms * EVENT_WAIT_GAP_FACTOR;
  return ms - REFUSAL_RESERVE_MS;
}

/* A call may ask for a model that only a later configuration has. Keys of
   waiting calls are checked again when the calls are dispatched next. */
static void
on_routing (void *ctx, const void *snapshot)
{
  struct call_table *calls = ctx;

  calls->routing_count++;
  for (struct call *c = calls->first; c; c = c->next)
    {
      const struct service *s = routing_service (snapshot, c->service);

      if (s && s->engine && !c->awaits_quota && !c->awaits_origin)
        call_attach_demand (c, s->engine);
    }
}

static void
apply_route (struct call *c, const struct route *r)
{
  uint64_t wait_ms = r->timeout_ms;

  c->route_name = str_dup (r->name);
  c->route_key = route_key (r);
  c->kind = r->kind;
  c->latency_objective_ms = r->latency_objective_ms;
  c->event_gap_ms = r->event_gap_ms;
  c->max_attempts = r->max_attempts;
  c->resumable = r->resumable;
  if (c->meta.deadline_ms > 0 && c->meta.deadline_ms < wait_ms)
    wait_ms = c->meta.deadline_ms;
  c->client_deadline_ms = c->arrival_ms + wait_ms;
  if (wait_ms > DEADLINE_RESERVE_MS && wait_ms == c->meta.deadline_ms)
    wait_ms -= DEADLINE_RESERVE_MS;
  c->response_deadline_ms = c->arrival_ms + wait_ms;
  if (r->kind == CALL_STREAM && max_event_wait_ms (r) < wait_ms)
    wait_ms = max_event_wait_ms (r);
  c->first_event_deadline_ms = c->arrival_ms + wait_ms;
  str_u64 (c->meta.last_event_id, &c->last_event_id);
  c->takes_up = call_is_resumable (c) && c->last_event_id > 0;
  c->awaits_origin = c->takes_up;
  uv_timer_start (&c->timer, on_deadline,
                  c->response_deadline_ms - c->arrival_ms, 0);
}

void
call_admit (struct call *c)
{
  struct pool_criteria criteria;

  if (c->awaits_origin && !call_find_origin (c))
    return;
  criteria = call_criteria (c);
  if (criteria.engine)
    call_attach_demand (c, criteria.engine);
  call_dispatch (c);
}

void
call_table_accept (struct call_table *calls, h2o_req_t *req)
{
  struct call *c = create_call (calls, req);
  const struct routing *routing = site_routing (calls->site);
  const struct route *route;

  if (!routing)
    {
      call_refuse (c, 0, "no-configuration");
      return;
    }
  c->config_version = routing->version;
  route = routing_find (routing, iovec_view (req->input.authority),
                        c->request_target);
  if (!route)
    {
      call_deny (c, STATUS_NOT_FOUND, "no-route");
      return;
    }
  if (call_count_shared_parts (c->meta.prompt_parts) > PROMPT_PARTS_MAX)
    {
      call_deny (c, STATUS_FIELDS_TOO_LARGE, "too-many-prompt-parts");
      return;
    }
  if (!call_identify (c, routing, route))
    return;
  if (c->meta.client_attempt_id.len == 0)
    {
      call_deny (c, STATUS_BAD_REQUEST, "no-attempt-id");
      return;
    }
  c->service
      = str_dup (route_pick (route, random_next (&calls->random_state)));
  if (!routing_service (routing, c->service))
    {
      call_refuse (c, 0, "no-service");
      return;
    }
  apply_route (c, route);
  call_charge (c, routing);
}

/* ---- timers ---- */

/* Records by how much the check for disconnected clients is late. */
static void
record_loop_lateness (struct call_table *calls)
{
  const uint64_t now = clock_ms ();
  const uint64_t late_ms = now > calls->client_check_due_ms
                               ? now - calls->client_check_due_ms
                               : 0;

  calls->client_check_due_ms = now + CLIENT_CHECK_MS;
  metrics_observe ("galenagate_loop_late_ms", STR (""), (double)late_ms);
  if (late_ms >= LOOP_LATE_LOG_MS)
    LOG_INFO ("loop-late", "late_ms=%lu calls=%zu", late_ms,
              calls->open_count);
}

/* Returns true if calls wait for full servers that could run this one. */
static bool
others_wait_for_servers_of (const struct call *c)
{
  for (const struct call *other = c->calls->first; other; other = other->next)
    if (other->waiting && other->wait_reason == POOL_FULL
        && str_eq (other->service, c->service)
        && str_eq (other->meta.model, c->meta.model))
      return true;
  return false;
}

/* The client reads nothing, and its call keeps a server from others. */
static void
abort_stalled (struct call *c)
{
  call_cancel_attempts (c);
  caller_abort (c->caller);
  call_fail (c, STATUS_BAD_GATEWAY, "client-reads-too-slowly");
}

static void
on_client_check (uv_timer_t *timer)
{
  struct call_table *calls = timer->data;
  struct call *next;

  record_loop_lateness (calls);
  for (struct call *c = calls->first; c; c = next)
    {
      next = c->next;
      if (caller_disconnected (c->caller))
        on_client_left (c);
      /* A small response may be held up by the network only. */
      else if (caller_stalled (c->caller) && caller_paused (c->caller)
               && call_in_flight (c) && others_wait_for_servers_of (c))
        abort_stalled (c);
    }
}

static void
add_to_order (struct call *c, uint64_t now)
{
  const struct waitorder_call entry = {
    .begun = c->response_started || c->takes_up,
    .priority = c->priority,
    .arrival_ms = c->arrival_ms,
    .deadline_ms = call_wait_deadline_ms (c),
    .objective_ms = c->arrival_ms + c->latency_objective_ms,
    .work = c->meta.prompt_tokens + c->meta.output_tokens,
    .ref = c,
  };

  if (c->full_demand)
    c->full_demand->ahead = 0;
  waitorder_add (c->calls->order, &entry, now);
}

/* Returns true if all servers were full for an earlier call of this check that
   needs the same ones. */
static bool
finds_servers_full (const struct call *c)
{
  const struct demand_item *queue = call_queue (c);

  return c->wait_reason == POOL_FULL && !c->response_started && queue
         && queue->full_check == c->calls->check_number
         && call_shares_queue (c);
}

/* Returns true if the calls ahead of a call that waits for full servers take
   far longer than it can wait.
   @ready_in_ms: estimated time until it could be sent. */
static bool
cannot_be_served_in_time (const struct call *c, uint64_t *ready_in_ms)
{
  const struct demand_item *queue = c->full_demand;
  const uint64_t now = clock_ms ();

  return queue && c->possible_runs == 0
         && queue->drain.start_ms >= c->calls->resumed_ms
         && drainrate_time_for (&queue->drain, queue->ahead + 1, now,
                                ready_in_ms)
         && *ready_in_ms > call_ms_until (call_wait_deadline_ms (c))
                               * EARLY_REFUSAL_FACTOR;
}

static void
count_ahead (struct call *c)
{
  struct demand_item *queue = c->full_demand;

  if (!c->waiting || !queue)
    return;
  if (queue->drain.start_ms < c->calls->resumed_ms)
    drainrate_start (&queue->drain, clock_ms ());
  queue->ahead++;
}

static void
dispatch_or_refuse (struct call *c)
{
  uint64_t ready_in_ms;

  if (clock_ms () >= call_wait_deadline_ms (c))
    call_give_up (c, 0, "waited-too-long");
  else if (c->awaits_origin)
    call_admit (c);
  else if (!finds_servers_full (c))
    call_dispatch (c);
  else if (cannot_be_served_in_time (c, &ready_in_ms))
    call_give_up (c,
                  ready_in_ms < READY_IN_MAX_MS ? (uint32_t)ready_in_ms
                                                : READY_IN_MAX_MS,
                  "queue-too-long");
  count_ahead (c);
}

static void
begin_check (struct call_table *calls, uint64_t now)
{
  calls->check_number++;
  if (now > calls->check_ms + LOOP_LATE_LOG_MS)
    calls->resumed_ms = now;
  calls->check_ms = now;
}

static void
dispatch_waiting (struct call_table *calls)
{
  const uint64_t now = clock_ms ();
  struct call *c;

  begin_check (calls, now);
  for (c = calls->first; c; c = c->next)
    if (c->waiting)
      add_to_order (c, now);
  while ((c = waitorder_pop (calls->order)))
    dispatch_or_refuse (c);
}

static void
refuse_waiting (struct call_table *calls)
{
  struct call *next;

  for (struct call *c = calls->first; c; c = next)
    {
      next = c->next;
      if (c->waiting && !c->response_started)
        call_give_up (c, 0, "node-stops");
    }
}

/* Answers the calls that servers still run. Without it their connections would
   be closed without an answer when the process exits. */
static void
end_unanswered (struct call_table *calls)
{
  struct call *next;

  for (struct call *c = calls->first; c; c = next)
    {
      next = c->next;
      if (c->response_started)
        continue;
      call_cancel_attempts (c);
      call_fail (c, STATUS_GATEWAY_TIMEOUT, "node-stops");
    }
}

static void
on_wait_check (uv_timer_t *timer)
{
  struct call_table *calls = timer->data;

  dispatch_waiting (calls);
  if (clock_ms () >= calls->wait_end_ms)
    refuse_waiting (calls);
  if (clock_ms () >= calls->calls_end_ms)
    end_unanswered (calls);
}

void
call_table_drain (struct call_table *calls, uint32_t wait_ms, uint32_t end_ms)
{
  calls->wait_end_ms = clock_ms () + wait_ms;
  calls->calls_end_ms = clock_ms () + end_ms;
}

void
call_check_waiting (struct call_table *calls)
{
  /* Several changes in one loop iteration cause one check in the next. */
  uv_timer_start (&calls->wait_timer, on_wait_check, 0, WAIT_CHECK_MS);
}

static void
on_pool_changed (void *ctx, const void *snapshot)
{
  (void)snapshot;
  call_check_waiting (ctx);
}

struct call_table *
call_table_create (struct kernel *kernel)
{
  const struct edge_settings *s = edge_settings ();
  struct call_table *calls = xcalloc (1, sizeof *calls);

  calls->kernel = kernel;
  calls->site = site_get (kernel);
  calls->http = http_get (kernel);
  calls->quota = tenantquota_get (kernel);
  calls->loop = kernel_loop (kernel);
  calls->retry_limits = (struct retries_limits){
    .ratio = s->retry_ratio,
    .slack = s->retry_slack,
    .window_ms = (uint32_t)(s->retry_window_s * 1000),
  };
  calls->order = waitorder_create ();
  calls->random_state = clock_us ();
  calls->wait_end_ms = UINT64_MAX;
  calls->calls_end_ms = UINT64_MAX;
  uv_timer_init (calls->loop, &calls->wait_timer);
  uv_timer_init (calls->loop, &calls->client_check_timer);
  calls->wait_timer.data = calls;
  calls->client_check_timer.data = calls;
  kernel_subscribe (kernel, TOPIC_POOL, on_pool_changed, calls);
  kernel_subscribe (kernel, TOPIC_ROUTING, on_routing, calls);
  return calls;
}

void
call_table_start (struct call_table *calls)
{
  uv_timer_start (&calls->wait_timer, on_wait_check, WAIT_CHECK_MS,
                  WAIT_CHECK_MS);
  calls->client_check_due_ms = clock_ms () + CLIENT_CHECK_MS;
  uv_timer_start (&calls->client_check_timer, on_client_check, CLIENT_CHECK_MS,
                  CLIENT_CHECK_MS);
}

void
call_table_stop (struct call_table *calls)
{
  uv_close ((uv_handle_t *)&calls->wait_timer, NULL);
  uv_close ((uv_handle_t *)&calls->client_check_timer, NULL);
}

size_t
call_table_open_count (const struct call_table *calls)
{
  return calls->open_count;
}

void
call_table_destroy (struct call_table *calls)
{
  struct service_budget_entry *r;
  struct service_budget_entry *next;

  HASH_ITER (hh, calls->service_budgets, r, next)
  {
    HASH_DEL (calls->service_budgets, r);
    str_free (&r->service);
    free (r);
  }
  waitorder_destroy (calls->order);
  free (calls);
}
