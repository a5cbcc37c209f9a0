#include "edge/fleet_impl.h"

#include <math.h>
#include <stdlib.h>

#include "edge/demand.h"
#include "err.h"

/* Time constant of the decay of the number of calls at once. */
#define BUSY_MS 5000.0
/* A node that told nothing for this long is not counted. */
#define NODE_SILENT_MS 1500
/* Demand without calls is forgotten after this time. */
#define WISH_KEPT_MS 60000

struct wish *
fleet_wish_find (const struct fleet *f, struct str service, struct str model,
                 struct str adapter)
{
  struct str key = demand_key (service, model, adapter);
  struct wish *w;

  HASH_FIND (hh, f->wishes, key.data, key.len, w);
  str_free (&key);
  return w;
}

static struct wish *
find_or_add (struct fleet *f, const struct fleet_wish *from, uint64_t now)
{
  struct wish *w
      = fleet_wish_find (f, from->service, from->model, from->adapter);

  if (w)
    return w;
  w = xcalloc (1, sizeof *w);
  w->key = demand_key (from->service, from->model, from->adapter);
  w->service = str_dup (from->service);
  w->model = str_dup (from->model);
  w->adapter = str_dup (from->adapter);
  w->rate_ms = now;
  w->used_ms = now;
  HASH_ADD_KEYPTR (hh, f->wishes, w->key.data, w->key.len, w);
  return w;
}

static void
wish_free (struct fleet *f, struct wish *w)
{
  HASH_DEL (f->wishes, w);
  str_free (&w->key);
  str_free (&w->service);
  str_free (&w->model);
  str_free (&w->adapter);
  free (w);
}

double
fleet_rate (const struct wish *w, uint64_t now)
{
  const double age_ms = now > w->rate_ms ? (double)(now - w->rate_ms) : 0;

  return demand_rate (w->rate, age_ms, 0);
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

/* ---- nodes ---- */

static struct node *
find_node (const struct fleet *f, struct str name)
{
  struct node *n;

  HASH_FIND (hh, f->nodes, name.data, name.len, n);
  return n;
}

static void
drop_told (struct fleet *f, struct node *n)
{
  for (size_t i = 0; i < n->wish_count; i++)
    {
      n->wishes[i].wish->waiting -= n->wishes[i].waiting;
      n->wishes[i].wish->running -= n->wishes[i].running;
    }
  for (size_t i = 0; i < n->load_count; i++)
    {
      struct fleet_server *s = fleet_find_hash (f, n->loads[i].server);

      if (s)
        s->running -= n->loads[i].running;
    }
  n->wish_count = 0;
  n->load_count = 0;
}

void
fleet_node_begin (struct fleet *f, struct str name, uint64_t now)
{
  struct node *n = find_node (f, name);

  if (!n)
    {
      n = xcalloc (1, sizeof *n);
      n->name = str_dup (name);
      HASH_ADD_KEYPTR (hh, f->nodes, n->name.data, n->name.len, n);
    }
  else
    n->known = true;
  drop_told (f, n);
  n->told_ms = now;
}

void
fleet_node_wish (struct fleet *f, struct str name,
                 const struct fleet_wish *from, uint64_t now)
{
  struct node *n = find_node (f, name);
  struct wish *w = find_or_add (f, from, now);

  w->waiting += from->waiting;
  w->running += from->running;
  w->busy = fleet_busy (w, now);
  w->busy_ms = now;
  count_arrivals (w, from->arrivals, now);
  if (!n->known)
    take_over_rate (w, from, now);
  n->wishes = xrealloc (n->wishes, (n->wish_count + 1) * sizeof *n->wishes);
  n->wishes[n->wish_count++] = (struct node_wish){ .wish = w,
                                                   .waiting = from->waiting,
                                                   .running = from->running };
}

void
fleet_node_load (struct fleet *f, struct str name, uint64_t server,
                 uint32_t running)
{
  struct node *n = find_node (f, name);
  struct fleet_server *s = fleet_find_hash (f, server);

  if (!s)
    return;
  s->running += running;
  n->loads = xrealloc (n->loads, (n->load_count + 1) * sizeof *n->loads);
  n->loads[n->load_count++]
      = (struct node_load){ .server = server, .running = running };
}

uint32_t
fleet_nodes (const struct fleet *f, uint64_t now)
{
  uint32_t count = 0;

  for (const struct node *n = f->nodes; n; n = n->hh.next)
    if (now < n->told_ms + NODE_SILENT_MS)
      count++;
  return count;
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
  struct node *n;
  struct node *next;
  struct wish *w;
  struct wish *next_wish;

  HASH_ITER (hh, f->nodes, n, next)
  if (now >= n->told_ms + NODE_SILENT_MS)
    {
      drop_told (f, n);
      node_free (f, n);
    }
  HASH_ITER (hh, f->wishes, w, next_wish)
  if (w->waiting == 0 && w->running == 0 && now >= w->used_ms + WISH_KEPT_MS)
    wish_free (f, w);
}

void
fleet_forget_demand (struct fleet *f)
{
  struct node *n;
  struct node *next;
  struct wish *w;
  struct wish *next_wish;

  HASH_ITER (hh, f->nodes, n, next)
  node_free (f, n);
  HASH_ITER (hh, f->wishes, w, next_wish)
  wish_free (f, w);
}
