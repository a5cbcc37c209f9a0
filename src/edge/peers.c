#include "edge/peers.h"

#include <errno.h>
#include <stdlib.h>

#include "err.h"
#include "log.h"
#include "metrics.h"
#include "netaddr.h"
#include "xdrcodec.h"

#define LOG_MODULE "peers"
#define BUFFER_BYTES 65536

struct peers
{
  uv_udp_t socket;
  peers_receive_fn receive;
  void *ctx;
  char buffer[BUFFER_BYTES];
};

struct str
label_to_str (label text)
{
  return (struct str){ text.label_val, text.label_len };
}

label
label_from_str (struct str text)
{
  return (label){ .label_len = (u_int)text.len,
                  .label_val = (char *)text.data };
}

struct peers *
peers_create (uv_loop_t *loop, peers_receive_fn receive, void *ctx)
{
  struct peers *p = xcalloc (1, sizeof *p);

  p->receive = receive;
  p->ctx = ctx;
  uv_udp_init (loop, &p->socket);
  p->socket.data = p;
  return p;
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  struct peers *p = handle->data;

  (void)suggested;
  *buf = uv_buf_init (p->buffer, sizeof p->buffer);
}

static void
on_datagram (uv_udp_t *socket, ssize_t n, const uv_buf_t *buf,
             const struct sockaddr *from, unsigned flags)
{
  struct peers *p = socket->data;
  struct datagram d = { 0 };
  XDR x;

  if (n <= 0 || !from || (flags & UV_UDP_PARTIAL))
    return;
  xdrmem_create (&x, buf->base, (u_int)n, XDR_DECODE);
  if (xdr_datagram (&x, &d))
    {
      struct str addr = netaddr_print ((const struct sockaddr_in *)from);

      p->receive (p->ctx, addr, &d);
      str_free (&addr);
    }
  else
    LOG_DBG ("datagram-unreadable", "bytes=%zd", n);
  xdr_free ((xdrproc_t)xdr_datagram, (char *)&d);
}

int
peers_listen (struct peers *p, struct str addr)
{
  struct sockaddr_in sin;
  int rc = netaddr_parse (addr, &sin) ? 0 : -EINVAL;

  if (rc == 0)
    rc = uv_udp_bind (&p->socket, (struct sockaddr *)&sin, 0);
  if (rc == 0)
    rc = uv_udp_recv_start (&p->socket, on_alloc, on_datagram);
  if (rc != 0)
    LOG_ERR ("listen", "step=bind peer=" STR_FMT " error=\"%s\"",
             STR_ARG (addr), err_str (rc));
  return rc;
}

int
peers_encode (const struct datagram *d, struct str *out)
{
  int rc = xdrcodec_encode ((xdrproc_t)xdr_datagram, d, out);

  if (rc == 0 && out->len > DIGEST_BYTES_MAX)
    {
      rc = -EMSGSIZE;
      str_free (out);
    }
  if (rc != 0)
    {
      LOG_WARN ("datagram-too-large", "kind=%d limit=%d", (int)d->kind,
                DIGEST_BYTES_MAX);
      metrics_add ("galenagate_datagrams_too_large_total", STR (""), 1);
    }
  return rc;
}

void
peers_send (struct peers *p, struct str to, struct str bytes)
{
  const uv_buf_t buf = uv_buf_init ((char *)bytes.data, (unsigned)bytes.len);
  struct sockaddr_in sin;

  if (!netaddr_parse (to, &sin))
    return;
  /* Lost datagrams are not repeated; later ones carry the same state. */
  const int rc
      = uv_udp_try_send (&p->socket, &buf, 1, (const struct sockaddr *)&sin);
  if (rc < 0)
    LOG_DBG ("datagram-not-sent", "peer=" STR_FMT " error=\"%s\"",
             STR_ARG (to), err_str (rc));
}

void
peers_close (struct peers *p)
{
  uv_close ((uv_handle_t *)&p->socket, NULL);
}

void
peers_destroy (struct peers *p)
{
  free (p);
}
