#include "config_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "config"
#define TICK_MS 250
/* A starting node takes a peer that has not answered by then as unreachable.
 */
#define PEER_WAIT_MS 3000
#define AGE_WARN_MS 30000

static bool
settled (const struct config *c)
{
  return c->revision > 0
         && (c->revision >= c->latest || c->rejected >= c->latest);
}

void
config_check_ready (struct config *c)
{
  const bool alone = clock_ms () - c->started_ms >= PEER_WAIT_MS;

  if (c->ready || !settled (c))
    return;
  if (c->store_answered)
    c->ready = c->peer_answered || alone;
  else
    c->ready = c->peer_answered && c->store_down;
  if (c->ready)
    LOG_INFO ("ready", "revision=%lu store=%s peer=%s after_ms=%lu",
              c->revision, c->store_answered ? "yes" : "no",
              c->peer_answered ? "yes" : "no", clock_ms () - c->started_ms);
}

static void
report_age (struct config *c)
{
  const uint64_t now_ms = clock_ms ();
  const uint64_t age_ms = config_age_ms (c);

  metrics_set ("galenagate_config_age_ms", STR (""), (double)age_ms);
  if (age_ms < AGE_WARN_MS || now_ms - c->warned_ms < AGE_WARN_MS)
    return;
  c->warned_ms = now_ms;
  LOG_WARN ("unconfirmed",
            "revision=%lu age_ms=%lu reason=\"neither the store nor a peer "
            "has confirmed the configuration\"",
            c->revision, age_ms);
}

static void
on_tick (uv_timer_t *timer)
{
  struct config *c = timer->data;

  if (!c->ready)
    config_ask_store (c);
  config_watch_store (c);
  config_compare (c);
  config_check_ready (c);
  config_fetch_if_due (c);
  report_age (c);
}

struct config *
config_get (struct kernel *kernel)
{
  return (struct config *)kernel_find (kernel, "config");
}

bool
config_ready (const struct config *c)
{
  return c->ready;
}

uint64_t
config_revision (const struct config *c)
{
  return c->revision;
}

uint64_t
config_age_ms (const struct config *c)
{
  return clock_ms () - c->confirmed_ms;
}

static const struct plugin_ops ops;

static struct plugin *
create (struct kernel *kernel)
{
  struct config *c = xcalloc (1, sizeof *c);

  c->plugin.ops = &ops;
  c->kernel = kernel;
  c->bus = bus_get (kernel);
  c->store = store_get (kernel);
  c->membership = membership_get (kernel);
  c->random = str_hash (config_self (c), kernel_instance (kernel));
  uv_timer_init (kernel_loop (kernel), &c->tick);
  c->tick.data = c;
  config_serve_init (c);
  config_sources_init (c);
  return &c->plugin;
}

static int
start (struct plugin *plugin)
{
  struct config *c = (struct config *)plugin;

  c->started_ms = clock_ms ();
  c->confirmed_ms = c->started_ms;
  c->warned_ms = c->started_ms;
  config_ask_store (c);
  return uv_timer_start (&c->tick, on_tick, TICK_MS, TICK_MS);
}

static void
stop (struct plugin *plugin)
{
  struct config *c = (struct config *)plugin;

  c->stopped = true;
  uv_close ((uv_handle_t *)&c->tick, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct config *c = (struct config *)plugin;

  config_fetch_end (c);
  config_root_free (&c->root);
  config_root_free (&c->partial);
  str_free (&c->root_text);
  str_free (&c->latest_from);
  free (c);
}

static const struct plugin_ops ops = {
  .name = "config",
  .rank = RANK_CONFIG,
  .create = create,
  .start = start,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)
