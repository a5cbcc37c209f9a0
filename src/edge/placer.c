#include "edge/placer_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"
#include "platform/orders.h"
#include "platform/platform.h"

#define LOG_MODULE "placer"
#define TICK_MS 50
/* Interval of the digests that say that nothing changed. */
#define DIGEST_MS 250
/* Shortest pause between two digests, or two plans. */
#define DIGEST_GAP_MS 10
/* So many nodes add a ms to the pause of each one's digests. */
#define NODES_PER_GAP_MS 2
/* A holder that is silent for this long may be gone. */
#define HOLDER_SILENT_MS 700
/* What a node told of the store is believed for this long. */
#define AGREED_MS 600
#define DRAIN_CHECK_MS 20
/* Reports that are asked for at once; a new holder needs one of each server.
 */
#define REPORTS_AT_ONCE 64
/* A node takes a free lease after this time divided by the bandwidth of its
   link: the holder's digests go to all nodes, so a wide link goes first. */
#define LINK_DELAY_MS_MBPS 10000.0
#define LINK_DELAY_MAX_MS 400

static const struct plugin_ops ops;

struct placer *
placer_get (struct kernel *kernel)
{
  return (struct placer *)kernel_find (kernel, ops.name);
}

uint32_t
placer_nodes (const struct placer *p)
{
  const uint32_t told = nodecount_most (&p->nodes);

  return told > 0 ? told : holderlease_nodes (p->lease);
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

bool
placer_leads (const struct placer *p)
{
  return p->holding && (holderlease_valid (p->lease) || all_without_store (p));
}

static bool
may_order (const struct placer *p)
{
  return placer_leads (p) && holderlease_in_turn (p->lease);
}

/* ---- orders ---- */

struct order_ctx
{
  struct placer *placer;
  struct str server_id;
  uint64_t fence;
};

static void act (struct placer *p);

static void
set_holding (struct placer *p, bool holding)
{
  if (holding == p->holding)
    return;
  p->holding = holding;
  platform_follow_closely (platform_get (p->kernel), holding);
}

/* Another node holds a later lease, whatever the store last told this one. */
static void
step_down (struct placer *p, uint64_t fence, const char *reason)
{
  if (fence < p->lost_fence + 1)
    return;
  LOG_INFO ("step-down", "fence=%lu reason=%s", fence, reason);
  p->lost_fence = fence;
  if (p->fence == fence)
    set_holding (p, false);
}

/* The more nodes tell the holder, the rarer each does. */
static uint64_t
demand_gap_ms (const struct placer *p)
{
  return DIGEST_GAP_MS + placer_nodes (p) / NODES_PER_GAP_MS;
}

static void
on_soon (uv_timer_t *timer)
{
  struct placer *p = timer->data;

  if (clock_ms () >= p->told_ms + demand_gap_ms (p))
    placer_tell_demand (p);
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

  if (result != ORDER_ACCEPTED && result != ORDER_HOLDS_ALREADY)
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

static bool
is_order_wanted (void *ctx)
{
  const struct order_ctx *o = ctx;

  return o->fence == o->placer->fence && may_order (o->placer);
}

static const struct order_events order_events
    = { .wanted = is_order_wanted, .done = on_order_done };

static void
give_order (struct placer *p, const struct fleet_server *s,
            struct order *order, const struct order_reason *why)
{
  struct order_ctx *o = xcalloc (1, sizeof *o);

  p->changed = true;
  order->holder = edge_settings ()->node_name;
  order->fence = p->fence;
  o->placer = p;
  o->server_id = str_dup (fleet_server_id (s));
  o->fence = p->fence;
  LOG_INFO (
      "order",
      "server=" STR_FMT " kind=%s model=" STR_FMT " adapter=" STR_FMT
      " need=%s weights=%s for=" STR_FMT " waiting=%u running=%u"
      " rate=%.2f replicas=%u target=%u order_count=%lu fence=%lu",
      STR_ARG (o->server_id), order->kind == ORDER_LOAD ? "load" : "unload",
      STR_ARG (order->model), STR_ARG (order->adapter), why->need,
      why->weights, STR_ARG (why->for_model), why->waiting, why->running,
      why->rate, why->replicas, why->target, order->order_count, order->fence);
  order_send (p->http, order, &order_events, o);
}

static void
on_report (void *ctx, const struct server_report *report)
{
  struct order_ctx *o = ctx;
  struct placer *p = o->placer;

  p->changed = true;
  p->reports_open--;
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
  p->reports_open++;
  report_get (p->http, fleet_server_address (s), o->server_id, on_report, o);
}

/* Gives the orders that are due, and tells all nodes. */
static void
act (struct placer *p)
{
  struct fleet_server *s;
  struct order order;
  struct order_reason why;

  if (!p->holding)
    return;
  fleet_advance (p->fleet, clock_ms ());
  while (p->reports_open < REPORTS_AT_ONCE
         && (s = fleet_next_report (p->fleet, clock_ms ())))
    ask_report (p, s);
  while (may_order (p)
         && (s = fleet_next_order (p->fleet, clock_ms (), &order, &why)))
    give_order (p, s, &order, &why);
  if (!placer_broadcast (p) && p->changed)
    act_soon (p);
}

/* ---- datagrams ---- */

static struct listener *
add_listener (struct placer *p, struct str addr)
{
  struct listener *l;

  HASH_FIND (hh, p->listeners, addr.data, addr.len, l);
  if (l || HASH_COUNT (p->listeners) >= NODES_MAX)
    return l;
  l = xcalloc (1, sizeof *l);
  l->addr = str_dup (addr);
  l->wants_whole = true;
  HASH_ADD_KEYPTR (hh, p->listeners, l->addr.data, l->addr.len, l);
  return l;
}

/* A new holder tells all nodes of itself. Those that the store does not answer
   cannot learn of it otherwise. */
static void
announce (struct placer *p)
{
  const uint64_t now = clock_ms ();
  struct known_node *k;
  struct known_node *next;

  HASH_ITER (hh, p->known_nodes, k, next)
  {
    struct listener *l = NULL;

    if (now < k->told_ms + NODE_KNOWN_MS
        && !str_eq (k->addr, edge_settings ()->peer_addr))
      l = add_listener (p, k->addr);
    if (l)
      {
        l->heard_ms = now;
        l->wants_whole = false; /* the next digest tells all nodes */
      }
  }
}

/* Notes who told something. Returns false for a digest that was overtaken by a
   newer one. */
static bool
note_listener (struct placer *p, struct str from, const entry_digest *d)
{
  struct listener *l = add_listener (p, from);

  if (!l)
    return true;
  if (d->instance == l->instance && d->sequence <= l->sequence)
    return false;
  l->instance = d->instance;
  l->sequence = d->sequence;
  l->heard_ms = clock_ms ();
  l->store_reachable = d->store_reachable;
  l->wants_whole = l->wants_whole || d->missed;
  return true;
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
        placer_hear_holder (p, from, &d->datagram_u.holder);
      return;
    }
  if (!p->holding)
    return;
  if (!note_listener (p, from, &d->datagram_u.entry))
    return;
  placer_hear_entry (p, from, &d->datagram_u.entry);
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
  set_holding (p, fence > p->lost_fence && fence >= p->holder_fence);
  if (!p->holding || fence == p->fence)
    return;
  p->fence = fence;
  LOG_INFO ("term", "fence=%lu", fence);
  fleet_term (p->fleet, holderlease_nodes (p->lease), clock_ms ());
  fleet_retell (p->fleet);
  announce (p);
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

/* Only the holder must read fresh from the store. */
static void
check_news (struct placer *p, uint64_t now)
{
  struct platform_news news = p->news;

  news.current = news.current && !p->holding
                 && now <= p->holder_heard_ms + HOLDER_SILENT_MS;
  platform_check (platform_get (p->kernel), &news);
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
  check_news (p, now);
  if (now >= p->told_ms + DIGEST_MS)
    placer_tell_demand (p);
  fleet_expire (p->fleet, now);
  if (!p->holding)
    return;
  drop_silent (p);
  holderlease_note_nodes (p->lease, nodecount_most (&p->nodes));
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

static uint32_t
link_delay_ms (const struct edge_settings *s)
{
  const double delay_ms = LINK_DELAY_MS_MBPS / s->link_mbps;

  return delay_ms < LINK_DELAY_MAX_MS ? (uint32_t)delay_ms : LINK_DELAY_MAX_MS;
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
  holderlease_set_delay (p->lease, link_delay_ms (s));
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
  struct known_node *k;
  struct known_node *next_known;

  HASH_ITER (hh, p->listeners, l, next)
  {
    HASH_DEL (p->listeners, l);
    str_free (&l->addr);
    free (l);
  }
  HASH_ITER (hh, p->known_nodes, k, next_known)
  {
    HASH_DEL (p->known_nodes, k);
    str_free (&k->addr);
    free (k);
  }
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
