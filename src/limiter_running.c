#include "limiter_impl.h"

#include <stdlib.h>

#include "err.h"

#define REPORT_IDS_MAX 512 /* bound of quota_args::held in peer.x */

static struct customer_requests *
find_customer (const struct limiter *l, struct str customer)
{
  struct customer_requests *c;

  HASH_FIND (hh, l->customers, customer.data, customer.len, c);
  return c;
}

static void
set_reported_owner (struct customer_requests *c,
                    const struct member_info *owner)
{
  str_assign (&c->reported_to, owner->addr);
  c->reported_instance = owner->instance;
}

void
limiter_add_running (struct limiter *l, struct str customer, uint64_t id)
{
  struct customer_requests *c = find_customer (l, customer);
  struct running_request *e;

  if (!c)
    {
      const struct member_info *owner = limiter_ranked_node (l, customer, 0);

      c = xcalloc (1, sizeof *c);
      c->customer = str_dup (customer);
      if (owner)
        set_reported_owner (c, owner);
      HASH_ADD_KEYPTR (hh, l->customers, c->customer.data, c->customer.len, c);
    }
  HASH_FIND (hh, c->requests, &id, sizeof id, e);
  if (e)
    return;
  e = xcalloc (1, sizeof *e);
  e->id = id;
  HASH_ADD (hh, c->requests, id, sizeof e->id, e);
}

void
limiter_free_customer (struct limiter *l, struct customer_requests *c)
{
  struct running_request *e;
  struct running_request *next;

  HASH_ITER (hh, c->requests, e, next)
  {
    HASH_DEL (c->requests, e);
    free (e);
  }
  HASH_DEL (l->customers, c);
  str_free (&c->customer);
  str_free (&c->reported_to);
  free (c);
}

/* Returns false if the request is not recorded as running. */
bool
limiter_remove_running (struct limiter *l, struct str customer, uint64_t id)
{
  struct customer_requests *c = find_customer (l, customer);
  struct running_request *e = NULL;

  if (c)
    HASH_FIND (hh, c->requests, &id, sizeof id, e);
  if (!e)
    return false;
  HASH_DEL (c->requests, e);
  free (e);
  if (!c->requests)
    limiter_free_customer (l, c);
  return true;
}

void
limiter_send_finished (struct limiter *l, struct str customer, struct str to,
                       uint64_t id)
{
  u_quad_t ids[1] = { id };
  const struct quota_args args = {
    .customer = TEXT_STR (customer),
    .finished = { .finished_len = 1, .finished_val = ids },
  };

  bus_call (l->bus, to, PEER_QUOTA, &args, LIMITER_CALL_TIMEOUT_MS, NULL,
            NULL);
}

/* Reports a customer's requests in flight at this node to the current owner.
 */
void
limiter_report_customer (struct limiter *l, struct customer_requests *c)
{
  const struct member_info *owner = limiter_ranked_node (l, c->customer, 0);
  u_quad_t ids[REPORT_IDS_MAX];
  struct quota_args args
      = { .customer = TEXT_STR (c->customer), .held.held_val = ids };

  if (!owner)
    return;
  set_reported_owner (c, owner);
  for (const struct running_request *e = c->requests; e; e = e->hh.next)
    {
      ids[args.held.held_len++] = e->id;
      if (args.held.held_len < REPORT_IDS_MAX && e->hh.next)
        continue;
      bus_call (l->bus, owner->addr, PEER_QUOTA, &args,
                LIMITER_CALL_TIMEOUT_MS, NULL, NULL);
      args.held.held_len = 0;
    }
}

void
limiter_report_all (struct limiter *l, uint64_t now_ms)
{
  l->reported_ms = now_ms;
  for (struct customer_requests *c = l->customers; c; c = c->hh.next)
    limiter_report_customer (l, c);
}
