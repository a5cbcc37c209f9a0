#include "edge/site.h"

#include <stdlib.h>

#include "clock.h"
#include "edge/edge.h"
#include "err.h"
#include "log.h"
#include "metrics.h"
#include "platform/platform.h"

#define LOG_MODULE "site"
/* Interval at which the software versions in service are noted; far below the
   time for which they are remembered. */
#define VERSION_CHECK_MS 5000

struct site
{
  struct plugin plugin;
  struct kernel *kernel;
  struct pool *pool;
  struct demand *demand;
  struct quarantine *quarantine;
  struct streamorigins *origins;
  struct streamorigins_store *origins_store;
  uv_timer_t version_timer;
  bool servers_listed;
  const struct site_listener *listener;
  void *ctx;
};

static const struct plugin_ops ops;

struct site *
site_get (struct kernel *kernel)
{
  return (struct site *)kernel_find (kernel, ops.name);
}

void
site_listen (struct site *s, const struct site_listener *listener, void *ctx)
{
  s->listener = listener;
  s->ctx = ctx;
}

struct pool *
site_pool (struct site *s)
{
  return s->pool;
}

struct demand *
site_demand (struct site *s)
{
  return s->demand;
}

struct quarantine *
site_quarantine (struct site *s)
{
  return s->quarantine;
}

struct streamorigins *
site_streamorigins (struct site *s)
{
  return s->origins;
}

struct streamorigins_store *
site_streamorigins_store (struct site *s)
{
  return s->origins_store;
}

const struct routing *
site_routing (const struct site *s)
{
  return kernel_latest (s->kernel, TOPIC_ROUTING);
}

bool
site_ready (const struct site *s)
{
  return s->servers_listed && site_routing (s);
}

/* ---- events of the platform ---- */

/* Returns the server that the entry replaces: an earlier process with the same
   id, or one at the same address. An older entry, as a restored store has it,
   replaces none. */
static const struct pool_server *
replaced_server (const struct site *s, const struct server_entry *e)
{
  const struct pool_server *before = pool_find (s->pool, e->id);

  if (!before)
    before = pool_find_at (s->pool, e->address);
  return before && e->started_ms > pool_server_started (before) ? before
                                                                : NULL;
}

uint64_t
site_server_start (const struct pool_server *server)
{
  return quarantine_server_hash (pool_server_id (server),
                                 pool_server_started (server));
}

void
site_server_ended (struct site *s, const struct pool_server *server,
                   const char *evidence)
{
  const uint64_t start = site_server_start (server);

  if (!quarantine_server_crashed (s->quarantine, start, clock_ms ()))
    return;
  LOG_INFO ("server-ended", "server=" STR_FMT " start=%016lx evidence=%s",
            STR_ARG (pool_server_id (server)), start, evidence);
}

/* A server that replaces another one shows that this one ended. */
static void
record_replacement (struct site *s, const struct server_entry *e)
{
  const struct pool_server *before = replaced_server (s, e);

  if (before && pool_server_started (before) > 0
      && !pool_server_leaving (before))
    site_server_ended (s, before, "entry");
}

/* ---- software versions ---- */

static void
see_version (void *ctx, struct str service, struct str version)
{
  struct site *s = ctx;
  const uint64_t now = clock_ms ();
  const bool had_several
      = streamorigins_several_versions (s->origins, service, now);

  streamorigins_saw_version (s->origins, service, version, now);
  if (!had_several
      && streamorigins_several_versions (s->origins, service, now))
    LOG_INFO ("several-versions", "service=" STR_FMT " version=" STR_FMT,
              STR_ARG (service), LOG_NAME_ARG (version));
}

/* Notes the services of the routes whose streams clients may take up. */
static void
see_routes (struct site *s)
{
  const struct routing *routing = site_routing (s);
  const uint64_t now = clock_ms ();

  for (size_t i = 0; routing && i < routing->route_count; i++)
    {
      const struct route *r = &routing->routes[i];

      for (size_t k = 0; r->resumable && k < r->target_count; k++)
        streamorigins_saw_route (s->origins, route_key (r),
                                 r->targets[k].service, now);
    }
}

static void
on_version_check (uv_timer_t *timer)
{
  struct site *s = timer->data;

  pool_each_listed (s->pool, see_version, s);
  see_routes (s);
}

/* ---- configuration ---- */

static void
destroy_routing (void *routing)
{
  routing_destroy (routing);
}

static void
on_routing (void *ctx, struct routing *routing)
{
  struct site *s = ctx;

  metrics_set ("galenagate_config_version", STR (""),
               (double)routing->version);
  kernel_publish (s->kernel, TOPIC_ROUTING, routing, destroy_routing);
  see_routes (s);
}

/* ---- servers ---- */

static void
on_server (void *ctx, const struct server_entry *e)
{
  struct site *s = ctx;

  LOG_DBG ("server",
           "server=" STR_FMT " version=" STR_FMT
           " leaving=%d sequence=%lu models=%zu",
           STR_ARG (e->id), LOG_NAME_ARG (e->software_version),
           e->state == SERVER_DRAINING, e->sequence, e->model_count);
  if (e->state == SERVER_DRAINING)
    LOG_INFO ("server-leaving", "server=" STR_FMT " service=" STR_FMT,
              STR_ARG (e->id), STR_ARG (e->service));
  record_replacement (s, e);
  if (!pool_update (s->pool, e, clock_ms ()))
    {
      LOG_INFO ("entry-outdated", "server=" STR_FMT " sequence=%lu",
                STR_ARG (e->id), e->sequence);
      return;
    }
  see_version (s, e->service, e->software_version);
  s->listener->server (s->ctx, e);
  kernel_publish (s->kernel, TOPIC_POOL, NULL, NULL);
}

static void
on_server_removed (void *ctx, struct str id)
{
  struct site *s = ctx;

  LOG_INFO ("server-removed", "server=" STR_FMT, STR_ARG (id));
  pool_remove (s->pool, id, clock_ms ());
  s->listener->server_removed (s->ctx, id);
}

static void
on_server_unreadable (void *ctx, struct str id)
{
  struct site *s = ctx;

  pool_entry_unreadable (s->pool, id);
  s->listener->server_removed (s->ctx, id);
}

static void
on_servers_listed (void *ctx)
{
  struct site *s = ctx;

  s->servers_listed = true;
  streamorigins_store_missed (s->origins_store, clock_ms ());
  kernel_publish (s->kernel, TOPIC_POOL, NULL, NULL);
}

static void
on_reachable (void *ctx, bool reachable)
{
  struct site *s = ctx;

  s->listener->reachable (s->ctx, reachable);
}

static void
on_outage_ended (void *ctx)
{
  struct site *s = ctx;

  pool_store_outage_ended (s->pool, clock_ms ());
}

static void
on_store_restored (void *ctx)
{
  struct site *s = ctx;

  pool_store_restored (s->pool, clock_ms ());
}

static const struct platform_events events = {
  .routing = on_routing,
  .server = on_server,
  .server_removed = on_server_removed,
  .server_unreadable = on_server_unreadable,
  .servers_listed = on_servers_listed,
  .reachable = on_reachable,
  .outage_ended = on_outage_ended,
  .store_restored = on_store_restored,
};

/* ---- quarantine ---- */

static const char *const kind_names[QUARANTINE_KINDS] = {
  [QUARANTINE_REQUEST] = "request",
  [QUARANTINE_PART] = "prompt-part",
  [QUARANTINE_PART_BEGINNING] = "prompt-part-beginning",
  [QUARANTINE_PART_REST] = "prompt-part-rest",
};

static void
on_quarantine_change (void *ctx, const struct quarantine_change *change)
{
  (void)ctx;
  if (change->crashes == 0)
    LOG_INFO ("crashes-cleared", "kind=%s fingerprint=%016lx",
              kind_names[change->kind], change->fingerprint);
  else
    LOG_INFO ("crash-recorded",
              "kind=%s fingerprint=%016lx start=%016lx crashes=%u",
              kind_names[change->kind], change->fingerprint, change->server,
              change->crashes);
}

/* ---- plug-in ---- */

static struct plugin *
create (struct kernel *kernel)
{
  struct site *s = xcalloc (1, sizeof *s);

  s->plugin.ops = &ops;
  s->kernel = kernel;
  s->pool = pool_create ();
  s->demand = demand_create ();
  s->quarantine = quarantine_create ();
  s->origins = streamorigins_create ();
  s->origins_store = streamorigins_store_create (
      platform_objects (platform_get (kernel)), s->origins,
      edge_settings ()->node_name, clock_ms ());
  uv_timer_init (kernel_loop (kernel), &s->version_timer);
  s->version_timer.data = s;
  quarantine_observe (s->quarantine, on_quarantine_change, s);
  platform_listen (platform_get (kernel), &events, s);
  return &s->plugin;
}

static int
start (struct plugin *plugin)
{
  struct site *s = (struct site *)plugin;

  uv_timer_start (&s->version_timer, on_version_check, VERSION_CHECK_MS,
                  VERSION_CHECK_MS);
  return 0;
}

static void
stop (struct plugin *plugin)
{
  struct site *s = (struct site *)plugin;

  uv_close ((uv_handle_t *)&s->version_timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct site *s = (struct site *)plugin;

  pool_destroy (s->pool);
  demand_destroy (s->demand);
  quarantine_destroy (s->quarantine);
  streamorigins_store_destroy (s->origins_store);
  streamorigins_destroy (s->origins);
  free (s);
}

static const struct plugin_ops ops = {
  .name = "site",
  .rank = RANK_SITE,
  .profiles = PROFILE_EDGE,
  .create = create,
  .start = start,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)
