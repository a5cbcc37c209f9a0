#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httppeer.h"
#include "suite.h"

/* Requests to a listening socket that never responds. */

#define TOTAL_MS 200

/* Runs the loop until the request has ended. Returns true if any bytes were
   sent to the socket. */
static bool
peer_was_sent (struct peer *p, const bool *done)
{
  char bytes[512];

  peer_run_until (p, done);
  peer_stop (p);
  const int fd = accept (p->fd, NULL, NULL);
  const ssize_t received = recv (fd, bytes, sizeof bytes, 0);
  close (fd);
  return received > 0;
}

/* Guards against sending a request that became obsolete while its connection
   was opened. */
static void
test_request (void)
{
  static const struct http_events events
      = { .confirm_send = peer_is_wanted, .done = peer_on_done };
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
      struct peer_outcome outcome = { .wanted = cases[i].wanted };
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

/* Guards against sending an order although the placement holder lost its lease
   while the connection was opened. */
static void
test_order (void)
{
  static const struct order_events events
      = { .confirm_send = peer_is_wanted, .done = peer_on_order_done };
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
      struct peer_outcome outcome = { .wanted = cases[i].wanted };
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
