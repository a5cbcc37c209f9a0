#include "limiter_impl.h"

#include <stdlib.h>

#include "err.h"

#define HELD_MAX 512

static struct holder *
find_holder (const struct limiter *l, struct str customer)
{
  struct holder *h;

  HASH_FIND (hh, l->holders, customer.data, customer.len, h);
  return h;
}

static void
note_owner (struct holder *h, const struct member_info *owner)
{
  str_assign (&h->owner, owner->addr);
  h->owner_instance = owner->instance;
}

void
limiter_add_held (struct limiter *l, struct str customer, uint64_t id)
{
  struct holder *h = find_holder (l, customer);
  struct held *e;

  if (!h)
    {
      const struct member_info *owner = limiter_ranked (l, customer, 0);

      h = xcalloc (1, sizeof *h);
      h->customer = str_dup (customer);
      if (owner)
        note_owner (h, owner);
      HASH_ADD_KEYPTR (hh, l->holders, h->customer.data, h->customer.len, h);
    }
  HASH_FIND (hh, h->ids, &id, sizeof id, e);
  if (e)
    return;
  e = xcalloc (1, sizeof *e);
  e->id = id;
  HASH_ADD (hh, h->ids, id, sizeof e->id, e);
}

void
limiter_free_holder (struct limiter *l, struct holder *h)
{
  struct held *e;
  struct held *next;

  HASH_ITER (hh, h->ids, e, next)
  {
    HASH_DEL (h->ids, e);
    free (e);
  }
  HASH_DEL (l->holders, h);
  str_free (&h->customer);
  str_free (&h->owner);
  free (h);
}

/* Returns false if the request is not held. */
bool
limiter_remove_held (struct limiter *l, struct str customer, uint64_t id)
{
  struct holder *h = find_holder (l, customer);
  struct held *e = NULL;

  if (h)
    HASH_FIND (hh, h->ids, &id, sizeof id, e);
  if (!e)
    return false;
  HASH_DEL (h->ids, e);
  free (e);
  if (!h->ids)
    limiter_free_holder (l, h);
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

  bus_call (l->bus, to, PEER_QUOTA, &args, LIMITER_CALL_MS, NULL, NULL);
}

/* Reports the running requests of a customer to its present owner. */
void
limiter_report (struct limiter *l, struct holder *h)
{
  const struct member_info *owner = limiter_ranked (l, h->customer, 0);
  u_quad_t ids[HELD_MAX];
  struct quota_args args
      = { .customer = TEXT_STR (h->customer), .held.held_val = ids };

  if (!owner)
    return;
  note_owner (h, owner);
  for (const struct held *e = h->ids; e; e = e->hh.next)
    {
      ids[args.held.held_len++] = e->id;
      if (args.held.held_len < HELD_MAX && e->hh.next)
        continue;
      bus_call (l->bus, owner->addr, PEER_QUOTA, &args, LIMITER_CALL_MS, NULL,
                NULL);
      args.held.held_len = 0;
    }
}

void
limiter_report_all (struct limiter *l, uint64_t now_ms)
{
  l->reported_ms = now_ms;
  for (struct holder *h = l->holders; h; h = h->hh.next)
    limiter_report (l, h);
}
