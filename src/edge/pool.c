#include "edge/pool.h"

#include <stdlib.h>

#include <uthash.h>

#include "err.h"

/* A server that is known to leave or to be gone is remembered for this long,
   so that an old entry does not bring it back. */
#define DEPARTED_KEPT_MS (10 * 60 * 1000)
/* Time that live servers get to write their entries after an outage. */
#define LAPSE_GRACE_MS 1900
/* A server that failed a call is avoided for this long, doubled for each
   further failure. */
#define AVOID_MIN_MS 300
#define AVOID_MAX_MS 5000
/* A server that took no connection is tried again after this time. A try costs
   the server nothing. */
#define UNREACHED_MS 300
/* The placement holder is told of it for this much longer: it asks the server
   itself. */
#define UNREACHED_TOLD_MS 1000
/* A server that turned a call away as full gets none from this node for this
   time, doubled for each further one: its calls take longer than that, and
   many nodes ask it. */
#define FULL_MIN_MS 50
#define FULL_MAX_MS 800
/* A server that lacks a model or adapter which it should have is asked for it
   again after this time. */
#define MISPLACED_MS 1000
/* Load at which a plain service's server is taken as full: calls for each of
   its places, since it keeps a short queue. */
#define PLAIN_QUEUE 3
/* Added to the load of a server in another failure domain: bytes between
   domains cost, but less than a crowded server. */
#define DOMAIN_PENALTY 0.05
/* What the placement holder told goes before the entry for this long. */
#define VIEW_FRESH_MS 2000

struct placed_model
{
  struct str model;
  enum held_state state;
  uint64_t ready_ms;
  struct name_list adapters;
  uint64_t lacking_until_ms;
  struct str lacking; /* an adapter; empty for the model itself */
};

struct pool_server
{
  struct str id;
  struct str service;
  struct str address;
  struct str domain;
  uint64_t hash; /* of the id */
  uint64_t started_ms;
  uint64_t sequence;    /* of the entry */
  uint64_t order_count; /* as the holder told */
  uint32_t slots;
  bool leaving;    /* for good, for this start */
  bool listed;     /* the store has an entry */
  bool unreadable; /* the entry was not written by the server */
  bool replaced;   /* another server has its address */
  uint64_t removed_ms;
  uint64_t usable_until_ms; /* without an entry */
  struct placed_model *models;
  size_t model_count;
  uint64_t view_ms; /* when the holder's view was taken over; 0 for none */
  bool placed;      /* the holder knew then what the server holds */
  uint32_t others;  /* calls of other nodes */
  uint32_t running; /* calls of this node */
  uint32_t told;    /* of these, as last told to the holder */
  uint32_t failures;
  uint32_t rejections; /* since it served a call */
  uint64_t full_until_ms;
  uint64_t avoid_until_ms;
  bool unreached; /* it took no connection the last time */
  UT_hash_handle hh;
  UT_hash_handle hh_hash;
};

struct pool
{
  struct pool_server *servers;         /* by id */
  struct pool_server *servers_by_hash; /* by hash of the id */
  uint64_t heard_ms; /* when the holder last told something */
  bool reachable;
  uint64_t regained_ms;
};

/* ---- holdings ---- */

static void
clear_models (struct pool_server *s)
{
  for (size_t i = 0; i < s->model_count; i++)
    {
      str_free (&s->models[i].model);
      str_free (&s->models[i].lacking);
      name_list_free (&s->models[i].adapters);
    }
  free (s->models);
  s->models = NULL;
  s->model_count = 0;
}

static void
models_from_entry (struct pool_server *s, const struct server_entry *e)
{
  clear_models (s);
  s->models = xcalloc (e->model_count + 1, sizeof *s->models);
  for (size_t i = 0; i < e->model_count; i++)
    s->models[s->model_count++] = (struct placed_model){
      .model = str_dup (e->models[i].name),
      .state = HELD_READY,
      .adapters
      = name_list_copy (e->models[i].adapters, e->models[i].adapter_count),
    };
}

static void
models_from_view (struct pool_server *s, const struct pool_view *v,
                  uint64_t now_ms)
{
  clear_models (s);
  s->models = xcalloc (v->holding_count + 1, sizeof *s->models);
  for (size_t i = 0; i < v->holding_count; i++)
    s->models[s->model_count++] = (struct placed_model){
      .model = str_dup (v->holdings[i].model),
      .state = v->holdings[i].state,
      .ready_ms = now_ms + v->holdings[i].ready_in_ms,
      .adapters
      = name_list_copy (v->holdings[i].adapters, v->holdings[i].adapter_count),
    };
}

static struct placed_model *
find_model (const struct pool_server *s, struct str model)
{
  for (size_t i = 0; i < s->model_count; i++)
    if (str_eq (s->models[i].model, model))
      return &s->models[i];
  return NULL;
}

/* ---- servers ---- */

static struct pool_server *
find (const struct pool *p, struct str id)
{
  struct pool_server *s;

  HASH_FIND (hh, p->servers, id.data, id.len, s);
  return s;
}

static void
server_free (struct pool_server *s)
{
  clear_models (s);
  str_free (&s->id);
  str_free (&s->service);
  str_free (&s->address);
  str_free (&s->domain);
  free (s);
}

static void
remove_server (struct pool *p, struct pool_server *s)
{
  HASH_DEL (p->servers, s);
  if (p->servers_by_hash)
    HASH_DELETE (hh_hash, p->servers_by_hash, s);
  server_free (s);
}

static void
sweep (struct pool *p, uint64_t now_ms)
{
  struct pool_server *s;
  struct pool_server *next;

  HASH_ITER (hh, p->servers, s, next)
  if (!s->listed && s->running == 0
      && now_ms > s->removed_ms + DEPARTED_KEPT_MS)
    {
      remove_server (p, s);
    }
}

static struct pool_server *
add (struct pool *p, struct str id)
{
  struct pool_server *s = xcalloc (1, sizeof *s);

  s->id = str_dup (id);
  s->hash = str_hash (id, 0);
  HASH_ADD_KEYPTR (hh, p->servers, s->id.data, s->id.len, s);
  HASH_ADD (hh_hash, p->servers_by_hash, hash, sizeof s->hash, s);
  return s;
}

/* A server that started again knows nothing of before. */
static void
restart (struct pool_server *s, const struct server_entry *e)
{
  s->started_ms = e->started_ms;
  s->leaving = false;
  s->replaced = false;
  s->sequence = 0;
  s->order_count = 0;
  s->view_ms = 0;
  s->placed = false;
  s->others = 0;
  s->failures = 0;
  s->rejections = 0;
  s->full_until_ms = 0;
  s->avoid_until_ms = 0;
  s->unreached = false;
}

struct pool *
pool_create (void)
{
  return xcalloc (1, sizeof (struct pool));
}

void
pool_destroy (struct pool *p)
{
  struct pool_server *s;
  struct pool_server *next;

  HASH_ITER (hh, p->servers, s, next)
  remove_server (p, s);
  free (p);
}

/* The placement holder knows earlier what a server holds, and tells what
   changes. */
static bool
has_fresh_view (const struct pool *p, const struct pool_server *s,
                uint64_t now_ms)
{
  const uint64_t heard_ms
      = s->placed && p->heard_ms > s->view_ms ? p->heard_ms : s->view_ms;

  return s->view_ms > 0 && now_ms < heard_ms + VIEW_FRESH_MS;
}

void
pool_update (struct pool *p, const struct server_entry *e, uint64_t now_ms)
{
  struct pool_server *s = find (p, e->id);

  sweep (p, now_ms);
  if (!s)
    s = add (p, e->id);
  else if (e->started_ms < s->started_ms
           || (e->started_ms == s->started_ms && e->sequence < s->sequence))
    return; /* an old entry that was stored late */
  if (e->started_ms > s->started_ms)
    restart (s, e);
  s->listed = true;
  s->unreadable = false;
  str_assign (&s->service, e->service);
  str_assign (&s->address, e->address);
  str_assign (&s->domain, e->domain);
  s->slots = e->slots;
  s->sequence = e->sequence;
  if (e->state == SERVER_LEAVING)
    s->leaving = true;
  if (!has_fresh_view (p, s, now_ms))
    models_from_entry (s, e);
}

void
pool_remove (struct pool *p, struct str id, uint64_t now_ms)
{
  struct pool_server *s = find (p, id);
  const uint64_t grace_end_ms = p->regained_ms + LAPSE_GRACE_MS;

  if (!s)
    return;
  s->listed = false;
  s->removed_ms = now_ms;
  s->usable_until_ms
      = p->regained_ms > 0 && now_ms < grace_end_ms ? grace_end_ms : now_ms;
}

void
pool_unreadable (struct pool *p, struct str id)
{
  struct pool_server *s = find (p, id);

  if (s)
    s->unreadable = true;
}

void
pool_store_reachable (struct pool *p, bool reachable, uint64_t now_ms)
{
  if (reachable && !p->reachable)
    p->regained_ms = now_ms;
  p->reachable = reachable;
}

static struct pool_server *
find_hash (const struct pool *p, uint64_t hash)
{
  struct pool_server *s;

  HASH_FIND (hh_hash, p->servers_by_hash, &hash, sizeof hash, s);
  return s;
}

void
pool_heard (struct pool *p, uint64_t now_ms)
{
  p->heard_ms = now_ms;
}

void
pool_apply_running (struct pool *p, uint64_t server, uint32_t running)
{
  struct pool_server *s = find_hash (p, server);

  if (s)
    s->others = running > s->told ? running - s->told : 0;
}

void
pool_apply_view (struct pool *p, const struct pool_view *v, uint64_t now_ms)
{
  struct pool_server *s = find_hash (p, v->server);

  if (!s)
    return;
  pool_apply_running (p, v->server, v->running);
  if (!v->placed)
    s->placed = false;
  if (!v->placed || v->order_count < s->order_count)
    return;
  s->placed = true;
  s->order_count = v->order_count;
  s->view_ms = now_ms;
  models_from_view (s, v, now_ms);
}

/* ---- choice ---- */

bool
pool_server_usable (const struct pool_server *s, uint64_t now_ms)
{
  return !s->leaving && !s->unreadable && !s->replaced
         && (s->listed || now_ms < s->usable_until_ms);
}

static double
load_of (const struct pool_server *s, const struct pool_need *need)
{
  const double slots = s->slots > 0 ? s->slots : 1;
  double load = (s->running + s->others) / slots;

  if (!str_eq (s->domain, need->domain))
    load += DOMAIN_PENALTY;
  return load;
}

static bool
is_full (const struct pool_server *s, const struct pool_need *need,
         uint64_t now_ms)
{
  const uint32_t places = need->engine ? s->slots : s->slots * PLAIN_QUEUE;

  return s->running + s->others >= places || now_ms < s->full_until_ms;
}

static bool
is_lacking (const struct placed_model *m, struct str adapter, uint64_t now_ms)
{
  return now_ms < m->lacking_until_ms && str_eq (m->lacking, adapter);
}

/* Can the server run the call, full or not? */
static enum pool_verdict
suits (const struct pool_server *s, const struct pool_need *need,
       uint64_t now_ms)
{
  const struct placed_model *m;

  if (!need->engine)
    return POOL_CHOSEN;
  m = find_model (s, need->model);
  /* A server that is down holds nothing when it is back. Calls that wait tell
     the placement holder to load the model elsewhere. */
  if (!m || m->state != HELD_READY || is_lacking (m, STR (""), now_ms)
      || (s->unreached && now_ms < s->avoid_until_ms))
    return POOL_NO_MODEL;
  if (need->adapter.len > 0
      && (!name_list_has (&m->adapters, need->adapter)
          || is_lacking (m, need->adapter, now_ms)))
    return POOL_NO_ADAPTER;
  return is_full (s, need, now_ms) ? POOL_FULL : POOL_CHOSEN;
}

/* Prefers a server that did not fail lately, then the least loaded one. */
static bool
is_better (const struct pool_server *a, const struct pool_server *b,
           const struct pool_need *need, uint64_t now_ms)
{
  const bool a_avoided = now_ms < a->avoid_until_ms || a == need->avoid;
  const bool b_avoided = now_ms < b->avoid_until_ms || b == need->avoid;

  if (a_avoided != b_avoided)
    return b_avoided;
  return load_of (a, need) < load_of (b, need);
}

static enum pool_verdict
nearer (enum pool_verdict a, enum pool_verdict b)
{
  /* The order of the enum is that of how near a call is to be served. */
  return a > b ? a : b;
}

enum pool_verdict
pool_choose (struct pool *p, const struct pool_need *need, uint64_t now_ms,
             struct pool_server **out)
{
  enum pool_verdict verdict = POOL_NO_SERVER;
  struct pool_server *best = NULL;

  for (struct pool_server *s = p->servers; s; s = s->hh.next)
    {
      if (!str_eq (s->service, need->service)
          || !pool_server_usable (s, now_ms))
        continue;
      enum pool_verdict v = suits (s, need, now_ms);
      if (v == POOL_CHOSEN && is_full (s, need, now_ms))
        v = POOL_FULL;
      if (v != POOL_CHOSEN)
        verdict = nearer (verdict, v);
      else if (!best || is_better (s, best, need, now_ms))
        best = s;
    }
  if (!best)
    return verdict;
  *out = best;
  return POOL_CHOSEN;
}

uint32_t
pool_ready_in (const struct pool *p, const struct pool_need *need,
               uint64_t now_ms)
{
  uint32_t best = UINT32_MAX;

  for (const struct pool_server *s = p->servers; s; s = s->hh.next)
    {
      const struct placed_model *m = find_model (s, need->model);

      if (!m || m->state != HELD_LOADING || !str_eq (s->service, need->service)
          || !pool_server_usable (s, now_ms))
        continue;
      const uint64_t left = m->ready_ms > now_ms ? m->ready_ms - now_ms : 0;
      if (left < best)
        best = (uint32_t)left;
    }
  return best;
}

/* ---- calls ---- */

void
pool_begin (struct pool_server *s)
{
  s->running++;
}

void
pool_end (struct pool_server *s)
{
  s->running--;
}

static uint64_t
doubled_ms (uint64_t min_ms, uint64_t max_ms, uint32_t times)
{
  uint64_t ms = min_ms;

  for (uint32_t i = 0; i < times && ms < max_ms; i++)
    ms *= 2;
  return ms < max_ms ? ms : max_ms;
}

void
pool_failed (struct pool_server *s, uint64_t now_ms)
{
  s->avoid_until_ms
      = now_ms + doubled_ms (AVOID_MIN_MS, AVOID_MAX_MS, s->failures);
  s->failures++;
  s->unreached = false;
}

void
pool_unreached (struct pool_server *s, uint64_t now_ms)
{
  s->unreached = true;
  s->avoid_until_ms = now_ms + UNREACHED_MS;
}

void
pool_turned_away (struct pool_server *s, uint64_t now_ms)
{
  s->full_until_ms
      = now_ms + doubled_ms (FULL_MIN_MS, FULL_MAX_MS, s->rejections);
  s->rejections++;
}

void
pool_served (struct pool_server *s)
{
  s->rejections = 0;
  s->full_until_ms = 0;
  s->unreached = false;
  s->failures = 0;
  s->avoid_until_ms = 0;
}

void
pool_misplaced (struct pool_server *s, struct str model, struct str adapter,
                uint64_t now_ms)
{
  struct placed_model *m = find_model (s, model);

  if (!m)
    return;
  m->lacking_until_ms = now_ms + MISPLACED_MS;
  str_assign (&m->lacking,
              name_list_has (&m->adapters, adapter) ? adapter : STR (""));
}

void
pool_replaced (struct pool_server *s)
{
  s->replaced = true;
}

struct str
pool_server_id (const struct pool_server *s)
{
  return s->id;
}

uint64_t
pool_server_started (const struct pool_server *s)
{
  return s->started_ms;
}

struct pool_server *
pool_find (const struct pool *p, struct str id)
{
  return find (p, id);
}

struct str
pool_server_address (const struct pool_server *s)
{
  return s->address;
}

struct pool_belief
pool_server_belief (const struct pool_server *s, uint64_t now_ms)
{
  return (struct pool_belief){
    .running = s->running,
    .others = s->others,
    .view_age_ms = s->view_ms > 0 ? now_ms - s->view_ms : 0,
  };
}

size_t
pool_loads (struct pool *p, uint64_t now_ms, struct pool_load *out, size_t max)
{
  size_t n = 0;

  for (struct pool_server *s = p->servers; s && n < max; s = s->hh.next)
    {
      s->told = s->running;
      const bool unreached = s->listed && s->unreached
                             && now_ms < s->avoid_until_ms + UNREACHED_TOLD_MS;

      if (s->running > 0 || unreached)
        out[n++] = (struct pool_load){ .server = s->hash,
                                       .running = s->running,
                                       .unreached = unreached };
    }
  return n;
}
