#include "target.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "err.h"

bool
replica_key_eq (const struct replica_key *a, const struct replica_key *b)
{
  return str_eq (a->model, b->model) && str_eq (a->version, b->version)
         && str_eq (a->adapter, b->adapter);
}

struct replica_key
replica_key_dup (const struct replica_key *k)
{
  return (struct replica_key){ .model = str_dup (k->model),
                               .version = str_dup (k->version),
                               .adapter = str_dup (k->adapter) };
}

void
replica_key_free (struct replica_key *k)
{
  str_free (&k->model);
  str_free (&k->version);
  str_free (&k->adapter);
}

/* Returns a member as heap-owned text. An integer (order ids) is converted; a
   missing member gives an empty string. */
static struct str
string_member (const json_t *o, const char *name)
{
  const json_t *v = json_object_get (o, name);

  if (json_is_string (v))
    return str_dup ((struct str){ .data = json_string_value (v),
                                  .len = json_string_length (v) });
  if (json_is_integer (v))
    return str_printf ("%lld", (long long)json_integer_value (v));
  return str_dup (STR (""));
}

static bool
uint_member (const json_t *o, const char *name, uint64_t *out)
{
  const json_t *v = json_object_get (o, name);

  if (!json_is_integer (v) || json_integer_value (v) < 0)
    return false;
  *out = (uint64_t)json_integer_value (v);
  return true;
}

static bool
enum_member (const json_t *o, const char *name, const char *const *names,
             int n, int *out)
{
  const char *text = json_string_value (json_object_get (o, name));

  for (int i = 0; text && i < n; i++)
    if (strcmp (text, names[i]) == 0)
      {
        *out = i;
        return true;
      }
  return false;
}

static bool
decode_entry (const json_t *o, struct target_entry *e)
{
  static const char *const states[]
      = { "loading", "loaded", "unloading", "cached" };
  static const char *const caches[] = { "memory", "disk", "remote" };
  int state;
  int cache = CACHE_REMOTE;

  if (!enum_member (o, "state", states, 4, &state)
      || !uint_member (o, "bytes", &e->bytes))
    return false;
  enum_member (o, "cache", caches, 3, &cache);
  e->state = (enum target_entry_state)state;
  e->cache = (enum cache_place)cache;
  e->key.model = string_member (o, "model");
  e->key.version = string_member (o, "version");
  e->key.adapter = string_member (o, "adapter");
  e->order_id = string_member (o, "order_id");
  return true;
}

static bool
decode_entries (const json_t *list, struct target_status *s)
{
  const size_t n = json_array_size (list);

  s->entries = xcalloc (n, sizeof *s->entries);
  for (size_t i = 0; i < n; i++)
    {
      if (!decode_entry (json_array_get (list, i), &s->entries[i]))
        return false;
      s->entry_count++;
    }
  return true;
}

int
target_status_decode (struct str json, struct target_status *out)
{
  json_t *o = json_loadb (json.data ? json.data : "", json.len, 0, NULL);
  const json_t *list = json_object_get (o, "entries");
  struct target_status s = { 0 };
  uint64_t n;
  int rc = -EBADMSG;

  if (!json_is_array (list) || !uint_member (o, "seq", &s.seq)
      || !uint_member (o, "instance", &s.instance)
      || !uint_member (o, "fence", &s.fence)
      || !uint_member (o, "memory_bytes", &s.memory_bytes)
      || !decode_entries (list, &s))
    goto out;
  s.leaving = json_is_true (json_object_get (o, "leaving"));
  if (uint_member (o, "slots", &n))
    s.slots = (uint32_t)n;
  if (uint_member (o, "running", &n))
    s.running = (uint32_t)n;
  if (uint_member (o, "queued", &n))
    s.queued = (uint32_t)n;
  *out = s;
  rc = 0;

out:
  if (rc != 0)
    target_status_free (&s);
  json_decref (o);
  return rc;
}

void
target_status_free (struct target_status *s)
{
  for (size_t i = 0; i < s->entry_count; i++)
    {
      replica_key_free (&s->entries[i].key);
      str_free (&s->entries[i].order_id);
    }
  free (s->entries);
  *s = (struct target_status){ 0 };
}

const struct target_entry *
target_status_find (const struct target_status *s,
                    const struct replica_key *key)
{
  for (size_t i = 0; i < s->entry_count; i++)
    if (replica_key_eq (&s->entries[i].key, key))
      return &s->entries[i];
  return NULL;
}

static const char *
order_kind_name (const struct order *o)
{
  switch (o->kind)
    {
    case ORDER_LOAD:
      return o->key.adapter.len > 0 ? "load_adapter" : "load";
    case ORDER_UNLOAD:
      return o->key.adapter.len > 0 ? "unload_adapter" : "unload";
    case ORDER_FENCE:
      break;
    }
  return "fence";
}

static json_t *
json_str (struct str s)
{
  return json_stringn (s.len > 0 ? s.data : "", s.len);
}

struct str
order_encode (const struct order *o)
{
  json_t *j = json_pack (
      "{s:o, s:I, s:I, s:s, s:o, s:o, s:o, s:I}", "order_id",
      json_str (o->order_id), "fence", (json_int_t)o->fence, "instance",
      (json_int_t)o->instance, "kind", order_kind_name (o), "model",
      json_str (o->key.model), "version", json_str (o->key.version), "adapter",
      json_str (o->key.adapter), "bytes", (json_int_t)o->bytes);
  char *text = json_dumps (j, JSON_COMPACT);
  const struct str s = str_dup (str_from (text));

  free (text);
  json_decref (j);
  return s;
}

static const struct
{
  struct str error;
  enum order_answer answer;
} refusals[] = {
  { STR ("old_fence"), ORDER_OLD_FENCE },
  { STR ("wrong_instance"), ORDER_WRONG_INSTANCE },
  { STR ("loading"), ORDER_BUSY },
  { STR ("load_failed"), ORDER_FAILED },
  { STR ("leaving"), ORDER_REFUSED },
};

/* Returns the meaning of the error in an engine's JSON response, or @answer if
   the error is unknown. */
static enum order_answer
answer_of_error (struct str body, enum order_answer answer)
{
  json_t *o = json_loadb (body.data ? body.data : "", body.len, 0, NULL);
  struct str error = string_member (o, "error");

  for (size_t i = 0; i < sizeof refusals / sizeof *refusals; i++)
    if (str_eq (error, refusals[i].error))
      answer = refusals[i].answer;
  str_free (&error);
  json_decref (o);
  return answer;
}

enum order_answer
order_answer_decode (int err, bool sent, int status, struct str body)
{
  if (err != 0)
    return sent ? ORDER_UNANSWERED : ORDER_NOT_SENT;
  if (status == 200 || status == 202)
    return ORDER_ACCEPTED;
  if (status == 409)
    return answer_of_error (body, ORDER_REFUSED);
  /* Only the refusals named in the protocol prove that the order will not be
     executed. */
  if (status == 503)
    return answer_of_error (body, ORDER_UNANSWERED);
  return status == 507 ? ORDER_REFUSED : ORDER_UNANSWERED;
}
