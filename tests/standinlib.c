#include "standinlib.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "err.h"

#define BACKLOG 1024
#define BODY_MAX ((size_t)64 << 20)
/* Limit for a client that reads none of a raw response. */
#define SEND_TIMEOUT_MS 1000

/* @silent: no more responses are sent on this connection. */
struct conn
{
  uv_tcp_t tcp;
  h2o_socket_t *sock;
  uint32_t requests;
  bool silent;
  struct conn *next;
};

struct delayed_call
{
  uv_timer_t timer;
  void (*fn) (void *ctx);
  void *ctx;
};

static h2o_globalconf_t conf;
static h2o_context_t context;
static h2o_accept_ctx_t accept_ctx;
static standin_fn handle;
static struct conn *conns;

uv_loop_t *
standin_loop (void)
{
  return uv_default_loop ();
}

static void
on_conn_closed (uv_handle_t *handle)
{
  struct conn *c = (struct conn *)handle;

  for (struct conn **p = &conns; *p; p = &(*p)->next)
    if (*p == c)
      {
        *p = c->next;
        break;
      }
  free (c);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  if (status != 0)
    return;
  struct conn *c = xcalloc (1, sizeof *c);
  uv_tcp_init (listener->loop, &c->tcp);
  c->next = conns;
  conns = c;
  if (uv_accept (listener, (uv_stream_t *)&c->tcp) != 0)
    {
      uv_close ((uv_handle_t *)&c->tcp, on_conn_closed);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  c->sock = h2o_uv_socket_create ((uv_stream_t *)&c->tcp, on_conn_closed);
  h2o_accept (&accept_ctx, c->sock);
}

static struct conn *
conn_of (const h2o_req_t *req)
{
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);

  for (struct conn *c = conns; c; c = c->next)
    if (c->sock == sock)
      return c;
  abort ();
}

static int
on_request (h2o_handler_t *handler, h2o_req_t *req)
{
  struct conn *c = conn_of (req);

  (void)handler;
  c->requests++;
  if (c->silent)
    return 0;
  if (standin_method (req, "POST")
      && str_eq (standin_path (req), STR ("/silence")))
    {
      for (struct conn *other = conns; other; other = other->next)
        other->silent = other != c;
      standin_json (req, 200, json_object ());
      return 0;
    }
  handle (req);
  return 0;
}

int
standin_run (uint32_t port, standin_fn handler)
{
  uv_loop_t *loop = standin_loop ();
  uv_tcp_t listener;
  struct sockaddr_in addr;

  /* A write to a closed connection must fail only that request, not kill the
     process. */
  signal (SIGPIPE, SIG_IGN);
  handle = handler;
  h2o_config_init (&conf);
  conf.max_request_entity_size = BODY_MAX;
  h2o_hostconf_t *host = h2o_config_register_host (
      &conf, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path (host, "/", 0);
  h2o_create_handler (path, sizeof (h2o_handler_t))->on_req = on_request;
  h2o_context_init (&context, loop, &conf);
  accept_ctx = (h2o_accept_ctx_t){ .ctx = &context, .hosts = conf.hosts };
  uv_tcp_init (loop, &listener);
  uv_ip4_addr ("127.0.0.1", (int)port, &addr);
  int rc = uv_tcp_bind (&listener, (struct sockaddr *)&addr, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&listener, BACKLOG, on_connection);
  if (rc != 0)
    {
      fprintf (stderr, "cannot listen on port %u: %s\n", port,
               uv_strerror (rc));
      return 1;
    }
  uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}

static void
on_delay_closed (uv_handle_t *timer)
{
  free (timer);
}

static void
on_delay (uv_timer_t *timer)
{
  struct delayed_call *d = (struct delayed_call *)timer;

  d->fn (d->ctx);
  uv_close ((uv_handle_t *)timer, on_delay_closed);
}

void
standin_run_after (uint64_t delay_ms, void (*fn) (void *ctx), void *ctx)
{
  struct delayed_call *d = xcalloc (1, sizeof *d);

  d->fn = fn;
  d->ctx = ctx;
  uv_timer_init (standin_loop (), &d->timer);
  uv_update_time (standin_loop ());
  uv_timer_start (&d->timer, on_delay, delay_ms, 0);
}

bool
standin_method (const h2o_req_t *req, const char *method)
{
  return h2o_memis (req->method.base, req->method.len, method,
                    strlen (method));
}

static int
hex_digit (char c)
{
  static const char digits[] = "0123456789abcdef";
  const char *digit = c ? strchr (digits, c | 0x20) : NULL;

  return digit ? (int)(digit - digits) : -1;
}

/* @plus: the byte that a plus sign stands for. */
static struct str
decode (h2o_req_t *req, const char *data, size_t len, char plus)
{
  char *out = h2o_mem_alloc_pool (&req->pool, len + 1);
  size_t n = 0;

  for (size_t i = 0; i < len; i++)
    {
      const bool escape = data[i] == '%' && i + 2 < len;
      const int high = escape ? hex_digit (data[i + 1]) : -1;
      const int low = escape ? hex_digit (data[i + 2]) : -1;
      if (high >= 0 && low >= 0)
        {
          out[n++] = (char)(high * 16 + low);
          i += 2;
        }
      else
        out[n++] = data[i] == '+' ? plus : data[i];
    }
  out[n] = '\0';
  return (struct str){ .data = out, .len = n };
}

struct str
standin_path (h2o_req_t *req)
{
  const size_t len = req->query_at == SIZE_MAX ? req->path.len : req->query_at;

  return decode (req, req->path.base, len, '+');
}

struct str
standin_query (h2o_req_t *req, const char *name)
{
  const size_t name_len = strlen (name);

  if (req->query_at == SIZE_MAX)
    return STR ("");
  const char *p = req->path.base + req->query_at + 1;
  const char *end = req->path.base + req->path.len;
  while (p < end)
    {
      const char *amp = memchr (p, '&', (size_t)(end - p));
      const char *stop = amp ? amp : end;
      if ((size_t)(stop - p) > name_len && memcmp (p, name, name_len) == 0
          && p[name_len] == '=')
        return decode (req, p + name_len + 1,
                       (size_t)(stop - p) - name_len - 1, ' ');
      p = stop + 1;
    }
  return STR ("");
}

uint64_t
standin_query_u64 (h2o_req_t *req, const char *name, uint64_t fallback)
{
  uint64_t value;

  return str_u64 (standin_query (req, name), &value) ? value : fallback;
}

struct str
standin_header (const h2o_req_t *req, const char *name)
{
  const size_t len = strlen (name);

  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *h = &req->headers.entries[i];
      if (h->name->len == len && strncasecmp (h->name->base, name, len) == 0)
        return (struct str){ .data = h->value.base, .len = h->value.len };
    }
  return STR ("");
}

struct str
standin_body (const h2o_req_t *req)
{
  if (!req->entity.base)
    return STR ("");
  return (struct str){ .data = req->entity.base, .len = req->entity.len };
}

uint32_t
standin_conn_requests (const h2o_req_t *req)
{
  return conn_of (req)->requests;
}

void
standin_add_header (h2o_req_t *req, const char *name, struct str value)
{
  const h2o_iovec_t copy = h2o_strdup (&req->pool, value.data, value.len);

  h2o_add_header_by_str (&req->pool, &req->res.headers, name, strlen (name), 0,
                         name, copy.base, copy.len);
}

bool
standin_conn_silenced (const h2o_req_t *req)
{
  return conn_of (req)->silent;
}

static const char *
reason_phrase (int status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 503:
      return "Service Unavailable";
    case 507:
      return "Insufficient Storage";
    default:
      return "Other";
    }
}

void
standin_reply (h2o_req_t *req, int status, const char *type, struct str body)
{
  if (standin_conn_silenced (req))
    return;
  req->res.status = status;
  req->res.reason = reason_phrase (status);
  req->res.content_length = body.len;
  standin_add_header (req, "content-type", str_from (type));
  h2o_send_inline (req, body.data, body.len);
}

void
standin_json (h2o_req_t *req, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  standin_reply (req, status, "application/json", str_from (text));
  free (text);
  json_decref (body);
}

void
standin_error (h2o_req_t *req, int status, const char *code)
{
  standin_json (req, status, json_pack ("{s:s}", "error", code));
}

static int
conn_fd (const h2o_req_t *req)
{
  uv_os_fd_t fd = -1;

  uv_fileno ((uv_handle_t *)&conn_of (req)->tcp, &fd);
  return fd;
}

/* h2o needs a response to finish the request; it is written to the socket that
   is already shut down, so the client does not receive it. */
void
standin_close (h2o_req_t *req)
{
  shutdown (conn_fd (req), SHUT_RDWR);
  standin_error (req, 503, "closed");
}

void
standin_send_raw (h2o_req_t *req, struct str data)
{
  struct pollfd p = { .fd = conn_fd (req), .events = POLLOUT };

  while (data.len > 0 && poll (&p, 1, SEND_TIMEOUT_MS) > 0)
    {
      const ssize_t n
          = send (p.fd, data.data, data.len, MSG_DONTWAIT | MSG_NOSIGNAL);

      if (n < 0)
        break;
      data.data += n;
      data.len -= (size_t)n;
    }
  if (data.len > 0)
    shutdown (p.fd, SHUT_RDWR);
}

bool
standin_client_closed (const h2o_req_t *req)
{
  char byte;

  const ssize_t n = recv (conn_fd (req), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}
