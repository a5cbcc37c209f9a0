#include "place.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "lease.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "placement"
/* An engine answers an order before it carries it out. */
#define ORDER_LIMIT_MS 2000
/* No load is tried on a server for this time after one was refused there, or
   failed. */
#define AVOID_REFUSED_MS 1000
#define AVOID_FAILED_MS 10000
/* Slots of the load budget come back by themselves after this multiple of the
   estimated load time. */
#define HOLD_FACTOR 2

struct sent_order
{
  struct place_service *service;
  struct str addr;
  struct str id;
  struct replica_key key;
  enum order_kind kind;
  uint64_t fence;
  bool slot;
};

static void
sent_order_free (struct sent_order *o)
{
  str_free (&o->addr);
  str_free (&o->id);
  replica_key_free (&o->key);
  free (o);
}

void
place_load_failed (struct place_service *s, struct str addr,
                   const struct replica_key *key, bool refused)
{
  struct place_target *t = place_target (s, addr);
  struct place_wake *w;

  if (t)
    t->avoid_until_ms
        = clock_ms () + (refused ? AVOID_REFUSED_MS : AVOID_FAILED_MS);
  metrics_add ("galenagate_loads_failed_total", s->labels, 1);
  DL_FOREACH (s->wakes, w)
  if (str_eq (w->want.key.model, key->model))
    w->failed = true;
}

static const char *const answer_names[] = {
  [ORDER_ACCEPTED] = "accepted",   [ORDER_REFUSED] = "refused",
  [ORDER_FAILED] = "failed",       [ORDER_BUSY] = "busy",
  [ORDER_OLD_FENCE] = "old-fence", [ORDER_WRONG_INSTANCE] = "wrong-instance",
  [ORDER_NOT_SENT] = "not-sent",   [ORDER_UNANSWERED] = "unanswered",
};

static void
apply_answer (struct place_service *s, const struct sent_order *o,
              enum order_answer answer)
{
  struct place_target *t = place_target (s, o->addr);
  const uint64_t now = clock_ms ();

  if (o->kind == ORDER_FENCE)
    {
      if (t)
        t->fence_in_flight = false;
      if (answer == ORDER_ACCEPTED)
        ledger_fence_known (s->ledger, o->addr, now);
      return;
    }
  if (answer == ORDER_REFUSED || answer == ORDER_FAILED)
    {
      if (o->kind == ORDER_LOAD)
        place_load_failed (s, o->addr, &o->key, answer == ORDER_REFUSED);
      if (o->slot)
        place_slot_done (s, o->key.adapter.len > 0 ? BUDGET_ADAPTER
                                                   : BUDGET_MODEL);
    }
  ledger_order_answer (s->ledger, o->addr, o->id, o->kind, answer, now);
}

static void
on_order (void *ctx, struct http_call *call, struct err err, int status,
          bool sent, struct str body)
{
  struct sent_order *o = ctx;
  struct place_service *s = o->service;
  const enum order_answer answer
      = order_answer_decode (err.code, sent, status, body);

  (void)call;
  if (answer != ORDER_ACCEPTED)
    LOG_WARN ("order-answer",
              "service=" STR_FMT " target=" STR_FMT " order=" STR_FMT
              " model=" STR_FMT " answer=%s status=%d " LOG_E_FMT,
              STR_ARG (s->name), STR_ARG (o->addr), STR_ARG (o->id),
              STR_ARG (o->key.model), answer_names[answer], status,
              LOG_E_ARG (err));
  if (s->ledger && s->ledger->fence == o->fence)
    {
      apply_answer (s, o, answer);
      place_store_step (s);
    }
  sent_order_free (o);
}

static const struct http_events order_events = { .done = on_order };

/* The lease is checked immediately before the order leaves. A holder whose
   lease has expired may send a stored load again only towards engines that
   refuse old fences, because elsewhere a successor may have released the
   memory. */
static bool
may_send (const struct place_service *s, const struct order *o)
{
  if (!place_serving (s))
    return false;
  return lease_valid (lease_get (s->kernel), s->lease)
         || (s->fenced && o->kind == ORDER_LOAD);
}

static bool
send_order (struct place_service *s, struct str addr, const struct order *o,
            bool slot)
{
  struct str url = str_printf ("http://" STR_FMT "/orders", STR_ARG (addr));
  struct str body = order_encode (o);
  const struct str header = STR ("Content-Type: application/json");
  const struct http_request req = {
    .method = STR ("POST"),
    .url = url,
    .headers = &header,
    .header_count = 1,
    .body = body,
    .total_ms = ORDER_LIMIT_MS,
    .fresh = true,
  };
  struct sent_order *sent = xmalloc (sizeof *sent);
  *sent = (struct sent_order){ .service = s,
                               .addr = str_dup (addr),
                               .id = str_dup (o->order_id),
                               .key = replica_key_dup (&o->key),
                               .kind = o->kind,
                               .fence = s->ledger->fence,
                               .slot = slot };
  const bool ok = may_send (s, o);

  if (ok)
    http_send (http_get (s->kernel), &req, &order_events, sent);
  else
    sent_order_free (sent);
  str_free (&url);
  str_free (&body);
  return ok;
}

static void
send_fence (struct place_service *s, struct place_target *t,
            const struct ledger_server *server)
{
  if (t->fence_in_flight || server->fence_known || !server->seen)
    return;
  struct str id
      = str_printf ("fence.%lu.%lu", s->ledger->fence, server->instance);
  const struct order o = { .kind = ORDER_FENCE,
                           .order_id = id,
                           .fence = s->ledger->fence,
                           .instance = server->instance };

  t->fence_in_flight = send_order (s, t->addr, &o, false);
  str_free (&id);
}

struct due
{
  struct ledger_server *server;
  struct ledger_entry *entry;
  struct order order;
  struct policy_want want;
};

/* Urgency of an entry: that of its most urgent caller. */
static struct policy_want
urgency (const struct place_service *s, const struct ledger_entry *e)
{
  const struct model *m = place_model (s, &e->key);
  const struct policy_ops *ops = s->policy->ops;
  struct policy_want best = { .priority = INT32_MIN,
                              .deadline_ms = UINT64_MAX,
                              .asked_ms = e->decided_ms };
  const struct place_wake *w;

  DL_FOREACH (s->wakes, w)
  if (str_eq (w->want.key.model, e->key.model)
      && ops->before (&w->want, &best))
    best = w->want;
  best.bytes = e->bytes;
  best.load_ms = m && e->key.adapter.len == 0 ? m->load_ms : 0;
  return best;
}

static bool
send_load (struct place_service *s, const struct due *d)
{
  const bool adapter = d->entry->key.adapter.len > 0;
  const uint32_t hold_ms
      = HOLD_FACTOR * policy_load_ms (&d->want, CACHE_REMOTE) + 1000;

  if (!d->entry->slot
      && place_slots (s, adapter ? BUDGET_ADAPTER : BUDGET_MODEL, 1, hold_ms)
             == 0)
    return false;
  d->entry->slot = true;
  ledger_order_sent (d->entry, ORDER_LOAD, clock_ms ());
  if (send_order (s, d->server->addr, &d->order, true))
    return true;
  ledger_order_answer (s->ledger, d->server->addr, d->order.order_id,
                       ORDER_LOAD, ORDER_NOT_SENT, clock_ms ());
  return true;
}

static void
send_unload (struct place_service *s, const struct due *d)
{
  ledger_order_sent (d->entry, ORDER_UNLOAD, clock_ms ());
  if (!send_order (s, d->server->addr, &d->order, false))
    ledger_order_answer (s->ledger, d->server->addr, d->order.order_id,
                         ORDER_UNLOAD, ORDER_NOT_SENT, clock_ms ());
}

static bool
is_held_back (const struct place_service *s, const struct ledger_entry *e,
              uint64_t now)
{
  return e->fence < s->ledger->fence
         && (!s->former_asked || now < s->former_until_ms);
}

/* Sends the loads that are due, the most urgent first, until the budget ends.
 */
static void
send_loads (struct place_service *s, struct due *loads, size_t n)
{
  const struct policy_ops *ops = s->policy->ops;
  bool full[2] = { false, false };

  while (n > 0)
    {
      size_t best = 0;

      for (size_t i = 1; i < n; i++)
        if (ops->before (&loads[i].want, &loads[best].want))
          best = i;
      const enum budget_kind kind = loads[best].entry->key.adapter.len > 0
                                        ? BUDGET_ADAPTER
                                        : BUDGET_MODEL;
      if (!full[kind])
        full[kind] = !send_load (s, &loads[best]);
      loads[best] = loads[--n];
    }
}

void
place_send_orders (struct place_service *s)
{
  const uint64_t now = clock_ms ();
  struct due *loads = NULL;
  size_t n = 0;

  if (!s->ledger || s->ledger->dropped || s->ledger->stamped_ms == 0)
    return;
  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      struct ledger_server *server = s->ledger->servers[i];
      struct place_target *t = place_target (s, server->addr);

      if (t && s->fenced && s->held)
        send_fence (s, t, server);
      for (size_t j = 0; j < server->entry_count; j++)
        {
          struct due d = { .server = server, .entry = server->entries[j] };

          if (!ledger_order (s->ledger, d.entry, now, &d.order)
              || is_held_back (s, d.entry, now))
            continue;
          if (d.order.kind == ORDER_UNLOAD)
            {
              send_unload (s, &d);
              continue;
            }
          d.want = urgency (s, d.entry);
          loads = xrealloc (loads, (n + 1) * sizeof *loads);
          loads[n++] = d;
        }
    }
  send_loads (s, loads, n);
  free (loads);
}
