#include "edge/pool_impl.h"

#include <stdlib.h>

#include "err.h"

/* The servers that a node knows: what their entries say and what the
   placement holder tells. */

/* A server that is known to leave or to be gone is remembered for this long,
   so that an old entry does not bring it back. */
#define DEPARTED_KEPT_MS (10 * 60 * 1000)
/* Time that live servers get to write their entries after an outage. */
#define LAPSE_GRACE_MS 1900
/* What the placement holder told goes before the entry for this long. */
#define VIEW_FRESH_MS 2000

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

struct placed_model *
pool_model (const struct pool_server *s, struct str model)
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

/* ---- what a server is ---- */

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
