#include "edge/placer_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"

/* What this node tells the others: as holder of all servers, and to the holder
   of its own demand. */

/* The holder tells at this interval that it is alive. */
#define ALIVE_MS 250
/* A server is told again after the larger of these, also without a change: a
   time, and one for each server, so that what is told at rest does not grow
   with the servers. Nodes that notice a lost digest ask at once. */
#define REFRESH_MIN_MS 10000
#define REFRESH_SERVER_MS 100
/* Shortest pause between two digests for all nodes, and what each node that
   hears them adds to it. */
#define BROADCAST_GAP_MS 10
#define BROADCAST_GAP_NODE_MS 2
/* Part of the holder's link that digests may take; those for nodes that wait
   are sent beyond it and counted. */
#define LINK_SHARE 0.33
/* A series of digests for all nodes stops when its bytes fill the holder's
   part of the link for this long: a longer one would hold up the renewal of
   the lease and the node's own calls. */
#define BURST_MS 100
/* Bytes beside each datagram on the wire. */
#define DATAGRAM_HEADER_BYTES 42
#define BYTES_PER_MS_AND_MBPS 125.0
/* From this part of the nodes on that want to hear of all servers, all nodes
   are told. */
#define WHOLE_TO_ALL_DIVISOR 4
#define SERVERS_PER_DATAGRAM 4
#define RUNNING_PER_DATAGRAM 80
#define NODES_PER_DATAGRAM 8
/* A node tells the holder of deaths for this long; the holder tells all nodes
   of requests with so many deaths, for as long as they matter. */
#define CRASHES_NEW_MS 3000
#define CRASHES_TOLD 2
#define CRASHES_PER_DATAGRAM 32
/* Digests with all demand for a new holder, since some may be lost. */
#define WHOLE_DIGESTS 3

/* ---- servers ---- */

/* A digest of the holder that is being filled. */
struct outgoing
{
  struct placer *placer;
  struct str to; /* empty: all nodes */
  bool whole;    /* the first of all servers */
  server_digest servers[SERVERS_PER_DATAGRAM];
  u_int server_count;
  running_digest running[RUNNING_PER_DATAGRAM];
  u_int running_count;
};

static void
free_server_digest (server_digest *d)
{
  for (u_int i = 0; i < d->held.held_len; i++)
    free (d->held.held_val[i].adapters.adapters_val);
  free (d->held.held_val);
}

/* Some of the listeners, from where the last digest ended. */
static u_int
next_nodes (struct placer *p, label nodes[NODES_PER_DATAGRAM])
{
  const size_t count = HASH_COUNT (p->listeners);
  size_t place = 0;
  u_int n = 0;

  if (p->nodes_told >= count)
    p->nodes_told = 0;
  for (struct listener *l = p->listeners; l && n < NODES_PER_DATAGRAM;
       l = l->hh.next)
    if (place++ >= p->nodes_told)
      nodes[n++] = str_label (l->addr);
  p->nodes_told += n;
  return n;
}

/* Deaths that a digest tells. Returns their number. */
static u_int
next_crashes (struct placer *p, uint32_t least, uint32_t max_age_ms,
              crash_digest out[CRASHES_PER_DATAGRAM])
{
  struct death deaths[CRASHES_PER_DATAGRAM];
  const size_t n = crashers_tell (site_crashers (p->site), least, max_age_ms,
                                  clock_ms (), deaths, CRASHES_PER_DATAGRAM);

  for (size_t i = 0; i < n; i++)
    out[i] = (crash_digest){ deaths[i].fingerprint, deaths[i].server };
  return (u_int)n;
}

/* Notes until when the bytes fill this node's part of its link. */
static void
count_bytes (struct placer *p, size_t bytes)
{
  const double bytes_per_ms
      = edge_settings ()->link_mbps * BYTES_PER_MS_AND_MBPS * LINK_SHARE;
  const uint64_t now_us = clock_ms () * 1000;

  if (p->link_free_us < now_us)
    p->link_free_us = now_us;
  p->link_free_us += (uint64_t)((double)bytes * 1000 / bytes_per_ms);
}

static bool
link_is_free (const struct placer *p)
{
  return clock_ms () * 1000 >= p->link_free_us;
}

/* Must a series of digests for all nodes stop for now. */
static bool
burst_is_over (const struct placer *p)
{
  return p->link_free_us > (clock_ms () + BURST_MS) * 1000;
}

static void
send_to (struct placer *p, struct str addr, const struct datagram *d)
{
  struct str bytes;

  if (str_eq (addr, edge_settings ()->peer_addr))
    {
      placer_hear_holder (p, addr, &d->datagram_u.holder);
      return;
    }
  bytes = peers_encode (d);
  peers_send (p->peers, addr, bytes);
  count_bytes (p, bytes.len + DATAGRAM_HEADER_BYTES);
  str_free (&bytes);
}

static void
send_to_all (struct placer *p, const struct datagram *d)
{
  struct str bytes = peers_encode (d);

  for (struct listener *l = p->listeners; l; l = l->hh.next)
    peers_send (p->peers, l->addr, bytes);
  count_bytes (p, HASH_COUNT (p->listeners)
                      * (bytes.len + DATAGRAM_HEADER_BYTES));
  str_free (&bytes);
  placer_hear_holder (p, edge_settings ()->peer_addr, &d->datagram_u.holder);
}

static void
flush (struct outgoing *n)
{
  crash_digest crashes[CRASHES_PER_DATAGRAM];
  label nodes[NODES_PER_DATAGRAM];
  struct placer *p = n->placer;
  struct datagram d = { .kind = DATAGRAM_HOLDER };
  holder_digest *h = &d.datagram_u.holder;
  const struct platform_news news = platform_news (platform_get (p->kernel));
  const bool to_all = n->to.len == 0;
  /* Once in each series of digests for all nodes. */
  const bool tells_nodes = to_all && n->server_count < SERVERS_PER_DATAGRAM;

  h->node = str_label (edge_settings ()->node_name);
  h->fence = p->fence;
  h->sequence = to_all ? ++p->told_sequence : 0;
  h->whole = n->whole;
  h->active = placer_leads (p);
  h->lease_revision = holderlease_revision (p->lease);
  /* The lease shows that the store answers this node. */
  h->store_current = news.current && holderlease_valid (p->lease);
  h->config_revision = news.config_revision;
  h->servers_revision = news.servers_revision;
  h->entries = fleet_nodes (p->fleet, clock_ms ());
  h->nodes.nodes_val = nodes;
  h->nodes.nodes_len = tells_nodes ? next_nodes (p, nodes) : 0;
  h->crashes.crashes_val = crashes;
  h->crashes.crashes_len
      = tells_nodes
            ? next_crashes (p, CRASHES_TOLD, CRASHERS_REMEMBERED_MS, crashes)
            : 0;
  h->running.running_val = n->running;
  h->running.running_len = n->running_count;
  h->servers.servers_val = n->servers;
  h->servers.servers_len = n->server_count;
  if (to_all)
    send_to_all (p, &d);
  else
    send_to (p, n->to, &d);
  for (u_int i = 0; i < n->server_count; i++)
    free_server_digest (&n->servers[i]);
  n->server_count = 0;
  n->running_count = 0;
  n->whole = false;
}

static void
fill_adapters (const struct replica *r, uint64_t now, held_digest *out)
{
  out->adapters.adapters_val
      = xcalloc (r->adapter_count + 1, sizeof *out->adapters.adapters_val);
  for (size_t i = 0; i < r->adapter_count
                     && out->adapters.adapters_len < DIGEST_ADAPTERS_MAX;
       i++)
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

static void
fill_server (const struct fleet_view *v, uint64_t now, server_digest *d)
{
  *d = (server_digest){ .server = v->hash,
                        .order_count = v->order_count,
                        .running = v->running,
                        .placed = v->known };
  d->held.held_val = xcalloc (v->replica_count + 1, sizeof *d->held.held_val);
  for (size_t i = 0; i < v->replica_count && i < DIGEST_HELD_MAX; i++)
    {
      const struct replica *r = &v->replicas[i];
      held_digest *h = &d->held.held_val[d->held.held_len++];

      h->model = str_label (r->model);
      h->state = state_digest (r->state);
      h->ready_in_ms = r->ready_ms > now ? (u_int)(r->ready_ms - now) : 0;
      fill_adapters (r, now, h);
    }
}

static bool
add_server (void *ctx, const struct fleet_view *v)
{
  struct outgoing *n = ctx;

  fill_server (v, clock_ms (), &n->servers[n->server_count]);
  if (++n->server_count == SERVERS_PER_DATAGRAM)
    flush (n);
  /* What is for one node goes out whole. */
  return n->to.len > 0 || !burst_is_over (n->placer);
}

static void
add_running (void *ctx, uint64_t server, uint32_t running)
{
  struct outgoing *n = ctx;

  n->running[n->running_count++] = (running_digest){ server, running };
  if (n->running_count == RUNNING_PER_DATAGRAM)
    flush (n);
}

/* Nodes whose calls wait for something that became ready. */
static void
tell_waiter (void *ctx, struct str node, const struct fleet_view *v)
{
  struct outgoing n = { .placer = ctx, .to = node };

  add_server (&n, v);
  if (n.server_count > 0)
    flush (&n);
}

/* Nodes that want to hear of all servers, one at a time, or all nodes where
   many want to. */
static void
tell_all_servers (struct placer *p, uint64_t now)
{
  struct outgoing n = { .placer = p, .whole = true };
  struct listener *wants = NULL;
  size_t count = 0;

  for (struct listener *l = p->listeners; l; l = l->hh.next)
    if (l->wants_whole)
      {
        wants = l;
        count++;
      }
  if (count == 0 || !link_is_free (p))
    return;
  if (count > 1 && count * WHOLE_TO_ALL_DIVISOR > HASH_COUNT (p->listeners))
    {
      if (fleet_is_telling (p->fleet, now))
        return;
      for (struct listener *l = p->listeners; l; l = l->hh.next)
        l->wants_whole = false;
      fleet_retell (p->fleet);
      p->series_open = true;
    }
  else
    {
      wants->wants_whole = false;
      n.to = wants->addr;
      fleet_each_listed (p->fleet, add_server, &n);
    }
  if (n.whole || n.server_count > 0)
    flush (&n);
}

static uint32_t
refresh_ms (const struct placer *p)
{
  const uint32_t ms = fleet_servers (p->fleet) * REFRESH_SERVER_MS;

  return ms > REFRESH_MIN_MS ? ms : REFRESH_MIN_MS;
}

/* Without a digest for long, the nodes would take the holder for gone. */
static void
tell_alive (struct outgoing *n, uint64_t now)
{
  if (now < n->placer->broadcast_ms + ALIVE_MS)
    return;
  n->placer->broadcast_ms = now;
  flush (n);
}

bool
placer_broadcast (struct placer *p)
{
  struct outgoing n = { .placer = p };
  const uint64_t now = clock_ms ();
  const uint64_t sequence = p->told_sequence;

  fleet_each_awaited (p->fleet, now, tell_waiter, p);
  tell_all_servers (p, now);
  if (!p->series_open
      && now < p->scanned_ms + BROADCAST_GAP_MS
                   + BROADCAST_GAP_NODE_MS * HASH_COUNT (p->listeners))
    return false;
  if (!link_is_free (p))
    {
      tell_alive (&n, now);
      return false;
    }
  p->scanned_ms = now;
  fleet_each_running (p->fleet, add_running, &n);
  p->series_open
      = !fleet_each_changed (p->fleet, now, refresh_ms (p), add_server, &n);
  p->changed = p->series_open;
  if (n.server_count > 0 || n.running_count > 0)
    flush (&n);
  if (p->told_sequence != sequence)
    p->broadcast_ms = now;
  tell_alive (&n, now);
  return !p->series_open;
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

  if (t->count == DIGEST_DEMAND_MAX)
    return;
  t->items = xrealloc (t->items, (t->count + 1) * sizeof *t->items);
  t->items[t->count++] = (demand_digest){
    .service = str_label (i->service),
    .model = str_label (i->model),
    .adapter = str_label (i->adapter),
    .waiting = i->waiting,
    .running = i->running,
    .arrivals = i->arrivals,
    .rate_milli = (u_int)(i->rate * 1000),
    .idle_ms = i->idle_ms,
  };
}

/* A new holder knows nothing of the demand so far. */
static bool
tell_all_demand (struct placer *p)
{
  const uint64_t fence = p->holding ? p->fence : p->holder_fence;

  if (fence != p->told_fence)
    p->whole_left = WHOLE_DIGESTS;
  p->told_fence = fence;
  if (p->whole_left == 0)
    return false;
  p->whole_left--;
  return true;
}

void
placer_tell_demand (struct placer *p)
{
  struct datagram d = { .kind = DATAGRAM_ENTRY };
  entry_digest *e = &d.datagram_u.entry;
  struct told_demand t = { 0 };
  crash_digest crashes[CRASHES_PER_DATAGRAM];
  struct pool_load *loads = xcalloc (DIGEST_LOADS_MAX, sizeof *loads);
  load_digest *told = xcalloc (DIGEST_LOADS_MAX, sizeof *told);
  size_t n;

  p->told_ms = clock_ms ();
  n = pool_loads (site_pool (p->site), p->told_ms, loads, DIGEST_LOADS_MAX);
  for (size_t i = 0; i < n; i++)
    told[i] = (load_digest){ .server = loads[i].server,
                             .running = loads[i].running,
                             .unreached = loads[i].unreached };
  demand_take (site_demand (p->site), tell_all_demand (p), p->told_ms,
               add_demand, &t);
  e->node = str_label (edge_settings ()->node_name);
  e->instance = kernel_instance (p->kernel);
  e->sequence = ++p->sequence;
  e->store_reachable = p->store_reachable;
  e->missed = p->missed;
  e->demand.demand_val = t.items;
  e->demand.demand_len = t.count;
  e->loads.loads_val = told;
  e->loads.loads_len = (u_int)n;
  e->crashes.crashes_val = crashes;
  e->crashes.crashes_len = next_crashes (p, 1, CRASHES_NEW_MS, crashes);
  if (p->holding)
    placer_hear_entry (p, edge_settings ()->peer_addr, e);
  else if (p->holder_addr.len > 0)
    {
      struct str bytes = peers_encode (&d);

      peers_send (p->peers, p->holder_addr, bytes);
      str_free (&bytes);
    }
  free (t.items);
  free (told);
  free (loads);
}
