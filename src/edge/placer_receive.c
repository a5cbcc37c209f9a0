#include "edge/placer_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "placer"

/* Digests received from other nodes: the state of the servers from the holder,
   and the demand of each node. */

static void
apply_server (struct placer *p, const server_digest *d)
{
  struct pool_model_info *models
      = xcalloc (d->held.held_len + 1, sizeof *models);
  const struct pool_view view = {
    .server = d->server,
    .order_count = d->order_count,
    .running = d->running,
    .models_known = d->placed && !d->omitted,
    .models_omitted = d->omitted,
    .models = models,
    .model_count = d->held.held_len,
  };

  for (u_int i = 0; i < d->held.held_len; i++)
    {
      const held_digest *h = &d->held.held_val[i];
      struct str *adapters
          = xcalloc (h->adapters.adapters_len + 1, sizeof *adapters);

      for (u_int j = 0; j < h->adapters.adapters_len; j++)
        adapters[j] = label_to_str (h->adapters.adapters_val[j]);
      models[i] = (struct pool_model_info){
        .model = label_to_str (h->model),
        .state = (enum pool_model_state)h->state,
        .ready_in_ms = h->ready_in_ms,
        .adapters = adapters,
        .adapter_count = h->adapters.adapters_len,
      };
    }
  pool_apply_view (site_pool (p->site), &view, clock_ms ());
  for (u_int i = 0; i < d->held.held_len; i++)
    free ((void *)models[i].adapters);
  free (models);
}

static void
merge_crashes (struct placer *p, const crash_digest *crashes, u_int count)
{
  for (u_int i = 0; i < count; i++)
    {
      const struct crash_evidence evidence = {
        .crash = { .fingerprint = crashes[i].fingerprint,
                   .server = crashes[i].server,
                   .next_part = crashes[i].next_part,
                   .kind = crashes[i].kind },
        .age_ms = crashes[i].age_ms,
      };

      /* Nodes of a later version may know more kinds. */
      if (crashes[i].kind < QUARANTINE_KINDS)
        quarantine_merge (site_quarantine (p->site), &evidence, clock_ms ());
    }
}

static void
remember_node (struct placer *p, struct str addr)
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
    k->mentioned_ms = clock_ms ();
}

static void
remember_listed_nodes (struct placer *p, struct str from,
                       const holder_digest *d)
{
  remember_node (p, from);
  for (u_int i = 0; i < d->nodes.nodes_len; i++)
    remember_node (p, label_to_str (d->nodes.nodes_val[i]));
}

/* Records whether digests to all nodes were lost. A transfer of all servers
   makes up for earlier losses. */
static void
track_sequence (struct placer *p, const holder_digest *d)
{
  if (d->whole)
    p->digests_missed = false;
  if (d->sequence == 0)
    return;
  if (d->sequence > p->holder_sequence + 1)
    p->digests_missed = true;
  if (d->sequence > p->holder_sequence)
    p->holder_sequence = d->sequence;
}

void
placer_apply_holder_digest (struct placer *p, struct str from,
                            const holder_digest *d)
{
  if (d->fence < p->holder_fence)
    return;
  if (d->fence > p->holder_fence)
    {
      LOG_INFO ("holder", "holder=" STR_FMT " node=" STR_FMT " fence=%lu",
                STR_ARG (from), STR_ARG (label_to_str (d->node)), d->fence);
      p->holder_sequence = 0;
      quarantine_list_anew (site_quarantine (p->site));
    }
  p->holder_fence = d->fence;
  track_sequence (p, d);
  /* A holder that may not send orders counts as silent, so that other nodes
     become candidates for the lease. */
  if (d->active)
    p->holder_seen_ms = clock_ms ();
  holderlease_hint (p->lease, d->fence, d->store_era, d->lease_revision);
  p->holder_revisions = (struct platform_revisions){
    .era = d->store_era,
    .config_revision = d->config_revision,
    .servers_revision = d->servers_revision,
    .current = d->store_current,
  };
  nodecount_record (&p->nodes, d->entries, clock_ms ());
  metrics_set ("galenagate_nodes", STR (""), nodecount_max (&p->nodes));
  str_assign (&p->holder_addr, from);
  remember_listed_nodes (p, from, d);
  merge_crashes (p, d->crashes.crashes_val, d->crashes.crashes_len);
  pool_renew_views (site_pool (p->site), clock_ms ());
  for (u_int i = 0; i < d->running.running_len; i++)
    pool_apply_running (site_pool (p->site), d->running.running_val[i].server,
                        d->running.running_val[i].running);
  for (u_int i = 0; i < d->servers.servers_len; i++)
    apply_server (p, &d->servers.servers_val[i]);
  kernel_publish (p->kernel, TOPIC_POOL, NULL, NULL);
}

void
placer_apply_entry_digest (struct placer *p, struct str from,
                           const entry_digest *d)
{
  const uint64_t now = clock_ms ();

  merge_crashes (p, d->crashes.crashes_val, d->crashes.crashes_len);
  if (!d->continues)
    fleet_begin_digest (p->fleet, from, now);
  for (u_int i = 0; i < d->demand.demand_len; i++)
    {
      const demand_digest *w = &d->demand.demand_val[i];
      struct node_demand demand = {
        .adapter = label_to_str (w->adapter),
        .waiting = w->waiting,
        .running = w->running,
        .arrivals = w->arrivals,
        .rate = w->rate_milli / 1000.0,
        .idle_ms = w->idle_ms,
      };

      /* A model that this node's configuration does not have yet comes again
         with the next digest. */
      if (fleet_find_model (p->fleet, w->model, &demand.service,
                            &demand.model))
        fleet_add_node_demand (p->fleet, from, &demand, now);
    }
  for (u_int i = 0; i < d->loads.loads_len; i++)
    {
      const load_digest *l = &d->loads.loads_val[i];

      fleet_add_node_load (p->fleet, from, l->server, l->running);
      if (l->unreached)
        fleet_suspect (p->fleet, l->server, now);
    }
}
