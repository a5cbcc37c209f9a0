#include "place.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "placement"
/* Memory that is being freed is reserved for this long. */
#define PLAN_LIMIT_MS 60000

bool
place_in_use (const struct place_service *s, const struct replica_key *key,
              uint64_t now)
{
  const struct place_use *u = place_use (s, key);
  const struct place_wake *w;

  if (u && now < u->at_ms + PLACE_USE_FRESH_MS && u->in_flight + u->queued > 0)
    return true;
  DL_FOREACH (s->wakes, w)
  if (str_eq (w->want.key.model, key->model)
      && (key->adapter.len == 0 || str_eq (w->want.key.adapter, key->adapter)))
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
  return place_loaded (s, &e->key) <= m->min_replicas
         || place_in_use (s, &e->key, now)
         || adapter_in_use (s, server, &e->key, now);
}

/* Views for the policy. */

struct view
{
  struct policy_view base;
  struct policy_server *servers;
  struct policy_replica *replicas;
};

static enum cache_place
cache_of (const struct place_target *t, const struct replica_key *key)
{
  for (size_t i = 0; t && i < t->cached_count; i++)
    if (replica_key_eq (&t->cached[i], key))
      return CACHE_DISK;
  return CACHE_REMOTE;
}

static uint64_t
reserved (const struct place_service *s, struct str addr,
          const struct replica_key *except)
{
  const struct place_plan *p;
  uint64_t sum = 0;

  DL_FOREACH (s->plans, p)
  if (str_eq (p->addr, addr) && !replica_key_eq (&p->want.key, except))
    sum += p->want.bytes;
  return sum;
}

/* An adapter goes where its model is loaded. */
static bool
is_usable (const struct place_service *s, const struct ledger_server *server,
           const struct replica_key *key, uint64_t now)
{
  const struct place_target *t = place_target (s, server->addr);
  const struct replica_key model
      = { .model = key->model, .version = key->version };

  if (!t || !server->seen || ledger_leaving (server) || t->silent
      || t->refused_since_ms > 0 || now < t->avoid_until_ms)
    return false;
  if (key->adapter.len == 0)
    return true;
  const struct ledger_entry *e = ledger_entry (server, &model);
  return e && e->state == LEDGER_LOADED;
}

static void
view_replicas (const struct place_service *s, struct view *v, size_t server,
               const struct policy_want *want, uint64_t now)
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
                  || str_eq (e->key.model, want->key.model),
      };
    }
}

void
place_servers (const struct place_service *s, const struct replica_key *key,
               uint64_t now, struct policy_server *out)
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
        = ledger_used_bytes (server) + reserved (s, server->addr, key),
        .cache = cache_of (t, key),
        .usable = is_usable (s, server, key, now),
        .holds = ledger_holds (server, key) != NULL,
      };
    }
}

static struct view
view_create (const struct place_service *s, const struct policy_want *want,
             uint64_t now)
{
  const struct ledger *l = s->ledger;
  struct view v = { .servers = xcalloc (l->server_count, sizeof *v.servers) };

  place_servers (s, &want->key, now, v.servers);
  for (size_t i = 0; i < l->server_count; i++)
    if (v.servers[i].usable)
      view_replicas (s, &v, i, want, now);
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

/* Plans. */

static void
plan_free (struct place_service *s, struct place_plan *p)
{
  DL_DELETE (s->plans, p);
  replica_key_free (&p->want.key);
  str_free (&p->addr);
  free (p);
}

void
place_plans_clear (struct place_service *s)
{
  while (s->plans)
    plan_free (s, s->plans);
}

static struct place_plan *
plan_find (const struct place_service *s, const struct replica_key *key)
{
  struct place_plan *p;

  DL_FOREACH (s->plans, p)
  if (replica_key_eq (&p->want.key, key))
    return p;
  return NULL;
}

static void
plan_add (struct place_service *s, const struct policy_want *want,
          struct str addr, uint64_t now)
{
  struct place_plan *p = xcalloc (1, sizeof *p);

  p->want = *want;
  p->want.key = replica_key_dup (&want->key);
  p->addr = str_dup (addr);
  p->until_ms = now + PLAN_LIMIT_MS;
  DL_APPEND (s->plans, p);
}

int
place_record_load (struct place_service *s, const struct policy_want *want,
                   struct str addr, const char *reason, uint64_t now)
{
  const struct model *m = place_model (s, &want->key);
  const int rc = ledger_load (s->ledger, addr, &want->key, want->bytes,
                              m ? m->max_replicas : 0, now);

  LOG_INFO (rc == 0 ? "load" : "load-refused",
            "service=" STR_FMT " target=" STR_FMT " model=" STR_FMT
            " adapter=" STR_FMT " bytes=%lu reason=%s error=\"%s\"",
            STR_ARG (s->name), STR_ARG (addr), STR_ARG (want->key.model),
            STR_ARG (want->key.adapter), want->bytes, reason, err_str (rc));
  return rc;
}

void
place_unload (struct place_service *s, struct str addr,
              const struct replica_key *key, const char *reason, uint64_t now)
{
  const int rc = ledger_unload (s->ledger, addr, key, now);

  if (rc != 0)
    return;
  metrics_add ("galenagate_unloads_total", s->labels, 1);
  LOG_INFO ("unload",
            "service=" STR_FMT " target=" STR_FMT " model=" STR_FMT
            " adapter=" STR_FMT " reason=%s",
            STR_ARG (s->name), STR_ARG (addr), STR_ARG (key->model),
            STR_ARG (key->adapter), reason);
}

/* Loads for which memory was freed. */
static void
run_plans (struct place_service *s, uint64_t now)
{
  struct place_plan *p;
  struct place_plan *next;

  DL_FOREACH_SAFE (s->plans, p, next)
  {
    const struct ledger_server *server = ledger_server (s->ledger, p->addr);

    if (server && now < p->until_ms && !ledger_leaving (server) && server->seen
        && ledger_used_bytes (server) + p->want.bytes > server->memory_bytes)
      continue;
    if (server && now < p->until_ms)
      place_record_load (s, &p->want, p->addr, "memory-freed", now);
    plan_free (s, p);
  }
}

size_t
place_under_way (const struct place_service *s, const struct replica_key *key,
                 uint64_t *first_ms)
{
  size_t n = plan_find (s, key) != NULL;

  *first_ms = UINT64_MAX;
  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      const struct ledger_entry *e = ledger_entry (s->ledger->servers[i], key);

      if (!e || e->state != LEDGER_INTENT_LOAD)
        continue;
      n++;
      if (e->decided_ms < *first_ms)
        *first_ms = e->decided_ms;
    }
  return n;
}

static void
evict (struct place_service *s, const struct view *v,
       const struct policy_choice *c, uint64_t now)
{
  const struct str addr = s->ledger->servers[c->server]->addr;

  for (size_t i = 0; i < c->evict_count; i++)
    {
      place_unload (s, addr, &v->replicas[c->evict[i]].key, "evicted", now);
      metrics_add ("galenagate_evictions_total", s->labels, 1);
    }
}

/* Will memory or knowledge of a server come by itself? */
static bool
may_improve (const struct place_service *s, uint64_t now)
{
  size_t usable = 0;

  for (size_t i = 0; i < s->ledger->server_count; i++)
    {
      const struct ledger_server *server = s->ledger->servers[i];
      const struct place_target *t = place_target (s, server->addr);

      if (t && (t->silent || t->refused_since_ms > 0))
        continue;
      if (!server->seen || (t && now < t->avoid_until_ms))
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

/* Starts one more load of a model or adapter. */
enum begun
place_begin_load (struct place_service *s, const struct policy_want *want,
                  bool may_evict, const char *why, uint64_t now,
                  struct policy_choice *choice)
{
  const struct model *m = place_model (s, &want->key);

  *choice = (struct policy_choice){ 0 };
  if (want->key.adapter.len == 0
      && ledger_replicas (s->ledger, &want->key) >= m->max_replicas)
    return place_loaded (s, &want->key) < m->max_replicas ? BEGUN_LATER
                                                          : BEGUN_LIMIT;
  struct view v = view_create (s, want, now);
  enum begun result = BEGUN_NO_MEMORY;
  if (!s->policy->ops->choose (s->policy, &v.base, want, now, choice))
    result = may_improve (s, now) ? BEGUN_LATER : BEGUN_NO_MEMORY;
  else if (choice->evict_count == 0)
    {
      struct str reason = str_printf ("%s,%s", why, choice->reason);
      const struct str addr = s->ledger->servers[choice->server]->addr;

      if (place_record_load (s, want, addr, reason.data, now) == 0)
        result = BEGUN;
      str_free (&reason);
    }
  else if (may_evict)
    {
      evict (s, &v, choice, now);
      plan_add (s, want, s->ledger->servers[choice->server]->addr, now);
      result = BEGUN;
    }
  view_free (&v);
  return result;
}

/* Callers. */

/* The most urgent caller of the same model, and the most replicas wanted. */
static struct policy_want
merge (const struct place_service *s, const struct place_wake *first,
       size_t *replicas)
{
  const struct place_wake *w;
  struct policy_want best = first->want;

  *replicas = first->replicas;
  DL_FOREACH (s->wakes, w)
  {
    if (!replica_key_eq (&w->want.key, &first->want.key))
      continue;
    if (w->replicas > *replicas)
      *replicas = w->replicas;
    if (s->policy->ops->before (&w->want, &best))
      best = w->want;
  }
  return best;
}

/* The model of an adapter comes first. */
static struct policy_want
model_want (const struct place_service *s, const struct policy_want *want)
{
  struct policy_want w = *want;
  const struct model *m = place_model (s, &want->key);

  w.key.adapter = (struct str){ 0 };
  w.bytes = m->bytes;
  w.load_ms = m->load_ms;
  return w;
}

/* Time that loads decided earlier keep the weight store busy. */
static uint64_t
queue_ms (const struct place_service *s, uint32_t estimate_ms)
{
  size_t ahead = 0;

  for (size_t i = 0; i < s->ledger->server_count; i++)
    for (size_t j = 0; j < s->ledger->servers[i]->entry_count; j++)
      {
        const struct ledger_entry *e = s->ledger->servers[i]->entries[j];

        ahead += e->state == LEDGER_INTENT_LOAD && e->key.adapter.len == 0;
      }
  /* The load itself is one of them. */
  ahead = ahead > 0 ? ahead - 1 : 0;
  return ahead / (s->loads_at_once > 0 ? s->loads_at_once : 1) * estimate_ms;
}

/* Begins the loads that are missing; refuses all callers of @key when none can
   be had. @want is the model of @key, or the adapter itself. */
static void
provide (struct place_service *s, const struct replica_key *key,
         const struct policy_want *want, size_t replicas, uint64_t now)
{
  struct policy_choice choice;
  uint64_t first_ms;
  uint64_t ready_ms = UINT64_MAX;
  size_t under_way = place_under_way (s, &want->key, &first_ms);
  size_t missing = place_loaded (s, &want->key) + under_way;
  enum begun result = BEGUN;

  missing = missing < replicas ? replicas - missing : 0;
  if (first_ms != UINT64_MAX)
    ready_ms = first_ms + policy_load_ms (want, CACHE_DISK);
  for (; missing > 0 && result == BEGUN; missing--)
    {
      result = place_begin_load (s, want, true, "demand", now, &choice);
      if (result != BEGUN)
        break;
      if (under_way++ == 0)
        ready_ms = now + choice.estimate_ms + queue_ms (s, choice.estimate_ms);
    }
  /* The load goes on for those who ask again. */
  if (ready_ms != UINT64_MAX)
    place_refuse_late (s, key, ready_ms, now);
  if (under_way > 0)
    return;
  if (result == BEGUN_NO_MEMORY)
    place_refuse (s, key, WAKE_NO_MEMORY, 0, "no-memory");
  if (result == BEGUN_LIMIT)
    place_refuse (s, key, WAKE_LIMIT, 0, "max-replicas");
}

static void
serve_wake (struct place_service *s, const struct place_wake *first,
            uint64_t now)
{
  size_t replicas;
  struct policy_want want = merge (s, first, &replicas);
  struct replica_key key = replica_key_dup (&want.key);
  const struct model *m = place_model (s, &key);

  want.key = key;
  if (!m || !str_eq (m->version, key.version))
    place_refuse (s, &key, WAKE_UNKNOWN_MODEL, 0, "not-listed");
  else
    {
      const struct policy_want model = model_want (s, &want);

      if (key.adapter.len > 0 && place_loaded (s, &model.key) < replicas)
        want = model;
      provide (s, &key, &want, replicas, now);
    }
  replica_key_free (&key);
}

static bool
seen_before (const struct place_service *s, const struct place_wake *until)
{
  const struct place_wake *w;

  DL_FOREACH (s->wakes, w)
  {
    if (w == until)
      return false;
    if (replica_key_eq (&w->want.key, &until->want.key))
      return true;
  }
  return false;
}

/* One decision for each model that is waited for. */
static void
serve_wakes (struct place_service *s, uint64_t now)
{
  struct place_wake **firsts = NULL;
  struct place_wake *w;
  size_t n = 0;

  DL_FOREACH (s->wakes, w)
  {
    if (seen_before (s, w))
      continue;
    firsts = xrealloc (firsts, (n + 1) * sizeof (void *));
    firsts[n++] = w;
  }
  while (n > 0)
    {
      size_t best = 0;

      for (size_t i = 1; i < n; i++)
        if (s->policy->ops->before (&firsts[i]->want, &firsts[best]->want))
          best = i;
      w = firsts[best];
      firsts[best] = firsts[--n];
      serve_wake (s, w, now);
    }
  free (firsts);
}

void
place_decide (struct place_service *s)
{
  const uint64_t now = clock_ms ();

  if (!place_ready (s))
    return;
  place_clear_out (s, now);
  run_plans (s, now);
  serve_wakes (s, now);
  place_keep (s, now);
  place_stage (s, now);
  place_store_step (s);
  place_send_orders (s);
}
