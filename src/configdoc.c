#include "configdoc_impl.h"

#include <errno.h>
#include <stdlib.h>

#include <openssl/evp.h>

#include "err.h"

const struct configdoc_list configdoc_lists[CONFIG_LIST_COUNT] = {
  [CONFIG_PLANS] = { "plans", false, 64 },
  [CONFIG_CUSTOMERS] = { "customers", false, 64 },
  [CONFIG_SERVICES] = { "services", true, 64 },
  [CONFIG_CLASSES] = { "classes", true, 64 },
  [CONFIG_MODELS] = { "models", true, 64 },
  [CONFIG_ADAPTERS] = { "adapters", true, 192 },
  [CONFIG_USES] = { "uses", true, 64 },
};

const char *
config_list_name (enum config_list list)
{
  return configdoc_lists[list].name;
}

struct str
config_hash (struct str body)
{
  unsigned char md[EVP_MAX_MD_SIZE];
  unsigned n = 0;
  struct buf hex = { 0 };

  if (EVP_Digest (body.data, body.len, md, &n, EVP_sha256 (), NULL) != 1)
    abort ();
  for (unsigned i = 0; i < n; i++)
    buf_printf (&hex, "%02x", md[i]);
  return buf_str (&hex);
}

const char *
configdoc_string_member (const json_t *o, const char *name)
{
  return json_string_value (json_object_get (o, name));
}

void *
configdoc_grow_array (void *items, size_t count, size_t size)
{
  /* The capacity doubles whenever the count reaches a power of two. */
  if ((count & (count - 1)) != 0)
    return items;
  return xrealloc (items, (count > 0 ? count * 2 : 1) * size);
}

/* Returns the key of an entry, or an empty string if a member that it needs is
   missing. */
static struct str
entry_key (enum config_list list, const json_t *o)
{
  const char *name = configdoc_string_member (o, "name");
  const char *plan = configdoc_string_member (o, "plan");
  const char *model = configdoc_string_member (o, "model");
  const char *service = configdoc_string_member (o, "service");

  if (list == CONFIG_USES && plan && (model || service))
    return str_printf ("%s %s %s", plan, model ? "model" : "service",
                       model ? model : service);
  if (list == CONFIG_ADAPTERS && model && name)
    return str_printf ("%s %s", model, name);
  if (list != CONFIG_USES && list != CONFIG_ADAPTERS && name)
    return str_dup (str_from (name));
  return (struct str){ 0 };
}

int
configdoc_add (struct configdoc *doc, enum config_list list, const json_t *o)
{
  struct config_entry e = { .list = list, .key = entry_key (list, o) };

  if (e.key.len == 0)
    {
      str_free (&e.key);
      return -EINVAL;
    }
  e.text = str_from (json_dumps (o, CONFIGDOC_COMPACT));
  doc->entries
      = configdoc_grow_array (doc->entries, doc->count, sizeof *doc->entries);
  doc->entries[doc->count++] = e;
  return 0;
}

int
configdoc_compare_entries (const void *a, const void *b)
{
  const struct config_entry *x = a;
  const struct config_entry *y = b;

  if (x->list != y->list)
    return x->list < y->list ? -1 : 1;
  return str_cmp (x->key, y->key);
}

void
configdoc_sort (struct configdoc *doc)
{
  if (doc->count > 0)
    qsort (doc->entries, doc->count, sizeof *doc->entries,
           configdoc_compare_entries);
}

void
configdoc_free (struct configdoc *doc)
{
  for (size_t i = 0; i < doc->count; i++)
    {
      str_free (&doc->entries[i].key);
      str_free (&doc->entries[i].text);
    }
  free (doc->entries);
  *doc = (struct configdoc){ 0 };
}
