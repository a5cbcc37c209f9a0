#include "limiter_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "limiter"
#define REDIRECTS_MAX 3

static void
on_deferred (uv_timer_t *timer)
{
  static const struct quota_res granted = { .granted = 1 };
  struct limiter *l = timer->data;
  struct deferred_reply *d = l->deferred;

  l->deferred = NULL;
  l->deferred_tail = &l->deferred;
  while (d)
    {
      struct deferred_reply *next = d->next;

      d->fn (d->ctx, d->err, d->hint, d->err == 0 ? &granted : NULL);
      free (d);
      d = next;
    }
}

static void
defer_reply (struct limiter *l, int err, struct str hint, bus_reply_fn fn,
             void *ctx)
{
  struct deferred_reply *d = xcalloc (1, sizeof *d);

  *d = (struct deferred_reply){
    .err = err, .hint = hint, .fn = fn, .ctx = ctx
  };
  *l->deferred_tail = d;
  l->deferred_tail = &d->next;
  uv_timer_start (&l->deferred_timer, on_deferred, 0, 0);
}

static void
free_pending_take (struct pending_take *t)
{
  str_free (&t->customer);
  str_free (&t->node);
  free (t);
}

static void
complete_take (struct pending_take *t, int err, struct str hint,
               const void *result)
{
  const struct quota_res *res = result;

  if (err == 0 && res->granted > 0 && t->limits_in_flight)
    limiter_add_running (t->limiter, t->customer, t->id);
  t->fn (t->ctx, err, hint, result);
  free_pending_take (t);
}

static void on_take_reply (void *ctx, int err, struct str hint,
                           const void *result);

static void
send_take (struct pending_take *t, struct str node)
{
  const struct quota_args args
      = { .customer = TEXT_STR (t->customer), .take = t->id };
  const uint64_t now_ms = clock_ms ();
  uint64_t timeout_ms = t->expires_ms > now_ms ? t->expires_ms - now_ms : 0;

  if (node.len == 0)
    {
      complete_take (t, -EHOSTUNREACH, STR ("no owner of the limits is known"),
                     NULL);
      return;
    }
  if (timeout_ms > LIMITER_CALL_TIMEOUT_MS)
    timeout_ms = LIMITER_CALL_TIMEOUT_MS;
  str_free (&t->node);
  t->node = str_dup (node);
  bus_call (t->limiter->bus, t->node, PEER_QUOTA, &args, (uint32_t)timeout_ms,
            on_take_reply, t);
}

/* Returns the node to try after one that failed: the current owner in this
   node's view, or the node ranked next if the owner is the one that failed. */
static struct str
fallback_node (const struct pending_take *t)
{
  const struct member_info *m
      = limiter_ranked_node (t->limiter, t->customer, 0);

  if (m && str_eq (m->addr, t->node))
    m = limiter_ranked_node (t->limiter, t->customer, 1);
  return m ? m->addr : (struct str){ 0 };
}

/* Returns true if a new owner refused the take because it has not settled yet,
   and the deadline allows a retry. Owners settle within seconds, so the take
   waits rather than fails. */
static bool
can_wait_for_owner (const struct pending_take *t, const struct quota_res *res)
{
  return res->granted == 0 && res->settling_ms > 0
         && clock_ms () + TICK_MS < t->expires_ms;
}

void
limiter_retry_waiting (struct limiter *l)
{
  struct pending_take *t = l->waiting_takes;

  l->waiting_takes = NULL;
  while (t)
    {
      struct pending_take *next = t->next;
      const struct member_info *owner
          = limiter_ranked_node (l, t->customer, 0);

      t->redirects = 0;
      t->failed_over = false;
      send_take (t, owner ? owner->addr : STR (""));
      t = next;
    }
}

static void
on_take_reply (void *ctx, int err, struct str hint, const void *result)
{
  struct pending_take *t = ctx;
  struct limiter *l = t->limiter;

  if (err == 0 && can_wait_for_owner (t, result))
    {
      t->next = l->waiting_takes;
      l->waiting_takes = t;
    }
  else if (err == 0)
    complete_take (t, 0, hint, result);
  else if (err == -ESTALE && hint.len > 0 && t->redirects++ < REDIRECTS_MAX)
    send_take (t, hint);
  else if (!t->failed_over)
    {
      t->failed_over = true;
      /* The node may have granted the request and its reply been lost. */
      if (err != -ECONNREFUSED && err != -ESTALE)
        limiter_send_finished (l, t->customer, t->node, t->id);
      send_take (t, fallback_node (t));
    }
  else
    {
      metrics_add ("galenagate_quota_unreachable_total", STR (""), 1);
      LOG_WARN ("unreachable",
                "customer=" STR_FMT " peer=" STR_FMT " error=\"%s\"",
                STR_ARG (t->customer), STR_ARG (t->node), err_str (err));
      complete_take (t, err, STR ("neither owner of the limits answered"),
                     NULL);
    }
}

void
limiter_take (struct limiter *l, struct str customer, struct str request_id,
              uint32_t deadline_ms, bus_reply_fn fn, void *ctx)
{
  const struct plan *plan = limiter_plan_of (l, customer);
  const struct member_info *owner = limiter_ranked_node (l, customer, 0);

  if (!plan || (plan->requests_per_s == 0 && plan->in_flight == 0))
    {
      defer_reply (l, plan ? 0 : -ENOENT,
                   plan ? STR ("") : STR ("the customer is in no list"), fn,
                   ctx);
      return;
    }
  if (!owner)
    {
      defer_reply (l, -EHOSTUNREACH, STR ("no owner of the limits is known"),
                   fn, ctx);
      return;
    }
  struct pending_take *t = xcalloc (1, sizeof *t);
  t->limiter = l;
  t->customer = str_dup (customer);
  t->id = quota_request_id (customer, request_id);
  t->expires_ms = clock_ms () + deadline_ms;
  t->limits_in_flight = plan->in_flight > 0;
  t->fn = fn;
  t->ctx = ctx;
  send_take (t, owner->addr);
}

void
limiter_finish (struct limiter *l, struct str customer, struct str request_id)
{
  const uint64_t id = quota_request_id (customer, request_id);
  const struct member_info *owner = limiter_ranked_node (l, customer, 0);

  if (limiter_remove_running (l, customer, id) && owner)
    limiter_send_finished (l, customer, owner->addr, id);
}

void
limiter_free_pending (struct limiter *l)
{
  while (l->waiting_takes)
    {
      struct pending_take *t = l->waiting_takes;

      l->waiting_takes = t->next;
      free_pending_take (t);
    }
  while (l->deferred)
    {
      struct deferred_reply *d = l->deferred;

      l->deferred = d->next;
      free (d);
    }
}
