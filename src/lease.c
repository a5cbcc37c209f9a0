#include "lease.h"

#include <errno.h>
#include <stdlib.h>

#include <uthash.h>

#include "clock.h"
#include "leasecall.h"
#include "leasestate.h"
#include "log.h"
#include "member.h"
#include "metrics.h"
#include "settings.h"
#include "store.h"

#define LOG_MODULE "lease"
/* Interval at which due steps and expired leases are checked. */
#define TICK_MS 100

struct lease
{
  struct lease_table *table;
  struct str name;
  struct str key;
  struct str region;
  struct leasestate *state;
  bool campaigning;
  bool kept_while_draining;
  bool taken_while_draining;
  bool reported_held; /* held or not when last reported */
  uint64_t reported_fence;
  lease_fn fn;
  void *ctx;
  struct str holder; /* node that last answered a call as the holder */
  UT_hash_handle hh;
};

struct lease_table
{
  struct plugin base;
  struct kernel *kernel;
  uv_timer_t tick;
  struct lease *leases;
  struct leasecalls calls;
  bool releasing; /* all leases are released, and none is taken */
  bool draining;  /* kernel_drained() is still to be called */
  uint64_t drain_until_ms;
};

static const struct plugin_ops lease_ops;

struct lease_table *
lease_get (struct kernel *kernel)
{
  return (struct lease_table *)kernel_find (kernel, lease_ops.name);
}

static struct lease *
find (const struct lease_table *t, struct str name)
{
  struct lease *l;

  HASH_FIND (hh, t->leases, name.data, name.len, l);
  return l;
}

static struct lease *
find_or_add (struct lease_table *t, struct str name)
{
  const struct settings *s = kernel_settings (t->kernel);
  struct lease *l = find (t, name);

  if (l)
    return l;
  l = xcalloc (1, sizeof *l);
  l->table = t;
  l->name = str_dup (name);
  l->key = str_printf ("lease/" STR_FMT, STR_ARG (name));
  l->state = leasestate_create (s->bus_addr, kernel_instance (t->kernel),
                                s->lease_ttl_ms, s->lease_margin_ms);
  HASH_ADD_KEYPTR (hh, t->leases, l->name.data, l->name.len, l);
  return l;
}

/* Reports a lease that was gained or lost since the last report. */
static void
report_change (struct lease *l)
{
  const bool held = leasestate_valid (l->state, clock_ms ());
  const uint64_t fence = leasestate_fence (l->state);

  if (held == l->reported_held && (!held || fence == l->reported_fence))
    return;
  l->reported_held = held;
  if (held)
    l->reported_fence = fence;
  LOG_INFO (held ? "lease-gained" : "lease-lost",
            "lease=" STR_FMT " fence=%lu holder=" STR_FMT, STR_ARG (l->name),
            l->reported_fence, STR_ARG (leasestate_holder (l->state)));
  metrics_add (held ? "galenagate_lease_gained_total"
                    : "galenagate_lease_lost_total",
               STR (""), 1);
  if (l->fn)
    l->fn (l->ctx, l->name, held, l->reported_fence);
  kernel_publish (l->table->kernel, TOPIC_LEASES, NULL, NULL);
}

static void step (struct lease *l);

static void
on_read (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct lease *l = ctx;
  struct lease_record r = { 0 };
  int code = err.code;

  if (code == 0)
    code = lease_record_decode (value, &r);
  if (code == -EBADMSG)
    LOG_ERR ("lease-unreadable", "lease=" STR_FMT, STR_ARG (l->name));
  leasestate_read_done (l->state, clock_ms (), code, version, &r);
  str_free (&r.holder);
  report_change (l);
  step (l);
}

static void
on_written (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct lease *l = ctx;

  (void)value;
  if (err.code != 0)
    LOG_DBG ("lease-write-failed", "lease=" STR_FMT " " LOG_E_FMT,
             STR_ARG (l->name), LOG_E_ARG (err));
  leasestate_write_done (l->state, clock_ms (), err.code, version);
  report_change (l);
  step (l);
}

static void
step (struct lease *l)
{
  struct store *store = store_get (l->table->kernel);
  struct lease_record r;

  switch (leasestate_next (l->state, clock_ms (), &r))
    {
    case LEASE_STEP_NONE:
      return;
    case LEASE_STEP_READ:
      store_read (store, l->key, on_read, l);
      return;
    case LEASE_STEP_WRITE:
      break;
    }
  struct str json = lease_record_encode (&r);
  store_write (store, l->key, leasestate_version (l->state), json, on_written,
               l);
  str_free (&json);
}

/* Returns true if this node is to compete for the lease: only the first live
   node of the rendezvous order does. A node also competes while all nodes
   before it are merely suspected of failure, so that its wait for the lease to
   expire overlaps with the failure detection. */
static bool
should_campaign (const struct lease *l, const struct member_view *view)
{
  const struct settings *s = kernel_settings (l->table->kernel);

  for (size_t place = 0;; place++)
    {
      const struct member_info *m
          = member_at_rank (view, l->region, l->name, place);

      if (!m)
        return false;
      if (str_eq (m->addr, s->bus_addr))
        return true;
      if (m->state != MEMBER_SUSPECT)
        return false;
    }
}

/* Returns true if a node that is shutting down is to compete for the lease. */
static bool
should_campaign_while_draining (const struct lease *l,
                                const struct member_view *view)
{
  return l->taken_while_draining && !l->table->releasing
         && !member_at_rank (view, l->region, l->name, 0);
}

static bool
is_candidate (const struct lease *l)
{
  struct kernel *kernel = l->table->kernel;
  const struct member_view *view = kernel_latest (kernel, TOPIC_MEMBERS);

  if (!l->campaigning || !view)
    return false;
  if (kernel_draining (kernel))
    return should_campaign_while_draining (l, view);
  return should_campaign (l, view);
}

static void
update_candidate (struct lease *l)
{
  leasestate_set_candidate (l->state, is_candidate (l));
}

static bool
all_released (const struct lease_table *t)
{
  for (const struct lease *l = t->leases; l; l = l->hh.next)
    if (!leasestate_released (l->state))
      return false;
  return true;
}

static void
on_tick (uv_timer_t *timer)
{
  struct lease_table *t = timer->data;

  for (struct lease *l = t->leases; l; l = l->hh.next)
    {
      report_change (l);
      step (l);
    }
  if (!t->draining)
    return;
  if (!all_released (t) && clock_ms () < t->drain_until_ms)
    return;
  t->draining = false;
  kernel_drained (t->kernel, &t->base);
}

static void
on_members (void *ctx, const void *snapshot)
{
  struct lease_table *t = ctx;

  (void)snapshot;
  for (struct lease *l = t->leases; l; l = l->hh.next)
    update_candidate (l);
}

static void
release (struct lease *l)
{
  leasestate_release (l->state);
  report_change (l);
  step (l);
}

static void
on_drain (void *ctx, const void *snapshot)
{
  struct lease_table *t = ctx;

  (void)snapshot;
  for (struct lease *l = t->leases; l; l = l->hh.next)
    if (l->kept_while_draining)
      update_candidate (l);
    else
      release (l);
}

void
lease_campaign (struct lease_table *t, struct str name, struct str region,
                lease_fn fn, void *ctx)
{
  const struct settings *s = kernel_settings (t->kernel);
  struct lease *l = find_or_add (t, name);

  str_free (&l->region);
  l->region = str_dup (region);
  l->fn = fn;
  l->ctx = ctx;
  l->campaigning = region.len == 0 || str_eq (region, s->region);
  update_candidate (l);
}

void
lease_keep_while_draining (struct lease_table *t, struct str name)
{
  find_or_add (t, name)->kept_while_draining = true;
}

void
lease_take_while_draining (struct lease_table *t, struct str name)
{
  struct lease *l = find_or_add (t, name);

  if (l->taken_while_draining)
    return;
  l->taken_while_draining = true;
  update_candidate (l);
  step (l);
}

void
lease_withdraw (struct lease_table *t, struct str name)
{
  struct lease *l = find (t, name);

  if (!l || !l->campaigning)
    return;
  l->campaigning = false;
  l->fn = NULL;
  release (l);
}

bool
lease_valid (const struct lease_table *t, struct str name)
{
  const struct lease *l = find (t, name);

  return l && leasestate_valid (l->state, clock_ms ());
}

uint64_t
lease_fence (const struct lease_table *t, struct str name)
{
  const struct lease *l = find (t, name);

  return l ? leasestate_fence (l->state) : 0;
}

void
lease_foreach (const struct lease_table *t,
               void (*fn) (void *ctx, struct str name, bool held,
                           uint64_t fence, struct str holder),
               void *ctx)
{
  for (const struct lease *l = t->leases; l; l = l->hh.next)
    fn (ctx, l->name, lease_valid (t, l->name), leasestate_fence (l->state),
        lease_holder (t, l->name));
}

struct str
lease_holder (const struct lease_table *t, struct str name)
{
  const struct lease *l = find (t, name);
  const struct settings *s = kernel_settings (t->kernel);

  if (!l)
    return STR ("");
  if (leasestate_valid (l->state, clock_ms ()))
    return s->bus_addr;
  const struct str read = leasestate_holder (l->state);
  return read.len > 0 && !str_eq (read, s->bus_addr) ? read : l->holder;
}

/* Records which node answered a call as the holder. An empty address means
   that the node of the last call is not known to be the holder. */
static void
set_known_holder (void *ctx, struct str name, struct str holder)
{
  struct lease *l = find_or_add (ctx, name);

  if (str_eq (l->holder, holder))
    return;
  str_free (&l->holder);
  l->holder = str_dup (holder);
}

void
lease_call (struct lease_table *t, struct str name, struct str region,
            uint32_t proc, const void *args, uint32_t timeout_ms,
            bus_reply_fn fn, void *ctx)
{
  leasecall_start (
      &(struct leasecall_params){
          .kernel = t->kernel,
          .calls = &t->calls,
          .name = name,
          .region = region,
          .holder = lease_holder (t, name),
          .proc = proc,
          .args = args,
          .timeout_ms = timeout_ms,
          .update_holder = set_known_holder,
          .update_holder_ctx = t,
      },
      fn, ctx);
}

static struct plugin *
create (struct kernel *kernel)
{
  struct lease_table *t = xcalloc (1, sizeof *t);

  t->base.ops = &lease_ops;
  t->kernel = kernel;
  return &t->base;
}

static int
start (struct plugin *plugin)
{
  struct lease_table *t = (struct lease_table *)plugin;

  uv_timer_init (kernel_loop (t->kernel), &t->tick);
  t->tick.data = t;
  uv_timer_start (&t->tick, on_tick, TICK_MS, TICK_MS);
  kernel_subscribe (t->kernel, TOPIC_MEMBERS, on_members, t);
  kernel_subscribe (t->kernel, TOPIC_DRAIN, on_drain, t);
  return 0;
}

static void
drain (struct plugin *plugin)
{
  struct lease_table *t = (struct lease_table *)plugin;

  t->releasing = true;
  for (struct lease *l = t->leases; l; l = l->hh.next)
    release (l);
  /* If the store is unavailable and a lease can't be released, it expires
     within its lifetime. */
  t->drain_until_ms = clock_ms () + kernel_settings (t->kernel)->lease_ttl_ms;
  t->draining = true;
}

static void
stop (struct plugin *plugin)
{
  struct lease_table *t = (struct lease_table *)plugin;

  leasecall_stop (&t->calls);
  uv_close ((uv_handle_t *)&t->tick, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct lease_table *t = (struct lease_table *)plugin;
  struct lease *l;
  struct lease *next;

  HASH_ITER (hh, t->leases, l, next)
  {
    HASH_DEL (t->leases, l);
    leasestate_destroy (l->state);
    str_free (&l->name);
    str_free (&l->key);
    str_free (&l->region);
    str_free (&l->holder);
    free (l);
  }
  free (t);
}

static const struct plugin_ops lease_ops = {
  .name = "lease",
  .rank = RANK_LEASE,
  .create = create,
  .start = start,
  .drain = drain,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (lease_ops)
