#include "config_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "config"
/* Limits how long a connection that fails silently can delay an edit. */
#define WATCH_TIMEOUT_MS 4000
/* Interval at which a node compares its revision with a random peer's, so that
   a lost notice delays an edit by less than the 11 s in which it must be in
   force. */
#define COMPARE_INTERVAL_MS 4000

static void
handle_store_root (struct config *c, struct str value, bool fetch_now)
{
  struct config_root root;

  if (config_root_decode (value, &root) != 0)
    {
      LOG_ERR ("bad-root", "peer=store bytes=%zu", value.len);
      metrics_add ("galenagate_config_rejected_total", STR (""), 1);
      return;
    }
  const uint64_t revision = root.revision;
  config_root_free (&root);
  if (revision >= c->revision)
    c->confirmed_ms = clock_ms ();
  config_update_latest (c, revision, STR (""));
  if (fetch_now && revision > c->revision && revision > c->rejected_revision)
    config_fetch_store_root (c, value);
}

static void
on_watch (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct config *c = ctx;

  if (c->stopped)
    return;
  c->watching = false;
  c->watch_failed = err.code != 0 && err.code != -EAGAIN;
  c->watch_ended_ms = clock_ms ();
  if (err.code == -EAGAIN && c->revision > 0)
    c->confirmed_ms = c->watch_ended_ms;
  if (err.code == 0)
    {
      c->watch_version = version;
      handle_store_root (c, value, true);
    }
}

void
config_watch_store (struct config *c)
{
  if (c->watching
      || (c->watch_failed
          && clock_ms () - c->watch_ended_ms < CONFIG_STORE_RETRY_MS))
    return;
  if (!config_is_relay (c))
    return;
  c->watching = true;
  store_watch (c->store, STR (CONFIG_ROOT_KEY), c->watch_version,
               WATCH_TIMEOUT_MS, on_watch, c);
}

static void
on_initial_root (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct config *c = ctx;

  (void)version;
  if (c->stopped)
    return;
  c->initial_read_pending = false;
  c->store_replied |= err.code == 0 || err.code == -ENOENT;
  c->store_unreachable = !c->store_replied;
  if (err.code == 0)
    /* Reads the chunks from the store only if no peer is known to have them,
       to reduce the load on the store. */
    handle_store_root (c, value, !config_random_peer (c, 1));
  config_check_ready (c);
  config_fetch_if_due (c);
}

void
config_read_initial_root (struct config *c)
{
  if (c->store_replied || c->initial_read_pending
      || (c->initial_read_ms > 0
          && clock_ms () - c->initial_read_ms < CONFIG_STORE_RETRY_MS))
    return;
  c->initial_read_pending = true;
  c->initial_read_ms = clock_ms ();
  store_read (c->store, STR (CONFIG_ROOT_KEY), on_initial_root, c);
}

struct revision_query
{
  struct config *config;
  struct str peer;
};

static void
on_peer_revision (void *ctx, int err, struct str hint, const void *result)
{
  struct revision_query *p = ctx;
  struct config *c = p->config;
  const struct config_fetch_res *r = result;

  (void)hint;
  if (!c->stopped && err == 0)
    {
      c->peer_replied = true;
      if (r->revision >= c->revision && c->revision > 0)
        c->confirmed_ms = clock_ms ();
      config_update_latest (c, r->revision, p->peer);
      config_check_ready (c);
      config_fetch_if_due (c);
    }
  str_free (&p->peer);
  free (p);
}

/* Queries a peer's revision. Sends the highest number as this node's own
   revision, so that the reply has no root. */
static void
query_peer_revision (struct config *c, const struct member_info *m)
{
  const struct config_fetch_args args = { .have_revision = UINT64_MAX };
  struct revision_query *p = xcalloc (1, sizeof *p);

  p->config = c;
  p->peer = str_dup (m->addr);
  bus_call (c->bus, p->peer, PEER_CONFIG_FETCH, &args, CONFIG_FETCH_TIMEOUT_MS,
            on_peer_revision, p);
}

void
config_compare_revisions (struct config *c)
{
  const uint64_t now_ms = clock_ms ();
  const uint64_t wait_ms
      = c->ready ? COMPARE_INTERVAL_MS : CONFIG_STORE_RETRY_MS;
  const struct member_info *m = config_random_peer (c, 0);

  if (!m || (c->last_compare_ms > 0 && now_ms - c->last_compare_ms < wait_ms))
    return;
  c->last_compare_ms = now_ms;
  query_peer_revision (c, m);
}

static void
on_members (void *ctx, const void *snapshot)
{
  struct config *c = ctx;
  const struct member_view *v = snapshot;

  for (size_t i = 0; i < v->count; i++)
    if (member_live (&v->members[i]))
      config_update_latest (c, v->members[i].revision, v->members[i].addr);
  config_fetch_if_due (c);
}

static void
on_notice (void *ctx, const void *snapshot)
{
  struct config *c = ctx;
  const struct notice *n = snapshot;

  if (n->kind != NOTICE_REVISION)
    return;
  config_update_latest (c, n->number, STR_TEXT (n->value));
  if (n->number == c->latest_revision)
    c->latest_gossiped = true;
  config_fetch_if_due (c);
}

void
config_sources_init (struct config *c)
{
  kernel_subscribe (c->kernel, TOPIC_MEMBERS, on_members, c);
  kernel_subscribe (c->kernel, TOPIC_NOTICE, on_notice, c);
}
