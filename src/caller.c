#include "caller.h"

#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "err.h"

/* A caller that lets this much pile up is not reading. */
#define UNSENT_LIMIT_BYTES (4 * 1024 * 1024)

struct caller
{
  h2o_generator_t generator; /* first: h2o hands this pointer back */
  h2o_req_t *req;            /* NULL once h2o has freed it */
  void (*gone) (void *ctx);
  void *ctx;
  struct buf pending; /* not yet given to h2o */
  struct buf sending; /* h2o reads this until it calls proceed */
  bool busy;
  bool ended;
  bool whole;
  bool stopped;
  bool released;
};

static size_t open_count;

static void
free_if_unused (struct caller *c)
{
  if (c->req || !c->released)
    return;
  buf_free (&c->pending);
  buf_free (&c->sending);
  free (c);
}

static void
report_gone (struct caller *c)
{
  void (*gone) (void *) = c->gone;

  c->gone = NULL;
  c->stopped = true;
  if (gone && !c->ended && !c->released)
    gone (c->ctx);
}

static void
on_dispose (void *slot)
{
  struct caller *c = *(struct caller **)slot;

  open_count--;
  /* The owner may release the caller in its callback, so it must not count as
     unused before. */
  report_gone (c);
  c->req = NULL;
  free_if_unused (c);
}

static void
on_stop (h2o_generator_t *generator, h2o_req_t *req)
{
  (void)req;
  report_gone ((struct caller *)generator);
}

/* h2o marks a cut of a chunked answer by bytes that are no chunk. Callers are
   to see an early end of the connection instead, so nothing more is let out:
   h2o's write then fails and it closes the connection. */
static void
stop_output (struct caller *c)
{
  if (c->req->version >= 0x200)
    return;
  h2o_socket_t *sock = c->req->conn->callbacks->get_socket (c->req->conn);
  shutdown (h2o_socket_get_fd (sock), SHUT_WR);
}

/* Hands pending bytes, or the end, to h2o. */
static void
push (struct caller *c)
{
  h2o_iovec_t vec;

  if (c->stopped || !c->req)
    return;
  if (c->pending.len == 0)
    {
      c->busy = c->ended;
      if (c->ended && !c->whole)
        stop_output (c);
      if (c->ended)
        h2o_send (c->req, NULL, 0,
                  c->whole ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_ERROR);
      return;
    }
  const struct buf swap = c->sending;
  c->sending = c->pending;
  c->pending = swap;
  buf_reset (&c->pending);
  vec = h2o_iovec_init (c->sending.data, c->sending.len);
  c->busy = true;
  h2o_send (c->req, &vec, 1, H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  (void)req;
  push ((struct caller *)generator);
}

struct caller *
caller_create (h2o_req_t *req, void (*gone) (void *ctx), void *ctx)
{
  struct caller *c = xcalloc (1, sizeof *c);
  struct caller **slot
      = h2o_mem_alloc_shared (&req->pool, sizeof *slot, on_dispose);

  *slot = c;
  c->generator.proceed = on_proceed;
  c->generator.stop = on_stop;
  c->req = req;
  c->gone = gone;
  c->ctx = ctx;
  open_count++;
  return c;
}

void
caller_release (struct caller *c)
{
  c->released = true;
  free_if_unused (c);
}

/* Sees the end of a connection also behind bytes that were not read yet. */
static bool
peer_closed (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLRDHUP };

  return poll (&p, 1, 0) > 0
         && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool
caller_left (const struct caller *c)
{
  if (c->stopped || !c->req)
    return true;
  h2o_socket_t *sock = c->req->conn->callbacks->get_socket (c->req->conn);
  return peer_closed (h2o_socket_get_fd (sock));
}

void
caller_header (struct caller *c, const char *name, struct str value)
{
  if (c->stopped || !c->req)
    return;
  const h2o_iovec_t n = h2o_strdup (&c->req->pool, name, SIZE_MAX);
  const h2o_iovec_t v = h2o_strdup (&c->req->pool, value.data, value.len);
  h2o_add_header_by_str (&c->req->pool, &c->req->res.headers, n.base, n.len, 1,
                         NULL, v.base, v.len);
}

static void
set_head (struct caller *c, int status, struct str content_type)
{
  c->req->res.status = status;
  c->req->res.reason = status < 400 ? "OK" : "Error";
  if (content_type.len > 0)
    caller_header (c, "content-type", content_type);
}

void
caller_length (struct caller *c, size_t bytes)
{
  if (!c->stopped && c->req)
    c->req->res.content_length = bytes;
}

void
caller_send (struct caller *c, int status, struct str content_type,
             struct str body)
{
  c->ended = true;
  if (c->stopped || !c->req)
    return;
  set_head (c, status, content_type);
  c->req->res.content_length = body.len;
  h2o_send_inline (c->req, body.data, body.len);
}

void
caller_begin (struct caller *c, int status, struct str content_type)
{
  if (c->stopped || !c->req)
    return;
  set_head (c, status, content_type);
  h2o_start_response (c->req, &c->generator);
}

bool
caller_write (struct caller *c, struct str part)
{
  buf_append (&c->pending, part);
  if (!c->busy)
    push (c);
  return c->pending.len <= UNSENT_LIMIT_BYTES;
}

void
caller_end (struct caller *c, bool whole)
{
  c->ended = true;
  c->whole = whole;
  if (!c->busy)
    push (c);
}

size_t
caller_count (void)
{
  return open_count;
}
