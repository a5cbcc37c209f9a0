#include "placement.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "lease.h"
#include "log.h"
#include "placement_impl.h"
#include "settings.h"

#define LOG_MODULE "placement"
/* Wake requests are answered at the shorter interval, so that they end close
   to their deadline; all other work is done at the longer one. */
#define TICK_MS 20
#define STEP_MS 100
/* Lease of the load budget of the weight store, which several engine services
   share. */
#define WEIGHTS_LEASE STR ("weights")
/* Time for the former owner to report which orders it never sent. */
#define FENCE_OFF_TIMEOUT_MS 1000
/* Load slots granted by another node expire unused after this time. */
#define GRANTED_SLOTS_VALID_MS 1000
#define SLOT_CALL_TIMEOUT_MS 1000
/* A new owner of the load budget grants no model load for this time, because
   loads that the former owner granted may still run. */
#define BUDGET_TAKEOVER_MS 3000
/* Added to the caller's deadline, so that the owner's answer to an expired
   request still arrives. */
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
  bool weights_campaigning;
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
  return s->ledger && !s->ledger->is_superseded
         && s->ledger->takeover_stored_ms > 0 && s->ledger->fence == s->fence
         && lease_fence (lease_get (s->kernel), s->lease_name) == s->fence;
}

bool
place_ready (const struct place_service *s)
{
  return s->lease_held && place_serving (s)
         && lease_valid (lease_get (s->kernel), s->lease_name);
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
on_slot_reply (void *ctx, int err, struct str hint, const void *result)
{
  struct slot_call *c = ctx;
  struct place_service *s = c->service;
  const load_slot_res *res = result;

  (void)hint;
  s->slot_call_in_flight = false;
  if (err == 0 && res->granted > 0)
    {
      s->granted_slots[c->kind] += res->granted;
      s->granted_until_ms = clock_ms () + GRANTED_SLOTS_VALID_MS;
      place_send_orders (s);
    }
  free (c);
}

static void
request_slots (struct place_service *s, enum budget_kind kind, uint32_t count,
               uint32_t hold_ms)
{
  const load_slot_args args
      = { .service = TEXT_STR (s->name),
          .kind = kind == BUDGET_ADAPTER ? LOAD_ADAPTER : LOAD_MODEL,
          .count = count,
          .hold_ms = hold_ms };
  struct slot_call *c = xmalloc (sizeof *c);

  *c = (struct slot_call){ .service = s, .kind = kind };
  s->slot_call_in_flight = true;
  lease_call (lease_get (s->kernel), WEIGHTS_LEASE, STR (""), PEER_LOAD_SLOT,
              &args, SLOT_CALL_TIMEOUT_MS, on_slot_reply, c);
}

uint32_t
place_take_slots (struct place_service *s, enum budget_kind kind,
                  uint32_t count, uint32_t hold_ms)
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
    s->granted_slots[BUDGET_MODEL] = s->granted_slots[BUDGET_ADAPTER] = 0;
  if (s->granted_slots[kind] >= count)
    {
      s->granted_slots[kind] -= count;
      return count;
    }
  if (!s->slot_call_in_flight)
    request_slots (s, kind, count, hold_ms);
  return 0;
}

/* A PEER_LOAD_SLOT call for 0 slots and 0 ms returns one slot. */
void
place_return_slot (struct place_service *s, enum budget_kind kind)
{
  struct placement *p = s->placement;
  const load_slot_args args
      = { .service = TEXT_STR (s->name),
          .kind = kind == BUDGET_ADAPTER ? LOAD_ADAPTER : LOAD_MODEL };

  if (p->engine_services <= 1 || weights_held (p))
    {
      if (p->budget)
        budget_release (p->budget, s->name, kind, 1);
      return;
    }
  lease_call (lease_get (s->kernel), WEIGHTS_LEASE, STR (""), PEER_LOAD_SLOT,
              &args, SLOT_CALL_TIMEOUT_MS, NULL, NULL);
}

static void
on_slot_request (void *ctx, struct bus_request *req, const void *args)
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
    budget_release (p->budget, STR_TEXT (a->service), kind, 1);
  else
    res.granted
        = budget_take (p->budget, STR_TEXT (a->service), kind, a->count,
                       a->hold_ms, clock_ms (), &res.retry_after_ms);
  bus_reply (req, &res);
}

static void
on_weights_lease (void *ctx, struct str name, bool held, uint64_t fence)
{
  struct placement *p = ctx;

  (void)name;
  if (p->budget)
    budget_destroy (p->budget);
  /* Fence 1 is the first one: no former owner can have granted loads. */
  p->budget
      = held ? budget_create (fence > 1 ? BUDGET_TAKEOVER_MS : 0, clock_ms ())
             : NULL;
}

/* Takeover. */

static void
on_fence_off_reply (void *ctx, int err, struct str hint, const void *result)
{
  struct place_service *s = ctx;
  const fence_off_res *res = result;
  unsigned voided = 0;

  (void)hint;
  s->fence_off_until_ms = 0;
  if (!place_ready (s))
    return;
  for (u_int i = 0; err == 0 && i < res->voided.voided_len; i++)
    voided
        += ledger_void_order (s->ledger, STR_TEXT (res->voided.voided_val[i]));
  LOG_INFO ("fence-off-reply", "service=" STR_FMT " voided=%u error=\"%s\"",
            STR_ARG (s->name), voided, err_str (err));
  place_decide (s);
}

/* Asks the former owner, once after a takeover, to send no more orders and to
   report which of its orders it never sent. */
static void
start_fence_off (struct place_service *s)
{
  const fence_off_args args
      = { .service = TEXT_STR (s->name), .fence = s->ledger->former_fence };

  if (s->fence_off_started)
    return;
  s->fence_off_started = true;
  if (s->ledger->former_writer.len == 0
      || !ledger_has_former_orders (s->ledger))
    return;
  s->fence_off_until_ms = clock_ms () + FENCE_OFF_TIMEOUT_MS;
  bus_call (bus_get (s->kernel), s->ledger->former_writer, PEER_FENCE_OFF,
            &args, FENCE_OFF_TIMEOUT_MS, on_fence_off_reply, s);
}

static void
on_lease (void *ctx, struct str name, bool held, uint64_t fence)
{
  struct place_service *s = ctx;

  (void)name;
  s->lease_held = held;
  if (!held)
    {
      place_reservations_clear (s);
      place_stage_clear (s);
      place_fail_wakes (s, -ESTALE);
      s->idle_counted_ms = 0;
      return;
    }
  if (fence != s->fence)
    s->epoch++;
  s->fence = fence;
  s->load_requested_ms = clock_ms ();
  s->store_retry_ms = 0;
  place_store_step (s);
}

/* Procedures. */

/* Returns the service if this node is the owner of its placement. Otherwise
   fails the request, with the holder as a hint, and returns NULL. */
static struct place_service *
find_owned (struct placement *p, struct bus_request *req, struct str name)
{
  struct place_service *s = find (p, name);

  if (s && (s->lease_held || place_serving (s)))
    return s;
  bus_fail (req, -ESTALE,
            s ? lease_holder (lease_get (p->kernel), s->lease_name)
              : STR (""));
  return NULL;
}

static void
on_wake (void *ctx, struct bus_request *req, const void *args)
{
  const wake_args *a = args;
  struct place_service *s = find_owned (ctx, req, STR_TEXT (a->service));

  if (s)
    place_on_wake (s, req, a);
}

static void
on_usage (void *ctx, struct bus_request *req, const void *args)
{
  const usage_args *a = args;
  struct place_service *s = find_owned (ctx, req, STR_TEXT (a->service));

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
on_fence_off_request (void *ctx, struct bus_request *req, const void *args)
{
  const fence_off_args *a = args;
  struct place_service *s = find (ctx, STR_TEXT (a->service));
  text voided[512];
  fence_off_res res = { .voided = { .voided_val = voided } };

  if (s && s->ledger)
    ledger_fence_off (s->ledger, a->fence, add_voided, &res);
  LOG_INFO ("fence-off-request", "service=" STR_FMT " fence=%lu voided=%u",
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

/* Listed services. */

static struct place_service *
add_service (struct placement *p, const struct service *service)
{
  struct place_service *s = xcalloc (1, sizeof *s);

  s->placement = p;
  s->kernel = p->kernel;
  s->name = str_dup (service->name);
  s->lease_name = str_printf ("placement/" STR_FMT, STR_ARG (s->name));
  s->ledger_key = str_printf ("ledger/" STR_FMT, STR_ARG (s->name));
  s->metric_labels = str_printf ("service=\"" STR_FMT "\"", STR_ARG (s->name));
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
  lease_campaign (lease_get (p->kernel), s->lease_name, s->region, on_lease,
                  s);
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
      on_lease (s, s->lease_name, false, s->fence);
      lease_withdraw (lease_get (p->kernel), s->lease_name);
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
  if (p->engine_services > 1 && !p->weights_campaigning)
    {
      p->weights_campaigning = true;
      lease_campaign (lease_get (p->kernel), WEIGHTS_LEASE, STR (""),
                      on_weights_lease, p);
    }
}

static void
service_step (struct place_service *s)
{
  const uint64_t now = clock_ms ();

  if (s->wakes)
    place_answer_wakes (s);
  if (now < s->next_step_ms)
    return;
  s->next_step_ms = now + STEP_MS;
  place_store_step (s);
  if (!place_serving (s))
    {
      place_poll_stop (s);
      return;
    }
  if (place_ready (s))
    start_fence_off (s);
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
    service_step (s);
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
  bus_handle (bus, PEER_LOAD_SLOT, on_slot_request, p);
  bus_handle (bus, PEER_FENCE_OFF, on_fence_off_request, p);
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
  place_usage_free (s);
  place_reservations_clear (s);
  place_stage_clear (s);
  if (s->ledger)
    ledger_destroy (s->ledger);
  s->policy->ops->destroy (s->policy);
  str_free (&s->name);
  str_free (&s->region);
  str_free (&s->lease_name);
  str_free (&s->ledger_key);
  str_free (&s->metric_labels);
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
