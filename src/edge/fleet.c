#include "edge/fleet_impl.h"

#include <stdlib.h>

#include "err.h"

/* Servers and what they hold. */

/* A server without an entry is remembered for this long, so that an old entry
   does not bring it back. */
#define DEPARTED_KEPT_MS (10 * 60 * 1000)

/* ---- order of servers by free memory ---- */

static int
by_free_room (const struct fleet_server *a, const struct fleet_server *b)
{
  if (a->free_mb != b->free_mb)
    return a->free_mb > b->free_mb ? -1 : 1;
  if (a->ordinal != b->ordinal)
    return a->ordinal < b->ordinal ? -1 : 1;
  return 0;
}

RB_GENERATE_STATIC (room_tree, fleet_server, room, by_free_room)

struct fleet_server *
fleet_most_room (struct fleet_service *v)
{
  return RB_MIN (room_tree, &v->room);
}

struct fleet_server *
fleet_less_room (struct fleet_server *s)
{
  return RB_NEXT (room_tree, &s->service->room, s);
}

/* ---- replicas ---- */

static void
unref_adapter (struct replica_adapter *a)
{
  a->ref->refs--;
}

static void
add_adapter (struct replica *r, struct fleet_adapter *a, uint64_t ready_ms)
{
  r->adapters
      = xrealloc (r->adapters, (r->adapter_count + 1) * sizeof *r->adapters);
  r->adapters[r->adapter_count++] = (struct replica_adapter){
    .name = a->name, .ref = a, .ready_ms = ready_ms
  };
  a->refs++;
}

/* The replica's model forgets the server. */
static void
replica_clear (struct fleet *f, struct fleet_server *s, struct replica *r)
{
  for (size_t i = 0; i < r->adapter_count; i++)
    unref_adapter (&r->adapters[i]);
  free (r->adapters);
  server_set_remove (&r->ref->replicas, s);
  r->ref->refs--;
  fleet_stale (f, r->ref);
}

static void
clear_replicas (struct fleet *f, struct fleet_server *s)
{
  for (size_t i = 0; i < s->replica_count; i++)
    replica_clear (f, s, &s->replicas[i]);
  free (s->replicas);
  s->replicas = NULL;
  s->replica_count = 0;
}

struct replica *
fleet_replica (const struct fleet_server *s, const struct fleet_model *m)
{
  for (size_t i = 0; i < s->replica_count; i++)
    if (s->replicas[i].ref == m)
      return &s->replicas[i];
  return NULL;
}

struct replica *
fleet_add_replica (struct fleet *f, struct fleet_server *s,
                   struct fleet_model *m)
{
  struct replica *r = fleet_replica (s, m);

  if (r)
    return r;
  s->replicas
      = xrealloc (s->replicas, (s->replica_count + 1) * sizeof *s->replicas);
  r = &s->replicas[s->replica_count++];
  *r = (struct replica){ .model = m->name, .ref = m };
  server_set_add (&m->replicas, s);
  m->refs++;
  fleet_stale (f, m);
  return r;
}

void
fleet_drop_replica (struct fleet *f, struct fleet_server *s, struct replica *r)
{
  replica_clear (f, s, r);
  *r = s->replicas[--s->replica_count];
}

bool
fleet_has_adapter (const struct replica *r, const struct fleet_adapter *a)
{
  for (size_t i = 0; i < r->adapter_count; i++)
    if (r->adapters[i].ref == a)
      return true;
  return false;
}

void
fleet_add_adapter (struct replica *r, struct str name, uint64_t ready_ms)
{
  struct fleet_adapter *a = fleet_adapter_get (r->ref, name);

  if (!fleet_has_adapter (r, a))
    add_adapter (r, a, ready_ms);
}

void
fleet_drop_adapter (struct replica *r, struct str name)
{
  const struct fleet_adapter *a = fleet_adapter_get (r->ref, name);

  for (size_t i = 0; i < r->adapter_count; i++)
    if (r->adapters[i].ref == a)
      {
        unref_adapter (&r->adapters[i]);
        r->adapters[i] = r->adapters[--r->adapter_count];
        return;
      }
}

size_t
fleet_adapters (const struct fleet_server *s)
{
  size_t n = 0;

  for (size_t i = 0; i < s->replica_count; i++)
    n += s->replicas[i].adapter_count;
  return n;
}

/* A model that the configuration does not name may be of any size. */
double
fleet_replica_mb (const struct replica *r)
{
  const struct fleet_model *m = r->ref;

  return m->spec ? m->spec->weights_mb : m->service->engine->weights_mb;
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
index_room (struct fleet_server *s)
{
  const double free_mb = free_memory (s);

  if (s->in_room && free_mb == s->free_mb && s->listed)
    return;
  if (s->in_room)
    RB_REMOVE (room_tree, &s->service->room, s);
  s->free_mb = free_mb;
  s->in_room = s->listed && s->service->engine;
  if (s->in_room)
    RB_INSERT (room_tree, &s->service->room, s);
}

static void
index_report (struct fleet *f, struct fleet_server *s)
{
  if (s->report_due_ms > 0 && s->listed && !s->leaving && s->service->engine
      && !s->reporting)
    due_set (&f->reports, &s->report, s->report_due_ms);
  else
    due_clear (&f->reports, &s->report);
}

void
fleet_server_changed (struct fleet *f, struct fleet_server *s)
{
  for (size_t i = 0; i < s->replica_count; i++)
    fleet_stale (f, s->replicas[i].ref);
  if (s->reserved_for)
    fleet_stale (f, s->reserved_for);
  index_room (s);
  index_report (f, s);
  fleet_index_pending (f, s);
  cold_note (s);
  if (s->listed)
    due_set (&f->tells, &s->tell, 0);
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
  s->pending = (struct pending){ 0 };
}

void
fleet_unreserve (struct fleet *f, struct fleet_server *s)
{
  if (!s->reserved_for)
    return;
  server_set_remove (&s->reserved_for->reserved, s);
  server_set_remove (&f->reserved, s);
  s->reserved_for->refs--;
  fleet_stale (f, s->reserved_for);
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

static void
leave_service (struct fleet_server *s)
{
  if (!s->service)
    return;
  if (s->in_room)
    RB_REMOVE (room_tree, &s->service->room, s);
  s->in_room = false;
  server_set_remove (&s->service->servers, s);
  server_set_remove (&s->service->cold.servers, s);
  s->service = NULL;
}

static void
clear_at_hand (struct fleet_server *s)
{
  for (size_t i = 0; i < s->at_hand_count; i++)
    {
      struct fleet_model *m = s->at_hand[i];

      for (size_t j = 0; j < m->copy_count; j++)
        if (m->copies[j].server == s)
          {
            m->copies[j] = m->copies[--m->copy_count];
            break;
          }
      m->refs--;
    }
  s->at_hand_count = 0;
}

static void
free_server (struct fleet *f, struct fleet_server *s)
{
  HASH_DEL (f->servers, s);
  HASH_DELETE (hh_hash, f->servers_by_hash, s);
  clear_replicas (f, s);
  clear_at_hand (s);
  free (s->at_hand);
  fleet_clear_pending (s);
  fleet_unreserve (f, s);
  leave_service (s);
  due_clear (&f->reports, &s->report);
  due_clear (&f->advances, &s->advance);
  due_clear (&f->resends, &s->resend);
  fleet_views_forget (f, s);
  due_clear (&f->departures, &s->departed);
  str_free (&s->id);
  str_free (&s->address);
  free (s);
}

void
fleet_forget_departed (struct fleet *f, uint64_t now)
{
  struct due *d;

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
fleet_routing (struct fleet *f, const struct routing *routing,
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
  return fleet_usable (s) && s->known && now >= s->avoid_until_ms;
}

bool
fleet_is_idle (const struct fleet_server *s, uint64_t now)
{
  return fleet_may_order (s, now) && s->pending.state == PENDING_NONE;
}

struct replica *
fleet_ready_replica (const struct fleet_server *s, const struct fleet_model *m)
{
  struct replica *r;

  if (!fleet_usable (s))
    return NULL;
  r = fleet_replica (s, m);
  return r && r->state == REPLICA_READY ? r : NULL;
}

static void
add_at_hand (struct fleet *f, struct fleet_server *s,
             const struct name_list *list, enum weights where)
{
  for (size_t i = 0; i < list->count; i++)
    {
      struct fleet_model *m = fleet_model_get (f, s->service, list->names[i]);

      if (plan_weights (s, m) != WEIGHTS_STORE)
        continue;
      m->copies
          = xrealloc (m->copies, (m->copy_count + 1) * sizeof *m->copies);
      m->copies[m->copy_count++]
          = (struct weights_copy){ .server = s, .where = where };
      m->refs++;
      s->at_hand[s->at_hand_count++] = m;
    }
}

void
fleet_take_at_hand (struct fleet *f, struct fleet_server *s,
                    const struct name_list *memory,
                    const struct name_list *disk)
{
  clear_at_hand (s);
  s->at_hand = xrealloc (s->at_hand, (memory->count + disk->count + 1)
                                         * sizeof *s->at_hand);
  add_at_hand (f, s, memory, WEIGHTS_MEMORY);
  add_at_hand (f, s, disk, WEIGHTS_DISK);
}

void
fleet_take_models (struct fleet *f, struct fleet_server *s,
                   const struct held_model *models, size_t count)
{
  struct replica *before = s->replicas;
  const size_t before_count = s->replica_count;

  s->replicas = NULL;
  s->replica_count = 0;
  for (size_t j = 0; j < before_count; j++)
    replica_clear (f, s, &before[j]);
  for (size_t i = 0; i < count; i++)
    {
      struct fleet_model *m = fleet_model_get (f, s->service, models[i].name);
      struct replica *r = fleet_add_replica (f, s, m);

      for (size_t j = 0; j < before_count; j++)
        if (before[j].ref == m)
          r->since_ms = before[j].since_ms;
      for (size_t j = 0; j < models[i].adapter_count; j++)
        fleet_add_adapter (r, models[i].adapters[j], 0);
    }
  free (before);
}

static void
forget (struct fleet *f, struct fleet_server *s)
{
  s->known = false;
  s->report_due_ms = 1;
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
  s->report = (struct due){ .owner = s, .ordinal = s->ordinal };
  s->advance = s->report;
  s->resend = s->report;
  s->tell = s->report;
  s->news = s->report;
  s->departed = s->report;
  HASH_ADD_KEYPTR (hh, f->servers, s->id.data, s->id.len, s);
  HASH_ADD (hh_hash, f->servers_by_hash, hash, sizeof s->hash, s);
  forget (f, s);
  return s;
}

/* A server of another service than before holds models of that one only. */
static void
join_service (struct fleet *f, struct fleet_server *s, struct str name)
{
  if (s->service && str_eq (s->service->name, name))
    return;
  clear_replicas (f, s);
  clear_at_hand (s);
  fleet_clear_pending (s);
  fleet_unreserve (f, s);
  leave_service (s);
  s->service = fleet_service_get (f, name);
  server_set_add (&s->service->servers, s);
}

void
fleet_entry (struct fleet *f, const struct server_entry *e)
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
      forget (f, s);
    }
  join_service (f, s, e->service);
  if (!s->listed)
    s->listed_ms = f->expired_ms;
  s->listed = true;
  due_clear (&f->departures, &s->departed);
  s->leaving = s->leaving || e->state == SERVER_LEAVING;
  str_assign (&s->address, e->address);
  s->domain = fleet_domain_get (f, e->domain);
  if (!s->known)
    {
      fleet_take_models (f, s, e->models, e->model_count);
      fleet_take_at_hand (f, s, &e->in_memory, &e->on_disk);
    }
  fleet_server_changed (f, s);
}

void
fleet_removed (struct fleet *f, struct str id)
{
  struct fleet_server *s = fleet_find (f, id);

  if (!s)
    return;
  s->listed = false;
  forget (f, s);
  fleet_views_forget (f, s);
  due_set (&f->departures, &s->departed, f->expired_ms + DEPARTED_KEPT_MS);
  fleet_server_changed (f, s);
}

void
fleet_term (struct fleet *f, uint32_t nodes, uint64_t now_ms)
{
  f->nodes_before = nodes;
  f->term_ms = now_ms;
  fleet_forget_demand (f);
  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      forget (f, s);
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
