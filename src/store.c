#include "store.h"

#include <errno.h>
#include <stdlib.h>

#include "metrics.h"
#include "settings.h"

#define CALL_TIMEOUT_MS 2000
/* Time allowed for the reply after a watch's own timeout. */
#define WATCH_GRACE_MS 1000

struct store
{
  struct plugin plugin;
  struct http *http;
  struct str url;
};

struct store_request
{
  bool is_write;
  store_fn fn;
  void *ctx;
};

static uint64_t
object_version (const struct http_call *call)
{
  uint64_t version = 0;

  str_u64 (http_header (call, "X-Version"), &version);
  return version;
}

/* Returns the error code for the result of an HTTP call: -EINPROGRESS for a
   write that may have reached the store but has no definite reply. */
static int
result_code (const struct store_request *r, int code, int status, bool sent)
{
  if (code != 0)
    return r->is_write && sent ? -EINPROGRESS : code;
  switch (status)
    {
    case 200:
      return 0;
    case 204:
      return -EAGAIN;
    case 404:
      return -ENOENT;
    case 409:
      return -EEXIST;
    case 413:
      return -EFBIG;
    default:
      return r->is_write && status >= 500 ? -EINPROGRESS : -EIO;
    }
}

static void
on_done (void *ctx, struct http_call *call, struct err err, int status,
         bool sent, struct str body)
{
  struct store_request *r = ctx;

  err.code = result_code (r, err.code, status, sent);
  if (err.code == -EIO || err.code == -EINPROGRESS || err.code == -ETIMEDOUT
      || err.code == -ECONNREFUSED)
    metrics_add ("galenagate_store_errors_total", (struct str){ 0 }, 1);
  r->fn (r->ctx, err, object_version (call), body);
  free (r);
}

static const struct http_events events = { .done = on_done, .closed = free };

struct call_spec
{
  const char *method;
  bool is_write;
  uint64_t version;
  struct str value;
  uint32_t timeout_ms;
};

/* Takes ownership of @url. */
static void
send_call (struct store *s, struct str url, const struct call_spec *spec,
           store_fn fn, void *ctx)
{
  struct store_request *r = xcalloc (1, sizeof *r);
  struct str header = str_printf ("If-Match: %lu", spec->version);

  *r = (struct store_request){ .is_write = spec->is_write,
                               .fn = fn,
                               .ctx = ctx };
  metrics_add (spec->is_write ? "galenagate_store_writes_total"
                              : "galenagate_store_reads_total",
               (struct str){ 0 }, 1);
  const struct http_request req = {
    .method = str_from (spec->method),
    .url = url,
    .headers = &header,
    .header_count = spec->is_write ? 1 : 0,
    .body = spec->value,
    .total_ms = spec->timeout_ms,
    .repeat_if_closed = !spec->is_write,
    /* A reused connection may close while the write is sent, and its outcome
       is then unknown. */
    .new_connection = spec->is_write,
  };
  http_send (s->http, &req, &events, r);
  str_free (&header);
  str_free (&url);
}

static struct str
object_url (const struct store *s, struct str key)
{
  return str_printf (STR_FMT "/objects/" STR_FMT, STR_ARG (s->url),
                     STR_ARG (key));
}

void
store_read (struct store *s, struct str key, store_fn fn, void *ctx)
{
  const struct call_spec spec
      = { .method = "GET", .timeout_ms = CALL_TIMEOUT_MS };

  send_call (s, object_url (s, key), &spec, fn, ctx);
}

void
store_write (struct store *s, struct str key, uint64_t version,
             struct str value, store_fn fn, void *ctx)
{
  const struct call_spec spec = { .method = "PUT",
                                  .is_write = true,
                                  .version = version,
                                  .value = value,
                                  .timeout_ms = CALL_TIMEOUT_MS };

  send_call (s, object_url (s, key), &spec, fn, ctx);
}

void
store_remove (struct store *s, struct str key, uint64_t version, store_fn fn,
              void *ctx)
{
  const struct call_spec spec = { .method = "DELETE",
                                  .is_write = true,
                                  .version = version,
                                  .timeout_ms = CALL_TIMEOUT_MS };

  send_call (s, object_url (s, key), &spec, fn, ctx);
}

void
store_list (struct store *s, struct str prefix, store_fn fn, void *ctx)
{
  const struct call_spec spec
      = { .method = "GET", .timeout_ms = CALL_TIMEOUT_MS };
  struct str url = str_printf (STR_FMT "/objects?prefix=" STR_FMT,
                               STR_ARG (s->url), STR_ARG (prefix));

  send_call (s, url, &spec, fn, ctx);
}

void
store_watch (struct store *s, struct str key, uint64_t version,
             uint32_t timeout_ms, store_fn fn, void *ctx)
{
  const struct call_spec spec
      = { .method = "GET", .timeout_ms = timeout_ms + WATCH_GRACE_MS };
  struct str url
      = str_printf (STR_FMT "/objects/" STR_FMT "?watch=%lu&timeout_ms=%u",
                    STR_ARG (s->url), STR_ARG (key), version, timeout_ms);

  send_call (s, url, &spec, fn, ctx);
}

void
store_watch_hosts (struct store *s, uint64_t version, uint32_t timeout_ms,
                   store_fn fn, void *ctx)
{
  const struct call_spec spec
      = { .method = "GET", .timeout_ms = timeout_ms + WATCH_GRACE_MS };
  struct str url = str_printf (STR_FMT "/hosts?watch=%lu&timeout_ms=%u",
                               STR_ARG (s->url), version, timeout_ms);

  send_call (s, url, &spec, fn, ctx);
}

struct store *
store_create (struct http *http, struct str url)
{
  struct store *s = xcalloc (1, sizeof *s);

  s->http = http;
  s->url = str_dup (url);
  return s;
}

void
store_destroy (struct store *s)
{
  str_free (&s->url);
  free (s);
}

struct store *
store_get (struct kernel *kernel)
{
  return (struct store *)kernel_find (kernel, "store");
}

static const struct plugin_ops ops;

static struct plugin *
create (struct kernel *kernel)
{
  struct store *s
      = store_create (http_get (kernel), kernel_settings (kernel)->store_url);

  s->plugin.ops = &ops;
  return &s->plugin;
}

static void
destroy (struct plugin *plugin)
{
  store_destroy ((struct store *)plugin);
}

static const struct plugin_ops ops = {
  .name = "store",
  .rank = RANK_STORE,
  .create = create,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)
