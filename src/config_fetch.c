#include "config_impl.h"

#include <errno.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "config"
#define BACKOFF_STEP_MS 200
#define BACKOFF_MAX_MS 2000
#define STORE_READS_IN_FLIGHT 8
/* Attempts to fetch from the parent before other sources are tried. The parent
   may itself be waiting for its parent. */
#define PARENT_ATTEMPTS 4

void
config_fetch_reset (struct config *c)
{
  struct fetch *f = &c->fetch;

  config_root_free (&f->root);
  str_free (&f->root_text);
  str_free (&f->peer);
  *f = (struct fetch){ 0 };
}

static void
fail_fetch (struct config *c, int err, const char *step)
{
  struct fetch *f = &c->fetch;
  const unsigned steps = c->fetch_attempts < PARENT_ATTEMPTS
                             ? 1
                             : c->fetch_attempts - PARENT_ATTEMPTS + 1;
  const uint64_t wait_ms = steps * BACKOFF_STEP_MS;

  LOG_DBG ("fetch-failed", "step=%s peer=" STR_FMT " error=\"%s\" attempt=%u",
           step, STR_ARG (f->from_store ? STR ("store") : f->peer),
           err_str (err), c->fetch_attempts);
  metrics_add ("galenagate_config_fetch_failures_total", STR (""), 1);
  if (f->root.chunk_count > 0)
    {
      config_root_free (&c->partial_root);
      c->partial_root = f->root;
      f->root = (struct config_root){ 0 };
    }
  config_fetch_reset (c);
  c->fetch_attempts++;
  c->next_fetch_ms
      = clock_ms () + (wait_ms < BACKOFF_MAX_MS ? wait_ms : BACKOFF_MAX_MS);
}

/* Ends the fetch and adopts the revision, whose chunks are complete. */
static void
finish_fetch (struct config *c)
{
  const struct config_root root = c->fetch.root;
  const struct str root_text = c->fetch.root_text;

  c->fetch.root = (struct config_root){ 0 };
  c->fetch.root_text = (struct str){ 0 };
  config_fetch_reset (c);
  config_adopt (c, root, root_text);
}

/* Copies the bodies that the revision in force or an earlier failed fetch
   already provides. */
static void
reuse_known_chunks (struct config *c)
{
  struct config_root *root = &c->fetch.root;

  for (size_t i = 0; i < root->chunk_count; i++)
    {
      const struct configdoc_chunk *known
          = config_chunk_with_body (&c->root, root->chunks[i].hash);

      if (!known)
        known
            = config_chunk_with_body (&c->partial_root, root->chunks[i].hash);
      if (known)
        root->chunks[i].body = str_dup (known->body);
    }
}

/* Stores a body in the root that is being fetched. Returns false if the body
   does not match the hash or no chunk with this hash lacks its body. */
static bool
accept_chunk (struct config *c, struct str hash, struct str body)
{
  struct config_root *root = &c->fetch.root;
  struct str actual = config_hash (body);
  bool accepted = false;

  if (str_eq (actual, hash))
    for (size_t i = 0; i < root->chunk_count; i++)
      if (root->chunks[i].body.len == 0 && str_eq (root->chunks[i].hash, hash))
        {
          root->chunks[i].body = str_dup (body);
          accepted = true;
        }
  if (!accepted)
    {
      metrics_add ("galenagate_config_bad_chunks_total", STR (""), 1);
      LOG_WARN ("bad-chunk", "hash=" STR_FMT " actual=" STR_FMT,
                STR_ARG (hash), STR_ARG (actual));
    }
  str_free (&actual);
  return accepted;
}

/* Starts the fetch with a root. Returns 0, -EBADMSG if the root is malformed,
   or -ESTALE if it is not newer than the revisions in force and rejected. */
static int
accept_root (struct config *c, struct str text)
{
  struct fetch *f = &c->fetch;

  if (config_root_decode (text, &f->root) != 0)
    return -EBADMSG;
  if (f->root.revision <= c->revision
      || f->root.revision <= c->rejected_revision)
    return -ESTALE;
  f->root_text = str_dup (text);
  reuse_known_chunks (c);
  return 0;
}

static void on_peer_chunks (void *ctx, int err, struct str hint,
                            const void *result);

/* Requests missing chunks from the peer, or finishes the fetch if there are
   none. */
static void
request_peer_chunks (struct config *c)
{
  struct fetch *f = &c->fetch;
  text wanted[CONFIG_CHUNKS_PER_CALL];
  struct config_fetch_args args
      = { .have_revision = c->revision, .wanted.wanted_val = wanted };

  for (size_t i = 0; i < f->root.chunk_count
                     && args.wanted.wanted_len < CONFIG_CHUNKS_PER_CALL;
       i++)
    if (f->root.chunks[i].body.len == 0)
      wanted[args.wanted.wanted_len++] = TEXT_STR (f->root.chunks[i].hash);
  if (args.wanted.wanted_len == 0)
    finish_fetch (c);
  else
    bus_call (c->bus, f->peer, PEER_CONFIG_FETCH, &args,
              CONFIG_FETCH_TIMEOUT_MS, on_peer_chunks, c);
}

static void
on_peer_chunks (void *ctx, int err, struct str hint, const void *result)
{
  struct config *c = ctx;
  const struct config_fetch_res *r = result;
  size_t accepted = 0;

  (void)hint;
  if (c->stopped)
    return;
  for (u_int i = 0; r && i < r->chunks.chunks_len; i++)
    accepted += accept_chunk (c, STR_TEXT (r->chunks.chunks_val[i].hash),
                              STR_BLOB (r->chunks.chunks_val[i].body));
  if (accepted == 0)
    fail_fetch (c, err != 0 ? err : -ENOENT, "chunks");
  else
    request_peer_chunks (c);
}

static void read_store_chunks (struct config *c);

static void
on_store_chunk (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct config *c = ctx;
  struct fetch *f = &c->fetch;

  (void)version;
  if (c->stopped)
    return;
  f->pending_reads--;
  struct str hash = err.code == 0 ? config_hash (value) : (struct str){ 0 };
  if (err.code != 0 || !accept_chunk (c, hash, value))
    f->failed = true;
  str_free (&hash);
  if (f->failed && f->pending_reads == 0)
    fail_fetch (c, err.code, "chunks");
  else if (!f->failed)
    read_store_chunks (c);
}

static void
read_store_chunks (struct config *c)
{
  struct fetch *f = &c->fetch;

  while (f->pending_reads < STORE_READS_IN_FLIGHT
         && f->next_chunk < f->root.chunk_count)
    {
      const struct configdoc_chunk *p = &f->root.chunks[f->next_chunk++];

      if (p->body.len > 0)
        continue;
      struct str key = config_chunk_key (p->hash);
      f->pending_reads++;
      store_read (c->store, key, on_store_chunk, c);
      str_free (&key);
    }
  if (f->pending_reads == 0)
    finish_fetch (c);
}

static void
accept_store_root (struct config *c, struct str text)
{
  const int rc = accept_root (c, text);

  if (rc != 0)
    fail_fetch (c, rc, "root");
  else
    read_store_chunks (c);
}

void
config_fetch_store_root (struct config *c, struct str root)
{
  struct fetch *f = &c->fetch;

  if (f->active || c->adopting)
    return;
  f->active = true;
  f->from_store = true;
  accept_store_root (c, root);
}

static void
on_peer_root (void *ctx, int err, struct str hint, const void *result)
{
  struct config *c = ctx;
  const struct config_fetch_res *r = result;

  (void)hint;
  if (c->stopped)
    return;
  if (r)
    c->peer_replied = true;
  if (r && r->revision >= c->revision)
    c->confirmed_ms = clock_ms ();
  /* Skips the remaining attempts at a parent that cannot be reached. */
  if (err != 0 && c->fetch_attempts < PARENT_ATTEMPTS)
    c->fetch_attempts = PARENT_ATTEMPTS - 1;
  if (err == 0)
    err = r && r->root.blob_len > 0 ? accept_root (c, STR_BLOB (r->root))
                                    : -EAGAIN;
  if (err != 0)
    fail_fetch (c, err, "root");
  else
    request_peer_chunks (c);
}

static void
on_store_root (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct config *c = ctx;

  (void)version;
  if (c->stopped)
    return;
  if (err.code != 0)
    fail_fetch (c, err.code, "root");
  else
    accept_store_root (c, value);
}

/* Returns the address of the node to fetch from in this attempt, or an empty
   string for the store. The first attempts go to the parent in the domain's
   tree, which may not have the revision yet; relays and nodes without any
   revision skip these. Later attempts rotate between the node that reported
   the revision, a random node that has it and the store. */
static struct str
choose_source (struct config *c)
{
  const struct member_info *m;
  struct str parent;
  const size_t rank = config_domain_rank (c, &parent);

  if (c->revision > 0 && rank >= CONFIG_RELAYS_PER_DOMAIN
      && c->fetch_attempts < PARENT_ATTEMPTS)
    return parent;
  if (c->fetch_attempts % 3 == 2)
    return STR ("");
  m = config_random_peer (c, c->latest_revision);
  if (c->latest_peer.len > 0 && (!m || c->fetch_attempts % 3 == 0))
    return c->latest_peer;
  return m ? m->addr : STR ("");
}

void
config_fetch_if_due (struct config *c)
{
  struct fetch *f = &c->fetch;
  const struct config_fetch_args args = { .have_revision = c->revision };

  if (c->stopped || f->active || c->adopting
      || c->latest_revision <= c->revision
      || c->latest_revision <= c->rejected_revision
      || clock_ms () < c->next_fetch_ms)
    return;
  f->active = true;
  f->peer = str_dup (choose_source (c));
  f->from_store = f->peer.len == 0;
  if (f->from_store)
    store_read (c->store, STR (CONFIG_ROOT_KEY), on_store_root, c);
  else
    bus_call (c->bus, f->peer, PEER_CONFIG_FETCH, &args,
              CONFIG_FETCH_TIMEOUT_MS, on_peer_root, c);
}

void
config_update_latest (struct config *c, uint64_t revision, struct str from)
{
  if (revision > c->latest_revision)
    {
      c->latest_revision = revision;
      c->latest_gossiped = false;
      c->fetch_attempts = 0;
      c->next_fetch_ms = 0;
      str_free (&c->latest_peer);
      if (!str_eq (from, config_own_addr (c)))
        c->latest_peer = str_dup (from);
    }
}
