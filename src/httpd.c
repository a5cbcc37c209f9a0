#include "httpd.h"

#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"
#include "netaddr.h"

#define LOG_MODULE "httpd"
#define LISTEN_BACKLOG 1024
#define IDLE_TIMEOUT_DEFAULT_MS 10000
#define IDLE_CHECK_MS 500
/* A request that takes longer to arrive is not answered. */
#define REQUEST_ARRIVAL_MAX_MS 60000

/**
 * struct client - connection of a client.
 * @sock: h2o's socket on @tcp.
 * @input_bytes: received bytes of a request that was not complete at the last
 *   check; 0 if no request had begun.
 * @active_ms: when the connection last received a part of a request or had a
 *   request in progress, as far as checks have seen.
 * @http2: h2o's own timeout applies.
 */
struct client
{
  uv_tcp_t tcp; /* first member: freed through a pointer to it */
  struct httpd *httpd;
  h2o_socket_t *sock;
  struct client *prev;
  struct client *next;
  size_t input_bytes;
  uint64_t active_ms;
  bool http2;
};

struct httpd
{
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  uv_tcp_t listener;
  uv_timer_t idle_timer;
  uint32_t idle_timeout_ms;
  struct client *clients;
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
  struct client *c
      = req->conn->callbacks->get_socket (req->conn)->on_close.data;

  c->http2 = req->version >= 0x200;
  c->active_ms = clock_ms ();
  return d->fn (d->ctx, req);
}

/* ---- connections ---- */

static void
free_client (uv_handle_t *handle)
{
  free (handle);
}

static void
on_socket_closed (void *ctx)
{
  struct client *c = ctx;

  if (c->prev)
    c->prev->next = c->next;
  else
    c->httpd->clients = c->next;
  if (c->next)
    c->next->prev = c->prev;
}

static void
accept_client (struct httpd *d, struct client *c)
{
  uv_tcp_nodelay (&c->tcp, 1);
  c->httpd = d;
  c->active_ms = clock_ms ();
  c->next = d->clients;
  if (d->clients)
    d->clients->prev = c;
  d->clients = c;
  c->sock = h2o_uv_socket_create ((uv_stream_t *)&c->tcp, free_client);
  c->sock->on_close.cb = on_socket_closed;
  c->sock->on_close.data = c;
  h2o_accept (&d->accept, c->sock);
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
  struct client *c = xcalloc (1, sizeof *c);
  uv_tcp_init (listener->loop, &c->tcp);
  if (uv_accept (listener, (uv_stream_t *)&c->tcp) != 0)
    uv_close ((uv_handle_t *)&c->tcp, free_client);
  else
    accept_client (d, c);
}

/* ---- limit for idle connections ---- */

/* Records a connection that is closed while no request is in progress. */
static void
record_close (const struct client *c, const char *cause)
{
  const size_t input_bytes = c->sock->input->size;
  const char *state = input_bytes > 0 ? "request-incomplete" : "idle";
  struct str labels = str_printf ("cause=\"%s\",state=\"%s\"", cause, state);

  metrics_add ("galenagate_connections_closed_total", labels, 1);
  if (input_bytes > 0)
    LOG_INFO ("close", "cause=%s state=%s input_bytes=%zu", cause, state,
              input_bytes);
  str_free (&labels);
}

/* Closes the connection for reading. h2o then closes it, but only after it has
   read and answered requests that have arrived meanwhile. */
static void
close_idle (struct client *c)
{
  record_close (c, "idle-timeout");
  shutdown (h2o_socket_get_fd (c->sock), SHUT_RD);
  c->active_ms = clock_ms ();
}

/* h2o reads from an HTTP/1.1 connection only while no request is in progress.
   Its own timeout starts when the connection becomes idle and does not take
   into account that a request is arriving. */
static void
check_idle (struct client *c, uint64_t now_ms)
{
  if (c->http2)
    return;
  if (!h2o_socket_is_reading (c->sock)
      || c->sock->input->size != c->input_bytes)
    c->active_ms = now_ms;
  c->input_bytes = c->sock->input->size;
  if (now_ms - c->active_ms >= c->httpd->idle_timeout_ms)
    close_idle (c);
}

static void
on_idle_timer (uv_timer_t *timer)
{
  struct httpd *d = timer->data;
  const uint64_t now_ms = clock_ms ();

  for (struct client *c = d->clients; c; c = c->next)
    check_idle (c, now_ms);
}

static void
set_idle_timeout (struct httpd *d, uint32_t timeout_ms)
{
  d->idle_timeout_ms = timeout_ms > 0 ? timeout_ms : IDLE_TIMEOUT_DEFAULT_MS;
  d->context.http1.req_timeout.timeout
      = d->idle_timeout_ms + REQUEST_ARRIVAL_MAX_MS;
}

/* ---- server ---- */

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
  h2o_hostconf_t *host = h2o_config_register_host (
      &d->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path (host, "/", 0);
  struct handler *handler
      = (struct handler *)h2o_create_handler (path, sizeof *handler);
  handler->base.on_req = on_request;
  handler->httpd = d;
  h2o_context_init (&d->context, loop, &d->config);
  set_idle_timeout (d, options->idle_timeout_ms);
  d->accept.ctx = &d->context;
  d->accept.hosts = d->config.hosts;
  uv_tcp_init (loop, &d->listener);
  d->listener.data = d;
  uv_timer_init (loop, &d->idle_timer);
  d->idle_timer.data = d;
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
  uv_timer_start (&d->idle_timer, on_idle_timer, IDLE_CHECK_MS, IDLE_CHECK_MS);
  LOG_INFO ("listen", "http_addr=" STR_FMT, STR_ARG (addr));
  return 0;
}

void
httpd_set_options (struct httpd *d, const struct httpd_options *options)
{
  d->config.max_request_entity_size = options->body_limit_bytes;
  /* Once the server is closed, idle connections are closed at once: keeps the
     timeout that close_idle_connections() has set. */
  if (!d->closed)
    set_idle_timeout (d, options->idle_timeout_ms);
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

  for (const struct client *c = d->clients; c; c = c->next)
    if (!c->http2 && h2o_socket_is_reading (c->sock))
      record_close (c, "stop");
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
  uv_close ((uv_handle_t *)&d->idle_timer, NULL);
  h2o_context_request_shutdown (&d->context);
  close_idle_connections (d);
}
