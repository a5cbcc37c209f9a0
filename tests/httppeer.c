#include "httppeer.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <netinet/in.h>

bool
peer_is_wanted (void *ctx)
{
  const struct peer_outcome *e = ctx;

  return e->wanted;
}

void
peer_on_done (void *ctx, struct http_call *call, struct err err, int status,
              bool sent, struct str body)
{
  struct peer_outcome *e = ctx;

  (void)call;
  (void)body;
  e->done = true;
  e->sent = sent;
  e->code = err.code;
  e->status = status;
}

void
peer_on_order_done (void *ctx, enum order_result result)
{
  struct peer_outcome *e = ctx;

  e->done = true;
  e->result = result;
}

void
peer_open (struct peer *p)
{
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t len = sizeof sin;

  p->fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (bind (p->fd, (struct sockaddr *)&sin, len), 0);
  CU_ASSERT_EQUAL_FATAL (listen (p->fd, 8), 0);
  CU_ASSERT_EQUAL_FATAL (getsockname (p->fd, (struct sockaddr *)&sin, &len),
                         0);
  p->addr = str_printf ("127.0.0.1:%d", ntohs (sin.sin_port));
  uv_loop_init (&p->loop);
  p->http = http_create (&p->loop);
}

void
peer_run_until (struct peer *p, const bool *done)
{
  while (!*done)
    uv_run (&p->loop, UV_RUN_ONCE);
}

void
peer_stop (struct peer *p)
{
  http_close (p->http);
  uv_run (&p->loop, UV_RUN_DEFAULT);
}

void
peer_close (struct peer *p)
{
  close (p->fd);
  str_free (&p->addr);
  http_destroy (p->http);
  uv_loop_close (&p->loop);
}

bool
peer_read_request_text (int fd, char *out, size_t size)
{
  size_t n = 0;

  out[0] = '\0';
  while (!strstr (out, "\r\n\r\n"))
    {
      const ssize_t received = recv (fd, out + n, size - n - 1, 0);

      if (received <= 0)
        return false;
      n += (size_t)received;
      out[n] = '\0';
    }
  return true;
}

bool
peer_read_request (int fd)
{
  char bytes[2048];

  return peer_read_request_text (fd, bytes, sizeof bytes);
}

static void
send_answer (int fd, const struct peer_exchange *x)
{
  struct str text = str_printf (
      "HTTP/1.1 %s\r\nStore-Era: %u\r\nContent-Length: %zu\r\n\r\n%s",
      x->status, x->era, strlen (x->body), x->body);

  send (fd, text.data, text.len, MSG_NOSIGNAL);
  str_free (&text);
}

void *
peer_run_script (void *ctx)
{
  struct peer_script *s = ctx;
  const int fd = accept (s->fd, NULL, NULL);
  char request[2048];

  for (size_t i = 0; i < s->count && s->exchanges[i].call; i++)
    {
      if (!peer_read_request_text (fd, request, sizeof request))
        break;
      s->unexpected = s->unexpected || !strstr (request, s->exchanges[i].call);
      send_answer (fd, &s->exchanges[i]);
      s->answered++;
    }
  while (recv (fd, request, sizeof request, 0) > 0)
    ;
  close (fd);
  return NULL;
}
