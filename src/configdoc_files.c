#include "configdoc_impl.h"

#include <errno.h>
#include <stdlib.h>

/* Adds the adapters of a model as entries of their own and removes them from
   the model. */
static int
add_adapters (struct configdoc *doc, json_t *model)
{
  const json_t *adapters = json_object_get (model, "adapters");
  const char *name = configdoc_string_member (model, "name");
  size_t i;
  json_t *a;
  int rc = 0;

  json_array_foreach (adapters, i, a)
  {
    if (name)
      json_object_set_new (a, "model", json_string (name));
    rc = configdoc_add (doc, CONFIG_ADAPTERS, a);
    if (rc != 0)
      return rc;
  }
  json_object_del (model, "adapters");
  return 0;
}

static int
add_file (struct configdoc *doc, struct str text, bool in_uses_file)
{
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  int rc = root ? 0 : -EINVAL;

  for (int list = 0; list < CONFIG_LIST_COUNT && rc == 0; list++)
    {
      json_t *array = json_object_get (root, configdoc_lists[list].name);
      size_t i;
      json_t *o;

      if (configdoc_lists[list].in_uses_file != in_uses_file
          || list == CONFIG_ADAPTERS)
        continue;
      json_array_foreach (array, i, o)
      {
        if (list == CONFIG_MODELS)
          rc = add_adapters (doc, o);
        if (rc == 0)
          rc = configdoc_add (doc, list, o);
        if (rc != 0)
          break;
      }
    }
  json_decref (root);
  return rc;
}

int
configdoc_from_lists (struct str plans, struct str uses, struct configdoc *out)
{
  struct configdoc doc = { 0 };

  if (add_file (&doc, plans, false) != 0 || add_file (&doc, uses, true) != 0)
    {
      configdoc_free (&doc);
      return -EINVAL;
    }
  configdoc_sort (&doc);
  *out = doc;
  return 0;
}

/* Moves an adapter into its model, which was added before it because models
   sort before adapters. */
static int
attach_adapter (const json_t *by_name, json_t *adapter)
{
  const char *name = configdoc_string_member (adapter, "model");
  json_t *model = name ? json_object_get (by_name, name) : NULL;
  json_t *list = json_object_get (model, "adapters");

  if (!model)
    return -EINVAL;
  if (!list)
    {
      list = json_array ();
      json_object_set_new (model, "adapters", list);
    }
  json_object_del (adapter, "model");
  json_array_append (list, adapter);
  return 0;
}

int
configdoc_attach (json_t *files[2], json_t *models, enum config_list list,
                  json_t *o)
{
  const struct configdoc_list *info = &configdoc_lists[list];
  const char *name = configdoc_string_member (o, "name");

  if (list == CONFIG_ADAPTERS)
    return attach_adapter (models, o);
  if (list == CONFIG_MODELS && name)
    json_object_set (models, name, o);
  json_array_append (json_object_get (files[info->in_uses_file], info->name),
                     o);
  return 0;
}

void
configdoc_make_files (json_t *files[2])
{
  for (size_t i = 0; i < 2; i++)
    {
      files[i] = json_object ();
      json_object_set_new (files[i], "format", json_integer (1));
    }
  for (int list = 0; list < CONFIG_LIST_COUNT; list++)
    if (list != CONFIG_ADAPTERS)
      json_object_set_new (files[configdoc_lists[list].in_uses_file],
                           configdoc_lists[list].name, json_array ());
}

void
configdoc_dump (const json_t *root, bool indent, struct buf *out)
{
  char *text = json_dumps (root, indent ? JSON_INDENT (2) : CONFIGDOC_COMPACT);

  buf_append (out, str_from (text));
  if (indent)
    buf_append (out, STR ("\n"));
  free (text);
}

int
configdoc_to_lists (const struct configdoc *doc, uint64_t revision,
                    bool indent, struct buf *plans, struct buf *uses)
{
  json_t *files[2];
  json_t *models = json_object ();
  int rc = 0;

  configdoc_make_files (files);
  for (size_t i = 0; i < 2 && revision > 0; i++)
    json_object_set_new (files[i], "revision",
                         json_integer ((json_int_t)revision));
  for (size_t i = 0; i < doc->count && rc == 0; i++)
    {
      const struct config_entry *e = &doc->entries[i];
      json_t *o = json_loadb (e->text.data, e->text.len, 0, NULL);

      rc = o ? configdoc_attach (files, models, e->list, o) : -EINVAL;
      json_decref (o);
    }
  if (rc == 0)
    {
      configdoc_dump (files[0], indent, plans);
      configdoc_dump (files[1], indent, uses);
    }
  json_decref (models);
  json_decref (files[0]);
  json_decref (files[1]);
  return rc;
}
