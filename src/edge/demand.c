#include "edge/demand.h"

#include <stdbool.h>
#include <stdlib.h>

#include <uthash.h>

#include "err.h"

struct node
{
  struct demand_item item;
  struct str key; /* names joined by line feeds */
  bool told;      /* the last take had calls */
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

void
demand_take (struct demand *d,
             void (*fn) (void *ctx, const struct demand_item *item), void *ctx)
{
  struct node *n;
  struct node *next;

  HASH_ITER (hh, d->nodes, n, next)
  {
    struct demand_item *i = &n->item;
    const bool active = i->waiting > 0 || i->running > 0 || i->arrivals > 0;

    if (!active && !n->told)
      {
        forget (d, n);
        continue;
      }
    fn (ctx, i);
    n->told = active;
    i->arrivals = 0;
  }
}
