#include "edge/liveprobe.h"

#include <errno.h>
#include <stdlib.h>

#include "edge/topology.h"
#include "err.h"
#include "netaddr.h"

/* Delay of the probe. A probe can detect a crash only after the server's
   connections are closed. */
#define PROBE_DELAY_MS 30

struct liveprobe
{
  uv_timer_t timer;
  uv_tcp_t socket;
  uv_connect_t request;
  struct sockaddr_in address;
  liveprobe_fn fn;
  void *ctx;
  bool finished;
  unsigned open_handles;
};

static void
on_closed (uv_handle_t *handle)
{
  struct liveprobe *p = handle->data;

  if (--p->open_handles == 0)
    free (p);
}

static void
end (struct liveprobe *p, int code)
{
  if (p->finished)
    return;
  p->finished = true;
  p->fn (p->ctx, code);
  uv_close ((uv_handle_t *)&p->timer, on_closed);
  uv_close ((uv_handle_t *)&p->socket, on_closed);
}

static void
on_connected (uv_connect_t *request, int status)
{
  end (request->data, status);
}

static void
on_timeout (uv_timer_t *timer)
{
  end (timer->data, -ETIMEDOUT);
}

static void
on_delay_over (uv_timer_t *timer)
{
  struct liveprobe *p = timer->data;

  uv_timer_start (timer, on_timeout, SERVER_CONNECT_MS, 0);
  const int rc
      = uv_tcp_connect (&p->request, &p->socket,
                        (const struct sockaddr *)&p->address, on_connected);
  if (rc != 0)
    end (p, rc);
}

void
liveprobe_start (uv_loop_t *loop, struct str address, liveprobe_fn fn,
                 void *ctx)
{
  struct liveprobe *p = xcalloc (1, sizeof *p);

  p->fn = fn;
  p->ctx = ctx;
  p->open_handles = 2;
  uv_timer_init (loop, &p->timer);
  uv_tcp_init (loop, &p->socket);
  p->timer.data = p;
  p->socket.data = p;
  p->request.data = p;
  /* With an address that can't be parsed, uv_tcp_connect() fails later. */
  netaddr_parse (address, &p->address);
  uv_timer_start (&p->timer, on_delay_over, PROBE_DELAY_MS, 0);
}
