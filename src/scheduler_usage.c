#include "scheduler_impl.h"

#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "placement.h"

#define LOG_MODULE "scheduler"
#define ITEMS_MAX 512
#define ADAPTERS_MAX 64
#define USAGE_TIMEOUT_MS 2000
#define REPLICAS_MAX 64
/* An adapter without use is reported this long, so that its idle time is
   known when placement looks for memory. */
#define ADAPTER_REPORT_MS (10 * 60 * 1000)

/* What a wake or an item of a report was about. */
struct subject
{
  struct str service;
  struct str model;
  struct str version;
  struct str adapter;
};

struct wake_call
{
  struct scheduler *scheduler;
  struct subject subject;
};

struct report
{
  struct scheduler *scheduler;
  size_t count;
  struct subject subjects[ITEMS_MAX];
  struct usage_item items[ITEMS_MAX];
};

static struct subject
subject_make (const struct unit *u, struct str adapter)
{
  return (struct subject){ .service = str_dup (u->service),
                           .model = str_dup (u->model),
                           .version = str_dup (u->version),
                           .adapter = str_dup (adapter) };
}

static void
subject_free (struct subject *s)
{
  str_free (&s->service);
  str_free (&s->model);
  str_free (&s->version);
  str_free (&s->adapter);
}

static size_t
read_replicas (const struct scheduler *s, const struct unit *u,
               const replica *replicas, size_t count, struct sched_target *out)
{
  const struct lists *lists = kernel_latest (s->kernel, TOPIC_LISTS);
  const struct host_view *hosts = kernel_latest (s->kernel, TOPIC_HOSTS);
  const struct model *m
      = lists ? lists_model (lists, u->model, u->version) : NULL;
  const uint32_t slots = m && m->slots ? m->slots : 1;

  for (size_t i = 0; i < count && i < REPLICAS_MAX; i++)
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
  return count < REPLICAS_MAX ? count : REPLICAS_MAX;
}

/* ---- wakes ---- */

static void
on_woken (void *ctx, int err, struct str hint, const void *result)
{
  struct wake_call *call = ctx;
  struct scheduler *s = call->scheduler;
  const struct wake_res *res = err ? NULL : result;
  const struct subject *j = &call->subject;
  struct unit *u
      = s->stopped ? NULL : unit_find (s, j->service, j->model, j->version);
  struct sched_target list[REPLICAS_MAX];

  (void)hint;
  if (err || (res && res->code != WAKE_LOADED))
    LOG_INFO ("wake-failed",
              "model=" STR_FMT " adapter=" STR_FMT " code=%d detail=\"" STR_FMT
              "\" error=\"%s\"",
              STR_ARG (j->model), STR_ARG (j->adapter),
              res ? (int)res->code : -1, res ? (int)res->detail.text_len : 0,
              res ? res->detail.text_val : "", err_str (err));
  if (u)
    {
      if (res && res->code == WAKE_LOADED)
        sched_targets_loaded (u->sched, j->adapter, list,
                              read_replicas (s, u, res->replicas.replicas_val,
                                             res->replicas.replicas_len, list),
                              clock_ms ());
      sched_woken (u->sched, j->adapter, res ? res->code : WAKE_FAILED,
                   res ? res->eta_ms : 0, clock_ms ());
      unit_pump (s, u);
    }
  subject_free (&call->subject);
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
  call->subject = subject_make (u, a->adapter);
  placement_wake (s->placement, &args, on_woken, call);
}

/* ---- usage reports ---- */

static void
take_item (struct scheduler *s, const struct subject *j,
           const struct usage_item_res *item)
{
  struct unit *u = unit_find (s, j->service, j->model, j->version);
  struct sched_target list[REPLICAS_MAX];

  if (!u || !str_eq (STR_TEXT (item->model), j->model))
    return;
  const size_t n = read_replicas (s, u, item->replicas.replicas_val,
                                  item->replicas.replicas_len, list);

  if (j->adapter.len == 0)
    sched_targets (u->sched, list, n, clock_ms ());
  else
    sched_adapter (u->sched, j->adapter, list, n, clock_ms ());
  unit_pump (s, u);
}

static void
report_free (struct report *r)
{
  for (size_t i = 0; i < r->count; i++)
    subject_free (&r->subjects[i]);
  free (r);
}

/* Without an answer the known replicas stay in use: placement may be without
   an owner for some seconds, and the store may be down for long. */
static void
on_usage (void *ctx, int err, struct str hint, const void *result)
{
  struct report *r = ctx;
  const struct usage_res *res = result;

  (void)hint;
  if (!err && res && !r->scheduler->stopped
      && res->items.items_len == r->count)
    for (size_t i = 0; i < r->count; i++)
      take_item (r->scheduler, &r->subjects[i], &res->items.items_val[i]);
  report_free (r);
}

static void
report_send (struct scheduler *s, struct report *r)
{
  const struct usage_args args = {
    .service = TEXT_STR (r->subjects[0].service),
    .items = { .items_len = (u_int)r->count, .items_val = r->items },
  };

  placement_usage (s->placement, &args, USAGE_TIMEOUT_MS, on_usage, r);
}

static void
report_add (struct report *r, struct unit *u, struct str adapter)
{
  const struct sched_load load = sched_load (u->sched, adapter);
  const struct subject j = subject_make (u, adapter);
  const uint64_t now_ms = clock_ms ();

  r->subjects[r->count] = j;
  r->items[r->count++] = (struct usage_item){
    .model = TEXT_STR (j.model),
    .model_version = TEXT_STR (j.version),
    .adapter = TEXT_STR (j.adapter),
    .in_flight = load.in_flight,
    .queued = load.queued,
    .idle_ms = load.in_flight + load.queued > 0
                   ? 0
                   : (uint32_t)(now_ms - load.last_used_ms),
    .requests = load.requests,
  };
}

static void
report_unit (struct report *r, struct unit *u)
{
  struct str adapters[ADAPTERS_MAX];
  const size_t n = sched_adapters (u->sched, ADAPTER_REPORT_MS, clock_ms (),
                                   adapters, ADAPTERS_MAX);

  report_add (r, u, STR (""));
  for (size_t i = 0; i < n; i++)
    report_add (r, u, adapters[i]);
}

static bool
earlier_unit_of (const struct scheduler *s, const struct unit *u)
{
  for (const struct unit *o = s->units; o != u; o = o->hh.next)
    if (o->owned && !o->plain && str_eq (o->service, u->service))
      return true;
  return false;
}

static void
report_service (struct scheduler *s, struct unit *first)
{
  struct report *r = xcalloc (1, sizeof *r);

  r->scheduler = s;
  for (struct unit *u = first; u; u = u->hh.next)
    {
      if (!u->owned || u->plain || !str_eq (u->service, first->service))
        continue;
      if (r->count + 1 + ADAPTERS_MAX > ITEMS_MAX)
        {
          report_send (s, r);
          r = xcalloc (1, sizeof *r);
          r->scheduler = s;
        }
      report_unit (r, u);
    }
  report_send (s, r);
}

void
usage_report (struct scheduler *s)
{
  for (struct unit *u = s->units; u; u = u->hh.next)
    if (u->owned && !u->plain && !earlier_unit_of (s, u))
      report_service (s, u);
}
