#include "edge/quarantine_store.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "log.h"

#define LOG_MODULE "quarantine"
#define OBJECT_KIND "galenagate-quarantine"
#define OBJECT_NAME "requests"
/* Requests and parts of prompts in the copy. */
#define STORED_SUBJECTS_MAX 256
#define STORED_ITEMS_MAX (STORED_SUBJECTS_MAX * QUARANTINE_CRASHES_MAX)
/* Minimum time between two calls to the store. */
#define CALL_GAP_MS 500
#define HEX_MAX 17

struct quarantine_store
{
  struct objects *objects;
  struct quarantine *quarantine;
  uint64_t revision;        /* of the object; 0: does not exist */
  uint64_t written_version; /* quarantine_version() of the copy */
  uint64_t writing_version; /* likewise of the write in flight */
  uint64_t era;             /* of the store, that @revision is of */
  uint64_t call_ms;         /* when the last call ended */
  bool known;               /* the newest copy was read or written */
  bool in_flight;
};

/* ---- encoding ---- */

static const char *const kind_keys[QUARANTINE_KINDS] = {
  [QUARANTINE_REQUEST] = "request",
  [QUARANTINE_PART] = "part",
  [QUARANTINE_PART_BEGINNING] = "part_beginning",
  [QUARANTINE_PART_REST] = "part_rest",
};

static json_t *
encode_number (uint64_t n)
{
  char text[HEX_MAX];

  snprintf (text, sizeof text, "%016" PRIx64, n);
  return json_string (text);
}

struct str
crash_evidence_encode (const struct crash_evidence *evidence, size_t count,
                       uint64_t wall_ms)
{
  json_t *items = json_array ();
  struct str out;

  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        items,
        json_pack ("{s:o, s:o, s:o, s:I}", kind_keys[evidence[i].crash.kind],
                   encode_number (evidence[i].crash.fingerprint), "server",
                   encode_number (evidence[i].crash.server), "next_part",
                   encode_number (evidence[i].crash.next_part), "crashed_ms",
                   (json_int_t)(wall_ms - evidence[i].age_ms)));
  json_t *json = json_pack ("{s:o}", "crashes", items);
  char *text = json_dumps (json, JSON_COMPACT);

  out = str_dup (str_from (text));
  free (text);
  json_decref (json);
  return out;
}

static bool
decode_number (const json_t *item, const char *key, uint64_t *out)
{
  const char *text = json_string_value (json_object_get (item, key));

  if (!text || !str_is_hex (str_from (text), HEX_MAX - 1))
    return false;
  *out = strtoull (text, NULL, 16);
  return true;
}

static enum quarantine_kind
decode_kind (const json_t *item)
{
  enum quarantine_kind kind = QUARANTINE_REQUEST;

  while (kind + 1 < QUARANTINE_KINDS
         && !json_object_get (item, kind_keys[kind]))
    kind++;
  return kind;
}

static bool
decode_item (const json_t *item, uint64_t wall_ms, struct crash_evidence *out)
{
  const json_int_t at_ms
      = json_integer_value (json_object_get (item, "crashed_ms"));
  uint64_t age_ms;

  out->crash.kind = decode_kind (item);
  if (!decode_number (item, kind_keys[out->crash.kind],
                      &out->crash.fingerprint)
      || !decode_number (item, "server", &out->crash.server)
      || !decode_number (item, "next_part", &out->crash.next_part)
      || out->crash.server == 0 || at_ms <= 0)
    return false;
  /* The clocks of two nodes may differ. */
  age_ms = (uint64_t)at_ms < wall_ms ? wall_ms - (uint64_t)at_ms : 0;
  if (age_ms > QUARANTINE_RETENTION_MS)
    return false;
  out->age_ms = (uint32_t)age_ms;
  return true;
}

int
crash_evidence_decode (const json_t *json, uint64_t wall_ms,
                       struct crash_evidence *out, size_t max)
{
  const json_t *items = json_object_get (json, "crashes");
  const json_t *item;
  size_t i;
  size_t n = 0;

  if (!json_is_array (items))
    return -EBADMSG;
  json_array_foreach (
      items, i, item) if (n < max && decode_item (item, wall_ms, &out[n])) n++;
  return (int)n;
}

/* ---- calls ---- */

struct quarantine_store *
quarantine_store_create (struct objects *objects,
                         struct quarantine *quarantine)
{
  struct quarantine_store *s = xcalloc (1, sizeof *s);

  s->objects = objects;
  s->quarantine = quarantine;
  return s;
}

void
quarantine_store_destroy (struct quarantine_store *s)
{
  free (s);
}

static void
merge (struct quarantine_store *s, const struct object *o)
{
  struct crash_evidence *items = xcalloc (STORED_ITEMS_MAX, sizeof *items);
  const int n = crash_evidence_decode (o->spec, clock_wall_ms (), items,
                                       STORED_ITEMS_MAX);

  if (n < 0)
    LOG_ERR ("quarantine-unreadable", "revision=%lu", o->revision);
  for (int i = 0; i < n; i++)
    quarantine_merge (s->quarantine, &items[i], clock_ms ());
  if (n > 0)
    LOG_INFO ("quarantine-read", "revision=%lu crashes=%d", o->revision, n);
  free (items);
}

static void
on_read (void *ctx, struct err err, const struct object *o)
{
  struct quarantine_store *s = ctx;

  s->in_flight = false;
  s->call_ms = clock_ms ();
  s->known = err.code == 0 || err.code == -ENOENT;
  if (!s->known)
    LOG_DBG ("quarantine-read-failed", LOG_E_FMT, LOG_E_ARG (err));
  s->revision = o ? o->revision : 0;
  if (o)
    merge (s, o);
}

static void
on_written (void *ctx, struct err err, const struct object *o)
{
  struct quarantine_store *s = ctx;

  s->in_flight = false;
  s->call_ms = clock_ms ();
  if (err.code == 0)
    {
      s->revision = o->revision;
      s->written_version = s->writing_version;
      return;
    }
  /* Another node wrote, or the outcome is unknown. */
  s->known = false;
  LOG_INFO ("quarantine-write-failed", LOG_E_FMT, LOG_E_ARG (err));
}

static void
write_copy (struct quarantine_store *s, uint64_t now_ms)
{
  struct crash_evidence *items = xcalloc (STORED_ITEMS_MAX, sizeof *items);
  const size_t n = quarantine_list_refused (s->quarantine, now_ms, items,
                                            STORED_ITEMS_MAX);
  struct str json = crash_evidence_encode (items, n, clock_wall_ms ());

  s->in_flight = true;
  s->writing_version = quarantine_version (s->quarantine);
  objects_write (s->objects, OBJECT_KIND, OBJECT_NAME, s->revision, json,
                 on_written, s);
  str_free (&json);
  free (items);
}

/* A store that came back from an older copy may lack what was written since.
 */
static void
follow_era (struct quarantine_store *s)
{
  const uint64_t era = objects_era (s->objects);

  if (era != s->era && s->era > 0)
    {
      s->known = false;
      s->written_version = 0;
    }
  s->era = era;
}

void
quarantine_store_step (struct quarantine_store *s, bool is_writer,
                       uint64_t now_ms)
{
  if (s->in_flight || now_ms < s->call_ms + CALL_GAP_MS)
    return;
  follow_era (s);
  if (!s->known)
    {
      s->in_flight = true;
      objects_read (s->objects, OBJECT_KIND, OBJECT_NAME, on_read, s);
    }
  else if (is_writer
           && quarantine_version (s->quarantine) != s->written_version)
    write_copy (s, now_ms);
}
