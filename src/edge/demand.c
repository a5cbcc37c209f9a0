#include "edge/demand.h"

#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "err.h"

/* Call rate per second below which an item without calls is removed. */
#define FORGET_RATE 0.02

struct demand_entry
{
  struct demand_item item;
  struct str key; /* names joined by line feeds */
  bool had_calls; /* at the last demand_take() */
  uint64_t updated_ms;
  uint64_t used_ms;
  UT_hash_handle hh;
};

struct demand
{
  struct demand_entry *entries;
};

struct demand *
demand_create (void)
{
  return xcalloc (1, sizeof (struct demand));
}

static void
remove_entry (struct demand *d, struct demand_entry *e)
{
  HASH_DEL (d->entries, e);
  str_free (&e->key);
  str_free (&e->item.service);
  str_free (&e->item.model);
  str_free (&e->item.adapter);
  free (e);
}

void
demand_destroy (struct demand *d)
{
  struct demand_entry *e;
  struct demand_entry *next;

  HASH_ITER (hh, d->entries, e, next)
  remove_entry (d, e);
  free (d);
}

struct str
demand_key (struct str service, struct str model, struct str adapter)
{
  return str_printf (STR_FMT "\n" STR_FMT "\n" STR_FMT, STR_ARG (service),
                     STR_ARG (model), STR_ARG (adapter));
}

uint64_t
demand_model_hash (struct str service, struct str model)
{
  return str_hash (model, str_hash (service, 0));
}

static struct demand_entry *
find_entry (const struct demand *d, struct str key)
{
  struct demand_entry *e;

  HASH_FIND (hh, d->entries, key.data, key.len, e);
  return e;
}

struct demand_item *
demand_lookup (const struct demand *d, struct str service, struct str model,
               struct str adapter)
{
  struct str key = demand_key (service, model, adapter);
  struct demand_entry *e = find_entry (d, key);

  str_free (&key);
  return e ? &e->item : NULL;
}

struct demand_item *
demand_find (struct demand *d, struct str service, struct str model,
             struct str adapter)
{
  struct str key = demand_key (service, model, adapter);
  struct demand_entry *e = find_entry (d, key);

  if (e)
    {
      str_free (&key);
      return &e->item;
    }
  e = xcalloc (1, sizeof *e);
  e->key = key;
  e->item.service = str_dup (service);
  e->item.model = str_dup (model);
  e->item.adapter = str_dup (adapter);
  HASH_ADD_KEYPTR (hh, d->entries, e->key.data, e->key.len, e);
  return &e->item;
}

double
demand_rate (double rate, double passed_ms, uint32_t arrivals)
{
  return rate * exp (-passed_ms / DEMAND_RATE_MS)
         + arrivals * 1000.0 / DEMAND_RATE_MS;
}

static void
update_rate (struct demand_entry *e, uint64_t now_ms)
{
  struct demand_item *i = &e->item;
  const double passed_ms
      = e->updated_ms > 0 ? (double)(now_ms - e->updated_ms) : 0;

  i->rate = demand_rate (i->rate, passed_ms, i->arrivals);
  e->updated_ms = now_ms;
  if (i->arrivals > 0)
    e->used_ms = now_ms;
  i->idle_ms = (uint32_t)(now_ms - e->used_ms);
}

void
demand_take (struct demand *d, bool include_idle, uint64_t now_ms,
             void (*fn) (void *ctx, const struct demand_item *item), void *ctx)
{
  struct demand_entry *e;
  struct demand_entry *next;

  HASH_ITER (hh, d->entries, e, next)
  {
    struct demand_item *i = &e->item;
    const bool active = i->waiting > 0 || i->running > 0 || i->arrivals > 0;

    update_rate (e, now_ms);
    if (!active && !e->had_calls && i->rate < FORGET_RATE)
      {
        remove_entry (d, e);
        continue;
      }
    if (active || e->had_calls || include_idle)
      fn (ctx, i);
    e->had_calls = active;
    i->arrivals = 0;
  }
}
