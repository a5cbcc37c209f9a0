#include "httpd.h"

#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "clock.h"
#include "err.h"
#include "framing.h"
#include "log.h"
#include "memaccount.h"
#include "metrics.h"
#include "netaddr.h"

#define LOG_MODULE "httpd"
#define LISTEN_BACKLOG 1024
#define IDLE_TIMEOUT_DEFAULT_MS 10000
#define IDLE_CHECK_MS 500
/* A request that takes longer to arrive is not answered. */
#define REQUEST_ARRIVAL_MAX_MS 60000
/* Bytes received before the memory is counted again. */
#define READ_MAX_BYTES (64 * 1024)
/* Whole requests take at most this part of the budget, so that others can
   still arrive. */
#define WHOLE_SHARE_NUM 3
#define WHOLE_SHARE_DEN 4
/* A whole request holds its body and the copy that is sent to a server. */
#define BODY_COPIES 2
/* Smaller requests are never refused for lack of memory. */
#define SMALL_BODY_BYTES (16 * 1024)
/* Received bytes of an HTTP/2 request that are not its body: at most these of
   the head, each field with its lengths, a frame header for so many bytes of
   the body, and frames that control the connection. */
#define HTTP2_HEAD_MAX_BYTES ((size_t)8 * 1024)
#define HTTP2_FIELD_BYTES 8
#define HTTP2_BODY_PER_FRAMING 64
#define HTTP2_CONTROL_BYTES 256
/* Retry-After of a request that is refused for lack of memory; bodies that
   take the memory are usually gone by then. */
#define MEMORY_RETRY_AFTER "1"
#define STATUS_UNAVAILABLE 503

/**
 * struct client - connection of a client.
 * @sock: h2o's socket on @tcp.
 * @alloc_cb, @read_cb: h2o's callbacks, which observe() replaces.
 * @http1_read: h2o's callback for HTTP/1.1; another one means HTTP/2.
 * @memory: unfinished requests.
 * @http2_bytes: received bytes that belong to no whole request.
 * @requests: requests in progress.
 * @framing: check of what was received on HTTP/1.1.
 * @request_count: requests that h2o has read.
 * @idle: in the list of connections without a request in progress.
 * @unobserved: in the list of connections to observe once h2o reads again.
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
  uv_alloc_cb alloc_cb;
  uv_read_cb read_cb;
  h2o_socket_cb http1_read;
  struct memholder memory;
  size_t http2_bytes;
  size_t requests;
  struct framing framing;
  size_t request_count;
  h2o_linklist_t idle;
  h2o_linklist_t unobserved;
  bool http2;
  bool closed;
};

/**
 * struct request_slot - a whole request, until h2o frees it.
 * @client: NULL once it is closed.
 */
struct request_slot
{
  struct client *client;
  struct memholder memory;
};

/**
 * struct httpd - server.
 * @idle: connections without a request in progress, the one that was active
 *   last first.
 * @unobserved: connections that h2o may read again without observe().
 */
struct httpd
{
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  uv_tcp_t listener;
  uv_timer_t idle_timer;
  uint32_t idle_timeout_ms;
  struct client *clients;
  uv_prepare_t prepare;
  h2o_linklist_t idle;
  h2o_linklist_t unobserved;
  size_t client_count;
  size_t max_clients; /* 0 for no limit */
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

static void observe (struct client *c);

static void
move_to_front (h2o_linklist_t *list, h2o_linklist_t *node)
{
  if (h2o_linklist_is_linked (node))
    h2o_linklist_unlink (node);
  h2o_linklist_insert (list->next, node);
}

static void
unlink_node (h2o_linklist_t *node)
{
  if (h2o_linklist_is_linked (node))
    h2o_linklist_unlink (node);
}

static void
count_limit (const char *reason)
{
  struct str labels = str_printf ("reason=\"%s\"", reason);

  metrics_add ("galenagate_client_limits_total", labels, 1);
  str_free (&labels);
}

/* ---- requests ---- */

/* h2o frees requests of a closed connection before or after on_socket_closed()
   runs; the client itself is freed later than both. */
static void
on_request_disposed (void *ptr)
{
  struct request_slot *slot = ptr;
  struct client *c = slot->client;

  memaccount_release (memaccount_clients (), &slot->memory);
  c->requests--;
  if (c->closed)
    return;
  if (c->requests == 0)
    move_to_front (&c->httpd->idle, &c->idle);
  /* h2o now starts to read with its own callbacks. */
  if (!c->http2)
    move_to_front (&c->httpd->unobserved, &c->unobserved);
}

/* Returns about how many bytes were received for a request. A head that is
   counted as smaller than it was would remain in the account until the
   connection is closed, and at last be the cause of that. */
static size_t
http2_request_bytes (const h2o_req_t *req)
{
  size_t head
      = req->input.method.len + req->input.authority.len + req->input.path.len;

  for (size_t i = 0; i < req->headers.size; i++)
    head += req->headers.entries[i].name->len
            + req->headers.entries[i].value.len + HTTP2_FIELD_BYTES;
  if (head > HTTP2_HEAD_MAX_BYTES)
    head = HTTP2_HEAD_MAX_BYTES;
  return HTTP2_CONTROL_BYTES + head + req->entity.len
         + req->entity.len / HTTP2_BODY_PER_FRAMING;
}

static void
track_request (struct client *c, h2o_req_t *req)
{
  struct request_slot *slot
      = h2o_mem_alloc_shared (&req->pool, sizeof *slot, on_request_disposed);
  const size_t whole_bytes = http2_request_bytes (req);

  *slot = (struct request_slot){ .client = c };
  c->requests++;
  unlink_node (&c->idle);
  c->http2_bytes
      = c->http2_bytes > whole_bytes ? c->http2_bytes - whole_bytes : 0;
  memaccount_charge (memaccount_clients (), &c->memory, MEM_UNFINISHED,
                     c->http2 ? c->http2_bytes : 0);
  memaccount_charge (memaccount_clients (), &slot->memory, MEM_WHOLE,
                     req->entity.len * BODY_COPIES);
}

/* Returns true if whole requests hold more than their part of the budget. */
static bool
lacks_memory (const h2o_req_t *req)
{
  const struct memaccount *a = memaccount_clients ();
  const size_t own_bytes = req->entity.len * BODY_COPIES;
  const size_t whole_bytes = memaccount_class_total (a, MEM_WHOLE);

  return req->entity.len > SMALL_BODY_BYTES && whole_bytes > own_bytes
         && whole_bytes
                > memaccount_budget (a) / WHOLE_SHARE_DEN * WHOLE_SHARE_NUM;
}

static void
send_unavailable (h2o_req_t *req)
{
  req->res.status = STATUS_UNAVAILABLE;
  req->res.reason = "Service Unavailable";
  req->res.content_length = 0;
  h2o_add_header_by_str (&req->pool, &req->res.headers,
                         H2O_STRLIT ("retry-after"), 0, NULL,
                         H2O_STRLIT (MEMORY_RETRY_AFTER));
  h2o_send_inline (req, NULL, 0);
}

static void
refuse_for_memory (h2o_req_t *req)
{
  LOG_INFO ("request-refused", "reason=client-memory bytes=%zu held=%zu",
            req->entity.len, memaccount_total (memaccount_clients ()));
  count_limit ("body-refused");
  send_unavailable (req);
}

/* Returns true if the framing check has read the request to its end. It may
   lag behind h2o without an error: libuv can poll more than once before
   on_prepare() runs, and bytes that h2o reads with its own callbacks are not
   checked. */
static bool
framing_checked (const struct client *c, const h2o_req_t *req)
{
  const bool http2_begun
      = c->http2
        || (c->framing.state == FRAMING_HTTP2 && req->version >= 0x200);

  return http2_begun || c->request_count <= c->framing.complete;
}

static void
record_malformed (const struct client *c)
{
  LOG_INFO ("request-refused", "reason=malformed error=%s",
            c->framing.error ? c->framing.error : "unchecked");
  count_limit ("malformed-request");
}

static void
refuse_unchecked (const struct client *c, h2o_req_t *req)
{
  record_malformed (c);
  req->http1_is_persistent = 0;
  send_unavailable (req);
}

static int
on_request (h2o_handler_t *base, h2o_req_t *req)
{
  struct httpd *d = ((struct handler *)base)->httpd;
  struct client *c
      = req->conn->callbacks->get_socket (req->conn)->on_close.data;

  c->active_ms = clock_ms ();
  c->request_count++;
  /* A request that asks to continue in HTTP/2 was received as one of HTTP/1.1,
     and is checked as such. */
  const bool checked = framing_checked (c, req);
  c->http2 = req->version >= 0x200;
  track_request (c, req);
  if (!checked)
    {
      refuse_unchecked (c, req);
      return 0;
    }
  if (lacks_memory (req))
    {
      refuse_for_memory (req);
      return 0;
    }
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

  c->closed = true;
  c->httpd->client_count--;
  memaccount_release (memaccount_clients (), &c->memory);
  framing_free (&c->framing);
  unlink_node (&c->idle);
  unlink_node (&c->unobserved);
  if (c->prev)
    c->prev->next = c->next;
  else
    c->httpd->clients = c->next;
  if (c->next)
    c->next->prev = c->prev;
}

/* Closes a connection as h2o does after a read error. While h2o does not read
   from it, and for HTTP/2 while a write is in progress, h2o closes it when the
   next or that write fails. */
static void
close_client (struct client *c)
{
  memaccount_release (memaccount_clients (), &c->memory);
  if (h2o_socket_is_reading (c->sock))
    c->sock->_cb.read (c->sock, "closed by a limit");
  if (!c->closed)
    shutdown (h2o_socket_get_fd (c->sock), SHUT_RDWR);
}

static void
close_for_limit (struct client *c, const char *reason)
{
  LOG_INFO ("close", "cause=%s held=%zu total=%zu clients=%zu", reason,
            c->memory.bytes, memaccount_total (memaccount_clients ()),
            c->httpd->client_count);
  count_limit (reason);
  close_client (c);
}

static void
evict (struct memholder *memory)
{
  close_for_limit (H2O_STRUCT_FROM_MEMBER (struct client, memory, memory),
                   "client-memory");
}

/* ---- memory of unfinished requests ---- */

/* While h2o reads no further and no request is in progress, it writes an error
   response and frees the memory only afterwards. */
static void
charge_input (struct client *c)
{
  const enum memclass class = h2o_socket_is_reading (c->sock) ? MEM_UNFINISHED
                                                              : MEM_WHOLE;

  if (c->http2)
    memaccount_charge (memaccount_clients (), &c->memory, class,
                       c->http2_bytes);
  else if (c->requests == 0)
    memaccount_charge (memaccount_clients (), &c->memory, class,
                       c->sock->input->size
                           + framing_held_bytes (&c->framing));
}

/* Refuses a malformed request, of which h2o has not received the end, and
   closes the connection. */
static void
refuse_malformed (struct client *c)
{
  static const char response[]
      = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n";
  const uv_buf_t buf = uv_buf_init ((char *)response, sizeof response - 1);

  record_malformed (c);
  if (uv_try_write ((uv_stream_t *)&c->tcp, &buf, 1) != (int)buf.len)
    LOG_DBG ("response-unsent", "reason=malformed");
  close_client (c);
}

/* Returns true if h2o waits for more of a malformed request. It writes no
   response then. */
static bool
awaits_malformed (const struct client *c)
{
  return !c->http2 && c->framing.error && c->requests == 0
         && h2o_socket_is_reading (c->sock);
}

static void
on_client_alloc (uv_handle_t *handle, size_t suggested_bytes, uv_buf_t *buf)
{
  const struct client *c = (struct client *)handle;

  c->alloc_cb (handle, suggested_bytes, buf);
  if (buf->len > READ_MAX_BYTES)
    buf->len = READ_MAX_BYTES;
}

/* Lets h2o process what was received up to a malformed line, then counts what
   it still holds. */
static void
on_client_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct client *c = (struct client *)stream;
  ssize_t accepted = n;

  if (n > 0 && h2o_linklist_is_linked (&c->idle))
    move_to_front (&c->httpd->idle, &c->idle);
  /* Before h2o reads the bytes, because requests that end in them are then
     subtracted. */
  if (n > 0)
    c->http2_bytes += (size_t)n;
  if (n > 0 && !c->http2)
    accepted = (ssize_t)framing_feed (&c->framing,
                                      (struct str){ buf->base, (size_t)n });
  if (n <= 0 || accepted > 0)
    c->read_cb (stream, accepted, buf);
  if (c->closed)
    return;
  c->http2 = c->http2
             || (h2o_socket_is_reading (c->sock)
                 && c->sock->_cb.read != c->http1_read);
  if (c->http2)
    framing_free (&c->framing);
  else
    c->http2_bytes = 0;
  if (awaits_malformed (c))
    {
      refuse_malformed (c);
      return;
    }
  charge_input (c);
  observe (c);
  memaccount_enforce (memaccount_clients ());
}

/* Counts what a connection receives. h2o sets its own callbacks whenever it
   starts to read; while it doesn't read, the connection is checked again. */
static void
observe (struct client *c)
{
  if (!h2o_socket_is_reading (c->sock))
    {
      if (c->requests == 0)
        move_to_front (&c->httpd->unobserved, &c->unobserved);
      else
        unlink_node (&c->unobserved);
      return;
    }
  unlink_node (&c->unobserved);
  if (c->tcp.read_cb == on_client_read)
    return;
  c->alloc_cb = c->tcp.alloc_cb;
  c->read_cb = c->tcp.read_cb;
  c->tcp.alloc_cb = on_client_alloc;
  c->tcp.read_cb = on_client_read;
}

/* Runs before each wait for input. */
static void
on_prepare (uv_prepare_t *handle)
{
  struct httpd *d = handle->data;
  h2o_linklist_t *next;

  for (h2o_linklist_t *i = d->unobserved.next; i != &d->unobserved; i = next)
    {
      struct client *c = H2O_STRUCT_FROM_MEMBER (struct client, unobserved, i);

      next = i->next;
      if (awaits_malformed (c))
        {
          refuse_malformed (c);
          continue;
        }
      charge_input (c);
      observe (c);
    }
  memaccount_enforce (memaccount_clients ());
}

/* Closes the connections that have been idle for longest while there are too
   many. */
static void
limit_clients (struct httpd *d)
{
  if (d->max_clients > 0 && d->client_count > d->max_clients
      && !h2o_linklist_is_empty (&d->idle))
    close_for_limit (
        H2O_STRUCT_FROM_MEMBER (struct client, idle, d->idle.prev),
        "max-clients");
}

static void
accept_client (struct httpd *d, struct client *c)
{
  uv_tcp_nodelay (&c->tcp, 1);
  c->httpd = d;
  c->active_ms = clock_ms ();
  c->memory.evict = evict;
  c->next = d->clients;
  if (d->clients)
    d->clients->prev = c;
  d->clients = c;
  d->client_count++;
  move_to_front (&d->idle, &c->idle);
  c->sock = h2o_uv_socket_create ((uv_stream_t *)&c->tcp, free_client);
  c->sock->on_close.cb = on_socket_closed;
  c->sock->on_close.data = c;
  h2o_accept (&d->accept, c->sock);
  c->http1_read = c->sock->_cb.read;
  observe (c);
  limit_clients (d);
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
  h2o_linklist_init_anchor (&d->idle);
  h2o_linklist_init_anchor (&d->unobserved);
  d->max_clients = options->max_clients;
  uv_prepare_init (loop, &d->prepare);
  d->prepare.data = d;
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
  uv_prepare_start (&d->prepare, on_prepare);
  uv_timer_start (&d->idle_timer, on_idle_timer, IDLE_CHECK_MS, IDLE_CHECK_MS);
  LOG_INFO ("listen", "http_addr=" STR_FMT, STR_ARG (addr));
  return 0;
}

void
httpd_set_options (struct httpd *d, const struct httpd_options *options)
{
  d->config.max_request_entity_size = options->body_limit_bytes;
  d->max_clients = options->max_clients;
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
  uv_unref ((uv_handle_t *)&d->prepare);
  h2o_context_request_shutdown (&d->context);
  close_idle_connections (d);
}
