#include "client.h"

#include <errno.h>
#include <stdlib.h>

#include <uv.h>

#include "http.h"

#define READ_ATTEMPTS_MAX 6
#define RETRY_DELAY_MS 400

struct client
{
  uv_loop_t loop;
  struct http *http;
  struct store *store;
};

struct pending_reply
{
  bool done;
  struct client_reply reply;
};

struct client *
client_create (struct str store_url)
{
  struct client *c = xcalloc (1, sizeof *c);

  if (uv_loop_init (&c->loop) != 0)
    abort ();
  c->http = http_create (&c->loop);
  c->store = store_create (c->http, store_url);
  return c;
}

void
client_destroy (struct client *c)
{
  http_close (c->http);
  uv_run (&c->loop, UV_RUN_DEFAULT);
  http_destroy (c->http);
  store_destroy (c->store);
  uv_loop_close (&c->loop);
  free (c);
}

static struct client_reply
wait_for_reply (struct client *c, struct pending_reply *w)
{
  while (!w->done)
    uv_run (&c->loop, UV_RUN_ONCE);
  return w->reply;
}

static void
on_store_reply (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct pending_reply *w = ctx;

  w->done = true;
  w->reply = (struct client_reply){ .err = err,
                                    .version = version,
                                    .value = str_dup (value) };
}

bool
client_error_is_outage (struct err err)
{
  return err.code == -ETIMEDOUT || err.code == -ECONNREFUSED
         || err.code == -EIO || err.code == -EPIPE;
}

void
client_sleep (uint32_t ms)
{
  uv_sleep (ms);
}

struct client_reply
client_read (struct client *c, struct str key)
{
  for (int i = 1;; i++)
    {
      struct pending_reply w = { 0 };

      store_read (c->store, key, on_store_reply, &w);
      struct client_reply r = wait_for_reply (c, &w);
      if (!client_error_is_outage (r.err) || i == READ_ATTEMPTS_MAX)
        return r;
      client_reply_free (&r);
      client_sleep (RETRY_DELAY_MS);
    }
}

struct client_reply
client_write (struct client *c, struct str key, uint64_t version,
              struct str value)
{
  struct pending_reply w = { 0 };

  store_write (c->store, key, version, value, on_store_reply, &w);
  return wait_for_reply (c, &w);
}

static void
on_http_reply (void *ctx, struct http_call *call, struct err err, int status,
               bool sent, struct str body)
{
  struct pending_reply *w = ctx;

  (void)call;
  (void)sent;
  w->done = true;
  w->reply = (struct client_reply){ .err = err,
                                    .status = status,
                                    .value = str_dup (body) };
}

struct client_reply
client_get (struct client *c, struct str addr, struct str path,
            uint32_t timeout_ms)
{
  static const struct http_events events = { .done = on_http_reply };
  struct str url
      = str_printf ("http://" STR_FMT STR_FMT, STR_ARG (addr), STR_ARG (path));
  const struct http_request req
      = { .method = STR ("GET"), .url = url, .total_ms = timeout_ms };
  struct pending_reply w = { 0 };

  http_send (c->http, &req, &events, &w);
  str_free (&url);
  return wait_for_reply (c, &w);
}

void
client_reply_free (struct client_reply *r)
{
  str_free (&r->value);
}
