#include "edge/call_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "edge/edge.h"
#include "log.h"
#include "metrics.h"
#include "random.h"

#define LOG_MODULE "call"
/* Waiting calls are looked at again at this interval, besides each change of
   the servers. */
#define WAIT_TICK_MS 25
/* h2o does not tell when a client on HTTP/1.1 leaves before its answer ends.
   Servers must stop within half a second. */
#define LEFT_TICK_MS 150
/* An event loop that is this late is told in the log. */
#define LOOP_LATE_MS 250
/* A call is ended this long before the client stops waiting, so that the
   answer still arrives. */
#define DEADLINE_RESERVE_MS 30
/* Clients leave a stream after a pause of the longest of these: a time, some
   latency objectives, some pauses that are still on time. */
#define PATIENCE_MIN_MS 2000
#define PATIENCE_TARGETS 4
#define PATIENCE_GAPS 8
/* Time for a refusal to reach the client before it leaves. */
#define PATIENCE_RESERVE_MS 100
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_GATEWAY_TIMEOUT 504

static const char *const end_names[] = {
  [CALL_SERVED] = "served",   [CALL_FAILED] = "failed",
  [CALL_REFUSED] = "refused", [CALL_UNKNOWN] = "unknown",
  [CALL_CUT] = "cut",         [CALL_LEFT] = "left",
  [CALL_DENIED] = "denied",
};

/* ---- table ---- */

static void
link_call (struct call *c)
{
  struct calls *all = c->calls;

  c->prev = all->last;
  if (all->last)
    all->last->next = c;
  else
    all->first = c;
  all->last = c;
  all->open++;
}

static void
unlink_call (struct call *c)
{
  struct calls *all = c->calls;

  if (c->prev)
    c->prev->next = c->next;
  else
    all->first = c->next;
  if (c->next)
    c->next->prev = c->prev;
  else
    all->last = c->prev;
  all->open--;
}

static void
free_call (uv_handle_t *handle)
{
  struct call *c = handle->data;

  str_free (&c->route_name);
  str_free (&c->service);
  free (c);
}

static void
log_end (const struct call *c, enum call_end end, int status,
         const char *reason)
{
  const uint64_t now = clock_ms ();
  const struct str server = c->server ? pool_server_id (c->server) : STR ("-");

  LOG_INFO (
      "call",
      CALL_LOG_FMT " server=" STR_FMT
                   " end=%s status=%d reason=%s runs=%u bounces=%u wait_ms=%lu"
                   " first_ms=%lu gap_ms=%lu total_ms=%lu config=%lu",
      CALL_LOG_ARG (c), STR_ARG (server), end_names[end], status, reason,
      c->runs, c->bounces, (c->sent_ms > 0 ? c->sent_ms : now) - c->begun_ms,
      c->first_ms > 0 ? c->first_ms - c->begun_ms : 0, c->gap_ms,
      now - c->begun_ms, c->config);
}

static void
count_refusal (const char *reason)
{
  struct str labels = str_printf ("reason=\"%s\"", reason);

  metrics_add ("galenagate_refused_total", labels, 1);
  str_free (&labels);
}

static void
count_end (const struct call *c, enum call_end end)
{
  struct str labels = str_printf ("route=\"" STR_FMT "\",end=\"%s\"",
                                  STR_ARG (c->route_name), end_names[end]);
  const uint64_t now = clock_ms ();

  metrics_add ("galenagate_calls_total", labels, 1);
  metrics_observe ("galenagate_call_ms", labels, (double)(now - c->begun_ms));
  if (c->first_ms > 0)
    metrics_observe ("galenagate_call_first_ms", labels,
                     (double)(c->first_ms - c->begun_ms));
  str_free (&labels);
}

void
call_set_waiting (struct call *c, bool waiting)
{
  const uint32_t change = waiting ? 1 : UINT32_MAX; /* wraps to -1 */

  if (waiting == c->waiting)
    return;
  c->waiting = waiting;
  if (c->demand_model)
    c->demand_model->waiting += change;
  if (c->demand_adapter)
    c->demand_adapter->waiting += change;
}

void
call_close (struct call *c, enum call_end end, int status, const char *reason)
{
  log_end (c, end, status, reason);
  count_end (c, end);
  if (end == CALL_REFUSED)
    count_refusal (reason);
  call_set_waiting (c, false);
  unlink_call (c);
  caller_release (c->caller);
  uv_close ((uv_handle_t *)&c->timer, free_call);
}

/* ---- arrival ---- */

static void
on_client_gone (void *ctx)
{
  struct call *c = ctx;
  const char *reason = c->waiting ? "left-waiting" : "left-running";

  call_abandon (c);
  call_drop (c, reason);
}

static void
on_end_of_time (uv_timer_t *timer)
{
  struct call *c = timer->data;

  if (!c->forward && c->runs == 0)
    {
      /* The same end as at the last tick before, which may come late. */
      call_refuse (c, 0, c->waiting ? "waited-too-long" : "no-time-left");
      return;
    }
  call_abandon (c);
  call_fail (c, STATUS_GATEWAY_TIMEOUT, "timeout");
}

static struct str
of_iovec (h2o_iovec_t v)
{
  return (struct str){ v.base, v.len };
}

static void
copy_fields (struct call *c, h2o_req_t *req)
{
  /* h2o takes the Host header out of the list. */
  c->fields[c->field_count++]
      = (struct http_field){ STR ("Host"), of_iovec (req->input.authority) };
  for (size_t i = 0; i < req->headers.size && c->field_count < CALL_FIELDS_MAX;
       i++)
    {
      const h2o_header_t *h = &req->headers.entries[i];

      c->fields[c->field_count++]
          = (struct http_field){ of_iovec (*h->name), of_iovec (h->value) };
    }
}

/* The client's address, without its port. */
static uint64_t
client_of (h2o_req_t *req)
{
  struct sockaddr_storage addr = { 0 };
  const struct sockaddr_in *sin = (const struct sockaddr_in *)&addr;

  req->conn->callbacks->get_peername (req->conn, (struct sockaddr *)&addr);
  return sin->sin_family == AF_INET ? sin->sin_addr.s_addr : 0;
}

static struct call *
create_call (struct calls *all, h2o_req_t *req)
{
  struct call *c = xcalloc (1, sizeof *c);

  c->calls = all;
  c->begun_ms = clock_ms ();
  uv_timer_init (all->loop, &c->timer);
  c->timer.data = c;
  copy_fields (c, req);
  call_meta_read (c->fields, c->field_count, &c->meta);
  c->method = of_iovec (req->input.method);
  c->target = of_iovec (req->input.path);
  c->body = of_iovec (req->entity);
  c->fingerprint
      = crashers_fingerprint (client_of (req), c->method, c->target, c->body);
  c->caller = caller_create (req, on_client_gone, c);
  link_call (c);
  return c;
}

/* How long clients wait for the first event of a stream. */
static uint64_t
patience_ms (const struct route *r)
{
  uint64_t ms = PATIENCE_MIN_MS;

  if (ms < (uint64_t)r->target_ms * PATIENCE_TARGETS)
    ms = (uint64_t)r->target_ms * PATIENCE_TARGETS;
  if (ms < (uint64_t)r->event_gap_ms * PATIENCE_GAPS)
    ms = (uint64_t)r->event_gap_ms * PATIENCE_GAPS;
  return ms - PATIENCE_RESERVE_MS;
}

static void
take_route (struct call *c, const struct route *r, const struct service *s)
{
  uint64_t wait_ms = r->timeout_ms;

  c->route_name = str_dup (r->name);
  c->kind = r->kind;
  c->target_ms = r->target_ms;
  c->event_gap_ms = r->event_gap_ms;
  c->max_attempts = r->max_attempts;
  c->priority = r->priority;
  c->resumable = r->resumable;
  if (c->meta.deadline_ms > 0 && c->meta.deadline_ms < wait_ms)
    wait_ms = c->meta.deadline_ms;
  c->deadline_end_ms = c->begun_ms + wait_ms;
  if (wait_ms > DEADLINE_RESERVE_MS && wait_ms == c->meta.deadline_ms)
    wait_ms -= DEADLINE_RESERVE_MS;
  c->end_ms = c->begun_ms + wait_ms;
  if (r->kind == CALL_STREAM && patience_ms (r) < wait_ms)
    wait_ms = patience_ms (r);
  c->wait_end_ms = c->begun_ms + wait_ms - ATTEMPT_MIN_MS;
  str_u64 (c->meta.last_event, &c->last_event);
  uv_timer_start (&c->timer, on_end_of_time, c->end_ms - c->begun_ms, 0);
  if (!s->engine)
    return;
  struct demand *d = site_demand (c->calls->site);
  c->demand_model
      = demand_find (d, c->service, c->meta.model, (struct str){ 0 });
  c->demand_model->arrivals++;
  if (c->meta.adapter.len == 0)
    return;
  c->demand_adapter
      = demand_find (d, c->service, c->meta.model, c->meta.adapter);
  c->demand_adapter->arrivals++;
}

void
calls_accept (struct calls *all, h2o_req_t *req)
{
  struct call *c = create_call (all, req);
  const struct routing *routing = site_routing (all->site);
  const struct route *route;
  const struct service *service;

  if (!routing)
    {
      call_refuse (c, 0, "no-configuration");
      return;
    }
  c->config = routing->version;
  route = routing_find (routing, of_iovec (req->input.authority), c->target);
  if (!route)
    {
      call_deny (c, STATUS_NOT_FOUND, "no-route");
      return;
    }
  if (c->meta.id.len == 0)
    {
      call_deny (c, STATUS_BAD_REQUEST, "no-attempt-id");
      return;
    }
  c->service = str_dup (route_pick (route, random_next (&all->random)));
  service = routing_service (routing, c->service);
  if (!service)
    {
      call_refuse (c, 0, "no-service");
      return;
    }
  take_route (c, route, service);
  call_proceed (c);
}

/* ---- timers ---- */

/* Clients that left are noticed late by so much. */
static void
note_lateness (struct calls *all)
{
  const uint64_t now = clock_ms ();
  const uint64_t late_ms = now > all->left_due_ms ? now - all->left_due_ms : 0;

  all->left_due_ms = now + LEFT_TICK_MS;
  metrics_observe ("galenagate_loop_late_ms", STR (""), (double)late_ms);
  if (late_ms >= LOOP_LATE_MS)
    LOG_INFO ("loop-late", "late_ms=%lu calls=%zu", late_ms, all->open);
}

static void
on_left_tick (uv_timer_t *timer)
{
  struct calls *all = timer->data;
  struct call *next;

  note_lateness (all);
  for (struct call *c = all->first; c; c = next)
    {
      next = c->next;
      if (caller_left (c->caller))
        on_client_gone (c);
    }
}

/* The most urgent calls first; among these, the oldest. */
static void
retry_waiting (struct calls *all)
{
  uint32_t priority = 0;
  uint32_t beyond;

  do
    {
      struct call *next;

      beyond = UINT32_MAX;
      for (struct call *c = all->first; c; c = next)
        {
          next = c->next;
          if (!c->waiting)
            continue;
          if (clock_ms () >= c->wait_end_ms)
            call_give_up (c, 0, "waited-too-long");
          else if (c->priority == priority)
            call_proceed (c);
          else if (c->priority > priority && c->priority < beyond)
            beyond = c->priority;
        }
      priority = beyond;
    }
  while (beyond != UINT32_MAX);
}

static void
refuse_waiting (struct calls *all)
{
  struct call *next;

  for (struct call *c = all->first; c; c = next)
    {
      next = c->next;
      if (c->waiting)
        call_give_up (c, 0, "node-stops");
    }
}

static void
on_wait_tick (uv_timer_t *timer)
{
  struct calls *all = timer->data;

  retry_waiting (all);
  if (clock_ms () >= all->last_wait_ms)
    refuse_waiting (all);
}

void
calls_drain (struct calls *all, uint32_t left_ms)
{
  all->last_wait_ms = clock_ms () + left_ms;
}

static void
on_pool_changed (void *ctx, const void *snapshot)
{
  struct calls *all = ctx;

  (void)snapshot;
  /* At the next turn of the loop, once for several changes. */
  uv_timer_start (&all->wait_timer, on_wait_tick, 0, WAIT_TICK_MS);
}

struct calls *
calls_create (struct kernel *kernel)
{
  const struct edge_settings *s = edge_settings ();
  struct calls *all = xcalloc (1, sizeof *all);

  all->kernel = kernel;
  all->site = site_get (kernel);
  all->http = http_get (kernel);
  all->loop = kernel_loop (kernel);
  all->retry_limits = (struct retries_limits){
    .ratio = s->retry_ratio,
    .slack = s->retry_slack,
    .window_ms = (uint32_t)(s->retry_window_s * 1000),
  };
  all->random = clock_us ();
  all->last_wait_ms = UINT64_MAX;
  uv_timer_init (all->loop, &all->wait_timer);
  uv_timer_init (all->loop, &all->left_timer);
  all->wait_timer.data = all;
  all->left_timer.data = all;
  kernel_subscribe (kernel, TOPIC_POOL, on_pool_changed, all);
  return all;
}

void
calls_start (struct calls *all)
{
  uv_timer_start (&all->wait_timer, on_wait_tick, WAIT_TICK_MS, WAIT_TICK_MS);
  all->left_due_ms = clock_ms () + LEFT_TICK_MS;
  uv_timer_start (&all->left_timer, on_left_tick, LEFT_TICK_MS, LEFT_TICK_MS);
}

void
calls_stop (struct calls *all)
{
  uv_close ((uv_handle_t *)&all->wait_timer, NULL);
  uv_close ((uv_handle_t *)&all->left_timer, NULL);
}

size_t
calls_open (const struct calls *all)
{
  return all->open;
}

void
calls_destroy (struct calls *all)
{
  struct service_retries *r;
  struct service_retries *next;

  HASH_ITER (hh, all->retries, r, next)
  {
    HASH_DEL (all->retries, r);
    str_free (&r->service);
    free (r);
  }
  free (all);
}
