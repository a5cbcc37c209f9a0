#include "limiter_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "limiter"
#define HOPS_MAX 3

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
free_take (struct take *t)
{
  str_free (&t->customer);
  str_free (&t->asked);
  free (t);
}

static void
end_take (struct take *t, int err, struct str hint, const void *result)
{
  const struct quota_res *res = result;

  if (err == 0 && res->granted > 0 && t->is_held)
    limiter_add_held (t->limiter, t->customer, t->id);
  t->fn (t->ctx, err, hint, result);
  free_take (t);
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
  const struct member_info *m = limiter_ranked (t->limiter, t->customer, 0);

  if (m && str_eq (m->addr, t->asked))
    m = limiter_ranked (t->limiter, t->customer, 1);
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

void
limiter_ask_parked (struct limiter *l)
{
  struct take *t = l->parked;

  l->parked = NULL;
  while (t)
    {
      struct take *next = t->next;
      const struct member_info *owner = limiter_ranked (l, t->customer, 0);

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
        limiter_send_finished (l, t->customer, t->asked, t->id);
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
  const struct plan *plan = limiter_plan_of (l, customer);
  const struct member_info *owner = limiter_ranked (l, customer, 0);

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
  const struct member_info *owner = limiter_ranked (l, customer, 0);

  if (limiter_remove_held (l, customer, id) && owner)
    limiter_send_finished (l, customer, owner->addr, id);
}

void
limiter_free_takes (struct limiter *l)
{
  while (l->parked)
    {
      struct take *t = l->parked;

      l->parked = t->next;
      free_take (t);
    }
  while (l->deferred)
    {
      struct deferred *d = l->deferred;

      l->deferred = d->next;
      free (d);
    }
}
