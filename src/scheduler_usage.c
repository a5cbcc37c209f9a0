#include "scheduler_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "placement.h"

#define LOG_MODULE "scheduler"
#define USAGE_ITEMS_MAX 512
#define UNIT_ADAPTERS_MAX 64
#define USAGE_TIMEOUT_MS 2000
#define ANSWER_REPLICAS_MAX 64
/* An unused adapter is reported for this long, so that placement knows its
   idle time when it needs memory. */
#define ADAPTER_REPORT_IDLE_MS (10 * 60 * 1000)

/* Model version and adapter that a wake or an item of a usage report is for.
 */
struct variant_id
{
  struct str service;
  struct str model;
  struct str version;
  struct str adapter;
};

struct wake_call
{
  struct scheduler *scheduler;
  struct variant_id variant;
};

/* One call of placement_usage(). The strings of items point into variants. */
struct report
{
  struct scheduler *scheduler;
  size_t count;
  struct variant_id variants[USAGE_ITEMS_MAX];
  struct usage_item items[USAGE_ITEMS_MAX];
};

static struct variant_id
variant_id_make (const struct unit *u, struct str adapter)
{
  return (struct variant_id){ .service = str_dup (u->service),
                              .model = str_dup (u->model),
                              .version = str_dup (u->version),
                              .adapter = str_dup (adapter) };
}

static void
variant_id_free (struct variant_id *id)
{
  str_free (&id->service);
  str_free (&id->model);
  str_free (&id->version);
  str_free (&id->adapter);
}

static size_t
targets_from_replicas (const struct scheduler *s, const struct unit *u,
                       const replica *replicas, size_t count,
                       struct sched_target *out)
{
  const struct lists *lists = kernel_latest (s->kernel, TOPIC_LISTS);
  const struct host_view *hosts = kernel_latest (s->kernel, TOPIC_HOSTS);
  const struct model *m
      = lists ? lists_model (lists, u->model, u->version) : NULL;
  const uint32_t slots = m && m->slots ? m->slots : 1;

  for (size_t i = 0; i < count && i < ANSWER_REPLICAS_MAX; i++)
    {
      const replica *r = &replicas[i];
      const struct host *h
          = hosts ? hosts_find (hosts, STR_TEXT (r->target)) : NULL;

      out[i] = (struct sched_target){
        .target = STR_TEXT (r->target),
        .domain = STR_TEXT (r->domain),
        .fence = r->fence,
        .instance = r->target_instance,
        .slots = r->slots ? r->slots : slots,
        .leaving = r->leaving || (h && h->leaving),
      };
    }
  return count < ANSWER_REPLICAS_MAX ? count : ANSWER_REPLICAS_MAX;
}

/* ---- wakes ---- */

static void
on_wake_reply (void *ctx, int err, struct str hint, const void *result)
{
  struct wake_call *call = ctx;
  struct scheduler *s = call->scheduler;
  const struct wake_res *res = err ? NULL : result;
  const struct variant_id *id = &call->variant;
  struct unit *u
      = s->stopped ? NULL : unit_find (s, id->service, id->model, id->version);
  struct sched_target list[ANSWER_REPLICAS_MAX];

  (void)hint;
  if (err || (res && res->code != WAKE_LOADED))
    LOG_INFO ("wake-failed",
              "model=" STR_FMT " adapter=" STR_FMT " code=%d detail=\"" STR_FMT
              "\" error=\"%s\"",
              STR_ARG (id->model), STR_ARG (id->adapter),
              res ? (int)res->code : -1, res ? (int)res->detail.text_len : 0,
              res ? res->detail.text_val : "", err_str (err));
  if (u)
    {
      if (res && res->code == WAKE_LOADED)
        sched_targets_loaded (
            u->sched, id->adapter, list,
            targets_from_replicas (s, u, res->replicas.replicas_val,
                                   res->replicas.replicas_len, list),
            clock_ms ());
      sched_wake_done (u->sched, id->adapter, res ? res->code : WAKE_FAILED,
                       res ? res->eta_ms : 0, clock_ms ());
      unit_run_actions (s, u);
    }
  variant_id_free (&call->variant);
  free (call);
}

void
unit_wake (struct scheduler *s, struct unit *u, const struct sched_action *a)
{
  struct wake_call *call = xcalloc (1, sizeof *call);
  const struct wake_args args = {
    .service = TEXT_STR (u->service),
    .model = TEXT_STR (u->model),
    .model_version = TEXT_STR (u->version),
    .adapter = TEXT_STR (a->adapter),
    .priority = a->priority,
    .deadline_ms = a->wait_ms,
    .replicas_wanted = a->replicas,
  };

  call->scheduler = s;
  call->variant = variant_id_make (u, a->adapter);
  placement_wake (s->placement, &args, on_wake_reply, call);
}

/* ---- usage reports ---- */

static void
apply_usage_item (struct scheduler *s, const struct variant_id *id,
                  const struct usage_item_res *item)
{
  struct unit *u = unit_find (s, id->service, id->model, id->version);
  struct sched_target list[ANSWER_REPLICAS_MAX];

  if (!u || !str_eq (STR_TEXT (item->model), id->model))
    return;
  const size_t n = targets_from_replicas (s, u, item->replicas.replicas_val,
                                          item->replicas.replicas_len, list);

  if (id->adapter.len == 0)
    sched_targets (u->sched, list, n, clock_ms ());
  else
    sched_adapter_targets (u->sched, id->adapter, list, n, clock_ms ());
  unit_run_actions (s, u);
}

static void
report_free (struct report *r)
{
  for (size_t i = 0; i < r->count; i++)
    variant_id_free (&r->variants[i]);
  free (r);
}

/* Without an answer, the known replicas stay in use: placement may have no
   owner for some seconds, and the store may be unavailable for long. */
static void
on_usage_reply (void *ctx, int err, struct str hint, const void *result)
{
  struct report *r = ctx;
  const struct usage_res *res = result;

  (void)hint;
  if (!err && res && !r->scheduler->stopped
      && res->items.items_len == r->count)
    for (size_t i = 0; i < r->count; i++)
      apply_usage_item (r->scheduler, &r->variants[i],
                        &res->items.items_val[i]);
  report_free (r);
}

static void
report_send (struct scheduler *s, struct report *r)
{
  const struct usage_args args = {
    .service = TEXT_STR (r->variants[0].service),
    .items = { .items_len = (u_int)r->count, .items_val = r->items },
  };

  placement_usage (s->placement, &args, USAGE_TIMEOUT_MS, on_usage_reply, r);
}

static void
report_add (struct report *r, struct unit *u, struct str adapter)
{
  const struct sched_demand load = sched_take_demand (u->sched, adapter);
  const struct variant_id id = variant_id_make (u, adapter);
  const uint64_t now_ms = clock_ms ();

  r->variants[r->count] = id;
  r->items[r->count++] = (struct usage_item){
    .model = TEXT_STR (id.model),
    .model_version = TEXT_STR (id.version),
    .adapter = TEXT_STR (id.adapter),
    .in_flight = load.in_flight,
    .queued = load.queued,
    .idle_ms = load.in_flight + load.queued > 0
                   ? 0
                   : (uint32_t)(now_ms - load.last_used_ms),
    .requests = load.requests,
  };
}

static void
report_add_unit (struct report *r, struct unit *u)
{
  struct str adapters[UNIT_ADAPTERS_MAX];
  const size_t n = sched_adapters (u->sched, ADAPTER_REPORT_IDLE_MS,
                                   clock_ms (), adapters, UNIT_ADAPTERS_MAX);

  report_add (r, u, STR (""));
  for (size_t i = 0; i < n; i++)
    report_add (r, u, adapters[i]);
}

static bool
service_already_reported (const struct scheduler *s, const struct unit *u)
{
  for (const struct unit *o = s->units; o != u; o = o->hh.next)
    if (o->owned && !o->plain && str_eq (o->service, u->service))
      return true;
  return false;
}

static void
report_service_usage (struct scheduler *s, struct unit *first)
{
  struct report *r = xcalloc (1, sizeof *r);

  r->scheduler = s;
  for (struct unit *u = first; u; u = u->hh.next)
    {
      if (!u->owned || u->plain || !str_eq (u->service, first->service))
        continue;
      if (r->count + 1 + UNIT_ADAPTERS_MAX > USAGE_ITEMS_MAX)
        {
          report_send (s, r);
          r = xcalloc (1, sizeof *r);
          r->scheduler = s;
        }
      report_add_unit (r, u);
    }
  report_send (s, r);
}

void
usage_report (struct scheduler *s)
{
  for (struct unit *u = s->units; u; u = u->hh.next)
    if (u->owned && !u->plain && !service_already_reported (s, u))
      report_service_usage (s, u);
}
