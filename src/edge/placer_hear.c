#include "edge/placer_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "placer"

/* What other nodes tell: the holder of servers, all of their demand. */

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
hear_crashes (struct placer *p, const crash_digest *crashes, u_int count)
{
  for (u_int i = 0; i < count; i++)
    {
      const struct death death = { crashes[i].fingerprint, crashes[i].server };

      crashers_merge (site_crashers (p->site), &death, clock_ms ());
    }
}

static void
know_node (struct placer *p, struct str addr)
{
  struct known_node *k;

  HASH_FIND (hh, p->known_nodes, addr.data, addr.len, k);
  if (!k && HASH_COUNT (p->known_nodes) < NODES_MAX)
    {
      k = xcalloc (1, sizeof *k);
      k->addr = str_dup (addr);
      HASH_ADD_KEYPTR (hh, p->known_nodes, k->addr.data, k->addr.len, k);
    }
  if (k)
    k->told_ms = clock_ms ();
}

static void
hear_nodes (struct placer *p, struct str from, const holder_digest *d)
{
  know_node (p, from);
  for (u_int i = 0; i < d->nodes.nodes_len; i++)
    know_node (p, label_str (d->nodes.nodes_val[i]));
}

/* Notes whether digests for all nodes were lost. */
static void
note_sequence (struct placer *p, const holder_digest *d)
{
  if (d->whole)
    p->missed = false;
  if (d->sequence == 0)
    return;
  if (d->sequence > p->heard_sequence + 1)
    p->missed = true;
  if (d->sequence > p->heard_sequence)
    p->heard_sequence = d->sequence;
}

void
placer_hear_holder (struct placer *p, struct str from, const holder_digest *d)
{
  if (d->fence < p->holder_fence)
    return;
  if (d->fence > p->holder_fence)
    {
      LOG_INFO ("holder", "holder=" STR_FMT " node=" STR_FMT " fence=%lu",
                STR_ARG (from), STR_ARG (label_str (d->node)), d->fence);
      p->heard_sequence = 0;
    }
  p->holder_fence = d->fence;
  note_sequence (p, d);
  /* A holder whose lease ran out is taken for silent, so that another node
     campaigns. */
  if (d->active)
    p->holder_heard_ms = clock_ms ();
  holderlease_hint (p->lease, d->lease_revision);
  p->news = (struct platform_news){
    .config_revision = d->config_revision,
    .servers_revision = d->servers_revision,
    .current = d->store_current,
  };
  nodecount_told (&p->nodes, d->entries, clock_ms ());
  metrics_set ("galenagate_nodes", STR (""), nodecount_most (&p->nodes));
  str_assign (&p->holder_addr, from);
  hear_nodes (p, from, d);
  hear_crashes (p, d->crashes.crashes_val, d->crashes.crashes_len);
  pool_heard (site_pool (p->site), clock_ms ());
  for (u_int i = 0; i < d->running.running_len; i++)
    pool_apply_running (site_pool (p->site), d->running.running_val[i].server,
                        d->running.running_val[i].running);
  for (u_int i = 0; i < d->servers.servers_len; i++)
    apply_server (p, &d->servers.servers_val[i]);
  kernel_publish (p->kernel, TOPIC_POOL, NULL, NULL);
}

void
placer_hear_entry (struct placer *p, struct str from, const entry_digest *d)
{
  const uint64_t now = clock_ms ();

  hear_crashes (p, d->crashes.crashes_val, d->crashes.crashes_len);
  fleet_node_begin (p->fleet, from, now);
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
        .rate = w->rate_milli / 1000.0,
        .idle_ms = w->idle_ms,
      };

      fleet_node_wish (p->fleet, from, &wish, now);
    }
  for (u_int i = 0; i < d->loads.loads_len; i++)
    {
      const load_digest *l = &d->loads.loads_val[i];

      fleet_node_load (p->fleet, from, l->server, l->running);
      if (l->unreached)
        fleet_suspect (p->fleet, l->server, now);
    }
}
