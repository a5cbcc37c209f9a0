#include "edge/fleet_impl.h"

#include <math.h>
#include <stdlib.h>

#include "edge/demand.h"
#include "err.h"

/* Demand as the nodes tell it. */

/* Time constant of the decay of the number of calls at once. */
#define BUSY_MS 5000.0
/* A node that told nothing for this long is not counted. */
#define NODE_SILENT_MS 1500
/* Nodes learn of a new holder and tell it of themselves within this time. */
#define NODES_SETTLE_MS 2000

/* ---- models and adapters ---- */

double
fleet_rate (const struct wish *w, uint64_t now)
{
  const double age_ms = now > w->rate_ms ? (double)(now - w->rate_ms) : 0;

  return demand_rate (w->rate, age_ms, 0);
}

uint64_t
fleet_rate_falls_ms (const struct wish *w, double rate)
{
  return w->rate_ms + (uint64_t)(DEMAND_RATE_MS * log (w->rate / rate));
}

static void
count_arrivals (struct wish *w, uint32_t arrivals, uint64_t now)
{
  w->rate = demand_rate (fleet_rate (w, now), 0, arrivals);
  w->rate_ms = now;
  if (arrivals > 0)
    w->used_ms = now;
}

/* What the node counted before it told this holder. */
static void
take_over_rate (struct wish *w, const struct fleet_wish *from, uint64_t now)
{
  const uint64_t used_ms = now > from->idle_ms ? now - from->idle_ms : 0;

  w->rate += from->rate;
  if (from->rate > 0 && (used_ms > w->used_ms || w->used_ms == now))
    w->used_ms = used_ms;
}

double
fleet_busy (const struct wish *w, uint64_t now)
{
  const double age = now > w->busy_ms ? (double)(now - w->busy_ms) : 0;
  const double decayed = w->busy * exp (-age / BUSY_MS);
  const double current = w->running + w->waiting;

  return current > decayed ? current : decayed;
}

uint64_t
fleet_busy_falls_ms (const struct wish *w, double busy)
{
  if (w->running + w->waiting > busy || w->busy <= 0)
    return UINT64_MAX;
  return w->busy_ms + (uint64_t)(BUSY_MS * log (w->busy / busy));
}

static void
list_adapter (struct fleet *f, struct fleet_adapter *a, uint64_t now)
{
  const bool waits = a->wish.waiting > 0;

  if (waits && !a->is_waiting)
    DL_APPEND2 (f->waiting_adapters, a, waiting_prev, waiting_next);
  if (!waits && a->is_waiting)
    DL_DELETE2 (f->waiting_adapters, a, waiting_prev, waiting_next);
  a->is_waiting = waits;
  if (a->is_hot || fleet_rate (&a->wish, now) <= PLAN_RATE_OF_COPIES)
    return;
  a->is_hot = true;
  DL_APPEND2 (f->hot_adapters, a, hot_prev, hot_next);
}

static void
wish_changed (struct fleet *f, struct wish *w, uint64_t now)
{
  if (w->adapter)
    list_adapter (f, w->adapter, now);
  else
    fleet_stale (f, w->model);
}

static struct wish *
wish_of (struct fleet *f, const struct fleet_wish *from, uint64_t now)
{
  struct fleet_service *v = fleet_service_get (f, from->service);
  struct fleet_model *m = fleet_model_get (f, v, from->model);
  struct wish *w = from->adapter.len > 0
                       ? &fleet_adapter_get (m, from->adapter)->wish
                       : &m->wish;

  if (w->used_ms > 0)
    return w;
  w->rate_ms = now;
  w->used_ms = now;
  return w;
}

/* Demand that a node tells keeps its model or adapter. */
static void
ref (struct wish *w)
{
  if (w->adapter)
    w->adapter->refs++;
  else
    w->model->refs++;
}

static void
unref (struct wish *w)
{
  if (w->adapter)
    w->adapter->refs--;
  else
    w->model->refs--;
}

/* ---- nodes ---- */

static struct node *
find_node (const struct fleet *f, struct str name)
{
  struct node *n;

  HASH_FIND (hh, f->nodes, name.data, name.len, n);
  return n;
}

static void
add_running (struct fleet *f, uint64_t server, uint32_t added, uint32_t gone)
{
  struct fleet_server *s = fleet_find_hash (f, server);

  if (!s)
    return;
  s->running += added - gone;
  fleet_running_changed (f, s);
}

static void
add_waiter (struct fleet_model *m, struct node *n)
{
  if (m->waiter_count == m->waiter_room)
    {
      m->waiter_room = m->waiter_room ? 2 * m->waiter_room : 4;
      m->waiters = xrealloc (m->waiters, m->waiter_room * sizeof *m->waiters);
    }
  m->waiters[m->waiter_count++] = n;
}

static void
remove_waiter (struct fleet_model *m, const struct node *n)
{
  for (size_t i = 0; i < m->waiter_count; i++)
    if (m->waiters[i] == n)
      {
        m->waiters[i] = m->waiters[--m->waiter_count];
        return;
      }
}

static void
drop_told (struct fleet *f, struct node *n, uint64_t now)
{
  for (size_t i = 0; i < n->wish_count; i++)
    {
      struct wish *w = n->wishes[i].wish;

      w->waiting -= n->wishes[i].waiting;
      w->running -= n->wishes[i].running;
      if (!w->adapter && n->wishes[i].waiting > 0)
        remove_waiter (w->model, n);
      unref (w);
      wish_changed (f, w, now);
    }
  for (size_t i = 0; i < n->load_count; i++)
    add_running (f, n->loads[i].server, 0, n->loads[i].running);
  n->wish_count = 0;
  n->load_count = 0;
}

void
fleet_node_begin (struct fleet *f, struct str name, uint64_t now)
{
  struct node *n = find_node (f, name);

  if (n)
    {
      n->known = true;
      HASH_DEL (f->nodes, n);
    }
  else
    {
      n = xcalloc (1, sizeof *n);
      n->name = str_dup (name);
    }
  HASH_ADD_KEYPTR (hh, f->nodes, n->name.data, n->name.len, n);
  drop_told (f, n, now);
  n->told_ms = now;
}

static void
add_node_wish (struct node *n, const struct node_wish *told)
{
  if (n->wish_count == n->wish_room)
    {
      n->wish_room = n->wish_room ? 2 * n->wish_room : 16;
      n->wishes = xrealloc (n->wishes, n->wish_room * sizeof *n->wishes);
    }
  n->wishes[n->wish_count++] = *told;
}

void
fleet_node_wish (struct fleet *f, struct str name,
                 const struct fleet_wish *from, uint64_t now)
{
  struct node *n = find_node (f, name);
  struct wish *w = wish_of (f, from, now);

  w->waiting += from->waiting;
  w->running += from->running;
  w->busy = fleet_busy (w, now);
  w->busy_ms = now;
  count_arrivals (w, from->arrivals, now);
  if (!n->known)
    take_over_rate (w, from, now);
  ref (w);
  if (!w->adapter && from->waiting > 0)
    add_waiter (w->model, n);
  add_node_wish (n, &(struct node_wish){ w, from->waiting, from->running });
  wish_changed (f, w, now);
}

void
fleet_node_load (struct fleet *f, struct str name, uint64_t server,
                 uint32_t running)
{
  struct node *n = find_node (f, name);

  if (!fleet_find_hash (f, server))
    return;
  add_running (f, server, running, 0);
  if (n->load_count == n->load_room)
    {
      n->load_room = n->load_room ? 2 * n->load_room : 16;
      n->loads = xrealloc (n->loads, n->load_room * sizeof *n->loads);
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
  const uint32_t heard = (uint32_t)HASH_COUNT (f->nodes);

  if (now < f->term_ms + NODES_SETTLE_MS && heard < f->nodes_before)
    return f->nodes_before;
  return heard;
}

static void
node_free (struct fleet *f, struct node *n)
{
  HASH_DEL (f->nodes, n);
  free (n->wishes);
  free (n->loads);
  str_free (&n->name);
  free (n);
}

void
fleet_expire (struct fleet *f, uint64_t now)
{
  /* The node that told longest ago comes first. */
  while (f->nodes && now >= f->nodes->told_ms + NODE_SILENT_MS)
    {
      struct node *n = f->nodes;

      drop_told (f, n, now);
      node_free (f, n);
    }
  f->expired_ms = now;
  fleet_forget_departed (f, now);
  fleet_sweep (f, now);
}

static void
forget_wish (struct wish *w)
{
  *w = (struct wish){ .model = w->model, .adapter = w->adapter };
}

void
fleet_forget_demand (struct fleet *f)
{
  while (f->nodes)
    {
      struct node *n = f->nodes;

      drop_told (f, n, n->told_ms);
      node_free (f, n);
    }
  for (struct fleet_model *m = f->models; m; m = m->next)
    {
      forget_wish (&m->wish);
      fleet_stale (f, m);
      for (struct fleet_adapter *a = m->adapters; a; a = a->hh.next)
        forget_wish (&a->wish);
    }
}
