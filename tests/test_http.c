#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <netinet/in.h>

#include "http.h"
#include "platform/orders.h"
#include "suite.h"

/* Requests to a listening socket that never responds. */

#define TOTAL_MS 200

struct outcome
{
  bool wanted;
  bool done;
  bool sent;
  int code;
  enum order_result result; /* orders only */
};

static bool
is_wanted (void *ctx)
{
  const struct outcome *e = ctx;

  return e->wanted;
}

static void
on_done (void *ctx, struct http_call *call, struct err err, int status,
         bool sent, struct str body)
{
  struct outcome *e = ctx;

  (void)call;
  (void)status;
  (void)body;
  e->done = true;
  e->sent = sent;
  e->code = err.code;
}

/**
 * struct peer - an HTTP client with its own event loop, and a listening
 * socket.
 * @addr: ip:port of the socket.
 */
struct peer
{
  uv_loop_t loop;
  struct http *http;
  int fd;
  struct str addr;
};

static void
peer_open (struct peer *p)
{
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t len = sizeof sin;

  p->fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (bind (p->fd, (struct sockaddr *)&sin, len), 0);
  CU_ASSERT_EQUAL_FATAL (listen (p->fd, 1), 0);
  CU_ASSERT_EQUAL_FATAL (getsockname (p->fd, (struct sockaddr *)&sin, &len),
                         0);
  p->addr = str_printf ("127.0.0.1:%d", ntohs (sin.sin_port));
  uv_loop_init (&p->loop);
  p->http = http_create (&p->loop);
}

/* Runs the loop until the request has ended. Returns true if any bytes were
   sent to the socket. */
static bool
peer_was_sent (struct peer *p, const bool *done)
{
  char bytes[512];

  while (!*done)
    uv_run (&p->loop, UV_RUN_ONCE);
  http_close (p->http);
  uv_run (&p->loop, UV_RUN_DEFAULT);
  const int fd = accept (p->fd, NULL, NULL);
  const ssize_t received = recv (fd, bytes, sizeof bytes, 0);
  close (fd);
  return received > 0;
}

static void
peer_close (struct peer *p)
{
  close (p->fd);
  str_free (&p->addr);
  http_destroy (p->http);
  uv_loop_close (&p->loop);
}

/* Guards against sending a request that became obsolete while its connection
   was opened. */
static void
test_request (void)
{
  static const struct http_events events
      = { .confirm_send = is_wanted, .done = on_done };
  static const struct
  {
    bool wanted;
    bool fresh;
    int code;
  } cases[] = {
    { true, true, -ETIMEDOUT },
    { true, false, -ETIMEDOUT },
    { false, true, -ECANCELED },
    { false, false, -ECANCELED },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct outcome outcome = { .wanted = cases[i].wanted };
      struct peer peer;

      peer_open (&peer);
      struct str url = str_printf ("http://" STR_FMT "/", STR_ARG (peer.addr));
      const struct http_request req = { .method = STR ("GET"),
                                        .url = url,
                                        .total_ms = TOTAL_MS,
                                        .new_connection = cases[i].fresh };
      http_send (peer.http, &req, &events, &outcome);
      CU_ASSERT_EQUAL (peer_was_sent (&peer, &outcome.done), cases[i].wanted);
      CU_ASSERT_EQUAL (outcome.code, cases[i].code);
      CU_ASSERT_EQUAL (outcome.sent, cases[i].wanted);
      str_free (&url);
      peer_close (&peer);
    }
}

static void
on_order_done (void *ctx, enum order_result result)
{
  struct outcome *e = ctx;

  e->done = true;
  e->result = result;
}

/* Guards against sending an order although the placement holder lost its lease
   while the connection was opened. */
static void
test_order (void)
{
  static const struct order_events events
      = { .confirm_send = is_wanted, .done = on_order_done };
  static const struct
  {
    bool wanted;
    enum order_result result;
  } cases[] = {
    { true, ORDER_UNANSWERED },
    { false, ORDER_NOT_SENT },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct outcome outcome = { .wanted = cases[i].wanted };
      struct peer peer;

      peer_open (&peer);
      const struct order order = { .kind = ORDER_LOAD,
                                   .model = STR ("m1"),
                                   .server_address = peer.addr,
                                   .server_id = STR ("s1"),
                                   .holder = STR ("node") };
      order_send (peer.http, &order, &events, &outcome);
      CU_ASSERT_EQUAL (peer_was_sent (&peer, &outcome.done), cases[i].wanted);
      CU_ASSERT_EQUAL (outcome.result, cases[i].result);
      peer_close (&peer);
    }
}

static const struct suite_case cases[] = {
  { "request that is no longer wanted", test_request },
  { "order that is no longer wanted", test_order },
};
TEST_SUITE ("http", cases)
