#include "placement_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "placement"
/* Maximum time that memory stays reserved for a load while replicas are
   evicted for it. */
#define RESERVATION_MS 60000

bool
place_in_use (const struct place_service *s, const struct replica_key *key,
              uint64_t now)
{
  const struct place_usage *u = place_usage (s, key);
  const struct place_wake *w;

  if (u && now < u->reported_ms + PLACE_USAGE_VALID_MS
      && u->in_flight + u->queued > 0)
    return true;
  DL_FOREACH (s->wakes, w)
  if (str_eq (w->load.key.model, key->model)
      && (key->adapter.len == 0 || str_eq (w->load.key.adapter, key->adapter)))
    return true;
  return false;
}

static bool
adapter_in_use (const struct place_service *s,
                const struct ledger_server *server,
                const struct replica_key *model, uint64_t now)
{
  for (size_t i = 0; i < server->entry_count; i++)
    {
      const struct ledger_entry *e = server->entries[i];

      if (e->key.adapter.len > 0 && str_eq (e->key.model, model->model)
          && (e->state == LEDGER_INTENT_LOAD
              || place_in_use (s, &e->key, now)))
        return true;
    }
  return false;
}

static bool
is_pinned (const struct place_service *s, const struct ledger_server *server,
           const struct ledger_entry *e, uint64_t now)
{
  const struct model *m = place_model (s, &e->key);

  if (e->state != LEDGER_LOADED || now < e->loaded_ms + PLACE_LOADED_GRACE_MS)
    return true;
  if (!m)
    return false;
  if (e->key.adapter.len > 0)
    return place_in_use (s, &e->key, now);
  return place_available_replicas (s, &e->key) <= m->min_replicas
         || place_in_use (s, &e->key, now)
         || adapter_in_use (s, server, &e->key, now);
}

/* The state that the policy decides on. */

/* A policy_view that owns its arrays. */
struct view
{
  struct policy_view base;
  struct policy_server *servers;
  struct policy_replica *replicas;
};

static enum cache_place
nearest_copy (const struct place_target *t, const struct replica_key *key)
{
  for (size_t i = 0; t && i < t->cached_count; i++)
    if (replica_key_eq (&t->cached[i], key))
      return CACHE_DISK;
  return CACHE_REMOTE;
}

static uint64_t
reserved_bytes (const struct place_service *s, struct str addr,
                const struct replica_key *except)
{
  const struct place_reservation *p;
  uint64_t sum = 0;

  DL_FOREACH (s->reservations, p)
  if (str_eq (p->addr, addr) && !replica_key_eq (&p->load.key, except))
    sum += p->load.bytes;
  return sum;
}

/* Returns true if a model or adapter may be loaded on a server now; an adapter
   only where its model is loaded. */
static bool
can_load (const struct place_service *s, const struct ledger_server *server,
          const struct replica_key *key, uint64_t now)
{
  const struct place_target *t = place_target (s, server->addr);
  const struct replica_key model
      = { .model = key->model, .version = key->version };

  if (!t || !server->status_known || ledger_server_leaving (server)
      || t->poll_timed_out || t->refused_since_ms > 0
      || now < t->avoid_until_ms)
    return false;
  if (key->adapter.len == 0)
    return true;
  const struct ledger_entry *e = ledger_find_entry (server, &model);
  return e && e->state == LEDGER_LOADED;
}

static void
view_replicas (const struct place_service *s, struct view *v, size_t server,
               const struct policy_load_request *load, uint64_t now)
{
  const struct ledger_server *from = s->ledger->servers[server];

  v->replicas
      = xrealloc (v->replicas, (v->base.replica_count + from->entry_count + 1)
                                   * sizeof *v->replicas);
  for (size_t i = 0; i < from->entry_count; i++)
    {
      const struct ledger_entry *e = from->entries[i];
      const struct model *m = place_model (s, &e->key);

      v->replicas[v->base.replica_count++] = (struct policy_replica){
        .key = e->key,
        .server = server,
        .bytes = e->bytes,
        .load_ms = m && e->key.adapter.len == 0 ? m->load_ms : 0,
        .pinned = is_pinned (s, from, e, now)
                  || str_eq (e->key.model, load->key.model),
      };
    }
}

void
place_policy_servers (const struct place_service *s,
                      const struct replica_key *key, uint64_t now,
                      struct policy_server *out)
{
  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      const struct ledger_server *server = s->ledger->servers[i];
      const struct place_target *t = place_target (s, server->addr);

      out[i] = (struct policy_server){
        .addr = server->addr,
        .domain = server->domain,
        .memory_bytes = server->memory_bytes,
        .used_bytes
        = ledger_used_bytes (server) + reserved_bytes (s, server->addr, key),
        .cache = nearest_copy (t, key),
        .usable = can_load (s, server, key, now),
        .replica_present = ledger_find_any_version (server, key) != NULL,
      };
    }
}

static struct view
view_create (const struct place_service *s,
             const struct policy_load_request *load, uint64_t now)
{
  const struct ledger *l = s->ledger;
  struct view v = { .servers = xcalloc (l->server_count, sizeof *v.servers) };

  place_policy_servers (s, &load->key, now, v.servers);
  for (size_t i = 0; i < l->server_count; i++)
    if (v.servers[i].usable)
      view_replicas (s, &v, i, load, now);
  v.base.servers = v.servers;
  v.base.server_count = l->server_count;
  v.base.replicas = v.replicas;
  return v;
}

static void
view_free (struct view *v)
{
  free (v->servers);
  free (v->replicas);
}

/* Reservations. */

static void
reservation_free (struct place_service *s, struct place_reservation *p)
{
  DL_DELETE (s->reservations, p);
  replica_key_free (&p->load.key);
  str_free (&p->addr);
  free (p);
}

void
place_reservations_clear (struct place_service *s)
{
  while (s->reservations)
    reservation_free (s, s->reservations);
}

static struct place_reservation *
find_reservation (const struct place_service *s, const struct replica_key *key)
{
  struct place_reservation *p;

  DL_FOREACH (s->reservations, p)
  if (replica_key_eq (&p->load.key, key))
    return p;
  return NULL;
}

static void
add_reservation (struct place_service *s,
                 const struct policy_load_request *load, struct str addr,
                 uint64_t now)
{
  struct place_reservation *p = xcalloc (1, sizeof *p);

  p->load = *load;
  p->load.key = replica_key_dup (&load->key);
  p->addr = str_dup (addr);
  p->until_ms = now + RESERVATION_MS;
  DL_APPEND (s->reservations, p);
}

int
place_record_load (struct place_service *s,
                   const struct policy_load_request *load, struct str addr,
                   const char *reason, uint64_t now)
{
  const struct model *m = place_model (s, &load->key);
  const int rc = ledger_decide_load (s->ledger, addr, &load->key, load->bytes,
                                     m ? m->max_replicas : 0, now);

  LOG_INFO (rc == 0 ? "load" : "load-refused",
            "service=" STR_FMT " target=" STR_FMT " model=" STR_FMT
            " adapter=" STR_FMT " bytes=%lu reason=%s error=\"%s\"",
            STR_ARG (s->name), STR_ARG (addr), STR_ARG (load->key.model),
            STR_ARG (load->key.adapter), load->bytes, reason, err_str (rc));
  return rc;
}

void
place_unload (struct place_service *s, struct str addr,
              const struct replica_key *key, const char *reason, uint64_t now)
{
  const int rc = ledger_decide_unload (s->ledger, addr, key, now);

  if (rc != 0)
    return;
  metrics_add ("galenagate_unloads_total", s->metric_labels, 1);
  LOG_INFO ("unload",
            "service=" STR_FMT " target=" STR_FMT " model=" STR_FMT
            " adapter=" STR_FMT " reason=%s",
            STR_ARG (s->name), STR_ARG (addr), STR_ARG (key->model),
            STR_ARG (key->adapter), reason);
}

/* Records the loads whose reserved memory has been freed, and drops
   reservations that expired. */
static void
use_reservations (struct place_service *s, uint64_t now)
{
  struct place_reservation *p;
  struct place_reservation *next;

  DL_FOREACH_SAFE (s->reservations, p, next)
  {
    const struct ledger_server *server
        = ledger_find_server (s->ledger, p->addr);

    if (server && now < p->until_ms && !ledger_server_leaving (server)
        && server->status_known
        && ledger_used_bytes (server) + p->load.bytes > server->memory_bytes)
      continue;
    if (server && now < p->until_ms)
      place_record_load (s, &p->load, p->addr, "memory-freed", now);
    reservation_free (s, p);
  }
}

size_t
place_pending_loads (const struct place_service *s,
                     const struct replica_key *key, uint64_t *first_ms)
{
  size_t n = find_reservation (s, key) != NULL;

  *first_ms = UINT64_MAX;
  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      const struct ledger_entry *e
          = ledger_find_entry (s->ledger->servers[i], key);

      if (!e || e->state != LEDGER_INTENT_LOAD)
        continue;
      n++;
      if (e->decided_ms < *first_ms)
        *first_ms = e->decided_ms;
    }
  return n;
}

static void
evict_replicas (struct place_service *s, const struct view *v,
                const struct policy_choice *c, uint64_t now)
{
  const struct str addr = s->ledger->servers[c->server]->addr;

  for (size_t i = 0; i < c->evict_count; i++)
    {
      place_unload (s, addr, &v->replicas[c->evict[i]].key, "evicted", now);
      metrics_add ("galenagate_evictions_total", s->metric_labels, 1);
    }
}

/* Returns true if a load that is impossible now may become possible without an
   eviction: a load, an unload or a grace period is still to end, a server's
   state is not known yet, or no server is usable. */
static bool
may_become_possible (const struct place_service *s, uint64_t now)
{
  size_t usable = 0;

  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      const struct ledger_server *server = s->ledger->servers[i];
      const struct place_target *t = place_target (s, server->addr);

      if (t && (t->poll_timed_out || t->refused_since_ms > 0))
        continue;
      if (!server->status_known || (t && now < t->avoid_until_ms))
        return true;
      usable++;
      for (size_t j = 0; j < server->entry_count; j++)
        {
          const struct ledger_entry *e = server->entries[j];

          if (e->state != LEDGER_LOADED
              || now < e->loaded_ms + PLACE_LOADED_GRACE_MS)
            return true;
        }
    }
  return usable == 0;
}

enum place_load_result
place_start_load (struct place_service *s,
                  const struct policy_load_request *load, bool may_evict,
                  const char *trigger, uint64_t now,
                  struct policy_choice *choice)
{
  const struct model *m = place_model (s, &load->key);

  *choice = (struct policy_choice){ 0 };
  if (load->key.adapter.len == 0
      && ledger_replica_count (s->ledger, &load->key) >= m->max_replicas)
    return place_available_replicas (s, &load->key) < m->max_replicas
               ? PLACE_LOAD_DEFERRED
               : PLACE_LOAD_LIMIT;
  struct view v = view_create (s, load, now);
  enum place_load_result result = PLACE_LOAD_NO_MEMORY;
  if (!s->policy->ops->choose (s->policy, &v.base, load, now, choice))
    result = may_become_possible (s, now) ? PLACE_LOAD_DEFERRED
                                          : PLACE_LOAD_NO_MEMORY;
  else if (choice->evict_count == 0)
    {
      struct str reason = str_printf ("%s,%s", trigger, choice->reason);
      const struct str addr = s->ledger->servers[choice->server]->addr;

      if (place_record_load (s, load, addr, reason.data, now) == 0)
        result = PLACE_LOAD_STARTED;
      str_free (&reason);
    }
  else if (may_evict)
    {
      evict_replicas (s, &v, choice, now);
      add_reservation (s, load, s->ledger->servers[choice->server]->addr, now);
      result = PLACE_LOAD_STARTED;
    }
  view_free (&v);
  return result;
}

/* Wake requests. */

/* Merges the wake requests for the same key: returns the most urgent load and
   sets *@replicas to the highest number of replicas wanted. */
static struct policy_load_request
merge_wakes (const struct place_service *s, const struct place_wake *first,
             size_t *replicas)
{
  const struct place_wake *w;
  struct policy_load_request best = first->load;

  *replicas = first->replicas_wanted;
  DL_FOREACH (s->wakes, w)
  {
    if (!replica_key_eq (&w->load.key, &first->load.key))
      continue;
    if (w->replicas_wanted > *replicas)
      *replicas = w->replicas_wanted;
    if (s->policy->ops->load_before (&w->load, &best))
      best = w->load;
  }
  return best;
}

/* Returns the load of the model itself, which precedes that of its adapter.
 */
static struct policy_load_request
load_of_model (const struct place_service *s,
               const struct policy_load_request *load)
{
  struct policy_load_request w = *load;
  const struct model *m = place_model (s, &load->key);

  w.key.adapter = (struct str){ 0 };
  w.bytes = m->bytes;
  w.load_ms = m->load_ms;
  return w;
}

/* Estimates how long a new load waits for the loads decided before it, which
   occupy the weight store. */
static uint64_t
queue_delay_ms (const struct place_service *s, uint32_t estimate_ms)
{
  size_t ahead = 0;

  for (size_t i = 0; i < s->ledger->server_count; i++)
    for (size_t j = 0; j < s->ledger->servers[i]->entry_count; j++)
      {
        const struct ledger_entry *e = s->ledger->servers[i]->entries[j];

        ahead += e->state == LEDGER_INTENT_LOAD && e->key.adapter.len == 0;
      }
  /* The new load itself was counted. */
  ahead = ahead > 0 ? ahead - 1 : 0;
  return ahead / (s->loads_at_once > 0 ? s->loads_at_once : 1) * estimate_ms;
}

/* Starts the missing loads. Refuses all wake requests for @key if no load can
   be started. @load is that of @key or, for an adapter whose model has too few
   replicas, that of the model. */
static void
provide_replicas (struct place_service *s, const struct replica_key *key,
                  const struct policy_load_request *load, size_t replicas,
                  uint64_t now)
{
  struct policy_choice choice;
  uint64_t first_ms;
  uint64_t ready_ms = UINT64_MAX;
  size_t pending = place_pending_loads (s, &load->key, &first_ms);
  size_t missing = place_available_replicas (s, &load->key) + pending;
  enum place_load_result result = PLACE_LOAD_STARTED;

  missing = missing < replicas ? replicas - missing : 0;
  if (first_ms != UINT64_MAX)
    ready_ms = first_ms + policy_load_ms (load, CACHE_DISK);
  for (; missing > 0 && result == PLACE_LOAD_STARTED; missing--)
    {
      result = place_start_load (s, load, true, "demand", now, &choice);
      if (result != PLACE_LOAD_STARTED)
        break;
      if (pending++ == 0)
        ready_ms = now + choice.estimate_ms
                   + queue_delay_ms (s, choice.estimate_ms);
    }
  /* The load continues, for callers that try again. */
  if (ready_ms != UINT64_MAX)
    place_refuse_late_wakes (s, key, ready_ms, now);
  if (pending > 0)
    return;
  if (result == PLACE_LOAD_NO_MEMORY)
    place_refuse_wakes (s, key, WAKE_NO_MEMORY, 0, "no-memory");
  if (result == PLACE_LOAD_LIMIT)
    place_refuse_wakes (s, key, WAKE_LIMIT, 0, "max-replicas");
}

static void
serve_wake (struct place_service *s, const struct place_wake *first,
            uint64_t now)
{
  size_t replicas;
  struct policy_load_request load = merge_wakes (s, first, &replicas);
  struct replica_key key = replica_key_dup (&load.key);
  const struct model *m = place_model (s, &key);

  load.key = key;
  if (!m || !str_eq (m->version, key.version))
    place_refuse_wakes (s, &key, WAKE_UNKNOWN_MODEL, 0, "not-listed");
  else
    {
      const struct policy_load_request model = load_of_model (s, &load);

      if (key.adapter.len > 0
          && place_available_replicas (s, &model.key) < replicas)
        load = model;
      provide_replicas (s, &key, &load, replicas, now);
    }
  replica_key_free (&key);
}

static bool
has_earlier_wake (const struct place_service *s, const struct place_wake *wake)
{
  const struct place_wake *w;

  DL_FOREACH (s->wakes, w)
  {
    if (w == wake)
      return false;
    if (replica_key_eq (&w->load.key, &wake->load.key))
      return true;
  }
  return false;
}

/* Decides once for each key with wake requests, the most urgent first. */
static void
serve_wakes (struct place_service *s, uint64_t now)
{
  struct place_wake **first_wakes = NULL;
  struct place_wake *w;
  size_t n = 0;

  DL_FOREACH (s->wakes, w)
  {
    if (has_earlier_wake (s, w))
      continue;
    first_wakes = xrealloc (first_wakes, (n + 1) * sizeof (void *));
    first_wakes[n++] = w;
  }
  while (n > 0)
    {
      size_t best = 0;

      for (size_t i = 1; i < n; i++)
        if (s->policy->ops->load_before (&first_wakes[i]->load,
                                         &first_wakes[best]->load))
          best = i;
      w = first_wakes[best];
      first_wakes[best] = first_wakes[--n];
      serve_wake (s, w, now);
    }
  free (first_wakes);
}

void
place_decide (struct place_service *s)
{
  const uint64_t now = clock_ms ();

  if (!place_ready (s))
    return;
  place_unload_obsolete (s, now);
  use_reservations (s, now);
  serve_wakes (s, now);
  place_adjust_replicas (s, now);
  place_stage (s, now);
  place_store_step (s);
  place_send_orders (s);
}
