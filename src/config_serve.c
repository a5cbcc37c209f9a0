#include "config_impl.h"

#define REPLY_BYTES_MAX 524288

const struct configdoc_chunk *
config_chunk_with_body (const struct config_root *root, struct str hash)
{
  const struct configdoc_chunk *p = config_root_find_chunk (root, hash);

  return p && p->body.len > 0 ? p : NULL;
}

static u_int
collect_chunks (const struct config *c, const struct config_fetch_args *a,
                config_chunk out[CONFIG_CHUNKS_PER_CALL])
{
  size_t bytes = 0;
  u_int n = 0;

  for (u_int i = 0; i < a->wanted.wanted_len; i++)
    {
      const struct configdoc_chunk *p = config_chunk_with_body (
          &c->root, STR_TEXT (a->wanted.wanted_val[i]));

      if (!p || (n > 0 && bytes + p->body.len > REPLY_BYTES_MAX))
        continue;
      bytes += p->body.len;
      out[n++] = (config_chunk){ .hash = TEXT_STR (p->hash),
                                 .body = BLOB_STR (p->body) };
    }
  return n;
}

static void
on_fetch (void *ctx, struct bus_request *req, const void *args)
{
  struct config *c = ctx;
  const struct config_fetch_args *a = args;
  config_chunk chunks[CONFIG_CHUNKS_PER_CALL];
  struct config_fetch_res res
      = { .revision = c->revision, .chunks.chunks_val = chunks };

  if (a->wanted.wanted_len > 0)
    res.chunks.chunks_len = collect_chunks (c, a, chunks);
  else if (c->revision > a->have_revision)
    res.root = BLOB_STR (c->root_text);
  bus_reply (req, &res);
}

void
config_serve_init (struct config *c)
{
  bus_handle (c->bus, PEER_CONFIG_FETCH, on_fetch, c);
}
