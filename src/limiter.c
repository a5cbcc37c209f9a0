#include "limiter.h"

#include <errno.h>
#include <stdlib.h>

#include <uthash.h>

#include "clock.h"
#include "err.h"
#include "lists.h"
#include "log.h"
#include "member.h"
#include "metrics.h"
#include "quota.h"
#include "settings.h"

#define LOG_MODULE "limiter"
#define TICK_MS 500
/* Less than the entries' wait, so that they still get an answer. */
#define HANDOVER_MS 150
#define RETRY_MS 250
#define HOPS_MAX 3
#define HELD_MAX 512

/* ---- state ---- */

struct held
{
  uint64_t id;
  UT_hash_handle hh;
};

/* Requests of a customer that run at this entry. */
struct holder
{
  struct str customer;
  struct str owner; /* to which they were reported */
  uint64_t owner_instance;
  struct held *ids;
  UT_hash_handle hh;
};

/* struct take - a caller of limiter_take(). */
struct take
{
  struct limiter *limiter;
  struct str customer;
  struct str asked;
  uint64_t id;
  uint64_t ends_ms;
  bool is_held; /* the plan bounds requests in flight */
  bool second;  /* the first owner did not answer */
  unsigned hops;
  bus_reply_fn fn;
  void *ctx;
  struct take *next; /* of those that wait for a new owner to settle */
};

/* An answer without a call, given in the next loop turn. */
struct deferred
{
  int err;
  struct str hint; /* static text */
  bus_reply_fn fn;
  void *ctx;
  struct deferred *next;
};

struct waiting
{
  struct bus_request *req;
  uint64_t id;
  struct waiting *next;
};

/* A handover that this node asked for, and the calls that wait for it. */
struct handover
{
  struct limiter *limiter;
  struct str customer;
  struct waiting *waiting;
  UT_hash_handle hh;
};

struct limiter
{
  struct plugin plugin;
  struct kernel *kernel;
  struct bus *bus;
  struct quota *quota;
  uv_timer_t tick;
  uv_timer_t deferred_timer;
  struct deferred *deferred;
  struct deferred **deferred_end;
  struct holder *holders;
  struct take *parked;
  struct handover *handovers;
  uint64_t ticked_ms;
  uint64_t reported_ms;
};

static struct str
self_addr (const struct limiter *l)
{
  return kernel_settings (l->kernel)->bus_addr;
}

/* Node at a place of the customer's order; NULL if there is none. */
static const struct member_info *
ranked (const struct limiter *l, struct str customer, size_t place)
{
  struct str key = quota_key (customer);
  const struct member_info *m
      = member_rank (kernel_latest (l->kernel, TOPIC_MEMBERS),
                     kernel_settings (l->kernel)->region, key, place);

  str_free (&key);
  return m;
}

static const struct plan *
plan_of (const struct limiter *l, struct str customer)
{
  const struct lists *lists = kernel_latest (l->kernel, TOPIC_LISTS);
  const struct customer *c
      = lists ? lists_customer_named (lists, customer) : NULL;

  return c ? lists_plan (lists, c->plan) : NULL;
}

/* ---- requests that run at this entry ---- */

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
  str_free (&h->owner);
  h->owner = str_dup (owner->addr);
  h->owner_instance = owner->instance;
}

static void
add_held (struct limiter *l, struct str customer, uint64_t id)
{
  struct holder *h = find_holder (l, customer);
  struct held *e;

  if (!h)
    {
      const struct member_info *owner = ranked (l, customer, 0);

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

static void
holder_free (struct limiter *l, struct holder *h)
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
static bool
remove_held (struct limiter *l, struct str customer, uint64_t id)
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
    holder_free (l, h);
  return true;
}

static void
send_finished (struct limiter *l, struct str customer, struct str to,
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
static void
report (struct limiter *l, struct holder *h)
{
  const struct member_info *owner = ranked (l, h->customer, 0);
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

static void
report_all (struct limiter *l, uint64_t now_ms)
{
  l->reported_ms = now_ms;
  for (struct holder *h = l->holders; h; h = h->hh.next)
    report (l, h);
}

/* ---- callers ---- */

static void
on_deferred (uv_timer_t *timer)
{
  static const struct quota_res granted = { .granted = 1 };
  struct limiter *l = timer->data;
  struct deferred *d = l->deferred;

  l->deferred = NULL;
  l->deferred_end = &l->deferred;
  while (d)
    {
      struct deferred *next = d->next;

      d->fn (d->ctx, d->err, d->hint, d->err == 0 ? &granted : NULL);
      free (d);
      d = next;
    }
}

static void
defer (struct limiter *l, int err, struct str hint, bus_reply_fn fn, void *ctx)
{
  struct deferred *d = xcalloc (1, sizeof *d);

  *d = (struct deferred){ .err = err, .hint = hint, .fn = fn, .ctx = ctx };
  *l->deferred_end = d;
  l->deferred_end = &d->next;
  uv_timer_start (&l->deferred_timer, on_deferred, 0, 0);
}

static void
end_take (struct take *t, int err, struct str hint, const void *result)
{
  const struct quota_res *res = result;

  if (err == 0 && res->granted > 0 && t->is_held)
    add_held (t->limiter, t->customer, t->id);
  t->fn (t->ctx, err, hint, result);
  str_free (&t->customer);
  str_free (&t->asked);
  free (t);
}

static void on_taken (void *ctx, int err, struct str hint, const void *result);

static void
ask (struct take *t, struct str node)
{
  const struct quota_args args
      = { .customer = TEXT_STR (t->customer), .take = t->id };
  const uint64_t now_ms = clock_ms ();
  uint64_t wait_ms = t->ends_ms > now_ms ? t->ends_ms - now_ms : 0;

  if (node.len == 0)
    {
      end_take (t, -EHOSTUNREACH, STR ("no owner of the limits is known"),
                NULL);
      return;
    }
  if (wait_ms > LIMITER_CALL_MS)
    wait_ms = LIMITER_CALL_MS;
  str_free (&t->asked);
  t->asked = str_dup (node);
  bus_call (t->limiter->bus, t->asked, PEER_QUOTA, &args, (uint32_t)wait_ms,
            on_taken, t);
}

/* The next node to ask after one that did not answer: the present owner by
   this node's view, or the second if that is the one. */
static struct str
second_node (const struct take *t)
{
  const struct member_info *m = ranked (t->limiter, t->customer, 0);

  if (m && str_eq (m->addr, t->asked))
    m = ranked (t->limiter, t->customer, 1);
  return m ? m->addr : (struct str){ 0 };
}

/* A new owner of the limits settles within seconds; a request that has the
   time waits for it instead of being refused. */
static bool
waits_for_owner (const struct take *t, const struct quota_res *res)
{
  return res->granted == 0 && res->settling_ms > 0
         && clock_ms () + TICK_MS < t->ends_ms;
}

static void
ask_parked (struct limiter *l)
{
  struct take *t = l->parked;

  l->parked = NULL;
  while (t)
    {
      struct take *next = t->next;
      const struct member_info *owner = ranked (l, t->customer, 0);

      t->hops = 0;
      t->second = false;
      ask (t, owner ? owner->addr : STR (""));
      t = next;
    }
}

static void
on_taken (void *ctx, int err, struct str hint, const void *result)
{
  struct take *t = ctx;
  struct limiter *l = t->limiter;

  if (err == 0 && waits_for_owner (t, result))
    {
      t->next = l->parked;
      l->parked = t;
    }
  else if (err == 0)
    end_take (t, 0, hint, result);
  else if (err == -ESTALE && hint.len > 0 && t->hops++ < HOPS_MAX)
    ask (t, hint);
  else if (!t->second)
    {
      t->second = true;
      /* It may have granted the request although no answer came. */
      if (err != -ECONNREFUSED && err != -ESTALE)
        send_finished (l, t->customer, t->asked, t->id);
      ask (t, second_node (t));
    }
  else
    {
      metrics_add ("galenagate_quota_unreachable_total", STR (""), 1);
      LOG_WARN ("unreachable",
                "customer=" STR_FMT " peer=" STR_FMT " error=\"%s\"",
                STR_ARG (t->customer), STR_ARG (t->asked), err_str (err));
      end_take (t, err, STR ("neither owner of the limits answered"), NULL);
    }
}

void
limiter_take (struct limiter *l, struct str customer, struct str request_id,
              uint32_t deadline_ms, bus_reply_fn fn, void *ctx)
{
  const struct plan *plan = plan_of (l, customer);
  const struct member_info *owner = ranked (l, customer, 0);

  if (!plan || (plan->requests_per_s == 0 && plan->in_flight == 0))
    {
      defer (l, plan ? 0 : -ENOENT,
             plan ? STR ("") : STR ("the customer is in no list"), fn, ctx);
      return;
    }
  if (!owner)
    {
      defer (l, -EHOSTUNREACH, STR ("no owner of the limits is known"), fn,
             ctx);
      return;
    }
  struct take *t = xcalloc (1, sizeof *t);
  t->limiter = l;
  t->customer = str_dup (customer);
  t->id = quota_id (customer, request_id);
  t->ends_ms = clock_ms () + deadline_ms;
  t->is_held = plan->in_flight > 0;
  t->fn = fn;
  t->ctx = ctx;
  ask (t, owner->addr);
}

void
limiter_finish (struct limiter *l, struct str customer, struct str request_id)
{
  const uint64_t id = quota_id (customer, request_id);
  const struct member_info *owner = ranked (l, customer, 0);

  if (remove_held (l, customer, id) && owner)
    send_finished (l, customer, owner->addr, id);
}

/* ---- the owner ---- */

static void
refuse (struct bus_request *req, struct str customer, const char *reason,
        uint32_t retry_after_ms, uint32_t settling_ms, struct str detail)
{
  const struct quota_res res = { .retry_after_ms = retry_after_ms,
                                 .settling_ms = settling_ms,
                                 .detail = TEXT_STR (detail) };
  struct str labels = str_printf ("customer=\"" STR_FMT "\",reason=\"%s\"",
                                  STR_ARG (customer), reason);

  metrics_add ("galenagate_quota_refused_total", labels, 1);
  str_free (&labels);
  bus_reply (req, &res);
}

static void
refuse_limit (struct bus_request *req, struct str customer,
              const struct plan *plan, const struct quota_answer *a)
{
  struct str detail = { 0 };
  uint32_t retry_after_ms;

  switch (a->code)
    {
    case QUOTA_RATE:
      detail = str_printf ("plan " STR_FMT " allows %u requests a second and "
                           "bursts of %u",
                           STR_ARG (plan->name), plan->requests_per_s,
                           plan->burst);
      refuse (req, customer, "rate", a->retry_after_ms, 0, detail);
      break;
    case QUOTA_IN_FLIGHT:
      detail = str_printf ("plan " STR_FMT " allows %u requests in flight",
                           STR_ARG (plan->name), plan->in_flight);
      refuse (req, customer, "in-flight", a->retry_after_ms, 0, detail);
      break;
    default:
      retry_after_ms = a->retry_after_ms > 0 ? a->retry_after_ms : RETRY_MS;
      detail = str_printf ("the node that counts for plan " STR_FMT " changed",
                           STR_ARG (plan->name));
      refuse (req, customer, "owner-changed", retry_after_ms, retry_after_ms,
              detail);
      break;
    }
  str_free (&detail);
}

static void ask_former (struct limiter *l, struct str customer,
                        struct str former, struct bus_request *req,
                        uint64_t id);

static void
serve_take (struct limiter *l, struct bus_request *req, struct str customer,
            uint64_t id, bool may_ask)
{
  static const struct quota_res granted = { .granted = 1 };
  const struct plan *plan = plan_of (l, customer);

  if (!plan)
    {
      refuse (req, customer, "unknown", RETRY_MS, 0,
              STR ("the customer is not in the owner's lists"));
      return;
    }
  const struct quota_limits limits = { .requests_per_s = plan->requests_per_s,
                                       .burst = plan->burst,
                                       .in_flight = plan->in_flight };
  const struct quota_answer a
      = quota_take (l->quota, customer, &limits, id, clock_ms ());
  if (a.code == QUOTA_GRANTED)
    bus_reply (req, &granted);
  else if (a.code == QUOTA_NOT_OWNER)
    bus_fail (req, -ESTALE, a.node);
  else if (a.code == QUOTA_ASK_FORMER && may_ask)
    ask_former (l, customer, a.node, req, id);
  else
    refuse_limit (req, customer, plan, &a);
}

static void
on_handover (void *ctx, int err, struct str hint, const void *result)
{
  struct handover *h = ctx;
  struct limiter *l = h->limiter;
  const struct quota_res *res = result;

  (void)hint;
  if (err == 0)
    {
      const struct quota_state state = { .known = res->known,
                                         .tokens = res->tokens,
                                         .settling_ms = res->settling_ms,
                                         .holds = res->holds.holds_val,
                                         .hold_count = res->holds.holds_len };

      quota_import (l->quota, h->customer, &state, clock_ms ());
    }
  else if (err == -EAGAIN)
    quota_former_refused (l->quota, h->customer, clock_ms ());
  else
    quota_former_silent (l->quota, h->customer, clock_ms ());
  LOG_DBG ("handover", "customer=" STR_FMT " known=%d error=\"%s\"",
           STR_ARG (h->customer), err == 0 && res->known, err_str (err));
  HASH_DEL (l->handovers, h);
  while (h->waiting)
    {
      struct waiting *w = h->waiting;

      h->waiting = w->next;
      serve_take (l, w->req, h->customer, w->id, false);
      free (w);
    }
  str_free (&h->customer);
  free (h);
}

static void
ask_former (struct limiter *l, struct str customer, struct str former,
            struct bus_request *req, uint64_t id)
{
  struct waiting *w = xcalloc (1, sizeof *w);
  struct handover *h;

  w->req = req;
  w->id = id;
  HASH_FIND (hh, l->handovers, customer.data, customer.len, h);
  if (h)
    {
      w->next = h->waiting;
      h->waiting = w;
      return;
    }
  h = xcalloc (1, sizeof *h);
  h->limiter = l;
  h->customer = str_dup (customer);
  h->waiting = w;
  HASH_ADD_KEYPTR (hh, l->handovers, h->customer.data, h->customer.len, h);
  const struct quota_args args = { .customer = TEXT_STR (h->customer),
                                   .handover = TEXT_STR (self_addr (l)) };
  bus_call (l->bus, former, PEER_QUOTA, &args, HANDOVER_MS, on_handover, h);
}

static void
serve_handover (struct limiter *l, struct bus_request *req,
                const struct quota_args *a)
{
  struct quota_state state;

  if (!quota_knows (l->quota, STR_TEXT (a->handover)))
    {
      bus_fail (req, -EAGAIN, STR (""));
      return;
    }
  quota_yield (l->quota, STR_TEXT (a->customer), STR_TEXT (a->handover),
               clock_ms (), &state);
  const struct quota_res res = {
    .known = state.known,
    .tokens = state.tokens,
    .settling_ms = state.settling_ms,
    .holds
    = { .holds_len = (u_int)state.hold_count, .holds_val = state.holds },
  };
  bus_reply (req, &res);
  free (state.holds);
}

static void
on_quota (void *ctx, struct bus_request *req, const void *args)
{
  static const struct quota_res nothing = { 0 };
  struct limiter *l = ctx;
  const struct quota_args *a = args;
  const struct str customer = STR_TEXT (a->customer);
  const uint64_t now_ms = clock_ms ();

  for (u_int i = 0; i < a->finished.finished_len; i++)
    quota_finish (l->quota, customer, a->finished.finished_val[i], now_ms);
  for (u_int i = 0; i < a->held.held_len; i++)
    quota_renew (l->quota, customer, a->held.held_val[i], now_ms);
  if (a->handover.text_len > 0)
    serve_handover (l, req, a);
  else if (a->take != 0)
    serve_take (l, req, customer, a->take, true);
  else
    bus_reply (req, &nothing);
}

/* ---- plug-in ---- */

static void
on_members (void *ctx, const void *snapshot)
{
  struct limiter *l = ctx;

  if (!quota_view (l->quota, snapshot, clock_ms ()))
    return;
  for (struct holder *h = l->holders; h; h = h->hh.next)
    {
      const struct member_info *owner = ranked (l, h->customer, 0);

      if (owner
          && (!str_eq (owner->addr, h->owner)
              || owner->instance != h->owner_instance))
        report (l, h);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  struct limiter *l = timer->data;
  const uint64_t now_ms = clock_ms ();

  quota_tick (l->quota, now_ms);
  ask_parked (l);
  metrics_set ("galenagate_quota_customers", STR (""),
               (double)quota_count (l->quota));
  /* After a pause another owner may have missed this node's reports. */
  if (now_ms - l->reported_ms >= QUOTA_RENEW_MS
      || now_ms - l->ticked_ms >= QUOTA_PAUSE_MS)
    report_all (l, now_ms);
  l->ticked_ms = now_ms;
}

struct limiter *
limiter_get (struct kernel *kernel)
{
  return (struct limiter *)kernel_find (kernel, "limiter");
}

static const struct plugin_ops ops;

static struct plugin *
create (struct kernel *kernel)
{
  const struct settings *s = kernel_settings (kernel);
  struct limiter *l = xcalloc (1, sizeof *l);

  l->plugin.ops = &ops;
  l->kernel = kernel;
  l->bus = bus_get (kernel);
  l->quota = quota_create (s->bus_addr, s->region);
  l->deferred_end = &l->deferred;
  uv_timer_init (kernel_loop (kernel), &l->tick);
  uv_timer_init (kernel_loop (kernel), &l->deferred_timer);
  l->tick.data = l;
  l->deferred_timer.data = l;
  bus_handle (l->bus, PEER_QUOTA, on_quota, l);
  kernel_subscribe (kernel, TOPIC_MEMBERS, on_members, l);
  return &l->plugin;
}

static int
start (struct plugin *plugin)
{
  struct limiter *l = (struct limiter *)plugin;

  l->ticked_ms = clock_ms ();
  l->reported_ms = l->ticked_ms;
  return uv_timer_start (&l->tick, on_tick, TICK_MS, TICK_MS);
}

static void
stop (struct plugin *plugin)
{
  struct limiter *l = (struct limiter *)plugin;

  uv_close ((uv_handle_t *)&l->tick, NULL);
  uv_close ((uv_handle_t *)&l->deferred_timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct limiter *l = (struct limiter *)plugin;
  struct holder *h;
  struct holder *next;

  HASH_ITER (hh, l->holders, h, next) { holder_free (l, h); }
  while (l->parked)
    {
      struct take *t = l->parked;

      l->parked = t->next;
      str_free (&t->customer);
      str_free (&t->asked);
      free (t);
    }
  while (l->deferred)
    {
      struct deferred *d = l->deferred;

      l->deferred = d->next;
      free (d);
    }
  quota_destroy (l->quota);
  free (l);
}

static const struct plugin_ops ops = {
  .name = "limiter",
  .rank = RANK_LIMITER,
  .create = create,
  .start = start,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)
