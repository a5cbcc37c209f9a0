#include "edge/call_impl.h"

#include "clock.h"
#include "edge/placer.h"
#include "err.h"

/* The part of each service's retry budget that calls of this node use. */

/* Nodes that may share a retry budget before there was any placement holder.
 */
#define NODES_UNKNOWN 8

static struct retries *
retries_of (struct calls *all, struct str service)
{
  struct service_retries *r;

  HASH_FIND (hh, all->retries, service.data, service.len, r);
  if (!r)
    {
      r = xcalloc (1, sizeof *r);
      r->service = str_dup (service);
      HASH_ADD_KEYPTR (hh, all->retries, r->service.data, r->service.len, r);
    }
  return &r->retries;
}

static uint32_t
budget_nodes (const struct call *c)
{
  const uint32_t nodes = placer_nodes (placer_get (c->calls->kernel));

  return nodes > 0 ? nodes : NODES_UNKNOWN;
}

static enum retry_cause
retry_cause (const struct call *c)
{
  return c->runs > 0 ? RETRY_BEGUN : RETRY_REFUSABLE;
}

bool
call_retry_take (struct call *c)
{
  return retries_take (retries_of (c->calls, c->service),
                       &c->calls->retry_limits, retry_cause (c),
                       budget_nodes (c), clock_ms ());
}

bool
call_retry_left (struct call *c)
{
  return retries_left (retries_of (c->calls, c->service),
                       &c->calls->retry_limits, retry_cause (c),
                       budget_nodes (c), clock_ms ());
}

void
call_retry_give_back (struct call *c)
{
  retries_give_back (retries_of (c->calls, c->service),
                     &c->calls->retry_limits, clock_ms ());
}

void
call_count_first (struct call *c)
{
  retries_first (retries_of (c->calls, c->service), &c->calls->retry_limits,
                 clock_ms ());
}
