#include "place.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "lease.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "placement"
#define POLL_WAIT_MS 20000
#define POLL_GRACE_MS 3000
#define POLL_RETRY_MS 500
/* Pause between polls that wait for something to vanish from the status. */
#define POLL_UNSETTLED_MS 300
#define ORDER_LIMIT_MS 5000
/* A server whose address refuses connections for this long has ended: its
   process holds no memory any more. */
#define REFUSED_MS 3000
/* No load is tried on a server for this time after one failed there. */
#define AVOID_MS 10000
#define CACHED_MAX 64
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
target_free (struct place_target *t)
{
  if (t->poll)
    http_cancel (t->poll);
  for (size_t i = 0; i < t->cached_count; i++)
    replica_key_free (&t->cached[i]);
  free (t->cached);
  str_free (&t->addr);
  free (t);
}

struct place_target *
place_target (const struct place_service *s, struct str addr)
{
  struct place_target *t;

  HASH_FIND (hh, s->targets, addr.data, addr.len, t);
  return t;
}

static void
add_target (struct place_service *s, struct str addr)
{
  struct place_target *t = xcalloc (1, sizeof *t);

  t->service = s;
  t->addr = str_dup (addr);
  HASH_ADD_KEYPTR (hh, s->targets, t->addr.data, t->addr.len, t);
}

static bool
listed (const struct place_service *s, const struct host_view *view,
        struct str addr)
{
  const struct host *h = hosts_find (view, addr);

  return h && str_eq (h->service, s->name);
}

/* The list of hosts names the platform's live hosts: what is gone from it has
   no process any more. */
static void
remove_unlisted (struct place_service *s, const struct host_view *view)
{
  struct place_target *t;
  struct place_target *next;

  HASH_ITER (hh, s->targets, t, next)
  {
    if (listed (s, view, t->addr))
      continue;
    HASH_DEL (s->targets, t);
    target_free (t);
  }
  for (size_t i = s->ledger->server_count; i-- > 0;)
    {
      const struct ledger_server *server = s->ledger->servers[i];

      if (listed (s, view, server->addr))
        continue;
      LOG_INFO ("server-gone",
                "service=" STR_FMT " target=" STR_FMT
                " entries=%zu reason=not-listed",
                STR_ARG (s->name), STR_ARG (server->addr),
                server->entry_count);
      ledger_server_gone (s->ledger, server->addr, true);
    }
}

void
place_sync_hosts (struct place_service *s)
{
  const struct host_view *view = kernel_latest (s->kernel, TOPIC_HOSTS);

  if (!view || !place_ready (s))
    return;
  remove_unlisted (s, view);
  for (size_t i = 0; i < view->count; i++)
    {
      const struct host *h = &view->hosts[i];

      if (!str_eq (h->service, s->name))
        continue;
      if (!place_target (s, h->addr))
        add_target (s, h->addr);
      ledger_server_add (s->ledger, h->addr, h->domain)->listed_leaving
          = h->leaving;
    }
}

/* Status polls. */

static void
remember_cached (struct place_target *t, const struct replica_key *key)
{
  for (size_t i = 0; i < t->cached_count; i++)
    if (replica_key_eq (&t->cached[i], key))
      return;
  if (t->cached_count == CACHED_MAX)
    {
      replica_key_free (&t->cached[0]);
      t->cached[0] = t->cached[--t->cached_count];
    }
  t->cached = xrealloc (t->cached, CACHED_MAX * sizeof *t->cached);
  t->cached[t->cached_count++] = replica_key_dup (key);
}

/* Is anything counted that the server does not show? */
static bool
unsettled (const struct ledger_server *server,
           const struct target_status *status)
{
  for (size_t i = 0; i < server->entry_count; i++)
    if (!target_status_find (status, &server->entries[i]->key))
      return true;
  return false;
}

static void
note_loaded (struct place_service *s, struct place_target *t,
             struct ledger_entry *e, uint64_t now)
{
  const uint64_t ms = now - e->decided_ms;

  remember_cached (t, &e->key);
  e->told = true;
  LOG_INFO ("loaded",
            "service=" STR_FMT " target=" STR_FMT " model=" STR_FMT
            " adapter=" STR_FMT " order=" STR_FMT " ms=%lu",
            STR_ARG (s->name), STR_ARG (t->addr), STR_ARG (e->key.model),
            STR_ARG (e->key.adapter), STR_ARG (e->order_id), ms);
  if (!e->slot)
    return;
  e->slot = false;
  place_slot_done (s, e->key.adapter.len > 0 ? BUDGET_ADAPTER : BUDGET_MODEL);
  metrics_add ("galenagate_loads_total", s->labels, 1);
  metrics_observe ("galenagate_load_ms", s->labels, (double)ms);
}

static void
reconcile (struct place_target *t, const struct target_status *status)
{
  struct place_service *s = t->service;
  const uint64_t now = clock_ms ();
  struct ledger_server *server = ledger_server (s->ledger, t->addr);

  if (!server)
    return;
  if (status->leaving && !server->leaving)
    {
      LOG_INFO ("target-leaving", "service=" STR_FMT " target=" STR_FMT,
                STR_ARG (s->name), STR_ARG (t->addr));
      hosts_mark_leaving (hosts_get (s->kernel), t->addr);
    }
  ledger_status (s->ledger, t->addr, status, t->asked_ms, now);
  for (size_t i = 0; i < server->entry_count; i++)
    if (server->entries[i]->loaded_ms > 0 && !server->entries[i]->told)
      note_loaded (s, t, server->entries[i], now);
  t->seq = status->seq;
  t->next_poll_ms = now;
  if (unsettled (server, status))
    {
      t->seq = 0;
      t->next_poll_ms = now + POLL_UNSETTLED_MS;
    }
}

static void
poll_failed (struct place_target *t, const struct err *err)
{
  struct place_service *s = t->service;
  const uint64_t now = clock_ms ();

  t->next_poll_ms = now + POLL_RETRY_MS;
  t->seq = 0;
  if (err->code != -ECONNREFUSED)
    {
      t->refused_since_ms = 0;
      return;
    }
  if (t->refused_since_ms == 0)
    t->refused_since_ms = now;
  struct ledger_server *server = ledger_server (s->ledger, t->addr);
  if (!server || now < t->refused_since_ms + REFUSED_MS
      || (!server->seen && server->entry_count == 0))
    return;
  LOG_WARN ("server-gone",
            "service=" STR_FMT " target=" STR_FMT
            " entries=%zu reason=connection-refused",
            STR_ARG (s->name), STR_ARG (t->addr), server->entry_count);
  ledger_server_gone (s->ledger, t->addr, false);
}

static void
on_status (void *ctx, struct http_call *call, struct err err, int status,
           bool sent, struct str body)
{
  struct place_target *t = ctx;
  struct place_service *s = t->service;
  struct target_status st = { 0 };

  (void)call;
  (void)sent;
  t->poll = NULL;
  if (!place_ready (s))
    {
      t->next_poll_ms = clock_ms () + POLL_RETRY_MS;
      return;
    }
  if (err.code == 0
      && (status != 200 || target_status_decode (body, &st) != 0))
    {
      err = err_make (-EBADMSG, "status", t->addr);
      LOG_WARN ("status-unreadable", "target=" STR_FMT " status=%d",
                STR_ARG (t->addr), status);
    }
  if (err.code != 0)
    poll_failed (t, &err);
  else
    {
      t->refused_since_ms = 0;
      reconcile (t, &st);
      target_status_free (&st);
    }
  place_settle_wakes (s);
  place_decide (s);
  place_poll (s);
}

static const struct http_events status_events = { .done = on_status };

static void
poll_target (struct place_target *t)
{
  struct place_service *s = t->service;
  struct str url
      = str_printf ("http://" STR_FMT "/status?since=%lu&wait_ms=%u",
                    STR_ARG (t->addr), t->seq, POLL_WAIT_MS);
  const struct http_request req = {
    .method = STR ("GET"),
    .url = url,
    .total_ms = POLL_WAIT_MS + POLL_GRACE_MS,
  };

  t->asked_ms = clock_ms ();
  t->poll = http_send (http_get (s->kernel), &req, &status_events, t);
  str_free (&url);
}

void
place_poll (struct place_service *s)
{
  const uint64_t now = clock_ms ();

  if (!place_ready (s))
    return;
  for (struct place_target *t = s->targets; t; t = t->hh.next)
    if (!t->poll && now >= t->next_poll_ms)
      poll_target (t);
}

void
place_poll_stop (struct place_service *s)
{
  struct place_target *t;
  struct place_target *next;

  HASH_ITER (hh, s->targets, t, next)
  {
    HASH_DEL (s->targets, t);
    target_free (t);
  }
}

/* Orders. */

static void
sent_order_free (struct sent_order *o)
{
  str_free (&o->addr);
  str_free (&o->id);
  replica_key_free (&o->key);
  free (o);
}

static void
load_failed (struct place_service *s, const struct sent_order *o)
{
  struct place_target *t = place_target (s, o->addr);
  struct place_wake *w;

  if (t)
    t->avoid_until_ms = clock_ms () + AVOID_MS;
  DL_FOREACH (s->wakes, w)
  if (str_eq (w->want.key.model, o->key.model))
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
        load_failed (s, o);
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
  if (lease_valid (lease_get (s->kernel), s->lease))
    return lease_fence (lease_get (s->kernel), s->lease) == s->ledger->fence;
  return s->fenced && o->kind == ORDER_LOAD;
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
