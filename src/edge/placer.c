#include "edge/placer.h"

#include <stdlib.h>

#include <uthash.h>

#include "clock.h"
#include "edge/edge.h"
#include "edge/fleet.h"
#include "edge/holderlease.h"
#include "edge/peers.h"
#include "edge/site.h"
#include "err.h"
#include "log.h"
#include "metrics.h"
#include "platform/orders.h"
#include "platform/platform.h"
#include "xdrcodec.h"

#define LOG_MODULE "placer"
#define TICK_MS 50
/* Interval of the digests that say that nothing changed. */
#define DIGEST_MS 250
/* A server is told again after this time, also without a change. */
#define REFRESH_MS 1000
/* Changes of a server's calls below this number are not told at once. */
#define RUNNING_STEP 4
/* Shortest pause between two digests, or two plans. */
#define DIGEST_GAP_MS 10
/* A holder that is silent for this long may be gone. */
#define HOLDER_SILENT_MS 700
/* A node that is silent for this long gets no more digests. */
#define NODE_SILENT_MS 2000
/* What a node told of the store is believed for this long. */
#define AGREED_MS 600
#define NODES_MAX 512
#define LOADS_MAX 2048
#define SERVERS_PER_DATAGRAM 4
#define DRAIN_CHECK_MS 20

/* A node that tells its demand to this one. */
struct listener
{
  struct str addr;
  uint64_t heard_ms;
  bool store_reachable;
  UT_hash_handle hh;
};

/* What was last told of a server. */
struct told
{
  uint64_t server;
  uint64_t hash;
  uint64_t at_ms;
  UT_hash_handle hh;
};

/* The placement of models: one node holds the lease, hears the demand of all
   and gives the orders; all others tell it their demand. */
struct placer
{
  struct plugin plugin;
  struct kernel *kernel;
  struct site *site;
  struct http *http;
  struct fleet *fleet;
  struct holderlease *lease;
  struct peers *peers;
  uv_timer_t tick;
  uv_timer_t soon; /* a digest or plan that is due before the next tick */
  uv_timer_t drain_timer;
  bool holding; /* as of the last tick */
  bool store_reachable;
  bool changed; /* servers hold other than was told */
  uint64_t fence;
  uint64_t ordered_ms; /* when this node gave its last order */
  uint64_t lost_fence; /* of this node's last lease that is over */
  uint64_t told_ms;    /* last digest of this node's demand */
  uint64_t scanned_ms; /* when servers were last compared with what was told */
  uint64_t broadcast_ms; /* last digest of servers */
  uint64_t holder_heard_ms;
  uint64_t holder_fence; /* highest one heard */
  struct str holder_addr;
  uint32_t entries; /* nodes that share the load, as the holder tells */
  uint64_t sequence;
  struct listener *listeners;
  struct told *told;
};

static const struct plugin_ops ops;

struct placer *
placer_get (struct kernel *kernel)
{
  return (struct placer *)kernel_find (kernel, ops.name);
}

uint32_t
placer_nodes (const struct placer *p)
{
  return clock_ms () < p->holder_heard_ms + NODE_SILENT_MS ? p->entries : 0;
}

/* ---- may this node give orders ---- */

/* While the store answers no node, nobody else can take the lease. The holder
   then goes on as long as all nodes that told their demand agree that the
   store is away, and only where servers refuse the orders of a holder that has
   a successor which it does not know of. */
static bool
all_without_store (const struct placer *p)
{
  const uint64_t now = clock_ms ();

  if (p->store_reachable || !edge_settings ()->fenced)
    return false;
  for (const struct listener *l = p->listeners; l; l = l->hh.next)
    if (l->store_reachable || now > l->heard_ms + AGREED_MS)
      return false;
  return true;
}

static bool
may_order (const struct placer *p)
{
  return p->holding && (holderlease_valid (p->lease) || all_without_store (p));
}

/* ---- what the holder tells ---- */

static void
apply_server (struct placer *p, const server_digest *d)
{
  struct holding *holdings = xcalloc (d->held.held_len + 1, sizeof *holdings);
  const struct pool_view view = {
    .server = d->server,
    .order_count = d->order_count,
    .running = d->running,
    .placed = d->placed,
    .holdings = holdings,
    .holding_count = d->held.held_len,
  };

  for (u_int i = 0; i < d->held.held_len; i++)
    {
      const held_digest *h = &d->held.held_val[i];
      struct str *adapters
          = xcalloc (h->adapters.adapters_len + 1, sizeof *adapters);

      for (u_int j = 0; j < h->adapters.adapters_len; j++)
        adapters[j] = label_str (h->adapters.adapters_val[j]);
      holdings[i] = (struct holding){
        .model = label_str (h->model),
        .state = (enum held_state)h->state,
        .ready_in_ms = h->ready_in_ms,
        .adapters = adapters,
        .adapter_count = h->adapters.adapters_len,
      };
    }
  pool_apply_view (site_pool (p->site), &view, clock_ms ());
  for (u_int i = 0; i < d->held.held_len; i++)
    free ((void *)holdings[i].adapters);
  free (holdings);
}

static void
hear_holder (struct placer *p, struct str from, const holder_digest *d)
{
  if (d->fence < p->holder_fence)
    return;
  if (d->fence > p->holder_fence)
    LOG_INFO ("holder", "holder=" STR_FMT " node=" STR_FMT " fence=%lu",
              STR_ARG (from), STR_ARG (label_str (d->node)), d->fence);
  p->holder_fence = d->fence;
  /* A holder whose lease ran out is taken for silent, so that another node
     campaigns. */
  if (d->active)
    p->holder_heard_ms = clock_ms ();
  holderlease_hint (p->lease, d->lease_revision);
  p->entries = d->entries;
  str_assign (&p->holder_addr, from);
  for (u_int i = 0; i < d->servers.servers_len; i++)
    apply_server (p, &d->servers.servers_val[i]);
  kernel_publish (p->kernel, TOPIC_POOL, NULL, NULL);
}

/* ---- the holder's digests ---- */

struct broadcast
{
  struct placer *placer;
  server_digest servers[SERVERS_PER_DATAGRAM];
  u_int count;
};

static void
free_server_digest (server_digest *d)
{
  for (u_int i = 0; i < d->held.held_len; i++)
    free (d->held.held_val[i].adapters.adapters_val);
  free (d->held.held_val);
}

static void
flush (struct broadcast *b)
{
  struct placer *p = b->placer;
  struct datagram d = { .kind = DATAGRAM_HOLDER };
  holder_digest *h = &d.datagram_u.holder;

  p->broadcast_ms = clock_ms ();
  h->node = str_label (edge_settings ()->node_name);
  h->fence = p->fence;
  h->active = may_order (p);
  h->lease_revision = holderlease_revision (p->lease);
  h->entries = fleet_nodes (p->fleet, clock_ms ());
  h->servers.servers_val = b->servers;
  h->servers.servers_len = b->count;
  for (struct listener *l = p->listeners; l; l = l->hh.next)
    peers_send (p->peers, l->addr, &d);
  hear_holder (p, edge_settings ()->peer_addr, h);
  for (u_int i = 0; i < b->count; i++)
    free_server_digest (&b->servers[i]);
  b->count = 0;
}

static void
fill_adapters (const struct replica *r, uint64_t now, held_digest *out)
{
  out->adapters.adapters_val
      = xcalloc (r->adapter_count + 1, sizeof *out->adapters.adapters_val);
  for (size_t i = 0; i < r->adapter_count; i++)
    if (r->adapters[i].ready_ms <= now)
      out->adapters.adapters_val[out->adapters.adapters_len++]
          = str_label (r->adapters[i].name);
}

static held_state_digest
state_digest (enum replica_state state)
{
  switch (state)
    {
    case REPLICA_LOADING:
      return HELD_DIGEST_LOADING;
    case REPLICA_UNLOADING:
      return HELD_DIGEST_UNLOADING;
    case REPLICA_READY:
      break;
    }
  return HELD_DIGEST_READY;
}

/* Hash of what makes a difference for the nodes. */
static uint64_t
digest_hash (const server_digest *d)
{
  server_digest rough = *d;
  struct str bytes;
  uint64_t hash;

  /* Loads end at the time told before. */
  for (u_int i = 0; i < d->held.held_len; i++)
    rough.held.held_val[i].ready_in_ms = 0;
  rough.running = (d->running + RUNNING_STEP - 1) / RUNNING_STEP;
  bytes = xdrcodec_encode ((xdrproc_t)xdr_server_digest, &rough);
  hash = str_hash (bytes, 0);
  str_free (&bytes);
  return hash;
}

/* Is the server to be told now? Notes it as told if so. */
static bool
worth_telling (struct placer *p, const server_digest *d, uint64_t now)
{
  const uint64_t hash = digest_hash (d);
  struct told *t;

  HASH_FIND (hh, p->told, &d->server, sizeof d->server, t);
  if (t && t->hash == hash && now < t->at_ms + REFRESH_MS)
    return false;
  if (!t)
    {
      t = xcalloc (1, sizeof *t);
      t->server = d->server;
      HASH_ADD (hh, p->told, server, sizeof t->server, t);
    }
  t->hash = hash;
  t->at_ms = now;
  return true;
}

static void
forget_told (struct placer *p)
{
  struct told *t;
  struct told *next;

  HASH_ITER (hh, p->told, t, next)
  {
    HASH_DEL (p->told, t);
    free (t);
  }
}

static void
fill_server (const struct fleet_view *v, uint64_t now, server_digest *d)
{
  *d = (server_digest){ .server = v->hash,
                        .order_count = v->order_count,
                        .running = v->running,
                        .placed = v->known };
  d->held.held_val = xcalloc (v->replica_count + 1, sizeof *d->held.held_val);
  for (size_t i = 0; i < v->replica_count; i++)
    {
      const struct replica *r = &v->replicas[i];
      held_digest *h = &d->held.held_val[d->held.held_len++];

      h->model = str_label (r->model);
      h->state = state_digest (r->state);
      h->ready_in_ms = r->ready_ms > now ? (u_int)(r->ready_ms - now) : 0;
      fill_adapters (r, now, h);
    }
}

static void
add_server (void *ctx, const struct fleet_view *v)
{
  struct broadcast *b = ctx;
  server_digest *d = &b->servers[b->count];
  server_digest rough;
  const uint64_t now = clock_ms ();

  fill_server (v, now, &rough);
  const bool tell = worth_telling (b->placer, &rough, now);
  free_server_digest (&rough);
  if (!tell)
    return;
  fill_server (v, now, d);
  if (++b->count == SERVERS_PER_DATAGRAM)
    flush (b);
}

/* Tells all nodes of the servers that changed, or only that the holder is
   alive. */
static void
broadcast (struct placer *p)
{
  struct broadcast b = { .placer = p };
  const uint64_t now = clock_ms ();

  p->changed = false;
  p->scanned_ms = now;
  fleet_each (p->fleet, add_server, &b);
  if (b.count > 0 || now >= p->broadcast_ms + DIGEST_MS)
    flush (&b);
}

/* ---- demand ---- */

struct told_demand
{
  demand_digest *items;
  u_int count;
};

static void
add_demand (void *ctx, const struct demand_item *i)
{
  struct told_demand *t = ctx;

  t->items = xrealloc (t->items, (t->count + 1) * sizeof *t->items);
  t->items[t->count++] = (demand_digest){
    .service = str_label (i->service),
    .model = str_label (i->model),
    .adapter = str_label (i->adapter),
    .waiting = i->waiting,
    .running = i->running,
    .arrivals = i->arrivals,
    .priority = i->priority,
  };
}

static void
hear_entry (struct placer *p, const entry_digest *d)
{
  const uint64_t now = clock_ms ();
  const struct str node = label_str (d->node);

  fleet_node_begin (p->fleet, node, now);
  for (u_int i = 0; i < d->demand.demand_len; i++)
    {
      const demand_digest *w = &d->demand.demand_val[i];
      const struct fleet_wish wish = {
        .service = label_str (w->service),
        .model = label_str (w->model),
        .adapter = label_str (w->adapter),
        .waiting = w->waiting,
        .running = w->running,
        .arrivals = w->arrivals,
      };

      fleet_node_wish (p->fleet, node, &wish, now);
    }
  for (u_int i = 0; i < d->loads.loads_len; i++)
    fleet_node_load (p->fleet, node, d->loads.loads_val[i].server,
                     d->loads.loads_val[i].running);
}

/* Tells the holder what this node's calls ask for. */
static void
tell_demand (struct placer *p)
{
  struct datagram d = { .kind = DATAGRAM_ENTRY };
  entry_digest *e = &d.datagram_u.entry;
  struct told_demand t = { 0 };
  struct pool_load *loads = xcalloc (LOADS_MAX, sizeof *loads);
  load_digest *told = xcalloc (LOADS_MAX, sizeof *told);
  const size_t n = pool_loads (site_pool (p->site), loads, LOADS_MAX);

  p->told_ms = clock_ms ();
  for (size_t i = 0; i < n; i++)
    told[i] = (load_digest){ .server = loads[i].server,
                             .running = loads[i].running };
  demand_take (site_demand (p->site), add_demand, &t);
  e->node = str_label (edge_settings ()->node_name);
  e->instance = kernel_instance (p->kernel);
  e->sequence = ++p->sequence;
  e->store_reachable = p->store_reachable;
  e->demand.demand_val = t.items;
  e->demand.demand_len = t.count;
  e->loads.loads_val = told;
  e->loads.loads_len = (u_int)n;
  if (p->holding)
    hear_entry (p, e);
  else if (p->holder_addr.len > 0)
    peers_send (p->peers, p->holder_addr, &d);
  free (t.items);
  free (told);
  free (loads);
}

/* ---- orders ---- */

struct order_ctx
{
  struct placer *placer;
  struct str server_id;
  uint64_t fence;
};

static void act (struct placer *p);

/* Another node holds a later lease, whatever the store last told this one. */
static void
step_down (struct placer *p, uint64_t fence, const char *reason)
{
  if (fence < p->lost_fence + 1)
    return;
  LOG_INFO ("step-down", "fence=%lu reason=%s", fence, reason);
  p->lost_fence = fence;
  if (p->fence == fence)
    p->holding = false;
}

static void
on_soon (uv_timer_t *timer)
{
  struct placer *p = timer->data;

  if (clock_ms () >= p->told_ms + DIGEST_GAP_MS)
    tell_demand (p);
  act (p);
}

static void
act_soon (struct placer *p)
{
  if (!uv_is_active ((uv_handle_t *)&p->soon))
    uv_timer_start (&p->soon, on_soon, DIGEST_GAP_MS, 0);
}

static void
on_order_done (void *ctx, enum order_result result)
{
  struct order_ctx *o = ctx;
  struct placer *p = o->placer;

  if (result != ORDER_ACCEPTED)
    LOG_INFO ("order-ended", "server=" STR_FMT " result=%s fence=%lu",
              STR_ARG (o->server_id), order_result_name (result), o->fence);
  metrics_add ("galenagate_orders_total", str_from (""), 1);
  if (result == ORDER_FENCED)
    step_down (p, o->fence, "fenced");
  p->changed = true;
  if (o->fence == p->fence)
    fleet_order_done (p->fleet, o->server_id, result, clock_ms ());
  str_free (&o->server_id);
  free (o);
  act (p);
}

static void
give_order (struct placer *p, const struct fleet_server *s,
            struct order *order)
{
  struct order_ctx *o = xcalloc (1, sizeof *o);

  p->changed = true;
  p->ordered_ms = clock_ms ();
  order->holder = edge_settings ()->node_name;
  order->fence = p->fence;
  o->placer = p;
  o->server_id = str_dup (fleet_server_id (s));
  o->fence = p->fence;
  LOG_INFO ("order",
            "server=" STR_FMT " kind=%s model=" STR_FMT " adapter=" STR_FMT
            " order_count=%lu fence=%lu",
            STR_ARG (o->server_id),
            order->kind == ORDER_LOAD ? "load" : "unload",
            STR_ARG (order->model), STR_ARG (order->adapter),
            order->order_count, order->fence);
  order_send (p->http, order, on_order_done, o);
}

static void
on_report (void *ctx, const struct server_report *report)
{
  struct order_ctx *o = ctx;
  struct placer *p = o->placer;

  p->changed = true;
  if (o->fence == p->fence)
    fleet_report (p->fleet, o->server_id, report, clock_ms ());
  str_free (&o->server_id);
  free (o);
  act (p);
}

static void
ask_report (struct placer *p, const struct fleet_server *s)
{
  struct order_ctx *o = xcalloc (1, sizeof *o);

  o->placer = p;
  o->server_id = str_dup (fleet_server_id (s));
  o->fence = p->fence;
  report_get (p->http, fleet_server_address (s), o->server_id, on_report, o);
}

/* Gives the orders that are due, and tells all nodes. */
static void
act (struct placer *p)
{
  struct fleet_server *s;
  struct order order;

  if (!p->holding)
    return;
  fleet_advance (p->fleet, clock_ms ());
  while ((s = fleet_next_report (p->fleet, clock_ms ())))
    ask_report (p, s);
  while (may_order (p)
         && (s = fleet_next_order (p->fleet, clock_ms (), &order)))
    give_order (p, s, &order);
  if (clock_ms () >= p->scanned_ms + DIGEST_GAP_MS)
    broadcast (p);
  else if (p->changed)
    act_soon (p);
}

/* ---- datagrams ---- */

static void
note_listener (struct placer *p, struct str from, bool store_reachable)
{
  struct listener *l;

  HASH_FIND (hh, p->listeners, from.data, from.len, l);
  if (!l && HASH_COUNT (p->listeners) < NODES_MAX)
    {
      l = xcalloc (1, sizeof *l);
      l->addr = str_dup (from);
      forget_told (p);
      HASH_ADD_KEYPTR (hh, p->listeners, l->addr.data, l->addr.len, l);
    }
  if (!l)
    return;
  l->heard_ms = clock_ms ();
  l->store_reachable = store_reachable;
}

static void
drop_silent (struct placer *p)
{
  struct listener *l;
  struct listener *next;

  /* During an outage a node that is silent may be a successor. */
  if (!holderlease_valid (p->lease))
    return;
  HASH_ITER (hh, p->listeners, l, next)
  if (clock_ms () > l->heard_ms + NODE_SILENT_MS)
    {
      HASH_DEL (p->listeners, l);
      str_free (&l->addr);
      free (l);
    }
}

static void
on_datagram (void *ctx, struct str from, const struct datagram *d)
{
  struct placer *p = ctx;

  if (d->kind == DATAGRAM_HOLDER)
    {
      if (p->holding && d->datagram_u.holder.fence > p->fence)
        step_down (p, p->fence, "successor");
      if (!p->holding)
        hear_holder (p, from, &d->datagram_u.holder);
      return;
    }
  if (!p->holding)
    return;
  note_listener (p, from, d->datagram_u.entry.store_reachable);
  hear_entry (p, &d->datagram_u.entry);
  act_soon (p);
}

static void
on_demand (void *ctx, const void *snapshot)
{
  (void)snapshot;
  act_soon (ctx);
}

/* ---- lease ---- */

static void
update_holding (struct placer *p)
{
  const uint64_t fence = holderlease_fence (p->lease);

  /* Without a valid lease no orders are given, but the node goes on to be
     the one that all tell their demand while nobody else holds it. */
  p->holding = fence > p->lost_fence && fence >= p->holder_fence;
  if (!p->holding || fence == p->fence)
    return;
  p->fence = fence;
  LOG_INFO ("term", "fence=%lu", fence);
  fleet_term (p->fleet);
  forget_told (p);
}

static void
on_lease_changed (void *ctx)
{
  struct placer *p = ctx;
  const struct str holder = holderlease_holder (p->lease);

  if (holder.len > 0 && clock_ms () > p->holder_heard_ms + HOLDER_SILENT_MS)
    str_assign (&p->holder_addr, holder);
  update_holding (p);
}

static void
on_tick (uv_timer_t *timer)
{
  struct placer *p = timer->data;
  const uint64_t now = clock_ms ();

  holderlease_campaign (
      p->lease,
      !kernel_draining (p->kernel)
          && (p->holding || now > p->holder_heard_ms + HOLDER_SILENT_MS));
  holderlease_step (p->lease);
  update_holding (p);
  if (now >= p->told_ms + DIGEST_MS)
    tell_demand (p);
  if (!p->holding)
    return;
  fleet_expire (p->fleet, now);
  drop_silent (p);
  act (p);
}

/* ---- what the platform tells ---- */

static void
on_server (void *ctx, const struct server_entry *e)
{
  struct placer *p = ctx;

  fleet_entry (p->fleet, e);
}

static void
on_server_removed (void *ctx, struct str id)
{
  struct placer *p = ctx;

  fleet_removed (p->fleet, id);
}

static void
on_reachable (void *ctx, bool reachable)
{
  struct placer *p = ctx;

  p->store_reachable = reachable;
}

static const struct site_listener site_listener = {
  .server = on_server,
  .server_removed = on_server_removed,
  .reachable = on_reachable,
};

static void
on_routing (void *ctx, const void *snapshot)
{
  struct placer *p = ctx;

  fleet_routing (p->fleet, snapshot,
                 (uint32_t)(edge_settings ()->load_window_s * 1000));
}

/* ---- plug-in ---- */

static void
on_draining (void *ctx, const void *snapshot)
{
  struct placer *p = ctx;

  (void)snapshot;
  /* The successor need not wait for this node's last calls. */
  holderlease_release (p->lease);
}

static struct plugin *
create (struct kernel *kernel)
{
  const struct edge_settings *s = edge_settings ();
  struct placer *p = xcalloc (1, sizeof *p);
  uv_loop_t *loop = kernel_loop (kernel);

  p->plugin.ops = &ops;
  p->kernel = kernel;
  p->site = site_get (kernel);
  p->http = http_get (kernel);
  p->fleet = fleet_create ();
  p->lease = holderlease_create (platform_objects (platform_get (kernel)),
                                 s->peer_addr, kernel_instance (kernel),
                                 (uint32_t)s->lease_ms, on_lease_changed, p);
  p->peers = peers_create (loop, on_datagram, p);
  uv_timer_init (loop, &p->tick);
  uv_timer_init (loop, &p->soon);
  uv_timer_init (loop, &p->drain_timer);
  p->tick.data = p;
  p->soon.data = p;
  p->drain_timer.data = p;
  site_listen (p->site, &site_listener, p);
  kernel_subscribe (kernel, TOPIC_ROUTING, on_routing, p);
  kernel_subscribe (kernel, TOPIC_DEMAND, on_demand, p);
  kernel_subscribe (kernel, TOPIC_DRAIN, on_draining, p);
  return &p->plugin;
}

static int
start (struct plugin *plugin)
{
  struct placer *p = (struct placer *)plugin;
  const int rc = peers_listen (p->peers, edge_settings ()->peer_addr);

  if (rc == 0)
    uv_timer_start (&p->tick, on_tick, 1, TICK_MS);
  return rc;
}

static void
check_drained (uv_timer_t *timer)
{
  struct placer *p = timer->data;

  if (!holderlease_released (p->lease))
    return;
  uv_timer_stop (timer);
  kernel_drained (p->kernel, &p->plugin);
}

static void
drain (struct plugin *plugin)
{
  struct placer *p = (struct placer *)plugin;

  uv_timer_start (&p->drain_timer, check_drained, 0, DRAIN_CHECK_MS);
}

static void
stop (struct plugin *plugin)
{
  struct placer *p = (struct placer *)plugin;

  uv_close ((uv_handle_t *)&p->tick, NULL);
  uv_close ((uv_handle_t *)&p->soon, NULL);
  uv_close ((uv_handle_t *)&p->drain_timer, NULL);
  peers_close (p->peers);
}

static void
destroy (struct plugin *plugin)
{
  struct placer *p = (struct placer *)plugin;
  struct listener *l;
  struct listener *next;

  HASH_ITER (hh, p->listeners, l, next)
  {
    HASH_DEL (p->listeners, l);
    str_free (&l->addr);
    free (l);
  }
  forget_told (p);
  fleet_destroy (p->fleet);
  holderlease_destroy (p->lease);
  peers_destroy (p->peers);
  str_free (&p->holder_addr);
  free (p);
}

static const struct plugin_ops ops = {
  .name = "placer",
  .rank = RANK_PLACER,
  .profiles = PROFILE_EDGE,
  .create = create,
  .start = start,
  .drain = drain,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)
