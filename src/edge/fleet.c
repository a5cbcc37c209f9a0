#include "edge/fleet_impl.h"

#include <stdlib.h>

#include "err.h"

/* Servers and the indexes that depend on them. */

/* A server without an entry in the store is kept for this long, so that an
   outdated entry does not restore it. */
#define DEPARTED_KEPT_MS (10 * 60 * 1000)

/* ---- order of servers by free memory ---- */

static int
by_free_memory (const struct fleet_server *a, const struct fleet_server *b)
{
  if (a->free_mb != b->free_mb)
    return a->free_mb > b->free_mb ? -1 : 1;
  if (a->ordinal != b->ordinal)
    return a->ordinal < b->ordinal ? -1 : 1;
  return 0;
}

RB_GENERATE_STATIC (free_memory_tree, fleet_server, free_memory_entry,
                    by_free_memory)

struct fleet_server *
fleet_most_free (struct fleet_service *v)
{
  return RB_MIN (free_memory_tree, &v->servers_by_free_memory);
}

struct fleet_server *
fleet_next_most_free (struct fleet_server *s)
{
  return RB_NEXT (free_memory_tree, &s->service->servers_by_free_memory, s);
}

static double
free_memory (const struct fleet_server *s)
{
  const struct engine_spec *e = s->service->engine;
  double used = 0;

  if (!e)
    return 0;
  for (size_t i = 0; i < s->replica_count; i++)
    used += fleet_replica_mb (&s->replicas[i]);
  return e->weights_mb - used - s->service->adapters_mb;
}

/* ---- indexes ---- */

static void
index_free_memory (struct fleet_server *s)
{
  const double free_mb = free_memory (s);

  if (s->in_free_memory_tree && free_mb == s->free_mb && s->listed)
    return;
  if (s->in_free_memory_tree)
    RB_REMOVE (free_memory_tree, &s->service->servers_by_free_memory, s);
  s->free_mb = free_mb;
  s->in_free_memory_tree = s->listed && s->service->engine;
  if (s->in_free_memory_tree)
    RB_INSERT (free_memory_tree, &s->service->servers_by_free_memory, s);
}

static void
index_report (struct fleet *f, struct fleet_server *s)
{
  if (s->next_report_ms > 0 && s->listed && !s->leaving && s->service->engine
      && !s->report_in_flight)
    due_set (&f->reports, &s->report_due, s->next_report_ms);
  else
    due_clear (&f->reports, &s->report_due);
}

void
fleet_server_changed (struct fleet *f, struct fleet_server *s)
{
  for (size_t i = 0; i < s->replica_count; i++)
    fleet_mark_stale (f, s->replicas[i].ref);
  if (s->reserved_for)
    fleet_mark_stale (f, s->reserved_for);
  index_free_memory (s);
  index_report (f, s);
  fleet_index_pending (f, s);
  cold_update_server (s);
  if (s->listed)
    due_set (&f->updates, &s->update_due, 0);
}

/* ---- servers ---- */

struct fleet *
fleet_create (void)
{
  return xcalloc (1, sizeof (struct fleet));
}

void
fleet_clear_pending (struct fleet_server *s)
{
  if (s->pending.model)
    s->pending.model->refs--;
  str_free (&s->pending.adapter);
  s->pending = (struct pending_order){ 0 };
}

void
fleet_unreserve (struct fleet *f, struct fleet_server *s)
{
  if (!s->reserved_for)
    return;
  server_set_remove (&s->reserved_for->reserved, s);
  server_set_remove (&f->reserved, s);
  s->reserved_for->refs--;
  fleet_mark_stale (f, s->reserved_for);
  s->reserved_for = NULL;
  s->reserved_until_ms = 0;
  s->reserved_cold = false;
}

void
fleet_reserve (struct fleet *f, struct fleet_server *s, struct fleet_model *m,
               uint64_t until_ms, bool cold)
{
  fleet_unreserve (f, s);
  s->reserved_for = m;
  s->reserved_until_ms = until_ms;
  s->reserved_cold = cold;
  m->refs++;
  server_set_add (&m->reserved, s);
  server_set_add (&f->reserved, s);
}

/* Replicas, cached weights, the pending order and the reservation refer to
   models of the service, so they are dropped with it. */
static void
detach_from_service (struct fleet *f, struct fleet_server *s)
{
  if (!s->service)
    return;
  fleet_clear_replicas (f, s);
  fleet_clear_cached (s);
  fleet_clear_pending (s);
  fleet_unreserve (f, s);
  if (s->in_free_memory_tree)
    RB_REMOVE (free_memory_tree, &s->service->servers_by_free_memory, s);
  s->in_free_memory_tree = false;
  server_set_remove (&s->service->servers, s);
  server_set_remove (&s->service->cold.servers, s);
  s->service = NULL;
}

static void
free_server (struct fleet *f, struct fleet_server *s)
{
  HASH_DEL (f->servers, s);
  HASH_DELETE (hh_hash, f->servers_by_hash, s);
  detach_from_service (f, s);
  free (s->cached);
  due_clear (&f->reports, &s->report_due);
  due_clear (&f->completions, &s->completion_due);
  due_clear (&f->resends, &s->resend_due);
  fleet_views_remove (f, s);
  due_clear (&f->departures, &s->departure_due);
  str_free (&s->id);
  str_free (&s->address);
  free (s);
}

void
fleet_forget_departed (struct fleet *f, uint64_t now)
{
  struct due_item *d;

  while ((d = due_first (&f->departures, now)))
    free_server (f, d->owner);
}

void
fleet_destroy (struct fleet *f)
{
  struct fleet_server *s;
  struct fleet_server *next;

  fleet_forget_demand (f);
  HASH_ITER (hh, f->servers, s, next)
  free_server (f, s);
  fleet_index_free (f);
  free (f->reserved.items);
  free (f);
}

void
fleet_set_routing (struct fleet *f, const struct routing *routing,
                   uint32_t load_window_ms)
{
  f->routing = routing;
  f->load_window_ms = load_window_ms;
  fleet_index_routing (f);
}

struct fleet_server *
fleet_find (const struct fleet *f, struct str id)
{
  struct fleet_server *s;

  HASH_FIND (hh, f->servers, id.data, id.len, s);
  return s;
}

struct fleet_server *
fleet_find_hash (const struct fleet *f, uint64_t hash)
{
  struct fleet_server *s;

  HASH_FIND (hh_hash, f->servers_by_hash, &hash, sizeof hash, s);
  return s;
}

bool
fleet_usable (const struct fleet_server *s)
{
  return s->listed && !s->leaving && !s->down;
}

bool
fleet_may_order (const struct fleet_server *s, uint64_t now)
{
  return fleet_usable (s) && s->confirmed && now >= s->avoid_until_ms;
}

bool
fleet_is_idle (const struct fleet_server *s, uint64_t now)
{
  return fleet_may_order (s, now) && s->pending.state == PENDING_NONE;
}

/* Drops the pending order and the reservation, and requires a new report. */
static void
drop_state (struct fleet *f, struct fleet_server *s)
{
  s->confirmed = false;
  s->next_report_ms = 1;
  s->suspected_ms = 0;
  s->down = false;
  fleet_unreserve (f, s);
  fleet_clear_pending (s);
}

static struct fleet_server *
add_server (struct fleet *f, const struct server_entry *e)
{
  struct fleet_server *s = xcalloc (1, sizeof *s);

  s->id = str_dup (e->id);
  s->hash = str_hash (e->id, 0);
  s->ordinal = ++f->ordinals;
  s->started_ms = e->started_ms;
  s->report_due = (struct due_item){ .owner = s, .ordinal = s->ordinal };
  s->completion_due = s->report_due;
  s->resend_due = s->report_due;
  s->update_due = s->report_due;
  s->notice_due = s->report_due;
  s->departure_due = s->report_due;
  HASH_ADD_KEYPTR (hh, f->servers, s->id.data, s->id.len, s);
  HASH_ADD (hh_hash, f->servers_by_hash, hash, sizeof s->hash, s);
  drop_state (f, s);
  return s;
}

/* A server that changes its service keeps no models of the previous one. */
static void
attach_to_service (struct fleet *f, struct fleet_server *s, struct str name)
{
  if (s->service && str_eq (s->service->name, name))
    return;
  detach_from_service (f, s);
  s->service = fleet_service_get (f, name);
  server_set_add (&s->service->servers, s);
}

void
fleet_update_server (struct fleet *f, const struct server_entry *e)
{
  struct fleet_server *s = fleet_find (f, e->id);

  if (!s)
    s = add_server (f, e);
  else if (e->started_ms < s->started_ms)
    return;
  if (e->started_ms > s->started_ms)
    {
      s->started_ms = e->started_ms;
      s->leaving = false;
      s->order_count = 0;
      drop_state (f, s);
    }
  attach_to_service (f, s, e->service);
  if (!s->listed)
    s->listed_ms = f->last_expire_ms;
  s->listed = true;
  due_clear (&f->departures, &s->departure_due);
  s->leaving = s->leaving || e->state == SERVER_DRAINING;
  str_assign (&s->address, e->address);
  s->domain = fleet_domain_get (f, e->domain);
  if (!s->confirmed)
    {
      fleet_set_models (f, s, e->models, e->model_count);
      fleet_set_cached (f, s, &e->in_memory, &e->on_disk);
    }
  fleet_server_changed (f, s);
}

void
fleet_remove_server (struct fleet *f, struct str id)
{
  struct fleet_server *s = fleet_find (f, id);

  if (!s)
    return;
  s->listed = false;
  drop_state (f, s);
  fleet_views_remove (f, s);
  due_set (&f->departures, &s->departure_due,
           f->last_expire_ms + DEPARTED_KEPT_MS);
  fleet_server_changed (f, s);
}

void
fleet_begin_term (struct fleet *f, uint32_t nodes, uint64_t now_ms)
{
  f->previous_nodes = nodes;
  f->term_ms = now_ms;
  fleet_forget_demand (f);
  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      drop_state (f, s);
      s->running = 0;
      fleet_server_changed (f, s);
    }
}

struct str
fleet_server_id (const struct fleet_server *s)
{
  return s->id;
}

struct str
fleet_server_address (const struct fleet_server *s)
{
  return s->address;
}
