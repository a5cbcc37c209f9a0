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
/* A node sends its demand at least this often, also without a change. */
#define DEMAND_INTERVAL_MS 250
/* Minimum time between two demand digests, or two placement rounds. */
#define DIGEST_GAP_MIN_MS 10
/* Number of nodes that add 1 ms to the minimum time between demand digests. */
#define NODES_PER_GAP_MS 2
/* A holder that sends nothing for this long is presumed dead. */
#define HOLDER_SILENT_MS 700
/* Maximum age of a node's report on whether it reaches the store. */
#define STORE_REPORT_MAX_AGE_MS 600
#define DRAIN_CHECK_MS 20
/* Bound on concurrent report requests; a new holder needs a report from each
   server. */
#define REPORTS_IN_FLIGHT_MAX 64
/* A node claims a free lease after this value divided by the bandwidth of its
   link in Mbit/s. The holder sends its digests to all nodes, so nodes with a
   fast link claim first. */
#define CLAIM_DELAY_MS_MBPS 10000.0
#define CLAIM_DELAY_MAX_MS 400

static const struct plugin_ops ops;

struct placer *
placer_get (struct kernel *kernel)
{
  return (struct placer *)kernel_find (kernel, ops.name);
}

uint32_t
placer_node_count (const struct placer *p)
{
  const uint32_t count = nodecount_max (&p->nodes);

  return count > 0 ? count : holderlease_nodes (p->lease);
}

/* ---- permission to send orders ---- */

/* While no node can reach the store, no other node can take the lease. The
   holder then goes on past its expiry as long as all its followers report the
   store as unreachable. This requires servers that check fencing tokens: they
   refuse the orders of a holder that has a successor unknown to it. */
static bool
store_lost_by_all_nodes (const struct placer *p)
{
  const uint64_t now = clock_ms ();

  if (p->store_reachable || !edge_settings ()->fenced)
    return false;
  for (const struct follower *f = p->followers; f; f = f->hh.next)
    if (f->store_reachable
        || now > f->last_digest_ms + STORE_REPORT_MAX_AGE_MS)
      return false;
  return true;
}

bool
placer_is_active (const struct placer *p)
{
  return p->is_holder
         && (holderlease_valid (p->lease) || store_lost_by_all_nodes (p));
}

static bool
may_send_orders (const struct placer *p)
{
  return placer_is_active (p) && holderlease_may_order (p->lease);
}

/* ---- orders ---- */

/* An order or a report request in flight. */
struct server_request
{
  struct placer *placer;
  struct str server_id;
  uint64_t fence;
};

static void run_placement (struct placer *p);

static void
set_holder_role (struct placer *p, bool is_holder)
{
  if (is_holder == p->is_holder)
    return;
  p->is_holder = is_holder;
  platform_follow_closely (platform_get (p->kernel), is_holder);
}

/* Ends the holder role because another node holds a later lease, even if this
   node has not yet read that from the store. */
static void
step_down (struct placer *p, uint64_t fence, const char *reason)
{
  if (fence < p->lost_fence + 1)
    return;
  LOG_INFO ("step-down", "fence=%lu reason=%s", fence, reason);
  p->lost_fence = fence;
  if (p->fence == fence)
    set_holder_role (p, false);
}

/* Minimum time between two of this node's demand digests. Grows with the
   number of nodes, which bounds the load on the holder. */
static uint64_t
demand_gap_ms (const struct placer *p)
{
  return DIGEST_GAP_MIN_MS + placer_node_count (p) / NODES_PER_GAP_MS;
}

static void
on_run_timer (uv_timer_t *timer)
{
  struct placer *p = timer->data;

  if (clock_ms () >= p->demand_sent_ms + demand_gap_ms (p))
    placer_send_demand (p);
  run_placement (p);
}

static void
run_placement_soon (struct placer *p)
{
  if (!uv_is_active ((uv_handle_t *)&p->run_timer))
    uv_timer_start (&p->run_timer, on_run_timer, DIGEST_GAP_MIN_MS, 0);
}

static void
on_order_done (void *ctx, enum order_result result)
{
  struct server_request *r = ctx;
  struct placer *p = r->placer;

  if (result != ORDER_ACCEPTED && result != ORDER_HOLDS_ALREADY)
    LOG_INFO ("order-ended", "server=" STR_FMT " result=%s fence=%lu",
              STR_ARG (r->server_id), order_result_name (result), r->fence);
  metrics_add ("galenagate_orders_total", str_from (""), 1);
  if (result == ORDER_FENCED)
    step_down (p, r->fence, "fenced");
  p->has_unsent_changes = true;
  if (r->fence == p->fence)
    fleet_order_done (p->fleet, r->server_id, result, clock_ms ());
  str_free (&r->server_id);
  free (r);
  run_placement (p);
}

static bool
confirm_order (void *ctx)
{
  const struct server_request *r = ctx;

  return r->fence == r->placer->fence && may_send_orders (r->placer);
}

static const struct order_events order_events
    = { .confirm_send = confirm_order, .done = on_order_done };

static void
issue_order (struct placer *p, const struct fleet_server *s,
             struct order *order, const struct order_reason *why)
{
  struct server_request *r = xcalloc (1, sizeof *r);

  p->has_unsent_changes = true;
  order->holder = edge_settings ()->node_name;
  order->fence = p->fence;
  r->placer = p;
  r->server_id = str_dup (fleet_server_id (s));
  r->fence = p->fence;
  LOG_INFO (
      "order",
      "server=" STR_FMT " kind=%s model=" STR_FMT " adapter=" STR_FMT
      " need=%s weights=%s for=" STR_FMT " waiting=%u running=%u"
      " rate=%.2f replicas=%u target=%u order_count=%lu fence=%lu",
      STR_ARG (r->server_id), order->kind == ORDER_LOAD ? "load" : "unload",
      LOG_NAME_ARG (order->model), LOG_NAME_ARG (order->adapter), why->need,
      why->weights, LOG_NAME_ARG (why->for_model), why->waiting, why->running,
      why->rate, why->replicas, why->target, order->order_count, order->fence);
  order_send (p->http, order, &order_events, r);
}

static void
on_report (void *ctx, const struct server_report *report)
{
  struct server_request *r = ctx;
  struct placer *p = r->placer;

  p->has_unsent_changes = true;
  p->reports_in_flight--;
  if (r->fence == p->fence)
    fleet_report (p->fleet, r->server_id, report, clock_ms ());
  str_free (&r->server_id);
  free (r);
  run_placement (p);
}

static void
request_report (struct placer *p, const struct fleet_server *s)
{
  struct server_request *r = xcalloc (1, sizeof *r);

  r->placer = p;
  r->server_id = str_dup (fleet_server_id (s));
  r->fence = p->fence;
  p->reports_in_flight++;
  report_get (p->http, fleet_server_address (s), r->server_id, on_report, r);
}

/* One placement round of the holder: requests the reports and sends the orders
   that are due, then sends the changes to the other nodes. */
static void
run_placement (struct placer *p)
{
  struct fleet_server *s;
  struct order order;
  struct order_reason why;

  if (!p->is_holder)
    return;
  fleet_complete_orders (p->fleet, clock_ms ());
  while (p->reports_in_flight < REPORTS_IN_FLIGHT_MAX
         && (s = fleet_next_report (p->fleet, clock_ms ())))
    request_report (p, s);
  while (may_send_orders (p)
         && (s = fleet_next_order (p->fleet, clock_ms (), &order, &why)))
    issue_order (p, s, &order, &why);
  if (!placer_broadcast (p) && p->has_unsent_changes)
    run_placement_soon (p);
}

/* ---- datagrams ---- */

static struct follower *
find_or_add_follower (struct placer *p, struct str addr)
{
  struct follower *f;

  HASH_FIND (hh, p->followers, addr.data, addr.len, f);
  if (f || HASH_COUNT (p->followers) >= NODES_MAX)
    return f;
  f = xcalloc (1, sizeof *f);
  f->addr = str_dup (addr);
  f->needs_full_state = true;
  HASH_ADD_KEYPTR (hh, p->followers, f->addr.data, f->addr.len, f);
  return f;
}

/* Adds the known nodes as followers, so that a new holder's first digest
   reaches all of them. Nodes that cannot reach the store have no other way to
   learn of the new holder. */
static void
announce_to_known_nodes (struct placer *p)
{
  const uint64_t now = clock_ms ();
  struct known_node *k;
  struct known_node *next;

  HASH_ITER (hh, p->known_nodes, k, next)
  {
    struct follower *f = NULL;

    if (now < k->mentioned_ms + KNOWN_NODE_MS
        && !str_eq (k->addr, edge_settings ()->peer_addr))
      f = find_or_add_follower (p, k->addr);
    if (f)
      {
        f->last_digest_ms = now;
        /* The broadcast that follows sends all servers to all nodes. */
        f->needs_full_state = false;
      }
  }
}

/* Records the sender of a demand digest. Returns false for a digest older than
   the last one from the same process, and for a continuation of a digest that
   was lost. */
static bool
update_follower (struct placer *p, struct str from, const entry_digest *d)
{
  struct follower *f = find_or_add_follower (p, from);

  if (!f)
    return true;
  if (d->instance == f->instance && d->sequence <= f->last_sequence)
    return false;
  if (d->continues
      && (d->instance != f->instance || d->sequence != f->last_sequence + 1))
    return false;
  f->instance = d->instance;
  f->last_sequence = d->sequence;
  f->last_digest_ms = clock_ms ();
  f->store_reachable = d->store_reachable;
  f->needs_full_state = f->needs_full_state || d->missed;
  return true;
}

static void
drop_silent_followers (struct placer *p)
{
  struct follower *f;
  struct follower *next;

  /* During an outage of the store a silent node may hold a later lease. */
  if (!holderlease_valid (p->lease))
    return;
  HASH_ITER (hh, p->followers, f, next)
  if (clock_ms () > f->last_digest_ms + NODE_SILENT_MS)
    {
      HASH_DEL (p->followers, f);
      str_free (&f->addr);
      free (f);
    }
}

static void
on_holder_digest (struct placer *p, struct str from, const holder_digest *d)
{
  if (p->is_holder && d->fence > p->fence)
    step_down (p, p->fence, "successor");
  if (!p->is_holder)
    placer_apply_holder_digest (p, from, d);
}

static void
on_entry_digest (struct placer *p, struct str from, const entry_digest *d)
{
  if (!p->is_holder || !update_follower (p, from, d))
    return;
  placer_apply_entry_digest (p, from, d);
  run_placement_soon (p);
}

static void
on_datagram (void *ctx, struct str from, const struct datagram *d)
{
  struct placer *p = ctx;

  switch (d->kind)
    {
    case DATAGRAM_ENTRY:
      on_entry_digest (p, from, &d->datagram_u.entry);
      return;
    case DATAGRAM_HOLDER:
      on_holder_digest (p, from, &d->datagram_u.holder);
      return;
    case DATAGRAM_QUOTA_DRAW:
      placer_apply_quota_draw (p, from, &d->datagram_u.quota_draw);
      return;
    case DATAGRAM_QUOTA_CREDIT:
      placer_apply_quota_credit (p, &d->datagram_u.quota_credit);
      return;
    }
}

static void
on_demand (void *ctx, const void *snapshot)
{
  (void)snapshot;
  run_placement_soon (ctx);
}

/* ---- lease ---- */

static void
update_holder_role (struct placer *p)
{
  const uint64_t fence = holderlease_fence (p->lease);

  /* A node whose lease expired sends no orders, but stays the recipient of all
     demand until another node holds the lease. */
  set_holder_role (p, fence > p->lost_fence && fence >= p->holder_fence);
  if (!p->is_holder || fence == p->fence)
    return;
  p->fence = fence;
  LOG_INFO ("term", "fence=%lu", fence);
  fleet_begin_term (p->fleet, holderlease_nodes (p->lease), clock_ms ());
  fleet_republish (p->fleet);
  quarantine_list_anew (site_quarantine (p->site));
  announce_to_known_nodes (p);
}

static void
on_lease_changed (void *ctx)
{
  struct placer *p = ctx;
  const struct str holder = holderlease_holder (p->lease);

  if (holder.len > 0 && clock_ms () > p->holder_seen_ms + HOLDER_SILENT_MS)
    str_assign (&p->holder_addr, holder);
  update_holder_role (p);
}

/* Lets the store's feeds use stale views as long as the holder sends current
   revisions. The holder itself must read fresh. */
static void
check_staleness (struct placer *p, uint64_t now)
{
  struct platform_revisions revisions = p->holder_revisions;

  revisions.current = revisions.current && !p->is_holder
                      && now <= p->holder_seen_ms + HOLDER_SILENT_MS;
  platform_check_staleness (platform_get (p->kernel), &revisions);
}

/* Returns true if the holder reads the store and this node doesn't, so that
   changes reach others only. */
static bool
is_cut_off (const struct placer *p, uint64_t now)
{
  return !p->store_reachable && p->holder_revisions.current
         && now <= p->holder_seen_ms + HOLDER_SILENT_MS;
}

static void
on_tick (uv_timer_t *timer)
{
  struct placer *p = timer->data;
  const uint64_t now = clock_ms ();

  holderlease_set_candidate (
      p->lease,
      !kernel_draining (p->kernel)
          && (p->is_holder || now > p->holder_seen_ms + HOLDER_SILENT_MS));
  holderlease_step (p->lease);
  update_holder_role (p);
  placer_quota_step (p);
  check_staleness (p, now);
  if (now >= p->demand_sent_ms + DEMAND_INTERVAL_MS)
    placer_send_demand (p);
  fleet_expire (p->fleet, now);
  quarantine_store_step (p->quarantine_store, holderlease_valid (p->lease),
                         now);
  streamorigins_store_step (site_streamorigins_store (p->site),
                            placer_node_count (p), is_cut_off (p, now), now);
  if (!p->is_holder)
    return;
  drop_silent_followers (p);
  holderlease_set_node_count (p->lease, nodecount_max (&p->nodes));
  run_placement (p);
}

/* ---- events of the platform ---- */

static void
on_server (void *ctx, const struct server_entry *e)
{
  struct placer *p = ctx;

  fleet_update_server (p->fleet, e);
}

static void
on_server_removed (void *ctx, struct str id)
{
  struct placer *p = ctx;

  fleet_remove_server (p->fleet, id);
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

  fleet_set_routing (p->fleet, snapshot,
                     (uint32_t)(edge_settings ()->load_window_s * 1000));
}

/* ---- plug-in ---- */

static void
on_draining (void *ctx, const void *snapshot)
{
  struct placer *p = ctx;

  (void)snapshot;
  /* A successor can take the lease while this node finishes its calls. */
  holderlease_release (p->lease);
}

static uint32_t
claim_delay_ms (const struct edge_settings *s)
{
  const double delay_ms = CLAIM_DELAY_MS_MBPS / s->link_mbps;

  return delay_ms < CLAIM_DELAY_MAX_MS ? (uint32_t)delay_ms
                                       : CLAIM_DELAY_MAX_MS;
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
  holderlease_set_delay (p->lease, claim_delay_ms (s));
  p->quarantine_store = quarantine_store_create (
      platform_objects (platform_get (kernel)), site_quarantine (p->site));
  p->peers = peers_create (loop, on_datagram, p);
  uv_timer_init (loop, &p->tick);
  uv_timer_init (loop, &p->run_timer);
  uv_timer_init (loop, &p->drain_timer);
  p->tick.data = p;
  p->run_timer.data = p;
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
  uv_close ((uv_handle_t *)&p->run_timer, NULL);
  uv_close ((uv_handle_t *)&p->drain_timer, NULL);
  peers_close (p->peers);
}

static void
destroy (struct plugin *plugin)
{
  struct placer *p = (struct placer *)plugin;
  struct follower *f;
  struct follower *next;
  struct known_node *k;
  struct known_node *next_known;

  HASH_ITER (hh, p->followers, f, next)
  {
    HASH_DEL (p->followers, f);
    str_free (&f->addr);
    free (f);
  }
  HASH_ITER (hh, p->known_nodes, k, next_known)
  {
    HASH_DEL (p->known_nodes, k);
    str_free (&k->addr);
    free (k);
  }
  fleet_destroy (p->fleet);
  holderlease_destroy (p->lease);
  quarantine_store_destroy (p->quarantine_store);
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
