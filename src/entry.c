#include <stdlib.h>
#include <string.h>

#include <h2o.h>

#include "admin.h"
#include "apierror.h"
#include "caller.h"
#include "httpd.h"
#include "kernel.h"
#include "request.h"
#include "settings.h"

#define DRAIN_CHECK_MS 50

/* An HTTP server and the paths that it serves. */
struct listener
{
  struct entry *entry;
  enum admin_scope scope;
  struct httpd *httpd; /* NULL if the address is not configured */
};

/* HTTP servers for callers and operators, with routing and graceful
   shutdown. */
struct entry
{
  struct plugin plugin;
  struct kernel *kernel;
  struct requests *requests;
  struct admin *admin;
  struct listener caller_listener;
  struct listener operator_listener; /* only with --admin-addr */
  uv_timer_t drain_timer;
};

static struct str
normalized_path (const h2o_req_t *req)
{
  return (struct str){ req->path_normalized.base, req->path_normalized.len };
}

static bool
is_method (const h2o_req_t *req, const char *method)
{
  return str_eq ((struct str){ req->method.base, req->method.len },
                 str_from (method));
}

/* Splits "/services/NAME/rest?query" into NAME and "/rest?query". Returns
   false if the path has another form. */
static bool
parse_service_path (const h2o_req_t *req, struct str *name, struct str *path)
{
  static const struct str prefix = { "/services/", 10 };
  const struct str whole = { req->path.base, req->path.len };

  if (!str_starts (whole, prefix))
    return false;
  const struct str rest = { whole.data + prefix.len, whole.len - prefix.len };
  const char *slash = memchr (rest.data, '/', rest.len);
  if (!slash || slash == rest.data)
    return false;
  *name = (struct str){ rest.data, (size_t)(slash - rest.data) };
  *path = (struct str){ slash, rest.len - name->len };
  return true;
}

static bool
serve_call (struct entry *e, h2o_req_t *req)
{
  const struct str path = normalized_path (req);
  struct str service;
  struct str service_path;

  if (str_eq (path, STR ("/v1/chat/completions"))
      || str_eq (path, STR ("/v1/completions")))
    {
      if (is_method (req, "POST"))
        requests_serve_model (e->requests, req);
      else
        requests_refuse (e->requests, req, API_METHOD_NOT_ALLOWED, "use POST");
      return true;
    }
  if (!parse_service_path (req, &service, &service_path))
    return false;
  requests_serve_service (e->requests, req, service, service_path);
  return true;
}

static int
on_request (void *ctx, h2o_req_t *req)
{
  struct listener *l = ctx;
  struct entry *e = l->entry;

  if (l->scope != ADMIN_SCOPE_OPERATORS && serve_call (e, req))
    return 0;
  if (!admin_serve (e->admin, req, l->scope))
    requests_refuse (e->requests, req, API_NOT_FOUND, "no such path");
  return 0;
}

static void
listener_init (struct listener *l, struct entry *e, enum admin_scope scope)
{
  const struct settings *s = kernel_settings (e->kernel);
  const struct httpd_options options
      = { .body_limit_bytes = s->body_limit_bytes };

  l->entry = e;
  l->scope = scope;
  l->httpd = httpd_create (kernel_loop (e->kernel), &options, on_request, l);
}

static const struct plugin_ops ops;

static struct plugin *
create (struct kernel *kernel)
{
  struct entry *e = xcalloc (1, sizeof *e);
  const bool separate = kernel_settings (kernel)->admin_addr.len > 0;

  e->plugin.ops = &ops;
  e->kernel = kernel;
  e->requests = requests_create (kernel);
  e->admin = admin_create (kernel, e->requests);
  listener_init (&e->caller_listener, e,
                 separate ? ADMIN_SCOPE_CLIENTS : ADMIN_SCOPE_ALL);
  if (separate)
    listener_init (&e->operator_listener, e, ADMIN_SCOPE_OPERATORS);
  uv_timer_init (kernel_loop (kernel), &e->drain_timer);
  e->drain_timer.data = e;
  return &e->plugin;
}

static int
start (struct plugin *plugin)
{
  struct entry *e = (struct entry *)plugin;
  const struct settings *s = kernel_settings (e->kernel);
  const int rc = httpd_listen (e->caller_listener.httpd, s->http_addr);

  if (rc != 0 || s->admin_addr.len == 0)
    return rc;
  return httpd_listen (e->operator_listener.httpd, s->admin_addr);
}

/* ---- graceful shutdown ---- */

static void
check_drained (uv_timer_t *timer)
{
  struct entry *e = timer->data;

  if (requests_open (e->requests) > 0 || caller_count () > 0)
    return;
  uv_timer_stop (timer);
  kernel_drained (e->kernel, &e->plugin);
}

/* Runs after the drain delay, which gives the load balancer time to see the
   failed readiness check. */
static void
stop_listening (uv_timer_t *timer)
{
  struct entry *e = timer->data;

  httpd_close (e->caller_listener.httpd);
  uv_timer_start (timer, check_drained, 0, DRAIN_CHECK_MS);
}

static void
drain (struct plugin *plugin)
{
  struct entry *e = (struct entry *)plugin;

  uv_timer_start (&e->drain_timer, stop_listening,
                  kernel_settings (e->kernel)->drain_delay_ms, 0);
}

static void
stop (struct plugin *plugin)
{
  struct entry *e = (struct entry *)plugin;

  httpd_close (e->caller_listener.httpd);
  if (e->operator_listener.httpd)
    httpd_close (e->operator_listener.httpd);
  uv_close ((uv_handle_t *)&e->drain_timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct entry *e = (struct entry *)plugin;

  admin_destroy (e->admin);
  requests_destroy (e->requests);
  /* Open h2o connections still refer to the context of the HTTP server, so e
     is not freed; the process exits next. */
}

static const struct plugin_ops ops = {
  .name = "entry",
  .rank = RANK_ENTRY,
  .create = create,
  .start = start,
  .drain = drain,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)
