#include "ledger.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "err.h"

/* Size of the stored value above which loads are refused, so that changes that
   free memory still fit the store's limit of 1 MB per value. */
#define STORED_LIMIT_BYTES 900000

struct ledger *
ledger_create (struct str service, bool fenced, uint64_t pause_bound_ms)
{
  struct ledger *l = xcalloc (1, sizeof *l);

  l->service = str_dup (service);
  l->fenced = fenced;
  l->pause_bound_ms = pause_bound_ms;
  return l;
}

static void
entry_free (struct ledger_entry *e)
{
  replica_key_free (&e->key);
  str_free (&e->order_id);
  str_free (&e->unload_id);
  free (e);
}

static void
server_free (struct ledger_server *s)
{
  for (size_t i = 0; i < s->entry_count; i++)
    entry_free (s->entries[i]);
  free (s->entries);
  str_free (&s->addr);
  str_free (&s->domain);
  free (s);
}

void
ledger_destroy (struct ledger *l)
{
  for (size_t i = 0; i < l->server_count; i++)
    server_free (l->servers[i]);
  free (l->servers);
  str_free (&l->service);
  str_free (&l->writer);
  str_free (&l->former_writer);
  free (l);
}

static void
take_over_entry (const struct ledger *l, struct ledger_entry *e, uint64_t now)
{
  e->decided_ms = now;
  if (e->order_open && e->fence == l->fence)
    {
      /* The stored form does not tell whether this owner already sent the
         order. Treats it as sent just now, with its answer lost. */
      e->lost_answers = 1;
      e->sent_ms = now;
    }
  if (e->state == LEDGER_INTENT_LOAD)
    return;
  e->loaded_ms = now;
  e->load_logged = true;
}

int
ledger_take_over (struct ledger *l, uint64_t fence, struct str writer,
                  uint64_t instance, uint64_t now)
{
  const bool own
      = instance == l->writer_instance && str_eq (writer, l->writer);

  if (fence < l->fence || (fence == l->fence && !own))
    return -ESTALE;
  l->former_fence = l->fence;
  str_free (&l->former_writer);
  l->former_writer = l->writer;
  l->fence = fence;
  l->writer = str_dup (writer);
  l->writer_instance = instance;
  l->takeover_stored_ms = 0;
  l->dirty = true;
  for (size_t i = 0; i < l->server_count; i++)
    for (size_t j = 0; j < l->servers[i]->entry_count; j++)
      take_over_entry (l, l->servers[i]->entries[j], now);
  return 0;
}

struct str
ledger_write_begin (struct ledger *l)
{
  if (!l->dirty || l->is_superseded || l->writing_seq != 0)
    return (struct str){ 0 };
  l->dirty = false;
  l->writing_seq = ++l->last_seq;
  const struct str json = ledger_encode (l, l->writing_seq);
  l->stored_bytes = json.len;
  return json;
}

void
ledger_write_done (struct ledger *l, enum ledger_write_result result,
                   uint64_t now)
{
  switch (result)
    {
    case LEDGER_STORED:
      l->stored_seq = l->writing_seq;
      if (l->takeover_stored_ms == 0)
        l->takeover_stored_ms = now;
      break;
    case LEDGER_NOT_STORED:
      l->dirty = true;
      break;
    case LEDGER_SUPERSEDED:
      l->is_superseded = true;
      break;
    }
  l->writing_seq = 0;
}

static size_t
index_of_server (const struct ledger *l, struct str addr, bool *found)
{
  size_t low = 0;
  size_t high = l->server_count;

  *found = false;
  while (low < high)
    {
      const size_t mid = low + (high - low) / 2;
      const int c = str_cmp (l->servers[mid]->addr, addr);

      if (c == 0)
        {
          *found = true;
          return mid;
        }
      if (c < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

struct ledger_server *
ledger_find_server (const struct ledger *l, struct str addr)
{
  bool found;
  const size_t i = index_of_server (l, addr, &found);

  return found ? l->servers[i] : NULL;
}

struct ledger_server *
ledger_server_add (struct ledger *l, struct str addr, struct str domain)
{
  bool found;
  const size_t i = index_of_server (l, addr, &found);

  if (found)
    return l->servers[i];
  struct ledger_server *s = xcalloc (1, sizeof *s);
  s->addr = str_dup (addr);
  s->domain = str_dup (domain);
  l->servers = xrealloc (l->servers, (l->server_count + 1) * sizeof (void *));
  memmove (l->servers + i + 1, l->servers + i,
           (l->server_count - i) * sizeof (void *));
  l->servers[i] = s;
  l->server_count++;
  l->dirty = true;
  return s;
}

void
ledger_entry_append (struct ledger_server *s, struct ledger_entry *e)
{
  s->entries = xrealloc (s->entries, (s->entry_count + 1) * sizeof (void *));
  s->entries[s->entry_count++] = e;
}

void
ledger_entry_drop (struct ledger *l, struct ledger_server *s, size_t i)
{
  entry_free (s->entries[i]);
  s->entries[i] = s->entries[--s->entry_count];
  l->dirty = true;
}

void
ledger_server_ended (struct ledger *l, struct str addr, bool remove)
{
  bool found;
  const size_t i = index_of_server (l, addr, &found);

  if (!found)
    return;
  struct ledger_server *s = l->servers[i];
  while (s->entry_count > 0)
    ledger_entry_drop (l, s, s->entry_count - 1);
  s->status_known = false;
  if (!remove)
    return;
  server_free (s);
  l->server_count--;
  memmove (l->servers + i, l->servers + i + 1,
           (l->server_count - i) * sizeof (void *));
  l->dirty = true;
}

bool
ledger_server_leaving (const struct ledger_server *s)
{
  return s->leaving || s->listed_leaving;
}

uint64_t
ledger_used_bytes (const struct ledger_server *s)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < s->entry_count; i++)
    sum += s->entries[i]->bytes;
  return sum;
}

struct ledger_entry *
ledger_find_entry (const struct ledger_server *s,
                   const struct replica_key *key)
{
  for (size_t i = 0; i < s->entry_count; i++)
    if (replica_key_eq (&s->entries[i]->key, key))
      return s->entries[i];
  return NULL;
}

struct ledger_entry *
ledger_find_any_version (const struct ledger_server *s,
                         const struct replica_key *key)
{
  for (size_t i = 0; i < s->entry_count; i++)
    {
      const struct replica_key *k = &s->entries[i]->key;

      if (str_eq (k->model, key->model) && str_eq (k->adapter, key->adapter))
        return s->entries[i];
    }
  return NULL;
}

size_t
ledger_replica_count (const struct ledger *l, const struct replica_key *key)
{
  size_t n = 0;

  for (size_t i = 0; i < l->server_count; i++)
    n += ledger_find_any_version (l->servers[i], key) != NULL;
  return n;
}

static bool
may_decide (const struct ledger *l)
{
  return !l->is_superseded && l->fence > 0 && l->takeover_stored_ms > 0;
}

static struct str
new_order_id (struct ledger *l)
{
  return str_printf ("%lu.%lu.%lu", l->fence, l->last_seq, ++l->order_seq);
}

static struct ledger_entry *
add_entry (struct ledger_server *s, const struct replica_key *key)
{
  struct ledger_entry *e = xcalloc (1, sizeof *e);

  e->key = replica_key_dup (key);
  ledger_entry_append (s, e);
  return e;
}

static void
record_decision (struct ledger *l, struct ledger_entry *e, uint64_t now)
{
  e->fence = l->fence;
  e->changed_seq = l->last_seq + 1;
  e->decided_ms = now;
  e->retry_ms = now;
  l->dirty = true;
}

static bool
model_loaded (const struct ledger_server *s, const struct replica_key *adapter)
{
  const struct replica_key key
      = { .model = adapter->model, .version = adapter->version };
  const struct ledger_entry *e = ledger_find_entry (s, &key);

  return e && e->state == LEDGER_LOADED;
}

static int
check_server (const struct ledger_server *s)
{
  if (!s)
    return -ENOENT;
  if (!s->status_known)
    return -EHOSTDOWN;
  return ledger_server_leaving (s) ? -ESHUTDOWN : 0;
}

int
ledger_decide_load (struct ledger *l, struct str addr,
                    const struct replica_key *key, uint64_t bytes,
                    uint32_t max_replicas, uint64_t now)
{
  struct ledger_server *s = ledger_find_server (l, addr);
  uint64_t sum;

  if (!may_decide (l))
    return -EPERM;
  const int rc = check_server (s);
  if (rc != 0)
    return rc;
  if (ledger_find_any_version (s, key))
    return -EEXIST;
  if (__builtin_add_overflow (ledger_used_bytes (s), bytes, &sum)
      || sum > s->memory_bytes)
    return -ENOMEM;
  if (key->adapter.len > 0 && !model_loaded (s, key))
    return -ENOLINK;
  if (key->adapter.len == 0 && ledger_replica_count (l, key) >= max_replicas)
    return -EDQUOT;
  if (l->stored_bytes > STORED_LIMIT_BYTES)
    return -EFBIG;
  struct ledger_entry *e = add_entry (s, key);
  e->state = LEDGER_INTENT_LOAD;
  e->order_id = new_order_id (l);
  e->instance = s->instance;
  e->bytes = bytes;
  e->order_open = true;
  record_decision (l, e, now);
  return 0;
}

static bool
adapter_of (const struct ledger_entry *e, const struct replica_key *model)
{
  return e->key.adapter.len > 0 && str_eq (e->key.model, model->model)
         && str_eq (e->key.version, model->version);
}

static void
mark_unload (struct ledger *l, struct ledger_entry *e, uint64_t now)
{
  e->state = LEDGER_INTENT_UNLOAD;
  str_free (&e->unload_id);
  e->unload_id = new_order_id (l);
  record_decision (l, e, now);
}

int
ledger_decide_unload (struct ledger *l, struct str addr,
                      const struct replica_key *key, uint64_t now)
{
  struct ledger_server *s = ledger_find_server (l, addr);
  struct ledger_entry *e = s ? ledger_find_entry (s, key) : NULL;

  if (!may_decide (l))
    return -EPERM;
  if (!e)
    return -ENOENT;
  if (e->state != LEDGER_LOADED)
    return e->state == LEDGER_INTENT_LOAD ? -EBUSY : -EALREADY;
  const bool model = key->adapter.len == 0;
  for (size_t i = 0; model && i < s->entry_count; i++)
    if (adapter_of (s->entries[i], key)
        && s->entries[i]->state == LEDGER_INTENT_LOAD)
      return -EBUSY;
  mark_unload (l, e, now);
  for (size_t i = 0; model && i < s->entry_count; i++)
    if (adapter_of (s->entries[i], key)
        && s->entries[i]->state == LEDGER_LOADED)
      mark_unload (l, s->entries[i], now);
  return 0;
}

bool
ledger_has_former_orders (const struct ledger *l)
{
  for (size_t i = 0; i < l->server_count; i++)
    for (size_t j = 0; j < l->servers[i]->entry_count; j++)
      {
        const struct ledger_entry *e = l->servers[i]->entries[j];

        if (e->order_open && e->fence < l->fence)
          return true;
      }
  return false;
}

void
ledger_fence_off (struct ledger *l, uint64_t fence,
                  void (*fn) (void *ctx, struct str order_id), void *ctx)
{
  if (l->fence > fence)
    return;
  l->is_superseded = true;
  for (size_t i = 0; i < l->server_count; i++)
    for (size_t j = 0; j < l->servers[i]->entry_count; j++)
      {
        struct ledger_entry *e = l->servers[i]->entries[j];

        /* The owner that decided an entry of an older fence may have sent its
           order. */
        if (!e->order_open || e->fence != l->fence || e->sent_ms > 0
            || e->in_flight)
          continue;
        e->fenced_off = true;
        fn (ctx, e->order_id);
      }
}

bool
ledger_void_order (struct ledger *l, struct str order_id)
{
  for (size_t i = 0; i < l->server_count; i++)
    for (size_t j = 0; j < l->servers[i]->entry_count; j++)
      {
        const struct ledger_entry *e = l->servers[i]->entries[j];

        if (!str_eq (e->order_id, order_id))
          continue;
        if (!e->order_open || e->state != LEDGER_INTENT_LOAD
            || e->fence != l->former_fence || e->fence == l->fence
            || e->sent_ms > 0 || e->in_flight)
          return false;
        ledger_entry_drop (l, l->servers[i], j);
        return true;
      }
  return false;
}
