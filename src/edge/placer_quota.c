#include "edge/placer_impl.h"

#include "clock.h"

/* A node sends its demand every 250 ms; one that sent none for this long uses
   its fallback. */
#define NODE_UNREACHABLE_MS 700

void
placer_quota_listen (struct placer *p,
                     const struct placer_quota_listener *listener, void *ctx)
{
  p->quota_listener = listener;
  p->quota_ctx = ctx;
}

static uint32_t
count_reachable_nodes (const struct placer *p)
{
  const uint64_t now = clock_ms ();
  uint32_t n = 1;

  for (const struct follower *f = p->followers; f; f = f->hh.next)
    n += now <= f->last_digest_ms + NODE_UNREACHABLE_MS;
  return n;
}

static void
begin_term (struct placer *p)
{
  if (p->quota_fence == p->fence)
    return;
  p->quota_fence = p->fence;
  p->quota_listener->term (p->quota_ctx);
}

void
placer_quota_step (struct placer *p)
{
  const bool active = placer_is_active (p);
  const struct placer_quota_nodes nodes = {
    .count = placer_node_count (p),
    .reached = active ? count_reachable_nodes (p) : 0,
    .holder_known = active || (!p->is_holder && p->holder_addr.len > 0),
  };

  if (!p->quota_listener)
    return;
  if (active)
    begin_term (p);
  p->quota_listener->tick (p->quota_ctx, &nodes);
}

void
placer_apply_quota_draw (struct placer *p, struct str from,
                         const quota_draw_digest *d)
{
  if (!placer_is_active (p) || !p->quota_listener)
    return;
  begin_term (p);
  p->quota_listener->draw (p->quota_ctx, from, d);
}

void
placer_apply_quota_credit (struct placer *p, const quota_credit_digest *d)
{
  if (d->fence < p->holder_fence || !p->quota_listener)
    return;
  p->quota_listener->credit (p->quota_ctx, d);
}

static void
send_datagram (struct placer *p, struct str to, const struct datagram *d)
{
  struct str bytes;

  if (peers_encode (d, &bytes) != 0)
    return;
  peers_send (p->peers, to, bytes);
  str_free (&bytes);
}

void
placer_quota_draw (struct placer *p, quota_draw_digest *draw)
{
  struct datagram d = { .kind = DATAGRAM_QUOTA_DRAW };

  draw->node = label_from_str (edge_settings ()->node_name);
  draw->instance = kernel_instance (p->kernel);
  if (p->is_holder)
    {
      placer_apply_quota_draw (p, edge_settings ()->peer_addr, draw);
      return;
    }
  if (p->holder_addr.len == 0)
    return;
  d.datagram_u.quota_draw = *draw;
  send_datagram (p, p->holder_addr, &d);
}

void
placer_quota_credit (struct placer *p, struct str to,
                     quota_credit_digest *credit)
{
  struct datagram d = { .kind = DATAGRAM_QUOTA_CREDIT };

  credit->fence = p->fence;
  if (str_eq (to, edge_settings ()->peer_addr))
    {
      placer_apply_quota_credit (p, credit);
      return;
    }
  d.datagram_u.quota_credit = *credit;
  send_datagram (p, to, &d);
}
