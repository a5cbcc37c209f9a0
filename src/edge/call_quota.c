#include "edge/call_impl.h"

#include "log.h"

#define LOG_MODULE "call"

/* The charge of a call to the quota of its tenant. A call is charged once,
   whatever the number of its attempts. */

static uint64_t
call_cost (const struct call *c, const struct quota_spec *spec)
{
  const uint64_t prompt = c->meta.prompt_tokens;
  const uint64_t output = c->meta.output_tokens;

  if (!spec->by_tokens)
    return 1;
  if (!c->meta.has_tokens)
    return spec->plain_tokens;
  return prompt > UINT64_MAX - output ? UINT64_MAX : prompt + output;
}

static void
refuse_call (struct call *c, uint64_t cost,
             const struct tenantquota_decision *decision)
{
  const long age_ms = decision->credit_age_ms == UINT64_MAX
                          ? -1L
                          : (long)decision->credit_age_ms;

  LOG_INFO ("quota-refused",
            "id=" STR_FMT " tenant=" STR_FMT
            " cost=%lu retry_after_ms=%u source=%s credit_age_ms=%ld",
            STR_ARG (c->meta.client_attempt_id), STR_ARG (c->tenant), cost,
            decision->retry_after_ms, quota_source_name (decision->source),
            age_ms);
  call_refuse_quota (c, decision->retry_after_ms);
}

static void
on_decision (void *ctx, const struct tenantquota_decision *decision)
{
  struct call *c = ctx;

  c->awaits_quota = false;
  if (!decision->granted)
    {
      refuse_call (c, c->cost, decision);
      return;
    }
  c->charged = true;
  call_admit (c);
}

/* Returns the quota of the call's tenant; NULL if its calls have no limit. */
static const struct quota_spec *
find_limit (const struct call *c, const struct routing *routing)
{
  const struct tenant *tenant
      = routing->tenants ? tenants_by_name (routing->tenants, c->tenant)
                         : NULL;

  return tenant && tenant->quota.rate_per_s > 0 ? &tenant->quota : NULL;
}

void
call_charge (struct call *c, const struct routing *routing)
{
  static const struct tenantquota_decision never
      = { .retry_after_ms = QUOTA_RETRY_MAX_MS,
          .source = QUOTA_SOURCE_LIMIT,
          .credit_age_ms = UINT64_MAX };
  const struct quota_spec *limit = find_limit (c, routing);
  uint64_t cost;

  if (!limit)
    {
      call_admit (c);
      return;
    }
  cost = call_cost (c, limit);
  if (cost > UINT32_MAX)
    {
      tenantquota_count_refused (c->calls->quota, tenantquota_hash (c->tenant),
                                 UINT32_MAX);
      refuse_call (c, cost, &never);
      return;
    }
  c->cost = (uint32_t)cost;
  c->awaits_quota = true;
  tenantquota_take (c->calls->quota, c->tenant, limit, c->cost, c->priority,
                    &c->quota_wait, on_decision, c);
}

/* Returns true if the call ended without having run. A call whose client left
   was possibly run once an attempt was started. */
static bool
ended_without_running (const struct call *c, enum call_end end)
{
  switch (end)
    {
    case CALL_END_REFUSED:
    case CALL_END_DENIED:
      return true;
    case CALL_END_CLIENT_LEFT:
      return c->sent_ms == 0;
    case CALL_END_SERVED:
    case CALL_END_FAILED:
    case CALL_END_UNKNOWN:
    case CALL_END_CUT:
      break;
    }
  return false;
}

void
call_end_charge (struct call *c, enum call_end end)
{
  if (c->awaits_quota)
    tenantquota_cancel (c->calls->quota, &c->quota_wait);
  c->awaits_quota = false;
  if (c->charged && ended_without_running (c, end))
    tenantquota_refund (c->calls->quota, c->quota_wait.tenant_hash, c->cost);
  c->charged = false;
}
