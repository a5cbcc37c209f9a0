#include "configdoc_impl.h"

#include <errno.h>

static void
finish_chunk (struct config_root *root, enum config_list list, size_t number,
              struct buf *body)
{
  struct configdoc_chunk *p = config_root_add_chunk (root);

  buf_append (body, STR ("]"));
  p->name = str_printf ("%s/%zu", configdoc_lists[list].name, number);
  p->hash = config_hash (buf_str (body));
  p->body = str_dup (buf_str (body));
  buf_reset (body);
}

int
configdoc_split (const struct configdoc *doc, struct config_root *out,
                 const struct config_entry **too_big)
{
  struct buf body = { 0 };
  size_t number = 0;

  for (size_t i = 0; i < doc->count; i++)
    {
      const struct config_entry *e = &doc->entries[i];
      const struct config_entry *next
          = i + 1 < doc->count ? &doc->entries[i + 1] : NULL;

      if (e->text.len + 2 > CONFIG_CHUNK_BYTES)
        {
          *too_big = e;
          buf_free (&body);
          config_root_free (out);
          return -EFBIG;
        }
      buf_append (&body, body.len > 0 ? STR (",") : STR ("["));
      buf_append (&body, e->text);
      const bool last = !next || next->list != e->list;
      if (last
          || str_hash (e->key, 0) % configdoc_lists[e->list].split_modulus == 0
          || body.len + next->text.len + 2 > CONFIG_CHUNK_BYTES)
        finish_chunk (out, e->list, number++, &body);
      if (last)
        number = 0;
    }
  buf_free (&body);
  return 0;
}

typedef int (*chunk_entry_fn) (void *ctx, enum config_list list, json_t *o);

/* Calls @fn for each entry of a chunk until it fails. Returns its error, or
   -EINVAL if the chunk is malformed. */
static int
for_each_chunk_entry (const struct configdoc_chunk *p, chunk_entry_fn fn,
                      void *ctx)
{
  const enum config_list list = config_list_of_chunk (p->name);
  json_t *array = json_loadb (p->body.data, p->body.len, 0, NULL);
  int rc = array && list != CONFIG_LIST_COUNT ? 0 : -EINVAL;
  size_t i;
  json_t *o;

  if (rc == 0)
    json_array_foreach (array, i, o)
    {
      rc = fn (ctx, list, o);
      if (rc != 0)
        break;
    }
  json_decref (array);
  return rc;
}

static int
join_entry (void *doc, enum config_list list, json_t *o)
{
  return configdoc_add (doc, list, o);
}

int
configdoc_join (const struct config_root *root, struct configdoc *out)
{
  struct configdoc doc = { 0 };

  for (size_t i = 0; i < root->chunk_count; i++)
    if (for_each_chunk_entry (&root->chunks[i], join_entry, &doc) != 0)
      {
        configdoc_free (&doc);
        return -EINVAL;
      }
  configdoc_sort (&doc);
  *out = doc;
  return 0;
}

struct assembled_files
{
  json_t *files[2];
  json_t *models; /* by name */
};

static int
assemble_entry (void *ctx, enum config_list list, json_t *o)
{
  struct assembled_files *f = ctx;

  return configdoc_attach (f->files, f->models, list, o);
}

int
configdoc_assemble (const struct config_root *root, json_t **plans,
                    json_t **uses)
{
  struct assembled_files f = { .models = json_object () };
  int rc = 0;

  configdoc_make_files (f.files);
  for (size_t i = 0; i < root->chunk_count && rc == 0; i++)
    rc = for_each_chunk_entry (&root->chunks[i], assemble_entry, &f);
  json_decref (f.models);
  if (rc != 0)
    {
      json_decref (f.files[0]);
      json_decref (f.files[1]);
      return rc;
    }
  *plans = f.files[0];
  *uses = f.files[1];
  return 0;
}
