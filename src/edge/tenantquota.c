#include "edge/tenantquota.h"

#include <stdlib.h>

#include <uthash.h>

#include "clock.h"
#include "edge/edge.h"
#include "edge/peers.h"
#include "edge/placer_quota.h"
#include "edge/quotaowner.h"
#include "edge/site.h"
#include "err.h"
#include "log.h"
#include "metrics.h"
#include "random.h"

#define LOG_MODULE "quota"
/* Draws for calls that arrive within this time share a datagram. */
#define GATHER_MS 2
/* Number of nodes assumed while neither a holder nor the lease has told it:
   the largest deployment, so that the sum of the fallbacks keeps the limit. */
#define NODES_ASSUMED 410
/* Bound on the tenants that are counted by name. */
#define COUNTED_TENANTS_MAX 1000
/* The boot-time clock runs on in a suspend, the steady one does not. Their
   difference otherwise changes by scheduling delays between two reads only. */
#define SUSPEND_MIN_MS 100
#define NS_PER_MS 1000000

/* A tenant of the configuration. */
struct indexed_tenant
{
  uint64_t hash; /* of the name */
  struct str name;
  struct quota_spec spec;
  UT_hash_handle hh;
};

/* A tenant with counters; kept when the configuration drops it. */
struct counted_tenant
{
  uint64_t hash;
  struct str label;
  UT_hash_handle hh;
};

struct tenantquota
{
  struct plugin plugin;
  struct kernel *kernel;
  struct placer *placer;
  struct quotashare *share;
  struct quotaowner *owner; /* NULL before this node's first term */
  struct indexed_tenant *tenants;
  struct counted_tenant *counted;
  uv_timer_t timer;
  uint64_t timer_due_ms; /* void while the timer is not active */
  int64_t suspended_ms;  /* lead of the boot-time over the steady clock */
};

static const struct plugin_ops ops;

struct tenantquota *
tenantquota_get (struct kernel *kernel)
{
  return (struct tenantquota *)kernel_find (kernel, ops.name);
}

uint64_t
tenantquota_hash (struct str tenant)
{
  return str_hash (tenant, 0);
}

const char *
quota_source_name (enum quota_source source)
{
  switch (source)
    {
    case QUOTA_SOURCE_OWNER:
      return "owner";
    case QUOTA_SOURCE_FALLBACK:
      return "fallback";
    case QUOTA_SOURCE_LIMIT:
      return "limit";
    }
  return "-";
}

/* ---- tenants ---- */

static struct indexed_tenant *
find_tenant (const struct tenantquota *q, uint64_t hash)
{
  struct indexed_tenant *t;

  HASH_FIND (hh, q->tenants, &hash, sizeof hash, t);
  return t;
}

static struct str
tenant_name (const struct tenantquota *q, uint64_t hash)
{
  const struct indexed_tenant *t = find_tenant (q, hash);

  return t ? t->name : STR ("-");
}

static void
clear_tenants (struct tenantquota *q)
{
  struct indexed_tenant *t;
  struct indexed_tenant *next;

  HASH_ITER (hh, q->tenants, t, next)
  {
    HASH_DEL (q->tenants, t);
    str_free (&t->name);
    free (t);
  }
}

static void
index_tenant (void *ctx, const struct tenant *tenant)
{
  struct tenantquota *q = ctx;
  const uint64_t hash = tenantquota_hash (tenant->name);
  struct indexed_tenant *t = find_tenant (q, hash);

  if (t)
    {
      LOG_ERR ("hash-collision", "tenant=" STR_FMT " other=" STR_FMT,
               STR_ARG (tenant->name), STR_ARG (t->name));
      return;
    }
  t = xcalloc (1, sizeof *t);
  t->hash = hash;
  t->name = str_dup (tenant->name);
  t->spec = tenant->quota;
  HASH_ADD (hh, q->tenants, hash, sizeof t->hash, t);
}

static void
on_routing (void *ctx, const void *snapshot)
{
  struct tenantquota *q = ctx;
  const struct routing *routing = snapshot;

  clear_tenants (q);
  if (routing->tenants)
    tenants_each (routing->tenants, index_tenant, q);
}

/* ---- counters ---- */

static void
append_label_value (struct buf *out, struct str text)
{
  for (size_t i = 0; i < text.len; i++)
    buf_printf (out, "%s%c",
                text.data[i] == '"' || text.data[i] == '\\' ? "\\" : "",
                text.data[i]);
}

static struct str
tenant_label (struct tenantquota *q, uint64_t hash)
{
  struct counted_tenant *t;
  struct buf label = { 0 };

  HASH_FIND (hh, q->counted, &hash, sizeof hash, t);
  if (t)
    return t->label;
  if (HASH_COUNT (q->counted) >= COUNTED_TENANTS_MAX)
    return STR ("other");
  t = xcalloc (1, sizeof *t);
  t->hash = hash;
  append_label_value (&label, tenant_name (q, hash));
  t->label = str_dup (buf_str (&label));
  buf_free (&label);
  HASH_ADD (hh, q->counted, hash, sizeof t->hash, t);
  return t->label;
}

static void
count_units (struct tenantquota *q, uint64_t hash, const char *result,
             uint32_t units)
{
  struct str labels = str_printf ("tenant=\"" STR_FMT "\",result=\"%s\"",
                                  STR_ARG (tenant_label (q, hash)), result);

  metrics_add ("galenagate_quota_units_total", labels, units);
  str_free (&labels);
}

void
tenantquota_count_refused (struct tenantquota *q, uint64_t hash,
                           uint32_t units)
{
  count_units (q, hash, "refused", units);
}

/* ---- draws ---- */

static void on_timer (uv_timer_t *timer);

/* Starts the timer for what is due next, which is gathered for a moment. */
static void
schedule (struct tenantquota *q)
{
  const uint64_t now = clock_ms ();
  uint64_t due = quotashare_next_due_ms (q->share);

  if (due == UINT64_MAX)
    {
      uv_timer_stop (&q->timer);
      return;
    }
  if (due < now + GATHER_MS)
    due = now + GATHER_MS;
  if (uv_is_active ((uv_handle_t *)&q->timer) && q->timer_due_ms <= due)
    return;
  q->timer_due_ms = due;
  uv_timer_start (&q->timer, on_timer, due - now, 0);
}

static void
send_draws (struct tenantquota *q)
{
  struct quota_draw draws[DIGEST_QUOTA_MAX];
  quota_draw_item items[DIGEST_QUOTA_MAX];
  size_t count;

  do
    {
      quota_draw_digest d = { .draws.draws_val = items };

      count = quotashare_collect (q->share, clock_ms (), draws,
                                  DIGEST_QUOTA_MAX);
      for (size_t i = 0; i < count; i++)
        items[i] = (quota_draw_item){
          .tenant = draws[i].tenant_hash,
          .number = draws[i].number,
          .wanted_now = draws[i].wanted_now,
          .step = draws[i].step,
          .wanted_ahead = draws[i].wanted_ahead,
        };
      d.draws.draws_len = (u_int)count;
      if (count > 0)
        placer_quota_draw (q->placer, &d);
    }
  while (count == DIGEST_QUOTA_MAX);
}

static void
on_timer (uv_timer_t *timer)
{
  struct tenantquota *q = timer->data;

  quotashare_tick (q->share, clock_ms ());
  send_draws (q);
  schedule (q);
}

static int64_t
suspended_time_ms (uint64_t now_ms)
{
  return (int64_t)now_ms - (int64_t)(uv_hrtime () / NS_PER_MS);
}

/* Returns the current time. Credit expires if the machine was suspended. */
static uint64_t
update_time (struct tenantquota *q)
{
  const uint64_t now = clock_ms ();
  const int64_t suspended_ms = suspended_time_ms (now);

  if (suspended_ms > q->suspended_ms + SUSPEND_MIN_MS)
    {
      LOG_INFO ("quota-resume", "suspended_ms=%ld",
                suspended_ms - q->suspended_ms);
      q->suspended_ms = suspended_ms;
      quotashare_resume (q->share, now);
    }
  return now;
}

/* ---- this node as the holder ---- */

static void
on_term (void *ctx)
{
  struct tenantquota *q = ctx;

  if (q->owner)
    quotaowner_destroy (q->owner);
  q->owner = quotaowner_create (clock_ms ());
}

/* Answers a draw. Returns false if the configuration has no such tenant here
   yet; the node repeats the draw then. */
static bool
answer_draw (struct tenantquota *q, const quota_draw_digest *d,
             const quota_draw_item *item, quota_credit_item *out)
{
  const struct indexed_tenant *t = find_tenant (q, item->tenant);
  const struct quota_draw draw = {
    .tenant_hash = item->tenant,
    .number = item->number,
    .wanted_now = item->wanted_now,
    .step = item->step,
    .wanted_ahead = item->wanted_ahead,
  };
  struct quota_credit credit
      = { .number = item->number, .given = item->wanted_now };

  if (!t)
    return false;
  /* The node may not know yet that the tenant's limit was removed. */
  if (t->spec.rate_per_s > 0)
    quotaowner_draw (q->owner, label_to_str (d->node), d->instance, &t->spec,
                     &draw, clock_ms (), &credit);
  *out = (quota_credit_item){
    .tenant = item->tenant,
    .number = credit.number,
    .given = credit.given,
    .retry_after_ms = credit.retry_after_ms,
  };
  return true;
}

static void
on_draw (void *ctx, struct str from, const quota_draw_digest *d)
{
  struct tenantquota *q = ctx;
  quota_credit_item items[DIGEST_QUOTA_MAX];
  quota_credit_digest credit = { .credits.credits_val = items };

  for (u_int i = 0; i < d->draws.draws_len; i++)
    if (answer_draw (q, d, &d->draws.draws_val[i],
                     &items[credit.credits.credits_len]))
      credit.credits.credits_len++;
  if (credit.credits.credits_len > 0)
    placer_quota_credit (q->placer, from, &credit);
}

/* ---- events of the placer ---- */

static void
on_credit (void *ctx, const quota_credit_digest *d)
{
  struct tenantquota *q = ctx;
  const uint64_t now = update_time (q);

  for (u_int i = 0; i < d->credits.credits_len; i++)
    {
      const quota_credit_item *item = &d->credits.credits_val[i];
      const struct quota_credit credit = {
        .tenant_hash = item->tenant,
        .number = item->number,
        .given = item->given,
        .retry_after_ms = item->retry_after_ms,
      };

      quotashare_credit (q->share, &credit, now);
    }
  schedule (q);
}

static void
on_tick (void *ctx, const struct placer_quota_nodes *nodes)
{
  struct tenantquota *q = ctx;
  const uint64_t now = update_time (q);
  uint32_t count = nodes->count > 0 ? nodes->count : NODES_ASSUMED;

  if (q->owner && nodes->reached > 0)
    {
      const uint32_t known
          = nodes->count > nodes->reached ? nodes->count : nodes->reached;

      quotaowner_set_nodes (q->owner, known, nodes->reached, now);
      quotaowner_tick (q->owner, now);
      count = known;
    }
  quotashare_set_nodes (q->share, count, nodes->holder_known, now);
  schedule (q);
}

static const struct placer_quota_listener placer_listener = {
  .term = on_term,
  .tick = on_tick,
  .draw = on_draw,
  .credit = on_credit,
};

/* ---- events of the share ---- */

static void
report_decision (struct tenantquota *q, struct tenantquota_wait *wait,
                 const struct tenantquota_decision *decision, uint32_t cost)
{
  count_units (q, wait->tenant_hash, decision->granted ? "granted" : "refused",
               cost);
  wait->fn (wait->ctx, decision);
}

static void
on_decided (void *ctx, struct quota_waiter *waiter, bool granted,
            uint32_t retry_after_ms, enum quota_source source)
{
  struct tenantquota *q = ctx;
  struct tenantquota_wait *wait = (struct tenantquota_wait *)waiter;
  const struct tenantquota_decision decision = {
    .granted = granted,
    .retry_after_ms = retry_after_ms,
    .source = source,
    .credit_age_ms
    = quotashare_credit_age_ms (q->share, wait->tenant_hash, clock_ms ()),
  };

  report_decision (q, wait, &decision, waiter->cost);
}

static void
on_fallback_changed (void *ctx, uint64_t hash, bool active)
{
  const struct tenantquota *q = ctx;

  /* A warning, because many refusals at once use up the log's budget for
     lines of lower levels. */
  LOG_WARN ("quota-fallback", "tenant=" STR_FMT " active=%d",
            STR_ARG (tenant_name (q, hash)), active);
}

/* ---- calls ---- */

void
tenantquota_take (struct tenantquota *q, struct str tenant,
                  const struct quota_spec *spec, uint32_t cost,
                  uint32_t priority, struct tenantquota_wait *wait,
                  tenantquota_fn fn, void *ctx)
{
  const uint64_t now = update_time (q);
  struct tenantquota_decision decision = { 0 };
  enum quota_result result;

  wait->tenant_hash = tenantquota_hash (tenant);
  wait->fn = fn;
  wait->ctx = ctx;
  result = quotashare_take (q->share, wait->tenant_hash, spec, cost, priority,
                            now, &wait->waiter, &decision.retry_after_ms,
                            &decision.source);
  schedule (q);
  if (result == QUOTASHARE_WAITING)
    return;
  decision.granted = result == QUOTASHARE_GRANTED;
  decision.credit_age_ms
      = quotashare_credit_age_ms (q->share, wait->tenant_hash, now);
  report_decision (q, wait, &decision, cost);
}

void
tenantquota_cancel (struct tenantquota *q, struct tenantquota_wait *wait)
{
  quotashare_cancel (q->share, &wait->waiter);
}

void
tenantquota_refund (struct tenantquota *q, uint64_t hash, uint32_t units)
{
  count_units (q, hash, "refunded", units);
  quotashare_refund (q->share, hash, units, update_time (q));
  schedule (q);
}

/* ---- plug-in ---- */

static struct plugin *
create (struct kernel *kernel)
{
  struct tenantquota *q = xcalloc (1, sizeof *q);
  const struct quotashare_events events = {
    .decided = on_decided,
    .fallback_changed = on_fallback_changed,
    .ctx = q,
  };
  /* Nodes that start at the same time must differ. */
  const uint64_t seed = str_hash (edge_settings ()->node_name, clock_us ());

  q->plugin.ops = &ops;
  q->kernel = kernel;
  q->placer = placer_get (kernel);
  q->share = quotashare_create (seed, &events);
  q->suspended_ms = suspended_time_ms (clock_ms ());
  uv_timer_init (kernel_loop (kernel), &q->timer);
  q->timer.data = q;
  placer_quota_listen (q->placer, &placer_listener, q);
  kernel_subscribe (kernel, TOPIC_ROUTING, on_routing, q);
  return &q->plugin;
}

static void
stop (struct plugin *plugin)
{
  struct tenantquota *q = (struct tenantquota *)plugin;

  uv_close ((uv_handle_t *)&q->timer, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct tenantquota *q = (struct tenantquota *)plugin;
  struct counted_tenant *t;
  struct counted_tenant *next;

  HASH_ITER (hh, q->counted, t, next)
  {
    HASH_DEL (q->counted, t);
    str_free (&t->label);
    free (t);
  }
  clear_tenants (q);
  if (q->owner)
    quotaowner_destroy (q->owner);
  quotashare_destroy (q->share);
  free (q);
}

static const struct plugin_ops ops = {
  .name = "tenantquota",
  .rank = RANK_QUOTA,
  .profiles = PROFILE_EDGE,
  .create = create,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)
