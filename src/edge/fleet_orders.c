#include "edge/fleet_impl.h"

#include <string.h>

#include "err.h"

/* Orders to model servers, and their outcome according to the servers' answers
   and reports. */

/* ---- reports ---- */

/* Interval of reports while an order is being carried out. */
#define REPORT_MS 100
/* Delay before a failed report request is repeated. */
#define REPORT_RETRY_MS 500
/* A report may show the state of the server up to this long before. */
#define REPORT_LAG_MS 120

/* After a report request, further suspicions of the server trigger no new one
   for this time. */
#define SUSPECT_AGAIN_MS 300
/* For this long after a node reported that it cannot reach a server, a failed
   report request marks the server as down. */
#define SUSPECT_FRESH_MS 1500

void
fleet_suspect (struct fleet *f, uint64_t server, uint64_t now)
{
  struct fleet_server *s = fleet_find_hash (f, server);

  if (!s)
    return;
  s->suspected_ms = now;
  if (s->next_report_ms > 0 || now < s->reported_ms + SUSPECT_AGAIN_MS)
    return;
  s->next_report_ms = now;
  fleet_server_changed (f, s);
}

struct fleet_server *
fleet_next_report (struct fleet *f, uint64_t now)
{
  const struct due_item *d = due_first (&f->reports, now);
  struct fleet_server *s = d ? d->owner : NULL;

  if (!s)
    return NULL;
  s->report_in_flight = true;
  s->next_report_ms = 0;
  fleet_server_changed (f, s);
  return s;
}

static void
add_coming_adapters (struct fleet *f, struct fleet_server *s,
                     const struct server_report *r, uint64_t now)
{
  for (size_t i = 0; i < r->loading_adapters.count; i++)
    {
      const struct str item = r->loading_adapters.names[i];
      const char *slash = memchr (item.data, '/', item.len);

      if (!slash)
        continue;
      const struct str model = { item.data, (size_t)(slash - item.data) };
      struct str adapter = { slash + 1, item.len - model.len - 1 };
      const char *at = memchr (adapter.data, '@', adapter.len);
      struct replica *replica
          = fleet_replica (s, fleet_model_get (f, s->service, model));

      if (at)
        adapter.len = (size_t)(at - adapter.data);
      if (replica)
        fleet_add_adapter (replica, adapter, now);
    }
}

/* Replaces the state of the server by the report, unless the report is older:
   the order count never decreases while a server runs. */
static void
adopt_report (struct fleet *f, struct fleet_server *s,
              const struct server_report *r, uint64_t now)
{
  if (r->order_count < s->order_count)
    {
      s->next_report_ms = now + REPORT_MS;
      return;
    }
  s->confirmed = true;
  s->order_count = r->order_count;
  fleet_set_models (f, s, r->models, r->model_count);
  add_coming_adapters (f, s, r, now);
  fleet_set_cached (f, s, &r->in_memory, &r->on_disk);
  fleet_became_ready (f, s, now);
}

/* Finds out from the report whether an unanswered order was carried out. */
static void
settle_unanswered (struct fleet *f, struct fleet_server *s,
                   const struct server_report *r, uint64_t now)
{
  if (r->order_count > s->order_count && !r->busy)
    {
      fleet_clear_pending (s);
      adopt_report (f, s, r, now);
    }
  else if (r->order_count > s->order_count)
    {
      s->order_count = r->order_count;
      s->pending.state = PENDING_ACCEPTED;
      s->next_report_ms = now + REPORT_MS;
    }
  /* Otherwise the order is sent again, which is safe: the server carries out
     only one of several orders that expect the same order count. */
}

static void
settle_accepted (struct fleet *f, struct fleet_server *s,
                 const struct server_report *r, uint64_t now)
{
  if (r->order_count < s->order_count || r->busy)
    {
      s->next_report_ms = now + REPORT_MS;
      return;
    }
  fleet_clear_pending (s);
  adopt_report (f, s, r, now);
}

static void
handle_report (struct fleet *f, struct fleet_server *s,
               const struct server_report *r, uint64_t now)
{
  s->down = false;
  if (r->started_ms > 0 && s->started_ms > 0 && r->started_ms != s->started_ms)
    return; /* restarted; its new entry in the store resets the state */
  switch (s->pending.state)
    {
    case PENDING_SENT:
      s->next_report_ms = now + REPORT_MS;
      break;
    case PENDING_UNANSWERED:
      settle_unanswered (f, s, r, now);
      break;
    case PENDING_ACCEPTED:
      settle_accepted (f, s, r, now);
      break;
    case PENDING_NONE:
      if (r->busy)
        s->next_report_ms = now + REPORT_MS;
      else
        adopt_report (f, s, r, now);
      break;
    }
}

void
fleet_report (struct fleet *f, struct str id, const struct server_report *r,
              uint64_t now)
{
  struct fleet_server *s = fleet_find (f, id);

  if (!s)
    return;
  s->report_in_flight = false;
  s->reported_ms = now;
  if (r)
    handle_report (f, s, r, now);
  else
    {
      s->next_report_ms = now + REPORT_RETRY_MS;
      s->down = s->down || now < s->suspected_ms + SUSPECT_FRESH_MS;
    }
  fleet_server_changed (f, s);
}

/* ---- orders ---- */

/* Time from the order to load an adapter until the adapter can be used. */
#define ADAPTER_MS 10
/* Added to the expected duration of an order before it counts as complete. */
#define ORDER_SLACK_MS 20
/* Delay before an unanswered order is sent again. */
#define RESEND_MS 1000
/* A server gets no orders for this long after one could not be sent. */
#define UNREACHABLE_AVOID_MS 500

/* Applies the expected effect of an order that is about to be sent. */
static void
record_order (struct fleet *f, struct fleet_server *s,
              const struct planned_order *p, uint64_t now)
{
  struct replica *r = fleet_replica (s, p->model);

  if (p->adapter.len > 0 && r && p->kind == ORDER_LOAD)
    {
      fleet_add_adapter (r, p->adapter, now + ADAPTER_MS + p->duration_ms);
      fleet_became_ready (f, s, now + ADAPTER_MS + p->duration_ms);
    }
  else if (p->adapter.len > 0 && r)
    fleet_drop_adapter (r, p->adapter);
  else if (p->kind == ORDER_UNLOAD && r)
    r->state = REPLICA_UNLOADING;
  else if (p->kind == ORDER_LOAD)
    {
      r = fleet_add_replica (f, s, p->model);
      r->state = REPLICA_LOADING;
      r->ready_ms = now + p->duration_ms;
      r->ordered_ms = now;
    }
}

static void
fill_order (const struct fleet_server *s, struct order *out)
{
  *out = (struct order){
    .kind = s->pending.kind,
    .model = s->pending.model->name,
    .adapter = s->pending.adapter,
    .server_address = s->address,
    .server_id = s->id,
    .order_count = s->order_count,
  };
}

/* ---- expected completion ---- */

static bool
loads_cached_weights (const struct fleet_server *s)
{
  const struct replica *r = fleet_replica (s, s->pending.model);

  return !s->pending.cold && r && r->state == REPLICA_LOADING;
}

void
fleet_index_pending (struct fleet *f, struct fleet_server *s)
{
  const struct pending_order *p = &s->pending;

  if (p->state == PENDING_ACCEPTED && p->adapter.len == 0
      && (p->kind == ORDER_UNLOAD || loads_cached_weights (s)))
    due_set (&f->completions, &s->completion_due,
             p->expected_ms + ORDER_SLACK_MS);
  else
    due_clear (&f->completions, &s->completion_due);
  if (p->state == PENDING_UNANSWERED && fleet_usable (s))
    due_set (&f->resends, &s->resend_due,
             p->sent_ms + RESEND_MS > s->avoid_until_ms
                 ? p->sent_ms + RESEND_MS
                 : s->avoid_until_ms);
  else
    due_clear (&f->resends, &s->resend_due);
}

/* An unload of a model without calls completes immediately. If it did not, the
   server rejects the next order, and its state is read from a report. */
static void
complete_unload (struct fleet *f, struct fleet_server *s, uint64_t now)
{
  struct replica *r = fleet_replica (s, s->pending.model);

  if (s->pending.model->demand.running > 0)
    {
      due_set (&f->completions, &s->completion_due, now + 1);
      return;
    }
  if (r)
    fleet_drop_replica (f, s, r);
  fleet_clear_pending (s);
  s->next_report_ms = now + REPORT_LAG_MS;
  fleet_server_changed (f, s);
}

/* The duration of a load from the host's memory or disk is known, so that
   calls need not wait for the next report. */
static void
complete_load (struct fleet *f, struct fleet_server *s, uint64_t now)
{
  fleet_replica (s, s->pending.model)->state = REPLICA_READY;
  fleet_server_changed (f, s);
  fleet_became_ready (f, s, now);
}

void
fleet_complete_orders (struct fleet *f, uint64_t now)
{
  struct due_item *d;

  while ((d = due_first (&f->completions, now)))
    {
      struct fleet_server *s = d->owner;

      if (s->pending.kind == ORDER_UNLOAD)
        complete_unload (f, s, now);
      else
        complete_load (f, s, now);
    }
}

/* ---- the next order ---- */

static struct fleet_server *
resend_order (struct fleet *f, uint64_t now, struct order *out,
              struct order_reason *why)
{
  const struct due_item *d = due_first (&f->resends, now);
  struct fleet_server *s = d ? d->owner : NULL;

  if (!s)
    return NULL;
  s->pending.state = PENDING_SENT;
  s->pending.sent_ms = now;
  fleet_server_changed (f, s);
  fill_order (s, out);
  *why = (struct order_reason){ .need = "no-answer", .weights = "-" };
  return s;
}

struct fleet_server *
fleet_next_order (struct fleet *f, uint64_t now, struct order *out,
                  struct order_reason *why)
{
  struct fleet_server *s = resend_order (f, now, out, why);
  struct planned_order p;

  if (s)
    return s;
  if (!plan_adapters (f, now, &p) && !plan_models (f, now, &p))
    return NULL;
  s = p.server;
  s->pending = (struct pending_order){
    .state = PENDING_SENT,
    .kind = p.kind,
    .model = p.model,
    .adapter = str_dup (p.adapter),
    .cold = p.cold,
    .spare = p.spare,
    .sent_ms = now,
    .duration_ms = p.duration_ms,
  };
  p.model->refs++;
  if (p.cold)
    cold_record_start (s, now);
  record_order (f, s, &p, now);
  fleet_server_changed (f, s);
  fill_order (s, out);
  *why = p.reason;
  return s;
}

static void
handle_accepted (struct fleet_server *s, bool is_complete, uint64_t now)
{
  const bool is_adapter = s->pending.adapter.len > 0;
  struct replica *r = fleet_replica (s, s->pending.model);

  s->order_count++;
  if (is_adapter && (s->pending.kind == ORDER_LOAD || is_complete))
    {
      fleet_clear_pending (s);
      return;
    }
  s->pending.state = PENDING_ACCEPTED;
  s->pending.expected_ms = now + s->pending.duration_ms;
  s->next_report_ms = s->pending.expected_ms + REPORT_MS;
  if (r && r->state == REPLICA_LOADING)
    r->ready_ms = s->pending.expected_ms;
}

/* The state of the server differs from what was assumed, so it must be read
   from a report before further orders. */
static void
require_report (struct fleet_server *s, uint64_t now)
{
  fleet_clear_pending (s);
  s->confirmed = false;
  s->next_report_ms = now + REPORT_LAG_MS;
}

void
fleet_order_done (struct fleet *f, struct str id, enum order_result result,
                  uint64_t now)
{
  struct fleet_server *s = fleet_find (f, id);

  if (!s || s->pending.state != PENDING_SENT)
    return;
  switch (result)
    {
    case ORDER_ACCEPTED:
      handle_accepted (s, false, now);
      break;
    case ORDER_UNANSWERED:
      s->pending.state = PENDING_UNANSWERED;
      s->next_report_ms = now + REPORT_MS;
      break;
    case ORDER_NOT_SENT:
      s->avoid_until_ms = now + UNREACHABLE_AVOID_MS;
      require_report (s, now);
      break;
    case ORDER_HOLDS_ALREADY:
      /* This is the answer to an unload of an adapter, which the server
         completes immediately. */
      if (s->pending.kind == ORDER_UNLOAD && s->pending.adapter.len > 0)
        handle_accepted (s, true, now);
      else
        require_report (s, now);
      break;
    case ORDER_CONFLICT:
    case ORDER_FENCED:
    case ORDER_OTHER_INSTANCE:
    case ORDER_REJECTED:
      require_report (s, now);
      break;
    }
  fleet_server_changed (f, s);
}
