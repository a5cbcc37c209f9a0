#include "config_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "config"
#define TIMER_INTERVAL_MS 250
/* If no peer has replied by this time after its start, a node regards all
   peers as unreachable. */
#define PEER_REPLY_TIMEOUT_MS 3000
#define UNCONFIRMED_WARNING_MS 30000

static bool
is_up_to_date (const struct config *c)
{
  return c->revision > 0
         && (c->revision >= c->latest_revision
             || c->rejected_revision >= c->latest_revision);
}

void
config_check_ready (struct config *c)
{
  const bool peers_timed_out
      = clock_ms () - c->started_ms >= PEER_REPLY_TIMEOUT_MS;

  if (c->ready || !is_up_to_date (c))
    return;
  if (c->store_replied)
    c->ready = c->peer_replied || peers_timed_out;
  else
    c->ready = c->peer_replied && c->store_unreachable;
  if (c->ready)
    LOG_INFO ("ready", "revision=%lu store=%s peer=%s after_ms=%lu",
              c->revision, c->store_replied ? "yes" : "no",
              c->peer_replied ? "yes" : "no", clock_ms () - c->started_ms);
}

static void
report_age (struct config *c)
{
  const uint64_t now_ms = clock_ms ();
  const uint64_t age_ms = config_age_ms (c);

  metrics_set ("galenagate_config_age_ms", STR (""), (double)age_ms);
  if (age_ms < UNCONFIRMED_WARNING_MS
      || now_ms - c->last_warning_ms < UNCONFIRMED_WARNING_MS)
    return;
  c->last_warning_ms = now_ms;
  LOG_WARN ("unconfirmed",
            "revision=%lu age_ms=%lu reason=\"neither the store nor a peer "
            "has confirmed the configuration\"",
            c->revision, age_ms);
}

static void
on_timer (uv_timer_t *timer)
{
  struct config *c = timer->data;

  if (!c->ready)
    config_read_initial_root (c);
  config_watch_store (c);
  config_compare_revisions (c);
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
  c->random_state = str_hash (config_own_addr (c), kernel_instance (kernel));
  uv_timer_init (kernel_loop (kernel), &c->timer);
  c->timer.data = c;
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
  c->last_warning_ms = c->started_ms;
  config_read_initial_root (c);
  return uv_timer_start (&c->timer, on_timer, TIMER_INTERVAL_MS,
                         TIMER_INTERVAL_MS);
}

static void
stop (struct plugin *plugin)
{
  struct config *c = (struct config *)plugin;

  c->stopped = true;
  uv_close ((uv_handle_t *)&c->timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct config *c = (struct config *)plugin;

  config_fetch_reset (c);
  config_root_free (&c->root);
  config_root_free (&c->partial_root);
  str_free (&c->root_text);
  str_free (&c->latest_peer);
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
