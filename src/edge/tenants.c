#include "edge/tenants.h"

#include <stdlib.h>

#include <uthash.h>

#include "err.h"

struct tenant_entry
{
  struct tenant tenant;
  UT_hash_handle hh;
};

struct key_entry
{
  struct str key;
  const struct tenant *tenant;
  UT_hash_handle hh;
};

struct tenants
{
  struct tenant_entry *by_name;
  struct key_entry *by_key;
};

struct tenants *
tenants_create (void)
{
  return xcalloc (1, sizeof (struct tenants));
}

void
tenants_destroy (struct tenants *t)
{
  struct key_entry *key;
  struct key_entry *next_key;
  struct tenant_entry *entry;
  struct tenant_entry *next_entry;

  if (!t)
    return;
  HASH_ITER (hh, t->by_key, key, next_key)
  {
    HASH_DEL (t->by_key, key);
    str_free (&key->key);
    free (key);
  }
  HASH_ITER (hh, t->by_name, entry, next_entry)
  {
    HASH_DEL (t->by_name, entry);
    str_free (&entry->tenant.name);
    free (entry);
  }
  free (t);
}

const struct tenant *
tenants_add (struct tenants *t, const struct tenant *tenant)
{
  struct tenant_entry *entry;

  if (tenants_by_name (t, tenant->name))
    return NULL;
  entry = xcalloc (1, sizeof *entry);
  entry->tenant = *tenant;
  entry->tenant.name = str_dup (tenant->name);
  HASH_ADD_KEYPTR (hh, t->by_name, entry->tenant.name.data,
                   entry->tenant.name.len, entry);
  return &entry->tenant;
}

bool
tenants_add_key (struct tenants *t, const struct tenant *tenant,
                 struct str key)
{
  struct key_entry *entry;

  if (tenants_find (t, key))
    return false;
  entry = xcalloc (1, sizeof *entry);
  entry->key = str_dup (key);
  entry->tenant = tenant;
  HASH_ADD_KEYPTR (hh, t->by_key, entry->key.data, entry->key.len, entry);
  return true;
}

const struct tenant *
tenants_find (const struct tenants *t, struct str key)
{
  struct key_entry *entry;

  if (key.len == 0)
    return NULL;
  HASH_FIND (hh, t->by_key, key.data, key.len, entry);
  return entry ? entry->tenant : NULL;
}

const struct tenant *
tenants_by_name (const struct tenants *t, struct str name)
{
  struct tenant_entry *entry;

  if (name.len == 0)
    return NULL;
  HASH_FIND (hh, t->by_name, name.data, name.len, entry);
  return entry ? &entry->tenant : NULL;
}

size_t
tenants_count (const struct tenants *t)
{
  return HASH_COUNT (t->by_name);
}

void
tenants_each (const struct tenants *t,
              void (*fn) (void *ctx, const struct tenant *tenant), void *ctx)
{
  for (const struct tenant_entry *e = t->by_name; e; e = e->hh.next)
    fn (ctx, &e->tenant);
}
