#include "edge/call_impl.h"

#include "clock.h"
#include "platform/routingcodec.h"

/* The demand for models and adapters that a call counts for. */

/* Returns the demand item of the call's model, or of an adapter of it. Returns
   NULL for names that the configuration does not have: nothing can be loaded
   for them, and clients may invent any number of them. */
static struct demand_item *
find_demand (const struct call *c, const struct engine_spec *e,
             struct str adapter)
{
  struct demand *d = site_demand (c->calls->site);
  struct demand_item *item
      = demand_lookup (d, c->service, c->meta.model, adapter);
  const struct model_spec *m;

  if (item)
    return item;
  m = engine_model (e, c->meta.model);
  if (!m || (adapter.len > 0 && !routing_has_adapter (m, adapter)))
    return NULL;
  return demand_find (d, c->service, c->meta.model, adapter);
}

/* Counts the call as it is now for a demand item that it did not count for. */
static void
count_for (const struct call *c, struct demand_item *item)
{
  item->arrivals++;
  item->running += call_in_flight_count (c);
  if (c->waiting)
    item->waiting++;
}

void
call_attach_demand (struct call *c, const struct engine_spec *e)
{
  if (!c->model_demand)
    {
      c->model_demand = find_demand (c, e, STR (""));
      if (c->model_demand)
        count_for (c, c->model_demand);
    }
  if (!c->adapter_demand && c->meta.adapter.len > 0)
    {
      c->adapter_demand = find_demand (c, e, c->meta.adapter);
      if (c->adapter_demand)
        count_for (c, c->adapter_demand);
    }
}

struct demand_item *
call_queue (const struct call *c)
{
  return c->adapter_demand ? c->adapter_demand : c->model_demand;
}

void
call_set_full (struct call *c, bool full)
{
  if (c->full_demand)
    c->full_demand->full_waiting--;
  c->full_demand = full ? call_queue (c) : NULL;
  if (c->full_demand && c->full_demand->full_waiting++ == 0)
    drainrate_start (&c->full_demand->drain, clock_ms ());
}
