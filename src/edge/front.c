#include <stdlib.h>
#include <sys/resource.h>

#include "caller.h"
#include "edge/call_table.h"
#include "edge/edge.h"
#include "edge/site.h"
#include "err.h"
#include "httpd.h"
#include "kernel.h"
#include "log.h"
#include "memaccount.h"
#include "metrics.h"

#define BODY_LIMIT_DEFAULT (4 * 1024 * 1024)
#define DRAIN_CHECK_MS 50
/* Time from the start of the drain for which connections are still accepted.
   The platform's load balancer sends new ones until two readiness checks, one
   second apart, have failed. Streams accepted later than 3 s after SIGTERM
   could not end within the grace period. */
#define DRAIN_LISTEN_MS 2700
/* Likewise, at most this part of the grace period. */
#define LISTEN_SHARE 0.34
/* Part of the grace period for which calls may wait for a server. The rest is
   left for calls that run. */
#define WAIT_SHARE 0.5
/* Time between the end of unanswered calls and the exit, in which their
   answers are sent. */
#define LAST_ANSWERS_MS 200
/* Connections are kept open this much longer than clients may leave them idle,
   so that a request does not race with the close. */
#define IDLE_SLACK_MS 1000
#define MB ((size_t)1024 * 1024)
/* Defaults: parts of the machine's memory and of the descriptors that clients
   may take. The rest is for servers, other nodes and the kernel. */
#define MEMORY_SHARE 4
#define MEMORY_MIN_MB 32
#define CLIENT_SHARE 2

/* The HTTP servers for clients, readiness checks and metrics. */
struct front
{
  struct plugin plugin;
  struct kernel *kernel;
  struct site *site;
  struct call_table *calls;
  struct httpd *clients;
  struct httpd *readiness;
  struct httpd *metrics;
  uv_timer_t drain_timer;
};

static int
on_client_request (void *ctx, h2o_req_t *req)
{
  struct front *f = ctx;

  call_table_accept (f->calls, req);
  return 0;
}

static void
send_text (h2o_req_t *req, int status, struct str text)
{
  req->res.status = status;
  req->res.reason = status < 400 ? "OK" : "Service Unavailable";
  req->res.content_length = text.len;
  h2o_send_inline (req, text.data, text.len);
}

static int
on_readiness_check (void *ctx, h2o_req_t *req)
{
  const struct front *f = ctx;

  if (kernel_draining (f->kernel))
    send_text (req, 503, STR ("draining\n"));
  else if (!site_ready (f->site))
    send_text (req, 503, STR ("no configuration or server list\n"));
  else
    send_text (req, 200, STR ("ready\n"));
  return 0;
}

static int
on_metrics (void *ctx, h2o_req_t *req)
{
  const struct front *f = ctx;
  struct buf text = { 0 };

  metrics_set ("galenagate_calls_open", STR (""),
               (double)call_table_open_count (f->calls));
  metrics_set ("galenagate_log_lines_dropped", STR (""),
               (double)log_dropped ());
  metrics_text (&text);
  send_text (req, 200, buf_str (&text));
  buf_free (&text);
  return 0;
}

static size_t
client_memory_bytes (void)
{
  size_t mb = edge_settings ()->client_memory_mb;

  if (mb == 0)
    {
      mb = uv_get_total_memory () / MB / MEMORY_SHARE;
      mb = mb > MEMORY_MIN_MB ? mb : MEMORY_MIN_MB;
    }
  return mb * MB;
}

static size_t
max_clients (void)
{
  struct rlimit limit;

  if (edge_settings ()->max_clients > 0)
    return edge_settings ()->max_clients;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0
      || limit.rlim_cur == RLIM_INFINITY)
    return 0;
  return limit.rlim_cur / CLIENT_SHARE;
}

static void
on_routing (void *ctx, const void *snapshot)
{
  struct front *f = ctx;
  const struct client_limits *l = &((const struct routing *)snapshot)->limits;
  const struct httpd_options options = {
    .body_limit_bytes = l->body_bytes > 0 ? l->body_bytes : BODY_LIMIT_DEFAULT,
    .idle_timeout_ms = l->idle_ms > 0 ? l->idle_ms + IDLE_SLACK_MS : 0,
    .max_clients = max_clients (),
  };

  httpd_set_options (f->clients, &options);
}

static const struct plugin_ops ops;

static struct plugin *
create (struct kernel *kernel)
{
  const struct httpd_options options = {
    .body_limit_bytes = BODY_LIMIT_DEFAULT,
    .max_clients = max_clients (),
  };
  struct front *f = xcalloc (1, sizeof *f);
  uv_loop_t *loop = kernel_loop (kernel);

  f->plugin.ops = &ops;
  f->kernel = kernel;
  f->site = site_get (kernel);
  f->calls = call_table_create (kernel);
  memaccount_set_budget (memaccount_clients (), client_memory_bytes ());
  f->clients = httpd_create (loop, &options, on_client_request, f);
  f->readiness = httpd_create (loop, &options, on_readiness_check, f);
  f->metrics = httpd_create (loop, &options, on_metrics, f);
  uv_timer_init (loop, &f->drain_timer);
  f->drain_timer.data = f;
  kernel_subscribe (kernel, TOPIC_ROUTING, on_routing, f);
  return &f->plugin;
}

static int
start (struct plugin *plugin)
{
  struct front *f = (struct front *)plugin;
  const struct edge_settings *s = edge_settings ();
  int rc = httpd_listen (f->clients, s->front_addr);

  if (rc == 0)
    rc = httpd_listen (f->readiness, s->ready_addr);
  if (rc == 0 && s->metrics_addr.len > 0)
    rc = httpd_listen (f->metrics, s->metrics_addr);
  if (rc == 0)
    call_table_start (f->calls);
  return rc;
}

/* ---- graceful shutdown ---- */

static void
check_drained (uv_timer_t *timer)
{
  struct front *f = timer->data;

  /* h2o may still be sending the responses of calls that have ended. */
  if (call_table_open_count (f->calls) > 0 || caller_count () > 0)
    return;
  uv_timer_stop (timer);
  kernel_drained (f->kernel, &f->plugin);
}

static void
stop_listening (uv_timer_t *timer)
{
  struct front *f = timer->data;

  httpd_close (f->clients);
  uv_timer_start (timer, check_drained, DRAIN_CHECK_MS, DRAIN_CHECK_MS);
}

static void
drain (struct plugin *plugin)
{
  struct front *f = (struct front *)plugin;

  const double grace_ms = edge_settings ()->grace_s * 1000;
  const double listen_ms = grace_ms * LISTEN_SHARE;

  httpd_announce_close (f->clients);
  call_table_drain (
      f->calls, (uint32_t)(grace_ms * WAIT_SHARE),
      (uint32_t)(grace_ms - EDGE_EXIT_RESERVE_MS - LAST_ANSWERS_MS));
  uv_timer_start (
      &f->drain_timer, stop_listening,
      listen_ms < DRAIN_LISTEN_MS ? (uint64_t)listen_ms : DRAIN_LISTEN_MS, 0);
}

static void
stop (struct plugin *plugin)
{
  struct front *f = (struct front *)plugin;

  httpd_close (f->clients);
  httpd_close (f->readiness);
  httpd_close (f->metrics);
  call_table_stop (f->calls);
  uv_close ((uv_handle_t *)&f->drain_timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct front *f = (struct front *)plugin;

  call_table_destroy (f->calls);
  /* f is not freed, because h2o's open connections refer to it until the
     process ends. */
}

static const struct plugin_ops ops = {
  .name = "front",
  .rank = RANK_ENTRY,
  .profiles = PROFILE_EDGE,
  .create = create,
  .start = start,
  .drain = drain,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)
