#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <h2o.h>

#include "admin.h"
#include "apierror.h"
#include "caller.h"
#include "kernel.h"
#include "log.h"
#include "netaddr.h"
#include "request.h"
#include "settings.h"

#define LOG_MODULE "entry"
#define BACKLOG 1024
#define DRAIN_CHECK_MS 50

/* A listening address with h2o's state for it. */
struct front
{
  struct entry *entry;
  enum admin_scope scope;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  uv_tcp_t listener;
  bool listening;
};

/* The HTTP servers for callers and operators: listeners, routing, graceful
   shutdown. */
struct entry
{
  struct plugin plugin;
  struct kernel *kernel;
  struct requests *requests;
  struct admin *admin;
  struct front callers;
  struct front operators; /* only with --admin-addr */
  uv_timer_t drain_timer;
};

struct handler
{
  h2o_handler_t base;
  struct front *front;
};

static struct str
path_of (const h2o_req_t *req)
{
  return (struct str){ req->path_normalized.base, req->path_normalized.len };
}

static bool
is_method (const h2o_req_t *req, const char *method)
{
  return str_eq ((struct str){ req->method.base, req->method.len },
                 str_from (method));
}

/* "/services/NAME/rest?query" gives NAME and "/rest?query". */
static bool
split_service (const h2o_req_t *req, struct str *name, struct str *path)
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
  const struct str path = path_of (req);
  struct str service;
  struct str service_path;

  if (str_eq (path, STR ("/v1/chat/completions"))
      || str_eq (path, STR ("/v1/completions")))
    {
      if (is_method (req, "POST"))
        requests_model (e->requests, req);
      else
        requests_refuse (e->requests, req, API_METHOD, "use POST");
      return true;
    }
  if (!split_service (req, &service, &service_path))
    return false;
  requests_service (e->requests, req, service, service_path);
  return true;
}

static int
on_request (h2o_handler_t *base, h2o_req_t *req)
{
  struct front *f = ((struct handler *)base)->front;
  struct entry *e = f->entry;

  if (f->scope != ADMIN_ONLY && serve_call (e, req))
    return 0;
  if (!admin_serve (e->admin, req, f->scope))
    requests_refuse (e->requests, req, API_NOT_FOUND, "no such path");
  return 0;
}

static void
on_client_closed (uv_handle_t *handle)
{
  free (handle);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct front *f = listener->data;

  if (status != 0)
    return;
  uv_tcp_t *client = xmalloc (sizeof *client);
  uv_tcp_init (listener->loop, client);
  if (uv_accept (listener, (uv_stream_t *)client) != 0)
    {
      uv_close ((uv_handle_t *)client, on_client_closed);
      return;
    }
  uv_tcp_nodelay (client, 1);
  h2o_socket_t *sock
      = h2o_uv_socket_create ((uv_stream_t *)client, on_client_closed);
  h2o_accept (&f->accept, sock);
}

static void
front_init (struct front *f, struct entry *e, enum admin_scope scope)
{
  const struct settings *s = kernel_settings (e->kernel);
  uv_loop_t *loop = kernel_loop (e->kernel);

  f->entry = e;
  f->scope = scope;
  h2o_config_init (&f->config);
  f->config.server_name = h2o_iovec_init (H2O_STRLIT ("galenagate"));
  f->config.max_request_entity_size = s->body_limit_bytes;
  h2o_hostconf_t *host = h2o_config_register_host (
      &f->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path (host, "/", 0);
  struct handler *handler
      = (struct handler *)h2o_create_handler (path, sizeof *handler);
  handler->base.on_req = on_request;
  handler->front = f;
  h2o_context_init (&f->context, loop, &f->config);
  f->accept.ctx = &f->context;
  f->accept.hosts = f->config.hosts;
  uv_tcp_init (loop, &f->listener);
  f->listener.data = f;
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
  front_init (&e->callers, e, separate ? ADMIN_NONE : ADMIN_TOO);
  if (separate)
    front_init (&e->operators, e, ADMIN_ONLY);
  uv_timer_init (kernel_loop (kernel), &e->drain_timer);
  e->drain_timer.data = e;
  return &e->plugin;
}

static int
front_listen (struct front *f, struct str addr)
{
  struct sockaddr_in sin;
  int rc = netaddr_parse (addr, &sin) ? 0 : -EINVAL;

  if (rc == 0)
    rc = uv_tcp_bind (&f->listener, (struct sockaddr *)&sin, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&f->listener, BACKLOG, on_connection);
  if (rc != 0)
    {
      LOG_ERR ("listen", "step=bind peer=" STR_FMT " error=\"%s\"",
               STR_ARG (addr), err_str (rc));
      return rc;
    }
  f->listening = true;
  LOG_INFO ("listen", "http_addr=" STR_FMT, STR_ARG (addr));
  return 0;
}

static void
front_close (struct front *f)
{
  if (!f->listening)
    return;
  f->listening = false;
  uv_close ((uv_handle_t *)&f->listener, NULL);
  h2o_context_request_shutdown (&f->context);
}

static int
start (struct plugin *plugin)
{
  struct entry *e = (struct entry *)plugin;
  const struct settings *s = kernel_settings (e->kernel);
  const int rc = front_listen (&e->callers, s->http_addr);

  if (rc != 0 || s->admin_addr.len == 0)
    return rc;
  return front_listen (&e->operators, s->admin_addr);
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

/* The balancer has had time to see the failed readiness check. */
static void
stop_listening (uv_timer_t *timer)
{
  struct entry *e = timer->data;

  front_close (&e->callers);
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

  front_close (&e->callers);
  front_close (&e->operators);
  uv_close ((uv_handle_t *)&e->drain_timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct entry *e = (struct entry *)plugin;

  admin_destroy (e->admin);
  requests_destroy (e->requests);
  /* h2o's open connections still refer to its context, and the process ends
     here; e is left to it. */
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
