#include "lists_impl.h"

#include <stdlib.h>
#include <string.h>

#include "err.h"

#define BLOCK_BYTES 65536

/* Arena block of a struct lists_index; all blocks are freed together. */
struct block
{
  struct block *next;
  size_t used;
  size_t size;
  _Alignas(max_align_t) char data[];
};

void *
lists_alloc (struct lists_index *x, size_t n)
{
  const size_t align = _Alignof(max_align_t);
  struct block *b = x->blocks;

  n = (n + align - 1) / align * align;
  if (!b || b->size - b->used < n)
    {
      const size_t size = n > BLOCK_BYTES ? n : BLOCK_BYTES;

      b = xcalloc (1, sizeof *b + size);
      b->size = size;
      b->next = x->blocks;
      x->blocks = b;
    }
  void *p = b->data + b->used;
  b->used += n;
  return p;
}

struct str
lists_alloc_str (struct lists_index *x, struct str s)
{
  char *p = lists_alloc (x, s.len + 1);

  if (s.len > 0)
    memcpy (p, s.data, s.len);
  return (struct str){ .data = p, .len = s.len };
}

static const void *
find (const struct lists_index_entry *table, struct str key)
{
  const struct lists_index_entry *n;

  HASH_FIND (hh, table, key.data, key.len, n);
  return n ? n->value : NULL;
}

const void *
lists_add (struct lists_index *x, struct lists_index_entry **table,
           struct str key, const void *value)
{
  const void *existing = find (*table, key);
  struct lists_index_entry *n;

  if (existing)
    return existing;
  n = lists_alloc (x, sizeof *n);
  n->key = key;
  n->value = value;
  HASH_ADD_KEYPTR (hh, *table, n->key.data, n->key.len, n);
  return NULL;
}

void
lists_index_destroy (struct lists_index *x)
{
  HASH_CLEAR (hh, x->plans);
  HASH_CLEAR (hh, x->customers);
  HASH_CLEAR (hh, x->keys);
  HASH_CLEAR (hh, x->services);
  HASH_CLEAR (hh, x->classes);
  HASH_CLEAR (hh, x->models);
  HASH_CLEAR (hh, x->uses);
  while (x->blocks)
    {
      struct block *b = x->blocks;

      x->blocks = b->next;
      free (b);
    }
  free (x);
}

struct str
lists_use_key (struct str plan, char kind, struct str name,
               char out[LISTS_USE_KEY_MAX])
{
  if (plan.len > LISTS_NAME_MAX || name.len > LISTS_NAME_MAX)
    return STR ("");
  if (plan.len > 0)
    memcpy (out, plan.data, plan.len);
  out[plan.len] = '\n';
  out[plan.len + 1] = kind;
  if (name.len > 0)
    memcpy (out + plan.len + 2, name.data, name.len);
  return (struct str){ .data = out, .len = plan.len + 2 + name.len };
}

const struct plan *
lists_plan (const struct lists *l, struct str name)
{
  return find (l->index->plans, name);
}

const struct service *
lists_service (const struct lists *l, struct str name)
{
  return find (l->index->services, name);
}

const struct request_class *
lists_class (const struct lists *l, struct str name)
{
  return find (l->index->classes, name);
}

const struct model *
lists_model (const struct lists *l, struct str name, struct str version)
{
  const struct model *m = find (l->index->models, name);

  if (m && version.len > 0 && !str_eq (m->version, version))
    return NULL;
  return m;
}

static int
compare_adapter_names (const void *a, const void *b)
{
  const struct adapter *x = a;
  const struct adapter *y = b;

  return str_cmp (x->name, y->name);
}

void
lists_sort_adapters (const struct model *m)
{
  if (m->adapter_count > 0)
    qsort ((struct adapter *)m->adapters, m->adapter_count,
           sizeof *m->adapters, compare_adapter_names);
}

const struct adapter *
lists_adapter (const struct model *m, struct str name)
{
  const struct adapter key = { .name = name };

  if (m->adapter_count == 0)
    return NULL;
  return bsearch (&key, m->adapters, m->adapter_count, sizeof *m->adapters,
                  compare_adapter_names);
}

const struct customer *
lists_customer_by_key (const struct lists *l, struct str key_hash)
{
  return find (l->index->keys, key_hash);
}

const struct customer *
lists_customer_by_name (const struct lists *l, struct str name)
{
  return find (l->index->customers, name);
}

static bool
allows_adapter (const struct lists *l, const struct use *u, struct str adapter)
{
  if (adapter.len == 0)
    return true;
  if (!lists_adapter (lists_model (l, u->model, STR ("")), adapter))
    return false;
  for (size_t i = 0; i < u->adapter_count; i++)
    if (str_eq (u->adapters[i], STR ("*")) || str_eq (u->adapters[i], adapter))
      return true;
  return false;
}

const struct use *
lists_model_use (const struct lists *l, struct str plan, struct str model,
                 struct str adapter)
{
  char key[LISTS_USE_KEY_MAX];
  const struct use *u
      = find (l->index->uses, lists_use_key (plan, 'm', model, key));

  return u && allows_adapter (l, u, adapter) ? u : NULL;
}

const struct use *
lists_service_use (const struct lists *l, struct str plan, struct str service)
{
  char key[LISTS_USE_KEY_MAX];

  return find (l->index->uses, lists_use_key (plan, 's', service, key));
}
