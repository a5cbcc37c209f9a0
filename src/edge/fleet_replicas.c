#include "edge/fleet_impl.h"

#include <stdlib.h>

#include "err.h"

/* Replicas on the servers, their adapters, and cached weights. */

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

/* Frees the adapters of a replica and removes the server from the model's
   replicas. The caller removes the replica from the server. */
static void
replica_clear (struct fleet *f, struct fleet_server *s, struct replica *r)
{
  for (size_t i = 0; i < r->adapter_count; i++)
    unref_adapter (&r->adapters[i]);
  free (r->adapters);
  server_set_remove (&r->ref->replicas, s);
  r->ref->refs--;
  fleet_mark_stale (f, r->ref);
}

void
fleet_clear_replicas (struct fleet *f, struct fleet_server *s)
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
  fleet_mark_stale (f, m);
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

struct replica *
fleet_ready_replica (const struct fleet_server *s, const struct fleet_model *m)
{
  struct replica *r;

  if (!fleet_usable (s))
    return NULL;
  r = fleet_replica (s, m);
  return r && r->state == REPLICA_READY ? r : NULL;
}

/* The size of a model that is not configured is unknown, so that it counts as
   taking all the memory of the server. */
double
fleet_replica_mb (const struct replica *r)
{
  const struct fleet_model *m = r->ref;

  return m->spec ? m->spec->weights_mb : m->service->engine->weights_mb;
}

void
fleet_set_models (struct fleet *f, struct fleet_server *s,
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
          r->ordered_ms = before[j].ordered_ms;
      for (size_t j = 0; j < models[i].adapter_count; j++)
        fleet_add_adapter (r, models[i].adapters[j], 0);
    }
  free (before);
}

/* ---- cached weights ---- */

void
fleet_clear_cached (struct fleet_server *s)
{
  for (size_t i = 0; i < s->cached_count; i++)
    {
      struct fleet_model *m = s->cached[i];

      for (size_t j = 0; j < m->copy_count; j++)
        if (m->copies[j].server == s)
          {
            m->copies[j] = m->copies[--m->copy_count];
            break;
          }
      m->refs--;
    }
  s->cached_count = 0;
}

static void
add_cached (struct fleet *f, struct fleet_server *s,
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
      s->cached[s->cached_count++] = m;
    }
}

void
fleet_set_cached (struct fleet *f, struct fleet_server *s,
                  const struct name_list *memory, const struct name_list *disk)
{
  fleet_clear_cached (s);
  s->cached = xrealloc (s->cached,
                        (memory->count + disk->count + 1) * sizeof *s->cached);
  add_cached (f, s, memory, WEIGHTS_MEMORY);
  add_cached (f, s, disk, WEIGHTS_DISK);
}
