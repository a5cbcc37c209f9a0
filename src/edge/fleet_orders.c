#include "edge/fleet_impl.h"

#include <string.h>

#include "err.h"

/* Orders to model servers and what becomes of them, as answers and reports
   tell. */

/* ---- reports ---- */

/* Interval of reports while an order is being carried out. */
#define REPORT_MS 100
/* Pause before a server that gave no report is asked again. */
#define REPORT_RETRY_MS 500
/* A report shows the server as it was up to this long before. */
#define REPORT_LAG_MS 120

/* A suspected server that gave a report is not asked again before this. */
#define SUSPECT_AGAIN_MS 300
/* How long a node's word that it cannot reach a server counts. */
#define SUSPECT_FRESH_MS 1500

void
fleet_suspect (struct fleet *f, uint64_t server, uint64_t now)
{
  struct fleet_server *s = fleet_find_hash (f, server);

  if (!s)
    return;
  s->suspected_ms = now;
  if (s->report_due_ms > 0 || now < s->reported_ms + SUSPECT_AGAIN_MS)
    return;
  s->report_due_ms = now;
  fleet_server_changed (f, s);
}

struct fleet_server *
fleet_next_report (struct fleet *f, uint64_t now)
{
  const struct due *d = due_first (&f->reports, now);
  struct fleet_server *s = d ? d->owner : NULL;

  if (!s)
    return NULL;
  s->reporting = true;
  s->report_due_ms = 0;
  fleet_server_changed (f, s);
  return s;
}

static void
take_coming (struct fleet *f, struct fleet_server *s,
             const struct server_report *r, uint64_t now)
{
  for (size_t i = 0; i < r->coming.count; i++)
    {
      const struct str item = r->coming.names[i];
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

/* Takes the report over whole, unless it is older than what is known: within
   one start of a server the count of orders only grows. */
static void
adopt (struct fleet *f, struct fleet_server *s, const struct server_report *r,
       uint64_t now)
{
  if (r->order_count < s->order_count)
    {
      s->report_due_ms = now + REPORT_MS;
      return;
    }
  s->known = true;
  s->order_count = r->order_count;
  fleet_take_models (f, s, r->models, r->model_count);
  take_coming (f, s, r, now);
  fleet_take_at_hand (f, s, &r->in_memory, &r->on_disk);
  fleet_became_ready (f, s, now);
}

/* An order without an answer: was it carried out? */
static void
settle_unanswered (struct fleet *f, struct fleet_server *s,
                   const struct server_report *r, uint64_t now)
{
  if (r->order_count > s->order_count && !r->busy)
    {
      fleet_clear_pending (s);
      adopt (f, s, r, now);
    }
  else if (r->order_count > s->order_count)
    {
      s->order_count = r->order_count;
      s->pending.state = PENDING_ACCEPTED;
      s->report_due_ms = now + REPORT_MS;
    }
  /* Otherwise the plan sends it again: the server carries out only one of
     several orders that expect the same count. */
}

static void
settle_accepted (struct fleet *f, struct fleet_server *s,
                 const struct server_report *r, uint64_t now)
{
  if (r->order_count < s->order_count || r->busy)
    {
      s->report_due_ms = now + REPORT_MS;
      return;
    }
  fleet_clear_pending (s);
  adopt (f, s, r, now);
}

static void
take_report (struct fleet *f, struct fleet_server *s,
             const struct server_report *r, uint64_t now)
{
  s->down = false;
  if (r->started_ms > 0 && s->started_ms > 0 && r->started_ms != s->started_ms)
    return; /* its entry will tell of the restart */
  switch (s->pending.state)
    {
    case PENDING_SENT:
      s->report_due_ms = now + REPORT_MS;
      break;
    case PENDING_UNANSWERED:
      settle_unanswered (f, s, r, now);
      break;
    case PENDING_ACCEPTED:
      settle_accepted (f, s, r, now);
      break;
    case PENDING_NONE:
      if (r->busy)
        s->report_due_ms = now + REPORT_MS;
      else
        adopt (f, s, r, now);
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
  s->reporting = false;
  s->reported_ms = now;
  if (r)
    take_report (f, s, r, now);
  else
    {
      s->report_due_ms = now + REPORT_RETRY_MS;
      s->down = s->down || now < s->suspected_ms + SUSPECT_FRESH_MS;
    }
  fleet_server_changed (f, s);
}

/* ---- orders ---- */

/* Time that an adapter takes from the order until it can be used. */
#define ADAPTER_MS 10
/* Added to the time that an order should take before it is taken as done. */
#define ORDER_SLACK_MS 20
/* An order without an answer is given again after this time. */
#define RESEND_MS 1000
/* A server that could not be reached gets no order for this long. */
#define AVOID_MS 500

static void
note_begin (struct fleet *f, struct fleet_server *s, const struct planned *p,
            uint64_t now)
{
  struct replica *r = fleet_replica (s, p->model);

  if (p->adapter.len > 0 && r && p->kind == ORDER_LOAD)
    {
      fleet_add_adapter (r, p->adapter, now + ADAPTER_MS + p->takes_ms);
      fleet_became_ready (f, s, now + ADAPTER_MS + p->takes_ms);
    }
  else if (p->adapter.len > 0 && r)
    fleet_drop_adapter (r, p->adapter);
  else if (p->kind == ORDER_UNLOAD && r)
    r->state = REPLICA_UNLOADING;
  else if (p->kind == ORDER_LOAD)
    {
      r = fleet_add_replica (f, s, p->model);
      r->state = REPLICA_LOADING;
      r->ready_ms = now + p->takes_ms;
      r->since_ms = now;
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

/* ---- the course of time ---- */

static bool
loads_warm (const struct fleet_server *s)
{
  const struct replica *r = fleet_replica (s, s->pending.model);

  return !s->pending.cold && r && r->state == REPLICA_LOADING;
}

void
fleet_index_pending (struct fleet *f, struct fleet_server *s)
{
  const struct pending *p = &s->pending;

  if (p->state == PENDING_ACCEPTED && p->adapter.len == 0
      && (p->kind == ORDER_UNLOAD || loads_warm (s)))
    due_set (&f->advances, &s->advance, p->expected_ms + ORDER_SLACK_MS);
  else
    due_clear (&f->advances, &s->advance);
  if (p->state == PENDING_UNANSWERED && fleet_usable (s))
    due_set (&f->resends, &s->resend,
             p->since_ms + RESEND_MS > s->avoid_until_ms
                 ? p->since_ms + RESEND_MS
                 : s->avoid_until_ms);
  else
    due_clear (&f->resends, &s->resend);
}

/* An unload of a model without calls is done at once. Should it not be, the
   server refuses the next order, and its report is read. */
static void
advance_unload (struct fleet *f, struct fleet_server *s, uint64_t now)
{
  struct replica *r = fleet_replica (s, s->pending.model);

  if (s->pending.model->wish.running > 0)
    {
      due_set (&f->advances, &s->advance, now + 1);
      return;
    }
  if (r)
    fleet_drop_replica (f, s, r);
  fleet_clear_pending (s);
  s->report_due_ms = now + REPORT_LAG_MS;
  fleet_server_changed (f, s);
}

/* A load from the server's own memory or disk takes a known time, so calls
   need not wait for the next report. */
static void
advance_load (struct fleet *f, struct fleet_server *s, uint64_t now)
{
  fleet_replica (s, s->pending.model)->state = REPLICA_READY;
  fleet_server_changed (f, s);
  fleet_became_ready (f, s, now);
}

void
fleet_advance (struct fleet *f, uint64_t now)
{
  struct due *d;

  while ((d = due_first (&f->advances, now)))
    {
      struct fleet_server *s = d->owner;

      if (s->pending.kind == ORDER_UNLOAD)
        advance_unload (f, s, now);
      else
        advance_load (f, s, now);
    }
}

/* ---- the next order ---- */

static struct fleet_server *
resend (struct fleet *f, uint64_t now, struct order *out,
        struct order_reason *why)
{
  const struct due *d = due_first (&f->resends, now);
  struct fleet_server *s = d ? d->owner : NULL;

  if (!s)
    return NULL;
  s->pending.state = PENDING_SENT;
  s->pending.since_ms = now;
  fleet_server_changed (f, s);
  fill_order (s, out);
  *why = (struct order_reason){ .need = "no-answer", .weights = "-" };
  return s;
}

struct fleet_server *
fleet_next_order (struct fleet *f, uint64_t now, struct order *out,
                  struct order_reason *why)
{
  struct fleet_server *s = resend (f, now, out, why);
  struct planned p;

  if (s)
    return s;
  if (!plan_adapters (f, now, &p) && !plan_models (f, now, &p))
    return NULL;
  s = p.server;
  s->pending = (struct pending){
    .state = PENDING_SENT,
    .kind = p.kind,
    .model = p.model,
    .adapter = str_dup (p.adapter),
    .cold = p.cold,
    .spare = p.spare,
    .since_ms = now,
    .takes_ms = p.takes_ms,
  };
  p.model->refs++;
  if (p.cold)
    cold_begin (s, now);
  note_begin (f, s, &p, now);
  fleet_server_changed (f, s);
  fill_order (s, out);
  *why = p.reason;
  return s;
}

static void
on_accepted (struct fleet_server *s, bool at_once, uint64_t now)
{
  const bool adapter = s->pending.adapter.len > 0;
  struct replica *r = fleet_replica (s, s->pending.model);

  s->order_count++;
  if (adapter && (s->pending.kind == ORDER_LOAD || at_once))
    {
      fleet_clear_pending (s);
      return;
    }
  s->pending.state = PENDING_ACCEPTED;
  s->pending.expected_ms = now + s->pending.takes_ms;
  s->report_due_ms = s->pending.expected_ms + REPORT_MS;
  if (r && r->state == REPLICA_LOADING)
    r->ready_ms = s->pending.expected_ms;
}

/* Something else than believed holds: the server's report tells. */
static void
read_again (struct fleet_server *s, uint64_t now)
{
  fleet_clear_pending (s);
  s->known = false;
  s->report_due_ms = now + REPORT_LAG_MS;
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
      on_accepted (s, false, now);
      break;
    case ORDER_UNANSWERED:
      s->pending.state = PENDING_UNANSWERED;
      s->report_due_ms = now + REPORT_MS;
      break;
    case ORDER_NOT_SENT:
      s->avoid_until_ms = now + AVOID_MS;
      read_again (s, now);
      break;
    case ORDER_HOLDS_ALREADY:
      /* An adapter is unloaded at once, with this answer. */
      if (s->pending.kind == ORDER_UNLOAD && s->pending.adapter.len > 0)
        on_accepted (s, true, now);
      else
        read_again (s, now);
      break;
    case ORDER_CONFLICT:
    case ORDER_FENCED:
    case ORDER_OTHER_INSTANCE:
    case ORDER_REJECTED:
      read_again (s, now);
      break;
    }
  fleet_server_changed (f, s);
}
