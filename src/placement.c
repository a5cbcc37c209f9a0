#include "placement.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "lease.h"
#include "log.h"
#include "place.h"
#include "settings.h"

#define LOG_MODULE "placement"
/* Callers at their deadline are answered at this interval, the rest of the
   work is done at the longer one. */
#define TICK_MS 20
#define TURN_MS 100
#define WEIGHTS_LEASE STR ("weights")
/* The former owner has this long to say which orders it never sent. */
#define FENCE_OFF_MS 1000
/* Load slots that were granted by another node are used within this time. */
#define GRANT_LIFE_MS 1000
#define SLOT_CALL_MS 1000
/* A new holder of the budget waits for loads of a former one. */
#define BUDGET_BUSY_MS 3000
/* Slack for the owner's answer at the end of the caller's deadline. */
#define WAKE_SLACK_MS 250
#define SERVICES_MAX 64

struct placement
{
  struct plugin base;
  struct kernel *kernel;
  uv_timer_t tick;
  struct place_service *services;
  struct budget *budget;
  size_t engine_services;
  bool weights_campaign;
  bool stopped;
};

static const struct plugin_ops placement_ops;

struct placement *
placement_get (struct kernel *kernel)
{
  return (struct placement *)kernel_find (kernel, placement_ops.name);
}

static struct place_service *
find (const struct placement *p, struct str name)
{
  struct place_service *s;

  HASH_FIND (hh, p->services, name.data, name.len, s);
  return s;
}

const struct model *
place_model (const struct place_service *s, const struct replica_key *key)
{
  const struct lists *lists = kernel_latest (s->kernel, TOPIC_LISTS);
  const struct model *m
      = lists ? lists_model (lists, key->model, STR ("")) : NULL;

  return m && str_eq (m->service, s->name) ? m : NULL;
}

bool
place_serving (const struct place_service *s)
{
  return s->ledger && !s->ledger->dropped && s->ledger->stamped_ms > 0
         && s->ledger->fence == s->fence
         && lease_fence (lease_get (s->kernel), s->lease) == s->fence;
}

bool
place_ready (const struct place_service *s)
{
  return s->held && place_serving (s)
         && lease_valid (lease_get (s->kernel), s->lease);
}

/* The load budget. */

static bool
weights_held (const struct placement *p)
{
  return lease_valid (lease_get (p->kernel), WEIGHTS_LEASE);
}

struct slot_call
{
  struct place_service *service;
  enum budget_kind kind;
};

static void
on_slots (void *ctx, int err, struct str hint, const void *result)
{
  struct slot_call *c = ctx;
  struct place_service *s = c->service;
  const load_slot_res *res = result;

  (void)hint;
  s->slot_busy = false;
  if (err == 0 && res->granted > 0)
    {
      s->granted[c->kind] += res->granted;
      s->granted_until_ms = clock_ms () + GRANT_LIFE_MS;
      place_send_orders (s);
    }
  free (c);
}

static void
ask_slots (struct place_service *s, enum budget_kind kind, uint32_t count,
           uint32_t hold_ms)
{
  const load_slot_args args
      = { .service = TEXT_STR (s->name),
          .kind = kind == BUDGET_ADAPTER ? LOAD_ADAPTER : LOAD_MODEL,
          .count = count,
          .hold_ms = hold_ms };
  struct slot_call *c = xmalloc (sizeof *c);

  *c = (struct slot_call){ .service = s, .kind = kind };
  s->slot_busy = true;
  lease_call (lease_get (s->kernel), WEIGHTS_LEASE, STR (""), PEER_LOAD_SLOT,
              &args, SLOT_CALL_MS, on_slots, c);
}

uint32_t
place_slots (struct place_service *s, enum budget_kind kind, uint32_t count,
             uint32_t hold_ms)
{
  struct placement *p = s->placement;
  uint32_t retry_ms;

  if (p->engine_services <= 1 || (weights_held (p) && p->budget))
    {
      if (!p->budget)
        p->budget = budget_create (0, clock_ms ());
      budget_limits (p->budget, s->loads_per_s, s->loads_at_once);
      return budget_take (p->budget, s->name, kind, count, hold_ms,
                          clock_ms (), &retry_ms);
    }
  if (clock_ms () >= s->granted_until_ms)
    s->granted[BUDGET_MODEL] = s->granted[BUDGET_ADAPTER] = 0;
  if (s->granted[kind] >= count)
    {
      s->granted[kind] -= count;
      return count;
    }
  if (!s->slot_busy)
    ask_slots (s, kind, count, hold_ms);
  return 0;
}

/* A call that asks for 0 slots for 0 ms gives one back. */
void
place_slot_done (struct place_service *s, enum budget_kind kind)
{
  struct placement *p = s->placement;
  const load_slot_args args
      = { .service = TEXT_STR (s->name),
          .kind = kind == BUDGET_ADAPTER ? LOAD_ADAPTER : LOAD_MODEL };

  if (p->engine_services <= 1 || weights_held (p))
    {
      if (p->budget)
        budget_give_back (p->budget, s->name, kind, 1);
      return;
    }
  lease_call (lease_get (s->kernel), WEIGHTS_LEASE, STR (""), PEER_LOAD_SLOT,
              &args, SLOT_CALL_MS, NULL, NULL);
}

static void
on_load_slot (void *ctx, struct bus_request *req, const void *args)
{
  struct placement *p = ctx;
  const load_slot_args *a = args;
  const struct lists *lists = kernel_latest (p->kernel, TOPIC_LISTS);
  const struct service *service
      = lists ? lists_service (lists, STR_TEXT (a->service)) : NULL;
  const enum budget_kind kind
      = a->kind == LOAD_ADAPTER ? BUDGET_ADAPTER : BUDGET_MODEL;
  load_slot_res res = { 0 };

  if (!weights_held (p) || !p->budget)
    {
      bus_fail (req, -ESTALE,
                lease_holder (lease_get (p->kernel), WEIGHTS_LEASE));
      return;
    }
  if (!service)
    {
      bus_fail (req, -ENOENT, STR (""));
      return;
    }
  budget_limits (p->budget, service->loads_per_s, service->loads_at_once);
  if (a->count == 0)
    budget_give_back (p->budget, STR_TEXT (a->service), kind, 1);
  else
    res.granted
        = budget_take (p->budget, STR_TEXT (a->service), kind, a->count,
                       a->hold_ms, clock_ms (), &res.retry_after_ms);
  bus_reply (req, &res);
}

static void
on_weights (void *ctx, struct str name, bool held, uint64_t fence)
{
  struct placement *p = ctx;

  (void)name;
  if (p->budget)
    budget_destroy (p->budget);
  /* The first holder of all has no predecessor whose loads could run. */
  p->budget = held
                  ? budget_create (fence > 1 ? BUDGET_BUSY_MS : 0, clock_ms ())
                  : NULL;
}

/* Takeover. */

static void
on_fence_off (void *ctx, int err, struct str hint, const void *result)
{
  struct place_service *s = ctx;
  const fence_off_res *res = result;
  unsigned voided = 0;

  (void)hint;
  s->former_until_ms = 0;
  if (!place_ready (s))
    return;
  for (u_int i = 0; err == 0 && i < res->voided.voided_len; i++)
    voided += ledger_void (s->ledger, STR_TEXT (res->voided.voided_val[i]));
  LOG_INFO ("fence-off", "service=" STR_FMT " voided=%u error=\"%s\"",
            STR_ARG (s->name), voided, err_str (err));
  place_decide (s);
}

/* Asks the former owner which of its intents it never sent. */
static void
ask_former (struct place_service *s)
{
  const fence_off_args args
      = { .service = TEXT_STR (s->name), .fence = s->ledger->former_fence };

  if (s->former_asked)
    return;
  s->former_asked = true;
  if (s->ledger->former_writer.len == 0 || !ledger_former_intents (s->ledger))
    return;
  s->former_until_ms = clock_ms () + FENCE_OFF_MS;
  bus_call (bus_get (s->kernel), s->ledger->former_writer, PEER_FENCE_OFF,
            &args, FENCE_OFF_MS, on_fence_off, s);
}

static void
on_lease (void *ctx, struct str name, bool held, uint64_t fence)
{
  struct place_service *s = ctx;

  (void)name;
  s->held = held;
  if (!held)
    {
      place_plans_clear (s);
      place_stage_clear (s);
      place_fail_wakes (s, -ESTALE);
      s->idle_counted_ms = 0;
      return;
    }
  if (fence != s->fence)
    s->epoch++;
  s->fence = fence;
  s->asked_ms = clock_ms ();
  s->store_retry_ms = 0;
  place_store_step (s);
}

/* Procedures. */

static struct place_service *
owned (struct placement *p, struct bus_request *req, struct str name)
{
  struct place_service *s = find (p, name);

  if (s && (s->held || place_serving (s)))
    return s;
  bus_fail (req, -ESTALE,
            s ? lease_holder (lease_get (p->kernel), s->lease) : STR (""));
  return NULL;
}

static void
on_wake (void *ctx, struct bus_request *req, const void *args)
{
  const wake_args *a = args;
  struct place_service *s = owned (ctx, req, STR_TEXT (a->service));

  if (s)
    place_on_wake (s, req, a);
}

static void
on_usage (void *ctx, struct bus_request *req, const void *args)
{
  const usage_args *a = args;
  struct place_service *s = owned (ctx, req, STR_TEXT (a->service));

  if (!s)
    return;
  if (place_serving (s))
    place_on_usage (s, req, a);
  else
    bus_fail (req, -EAGAIN, STR (""));
}

static void
add_voided (void *ctx, struct str order_id)
{
  fence_off_res *res = ctx;

  if (res->voided.voided_len < 512)
    res->voided.voided_val[res->voided.voided_len++] = TEXT_STR (order_id);
}

static void
on_fence_off_call (void *ctx, struct bus_request *req, const void *args)
{
  const fence_off_args *a = args;
  struct place_service *s = find (ctx, STR_TEXT (a->service));
  text voided[512];
  fence_off_res res = { .voided = { .voided_val = voided } };

  if (s && s->ledger)
    ledger_fence_off (s->ledger, a->fence, add_voided, &res);
  LOG_INFO ("fenced-off", "service=" STR_FMT " fence=%lu voided=%u",
            STR_ARG (STR_TEXT (a->service)), a->fence, res.voided.voided_len);
  bus_reply (req, &res);
}

static struct str
service_region (const struct placement *p, struct str name)
{
  const struct lists *lists = kernel_latest (p->kernel, TOPIC_LISTS);
  const struct service *service = lists ? lists_service (lists, name) : NULL;

  return service ? service->region : STR ("");
}

static void
call_owner (struct placement *p, struct str service, uint32_t proc,
            const void *args, uint32_t timeout_ms, bus_reply_fn fn, void *ctx)
{
  struct str lease = str_printf ("placement/" STR_FMT, STR_ARG (service));

  lease_call (lease_get (p->kernel), lease, service_region (p, service), proc,
              args, timeout_ms, fn, ctx);
  str_free (&lease);
}

void
placement_wake (struct placement *p, const struct wake_args *args,
                bus_reply_fn fn, void *ctx)
{
  call_owner (p, STR_TEXT (args->service), PEER_WAKE, args,
              args->deadline_ms + WAKE_SLACK_MS, fn, ctx);
}

void
placement_usage (struct placement *p, const struct usage_args *args,
                 uint32_t timeout_ms, bus_reply_fn fn, void *ctx)
{
  call_owner (p, STR_TEXT (args->service), PEER_USAGE, args, timeout_ms, fn,
              ctx);
}

/* Services of the lists. */

static struct place_service *
add_service (struct placement *p, const struct service *service)
{
  struct place_service *s = xcalloc (1, sizeof *s);

  s->placement = p;
  s->kernel = p->kernel;
  s->name = str_dup (service->name);
  s->lease = str_printf ("placement/" STR_FMT, STR_ARG (s->name));
  s->key = str_printf ("ledger/" STR_FMT, STR_ARG (s->name));
  s->labels = str_printf ("service=\"" STR_FMT "\"", STR_ARG (s->name));
  s->policy = policy_create (service->preference);
  s->preference = service->preference;
  HASH_ADD_KEYPTR (hh, p->services, s->name.data, s->name.len, s);
  return s;
}

static void
update_service (struct placement *p, const struct service *service)
{
  struct place_service *s = find (p, service->name);

  if (!s)
    s = add_service (p, service);
  const bool campaign = !s->listed || !str_eq (s->region, service->region);
  s->fenced = service->fenced;
  s->loads_per_s = service->loads_per_s;
  s->loads_at_once = service->loads_at_once;
  s->listed = true;
  if (s->ledger)
    s->ledger->fenced = service->fenced;
  if (s->preference != service->preference)
    {
      s->policy->ops->destroy (s->policy);
      s->policy = policy_create (service->preference);
      s->preference = service->preference;
    }
  if (!campaign)
    return;
  str_free (&s->region);
  s->region = str_dup (service->region);
  lease_campaign (lease_get (p->kernel), s->lease, s->region, on_lease, s);
}

static void
withdraw_unlisted (struct placement *p, const struct lists *lists)
{
  for (struct place_service *s = p->services; s; s = s->hh.next)
    {
      const struct service *service = lists_service (lists, s->name);

      if (!s->listed || (service && service->kind == SERVICE_ENGINE))
        continue;
      s->listed = false;
      on_lease (s, s->lease, false, s->fence);
      lease_withdraw (lease_get (p->kernel), s->lease);
    }
}

static void
on_lists (void *ctx, const void *snapshot)
{
  struct placement *p = ctx;
  const struct lists *lists = snapshot;

  if (!lists)
    return;
  p->engine_services = 0;
  for (size_t i = 0; i < lists->service_count; i++)
    if (lists->services[i].kind == SERVICE_ENGINE)
      {
        p->engine_services++;
        update_service (p, &lists->services[i]);
      }
  withdraw_unlisted (p, lists);
  if (p->engine_services > 1 && !p->weights_campaign)
    {
      p->weights_campaign = true;
      lease_campaign (lease_get (p->kernel), WEIGHTS_LEASE, STR (""),
                      on_weights, p);
    }
}

static void
service_turn (struct place_service *s)
{
  const uint64_t now = clock_ms ();

  if (s->wakes)
    place_settle_wakes (s);
  if (now < s->next_turn_ms)
    return;
  s->next_turn_ms = now + TURN_MS;
  place_store_step (s);
  if (!place_serving (s))
    {
      place_poll_stop (s);
      return;
    }
  if (place_ready (s))
    ask_former (s);
  place_sync_hosts (s);
  place_poll (s);
  place_decide (s);
  place_send_orders (s);
}

static void
on_tick (uv_timer_t *timer)
{
  struct placement *p = timer->data;

  for (struct place_service *s = p->services; s; s = s->hh.next)
    service_turn (s);
}

static void
on_hosts (void *ctx, const void *snapshot)
{
  struct placement *p = ctx;

  (void)snapshot;
  for (struct place_service *s = p->services; s; s = s->hh.next)
    place_sync_hosts (s);
}

static struct plugin *
create (struct kernel *kernel)
{
  struct placement *p = xcalloc (1, sizeof *p);

  p->base.ops = &placement_ops;
  p->kernel = kernel;
  return &p->base;
}

static int
start (struct plugin *plugin)
{
  struct placement *p = (struct placement *)plugin;
  struct bus *bus = bus_get (p->kernel);

  uv_timer_init (kernel_loop (p->kernel), &p->tick);
  p->tick.data = p;
  uv_timer_start (&p->tick, on_tick, TICK_MS, TICK_MS);
  bus_handle (bus, PEER_WAKE, on_wake, p);
  bus_handle (bus, PEER_USAGE, on_usage, p);
  bus_handle (bus, PEER_LOAD_SLOT, on_load_slot, p);
  bus_handle (bus, PEER_FENCE_OFF, on_fence_off_call, p);
  kernel_subscribe (p->kernel, TOPIC_LISTS, on_lists, p);
  kernel_subscribe (p->kernel, TOPIC_HOSTS, on_hosts, p);
  on_lists (p, kernel_latest (p->kernel, TOPIC_LISTS));
  return 0;
}

static void
stop (struct plugin *plugin)
{
  struct placement *p = (struct placement *)plugin;

  p->stopped = true;
  for (struct place_service *s = p->services; s; s = s->hh.next)
    {
      place_poll_stop (s);
      place_fail_wakes (s, -ECANCELED);
    }
  uv_close ((uv_handle_t *)&p->tick, NULL);
}

static void
service_free (struct place_service *s)
{
  place_uses_free (s);
  place_plans_clear (s);
  place_stage_clear (s);
  if (s->ledger)
    ledger_destroy (s->ledger);
  s->policy->ops->destroy (s->policy);
  str_free (&s->name);
  str_free (&s->region);
  str_free (&s->lease);
  str_free (&s->key);
  str_free (&s->labels);
  free (s);
}

static void
destroy (struct plugin *plugin)
{
  struct placement *p = (struct placement *)plugin;
  struct place_service *s;
  struct place_service *next;

  HASH_ITER (hh, p->services, s, next)
  {
    HASH_DEL (p->services, s);
    service_free (s);
  }
  if (p->budget)
    budget_destroy (p->budget);
  free (p);
}

static const struct plugin_ops placement_ops = {
  .name = "placement",
  .rank = RANK_PLACEMENT,
  .create = create,
  .start = start,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (placement_ops)
