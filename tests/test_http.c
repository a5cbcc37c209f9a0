#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <netinet/in.h>

#include "http.h"
#include "suite.h"

/* The HTTP client against a socket that listens and never answers. */

#define TOTAL_MS 200

struct end
{
  bool wanted;
  bool done;
  bool sent;
  int code;
};

static bool
is_wanted (void *ctx)
{
  const struct end *e = ctx;

  return e->wanted;
}

static void
on_done (void *ctx, struct http_call *call, struct err err, int status,
         bool sent, struct str body)
{
  struct end *e = ctx;

  (void)call;
  (void)status;
  (void)body;
  e->done = true;
  e->sent = sent;
  e->code = err.code;
}

static int
listen_any (struct sockaddr_in *sin)
{
  const int fd = socket (AF_INET, SOCK_STREAM, 0);
  socklen_t len = sizeof *sin;

  *sin = (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_addr = { htonl (INADDR_LOOPBACK) } };
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)sin, len), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 1), 0);
  CU_ASSERT_EQUAL_FATAL (getsockname (fd, (struct sockaddr *)sin, &len), 0);
  return fd;
}

/* Guards against a request that is sent although what it was for has changed
   while its connection was opened. */
static void
test_wanted (void)
{
  static const struct http_events events
      = { .wanted = is_wanted, .done = on_done };
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
      struct end end = { .wanted = cases[i].wanted };
      struct sockaddr_in sin;
      char bytes[512];
      uv_loop_t loop;
      const int fd = listen_any (&sin);

      uv_loop_init (&loop);
      struct http *http = http_create (&loop);
      struct str url
          = str_printf ("http://127.0.0.1:%d/", ntohs (sin.sin_port));
      const struct http_request req = { .method = STR ("GET"),
                                        .url = url,
                                        .total_ms = TOTAL_MS,
                                        .fresh = cases[i].fresh };
      http_send (http, &req, &events, &end);
      while (!end.done)
        uv_run (&loop, UV_RUN_ONCE);
      http_close (http);
      uv_run (&loop, UV_RUN_DEFAULT);
      const int peer = accept (fd, NULL, NULL);
      const ssize_t received = recv (peer, bytes, sizeof bytes, 0);

      CU_ASSERT_EQUAL (end.code, cases[i].code);
      CU_ASSERT_EQUAL (end.sent, cases[i].wanted);
      CU_ASSERT_EQUAL (received > 0, cases[i].wanted);
      close (peer);
      close (fd);
      str_free (&url);
      http_destroy (http);
      uv_loop_close (&loop);
    }
}

static const struct suite_case cases[] = {
  { "request that is no longer wanted", test_wanted },
};
TEST_SUITE ("http", cases)
