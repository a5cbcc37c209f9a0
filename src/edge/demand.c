#include "edge/demand.h"

#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "err.h"

/* Rate at which an item without calls is forgotten. */
#define RATE_FORGOTTEN 0.02

struct node
{
  struct demand_item item;
  struct str key; /* names joined by line feeds */
  bool told;      /* the last take had calls */
  uint64_t taken_ms;
  uint64_t used_ms;
  UT_hash_handle hh;
};

struct demand
{
  struct node *nodes;
};

struct demand *
demand_create (void)
{
  return xcalloc (1, sizeof (struct demand));
}

static void
forget (struct demand *d, struct node *n)
{
  HASH_DEL (d->nodes, n);
  str_free (&n->key);
  str_free (&n->item.service);
  str_free (&n->item.model);
  str_free (&n->item.adapter);
  free (n);
}

void
demand_destroy (struct demand *d)
{
  struct node *n;
  struct node *next;

  HASH_ITER (hh, d->nodes, n, next)
  forget (d, n);
  free (d);
}

struct str
demand_key (struct str service, struct str model, struct str adapter)
{
  return str_printf (STR_FMT "\n" STR_FMT "\n" STR_FMT, STR_ARG (service),
                     STR_ARG (model), STR_ARG (adapter));
}

struct demand_item *
demand_find (struct demand *d, struct str service, struct str model,
             struct str adapter)
{
  struct str key = demand_key (service, model, adapter);
  struct node *n;

  HASH_FIND (hh, d->nodes, key.data, key.len, n);
  if (n)
    {
      str_free (&key);
      return &n->item;
    }
  n = xcalloc (1, sizeof *n);
  n->key = key;
  n->item.service = str_dup (service);
  n->item.model = str_dup (model);
  n->item.adapter = str_dup (adapter);
  HASH_ADD_KEYPTR (hh, d->nodes, n->key.data, n->key.len, n);
  return &n->item;
}

double
demand_rate (double rate, double passed_ms, uint32_t arrivals)
{
  return rate * exp (-passed_ms / DEMAND_RATE_MS)
         + arrivals * 1000.0 / DEMAND_RATE_MS;
}

static void
bring_up_to_date (struct node *n, uint64_t now_ms)
{
  struct demand_item *i = &n->item;
  const double passed_ms
      = n->taken_ms > 0 ? (double)(now_ms - n->taken_ms) : 0;

  i->rate = demand_rate (i->rate, passed_ms, i->arrivals);
  n->taken_ms = now_ms;
  if (i->arrivals > 0)
    n->used_ms = now_ms;
  i->idle_ms = (uint32_t)(now_ms - n->used_ms);
}

void
demand_take (struct demand *d, bool whole, uint64_t now_ms,
             void (*fn) (void *ctx, const struct demand_item *item), void *ctx)
{
  struct node *n;
  struct node *next;

  HASH_ITER (hh, d->nodes, n, next)
  {
    struct demand_item *i = &n->item;
    const bool active = i->waiting > 0 || i->running > 0 || i->arrivals > 0;

    bring_up_to_date (n, now_ms);
    if (!active && !n->told && i->rate < RATE_FORGOTTEN)
      {
        forget (d, n);
        continue;
      }
    if (active || n->told || whole)
      fn (ctx, i);
    n->told = active;
    i->arrivals = 0;
  }
}
