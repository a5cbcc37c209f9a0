#include "configdoc_impl.h"

#include <errno.h>
#include <stdlib.h>

#define CHUNKS_MAX 4096

struct configdoc_chunk *
config_root_add_chunk (struct config_root *root)
{
  root->chunks = configdoc_grow_array (root->chunks, root->chunk_count,
                                       sizeof *root->chunks);
  root->chunks[root->chunk_count] = (struct configdoc_chunk){ 0 };
  return &root->chunks[root->chunk_count++];
}

enum config_list
config_list_of_chunk (struct str name)
{
  for (int list = 0; list < CONFIG_LIST_COUNT; list++)
    {
      const struct str prefix = str_from (configdoc_lists[list].name);

      if (str_starts (name, prefix) && name.len > prefix.len
          && name.data[prefix.len] == '/')
        return list;
    }
  return CONFIG_LIST_COUNT;
}

struct str
config_chunk_key (struct str hash)
{
  return str_printf (CONFIG_CHUNK_PREFIX STR_FMT, STR_ARG (hash));
}

const struct configdoc_chunk *
config_root_find_chunk (const struct config_root *root, struct str hash)
{
  for (size_t i = 0; i < root->chunk_count; i++)
    if (str_eq (root->chunks[i].hash, hash))
      return &root->chunks[i];
  return NULL;
}

void
config_root_encode (const struct config_root *root, struct buf *out)
{
  json_t *chunks = json_array ();

  for (size_t i = 0; i < root->chunk_count; i++)
    json_array_append_new (chunks, json_pack ("{s:s%,s:s%}", "name",
                                              root->chunks[i].name.data,
                                              root->chunks[i].name.len, "hash",
                                              root->chunks[i].hash.data,
                                              root->chunks[i].hash.len));
  json_t *o = json_pack ("{s:i,s:I,s:s%,s:I,s:I,s:o}", "format", 1, "revision",
                         (json_int_t)root->revision, "writer",
                         root->writer.data ? root->writer.data : "",
                         root->writer.len, "sequence",
                         (json_int_t)root->sequence, "applied_at_ms",
                         (json_int_t)root->applied_at_ms, "chunks", chunks);
  configdoc_dump (o, false, out);
  json_decref (o);
}

static int
decode_chunks (const json_t *chunks, struct config_root *out)
{
  size_t i;
  json_t *c;

  if (!json_is_array (chunks) || json_array_size (chunks) > CHUNKS_MAX)
    return -EINVAL;
  json_array_foreach (chunks, i, c)
  {
    const char *name = configdoc_string_member (c, "name");
    const char *hash = configdoc_string_member (c, "hash");

    if (!name || !hash || !str_is_hex (str_from (hash), CONFIG_HASH_LEN)
        || config_list_of_chunk (str_from (name)) == CONFIG_LIST_COUNT)
      return -EINVAL;
    struct configdoc_chunk *p = config_root_add_chunk (out);
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
      && configdoc_string_member (o, "writer"))
    {
      out->revision = (uint64_t)revision;
      out->sequence
          = (uint64_t)json_integer_value (json_object_get (o, "sequence"));
      out->applied_at_ms = (uint64_t)json_integer_value (
          json_object_get (o, "applied_at_ms"));
      out->writer = str_dup (str_from (configdoc_string_member (o, "writer")));
      rc = decode_chunks (json_object_get (o, "chunks"), out);
    }
  if (rc != 0)
    config_root_free (out);
  json_decref (o);
  return rc;
}

void
config_root_free (struct config_root *root)
{
  for (size_t i = 0; i < root->chunk_count; i++)
    {
      str_free (&root->chunks[i].name);
      str_free (&root->chunks[i].hash);
      str_free (&root->chunks[i].body);
    }
  free (root->chunks);
  str_free (&root->writer);
  *root = (struct config_root){ 0 };
}
