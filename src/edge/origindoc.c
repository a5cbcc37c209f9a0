#include "edge/origindoc.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "err.h"

#define ID_DIGITS 16
#define IDS_MIN 8

/* ---- content ---- */

void
origindoc_free (struct origindoc *doc)
{
  for (size_t i = 0; i < doc->group_count; i++)
    {
      str_free (&doc->groups[i].origin.service);
      str_free (&doc->groups[i].origin.version);
      free (doc->groups[i].ids);
    }
  for (size_t i = 0; i < doc->service_count; i++)
    str_free (&doc->services[i].service);
  *doc = (struct origindoc){ 0 };
}

/* Returns NULL if the document has too many groups. */
static struct origin_group *
find_or_add_group (struct origindoc *doc, const struct stream_origin *origin,
                   uint64_t stored_ms)
{
  for (size_t i = 0; i < doc->group_count; i++)
    if (doc->groups[i].stored_ms == stored_ms
        && str_eq (doc->groups[i].origin.service, origin->service)
        && str_eq (doc->groups[i].origin.version, origin->version))
      return &doc->groups[i];
  if (doc->group_count >= STORED_GROUPS_MAX)
    return NULL;
  struct origin_group *g = &doc->groups[doc->group_count++];
  *g = (struct origin_group){
    .origin = { str_dup (origin->service), str_dup (origin->version) },
    .stored_ms = stored_ms,
  };
  return g;
}

/* The space for ids doubles each time it is used up. */
static void
append_id (struct origin_group *g, uint64_t id)
{
  const bool is_power_of_two = (g->count & (g->count - 1)) == 0;

  if (g->count == 0)
    g->ids = xmalloc (IDS_MIN * sizeof *g->ids);
  else if (g->count >= IDS_MIN && is_power_of_two)
    g->ids = xrealloc (g->ids, 2 * g->count * sizeof *g->ids);
  g->ids[g->count++] = id;
}

void
origindoc_add_stream (struct origindoc *doc,
                      const struct stored_stream *stream, uint64_t stored_ms)
{
  struct origin_group *g;

  if (doc->stream_count >= STORED_STREAMS_MAX)
    return;
  g = find_or_add_group (doc, &stream->origin, stored_ms);
  if (!g)
    return;
  append_id (g, stream->id);
  doc->stream_count++;
}

void
origindoc_add_service (struct origindoc *doc, struct str service,
                       uint64_t seen_ms)
{
  for (size_t i = 0; i < doc->service_count; i++)
    if (str_eq (doc->services[i].service, service))
      {
        if (seen_ms > doc->services[i].seen_ms)
          doc->services[i].seen_ms = seen_ms;
        return;
      }
  if (doc->service_count < STORED_SERVICES_MAX)
    doc->services[doc->service_count++]
        = (struct mixed_service){ str_dup (service), seen_ms };
}

static bool
has_stream (const struct origindoc *doc, uint64_t id)
{
  for (size_t i = 0; i < doc->group_count; i++)
    for (size_t k = 0; k < doc->groups[i].count; k++)
      if (doc->groups[i].ids[k] == id)
        return true;
  return false;
}

static bool
expired (uint64_t at_ms, uint64_t wall_ms)
{
  return wall_ms > at_ms + STORED_RETENTION_MS;
}

static void
merge_group (struct origindoc *doc, const struct origin_group *g)
{
  for (size_t i = 0; i < g->count; i++)
    {
      const struct stored_stream stream = { g->ids[i], g->origin };

      if (!has_stream (doc, stream.id))
        origindoc_add_stream (doc, &stream, g->stored_ms);
    }
}

void
origindoc_merge (struct origindoc *doc, const struct origindoc *from,
                 uint64_t wall_ms)
{
  for (size_t i = 0; i < from->group_count; i++)
    if (!expired (from->groups[i].stored_ms, wall_ms))
      merge_group (doc, &from->groups[i]);
  for (size_t i = 0; i < from->service_count; i++)
    if (!expired (from->services[i].seen_ms, wall_ms))
      origindoc_add_service (doc, from->services[i].service,
                             from->services[i].seen_ms);
}

/* ---- encoding ---- */

static json_t *
encode_str (struct str s)
{
  return json_stringn (s.data ? s.data : "", s.len);
}

static json_t *
encode_ids (const struct origin_group *g)
{
  json_t *ids = json_array ();
  char text[ID_DIGITS + 1];

  for (size_t i = 0; i < g->count; i++)
    {
      snprintf (text, sizeof text, "%016" PRIx64, g->ids[i]);
      json_array_append_new (ids, json_string (text));
    }
  return ids;
}

static json_t *
encode_groups (const struct origindoc *doc)
{
  json_t *items = json_array ();

  for (size_t i = 0; i < doc->group_count; i++)
    {
      const struct origin_group *g = &doc->groups[i];

      json_array_append_new (
          items, json_pack ("{s:o, s:o, s:I, s:o}", "service",
                            encode_str (g->origin.service), "version",
                            encode_str (g->origin.version), "stored_ms",
                            (json_int_t)g->stored_ms, "ids", encode_ids (g)));
    }
  return items;
}

static json_t *
encode_services (const struct origindoc *doc)
{
  json_t *items = json_array ();

  for (size_t i = 0; i < doc->service_count; i++)
    json_array_append_new (
        items, json_pack ("{s:o, s:I}", "service",
                          encode_str (doc->services[i].service), "seen_ms",
                          (json_int_t)doc->services[i].seen_ms));
  return items;
}

struct str
origindoc_encode (const struct origindoc *doc, uint64_t wall_ms)
{
  json_t *json = json_pack (
      "{s:I, s:o, s:o}", "written_ms", (json_int_t)wall_ms, "streams",
      encode_groups (doc), "several_versions", encode_services (doc));
  char *text = json_dumps (json, JSON_COMPACT);
  struct str out = str_dup (str_from (text));

  free (text);
  json_decref (json);
  return out;
}

/* ---- decoding ---- */

static bool
decode_str (const json_t *item, const char *key, struct str *out)
{
  const json_t *value = json_object_get (item, key);

  *out = (struct str){ json_string_value (value), json_string_length (value) };
  return json_is_string (value);
}

/* Returns false if the time is invalid or too long ago. */
static bool
decode_time (const json_t *item, const char *key, uint64_t wall_ms,
             uint64_t *out)
{
  const json_int_t at_ms = json_integer_value (json_object_get (item, key));

  if (at_ms <= 0)
    return false;
  *out = (uint64_t)at_ms < wall_ms ? (uint64_t)at_ms : wall_ms;
  return !expired (*out, wall_ms);
}

static void
decode_group (const json_t *group, uint64_t wall_ms, struct origindoc *out)
{
  const json_t *ids = json_object_get (group, "ids");
  struct stored_stream stream = { 0 };
  const json_t *id;
  uint64_t stored_ms;
  size_t i;

  if (!decode_str (group, "service", &stream.origin.service)
      || !decode_str (group, "version", &stream.origin.version)
      || !decode_time (group, "stored_ms", wall_ms, &stored_ms))
    return;
  json_array_foreach (ids, i, id)
  {
    const struct str text
        = { json_string_value (id), json_string_length (id) };

    if (!str_is_hex (text, ID_DIGITS))
      continue;
    stream.id = strtoull (text.data, NULL, 16);
    origindoc_add_stream (out, &stream, stored_ms);
  }
}

static void
decode_service (const json_t *item, uint64_t wall_ms, struct origindoc *out)
{
  struct str service;
  uint64_t seen_ms;

  if (decode_str (item, "service", &service)
      && decode_time (item, "seen_ms", wall_ms, &seen_ms))
    origindoc_add_service (out, service, seen_ms);
}

int
origindoc_decode (const json_t *json, uint64_t wall_ms, struct origindoc *out)
{
  const json_t *groups = json_object_get (json, "streams");
  const json_t *services = json_object_get (json, "several_versions");

  *out = (struct origindoc){ 0 };
  if (!json_is_array (groups) || !json_is_array (services))
    return -EBADMSG;
  for (size_t i = 0; i < json_array_size (groups); i++)
    decode_group (json_array_get (groups, i), wall_ms, out);
  for (size_t i = 0; i < json_array_size (services); i++)
    decode_service (json_array_get (services, i), wall_ms, out);
  return 0;
}
