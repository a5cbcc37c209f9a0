#include "edge/placer_impl.h"

#include "clock.h"
#include "log.h"

#define LOG_MODULE "placer"
/* Nodes that get no answer use their fallbacks after 120 ms. A holder that did
   not run for longer than this begins its buckets anew, because what they
   would be refilled by meanwhile may have been used by the fallbacks. */
#define ACTIVE_GAP_MS 200

void
placer_quota_listen (struct placer *p,
                     const struct placer_quota_listener *listener, void *ctx)
{
  p->quota_listener = listener;
  p->quota_ctx = ctx;
}

bool
placer_quota_holder_known (const struct placer *p)
{
  return p->is_holder ? placer_is_active (p) : p->holder_addr.len > 0;
}

void
placer_quota_step (struct placer *p)
{
  const uint64_t now = clock_ms ();

  if (!placer_is_active (p) || !p->quota_listener)
    return;
  if (p->quota_fence != p->fence || now > p->quota_active_ms + ACTIVE_GAP_MS)
    {
      LOG_INFO ("quota-term", "fence=%lu inactive_ms=%lu", p->fence,
                p->quota_fence == p->fence ? now - p->quota_active_ms : 0);
      p->quota_listener->term (p->quota_ctx);
    }
  p->quota_fence = p->fence;
  p->quota_active_ms = now;
}

void
placer_apply_quota_draw (struct placer *p, struct str from,
                         const quota_draw_digest *d)
{
  if (!placer_is_active (p) || !p->quota_listener)
    return;
  /* The tick may be later than the draw after the process was stopped. */
  placer_quota_step (p);
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
