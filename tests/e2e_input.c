#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

#include "cluster_fleet.h"
#include "netaddr.h"
#include "peer.h"
#include "rpcmsg.h"
#include "suite.h"

/* Malformed input over real sockets. After each kind of input every node must
   still run, serve a complete response and have no open request. */

#define SEED 20261204u
#define IO_TIMEOUT_S 3
#define WAIT_MS 15000
#define ROUNDS 200
#define MESSAGE_MAX_BYTES 1400
#define AUTHORIZATION "Authorization: Bearer key-opera\r\n"
#define POST_CHAT                                                             \
  "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" AUTHORIZATION
#define CHAT_LENGTH "Content-Length: 77\r\n\r\n"
#define CHAT_BODY(model)                                                      \
  "{\"model\":\"" model "\",\"stream\":true,\"messages\":[{\"role\":\"user\"" \
  ",\"content\":\"input\"}]}"

static struct fleet fleet;

/* ---- sockets ---- */

static int
connect_socket (const char *addr, int type)
{
  const struct timeval timeout = { .tv_sec = IO_TIMEOUT_S };
  const int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  struct sockaddr_in sin;

  CU_ASSERT_TRUE (netaddr_parse (str_from (addr), &sin));
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&sin, sizeof sin), 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  return fd;
}

/* Sends all of @data unless the peer closes the connection first. */
static void
send_all (int fd, struct str data)
{
  size_t sent = 0;
  ssize_t n = 1;

  while (sent < data.len && n > 0)
    {
      n = send (fd, data.data + sent, data.len - sent, MSG_NOSIGNAL);
      sent += n > 0 ? (size_t)n : 0;
    }
}

/* Reads until the peer closes the connection or the receive timeout passes.
   Returns the number of bytes read. */
static size_t
read_until_closed (int fd)
{
  char data[4096];
  size_t total = 0;
  ssize_t n;

  while ((n = recv (fd, data, sizeof data, 0)) > 0)
    total += (size_t)n;
  return total;
}

/* Closes the connection with a TCP reset instead of a FIN. */
static void
close_with_reset (int fd)
{
  const struct linger no_linger = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  close (fd);
}

static const char *
http_addr (const struct cluster_proc *node)
{
  return node->url + strlen ("http://");
}

static void
fill_random (char *out, size_t n, unsigned *state)
{
  for (size_t i = 0; i < n; i++)
    out[i] = (char)rand_r (state);
}

/* ---- checks after each kind of input ---- */

static bool
no_open_requests (void *ctx)
{
  return cluster_json_int (ctx, "/admin/status", "requests_open") == 0;
}

static void
check_nodes_serve (const char *after)
{
  for (size_t i = 0; i < FLEET_NODES; i++)
    {
      struct cluster_proc *node = fleet.nodes[i];
      struct cluster_reply r = fleet_chat (node, "lm-1", after, i % 2 == 0);
      const bool whole = fleet_reply_complete (&r, after);

      CU_ASSERT_TRUE (whole);
      if (!whole)
        printf ("\n%s, node %zu: status %ld curl %d " STR_FMT "\n", after, i,
                r.status, r.error, STR_ARG (buf_str (&r.body)));
      cluster_reply_free (&r);
      CU_ASSERT_TRUE (cluster_poll_until (no_open_requests, node, WAIT_MS));
      CU_ASSERT_EQUAL (cluster_wait_exit (node, 0), -1);
    }
}

/* ---- HTTP ---- */

/* Guards against a node that crashes, or keeps the request open, when a caller
   sends invalid HTTP, exceeds a size limit or disconnects early. */
static void
test_http (void)
{
  static const struct
  {
    const char *name;
    const char *head;
    size_t padding; /* number of 'a' bytes sent between head and tail */
    const char *tail;
  } cases[] = {
    { "head cut", POST_CHAT, 0, "Conte" },
    { "body cut", POST_CHAT CHAT_LENGTH, 10, "" },
    { "large header", POST_CHAT "X-Large: ", 300000, "\r\n\r\n" },
    { "large path", "GET /", 300000, " HTTP/1.1\r\n\r\n" },
    { "large body", POST_CHAT "Content-Length: 2097152\r\n\r\n", 2097152, "" },
    { "length beyond 64 bits",
      POST_CHAT "Content-Length: 99999999999999999999999\r\n\r\n", 64, "" },
    { "negative length", POST_CHAT "Content-Length: -1\r\n\r\n", 64, "" },
    { "bad chunk", POST_CHAT "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 16,
      "" },
    { "large chunks", POST_CHAT "Transfer-Encoding: chunked\r\n\r\n200000\r\n",
      2097152, "" },
    { "chunk cut", POST_CHAT "Transfer-Encoding: chunked\r\n\r\nff\r\n", 16,
      "" },
    { "length and chunks",
      POST_CHAT "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      0, "\r\n" },
    { "HTTP/2 garbage", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 4096, "" },
    { "HTTP/2 cut", "PRI * HTTP/2.0\r\n\r\nSM\r\n", 0, "" },
    { "long idempotency key",
      "POST /services/stage/release HTTP/1.1\r\nHost: x\r\n" AUTHORIZATION
      "Content-Length: 2\r\nIdempotency-Key: ",
      5000, "\r\n\r\n{}" },
    { "long key to explain", "GET /admin/explain?customer=opera&key=", 5000,
      " HTTP/1.1\r\nHost: x\r\n\r\n" },
    { "pipelined",
      "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" POST_CHAT CHAT_LENGTH, 77,
      POST_CHAT "Content-Length: 0\r\n\r\n"
                "GET /v1/models HTTP/1.1\r\n" AUTHORIZATION "\r\n"
                "GET /services/stage/preview HTTP/1.1\r\n" AUTHORIZATION
                "\r\n" },
  };
  if (!fleet_start (&fleet, NULL))
    goto out;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    for (size_t j = 0; j < FLEET_NODES; j++)
      {
        const int fd
            = connect_socket (http_addr (fleet.nodes[j]), SOCK_STREAM);
        char *padding = malloc (cases[i].padding + 1);

        memset (padding, 'a', cases[i].padding);
        send_all (fd, str_from (cases[i].head));
        send_all (fd, (struct str){ padding, cases[i].padding });
        send_all (fd, str_from (cases[i].tail));
        free (padding);
        if (j % 2 == 0)
          {
            shutdown (fd, SHUT_WR);
            read_until_closed (fd);
            close (fd);
          }
        else
          close_with_reset (fd);
      }
  check_nodes_serve ("after bad HTTP");

out:
  fleet_stop (&fleet);
}

/* ---- bus ---- */

/* Writes an RPC record with a random procedure number, random arguments and,
   in half of the cases, a fault in its header. Returns its length. */
static size_t
make_record (char *out, size_t size, unsigned *state)
{
  const size_t head = RPCMSG_MARK_BYTES + 40;
  size_t n = head + (size_t)rand_r (state) % (size - head);
  uint32_t words[11] = {
    [3] = htonl (2), [4] = htonl (GALENAGATE), [5] = htonl (GALENAGATE_V1)
  };

  fill_random (out, n, state);
  /* The decoder accepts small numbers as lengths of strings and arrays. */
  for (size_t i = head; i + 4 <= n && rand_r (state) % 4 > 0; i += 4)
    memcpy (out + i, &(uint32_t){ htonl ((uint32_t)rand_r (state) % 6) }, 4);
  words[0] = htonl (0x80000000u | (uint32_t)(n - RPCMSG_MARK_BYTES));
  words[1] = (uint32_t)rand_r (state);
  words[2] = htonl (rand_r (state) % 8 == 0); /* message type: 1 is a reply */
  words[6] = htonl ((uint32_t)rand_r (state) % 40);
  switch (rand_r (state) % 8)
    {
    case 0:
      words[rand_r (state) % 11] = (uint32_t)rand_r (state);
      break;
    case 1:
      words[0] = htonl ((uint32_t)n); /* not the last fragment */
      break;
    case 2:
      words[0] = 0xffffffffu;
      break;
    case 3:
      words[5] = htonl (7); /* version */
      break;
    default:
      break;
    }
  memcpy (out, words, sizeof words);
  return n;
}

static void
send_records (struct cluster_proc *node, unsigned *state)
{
  char data[MESSAGE_MAX_BYTES];

  for (size_t i = 0; i < ROUNDS; i++)
    {
      const int fd = connect_socket (node->bus_addr, SOCK_STREAM);

      for (size_t j = 0; j < 4; j++)
        send_all (
            fd, (struct str){ data, make_record (data, sizeof data, state) });
      if (i % 2 == 0)
        close_with_reset (fd);
      else
        close (fd);
    }
}

static void
send_datagrams (struct cluster_proc *node, unsigned *state)
{
  const int fd = connect_socket (node->bus_addr, SOCK_DGRAM);
  char data[MESSAGE_MAX_BYTES];

  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      const size_t n = (size_t)rand_r (state) % sizeof data;
      const uint32_t words[]
          = { htonl (i % 3), htonl (i % 7), 0, htonl (i), htonl (i % 20) };

      fill_random (data, n, state);
      if (i % 2 == 0 && n >= sizeof words)
        memcpy (data, words, sizeof words);
      send (fd, data, n, MSG_NOSIGNAL);
    }
  close (fd);
}

/* Guards against a node that crashes when its bus port receives data that is
   not a record of this protocol, or records with wrong lengths, versions or
   procedures. */
static void
test_bus (void)
{
  unsigned state = SEED;

  if (fleet_start (&fleet, NULL))
    {
      for (size_t i = 0; i < FLEET_NODES; i++)
        {
          send_records (fleet.nodes[i], &state);
          send_datagrams (fleet.nodes[i], &state);
        }
      check_nodes_serve ("after bad records");
    }
  fleet_stop (&fleet);
}

/* ---- callers that disconnect ---- */

static size_t
cancel_after_parts (char *data, size_t size, size_t n, void *ctx)
{
  size_t *remaining = ctx;

  (void)data;
  if (*remaining == 0)
    return 0; /* cancels the stream */
  (*remaining)--;
  return size * n;
}

/* Requests a stream over HTTP/2 without TLS. Cancels it when more than
   @max_parts parts of the body arrive, or when @timeout_ms have passed. */
static CURLcode
http2_chat (const struct cluster_proc *node, const char *body,
            size_t max_parts, long timeout_ms)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers
      = curl_slist_append (NULL, "Authorization: Bearer key-opera");
  char url[128];

  snprintf (url, sizeof url, "%s/v1/chat/completions", node->url);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION,
                    (long)CURL_HTTP_VERSION_2_PRIOR_KNOWLEDGE);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, cancel_after_parts);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &max_parts);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout_ms);
  const CURLcode rc = curl_easy_perform (curl);
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  return rc;
}

/* Guards against use of an HTTP/2 stream after its caller has reset it. */
static void
test_http2 (void)
{
  if (fleet_start (&fleet, NULL))
    {
      for (size_t i = 0; i < FLEET_NODES; i++)
        {
          const struct cluster_proc *node = fleet.nodes[i];

          http2_chat (node, CHAT_BODY ("lm-2"), 0, 20);
          CU_ASSERT_EQUAL (
              http2_chat (node, CHAT_BODY ("lm-1"), 1000, FLEET_CALL_MS),
              CURLE_OK);
          for (size_t parts = 0; parts < 4; parts++)
            CU_ASSERT_EQUAL (
                http2_chat (node, CHAT_BODY ("lm-1"), parts, FLEET_CALL_MS),
                CURLE_WRITE_ERROR);
        }
      check_nodes_serve ("after HTTP/2");
    }
  fleet_stop (&fleet);
}

/* Guards against requests that stay open, or are used after they ended, when
   callers disconnect while a model loads or while they receive a stream. */
static void
test_callers_disconnect (void)
{
  const struct str cold = STR (POST_CHAT CHAT_LENGTH CHAT_BODY ("lm-3"));
  const struct str warm = STR (POST_CHAT CHAT_LENGTH CHAT_BODY ("lm-1"));
  char byte;

  if (fleet_start (&fleet, NULL))
    for (size_t i = 0; i < FLEET_NODES * 4; i++)
      {
        const char *addr = http_addr (fleet.nodes[i % FLEET_NODES]);
        int fd = connect_socket (addr, SOCK_STREAM);

        send_all (fd, cold);
        if (i % 2 == 0)
          close_with_reset (fd);
        else
          close (fd);
        fd = connect_socket (addr, SOCK_STREAM);
        send_all (fd, warm);
        send_all (fd, warm);
        CU_ASSERT_EQUAL (recv (fd, &byte, 1, MSG_PEEK), 1);
        if (i % 4 < 2)
          close_with_reset (fd);
        else
          close (fd);
      }
  if (fleet.nodes[FLEET_NODES - 1])
    check_nodes_serve ("after leaving callers");
  fleet_stop (&fleet);
}

static const struct suite_case cases[] = {
  { "bad HTTP", test_http },
  { "bad records and datagrams", test_bus },
  { "HTTP/2 streams cancelled", test_http2 },
  { "callers disconnect", test_callers_disconnect },
};
TEST_SUITE ("input", cases)
