#include "ledger.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "err.h"

static const char *const state_names[]
    = { [LEDGER_INTENT_LOAD] = "intent-load",
        [LEDGER_LOADED] = "loaded",
        [LEDGER_INTENT_UNLOAD] = "intent-unload" };

static json_t *
text (struct str s)
{
  return json_stringn (s.len > 0 ? s.data : "", s.len);
}

static json_t *
encode_entry (const struct ledger_entry *e)
{
  json_t *o = json_pack (
      "{s:o, s:o, s:s, s:o, s:I, s:I, s:I}", "model", text (e->key.model),
      "version", text (e->key.version), "state", state_names[e->state],
      "order_id", text (e->order_id), "fence", (json_int_t)e->fence,
      "instance", (json_int_t)e->instance, "bytes", (json_int_t)e->bytes);

  if (e->key.adapter.len > 0)
    json_object_set_new (o, "adapter", text (e->key.adapter));
  if (e->unload_id.len > 0)
    json_object_set_new (o, "unload_id", text (e->unload_id));
  if (e->order_open)
    json_object_set_new (o, "open", json_true ());
  return o;
}

static json_t *
encode_server (const struct ledger_server *s)
{
  json_t *entries = json_array ();

  for (size_t i = 0; i < s->entry_count; i++)
    json_array_append_new (entries, encode_entry (s->entries[i]));
  return json_pack ("{s:o, s:o, s:I, s:I, s:o}", "addr", text (s->addr),
                    "domain", text (s->domain), "instance",
                    (json_int_t)s->instance, "memory_bytes",
                    (json_int_t)s->memory_bytes, "entries", entries);
}

struct str
ledger_encode (const struct ledger *l, uint64_t seq)
{
  json_t *servers = json_array ();

  for (size_t i = 0; i < l->server_count; i++)
    json_array_append_new (servers, encode_server (l->servers[i]));
  json_t *o = json_pack ("{s:o, s:I, s:I, s:o, s:I, s:o}", "service",
                         text (l->service), "fence", (json_int_t)l->fence,
                         "sequence", (json_int_t)seq, "writer",
                         text (l->writer), "writer_instance",
                         (json_int_t)l->writer_instance, "servers", servers);
  char *data = json_dumps (o, JSON_COMPACT);
  const struct str s = str_dup (str_from (data));

  free (data);
  json_decref (o);
  return s;
}

static bool
get_number (const json_t *o, const char *name, uint64_t *out)
{
  const json_t *v = json_object_get (o, name);

  if (!json_is_integer (v) || json_integer_value (v) < 0)
    return false;
  *out = (uint64_t)json_integer_value (v);
  return true;
}

static struct str
get_str (const json_t *o, const char *name)
{
  const json_t *v = json_object_get (o, name);

  return (struct str){ .data = json_is_string (v) ? json_string_value (v) : "",
                       .len = json_string_length (v) };
}

static bool
get_state (const json_t *o, enum ledger_state *out)
{
  const struct str name = get_str (o, "state");

  for (int i = 0; i <= LEDGER_INTENT_UNLOAD; i++)
    if (str_eq (name, str_from (state_names[i])))
      {
        *out = (enum ledger_state)i;
        return true;
      }
  return false;
}

static bool
decode_entry (struct ledger_server *s, const json_t *o)
{
  const struct replica_key key = { .model = get_str (o, "model"),
                                   .version = get_str (o, "version"),
                                   .adapter = get_str (o, "adapter") };
  struct ledger_entry e = { 0 };

  if (key.model.len == 0 || !get_state (o, &e.state)
      || !get_number (o, "fence", &e.fence)
      || !get_number (o, "instance", &e.instance)
      || !get_number (o, "bytes", &e.bytes) || ledger_find_entry (s, &key))
    return false;
  e.order_open = json_is_true (json_object_get (o, "open"));
  if (e.state == LEDGER_INTENT_UNLOAD && get_str (o, "unload_id").len == 0
      && get_str (o, "order_id").len == 0)
    return false;
  e.key = replica_key_dup (&key);
  e.order_id = str_dup (get_str (o, "order_id"));
  e.unload_id = str_dup (get_str (o, "unload_id"));
  struct ledger_entry *copy = xmalloc (sizeof *copy);
  *copy = e;
  ledger_entry_append (s, copy);
  return true;
}

static bool
decode_server (struct ledger *l, const json_t *o)
{
  const struct str addr = get_str (o, "addr");
  const json_t *entries = json_object_get (o, "entries");
  uint64_t instance;
  uint64_t memory;

  if (addr.len == 0 || ledger_find_server (l, addr) || !json_is_array (entries)
      || !get_number (o, "instance", &instance)
      || !get_number (o, "memory_bytes", &memory))
    return false;
  struct ledger_server *s = ledger_server_add (l, addr, get_str (o, "domain"));
  s->instance = instance;
  s->memory_bytes = memory;
  for (size_t i = 0; i < json_array_size (entries); i++)
    if (!decode_entry (s, json_array_get (entries, i)))
      return false;
  return true;
}

int
ledger_decode (struct ledger *l, struct str json)
{
  json_t *o = json_loadb (json.data ? json.data : "", json.len, 0, NULL);
  const json_t *servers = json_object_get (o, "servers");
  int rc = -EBADMSG;

  if (!str_eq (get_str (o, "service"), l->service) || !json_is_array (servers)
      || !get_number (o, "fence", &l->fence)
      || !get_number (o, "sequence", &l->stored_seq)
      || !get_number (o, "writer_instance", &l->writer_instance))
    goto out;
  l->last_seq = l->stored_seq;
  str_free (&l->writer);
  l->writer = str_dup (get_str (o, "writer"));
  for (size_t i = 0; i < json_array_size (servers); i++)
    if (!decode_server (l, json_array_get (servers, i)))
      goto out;
  l->dirty = false;
  rc = 0;

out:
  json_decref (o);
  return rc;
}

enum ledger_write_result
ledger_check_write (const struct ledger *l, struct str json)
{
  json_t *o = json_loadb (json.data ? json.data : "", json.len, 0, NULL);
  enum ledger_write_result result = LEDGER_NOT_STORED;
  uint64_t fence = 0;
  uint64_t seq = 0;
  uint64_t instance = 0;

  if (json.len == 0 || !get_number (o, "fence", &fence)
      || !get_number (o, "sequence", &seq)
      || !get_number (o, "writer_instance", &instance))
    goto out;
  const bool ours = fence == l->fence && instance == l->writer_instance
                    && str_eq (get_str (o, "writer"), l->writer);
  if (ours && seq == l->writing_seq)
    result = LEDGER_STORED;
  else if (!ours && fence >= l->fence)
    result = LEDGER_SUPERSEDED;

out:
  json_decref (o);
  return result;
}
