#include "edge/fleet_impl.h"

#include <stdlib.h>

#include "err.h"

/* ---- replicas ---- */

static void
replica_clear (struct replica *r)
{
  for (size_t i = 0; i < r->adapter_count; i++)
    str_free (&r->adapters[i].name);
  free (r->adapters);
  str_free (&r->model);
}

static void
clear_replicas (struct fleet_server *s)
{
  for (size_t i = 0; i < s->replica_count; i++)
    replica_clear (&s->replicas[i]);
  free (s->replicas);
  s->replicas = NULL;
  s->replica_count = 0;
}

struct replica *
fleet_replica (const struct fleet_server *s, struct str model)
{
  for (size_t i = 0; i < s->replica_count; i++)
    if (str_eq (s->replicas[i].model, model))
      return &s->replicas[i];
  return NULL;
}

struct replica *
fleet_add_replica (struct fleet_server *s, struct str model)
{
  struct replica *r = fleet_replica (s, model);

  if (r)
    return r;
  s->replicas
      = xrealloc (s->replicas, (s->replica_count + 1) * sizeof *s->replicas);
  r = &s->replicas[s->replica_count++];
  *r = (struct replica){ .model = str_dup (model) };
  return r;
}

void
fleet_drop_replica (struct fleet_server *s, struct replica *r)
{
  replica_clear (r);
  *r = s->replicas[--s->replica_count];
}

bool
fleet_has_adapter (const struct replica *r, struct str name)
{
  for (size_t i = 0; i < r->adapter_count; i++)
    if (str_eq (r->adapters[i].name, name))
      return true;
  return false;
}

void
fleet_add_adapter (struct replica *r, struct str name, uint64_t ready_ms)
{
  if (fleet_has_adapter (r, name))
    return;
  r->adapters
      = xrealloc (r->adapters, (r->adapter_count + 1) * sizeof *r->adapters);
  r->adapters[r->adapter_count++]
      = (struct replica_adapter){ .name = str_dup (name),
                                  .ready_ms = ready_ms };
}

void
fleet_drop_adapter (struct replica *r, struct str name)
{
  for (size_t i = 0; i < r->adapter_count; i++)
    if (str_eq (r->adapters[i].name, name))
      {
        str_free (&r->adapters[i].name);
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

/* ---- servers ---- */

struct fleet *
fleet_create (void)
{
  return xcalloc (1, sizeof (struct fleet));
}

void
fleet_clear_pending (struct fleet_server *s)
{
  str_free (&s->pending.model);
  str_free (&s->pending.adapter);
  s->pending = (struct pending){ 0 };
}

static void
free_server (struct fleet *f, struct fleet_server *s)
{
  HASH_DEL (f->servers, s);
  clear_replicas (s);
  fleet_clear_pending (s);
  name_list_free (&s->in_memory);
  name_list_free (&s->on_disk);
  str_free (&s->reserved_model);
  str_free (&s->id);
  str_free (&s->service);
  str_free (&s->address);
  str_free (&s->domain);
  free (s);
}

void
fleet_destroy (struct fleet *f)
{
  struct fleet_server *s;
  struct fleet_server *next;
  struct cold_loads *c;
  struct cold_loads *next_cold;

  HASH_ITER (hh, f->servers, s, next)
  free_server (f, s);
  HASH_ITER (hh, f->cold, c, next_cold)
  {
    HASH_DEL (f->cold, c);
    str_free (&c->service);
    free (c);
  }
  fleet_forget_demand (f);
  free (f);
}

void
fleet_routing (struct fleet *f, const struct routing *routing,
               uint32_t load_window_ms)
{
  f->routing = routing;
  f->load_window_ms = load_window_ms;
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
  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    if (s->hash == hash)
      return s;
  return NULL;
}

const struct engine_spec *
fleet_engine (const struct fleet *f, const struct fleet_server *s)
{
  const struct service *service
      = f->routing ? routing_service (f->routing, s->service) : NULL;

  return service ? service->engine : NULL;
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
fleet_ready_replica (const struct fleet_server *s, struct str service,
                     struct str model)
{
  struct replica *r;

  if (!fleet_usable (s) || !str_eq (s->service, service))
    return NULL;
  r = fleet_replica (s, model);
  return r && r->state == REPLICA_READY ? r : NULL;
}

void
fleet_take_at_hand (struct fleet_server *s, const struct name_list *memory,
                    const struct name_list *disk)
{
  name_list_free (&s->in_memory);
  name_list_free (&s->on_disk);
  s->in_memory = name_list_copy (memory->names, memory->count);
  s->on_disk = name_list_copy (disk->names, disk->count);
}

void
fleet_take_models (struct fleet_server *s, const struct held_model *models,
                   size_t count)
{
  struct replica *before = s->replicas;
  const size_t before_count = s->replica_count;

  s->replicas = NULL;
  s->replica_count = 0;
  for (size_t i = 0; i < count; i++)
    {
      struct replica *r = fleet_add_replica (s, models[i].name);

      for (size_t j = 0; j < before_count; j++)
        if (str_eq (before[j].model, r->model))
          r->since_ms = before[j].since_ms;
      for (size_t j = 0; j < models[i].adapter_count; j++)
        fleet_add_adapter (r, models[i].adapters[j], 0);
    }
  for (size_t j = 0; j < before_count; j++)
    replica_clear (&before[j]);
  free (before);
}

static void
forget (struct fleet_server *s)
{
  s->known = false;
  s->report_due_ms = 1;
  s->suspected_ms = 0;
  s->down = false;
  s->reserved_until_ms = 0;
  s->reserved_cold = false;
  fleet_clear_pending (s);
}

void
fleet_entry (struct fleet *f, const struct server_entry *e)
{
  struct fleet_server *s = fleet_find (f, e->id);

  if (!s)
    {
      s = xcalloc (1, sizeof *s);
      s->id = str_dup (e->id);
      s->hash = str_hash (e->id, 0);
      HASH_ADD_KEYPTR (hh, f->servers, s->id.data, s->id.len, s);
      s->started_ms = e->started_ms;
      forget (s);
    }
  else if (e->started_ms < s->started_ms)
    return;
  if (e->started_ms > s->started_ms)
    {
      s->started_ms = e->started_ms;
      s->leaving = false;
      s->order_count = 0;
      forget (s);
    }
  s->listed = true;
  s->leaving = s->leaving || e->state == SERVER_LEAVING;
  str_assign (&s->service, e->service);
  str_assign (&s->address, e->address);
  str_assign (&s->domain, e->domain);
  if (s->known)
    return;
  fleet_take_models (s, e->models, e->model_count);
  fleet_take_at_hand (s, &e->in_memory, &e->on_disk);
}

void
fleet_removed (struct fleet *f, struct str id)
{
  struct fleet_server *s = fleet_find (f, id);

  if (!s)
    return;
  s->listed = false;
  forget (s);
}

void
fleet_term (struct fleet *f, uint64_t now_ms)
{
  f->term_ms = now_ms;
  fleet_forget_demand (f);
  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      forget (s);
      s->running = 0;
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

void
fleet_each (const struct fleet *f,
            void (*fn) (void *ctx, const struct fleet_view *view), void *ctx)
{
  for (const struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      const struct fleet_view view = {
        .hash = s->hash,
        .order_count = s->order_count,
        .running = s->running,
        .known = s->known,
        .replicas = s->replicas,
        .replica_count = s->replica_count,
      };

      if (s->listed)
        fn (ctx, &view);
    }
}
