#include "limiter_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "limiter"
/* Shorter than LIMITER_CALL_TIMEOUT_MS, so that entry nodes still get a reply.
 */
#define HANDOVER_TIMEOUT_MS 150
#define RETRY_AFTER_MS 250

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
refuse_take (struct bus_request *req, struct str customer,
             const struct plan *plan, const struct quota_decision *a)
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
      retry_after_ms
          = a->retry_after_ms > 0 ? a->retry_after_ms : RETRY_AFTER_MS;
      detail = str_printf ("the node that counts for plan " STR_FMT " changed",
                           STR_ARG (plan->name));
      refuse (req, customer, "owner-changed", retry_after_ms, retry_after_ms,
              detail);
      break;
    }
  str_free (&detail);
}

static void request_handover (struct limiter *l, struct str customer,
                              struct str previous, struct bus_request *req,
                              uint64_t id);

static void
serve_take (struct limiter *l, struct bus_request *req, struct str customer,
            uint64_t id, bool may_request_handover)
{
  static const struct quota_res granted = { .granted = 1 };
  const struct plan *plan = limiter_plan_of (l, customer);

  if (!plan)
    {
      refuse (req, customer, "unknown", RETRY_AFTER_MS, 0,
              STR ("the customer is not in the owner's lists"));
      return;
    }
  const struct quota_limits limits = { .requests_per_s = plan->requests_per_s,
                                       .burst = plan->burst,
                                       .in_flight = plan->in_flight };
  const struct quota_decision a
      = quota_take (l->quota, customer, &limits, id, clock_ms ());
  if (a.code == QUOTA_GRANTED)
    bus_reply (req, &granted);
  else if (a.code == QUOTA_NOT_OWNER)
    bus_fail (req, -ESTALE, a.node);
  else if (a.code == QUOTA_NEEDS_HANDOVER && may_request_handover)
    request_handover (l, customer, a.node, req, id);
  else
    refuse_take (req, customer, plan, &a);
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
    quota_handover_refused (l->quota, h->customer, clock_ms ());
  else
    quota_handover_failed (l->quota, h->customer, clock_ms ());
  LOG_DBG ("handover", "customer=" STR_FMT " known=%d error=\"%s\"",
           STR_ARG (h->customer), err == 0 && res->known, err_str (err));
  HASH_DEL (l->handovers, h);
  while (h->takes)
    {
      struct queued_take *take = h->takes;

      h->takes = take->next;
      serve_take (l, take->req, h->customer, take->id, false);
      free (take);
    }
  str_free (&h->customer);
  free (h);
}

static void
request_handover (struct limiter *l, struct str customer, struct str previous,
                  struct bus_request *req, uint64_t id)
{
  struct queued_take *take = xcalloc (1, sizeof *take);
  struct handover *h;

  take->req = req;
  take->id = id;
  HASH_FIND (hh, l->handovers, customer.data, customer.len, h);
  if (h)
    {
      take->next = h->takes;
      h->takes = take;
      return;
    }
  h = xcalloc (1, sizeof *h);
  h->limiter = l;
  h->customer = str_dup (customer);
  h->takes = take;
  HASH_ADD_KEYPTR (hh, l->handovers, h->customer.data, h->customer.len, h);
  const struct quota_args args
      = { .customer = TEXT_STR (h->customer),
          .handover = TEXT_STR (limiter_self_addr (l)) };
  bus_call (l->bus, previous, PEER_QUOTA, &args, HANDOVER_TIMEOUT_MS,
            on_handover, h);
}

static void
serve_handover (struct limiter *l, struct bus_request *req,
                const struct quota_args *a)
{
  struct quota_state state;

  if (!quota_has_node (l->quota, STR_TEXT (a->handover)))
    {
      bus_fail (req, -EAGAIN, STR (""));
      return;
    }
  quota_hand_over (l->quota, STR_TEXT (a->customer), STR_TEXT (a->handover),
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

void
limiter_on_quota (void *ctx, struct bus_request *req, const void *args)
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
