#include "limiter_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "metrics.h"
#include "settings.h"

struct str
limiter_self_addr (const struct limiter *l)
{
  return kernel_settings (l->kernel)->bus_addr;
}

/* Returns the node at a rank of the customer's rendezvous order, 0 being the
   owner; NULL if there is none. */
const struct member_info *
limiter_ranked_node (const struct limiter *l, struct str customer, size_t rank)
{
  struct str key = quota_key (customer);
  const struct member_info *m
      = member_at_rank (kernel_latest (l->kernel, TOPIC_MEMBERS),
                        kernel_settings (l->kernel)->region, key, rank);

  str_free (&key);
  return m;
}

const struct plan *
limiter_plan_of (const struct limiter *l, struct str customer)
{
  const struct lists *lists = kernel_latest (l->kernel, TOPIC_LISTS);
  const struct customer *c
      = lists ? lists_customer_by_name (lists, customer) : NULL;

  return c ? lists_plan (lists, c->plan) : NULL;
}

static void
on_members (void *ctx, const void *snapshot)
{
  struct limiter *l = ctx;

  if (!quota_set_view (l->quota, snapshot, clock_ms ()))
    return;
  for (struct customer_requests *c = l->customers; c; c = c->hh.next)
    {
      const struct member_info *owner
          = limiter_ranked_node (l, c->customer, 0);

      if (owner
          && (!str_eq (owner->addr, c->reported_to)
              || owner->instance != c->reported_instance))
        limiter_report_customer (l, c);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  struct limiter *l = timer->data;
  const uint64_t now_ms = clock_ms ();

  quota_tick (l->quota, now_ms);
  limiter_retry_waiting (l);
  metrics_set ("galenagate_quota_customers", STR (""),
               (double)quota_count (l->quota));
  /* After a pause, a new owner may lack this node's reports. */
  if (now_ms - l->reported_ms >= QUOTA_RENEW_INTERVAL_MS
      || now_ms - l->ticked_ms >= QUOTA_PAUSE_MIN_MS)
    limiter_report_all (l, now_ms);
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
  l->deferred_tail = &l->deferred;
  uv_timer_init (kernel_loop (kernel), &l->tick);
  uv_timer_init (kernel_loop (kernel), &l->deferred_timer);
  l->tick.data = l;
  l->deferred_timer.data = l;
  bus_handle (l->bus, PEER_QUOTA, limiter_on_quota, l);
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
  struct customer_requests *c;
  struct customer_requests *next;

  HASH_ITER (hh, l->customers, c, next) { limiter_free_customer (l, c); }
  limiter_free_pending (l);
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
