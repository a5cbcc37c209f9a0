#include "configdoc.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <openssl/evp.h>

#include "err.h"

#define PARTS_MAX 4096
#define DUMP_FLAGS (JSON_COMPACT | JSON_SORT_KEYS)

struct list_info
{
  const char *name;
  bool in_uses; /* belongs to the file of uses */
  /* One entry of so many ends a chunk. With the usual sizes of entries the
     mean chunk has 5 to 15 KB and few chunks reach the limit. */
  uint32_t stride;
};

static const struct list_info infos[CONFIG_LIST_COUNT] = {
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
  return infos[list].name;
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

static const char *
member_text (const json_t *o, const char *name)
{
  return json_string_value (json_object_get (o, name));
}

/* Key of an entry, or the empty string when its members are missing. */
static struct str
entry_key (enum config_list list, const json_t *o)
{
  const char *name = member_text (o, "name");
  const char *plan = member_text (o, "plan");
  const char *model = member_text (o, "model");
  const char *service = member_text (o, "service");

  if (list == CONFIG_USES && plan && (model || service))
    return str_printf ("%s %s %s", plan, model ? "model" : "service",
                       model ? model : service);
  if (list == CONFIG_ADAPTERS && model && name)
    return str_printf ("%s %s", model, name);
  if (list != CONFIG_USES && list != CONFIG_ADAPTERS && name)
    return str_dup (str_from (name));
  return (struct str){ 0 };
}

static int
add_entry (struct configdoc *doc, enum config_list list, const json_t *o)
{
  struct config_entry e = { .list = list, .key = entry_key (list, o) };

  if (e.key.len == 0)
    {
      str_free (&e.key);
      return -EINVAL;
    }
  e.text = str_from (json_dumps (o, DUMP_FLAGS));
  /* Room for powers of two only. */
  if ((doc->count & (doc->count - 1)) == 0)
    doc->entries
        = xrealloc (doc->entries, (doc->count > 0 ? doc->count * 2 : 1)
                                      * sizeof *doc->entries);
  doc->entries[doc->count++] = e;
  return 0;
}

/* Adds the adapters of a model and takes them out of it. */
static int
add_adapters (struct configdoc *doc, json_t *model)
{
  const json_t *adapters = json_object_get (model, "adapters");
  const char *name = member_text (model, "name");
  size_t i;
  json_t *a;
  int rc = 0;

  json_array_foreach (adapters, i, a)
  {
    if (name)
      json_object_set_new (a, "model", json_string (name));
    rc = add_entry (doc, CONFIG_ADAPTERS, a);
    if (rc != 0)
      return rc;
  }
  json_object_del (model, "adapters");
  return 0;
}

static int
by_key (const void *a, const void *b)
{
  const struct config_entry *x = a;
  const struct config_entry *y = b;

  if (x->list != y->list)
    return x->list < y->list ? -1 : 1;
  return str_cmp (x->key, y->key);
}

static int
add_file (struct configdoc *doc, struct str text, bool in_uses)
{
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  int rc = root ? 0 : -EINVAL;

  for (int list = 0; list < CONFIG_LIST_COUNT && rc == 0; list++)
    {
      json_t *array = json_object_get (root, infos[list].name);
      size_t i;
      json_t *o;

      if (infos[list].in_uses != in_uses || list == CONFIG_ADAPTERS)
        continue;
      json_array_foreach (array, i, o)
      {
        if (list == CONFIG_MODELS)
          rc = add_adapters (doc, o);
        if (rc == 0)
          rc = add_entry (doc, list, o);
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
  if (doc.count > 0)
    qsort (doc.entries, doc.count, sizeof *doc.entries, by_key);
  *out = doc;
  return 0;
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

/* Moves an adapter into its model, which the entries have before it. */
static int
attach_adapter (const json_t *by_name, json_t *adapter)
{
  const char *name = member_text (adapter, "model");
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

static int
attach_entry (json_t *files[2], json_t *models, enum config_list list,
              json_t *o)
{
  const struct list_info *info = &infos[list];
  const char *name = member_text (o, "name");

  if (list == CONFIG_ADAPTERS)
    return attach_adapter (models, o);
  if (list == CONFIG_MODELS && name)
    json_object_set (models, name, o);
  json_array_append (json_object_get (files[info->in_uses], info->name), o);
  return 0;
}

/* Both files with empty arrays. */
static void
make_files (json_t *files[2])
{
  for (size_t i = 0; i < 2; i++)
    {
      files[i] = json_object ();
      json_object_set_new (files[i], "format", json_integer (1));
    }
  for (int list = 0; list < CONFIG_LIST_COUNT; list++)
    if (list != CONFIG_ADAPTERS)
      json_object_set_new (files[infos[list].in_uses], infos[list].name,
                           json_array ());
}

static void
dump (const json_t *root, bool indent, struct buf *out)
{
  char *text = json_dumps (root, indent ? JSON_INDENT (2) : DUMP_FLAGS);

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

  make_files (files);
  for (size_t i = 0; i < 2 && revision > 0; i++)
    json_object_set_new (files[i], "revision",
                         json_integer ((json_int_t)revision));
  for (size_t i = 0; i < doc->count && rc == 0; i++)
    {
      const struct config_entry *e = &doc->entries[i];
      json_t *o = json_loadb (e->text.data, e->text.len, 0, NULL);

      rc = o ? attach_entry (files, models, e->list, o) : -EINVAL;
      json_decref (o);
    }
  if (rc == 0)
    {
      dump (files[0], indent, plans);
      dump (files[1], indent, uses);
    }
  json_decref (models);
  json_decref (files[0]);
  json_decref (files[1]);
  return rc;
}

static struct config_part *
add_part (struct config_root *root)
{
  if ((root->count & (root->count - 1)) == 0)
    root->parts
        = xrealloc (root->parts, (root->count > 0 ? root->count * 2 : 1)
                                     * sizeof *root->parts);
  root->parts[root->count] = (struct config_part){ 0 };
  return &root->parts[root->count++];
}

static void
finish_part (struct config_root *root, enum config_list list, size_t number,
             struct buf *body)
{
  struct config_part *p = add_part (root);

  buf_append (body, STR ("]"));
  p->name = str_printf ("%s/%zu", infos[list].name, number);
  p->hash = config_hash (buf_str (body));
  p->body = str_dup (buf_str (body));
  buf_reset (body);
}

int
configdoc_cut (const struct configdoc *doc, struct config_root *out,
               const struct config_entry **big)
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
          *big = e;
          buf_free (&body);
          config_root_free (out);
          return -EFBIG;
        }
      buf_append (&body, body.len > 0 ? STR (",") : STR ("["));
      buf_append (&body, e->text);
      const bool last = !next || next->list != e->list;
      if (last || str_hash (e->key, 0) % infos[e->list].stride == 0
          || body.len + next->text.len + 2 > CONFIG_CHUNK_BYTES)
        finish_part (out, e->list, number++, &body);
      if (last)
        number = 0;
    }
  buf_free (&body);
  return 0;
}

/* List that a chunk's name begins with; CONFIG_LIST_COUNT if there is none. */
static enum config_list
part_list (struct str name)
{
  for (int list = 0; list < CONFIG_LIST_COUNT; list++)
    {
      const struct str prefix = str_from (infos[list].name);

      if (str_starts (name, prefix) && name.len > prefix.len
          && name.data[prefix.len] == '/')
        return list;
    }
  return CONFIG_LIST_COUNT;
}

static int
join_part (const struct config_part *p, struct configdoc *doc)
{
  const enum config_list list = part_list (p->name);
  json_t *array = json_loadb (p->body.data, p->body.len, 0, NULL);
  int rc = array && list != CONFIG_LIST_COUNT ? 0 : -EINVAL;
  size_t i;
  json_t *o;

  if (rc == 0)
    json_array_foreach (array, i, o)
    {
      rc = add_entry (doc, list, o);
      if (rc != 0)
        break;
    }
  json_decref (array);
  return rc;
}

int
configdoc_join (const struct config_root *root, struct configdoc *out)
{
  struct configdoc doc = { 0 };

  for (size_t i = 0; i < root->count; i++)
    if (join_part (&root->parts[i], &doc) != 0)
      {
        configdoc_free (&doc);
        return -EINVAL;
      }
  if (doc.count > 0)
    qsort (doc.entries, doc.count, sizeof *doc.entries, by_key);
  *out = doc;
  return 0;
}

static int
assemble_part (const struct config_part *p, json_t *files[2], json_t *models)
{
  const enum config_list list = part_list (p->name);
  json_t *array = json_loadb (p->body.data, p->body.len, 0, NULL);
  int rc = array && list != CONFIG_LIST_COUNT ? 0 : -EINVAL;
  size_t i;
  json_t *o;

  if (rc == 0)
    json_array_foreach (array, i, o)
    {
      rc = attach_entry (files, models, list, o);
      if (rc != 0)
        break;
    }
  json_decref (array);
  return rc;
}

int
configdoc_assemble (const struct config_root *root, json_t **plans,
                    json_t **uses)
{
  json_t *files[2];
  json_t *models = json_object ();
  int rc = 0;

  make_files (files);
  for (size_t i = 0; i < root->count && rc == 0; i++)
    rc = assemble_part (&root->parts[i], files, models);
  json_decref (models);
  if (rc != 0)
    {
      json_decref (files[0]);
      json_decref (files[1]);
      return rc;
    }
  *plans = files[0];
  *uses = files[1];
  return 0;
}

void
config_root_encode (const struct config_root *root, struct buf *out)
{
  json_t *chunks = json_array ();

  for (size_t i = 0; i < root->count; i++)
    json_array_append_new (
        chunks, json_pack ("{s:s%,s:s%}", "name", root->parts[i].name.data,
                           root->parts[i].name.len, "hash",
                           root->parts[i].hash.data, root->parts[i].hash.len));
  json_t *o = json_pack ("{s:i,s:I,s:s%,s:I,s:I,s:o}", "format", 1, "revision",
                         (json_int_t)root->revision, "writer",
                         root->writer.data ? root->writer.data : "",
                         root->writer.len, "sequence",
                         (json_int_t)root->sequence, "applied_at_ms",
                         (json_int_t)root->applied_at_ms, "chunks", chunks);
  dump (o, false, out);
  json_decref (o);
}

static bool
hash_ok (const char *s)
{
  return strlen (s) == CONFIG_HASH_LEN
         && strspn (s, "0123456789abcdef") == CONFIG_HASH_LEN;
}

static int
decode_parts (const json_t *chunks, struct config_root *out)
{
  size_t i;
  json_t *c;

  if (!json_is_array (chunks) || json_array_size (chunks) > PARTS_MAX)
    return -EINVAL;
  json_array_foreach (chunks, i, c)
  {
    const char *name = member_text (c, "name");
    const char *hash = member_text (c, "hash");

    if (!name || !hash || !hash_ok (hash)
        || part_list (str_from (name)) == CONFIG_LIST_COUNT)
      return -EINVAL;
    struct config_part *p = add_part (out);
    p->name = str_dup (str_from (name));
    p->hash = str_dup (str_from (hash));
  }
  return 0;
}

int
config_root_decode (struct str text, struct config_root *out)
{
  json_t *o = json_loadb (text.data, text.len, 0, NULL);
  const json_int_t revision
      = json_integer_value (json_object_get (o, "revision"));
  int rc = -EINVAL;

  *out = (struct config_root){ 0 };
  if (json_integer_value (json_object_get (o, "format")) == 1 && revision > 0
      && member_text (o, "writer"))
    {
      out->revision = (uint64_t)revision;
      out->sequence
          = (uint64_t)json_integer_value (json_object_get (o, "sequence"));
      out->applied_at_ms = (uint64_t)json_integer_value (
          json_object_get (o, "applied_at_ms"));
      out->writer = str_dup (str_from (member_text (o, "writer")));
      rc = decode_parts (json_object_get (o, "chunks"), out);
    }
  if (rc != 0)
    config_root_free (out);
  json_decref (o);
  return rc;
}

void
config_root_free (struct config_root *root)
{
  for (size_t i = 0; i < root->count; i++)
    {
      str_free (&root->parts[i].name);
      str_free (&root->parts[i].hash);
      str_free (&root->parts[i].body);
    }
  free (root->parts);
  str_free (&root->writer);
  *root = (struct config_root){ 0 };
}

size_t
configdoc_diff (const struct configdoc *from, const struct configdoc *to,
                config_diff_fn fn, void *ctx)
{
  size_t i = 0;
  size_t j = 0;
  size_t n = 0;

  while (i < from->count || j < to->count)
    {
      const struct config_entry *a
          = i < from->count ? &from->entries[i] : NULL;
      const struct config_entry *b = j < to->count ? &to->entries[j] : NULL;
      int c = a ? -1 : 1;

      if (a && b)
        c = by_key (a, b);
      i += c <= 0;
      j += c >= 0;
      if (c == 0 && str_eq (a->text, b->text))
        continue;
      n++;
      if (c < 0)
        fn (ctx, CONFIG_REMOVED, a, NULL);
      else if (c > 0)
        fn (ctx, CONFIG_ADDED, NULL, b);
      else
        fn (ctx, CONFIG_CHANGED, a, b);
    }
  return n;
}

static bool
same (const struct config_entry *a, const struct config_entry *b)
{
  if (!a || !b)
    return a == b;
  return str_eq (a->text, b->text);
}

/* Lowest entry at the heads of three ordered documents. */
static const struct config_entry *
lowest (const struct configdoc *docs[3], const size_t at[3])
{
  const struct config_entry *low = NULL;

  for (size_t d = 0; d < 3; d++)
    if (at[d] < docs[d]->count
        && (!low || by_key (&docs[d]->entries[at[d]], low) < 0))
      low = &docs[d]->entries[at[d]];
  return low;
}

size_t
configdoc_merge (const struct configdoc *base, const struct configdoc *mine,
                 const struct configdoc *theirs, struct configdoc *out,
                 config_conflict_fn fn, void *ctx)
{
  const struct configdoc *docs[3] = { base, mine, theirs };
  size_t at[3] = { 0 };
  size_t conflicts = 0;
  const struct config_entry *low;

  out->entries
      = xcalloc (mine->count + theirs->count + 1, sizeof *out->entries);
  out->count = 0;
  while ((low = lowest (docs, at)))
    {
      const struct config_entry *e[3] = { 0 };

      for (size_t d = 0; d < 3; d++)
        if (at[d] < docs[d]->count
            && by_key (&docs[d]->entries[at[d]], low) == 0)
          e[d] = &docs[d]->entries[at[d]++];
      const struct config_entry *pick = same (e[0], e[1]) ? e[2] : e[1];
      if (!same (e[0], e[1]) && !same (e[0], e[2]) && !same (e[1], e[2]))
        {
          conflicts++;
          fn (ctx, low);
        }
      if (pick)
        out->entries[out->count++] = *pick;
    }
  if (conflicts > 0)
    {
      free (out->entries);
      *out = (struct configdoc){ 0 };
    }
  return conflicts;
}
