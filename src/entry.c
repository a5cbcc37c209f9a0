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

/* The callers' HTTP server: listener, routing, graceful shutdown. */
struct entry
{
  struct plugin plugin;
  struct kernel *kernel;
  struct requests *requests;
  struct admin *admin;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  uv_tcp_t listener;
  uv_timer_t drain_timer;
  bool listening;
};

struct handler
{
  h2o_handler_t base;
  struct entry *entry;
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

static int
on_request (h2o_handler_t *base, h2o_req_t *req)
{
  struct entry *e = ((struct handler *)base)->entry;
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
    }
  else if (split_service (req, &service, &service_path))
    requests_service (e->requests, req, service, service_path);
  else if (!admin_serve (e->admin, req))
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
  struct entry *e = listener->data;

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
  h2o_accept (&e->accept, sock);
}

static void
configure (struct entry *e)
{
  const struct settings *s = kernel_settings (e->kernel);

  h2o_config_init (&e->config);
  e->config.server_name = h2o_iovec_init (H2O_STRLIT ("galenagate"));
  e->config.max_request_entity_size = s->body_limit_bytes;
  h2o_hostconf_t *host = h2o_config_register_host (
      &e->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path (host, "/", 0);
  struct handler *handler
      = (struct handler *)h2o_create_handler (path, sizeof *handler);
  handler->base.on_req = on_request;
  handler->entry = e;
  h2o_context_init (&e->context, kernel_loop (e->kernel), &e->config);
  e->accept.ctx = &e->context;
  e->accept.hosts = e->config.hosts;
}

static const struct plugin_ops ops;

static struct plugin *
create (struct kernel *kernel)
{
  struct entry *e = xcalloc (1, sizeof *e);

  e->plugin.ops = &ops;
  e->kernel = kernel;
  e->requests = requests_create (kernel);
  e->admin = admin_create (kernel, e->requests);
  configure (e);
  uv_tcp_init (kernel_loop (kernel), &e->listener);
  uv_timer_init (kernel_loop (kernel), &e->drain_timer);
  e->listener.data = e;
  e->drain_timer.data = e;
  return &e->plugin;
}

static int
start (struct plugin *plugin)
{
  struct entry *e = (struct entry *)plugin;
  const struct str addr = kernel_settings (e->kernel)->http_addr;
  struct sockaddr_in sin;
  int rc;

  if (!netaddr_parse (addr, &sin))
    return -EINVAL;
  rc = uv_tcp_bind (&e->listener, (struct sockaddr *)&sin, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&e->listener, BACKLOG, on_connection);
  if (rc != 0)
    {
      LOG_ERR ("listen", "step=bind peer=" STR_FMT " error=\"%s\"",
               STR_ARG (addr), err_str (rc));
      return rc;
    }
  e->listening = true;
  LOG_INFO ("listen", "http_addr=" STR_FMT, STR_ARG (addr));
  return 0;
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

  e->listening = false;
  uv_close ((uv_handle_t *)&e->listener, NULL);
  h2o_context_request_shutdown (&e->context);
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

  if (!uv_is_closing ((uv_handle_t *)&e->listener))
    uv_close ((uv_handle_t *)&e->listener, NULL);
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
