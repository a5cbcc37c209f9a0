#include "edge/call_impl.h"

#include "clock.h"
#include "edge/placer.h"
#include "err.h"

/* This node's share of the retry budget of each service. */

/* Number of nodes assumed to share a retry budget while neither a placement
   holder nor the lease has reported one. */
#define NODES_ASSUMED 8

static struct retries *
service_budget (struct call_table *calls, struct str service)
{
  struct service_budget_entry *entry;

  HASH_FIND (hh, calls->service_budgets, service.data, service.len, entry);
  if (!entry)
    {
      entry = xcalloc (1, sizeof *entry);
      entry->service = str_dup (service);
      HASH_ADD_KEYPTR (hh, calls->service_budgets, entry->service.data,
                       entry->service.len, entry);
    }
  return &entry->budget;
}

static uint32_t
budget_nodes (const struct call *c)
{
  const uint32_t nodes = placer_node_count (placer_get (c->calls->kernel));

  return nodes > 0 ? nodes : NODES_ASSUMED;
}

/* A call that is in flight at a silent server may do without the repeat. */
static enum retry_cause
retry_cause (const struct call *c)
{
  return c->possible_runs > 0 && !call_in_flight (c) ? RETRY_AFTER_FAILURE
                                                     : RETRY_AFTER_REJECTION;
}

bool
call_take_retry (struct call *c)
{
  return retries_take (service_budget (c->calls, c->service),
                       &c->calls->retry_limits, retry_cause (c),
                       budget_nodes (c), clock_ms ());
}

bool
call_retry_allowed (struct call *c)
{
  return retries_allowed (service_budget (c->calls, c->service),
                          &c->calls->retry_limits, retry_cause (c),
                          budget_nodes (c), clock_ms ());
}

void
call_refund_retry (struct call *c)
{
  retries_refund (service_budget (c->calls, c->service),
                  &c->calls->retry_limits, clock_ms ());
}

void
call_count_first_send (struct call *c)
{
  retries_count_first_send (service_budget (c->calls, c->service),
                            &c->calls->retry_limits, clock_ms ());
}
