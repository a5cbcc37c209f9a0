#include "caller.h"

#include <poll.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "memaccount.h"
#include "metrics.h"
#include "tcpinfo.h"

#define LOG_MODULE "caller"
/* A caller with more unsent data than this reads too slowly. */
#define UNSENT_LIMIT_BYTES (4 * 1024 * 1024)
/* From this much unsent data on, the server is read no further; it is read
   again when less than DRAINED_BYTES is left. The larger limit applies while
   clients take less than half of the memory for them, because a response that
   is read to its end frees its server. It leaves room below UNSENT_LIMIT_BYTES
   for parts that are on their way when the server is paused. */
#define FULL_BYTES (3 * 1024 * 1024)
#define FULL_SHORT_BYTES (512 * 1024)
#define DRAINED_BYTES (128 * 1024)
/* A caller that acknowledges no byte of unsent data for this long has stopped
   reading. A lost packet is sent again sooner. */
#define STALLED_MS 500

struct caller
{
  h2o_generator_t generator; /* first member: h2o passes a pointer to it */
  h2o_req_t *req;            /* NULL after h2o has freed it */
  void (*on_disconnect) (void *ctx);
  void *ctx;
  struct buf pending;      /* not yet passed to h2o */
  struct buf sending;      /* in use by h2o until it calls proceed */
  struct memholder memory; /* of both */
  void (*on_drained) (void *ctx);
  uint64_t acked_bytes; /* as of the last check */
  uint64_t progress_ms; /* when it last grew, or nothing was unsent */
  bool send_in_progress;
  bool response_ended;
  bool complete;
  bool closed;
  bool released;
};

static size_t open_count;

static void
free_if_unused (struct caller *c)
{
  if (c->req || !c->released)
    return;
  memaccount_release (memaccount_clients (), &c->memory);
  buf_free (&c->pending);
  buf_free (&c->sending);
  free (c);
}

/* Returns true if the peer has closed the connection, even while received
   bytes are still unread. */
static bool
peer_closed (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLRDHUP };

  return poll (&p, 1, 0) > 0
         && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static int
connection_fd (const struct caller *c)
{
  return h2o_socket_get_fd (
      c->req->conn->callbacks->get_socket (c->req->conn));
}

/* Records that h2o closes a connection, of which the peer is not the cause,
   before the response has ended. The peer may cancel a request of HTTP/2
   without closing the connection. */
static void
record_unanswered_close (const struct caller *c)
{
  if (c->req->version >= 0x200 || peer_closed (connection_fd (c)))
    return;
  metrics_add ("galenagate_closed_unanswered_total", STR (""), 1);
  LOG_WARN ("closed-unanswered", "path=" STR_FMT, (int)c->req->input.path.len,
            c->req->input.path.base);
}

static void
notify_disconnect (struct caller *c)
{
  void (*on_disconnect) (void *) = c->on_disconnect;

  c->on_disconnect = NULL;
  c->closed = true;
  if (!on_disconnect || c->response_ended || c->released)
    return;
  record_unanswered_close (c);
  on_disconnect (c->ctx);
}

static void
on_dispose (void *slot)
{
  struct caller *c = *(struct caller **)slot;

  open_count--;
  /* The callback may release the caller. Clearing req only afterwards keeps
     caller_release() from freeing it meanwhile. */
  notify_disconnect (c);
  c->req = NULL;
  free_if_unused (c);
}

static void
on_stop (h2o_generator_t *generator, h2o_req_t *req)
{
  (void)req;
  notify_disconnect ((struct caller *)generator);
}

/* Shuts down the sending side of an HTTP/1.1 connection. h2o marks an aborted
   chunked response by bytes that are not a valid chunk; callers should see the
   connection close early instead. After the shutdown h2o's write fails and it
   closes the connection. */
static void
stop_output (struct caller *c)
{
  if (c->req->version >= 0x200)
    return;
  shutdown (connection_fd (c), SHUT_WR);
}

/* ---- memory of responses ---- */

static size_t
unsent_bytes (const struct caller *c)
{
  return c->pending.len + (c->send_in_progress ? c->sending.len : 0);
}

static bool
is_stalled (const struct caller *c)
{
  return unsent_bytes (c) > 0 && clock_ms () - c->progress_ms >= STALLED_MS;
}

static void
charge_unsent (struct caller *c)
{
  memaccount_charge (memaccount_clients (), &c->memory,
                     is_stalled (c) ? MEM_STALLED : MEM_READING,
                     unsent_bytes (c));
}

/* Closes the connection. h2o frees what it still sends when its write fails,
   in the next iteration of the event loop. */
static void
close_connection (struct caller *c)
{
  memaccount_release (memaccount_clients (), &c->memory);
  buf_free (&c->pending);
  if (c->req)
    shutdown (connection_fd (c), SHUT_RDWR);
}

static void
report_eviction (const struct caller *c)
{
  LOG_INFO ("close", "cause=response-memory held=%zu total=%zu unread_ms=%lu",
            c->memory.bytes, memaccount_total (memaccount_clients ()),
            clock_ms () - c->progress_ms);
  metrics_add ("galenagate_client_limits_total",
               STR ("reason=\"response-memory\""), 1);
}

static void
evict (struct memholder *memory)
{
  struct caller *c = H2O_STRUCT_FROM_MEMBER (struct caller, memory, memory);

  report_eviction (c);
  close_connection (c);
  if (c->req)
    notify_disconnect (c);
}

/* ---- sending ---- */

/* Passes the pending bytes, or the end of the response, to h2o. */
static void
send_pending (struct caller *c)
{
  h2o_iovec_t vec;

  if (c->closed || !c->req)
    return;
  if (c->pending.len == 0)
    {
      c->send_in_progress = c->response_ended;
      if (c->response_ended && !c->complete)
        stop_output (c);
      if (c->response_ended)
        h2o_send (c->req, NULL, 0,
                  c->complete ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_ERROR);
      return;
    }
  const struct buf swap = c->sending;
  c->sending = c->pending;
  c->pending = swap;
  buf_reset (&c->pending);
  vec = h2o_iovec_init (c->sending.data, c->sending.len);
  c->send_in_progress = true;
  h2o_send (c->req, &vec, 1, H2O_SEND_STATE_IN_PROGRESS);
}

/* Ends a response whose connection was closed after the kernel had taken the
   last part. h2o waits for the next one otherwise, and never closes it. */
static void
end_closed (struct caller *c)
{
  c->send_in_progress = true;
  h2o_send (c->req, NULL, 0, H2O_SEND_STATE_ERROR);
}

/* h2o has sent the last part. */
static void
on_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  struct caller *c = (struct caller *)generator;
  void (*on_drained) (void *) = NULL;

  (void)req;
  if (c->closed)
    {
      end_closed (c);
      return;
    }
  c->progress_ms = clock_ms ();
  c->send_in_progress = false;
  charge_unsent (c);
  if (!c->response_ended && unsent_bytes (c) <= DRAINED_BYTES)
    {
      on_drained = c->on_drained;
      c->on_drained = NULL;
    }
  /* Sending the end of the response may free the caller. */
  send_pending (c);
  if (on_drained)
    on_drained (c->ctx);
}

struct caller *
caller_create (h2o_req_t *req, void (*on_disconnect) (void *ctx), void *ctx)
{
  struct caller *c = xcalloc (1, sizeof *c);
  struct caller **slot
      = h2o_mem_alloc_shared (&req->pool, sizeof *slot, on_dispose);

  *slot = c;
  c->generator.proceed = on_proceed;
  c->generator.stop = on_stop;
  c->memory.evict = evict;
  c->progress_ms = clock_ms ();
  c->req = req;
  c->on_disconnect = on_disconnect;
  c->ctx = ctx;
  open_count++;
  return c;
}

void
caller_release (struct caller *c)
{
  c->released = true;
  c->on_drained = NULL;
  free_if_unused (c);
}

bool
caller_stalled (struct caller *c)
{
  uint64_t acked_bytes;

  if (c->memory.bytes == 0 || c->closed || !c->req)
    return false;
  acked_bytes = tcpinfo_acked_bytes (connection_fd (c));
  if (acked_bytes != c->acked_bytes)
    c->progress_ms = clock_ms ();
  c->acked_bytes = acked_bytes;
  charge_unsent (c);
  return is_stalled (c);
}

bool
caller_paused (const struct caller *c)
{
  return c->on_drained != NULL;
}

void
caller_abort (struct caller *c)
{
  c->on_disconnect = NULL;
  c->closed = true;
  close_connection (c);
}

bool
caller_disconnected (const struct caller *c)
{
  if (c->closed || !c->req)
    return true;
  return peer_closed (connection_fd (c));
}

void
caller_add_header (struct caller *c, const char *name, struct str value)
{
  if (c->closed || !c->req)
    return;
  const h2o_iovec_t n = h2o_strdup (&c->req->pool, name, SIZE_MAX);
  const h2o_iovec_t v = h2o_strdup (&c->req->pool, value.data, value.len);
  h2o_add_header_by_str (&c->req->pool, &c->req->res.headers, n.base, n.len, 1,
                         NULL, v.base, v.len);
}

/* Announces the end of the connection if the server is to close, which h2o
   does only for requests that it reads later. Closing a connection with unread
   bytes resets it, and the client may lose the end of the response; such bytes
   belong to a next request, whose response announces the end. */
static void
announce_close (struct caller *c)
{
  int unread_bytes = 0;

  if (!c->req->conn->ctx->shutdown_requested)
    return;
  ioctl (connection_fd (c), FIONREAD, &unread_bytes);
  if (unread_bytes == 0)
    c->req->http1_is_persistent = 0;
}

static void
set_response_head (struct caller *c, int status, struct str content_type)
{
  announce_close (c);
  c->req->res.status = status;
  c->req->res.reason = status < 400 ? "OK" : "Error";
  if (content_type.len > 0)
    caller_add_header (c, "content-type", content_type);
}

void
caller_set_content_length (struct caller *c, size_t bytes)
{
  if (!c->closed && c->req)
    c->req->res.content_length = bytes;
}

void
caller_send (struct caller *c, int status, struct str content_type,
             struct str body)
{
  c->response_ended = true;
  if (c->closed || !c->req)
    return;
  set_response_head (c, status, content_type);
  c->req->res.content_length = body.len;
  /* h2o copies the body and keeps it until it is sent. */
  memaccount_charge (memaccount_clients (), &c->memory, MEM_READING, body.len);
  h2o_send_inline (c->req, body.data, body.len);
}

void
caller_start_response (struct caller *c, int status, struct str content_type)
{
  if (c->closed || !c->req)
    return;
  set_response_head (c, status, content_type);
  h2o_start_response (c->req, &c->generator);
}

bool
caller_write (struct caller *c, struct str part)
{
  if (c->closed || !c->req)
    return true;
  buf_append (&c->pending, part);
  if (!c->send_in_progress)
    {
      c->progress_ms = clock_ms ();
      send_pending (c);
    }
  charge_unsent (c);
  return c->pending.len <= UNSENT_LIMIT_BYTES;
}

bool
caller_await_drain (struct caller *c, void (*on_drained) (void *ctx))
{
  const struct memaccount *a = memaccount_clients ();
  const bool memory_short = memaccount_total (a) > memaccount_budget (a) / 2;

  if (c->closed
      || unsent_bytes (c) <= (memory_short ? FULL_SHORT_BYTES : FULL_BYTES))
    return false;
  c->on_drained = on_drained;
  return true;
}

void
caller_end_response (struct caller *c, bool complete)
{
  c->response_ended = true;
  c->complete = complete;
  if (!c->send_in_progress)
    send_pending (c);
}

size_t
caller_count (void)
{
  return open_count;
}
