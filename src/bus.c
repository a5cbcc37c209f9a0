#include "bus.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "busconn.h"
#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"
#include "netaddr.h"
#include "rpcmsg.h"
#include "settings.h"

#define LOG_MODULE "bus"
#define PROCS_MAX 32
#define LINK_CHECK_INTERVAL_MS 500
#define CONNECT_TIMEOUT_MS 1000
#define HEARTBEAT_INTERVAL_MS 1000
#define SILENCE_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 60000
#define MISMATCH_LOG_INTERVAL_MS 60000
#define LISTEN_BACKLOG 512

/* An outgoing connection, shared by all calls to its address. */
struct link
{
  struct bus *bus;
  struct str addr;
  struct busconn *conn;
  uint64_t last_call_ms;
  size_t calls_in_flight;
  UT_hash_handle hh;
};

struct call
{
  uv_timer_t timer;
  struct bus *bus;
  uint32_t xid;
  uint32_t proc;
  struct link *link; /* NULL if local or if no link could be opened */
  int timeout_err;
  bus_reply_fn fn;
  void *ctx;
  UT_hash_handle hh;
};

struct bus_request
{
  struct bus *bus;
  struct busconn *conn; /* NULL for a local call or a closed connection */
  bool local;
  uint32_t xid;
  uint32_t proc;
  void *args;
  struct str peer;
  struct bus_request *prev;
  struct bus_request *next;
};

/* A local call or reply, delivered in the next iteration of the event loop. */
struct local_record
{
  struct str record;
  struct local_record *next;
};

struct bus
{
  struct plugin plugin;
  struct kernel *kernel;
  struct str self_addr;
  uv_tcp_t listener;
  uv_timer_t link_check_timer;
  uv_timer_t local_timer;
  struct local_record *local_records;
  struct local_record **local_records_end;
  struct link *links;
  struct call *calls;
  struct bus_request *requests;
  struct busconn **inbound;
  size_t inbound_count;
  uint32_t next_xid;
  uint64_t mismatch_logged_ms;
  bool stopped;
  struct
  {
    bus_handler_fn fn;
    void *ctx;
  } handlers[PROCS_MAX];
};

static void
free_call (uv_handle_t *handle)
{
  free (handle->data);
}

static void
complete_call (struct call *c, int err, struct str hint, const void *result)
{
  HASH_DEL (c->bus->calls, c);
  if (c->link)
    c->link->calls_in_flight--;
  uv_close ((uv_handle_t *)&c->timer, free_call);
  if (c->fn)
    c->fn (c->ctx, err, hint, result);
}

static void
on_call_timeout (uv_timer_t *timer)
{
  struct call *c = timer->data;

  metrics_add ("galenagate_bus_timeouts_total", (struct str){ 0 }, 1);
  complete_call (c, c->timeout_err, (struct str){ 0 }, NULL);
}

static void
on_reply (struct bus *b, const struct rpcmsg *msg, struct str hint,
          struct str body)
{
  struct call *c;
  int err = msg->err;
  void *result = NULL;

  HASH_FIND (hh, b->calls, &msg->xid, sizeof msg->xid, c);
  if (!c)
    return;
  const uint32_t proc = c->proc;
  if (err == 0)
    {
      result = rpcmsg_decode_body (proc, RPCMSG_RESULT, body);
      err = result ? 0 : -EBADMSG;
    }
  complete_call (c, err, hint, result);
  rpcmsg_free (proc, RPCMSG_RESULT, result);
}

static void queue_local (struct bus *b, struct str record);

static void
send_reply (struct bus_request *req, struct str record)
{
  if (req->local)
    queue_local (req->bus, record);
  else if (req->conn)
    busconn_send (req->conn, record);
  else
    str_free (&record);
}

static void
complete_request (struct bus_request *req, int err, struct str hint,
                  const void *result)
{
  struct bus *b = req->bus;

  if (!b->stopped)
    send_reply (req, rpcmsg_reply (req->xid, req->proc, err, hint, result));
  if (req->prev)
    req->prev->next = req->next;
  else
    b->requests = req->next;
  if (req->next)
    req->next->prev = req->prev;
  rpcmsg_free (req->proc, RPCMSG_ARGS, req->args);
  str_free (&req->peer);
  free (req);
}

void
bus_reply (struct bus_request *req, const void *result)
{
  static const char nothing = 0;

  complete_request (req, 0, (struct str){ 0 }, result ? result : &nothing);
}

void
bus_fail (struct bus_request *req, int err, struct str hint)
{
  complete_request (req, err < 0 ? err : -EIO, hint, NULL);
}

struct str
bus_peer_addr (const struct bus_request *req)
{
  return req->peer;
}

bool
bus_caller_disconnected (const struct bus_request *req)
{
  return !req->local && !req->conn;
}

static void
on_request (struct bus *b, struct busconn *conn, const struct rpcmsg *msg,
            struct str body)
{
  struct bus_request *req = xcalloc (1, sizeof *req);

  req->bus = b;
  req->conn = conn;
  req->local = conn == NULL;
  req->xid = msg->xid;
  req->proc = msg->proc;
  req->peer = str_dup (conn ? busconn_addr (conn) : b->self_addr);
  req->next = b->requests;
  if (b->requests)
    b->requests->prev = req;
  b->requests = req;
  req->args = rpcmsg_decode_body (msg->proc, RPCMSG_ARGS, body);
  if (!req->args)
    bus_fail (req, -EBADMSG, (struct str){ 0 });
  else if (msg->proc == PEER_NULL)
    bus_reply (req, NULL);
  else if (msg->proc >= PROCS_MAX || !b->handlers[msg->proc].fn)
    bus_fail (req, -ENOSYS, (struct str){ 0 });
  else
    b->handlers[msg->proc].fn (b->handlers[msg->proc].ctx, req, req->args);
}

static void
reject_version (struct bus *b, struct busconn *conn, uint32_t xid)
{
  const uint64_t now_ms = clock_ms ();

  metrics_add ("galenagate_bus_version_mismatches_total", (struct str){ 0 },
               1);
  if (conn)
    busconn_send (conn, rpcmsg_version_mismatch (xid));
  if (b->mismatch_logged_ms != 0
      && now_ms - b->mismatch_logged_ms < MISMATCH_LOG_INTERVAL_MS)
    return;
  b->mismatch_logged_ms = now_ms;
  LOG_WARN ("version-mismatch", "peer=" STR_FMT,
            STR_ARG (conn ? busconn_addr (conn) : b->self_addr));
}

static void
on_record (void *ctx, struct busconn *conn, struct str record)
{
  struct bus *b = ctx;
  struct rpcmsg msg;
  struct str hint;
  struct str body;
  const int rc = rpcmsg_decode_header (record, &msg, &hint, &body);

  if (rc == -EPROTONOSUPPORT)
    reject_version (b, conn, msg.xid);
  else if (rc != 0)
    {
      LOG_WARN ("bad-record", "peer=" STR_FMT " bytes=%zu",
                STR_ARG (conn ? busconn_addr (conn) : b->self_addr),
                record.len);
      if (conn)
        busconn_close (conn);
    }
  else if (msg.is_reply)
    on_reply (b, &msg, hint, body);
  else
    on_request (b, conn, &msg, body);
  str_free (&hint);
}

static void
on_local_timer (uv_timer_t *timer)
{
  struct bus *b = timer->data;
  struct local_record *l = b->local_records;

  b->local_records = NULL;
  b->local_records_end = &b->local_records;
  while (l)
    {
      struct local_record *next = l->next;
      const struct str body = { l->record.data + RPCMSG_MARK_BYTES,
                                l->record.len - RPCMSG_MARK_BYTES };

      if (!b->stopped)
        on_record (b, NULL, body);
      str_free (&l->record);
      free (l);
      l = next;
    }
}

static void
queue_local (struct bus *b, struct str record)
{
  struct local_record *l = xcalloc (1, sizeof *l);

  l->record = record;
  *b->local_records_end = l;
  b->local_records_end = &l->next;
  uv_timer_start (&b->local_timer, on_local_timer, 0, 0);
}

/* ---- outgoing connections ---- */

/* Completes all calls of a link with an error; NULL selects the calls without
   a link. A reply function may start new calls, so the scan restarts after
   each call. */
static void
fail_link_calls (struct bus *b, struct link *link, int err)
{
  struct call *c = b->calls;

  while (c)
    {
      if (c->link != link)
        {
          c = c->hh.next;
          continue;
        }
      complete_call (c, err, (struct str){ 0 }, NULL);
      c = b->calls;
    }
}

static void
on_link_closed (void *ctx, struct busconn *conn, bool connected)
{
  struct link *l = ctx;
  struct bus *b = l->bus;

  (void)conn;
  HASH_DEL (b->links, l);
  fail_link_calls (b, l, connected ? -EPIPE : -ECONNREFUSED);
  str_free (&l->addr);
  free (l);
}

static void
on_link_record (void *ctx, struct busconn *conn, struct str record)
{
  struct link *l = ctx;

  on_record (l->bus, conn, record);
}

static const struct busconn_events link_events
    = { .record = on_link_record, .closed = on_link_closed };

static struct link *
find_or_open_link (struct bus *b, struct str to)
{
  struct link *l;

  HASH_FIND (hh, b->links, to.data, to.len, l);
  if (l)
    return l;
  l = xcalloc (1, sizeof *l);
  l->bus = b;
  l->conn = busconn_connect (kernel_loop (b->kernel), to, &link_events, l);
  if (!l->conn)
    {
      free (l);
      return NULL;
    }
  l->addr = str_dup (to);
  HASH_ADD_KEYPTR (hh, b->links, l->addr.data, l->addr.len, l);
  return l;
}

void
bus_call (struct bus *b, struct str to, uint32_t proc, const void *args,
          uint32_t timeout_ms, bus_reply_fn fn, void *ctx)
{
  struct call *c = xcalloc (1, sizeof *c);
  const bool local = str_eq (to, b->self_addr);
  struct link *link = local || b->stopped ? NULL : find_or_open_link (b, to);

  c->bus = b;
  c->xid = ++b->next_xid;
  c->proc = proc;
  c->fn = fn;
  c->ctx = ctx;
  c->link = link;
  if (link)
    link->calls_in_flight++;
  HASH_ADD (hh, b->calls, xid, sizeof c->xid, c);
  uv_timer_init (kernel_loop (b->kernel), &c->timer);
  c->timer.data = c;
  c->timeout_err = link || local ? -ETIMEDOUT : -ECONNREFUSED;
  struct str record = { 0 };

  if (link || local)
    record = rpcmsg_call (c->xid, proc, args);
  if ((link || local) && record.len == 0)
    {
      LOG_ERR ("call-too-large", "peer=" STR_FMT " proc=%u", STR_ARG (to),
               proc);
      c->timeout_err = -EMSGSIZE;
    }
  uv_timer_start (&c->timer, on_call_timeout, record.len > 0 ? timeout_ms : 0,
                  0);
  if (record.len == 0)
    return;
  if (local)
    queue_local (b, record);
  else
    {
      link->last_call_ms = clock_ms ();
      busconn_send (link->conn, record);
    }
}

/* Closes a link that did not connect in time, that received nothing for too
   long while calls are in flight, or that is idle. Sends heartbeats. */
static void
check_link (struct link *l, uint64_t now_ms)
{
  if (!busconn_connected (l->conn))
    {
      if (busconn_age_ms (l->conn) > CONNECT_TIMEOUT_MS)
        busconn_close (l->conn);
      return;
    }
  if (l->calls_in_flight == 0)
    {
      if (now_ms - l->last_call_ms > IDLE_TIMEOUT_MS)
        busconn_close (l->conn);
      return;
    }
  if (busconn_receive_idle_ms (l->conn) > SILENCE_TIMEOUT_MS
      && now_ms - l->last_call_ms > HEARTBEAT_INTERVAL_MS)
    {
      LOG_WARN ("silent", "peer=" STR_FMT " waiting=%zu", STR_ARG (l->addr),
                l->calls_in_flight);
      busconn_close (l->conn);
    }
  else if (busconn_receive_idle_ms (l->conn) > HEARTBEAT_INTERVAL_MS)
    /* The reply is dropped because no call has xid 0, but its bytes count as
       received. */
    busconn_send (l->conn, rpcmsg_call (0, PEER_NULL, ""));
}

static void
on_tick (uv_timer_t *timer)
{
  struct bus *b = timer->data;
  struct link *l;
  struct link *next;

  HASH_ITER (hh, b->links, l, next) { check_link (l, clock_ms ()); }
}

/* ---- incoming connections ---- */

static void
on_inbound_closed (void *ctx, struct busconn *conn, bool connected)
{
  struct bus *b = ctx;

  (void)connected;
  for (struct bus_request *r = b->requests; r; r = r->next)
    if (r->conn == conn)
      r->conn = NULL;
  for (size_t i = 0; i < b->inbound_count; i++)
    if (b->inbound[i] == conn)
      {
        b->inbound[i] = b->inbound[--b->inbound_count];
        return;
      }
}

static const struct busconn_events inbound_events
    = { .record = on_record, .closed = on_inbound_closed };

static void
on_connection (uv_stream_t *server, int status)
{
  struct bus *b = server->data;

  if (status < 0)
    return;
  b->inbound
      = xrealloc (b->inbound, (b->inbound_count + 1) * sizeof *b->inbound);
  b->inbound[b->inbound_count++] = busconn_accept (server, &inbound_events, b);
}

/* ---- plug-in ---- */

struct bus *
bus_get (struct kernel *kernel)
{
  return (struct bus *)kernel_find (kernel, "bus");
}

void
bus_handle (struct bus *b, uint32_t proc, bus_handler_fn fn, void *ctx)
{
  if (proc >= PROCS_MAX)
    abort ();
  b->handlers[proc].fn = fn;
  b->handlers[proc].ctx = ctx;
}

static const struct plugin_ops ops;

static struct plugin *
create (struct kernel *kernel)
{
  struct bus *b = xcalloc (1, sizeof *b);
  uv_loop_t *loop = kernel_loop (kernel);

  b->plugin.ops = &ops;
  b->kernel = kernel;
  b->self_addr = kernel_settings (kernel)->bus_addr;
  b->local_records_end = &b->local_records;
  uv_tcp_init (loop, &b->listener);
  uv_timer_init (loop, &b->link_check_timer);
  uv_timer_init (loop, &b->local_timer);
  b->listener.data = b;
  b->link_check_timer.data = b;
  b->local_timer.data = b;
  return &b->plugin;
}

static int
start (struct plugin *plugin)
{
  struct bus *b = (struct bus *)plugin;
  struct sockaddr_in addr;
  int rc;

  if (!netaddr_parse (b->self_addr, &addr))
    return -EINVAL;
  rc = uv_tcp_bind (&b->listener, (struct sockaddr *)&addr, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&b->listener, LISTEN_BACKLOG,
                    on_connection);
  if (rc == 0)
    rc = uv_timer_start (&b->link_check_timer, on_tick, LINK_CHECK_INTERVAL_MS,
                         LINK_CHECK_INTERVAL_MS);
  if (rc != 0)
    LOG_ERR ("listen", "step=bind peer=" STR_FMT " error=\"%s\"",
             STR_ARG (b->self_addr), err_str (rc));
  return rc;
}

static void
stop (struct plugin *plugin)
{
  struct bus *b = (struct bus *)plugin;
  struct link *l;
  struct link *next;

  b->stopped = true;
  uv_close ((uv_handle_t *)&b->listener, NULL);
  uv_close ((uv_handle_t *)&b->link_check_timer, NULL);
  uv_close ((uv_handle_t *)&b->local_timer, NULL);
  HASH_ITER (hh, b->links, l, next) { busconn_close (l->conn); }
  for (size_t i = 0; i < b->inbound_count; i++)
    busconn_close (b->inbound[i]);
  fail_link_calls (b, NULL, -ECANCELED);
}

static void
destroy (struct plugin *plugin)
{
  struct bus *b = (struct bus *)plugin;

  while (b->requests)
    bus_fail (b->requests, -ECANCELED, (struct str){ 0 });
  while (b->local_records)
    {
      struct local_record *next = b->local_records->next;

      str_free (&b->local_records->record);
      free (b->local_records);
      b->local_records = next;
    }
  free (b->inbound);
  free (b);
}

static const struct plugin_ops ops = {
  .name = "bus",
  .rank = RANK_BUS,
  .create = create,
  .start = start,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)
