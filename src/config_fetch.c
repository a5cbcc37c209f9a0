#include "config_impl.h"

#include <errno.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "config"
#define RETRY_STEP_MS 200
#define RETRY_MAX_MS 2000
#define STORE_READS 8
/* Attempts at the parent, which may itself wait for its parent. */
#define TREE_ATTEMPTS 4

void
config_fetch_end (struct config *c)
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
  const unsigned steps
      = c->attempts < TREE_ATTEMPTS ? 1 : c->attempts - TREE_ATTEMPTS + 1;
  const uint64_t wait_ms = steps * RETRY_STEP_MS;

  LOG_DBG ("fetch-failed", "step=%s peer=" STR_FMT " error=\"%s\" attempt=%u",
           step, STR_ARG (f->from_store ? STR ("store") : f->peer),
           err_str (err), c->attempts);
  metrics_add ("galenagate_config_fetch_failures_total", STR (""), 1);
  if (f->root.count > 0)
    {
      config_root_free (&c->partial);
      c->partial = f->root;
      f->root = (struct config_root){ 0 };
    }
  config_fetch_end (c);
  c->attempts++;
  c->next_attempt_ms
      = clock_ms () + (wait_ms < RETRY_MAX_MS ? wait_ms : RETRY_MAX_MS);
}

/* Hands the complete revision over for adoption. */
static void
finish_fetch (struct config *c)
{
  const struct config_root root = c->fetch.root;
  const struct str root_text = c->fetch.root_text;

  c->fetch.root = (struct config_root){ 0 };
  c->fetch.root_text = (struct str){ 0 };
  config_fetch_end (c);
  config_adopt (c, root, root_text);
}

/* Takes the bodies that this node has already. */
static void
fill_known (struct config *c)
{
  struct config_root *root = &c->fetch.root;

  for (size_t i = 0; i < root->count; i++)
    {
      const struct config_part *known
          = config_part_with_body (&c->root, root->parts[i].hash);

      if (!known)
        known = config_part_with_body (&c->partial, root->parts[i].hash);
      if (known)
        root->parts[i].body = str_dup (known->body);
    }
}

/* Returns false if the body does not have the hash, or is not wanted. */
static bool
take_chunk (struct config *c, struct str hash, struct str body)
{
  struct config_root *root = &c->fetch.root;
  struct str actual = config_hash (body);
  bool taken = false;

  if (str_eq (actual, hash))
    for (size_t i = 0; i < root->count; i++)
      if (root->parts[i].body.len == 0 && str_eq (root->parts[i].hash, hash))
        {
          root->parts[i].body = str_dup (body);
          taken = true;
        }
  if (!taken)
    {
      metrics_add ("galenagate_config_bad_chunks_total", STR (""), 1);
      LOG_WARN ("bad-chunk", "hash=" STR_FMT " actual=" STR_FMT,
                STR_ARG (hash), STR_ARG (actual));
    }
  str_free (&actual);
  return taken;
}

/* Returns 0, or a negative errno value when the root is of no use. */
static int
take_root (struct config *c, struct str text)
{
  struct fetch *f = &c->fetch;

  if (config_root_decode (text, &f->root) != 0)
    return -EBADMSG;
  if (f->root.revision <= c->revision || f->root.revision <= c->rejected)
    return -ESTALE;
  f->root_text = str_dup (text);
  fill_known (c);
  return 0;
}

static void on_peer_chunks (void *ctx, int err, struct str hint,
                            const void *result);

/* Asks the peer for missing chunks, or ends the fetch if there are none. */
static void
ask_peer_chunks (struct config *c)
{
  struct fetch *f = &c->fetch;
  text wanted[CONFIG_WANTED_MAX];
  struct config_fetch_args args
      = { .have_revision = c->revision, .wanted.wanted_val = wanted };

  for (size_t i = 0;
       i < f->root.count && args.wanted.wanted_len < CONFIG_WANTED_MAX; i++)
    if (f->root.parts[i].body.len == 0)
      wanted[args.wanted.wanted_len++] = TEXT_STR (f->root.parts[i].hash);
  if (args.wanted.wanted_len == 0)
    finish_fetch (c);
  else
    bus_call (c->bus, f->peer, PEER_CONFIG_FETCH, &args, CONFIG_FETCH_LIMIT_MS,
              on_peer_chunks, c);
}

static void
on_peer_chunks (void *ctx, int err, struct str hint, const void *result)
{
  struct config *c = ctx;
  const struct config_fetch_res *r = result;
  size_t taken = 0;

  (void)hint;
  if (c->stopped)
    return;
  for (u_int i = 0; r && i < r->chunks.chunks_len; i++)
    taken += take_chunk (c, STR_TEXT (r->chunks.chunks_val[i].hash),
                         STR_BLOB (r->chunks.chunks_val[i].body));
  if (taken == 0)
    fail_fetch (c, err != 0 ? err : -ENOENT, "chunks");
  else
    ask_peer_chunks (c);
}

static void ask_store_chunks (struct config *c);

static void
on_store_chunk (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct config *c = ctx;
  struct fetch *f = &c->fetch;

  (void)version;
  if (c->stopped)
    return;
  f->reads--;
  struct str hash = err.code == 0 ? config_hash (value) : (struct str){ 0 };
  if (err.code != 0 || !take_chunk (c, hash, value))
    f->failed = true;
  str_free (&hash);
  if (f->failed && f->reads == 0)
    fail_fetch (c, err.code, "chunks");
  else if (!f->failed)
    ask_store_chunks (c);
}

static void
ask_store_chunks (struct config *c)
{
  struct fetch *f = &c->fetch;

  while (f->reads < STORE_READS && f->next < f->root.count)
    {
      const struct config_part *p = &f->root.parts[f->next++];

      if (p->body.len > 0)
        continue;
      struct str key = config_chunk_key (p->hash);
      f->reads++;
      store_read (c->store, key, on_store_chunk, c);
      str_free (&key);
    }
  if (f->reads == 0)
    finish_fetch (c);
}

static void
use_store_root (struct config *c, struct str text)
{
  const int rc = take_root (c, text);

  if (rc != 0)
    fail_fetch (c, rc, "root");
  else
    ask_store_chunks (c);
}

void
config_fetch_store_root (struct config *c, struct str root)
{
  struct fetch *f = &c->fetch;

  if (f->active || c->working)
    return;
  f->active = true;
  f->from_store = true;
  use_store_root (c, root);
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
    c->peer_answered = true;
  if (r && r->revision >= c->revision)
    c->confirmed_ms = clock_ms ();
  /* A parent that cannot be reached is not asked again. */
  if (err != 0 && c->attempts < TREE_ATTEMPTS)
    c->attempts = TREE_ATTEMPTS - 1;
  if (err == 0)
    err = r && r->root.blob_len > 0 ? take_root (c, STR_BLOB (r->root))
                                    : -EAGAIN;
  if (err != 0)
    fail_fetch (c, err, "root");
  else
    ask_peer_chunks (c);
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
    use_store_root (c, value);
}

/* The node to fetch from at this attempt; empty for the store. First the
   parent in the domain's tree, which may itself need a moment; then the node
   that reported the revision; then any that has it; in between the store. */
static struct str
choose_source (struct config *c)
{
  const struct member_info *m;
  struct str parent;
  const size_t place = config_domain_place (c, &parent);

  if (c->revision > 0 && place >= CONFIG_RELAYS && c->attempts < TREE_ATTEMPTS)
    return parent;
  if (c->attempts % 3 == 2)
    return STR ("");
  m = config_random_peer (c, c->latest);
  if (c->latest_from.len > 0 && (!m || c->attempts % 3 == 0))
    return c->latest_from;
  return m ? m->addr : STR ("");
}

void
config_fetch_if_due (struct config *c)
{
  struct fetch *f = &c->fetch;
  const struct config_fetch_args args = { .have_revision = c->revision };

  if (c->stopped || f->active || c->working || c->latest <= c->revision
      || c->latest <= c->rejected || clock_ms () < c->next_attempt_ms)
    return;
  f->active = true;
  f->peer = str_dup (choose_source (c));
  f->from_store = f->peer.len == 0;
  if (f->from_store)
    store_read (c->store, STR (CONFIG_ROOT_KEY), on_store_root, c);
  else
    bus_call (c->bus, f->peer, PEER_CONFIG_FETCH, &args, CONFIG_FETCH_LIMIT_MS,
              on_peer_root, c);
}

void
config_learn (struct config *c, uint64_t revision, struct str from)
{
  if (revision > c->latest)
    {
      c->latest = revision;
      c->noticed = false;
      c->attempts = 0;
      c->next_attempt_ms = 0;
      str_free (&c->latest_from);
      if (!str_eq (from, config_self (c)))
        c->latest_from = str_dup (from);
    }
}
