#include "edge/fleet_impl.h"

#include <math.h>
#include <stdlib.h>

#include "edge/demand.h"
#include "err.h"

/* Demand as reported by the nodes. */

/* Time constant of the decay of the number of concurrent calls. */
#define CONCURRENCY_DECAY_MS 5000.0
/* A node is dropped when its last demand digest is older than this. */
#define NODE_DEMAND_MAX_AGE_MS 1500
/* Within this time all nodes learn of a new holder and send it a digest. */
#define NODES_SETTLE_MS 2000

/* ---- models and adapters ---- */

double
fleet_rate (const struct total_demand *w, uint64_t now)
{
  const double age_ms = now > w->rate_ms ? (double)(now - w->rate_ms) : 0;

  return demand_rate (w->rate, age_ms, 0);
}

uint64_t
fleet_rate_falls_ms (const struct total_demand *w, double rate)
{
  return w->rate_ms + (uint64_t)(DEMAND_RATE_MS * log (w->rate / rate));
}

static void
count_arrivals (struct total_demand *w, uint32_t arrivals, uint64_t now)
{
  w->rate = demand_rate (fleet_rate (w, now), 0, arrivals);
  w->rate_ms = now;
  if (arrivals > 0)
    w->used_ms = now;
}

/* Adds the calls that the node counted before its first digest to this
   holder. */
static void
add_initial_rate (struct total_demand *w, const struct node_demand *from,
                  uint64_t now)
{
  const uint64_t used_ms = now > from->idle_ms ? now - from->idle_ms : 0;

  w->rate += from->rate;
  if (from->rate > 0 && (used_ms > w->used_ms || w->used_ms == now))
    w->used_ms = used_ms;
}

double
fleet_concurrency (const struct total_demand *w, uint64_t now)
{
  const double age
      = now > w->concurrency_ms ? (double)(now - w->concurrency_ms) : 0;
  const double decayed = w->concurrency * exp (-age / CONCURRENCY_DECAY_MS);
  const double current = w->running + w->waiting;

  return current > decayed ? current : decayed;
}

uint64_t
fleet_concurrency_falls_ms (const struct total_demand *w, double concurrency)
{
  if (w->running + w->waiting > concurrency || w->concurrency <= 0)
    return UINT64_MAX;
  return w->concurrency_ms
         + (uint64_t)(CONCURRENCY_DECAY_MS
                      * log (w->concurrency / concurrency));
}

static void
update_adapter_lists (struct fleet *f, struct fleet_adapter *a, uint64_t now)
{
  const bool waits = a->demand.waiting > 0;

  if (waits && !a->is_waiting)
    DL_APPEND2 (f->waiting_adapters, a, waiting_prev, waiting_next);
  if (!waits && a->is_waiting)
    DL_DELETE2 (f->waiting_adapters, a, waiting_prev, waiting_next);
  a->is_waiting = waits;
  if (a->is_hot || fleet_rate (&a->demand, now) <= PLAN_EXTRA_COPY_RATE)
    return;
  a->is_hot = true;
  DL_APPEND2 (f->hot_adapters, a, hot_prev, hot_next);
}

static void
demand_changed (struct fleet *f, struct total_demand *w, uint64_t now)
{
  if (w->adapter)
    update_adapter_lists (f, w->adapter, now);
  else
    fleet_mark_stale (f, w->model);
}

static struct total_demand *
find_total (struct fleet *f, const struct node_demand *from, uint64_t now)
{
  struct fleet_service *v = fleet_service_get (f, from->service);
  struct fleet_model *m = fleet_model_get (f, v, from->model);
  struct total_demand *w = from->adapter.len > 0
                               ? &fleet_adapter_get (m, from->adapter)->demand
                               : &m->demand;

  if (w->used_ms > 0)
    return w;
  w->rate_ms = now;
  w->used_ms = now;
  return w;
}

/* A model or adapter is kept while a node's digest refers to it. */
static void
ref (struct total_demand *w)
{
  if (w->adapter)
    w->adapter->refs++;
  else
    w->model->refs++;
}

static void
unref (struct total_demand *w)
{
  if (w->adapter)
    w->adapter->refs--;
  else
    w->model->refs--;
}

/* ---- nodes ---- */

static struct fleet_node *
find_node (const struct fleet *f, struct str name)
{
  struct fleet_node *n;

  HASH_FIND (hh, f->nodes, name.data, name.len, n);
  return n;
}

static void
add_running (struct fleet *f, uint64_t server, uint32_t added,
             uint32_t removed)
{
  struct fleet_server *s = fleet_find_hash (f, server);

  if (!s)
    return;
  s->running += added - removed;
  fleet_running_changed (f, s);
}

static void
add_waiter (struct fleet_model *m, struct fleet_node *n)
{
  if (m->waiter_count == m->waiter_capacity)
    {
      m->waiter_capacity = m->waiter_capacity ? 2 * m->waiter_capacity : 4;
      m->waiters
          = xrealloc (m->waiters, m->waiter_capacity * sizeof *m->waiters);
    }
  m->waiters[m->waiter_count++] = n;
}

static void
remove_waiter (struct fleet_model *m, const struct fleet_node *n)
{
  for (size_t i = 0; i < m->waiter_count; i++)
    if (m->waiters[i] == n)
      {
        m->waiters[i] = m->waiters[--m->waiter_count];
        return;
      }
}

static void
withdraw_demand (struct fleet *f, struct fleet_node *n, uint64_t now)
{
  for (size_t i = 0; i < n->share_count; i++)
    {
      struct total_demand *w = n->shares[i].total;

      w->waiting -= n->shares[i].waiting;
      w->running -= n->shares[i].running;
      if (!w->adapter && n->shares[i].waiting > 0)
        remove_waiter (w->model, n);
      unref (w);
      demand_changed (f, w, now);
    }
  for (size_t i = 0; i < n->load_count; i++)
    add_running (f, n->loads[i].server, 0, n->loads[i].running);
  n->share_count = 0;
  n->load_count = 0;
}

void
fleet_begin_digest (struct fleet *f, struct str name, uint64_t now)
{
  struct fleet_node *n = find_node (f, name);

  if (n)
    {
      n->has_reported = true;
      HASH_DEL (f->nodes, n);
    }
  else
    {
      n = xcalloc (1, sizeof *n);
      n->name = str_dup (name);
    }
  HASH_ADD_KEYPTR (hh, f->nodes, n->name.data, n->name.len, n);
  withdraw_demand (f, n, now);
  n->reported_ms = now;
}

static void
add_share (struct fleet_node *n, const struct demand_share *share)
{
  if (n->share_count == n->share_capacity)
    {
      n->share_capacity = n->share_capacity ? 2 * n->share_capacity : 16;
      n->shares = xrealloc (n->shares, n->share_capacity * sizeof *n->shares);
    }
  n->shares[n->share_count++] = *share;
}

void
fleet_add_node_demand (struct fleet *f, struct str name,
                       const struct node_demand *from, uint64_t now)
{
  struct fleet_node *n = find_node (f, name);
  struct total_demand *w = find_total (f, from, now);

  w->waiting += from->waiting;
  w->running += from->running;
  w->concurrency = fleet_concurrency (w, now);
  w->concurrency_ms = now;
  count_arrivals (w, from->arrivals, now);
  if (!n->has_reported)
    add_initial_rate (w, from, now);
  ref (w);
  if (!w->adapter && from->waiting > 0)
    add_waiter (w->model, n);
  add_share (n, &(struct demand_share){ w, from->waiting, from->running });
  demand_changed (f, w, now);
}

void
fleet_add_node_load (struct fleet *f, struct str name, uint64_t server,
                     uint32_t running)
{
  struct fleet_node *n = find_node (f, name);

  if (!fleet_find_hash (f, server))
    return;
  add_running (f, server, running, 0);
  if (n->load_count == n->load_capacity)
    {
      n->load_capacity = n->load_capacity ? 2 * n->load_capacity : 16;
      n->loads = xrealloc (n->loads, n->load_capacity * sizeof *n->loads);
    }
  n->loads[n->load_count++]
      = (struct node_load){ .server = server, .running = running };
}

uint32_t
fleet_servers (const struct fleet *f)
{
  return (uint32_t)HASH_COUNT (f->servers);
}

uint32_t
fleet_nodes (const struct fleet *f, uint64_t now)
{
  const uint32_t reporting = (uint32_t)HASH_COUNT (f->nodes);

  if (now < f->term_ms + NODES_SETTLE_MS && reporting < f->previous_nodes)
    return f->previous_nodes;
  return reporting;
}

static void
node_free (struct fleet *f, struct fleet_node *n)
{
  HASH_DEL (f->nodes, n);
  free (n->shares);
  free (n->loads);
  str_free (&n->name);
  free (n);
}

void
fleet_expire (struct fleet *f, uint64_t now)
{
  /* The node that reported longest ago comes first. */
  while (f->nodes && now >= f->nodes->reported_ms + NODE_DEMAND_MAX_AGE_MS)
    {
      struct fleet_node *n = f->nodes;

      withdraw_demand (f, n, now);
      node_free (f, n);
    }
  f->last_expire_ms = now;
  fleet_forget_departed (f, now);
  fleet_sweep (f, now);
}

static void
reset_demand (struct total_demand *w)
{
  *w = (struct total_demand){ .model = w->model, .adapter = w->adapter };
}

void
fleet_forget_demand (struct fleet *f)
{
  while (f->nodes)
    {
      struct fleet_node *n = f->nodes;

      withdraw_demand (f, n, n->reported_ms);
      node_free (f, n);
    }
  for (struct fleet_model *m = f->models; m; m = m->next)
    {
      reset_demand (&m->demand);
      fleet_mark_stale (f, m);
      for (struct fleet_adapter *a = m->adapters; a; a = a->hh.next)
        reset_demand (&a->demand);
    }
}
