#include "httpd.h"

#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>

#include "err.h"
#include "log.h"
#include "netaddr.h"

#define LOG_MODULE "httpd"
#define LISTEN_BACKLOG 1024

struct httpd
{
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  uv_tcp_t listener;
  bool listening;
  bool closed;
  httpd_request_fn fn;
  void *ctx;
};

struct handler
{
  h2o_handler_t base;
  struct httpd *httpd;
};

static int
on_request (h2o_handler_t *base, h2o_req_t *req)
{
  struct httpd *d = ((struct handler *)base)->httpd;

  return d->fn (d->ctx, req);
}

static void
on_client_closed (uv_handle_t *handle)
{
  free (handle);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct httpd *d = listener->data;

  if (status != 0)
    {
      LOG_WARN ("accept", "step=accept error=\"%s\"", err_str (status));
      return;
    }
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
  h2o_accept (&d->accept, sock);
}

struct httpd *
httpd_create (uv_loop_t *loop, const struct httpd_options *options,
              httpd_request_fn fn, void *ctx)
{
  struct httpd *d = xcalloc (1, sizeof *d);

  d->fn = fn;
  d->ctx = ctx;
  h2o_config_init (&d->config);
  d->config.server_name = h2o_iovec_init (H2O_STRLIT ("galenagate"));
  d->config.max_request_entity_size = options->body_limit_bytes;
  if (options->idle_timeout_ms > 0)
    d->config.http1.req_timeout = options->idle_timeout_ms;
  h2o_hostconf_t *host = h2o_config_register_host (
      &d->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path (host, "/", 0);
  struct handler *handler
      = (struct handler *)h2o_create_handler (path, sizeof *handler);
  handler->base.on_req = on_request;
  handler->httpd = d;
  h2o_context_init (&d->context, loop, &d->config);
  d->accept.ctx = &d->context;
  d->accept.hosts = d->config.hosts;
  uv_tcp_init (loop, &d->listener);
  d->listener.data = d;
  return d;
}

int
httpd_listen (struct httpd *d, struct str addr)
{
  struct sockaddr_in sin;
  int rc = netaddr_parse (addr, &sin) ? 0 : -EINVAL;

  if (rc == 0)
    rc = uv_tcp_bind (&d->listener, (struct sockaddr *)&sin, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&d->listener, LISTEN_BACKLOG,
                    on_connection);
  if (rc != 0)
    {
      LOG_ERR ("listen", "step=bind peer=" STR_FMT " error=\"%s\"",
               STR_ARG (addr), err_str (rc));
      return rc;
    }
  d->listening = true;
  LOG_INFO ("listen", "http_addr=" STR_FMT, STR_ARG (addr));
  return 0;
}

void
httpd_set_options (struct httpd *d, const struct httpd_options *options)
{
  d->config.max_request_entity_size = options->body_limit_bytes;
  /* Once the server is closed, idle connections are closed at once: keeps the
     timeout that close_idle_connections() has set. */
  if (options->idle_timeout_ms > 0 && !d->closed)
    d->context.http1.req_timeout.timeout = options->idle_timeout_ms;
}

void
httpd_announce_close (struct httpd *d)
{
  h2o_context_request_shutdown (&d->context);
}

/* Closes connections without a request in progress, which h2o would keep until
   their timeout expires. */
static void
close_idle_connections (struct httpd *d)
{
  h2o_timeout_t *t = &d->context.http1.req_timeout;

  t->timeout = 1;
  h2o_timeout_run (d->context.loop, t,
                   h2o_now (d->context.loop) + t->timeout + 1);
}

void
httpd_close (struct httpd *d)
{
  if (!d->listening)
    return;
  d->listening = false;
  d->closed = true;
  uv_close ((uv_handle_t *)&d->listener, NULL);
  h2o_context_request_shutdown (&d->context);
  close_idle_connections (d);
}
