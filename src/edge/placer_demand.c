#include "edge/placer_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"

/* Digests with this node's own demand, which it sends to the holder. */

/* Number of digests with the full demand that are sent to a new holder,
   because datagrams may be lost. */
#define FULL_DEMAND_DIGESTS 3

u_int
placer_collect_crashes (struct placer *p, enum quarantine_scope scope,
                        crash_digest out[CRASHES_PER_DATAGRAM])
{
  struct crash_evidence found[CRASHES_PER_DATAGRAM];
  const size_t n = quarantine_list (site_quarantine (p->site), scope,
                                    clock_ms (), found, CRASHES_PER_DATAGRAM);

  for (size_t i = 0; i < n; i++)
    out[i] = (crash_digest){
      .kind = found[i].crash.kind,
      .fingerprint = found[i].crash.fingerprint,
      .server = found[i].crash.server,
      .next_part = found[i].crash.next_part,
      .age_ms = found[i].age_ms,
    };
  return (u_int)n;
}

struct demand_list
{
  demand_digest *items;
  size_t count;
  size_t capacity;
};

static void
add_demand (void *ctx, const struct demand_item *i)
{
  struct demand_list *l = ctx;

  if (l->count == l->capacity)
    {
      l->capacity = l->capacity ? 2 * l->capacity : 64;
      l->items = xrealloc (l->items, l->capacity * sizeof *l->items);
    }
  l->items[l->count++] = (demand_digest){
    .model = demand_model_hash (i->service, i->model),
    .adapter = label_from_str (i->adapter),
    .waiting = i->waiting,
    .running = i->running,
    .arrivals = i->arrivals,
    .rate_milli = (u_int)(i->rate * 1000),
    .idle_ms = i->idle_ms,
  };
}

/* Returns true if the next digest must list the full demand, which a new
   holder does not have yet. */
static bool
full_demand_due (struct placer *p)
{
  const uint64_t fence = p->is_holder ? p->fence : p->holder_fence;

  if (fence != p->demand_sent_fence)
    p->full_demand_left = FULL_DEMAND_DIGESTS;
  p->demand_sent_fence = fence;
  if (p->full_demand_left == 0)
    return false;
  p->full_demand_left--;
  return true;
}

/* Returns the number of loads listed. */
static u_int
collect_loads (struct placer *p, load_digest *out)
{
  struct pool_load_report *loads = xcalloc (DIGEST_LOADS_MAX, sizeof *loads);
  const size_t n = pool_report_loads (site_pool (p->site), p->demand_sent_ms,
                                      loads, DIGEST_LOADS_MAX);

  for (size_t i = 0; i < n; i++)
    out[i] = (load_digest){ .server = loads[i].server,
                            .running = loads[i].running,
                            .unreached = loads[i].unreached };
  free (loads);
  return (u_int)n;
}

static void
send_entry_digest (struct placer *p, const struct datagram *d)
{
  struct str bytes;

  if (p->is_holder)
    {
      placer_apply_entry_digest (p, edge_settings ()->peer_addr,
                                 &d->datagram_u.entry);
      return;
    }
  if (p->holder_addr.len == 0 || peers_encode (d, &bytes) != 0)
    return;
  peers_send (p->peers, p->holder_addr, bytes);
  str_free (&bytes);
}

/* Sends the demand in as many digests as it needs. */
static void
send_demand_list (struct placer *p, struct datagram *d,
                  const struct demand_list *list)
{
  entry_digest *e = &d->datagram_u.entry;
  size_t sent = 0;

  do
    {
      const size_t left = list->count - sent;

      e->sequence = ++p->demand_sequence;
      e->demand.demand_val = list->items + sent;
      e->demand.demand_len
          = (u_int)(left < DIGEST_DEMAND_MAX ? left : DIGEST_DEMAND_MAX);
      send_entry_digest (p, d);
      sent += e->demand.demand_len;
      e->continues = true;
      e->loads.loads_len = 0;
      e->crashes.crashes_len = 0;
    }
  while (sent < list->count);
}

void
placer_send_demand (struct placer *p)
{
  struct datagram d = { .kind = DATAGRAM_ENTRY };
  entry_digest *e = &d.datagram_u.entry;
  struct demand_list list = { 0 };
  crash_digest crashes[CRASHES_PER_DATAGRAM];
  load_digest *loads = xcalloc (DIGEST_LOADS_MAX, sizeof *loads);

  p->demand_sent_ms = clock_ms ();
  demand_take (site_demand (p->site), full_demand_due (p), p->demand_sent_ms,
               add_demand, &list);
  e->node = label_from_str (edge_settings ()->node_name);
  e->instance = kernel_instance (p->kernel);
  e->store_reachable = p->store_reachable;
  e->missed = p->digests_missed;
  e->loads.loads_val = loads;
  e->loads.loads_len = collect_loads (p, loads);
  e->crashes.crashes_val = crashes;
  /* The holder's own lists are for all nodes. */
  if (!p->is_holder)
    e->crashes.crashes_len
        = placer_collect_crashes (p, QUARANTINE_OWN, crashes);
  send_demand_list (p, &d, &list);
  free (list.items);
  free (loads);
}
