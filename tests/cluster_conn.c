#include "cluster_conn.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/CUnit.h>

#include "netaddr.h"

#define STATUS_CONTINUE 100

struct connection
connection_open (const struct cluster_proc *node, int receive_bytes)
{
  struct connection c = { .fd = socket (AF_INET, SOCK_STREAM, 0) };
  struct sockaddr_in sin;

  if (receive_bytes > 0)
    setsockopt (c.fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                sizeof receive_bytes);
  CU_ASSERT_TRUE_FATAL (
      netaddr_parse (str_from (node->url + strlen ("http://")), &sin));
  CU_ASSERT_EQUAL_FATAL (connect (c.fd, (struct sockaddr *)&sin, sizeof sin),
                         0);
  return c;
}

void
connection_close (struct connection *c)
{
  close (c->fd);
  buf_free (&c->received);
}

bool
connection_send (const struct connection *c, const char *text)
{
  const size_t len = strlen (text);

  return send (c->fd, text, len, MSG_NOSIGNAL) == (ssize_t)len;
}

bool
connection_receive (struct connection *c)
{
  struct pollfd p = { .fd = c->fd, .events = POLLIN };
  char bytes[16384];

  if (poll (&p, 1, CONN_WAIT_MS) <= 0)
    return false;
  const ssize_t n = recv (c->fd, bytes, sizeof bytes, 0);
  if (n > 0)
    buf_append (&c->received, (struct str){ bytes, (size_t)n });
  return n > 0;
}

/* ---- answers ---- */

/* Returns the value of a field of a head, or NULL. */
static const char *
field (const char *head, const char *name)
{
  const size_t len = strlen (name);

  for (const char *line = strstr (head, "\r\n"); line;
       line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, len) == 0)
      return line + 2 + len;
  return NULL;
}

/* Returns the length of a whole body in chunks, or 0. */
static size_t
chunked_length (struct str body)
{
  size_t at = 0;

  for (;;)
    {
      const char *end = at < body.len
                            ? memmem (body.data + at, body.len - at, "\r\n", 2)
                            : NULL;

      if (!end)
        return 0;
      const size_t size = strtoul (body.data + at, NULL, 16);
      at = (size_t)(end - body.data) + 2 + size + 2;
      if (at > body.len)
        return 0;
      if (size == 0)
        return at;
    }
}

/* Reads the head of the answer that the received bytes begin with. Returns the
   length of the whole answer, or 0 if bytes are missing. */
static size_t
parse_answer (struct str bytes, struct answer *out)
{
  const char *end
      = bytes.len > 0 ? memmem (bytes.data, bytes.len, "\r\n\r\n", 4) : NULL;

  if (!end)
    return 0;
  const size_t head_len = (size_t)(end - bytes.data) + 4;
  const struct str body = { bytes.data + head_len, bytes.len - head_len };
  char *head = strndup (bytes.data, head_len);
  const char *length = field (head, "Content-Length: ");
  const char *connection = field (head, "Connection: ");
  size_t n = 0;

  out->status = (int)strtol (head + strlen ("HTTP/1.1 "), NULL, 10);
  out->retry_after = field (head, "Retry-After: ") != NULL;
  out->closes = connection && strncmp (connection, "close", 5) == 0;
  if (out->status == STATUS_CONTINUE)
    n = head_len;
  else if (length && strtoul (length, NULL, 10) <= body.len)
    {
      const size_t body_len = strtoul (length, NULL, 10);

      snprintf (out->body, sizeof out->body, "%.*s", (int)body_len, body.data);
      n = head_len + body_len;
    }
  else if (!length && chunked_length (body) > 0)
    n = head_len + chunked_length (body);
  free (head);
  return n;
}

static struct answer
read_answer (struct connection *c)
{
  struct answer a = { 0 };
  size_t n;

  while ((n = parse_answer (buf_str (&c->received), &a)) == 0)
    if (!connection_receive (c))
      return a;
  a.whole = true;
  c->received.len -= n;
  if (c->received.data)
    memmove (c->received.data, c->received.data + n, c->received.len);
  return a;
}

struct answer
connection_read_answer (struct connection *c)
{
  struct answer a = read_answer (c);

  while (a.status == STATUS_CONTINUE)
    a = read_answer (c);
  return a;
}
