#include "busconn.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "err.h"
#include "netaddr.h"
#include "rpcmsg.h"

#define READ_BUFFER_BYTES 65536
#define LAST_FRAGMENT_BIT 0x80000000u
#define FRAGMENT_LEN_MASK 0x7fffffffu

struct busconn
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  const struct busconn_events *events;
  void *ctx;
  struct str addr;
  struct buf input;
  uint64_t created_ms;
  uint64_t received_ms;
  bool connected;
  bool closing;
};

struct pending_write
{
  uv_write_t req;
  struct str record;
};

static uint64_t bytes_total;

static void
on_closed (uv_handle_t *handle)
{
  struct busconn *c = handle->data;

  c->events->closed (c->ctx, c, c->connected);
  buf_free (&c->input);
  str_free (&c->addr);
  free (c);
}

void
busconn_close (struct busconn *c)
{
  if (c->closing)
    return;
  c->closing = true;
  uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static char data[READ_BUFFER_BYTES];

  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (data, sizeof data);
}

/* Parses the record mark at an offset of the input. Returns false if the mark
   is incomplete; sets @invalid if the record is fragmented or too long. */
static bool
parse_record_mark (const struct busconn *c, size_t pos, uint32_t *len,
                   bool *invalid)
{
  uint32_t mark;

  if (c->input.len - pos < RPCMSG_MARK_BYTES)
    return false;
  memcpy (&mark, c->input.data + pos, sizeof mark);
  mark = ntohl (mark);
  *len = mark & FRAGMENT_LEN_MASK;
  /* Nodes send each record as a single fragment. */
  *invalid = !(mark & LAST_FRAGMENT_BIT) || *len > RPCMSG_RECORD_MAX_BYTES;
  return true;
}

static void
deliver_records (struct busconn *c)
{
  size_t pos = 0;
  uint32_t len;
  bool invalid = false;

  while (!c->closing && parse_record_mark (c, pos, &len, &invalid))
    {
      if (invalid)
        {
          busconn_close (c);
          return;
        }
      if (c->input.len - pos - RPCMSG_MARK_BYTES < len)
        break;
      const struct str record
          = { c->input.data + pos + RPCMSG_MARK_BYTES, len };
      c->events->record (c->ctx, c, record);
      pos += RPCMSG_MARK_BYTES + len;
    }
  if (pos == 0)
    return;
  memmove (c->input.data, c->input.data + pos, c->input.len - pos);
  c->input.len -= pos;
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct busconn *c = stream->data;

  if (n < 0)
    {
      busconn_close (c);
      return;
    }
  bytes_total += (uint64_t)n;
  c->received_ms = clock_ms ();
  buf_append (&c->input, (struct str){ buf->base, (size_t)n });
  deliver_records (c);
}

static struct busconn *
create (uv_loop_t *loop, const struct busconn_events *events, void *ctx)
{
  struct busconn *c = xcalloc (1, sizeof *c);

  c->events = events;
  c->ctx = ctx;
  c->created_ms = clock_ms ();
  c->received_ms = c->created_ms;
  uv_tcp_init (loop, &c->tcp);
  c->tcp.data = c;
  return c;
}

static void
start_reading (struct busconn *c)
{
  c->connected = true;
  c->received_ms = clock_ms ();
  uv_tcp_nodelay (&c->tcp, 1);
  uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static void
on_connect (uv_connect_t *req, int status)
{
  struct busconn *c = req->data;

  if (c->closing)
    return;
  if (status < 0)
    busconn_close (c);
  else
    start_reading (c);
}

struct busconn *
busconn_connect (uv_loop_t *loop, struct str addr,
                 const struct busconn_events *events, void *ctx)
{
  struct sockaddr_in sin;

  if (!netaddr_parse (addr, &sin))
    return NULL;
  struct busconn *c = create (loop, events, ctx);
  c->addr = str_dup (addr);
  c->connect.data = c;
  if (uv_tcp_connect (&c->connect, &c->tcp, (struct sockaddr *)&sin,
                      on_connect)
      != 0)
    busconn_close (c);
  return c;
}

struct busconn *
busconn_accept (uv_stream_t *server, const struct busconn_events *events,
                void *ctx)
{
  struct busconn *c = create (server->loop, events, ctx);
  struct sockaddr_in sin = { 0 };
  int len = sizeof sin;

  if (uv_accept (server, (uv_stream_t *)&c->tcp) != 0)
    {
      busconn_close (c);
      return c;
    }
  uv_tcp_getpeername (&c->tcp, (struct sockaddr *)&sin, &len);
  c->addr = netaddr_print (&sin);
  start_reading (c);
  return c;
}

static void
on_written (uv_write_t *req, int status)
{
  struct pending_write *w = (struct pending_write *)req;
  struct busconn *c = req->data;

  if (status < 0)
    busconn_close (c);
  str_free (&w->record);
  free (w);
}

void
busconn_send (struct busconn *c, struct str record)
{
  if (c->closing)
    {
      str_free (&record);
      return;
    }
  struct pending_write *w = xcalloc (1, sizeof *w);
  w->record = record;
  w->req.data = c;
  bytes_total += record.len;
  uv_buf_t buf = uv_buf_init ((char *)record.data, (unsigned)record.len);
  if (uv_write (&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written) == 0)
    return;
  str_free (&w->record);
  free (w);
  busconn_close (c);
}

struct str
busconn_addr (const struct busconn *c)
{
  return c->addr;
}

bool
busconn_connected (const struct busconn *c)
{
  return c->connected && !c->closing;
}

uint64_t
busconn_age_ms (const struct busconn *c)
{
  return clock_ms () - c->created_ms;
}

uint64_t
busconn_receive_idle_ms (const struct busconn *c)
{
  return clock_ms () - c->received_ms;
}

uint64_t
busconn_total_bytes (void)
{
  return bytes_total;
}
