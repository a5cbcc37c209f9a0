#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include "caller.h"
#include "httpd.h"
#include "memaccount.h"
#include "suite.h"

/* Responses to a client in this process. */

#define TICK_MS 10
#define TICKS_MAX 300
/* Fits into the socket buffers, so that the kernel takes it at once. */
#define PART_BYTES (32 * 1024)

struct server
{
  uv_loop_t loop;
  uv_timer_t ticker;
  struct httpd *httpd;
  struct sockaddr_in sin;
  struct caller *caller;
  size_t requests;
  bool disconnected;
};

static void
on_tick (uv_timer_t *timer)
{
  (void)timer;
}

static void
start_server (struct server *s, httpd_request_fn fn)
{
  const struct httpd_options options = { .body_limit_bytes = PART_BYTES };
  socklen_t len = sizeof s->sin;
  const int fd = socket (AF_INET, SOCK_STREAM, 0);

  signal (SIGPIPE, SIG_IGN); /* as the program does */
  s->sin = (struct sockaddr_in){ .sin_family = AF_INET,
                                 .sin_addr = { htonl (INADDR_LOOPBACK) } };
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&s->sin, len), 0);
  getsockname (fd, (struct sockaddr *)&s->sin, &len);
  close (fd);
  struct str addr = str_printf ("127.0.0.1:%d", ntohs (s->sin.sin_port));
  uv_loop_init (&s->loop);
  uv_timer_init (&s->loop, &s->ticker);
  uv_timer_start (&s->ticker, on_tick, TICK_MS, TICK_MS);
  s->httpd = httpd_create (&s->loop, &options, fn, s);
  CU_ASSERT_EQUAL_FATAL (httpd_listen (s->httpd, addr), 0);
  str_free (&addr);
}

static int
connect_client (const struct server *s)
{
  const int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (const struct sockaddr *)&s->sin, sizeof s->sin), 0);
  return fd;
}

static void
send_bytes (int fd, struct str bytes)
{
  CU_ASSERT_EQUAL (send (fd, bytes.data, bytes.len, 0), (ssize_t)bytes.len);
}

/* ---- memory of responses ---- */

/* Ends the response as a call does when its client has left. */
static void
on_disconnect (void *ctx)
{
  struct server *s = ctx;

  s->disconnected = true;
  caller_end_response (s->caller, false);
  caller_release (s->caller);
}

/* Starts a response while there is no memory for it. */
static int
respond_without_memory (void *ctx, h2o_req_t *req)
{
  static const char part[PART_BYTES];
  struct server *s = ctx;

  s->requests++;
  s->caller = caller_create (req, on_disconnect, s);
  caller_start_response (s->caller, 200, STR ("text/plain"));
  caller_write (s->caller, (struct str){ part, sizeof part });
  memaccount_set_budget (memaccount_clients (), 1);
  return 0;
}

/* Guards against a request that is kept for ever, because its connection was
   closed for lack of memory after the kernel took the last part of the
   response. The descriptor and the request's body were never freed, and a
   node that stops waited for the request. */
static void
test_closed_while_sent (void)
{
  static struct server s;
  const size_t count = caller_count ();

  start_server (&s, respond_without_memory);
  const int fd = connect_client (&s);
  send_bytes (fd, STR ("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  for (int i = 0;
       i < TICKS_MAX && (s.requests == 0 || caller_count () > count); i++)
    uv_run (&s.loop, UV_RUN_ONCE);
  memaccount_set_budget (memaccount_clients (), SIZE_MAX);
  CU_ASSERT_EQUAL (s.requests, 1);
  CU_ASSERT_TRUE (s.disconnected);
  CU_ASSERT_EQUAL (caller_count (), count);
  CU_ASSERT_EQUAL (memaccount_total (memaccount_clients ()), 0);
  close (fd);
  httpd_close (s.httpd);
}

/* ---- HTTP/2 ---- */

#define HTTP2_REQUESTS 20
#define FRAME_HEADERS 1
#define FRAME_SETTINGS 4
#define FLAG_END_STREAM 1
#define FLAG_END_HEADERS 4

static void
add_frame (struct buf *out, char type, char flags, char stream,
           struct str payload)
{
  const char head[] = { (char)(payload.len >> 16),
                        (char)(payload.len >> 8),
                        (char)payload.len,
                        type,
                        flags,
                        0,
                        0,
                        0,
                        stream };

  buf_append (out, (struct str){ head, sizeof head });
  buf_append (out, payload);
}

/* Appends a POST with a key that the client does not let the server index; see
   RFC 7541, sections 5.1, 6.2.3 and appendix A. */
static void
add_request (struct buf *out, char stream, size_t key_bytes)
{
  const size_t rest = key_bytes - 127;
  const char len[] = { 0x7f, (char)(rest % 128 + 128), (char)(rest / 128) };
  struct buf head = { 0 };

  buf_append (&head, STR ("\x83\x86\x84\x01\x01z\x1f\x08"));
  buf_append (&head, (struct str){ len, sizeof len });
  for (size_t i = 0; i < key_bytes; i++)
    buf_append (&head, STR ("k"));
  add_frame (out, FRAME_HEADERS, FLAG_END_STREAM | FLAG_END_HEADERS, stream,
             buf_str (&head));
  buf_free (&head);
}

static int
respond (void *ctx, h2o_req_t *req)
{
  struct server *s = ctx;

  s->requests++;
  req->res.status = 200;
  h2o_send_inline (req, NULL, 0);
  return 0;
}

/* Sends requests in one piece and waits until all are answered. */
static void
check_heads (struct server *s, size_t key_bytes)
{
  const int fd = connect_client (s);
  struct buf bytes = { 0 };

  s->requests = 0;
  buf_append (&bytes, STR ("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"));
  add_frame (&bytes, FRAME_SETTINGS, 0, 0, (struct str){ 0 });
  for (int i = 0; i < HTTP2_REQUESTS; i++)
    add_request (&bytes, (char)(2 * i + 1), key_bytes);
  send_bytes (fd, buf_str (&bytes));
  for (int i = 0; i < TICKS_MAX && s->requests < HTTP2_REQUESTS; i++)
    uv_run (&s->loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (s->requests, HTTP2_REQUESTS);
  CU_ASSERT_EQUAL (memaccount_total (memaccount_clients ()), 0);
  buf_free (&bytes);
  close (fd);
}

/* Guards against a connection that is closed as if it held memory, because
   the bytes of requests that have ended still count. */
static void
test_http2_heads (void)
{
  static struct server s;
  static const size_t key_bytes[] = { 200, 1000, 3000 };

  start_server (&s, respond);
  for (size_t i = 0; i < sizeof key_bytes / sizeof *key_bytes; i++)
    check_heads (&s, key_bytes[i]);
  httpd_close (s.httpd);
}

#define FRAME_DATA 0
#define FRAME_WINDOW_UPDATE 8
#define UNREAD_BYTES (8 * 1024 * 1024)
#define UPLOAD_BYTES 16384

static void
on_disposed (void *slot)
{
  struct server *s = *(struct server **)slot;

  s->disconnected = true;
}

/* Sends more than a client that does not read takes. */
static int
respond_at_length (void *ctx, h2o_req_t *req)
{
  struct server *s = ctx;
  struct server **slot
      = h2o_mem_alloc_shared (&req->pool, sizeof *slot, on_disposed);
  char *body = h2o_mem_alloc_pool (&req->pool, UNREAD_BYTES);

  memset (body, 0, UNREAD_BYTES);

  *slot = s;
  s->requests++;
  req->res.status = 200;
  h2o_send_inline (req, body, UNREAD_BYTES);
  return 0;
}

static void
run_ticks (struct server *s, int ticks)
{
  while (ticks-- > 0 && !s->disconnected)
    uv_run (&s->loop, UV_RUN_ONCE);
}

/* Guards against a connection that is to be closed for lack of memory, but
   keeps what it holds, uncounted, because its client does not read. */
static void
test_http2_unread (void)
{
  static struct server s;
  static const char upload[UPLOAD_BYTES];
  struct buf bytes = { 0 };

  start_server (&s, respond_at_length);
  const int fd = connect_client (&s);
  buf_append (&bytes, STR ("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"));
  /* A window of 2 GB for each stream and for the connection. */
  add_frame (&bytes, FRAME_SETTINGS, 0, 0, STR ("\0\x04\x7f\xff\xff\xff"));
  add_frame (&bytes, FRAME_WINDOW_UPDATE, 0, 0, STR ("\x7f\xff\0\0"));
  add_request (&bytes, 1, 200);
  send_bytes (fd, buf_str (&bytes));
  run_ticks (&s, 20);
  CU_ASSERT_EQUAL (s.requests, 1);
  buf_reset (&bytes);
  add_frame (&bytes, FRAME_HEADERS, FLAG_END_HEADERS, 3,
             STR ("\x83\x86\x84\x01\x01z"));
  add_frame (&bytes, FRAME_DATA, 0, 3, (struct str){ upload, sizeof upload });
  memaccount_set_budget (memaccount_clients (), UPLOAD_BYTES / 2);
  send_bytes (fd, buf_str (&bytes));
  run_ticks (&s, TICKS_MAX);
  memaccount_set_budget (memaccount_clients (), SIZE_MAX);
  CU_ASSERT_TRUE (s.disconnected);
  CU_ASSERT_EQUAL (memaccount_total (memaccount_clients ()), 0);
  buf_free (&bytes);
  close (fd);
  httpd_close (s.httpd);
}

static const struct suite_case cases[] = {
  { "closed while sent", test_closed_while_sent },
  { "HTTP/2 heads", test_http2_heads },
  { "HTTP/2 unread", test_http2_unread },
};
TEST_SUITE ("caller", cases)
