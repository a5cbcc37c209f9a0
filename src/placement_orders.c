#include "placement_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "lease.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "placement"
/* Timeout of an order. An engine answers before it carries the order out. */
#define ORDER_TIMEOUT_MS 2000
/* After a refused or failed load no further load is started on the server for
   this time. */
#define AVOID_REFUSED_MS 1000
#define AVOID_FAILED_MS 10000
/* Slots of the load budget are held for this multiple of the estimated load
   time, unless they are returned earlier. */
#define HOLD_FACTOR 2

struct sent_order
{
  struct place_service *service;
  struct str addr;
  struct str id;
  struct replica_key key;
  enum order_kind kind;
  uint64_t fence;
  bool uses_slot;
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
place_on_load_failure (struct place_service *s, struct str addr,
                       const struct replica_key *key, bool refused)
{
  struct place_target *t = place_target (s, addr);
  struct place_wake *w;

  if (t)
    t->avoid_until_ms
        = clock_ms () + (refused ? AVOID_REFUSED_MS : AVOID_FAILED_MS);
  metrics_add ("galenagate_loads_failed_total", s->metric_labels, 1);
  DL_FOREACH (s->wakes, w)
  if (str_eq (w->load.key.model, key->model))
    w->load_failed = true;
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
        ledger_fence_confirmed (s->ledger, o->addr, now);
      return;
    }
  if (answer == ORDER_REFUSED || answer == ORDER_FAILED)
    {
      if (o->kind == ORDER_LOAD)
        place_on_load_failure (s, o->addr, &o->key, answer == ORDER_REFUSED);
      if (o->uses_slot)
        place_return_slot (s, o->key.adapter.len > 0 ? BUDGET_ADAPTER
                                                     : BUDGET_MODEL);
    }
  ledger_order_answer (s->ledger, o->addr, o->id, o->kind, answer, now);
}

static void
on_order_answer (void *ctx, struct http_call *call, struct err err, int status,
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

static const struct http_events order_events = { .done = on_order_answer };

/* Checks the lease immediately before an order is sent. After the lease has
   expired, only stored loads may still be sent, and only to engines that
   refuse old fences: on other engines a new owner may have dropped the load
   and released its memory. */
static bool
may_send (const struct place_service *s, const struct order *o)
{
  if (!place_serving (s))
    return false;
  return lease_valid (lease_get (s->kernel), s->lease_name)
         || (s->fenced && o->kind == ORDER_LOAD);
}

static bool
send_order (struct place_service *s, struct str addr, const struct order *o,
            bool uses_slot)
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
    .total_ms = ORDER_TIMEOUT_MS,
    .new_connection = true,
  };
  struct sent_order *sent = xmalloc (sizeof *sent);
  *sent = (struct sent_order){ .service = s,
                               .addr = str_dup (addr),
                               .id = str_dup (o->order_id),
                               .key = replica_key_dup (&o->key),
                               .kind = o->kind,
                               .fence = s->ledger->fence,
                               .uses_slot = uses_slot };
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
  if (t->fence_in_flight || server->fence_confirmed || !server->status_known)
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

/* An order that may be sent now. @load gives its urgency. */
struct due_order
{
  struct ledger_server *server;
  struct ledger_entry *entry;
  struct order order;
  struct policy_load_request load;
};

/* Returns the urgency of an entry's load: that of the most urgent wake request
   for its model. */
static struct policy_load_request
urgency (const struct place_service *s, const struct ledger_entry *e)
{
  const struct model *m = place_model (s, &e->key);
  const struct policy_ops *ops = s->policy->ops;
  struct policy_load_request best = { .priority = INT32_MIN,
                                      .deadline_ms = UINT64_MAX,
                                      .requested_ms = e->decided_ms };
  const struct place_wake *w;

  DL_FOREACH (s->wakes, w)
  if (str_eq (w->load.key.model, e->key.model)
      && ops->load_before (&w->load, &best))
    best = w->load;
  best.bytes = e->bytes;
  best.load_ms = m && e->key.adapter.len == 0 ? m->load_ms : 0;
  return best;
}

/* Returns false if the load budget has no free slot. */
static bool
send_load (struct place_service *s, const struct due_order *d)
{
  const bool adapter = d->entry->key.adapter.len > 0;
  const uint32_t hold_ms
      = HOLD_FACTOR * policy_load_ms (&d->load, CACHE_REMOTE) + 1000;

  if (!d->entry->holds_load_slot
      && place_take_slots (s, adapter ? BUDGET_ADAPTER : BUDGET_MODEL, 1,
                           hold_ms)
             == 0)
    return false;
  d->entry->holds_load_slot = true;
  ledger_order_sent (d->entry, ORDER_LOAD, clock_ms ());
  if (send_order (s, d->server->addr, &d->order, true))
    return true;
  ledger_order_answer (s->ledger, d->server->addr, d->order.order_id,
                       ORDER_LOAD, ORDER_NOT_SENT, clock_ms ());
  return true;
}

static void
send_unload (struct place_service *s, const struct due_order *d)
{
  ledger_order_sent (d->entry, ORDER_UNLOAD, clock_ms ());
  if (!send_order (s, d->server->addr, &d->order, false))
    ledger_order_answer (s->ledger, d->server->addr, d->order.order_id,
                         ORDER_UNLOAD, ORDER_NOT_SENT, clock_ms ());
}

/* Returns true for an entry of a former owner until that owner has answered
   FENCE_OFF, or the wait for it has ended. */
static bool
waits_for_fence_off (const struct place_service *s,
                     const struct ledger_entry *e, uint64_t now)
{
  return e->fence < s->ledger->fence
         && (!s->fence_off_started || now < s->fence_off_until_ms);
}

/* Sends the given loads, the most urgent first, until the budget is exhausted.
 */
static void
send_loads (struct place_service *s, struct due_order *loads, size_t n)
{
  const struct policy_ops *ops = s->policy->ops;
  bool exhausted[2] = { false, false };

  while (n > 0)
    {
      size_t best = 0;

      for (size_t i = 1; i < n; i++)
        if (ops->load_before (&loads[i].load, &loads[best].load))
          best = i;
      const enum budget_kind kind = loads[best].entry->key.adapter.len > 0
                                        ? BUDGET_ADAPTER
                                        : BUDGET_MODEL;
      if (!exhausted[kind])
        exhausted[kind] = !send_load (s, &loads[best]);
      loads[best] = loads[--n];
    }
}

void
place_send_orders (struct place_service *s)
{
  const uint64_t now = clock_ms ();
  struct due_order *loads = NULL;
  size_t n = 0;

  if (!s->ledger || s->ledger->is_superseded
      || s->ledger->takeover_stored_ms == 0)
    return;
  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      struct ledger_server *server = s->ledger->servers[i];
      struct place_target *t = place_target (s, server->addr);

      if (t && s->fenced && s->lease_held)
        send_fence (s, t, server);
      for (size_t j = 0; j < server->entry_count; j++)
        {
          struct due_order d
              = { .server = server, .entry = server->entries[j] };

          if (!ledger_due_order (s->ledger, d.entry, now, &d.order)
              || waits_for_fence_off (s, d.entry, now))
            continue;
          if (d.order.kind == ORDER_UNLOAD)
            {
              send_unload (s, &d);
              continue;
            }
          d.load = urgency (s, d.entry);
          loads = xrealloc (loads, (n + 1) * sizeof *loads);
          loads[n++] = d;
        }
    }
  send_loads (s, loads, n);
  free (loads);
}
