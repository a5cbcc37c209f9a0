#include "edge/placer_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"

#define LOG_MODULE "placer"

/* Digests with the state of all servers that this node sends as the holder. */

/* Maximum time between two of the holder's digests to all nodes. */
#define KEEPALIVE_MS 250
/* The state of an unchanged server is sent again after the larger of these: a
   fixed time, and a time per known server, so that the traffic without changes
   does not grow with the number of servers. A node that detects a lost digest
   immediately requests the state of all servers. */
#define REFRESH_MIN_MS 10000
#define REFRESH_SERVER_MS 100
/* Minimum time between two scans for changes to send to all nodes: a fixed
   part, and a part per follower. */
#define BROADCAST_GAP_MS 10
#define BROADCAST_GAP_NODE_MS 2
/* Share of the holder's link that digests may use. Digests to nodes with
   waiting calls are sent even beyond it, and are counted. */
#define LINK_SHARE 0.33
/* A series of digests to all nodes is interrupted when its bytes occupy the
   digests' share of the link for this long. A longer one would delay the
   renewal of the lease and the node's own calls. */
#define BURST_MS 100
/* Ethernet, IP and UDP headers of each datagram. */
#define DATAGRAM_HEADER_BYTES 42
#define BYTES_PER_MS_AND_MBPS 125.0
/* If more than one in this many followers needs the full state, it is sent to
   all nodes. */
#define FULL_BROADCAST_DIVISOR 4
#define SERVERS_PER_DATAGRAM 4
/* Bytes of the servers in a datagram; the rest of it is left for the other
   lists. */
#define SERVERS_MAX_BYTES (DIGEST_BYTES_MAX - 16384)
#define RUNNING_PER_DATAGRAM 80
#define NODES_PER_DATAGRAM 8
/* Collects servers, and sends them in one or more of the holder's digests. */
struct digest_builder
{
  struct placer *placer;
  struct str to; /* empty: all nodes */
  bool whole;    /* the next digest starts a transfer of all servers */
  server_digest servers[SERVERS_PER_DATAGRAM];
  u_int server_count;
  size_t server_bytes;
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

/* Collects the addresses of some followers, going on after those of the last
   digest. Returns their number. */
static u_int
collect_nodes (struct placer *p, label nodes[NODES_PER_DATAGRAM])
{
  const size_t count = HASH_COUNT (p->followers);
  size_t index = 0;
  u_int n = 0;

  if (p->next_follower >= count)
    p->next_follower = 0;
  for (struct follower *f = p->followers; f && n < NODES_PER_DATAGRAM;
       f = f->hh.next)
    if (index++ >= p->next_follower)
      nodes[n++] = label_from_str (f->addr);
  p->next_follower += n;
  return n;
}

/* Charges sent bytes to the digests' share of the link. */
static void
charge_link (struct placer *p, size_t bytes)
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

/* Returns true if a series of digests to all nodes must be interrupted. */
static bool
burst_limit_reached (const struct placer *p)
{
  return p->link_free_us > (clock_ms () + BURST_MS) * 1000;
}

static void
send_to (struct placer *p, struct str addr, const struct datagram *d)
{
  struct str bytes;

  if (str_eq (addr, edge_settings ()->peer_addr))
    {
      placer_apply_holder_digest (p, addr, &d->datagram_u.holder);
      return;
    }
  if (peers_encode (d, &bytes) != 0)
    return;
  peers_send (p->peers, addr, bytes);
  charge_link (p, bytes.len + DATAGRAM_HEADER_BYTES);
  str_free (&bytes);
}

static void
send_to_all (struct placer *p, const struct datagram *d)
{
  struct str bytes;

  if (peers_encode (d, &bytes) != 0)
    return;
  for (struct follower *f = p->followers; f; f = f->hh.next)
    peers_send (p->peers, f->addr, bytes);
  charge_link (p, HASH_COUNT (p->followers)
                      * (bytes.len + DATAGRAM_HEADER_BYTES));
  str_free (&bytes);
  placer_apply_holder_digest (p, edge_settings ()->peer_addr,
                              &d->datagram_u.holder);
}

static void
flush_digest (struct digest_builder *b)
{
  crash_digest crashes[CRASHES_PER_DATAGRAM];
  label nodes[NODES_PER_DATAGRAM];
  struct placer *p = b->placer;
  struct datagram d = { .kind = DATAGRAM_HOLDER };
  holder_digest *h = &d.datagram_u.holder;
  const struct platform_revisions revisions
      = platform_revisions (platform_get (p->kernel));
  const bool to_all = b->to.len == 0;
  /* The last digest of a series to all nodes has room for these lists. */
  const bool includes_nodes = to_all && b->server_count < SERVERS_PER_DATAGRAM;

  h->node = label_from_str (edge_settings ()->node_name);
  h->fence = p->fence;
  h->sequence = to_all ? ++p->broadcast_sequence : 0;
  h->whole = b->whole;
  h->active = placer_is_active (p);
  h->store_era = revisions.era;
  h->lease_revision = holderlease_revision (p->lease);
  /* A valid lease implies that the store answered this node recently. */
  h->store_current = revisions.current && holderlease_valid (p->lease);
  h->config_revision = revisions.config_revision;
  h->servers_revision = revisions.servers_revision;
  h->entries = fleet_nodes (p->fleet, clock_ms ());
  h->nodes.nodes_val = nodes;
  h->nodes.nodes_len = includes_nodes ? collect_nodes (p, nodes) : 0;
  h->crashes.crashes_val = crashes;
  h->crashes.crashes_len
      = includes_nodes ? placer_collect_crashes (p, QUARANTINE_ALL, crashes)
                       : 0;
  h->running.running_val = b->running;
  h->running.running_len = b->running_count;
  h->servers.servers_val = b->servers;
  h->servers.servers_len = b->server_count;
  if (to_all)
    send_to_all (p, &d);
  else
    send_to (p, b->to, &d);
  for (u_int i = 0; i < b->server_count; i++)
    free_server_digest (&b->servers[i]);
  b->server_count = 0;
  b->server_bytes = 0;
  b->running_count = 0;
  b->whole = false;
}

static void
fill_adapters (const struct replica *r, uint64_t now, held_digest *out)
{
  out->adapters.adapters_val
      = xcalloc (r->adapter_count + 1, sizeof *out->adapters.adapters_val);
  for (size_t i = 0; i < r->adapter_count; i++)
    if (r->adapters[i].ready_ms <= now)
      out->adapters.adapters_val[out->adapters.adapters_len++]
          = label_from_str (r->adapters[i].name);
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
                        .placed = v->confirmed };
  d->held.held_val = xcalloc (v->replica_count + 1, sizeof *d->held.held_val);
  for (size_t i = 0; i < v->replica_count; i++)
    {
      const struct replica *r = &v->replicas[i];
      held_digest *h = &d->held.held_val[d->held.held_len++];

      h->model = label_from_str (r->model);
      h->state = state_digest (r->state);
      h->ready_in_ms = r->ready_ms > now ? (u_int)(r->ready_ms - now) : 0;
      fill_adapters (r, now, h);
    }
}

/* Returns the encoded size of a server, or SIZE_MAX if a list exceeds its
   bound. */
static size_t
encoded_size (const server_digest *d)
{
  if (d->held.held_len > DIGEST_HELD_MAX)
    return SIZE_MAX;
  for (u_int i = 0; i < d->held.held_len; i++)
    if (d->held.held_val[i].adapters.adapters_len > DIGEST_ADAPTERS_MAX)
      return SIZE_MAX;
  return xdr_sizeof ((xdrproc_t)xdr_server_digest, (void *)d);
}

/* Fills in a server without its models if they do not fit into a datagram.
   Returns its encoded size. */
static size_t
fill_bounded_server (const struct fleet_view *v, server_digest *d)
{
  size_t bytes;

  fill_server (v, clock_ms (), d);
  bytes = encoded_size (d);
  if (bytes <= SERVERS_MAX_BYTES)
    return bytes;
  LOG_WARN ("server-too-large", "server=%016lx models=%zu", v->hash,
            v->replica_count);
  free_server_digest (d);
  d->held.held_val = NULL;
  d->held.held_len = 0;
  d->omitted = true;
  return encoded_size (d);
}

static bool
add_server (void *ctx, const struct fleet_view *v)
{
  struct digest_builder *b = ctx;
  server_digest d;
  const size_t bytes = fill_bounded_server (v, &d);

  if (b->server_bytes + bytes > SERVERS_MAX_BYTES)
    flush_digest (b);
  b->servers[b->server_count++] = d;
  b->server_bytes += bytes;
  if (b->server_count == SERVERS_PER_DATAGRAM)
    flush_digest (b);
  /* A series to a single node is not interrupted. */
  return b->to.len > 0 || !burst_limit_reached (b->placer);
}

static void
add_running (void *ctx, uint64_t server, uint32_t running)
{
  struct digest_builder *b = ctx;

  b->running[b->running_count++] = (running_digest){ server, running };
  if (b->running_count == RUNNING_PER_DATAGRAM)
    flush_digest (b);
}

/* Sends a server to a node whose calls wait for a model there. */
static void
notify_waiting_node (void *ctx, struct str node, const struct fleet_view *v)
{
  struct digest_builder b = { .placer = ctx, .to = node };

  add_server (&b, v);
  if (b.server_count > 0)
    flush_digest (&b);
}

/* Sends the state of all servers to a follower that needs it, one follower per
   call, or lets it be broadcast if many need it. */
static void
send_full_state (struct placer *p, uint64_t now)
{
  struct digest_builder b = { .placer = p, .whole = true };
  struct follower *waiting = NULL;
  size_t count = 0;

  for (struct follower *f = p->followers; f; f = f->hh.next)
    if (f->needs_full_state)
      {
        waiting = f;
        count++;
      }
  if (count == 0 || !link_is_free (p))
    return;
  if (count > 1 && count * FULL_BROADCAST_DIVISOR > HASH_COUNT (p->followers))
    {
      if (fleet_has_updates (p->fleet, now))
        return;
      for (struct follower *f = p->followers; f; f = f->hh.next)
        f->needs_full_state = false;
      fleet_republish (p->fleet);
      p->broadcast_pending = true;
    }
  else
    {
      waiting->needs_full_state = false;
      b.to = waiting->addr;
      fleet_each_listed (p->fleet, add_server, &b);
    }
  if (b.whole || b.server_count > 0)
    flush_digest (&b);
}

static uint32_t
refresh_ms (const struct placer *p)
{
  const uint32_t ms = fleet_servers (p->fleet) * REFRESH_SERVER_MS;

  return ms > REFRESH_MIN_MS ? ms : REFRESH_MIN_MS;
}

/* Sends a digest if the last one to all nodes is too old. Without it the nodes
   would presume the holder dead. */
static void
send_keepalive (struct digest_builder *b, uint64_t now)
{
  if (now < b->placer->broadcast_ms + KEEPALIVE_MS)
    return;
  b->placer->broadcast_ms = now;
  flush_digest (b);
}

bool
placer_broadcast (struct placer *p)
{
  struct digest_builder b = { .placer = p };
  const uint64_t now = clock_ms ();
  const uint64_t sequence = p->broadcast_sequence;

  fleet_each_waiting_node (p->fleet, now, notify_waiting_node, p);
  send_full_state (p, now);
  if (!p->broadcast_pending
      && now < p->changes_scanned_ms + BROADCAST_GAP_MS
                   + BROADCAST_GAP_NODE_MS * HASH_COUNT (p->followers))
    return false;
  if (!link_is_free (p))
    {
      send_keepalive (&b, now);
      return false;
    }
  p->changes_scanned_ms = now;
  fleet_each_running (p->fleet, add_running, &b);
  p->broadcast_pending
      = !fleet_each_changed (p->fleet, now, refresh_ms (p), add_server, &b);
  p->has_unsent_changes = p->broadcast_pending;
  if (b.server_count > 0 || b.running_count > 0)
    flush_digest (&b);
  if (p->broadcast_sequence != sequence)
    p->broadcast_ms = now;
  send_keepalive (&b, now);
  return !p->broadcast_pending;
}
