#include "edge/pool_impl.h"

#include <stdlib.h>

#include "err.h"

/* State of the servers, from their entries and from the placement holder's
   reports. */

/* A server without an entry is remembered for this long, so that an old entry
   can't make a server usable again that is leaving or gone. */
#define DEPARTED_RETENTION_MS (10 * 60 * 1000)
/* Time for live servers to write their entries again after an outage of the
   store. */
#define ENTRY_GRACE_MS 1900
/* The store removes the entry of a server that is gone within this time after
   it came back from a copy that has the entry. */
#define RESTORED_ENTRY_MS (10 * 1000)
/* How long a report of the placement holder overrides a server's entry. */
#define VIEW_VALID_MS 2000

/* ---- models of a server ---- */

static void
clear_models (struct pool_server *s)
{
  for (size_t i = 0; i < s->model_count; i++)
    {
      str_free (&s->models[i].model);
      str_free (&s->models[i].missing);
      name_list_free (&s->models[i].adapters);
    }
  free (s->models);
  s->models = NULL;
  s->model_count = 0;
}

static void
set_models_from_entry (struct pool_server *s, const struct server_entry *e)
{
  clear_models (s);
  s->models = xcalloc (e->model_count + 1, sizeof *s->models);
  for (size_t i = 0; i < e->model_count; i++)
    s->models[s->model_count++] = (struct placed_model){
      .model = str_dup (e->models[i].name),
      .state = POOL_MODEL_READY,
      .adapters
      = name_list_copy (e->models[i].adapters, e->models[i].adapter_count),
    };
}

static void
set_models_from_view (struct pool_server *s, const struct pool_view *v,
                      uint64_t now_ms)
{
  clear_models (s);
  s->models = xcalloc (v->model_count + 1, sizeof *s->models);
  for (size_t i = 0; i < v->model_count; i++)
    s->models[s->model_count++] = (struct placed_model){
      .model = str_dup (v->models[i].model),
      .state = v->models[i].state,
      .ready_at_ms = now_ms + v->models[i].ready_in_ms,
      .adapters
      = name_list_copy (v->models[i].adapters, v->models[i].adapter_count),
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
  str_free (&s->software_version);
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
remove_departed (struct pool *p, uint64_t now_ms)
{
  struct pool_server *s;
  struct pool_server *next;

  HASH_ITER (hh, p->servers, s, next)
  if (!s->listed && s->running == 0
      && now_ms > s->removed_ms + DEPARTED_RETENTION_MS)
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

/* Clears the state that does not apply after a restart of the server. */
static void
restart (struct pool_server *s, const struct server_entry *e)
{
  s->started_ms = e->started_ms;
  s->leaving = false;
  s->replaced = false;
  s->sequence = 0;
  s->order_count = 0;
  s->view_received_ms = 0;
  s->models_known = false;
  s->other_nodes_running = 0;
  s->failures = 0;
  s->rejections = 0;
  s->full_until_ms = 0;
  s->avoid_until_ms = 0;
  s->deferred_until_ms = 0;
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

/* Returns true if the holder's report overrides the server's entry: the holder
   learns of changes earlier than the entry and reports only changes, so that
   each message from it confirms its earlier reports. */
static bool
has_valid_view (const struct pool *p, const struct pool_server *s,
                uint64_t now_ms)
{
  const uint64_t valid_since_ms
      = s->models_known && p->holder_message_ms > s->view_received_ms
            ? p->holder_message_ms
            : s->view_received_ms;

  return s->view_received_ms > 0 && now_ms < valid_since_ms + VIEW_VALID_MS;
}

/* Returns true for an entry that was stored late. */
static bool
is_outdated (const struct pool_server *s, const struct server_entry *e)
{
  if (e->started_ms != s->started_ms)
    return e->started_ms < s->started_ms;
  return e->sequence < s->sequence;
}

/* Returns true for an entry that was removed and is there again because the
   store came back from an older copy. A live server writes it again with a
   higher sequence, if it has anything new to write. */
static bool
is_restored (const struct pool_server *s, const struct server_entry *e)
{
  return s->removed_before_restore && e->started_ms == s->started_ms
         && e->sequence == s->sequence;
}

bool
pool_update (struct pool *p, const struct server_entry *e, uint64_t now_ms)
{
  struct pool_server *s = find (p, e->id);

  remove_departed (p, now_ms);
  if (!s)
    s = add (p, e->id);
  else if (is_outdated (s, e))
    return false;
  s->doubted_until_ms
      = is_restored (s, e) ? p->restored_ms + RESTORED_ENTRY_MS : 0;
  if (e->started_ms > s->started_ms)
    restart (s, e);
  s->listed = true;
  s->removed_before_restore = false;
  s->unreadable = false;
  str_assign (&s->service, e->service);
  str_assign (&s->address, e->address);
  str_assign (&s->domain, e->domain);
  str_assign (&s->software_version, e->software_version);
  s->slots = e->slots;
  s->sequence = e->sequence;
  if (e->state == SERVER_DRAINING)
    s->leaving = true;
  if (!has_valid_view (p, s, now_ms))
    set_models_from_entry (s, e);
  return true;
}

void
pool_remove (struct pool *p, struct str id, uint64_t now_ms)
{
  struct pool_server *s = find (p, id);
  const uint64_t grace_end_ms = p->outage_ended_ms + ENTRY_GRACE_MS;

  if (!s)
    return;
  s->listed = false;
  s->removed_ms = now_ms;
  s->usable_until_ms = p->outage_ended_ms > 0 && now_ms < grace_end_ms
                           ? grace_end_ms
                           : now_ms;
}

void
pool_entry_unreadable (struct pool *p, struct str id)
{
  struct pool_server *s = find (p, id);

  if (s)
    s->unreadable = true;
}

void
pool_store_outage_ended (struct pool *p, uint64_t now_ms)
{
  p->outage_ended_ms = now_ms;
}

void
pool_store_restored (struct pool *p, uint64_t now_ms)
{
  pool_store_outage_ended (p, now_ms);
  p->restored_ms = now_ms;
  for (struct pool_server *s = p->servers; s; s = s->hh.next)
    s->removed_before_restore = s->removed_before_restore || !s->listed
                                || s->doubted_until_ms > now_ms;
}

static struct pool_server *
find_by_hash (const struct pool *p, uint64_t hash)
{
  struct pool_server *s;

  HASH_FIND (hh_hash, p->servers_by_hash, &hash, sizeof hash, s);
  return s;
}

void
pool_renew_views (struct pool *p, uint64_t now_ms)
{
  p->holder_message_ms = now_ms;
}

void
pool_apply_running (struct pool *p, uint64_t server, uint32_t running)
{
  struct pool_server *s = find_by_hash (p, server);

  if (s)
    s->other_nodes_running
        = running > s->reported_running ? running - s->reported_running : 0;
}

void
pool_apply_view (struct pool *p, const struct pool_view *v, uint64_t now_ms)
{
  struct pool_server *s = find_by_hash (p, v->server);

  if (!s)
    return;
  pool_apply_running (p, v->server, v->running);
  if (!v->models_known)
    s->models_known = false;
  if (v->models_omitted)
    s->view_received_ms = 0;
  if (!v->models_known || v->order_count < s->order_count)
    return;
  s->models_known = true;
  s->order_count = v->order_count;
  s->view_received_ms = now_ms;
  set_models_from_view (s, v, now_ms);
}

/* ---- properties of a server ---- */

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

bool
pool_server_leaving (const struct pool_server *s)
{
  return s->leaving;
}

struct pool_server *
pool_find_at (const struct pool *p, struct str address)
{
  for (struct pool_server *s = p->servers; s; s = s->hh.next)
    if (s->listed && str_eq (s->address, address))
      return s;
  return NULL;
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

struct str
pool_server_software_version (const struct pool_server *s)
{
  return s->software_version;
}

void
pool_each_listed (const struct pool *p,
                  void (*visit) (void *ctx, struct str service,
                                 struct str software_version),
                  void *ctx)
{
  for (const struct pool_server *s = p->servers; s; s = s->hh.next)
    if (s->listed)
      visit (ctx, s->service, s->software_version);
}
