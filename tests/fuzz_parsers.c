#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "edge/digest.h"
#include "framing.h"
#include "platform/callheaders.h"
#include "platform/routingcodec.h"
#include "platform/servercodec.h"
#include "sse.h"

/* libFuzzer target for the project's own parsers of data from servers,
   clients, other nodes and the store. The first byte of an input selects the
   parser. `make fuzz` runs it; the seed corpus is in tests/corpus. */

#define CHUNK_BYTES 7

/* ---- server-sent events ---- */

static bool
append_raw_event (void *ctx, const struct sse_event *event)
{
  buf_append (ctx, event->raw);
  return true;
}

static struct buf
feed_in_chunks (struct str in, size_t chunk_bytes)
{
  struct sse sse = { 0 };
  struct buf out = { 0 };

  for (size_t i = 0; i < in.len; i += chunk_bytes)
    {
      const size_t left = in.len - i;

      sse_feed (
          &sse,
          (struct str){ in.data + i, left < chunk_bytes ? left : chunk_bytes },
          append_raw_event, &out);
    }
  buf_append (&out, buf_str (&sse.pending));
  buf_free (&sse.pending);
  return out;
}

/* Aborts if the parser loses, duplicates or reorders a byte for any of several
   chunk sizes. */
static void
fuzz_events (struct str in)
{
  static const size_t chunk_sizes[] = { 1, CHUNK_BYTES, SIZE_MAX };

  for (size_t i = 0; i < sizeof chunk_sizes / sizeof *chunk_sizes; i++)
    {
      struct buf out = feed_in_chunks (
          in, chunk_sizes[i] < in.len ? chunk_sizes[i] : in.len + 1);

      if (!str_eq (buf_str (&out), in))
        abort ();
      buf_free (&out);
    }
}

/* ---- JSON from the store and the servers ---- */

static void
fuzz_routing (struct str in)
{
  json_t *json = json_loadb (in.data, in.len, 0, NULL);
  struct routing *r = routing_decode (json);

  if (r)
    {
      routing_find (r, STR ("h.example"), STR ("/a/b"));
      routing_destroy (r);
    }
  json_decref (json);
}

static void
fuzz_entry (struct str in)
{
  json_t *json = json_loadb (in.data, in.len, 0, NULL);
  struct server_entry e;

  if (server_entry_decode (STR ("s1"), json, &e) == 0)
    server_entry_free (&e);
  json_decref (json);
}

static void
fuzz_report (struct str in)
{
  struct server_report r;

  if (server_report_decode (in, &r) == 0)
    server_report_free (&r);
}

/* ---- call headers ---- */

#define FIELDS_MAX 32

/* Splits lines of the form "name:value"; returns the number of fields. */
static size_t
split_fields (struct str in, struct http_field out[FIELDS_MAX])
{
  size_t n = 0;
  size_t pos = 0;

  while (pos < in.len && n < FIELDS_MAX)
    {
      const char *line = in.data + pos;
      const size_t remaining = in.len - pos;
      const char *end = memchr (line, '\n', remaining);
      const size_t len = end ? (size_t)(end - line) : remaining;
      const char *colon = memchr (line, ':', len);
      const size_t name_len = colon ? (size_t)(colon - line) : len;

      out[n].name = (struct str){ line, name_len };
      out[n++].value = colon ? (struct str){ colon + 1, len - name_len - 1 }
                             : (struct str){ 0 };
      pos += len + 1;
    }
  return n;
}

static void
fuzz_headers (struct str in)
{
  struct http_field fields[FIELDS_MAX];
  struct str lines[CALL_HEADERS_MAX];
  const size_t n = split_fields (in, fields);
  const struct call_extra_headers extra_headers = { .server_id = STR ("s1") };
  struct call_meta meta;
  size_t count;

  call_meta_read (fields, n, &meta);
  count = call_headers (fields, n, &extra_headers, lines);
  for (size_t i = 0; i < count; i++)
    str_free (&lines[i]);
}

/* ---- datagrams between nodes ---- */

static void
fuzz_datagram (struct str in)
{
  struct datagram d = { 0 };
  XDR x;

  xdrmem_create (&x, (char *)in.data, (u_int)in.len, XDR_DECODE);
  xdr_datagram (&x, &d);
  xdr_free ((xdrproc_t)xdr_datagram, (char *)&d);
}

/* ---- requests of clients ---- */

/* Aborts if what is found depends on the pieces that the bytes come in. */
static void
fuzz_framing (struct str in)
{
  struct framing whole = { 0 };
  struct framing bytes = { 0 };
  struct framing part = { 0 };
  const size_t sound = framing_feed (&whole, in);

  for (size_t i = 0; i < in.len; i++)
    framing_feed (&bytes, (struct str){ in.data + i, 1 });
  framing_feed (&part, (struct str){ in.data, sound });
  if (whole.complete != bytes.complete || !whole.error != !bytes.error
      || part.complete != whole.complete || part.error
      || (sound < in.len) != (whole.error != NULL))
    abort ();
  framing_free (&part);
  framing_free (&whole);
  framing_free (&bytes);
}

static void (*const parsers[]) (struct str in)
    = { fuzz_events,  fuzz_routing,  fuzz_entry,  fuzz_report,
        fuzz_headers, fuzz_datagram, fuzz_framing };
#define PARSERS (sizeof parsers / sizeof *parsers)

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  parsers[data[0] % PARSERS]((struct str){ (const char *)data + 1, size - 1 });
  return 0;
}
