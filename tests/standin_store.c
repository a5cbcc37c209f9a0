/* Stand-in for the object store and the weight store. POST /faults injects
   faults; GET /counts and GET /weights/counts return counters. */

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "clock.h"
#include "err.h"
#include "settings.h"
#include "standinlib.h"

#define VALUE_MAX ((size_t)1 << 20)
#define WATCH_MAX_MS 600000
#define TICK_MS 5
#define DISCONNECT_CHECK_MS 250
#define ADAPTER_LOAD_MS 6
#define ADAPTER_LOADS_AT_FULL_SPEED 32
/* The host list is stored as an object. No object key that clients use begins
   with this control character. */
#define HOSTS_KEY "\001hosts"

struct options
{
  uint32_t port;
  struct str hosts;
  uint32_t loads_per_s;
  uint32_t loads_at_once;
};

#define FIELD(f) .offset = offsetof (struct options, f)

static const struct setting settings[] = {
  { "port", "PORT", "port on 127.0.0.1", SETTING_U32, FIELD (port), NULL, 1,
    65535 },
  { "hosts", "FILE", "JSON array of hosts", SETTING_STRING, FIELD (hosts), "",
    0, 0 },
  { "loads-per-s", "N", "model loads that start per second", SETTING_U32,
    FIELD (loads_per_s), "3", 1, 100000 },
  { "loads-at-once", "N", "concurrent model loads that run at full speed",
    SETTING_U32, FIELD (loads_at_once), "4", 1, 100000 },
};

struct value
{
  uint64_t version; /* 0 if the object does not exist */
  struct str data;
};

struct object
{
  struct value current;
  struct value previous;
  UT_hash_handle hh;
  size_t key_len;
  char key[];
};

struct watch
{
  h2o_req_t *req;
  struct object *object;
  uint64_t version;
  uint64_t deadline_ms;
  struct watch *next;
};

enum load_kind
{
  LOAD_MODEL,
  LOAD_ADAPTER,
  LOAD_KINDS,
};

/* A transfer from the weight store. Transfers of one kind slow down evenly
   when more of them run than the store serves at full speed. */
struct load
{
  h2o_req_t *req;
  enum load_kind kind;
  int replica_count; /* of the model when the load was requested */
  uint64_t start_ms;
  double remaining_ms;
  struct load *next;
};

/* An engine process, which keeps the connection of @req open until it exits.
 */
struct session
{
  h2o_req_t *req;
  char *engine;
  struct session *next;
};

/* A model in the memory of an engine, from the start of its load until the
   engine has unloaded it or has exited. */
struct replica
{
  char *model;
  struct session *session;
  struct replica *next;
};

/* @lose_answers and @stale_reads are the numbers of requests still to be hit;
   they apply only to keys that begin with @prefix. */
static struct
{
  bool down;
  bool hang;
  uint32_t delay_ms;
  uint32_t lose_answers;
  uint32_t stale_reads;
  double weights_factor;
  struct str prefix;
} faults = { .weights_factor = 1 };

static struct
{
  json_int_t reads, writes, conflicts, watches, lists, waiting, refused;
} counts;

static struct options options;
static struct object *objects;
static uint64_t last_version;
static struct watch *watches;
static struct load *loads;
static int in_flight[LOAD_KINDS];
static int peak_in_flight[LOAD_KINDS];
static json_t *model_loads;
static json_t *peak_replicas; /* by model */
static struct session *sessions;
static struct replica *replicas;
static json_int_t adapter_loads;
static uint64_t next_start_ms;
static uint64_t last_tick_us;
static uv_timer_t tick;

/* ---- objects ---- */

static struct object *
object_get (struct str key)
{
  struct object *o;

  HASH_FIND (hh, objects, key.data, key.len, o);
  if (o)
    return o;
  o = xcalloc (1, sizeof *o + key.len + 1);
  memcpy (o->key, key.data, key.len);
  o->key_len = key.len;
  HASH_ADD (hh, objects, key, key.len, o);
  return o;
}

static void
add_version_header (h2o_req_t *req, uint64_t version)
{
  char text[24];

  snprintf (text, sizeof text, "%llu", (unsigned long long)version);
  standin_add_header (req, "x-version", str_from (text));
}

static void
reply_value (h2o_req_t *req, const struct value *v)
{
  if (v->version == 0)
    {
      standin_error (req, 404, "no_such_object");
      return;
    }
  add_version_header (req, v->version);
  standin_reply (req, 200, "application/octet-stream", v->data);
}

static void
remove_watch (struct watch **at)
{
  struct watch *w = *at;

  *at = w->next;
  counts.waiting--;
  free (w);
}

/* Answers the watches whose version of @object is no longer current. */
static void
answer_watches (const struct object *object)
{
  struct watch **at = &watches;

  while (*at)
    {
      struct watch *w = *at;
      h2o_req_t *req = w->req;
      if (w->object != object || w->version == object->current.version)
        {
          at = &w->next;
          continue;
        }
      remove_watch (at);
      reply_value (req, &object->current);
    }
}

static void
set_value (struct object *o, uint64_t version, struct str data)
{
  str_free (&o->previous.data);
  o->previous = o->current;
  o->current = (struct value){ .version = version, .data = str_dup (data) };
  answer_watches (o);
}

static bool
consume_fault (uint32_t *left, const struct object *o)
{
  const struct str key = { .data = o->key, .len = o->key_len };

  if (*left == 0 || !str_starts (key, faults.prefix))
    return false;
  (*left)--;
  return true;
}

static void
read_object (h2o_req_t *req, struct object *o)
{
  uint64_t version;

  if (!str_u64 (standin_query (req, "watch"), &version))
    {
      counts.reads++;
      reply_value (req, consume_fault (&faults.stale_reads, o) ? &o->previous
                                                               : &o->current);
      return;
    }
  counts.watches++;
  if (version != o->current.version)
    {
      reply_value (req, &o->current);
      return;
    }
  uint64_t wait_ms = standin_query_u64 (req, "timeout_ms", 0);
  if (wait_ms > WATCH_MAX_MS)
    wait_ms = WATCH_MAX_MS;
  struct watch *w = xcalloc (1, sizeof *w);
  *w = (struct watch){ .req = req,
                       .object = o,
                       .version = version,
                       .deadline_ms = clock_ms () + wait_ms,
                       .next = watches };
  watches = w;
  counts.waiting++;
}

static void
write_object (h2o_req_t *req, struct object *o, bool remove)
{
  const struct str body = standin_body (req);
  uint64_t expected;

  counts.writes++;
  if (!str_u64 (standin_header (req, "if-match"), &expected))
    {
      standin_error (req, 428, "if_match_required");
      return;
    }
  if (body.len > VALUE_MAX)
    {
      standin_error (req, 413, "value_too_large");
      return;
    }
  if (expected != o->current.version)
    {
      counts.conflicts++;
      add_version_header (req, o->current.version);
      standin_error (req, 409, "version");
      return;
    }
  set_value (o, remove ? 0 : ++last_version, body);
  if (consume_fault (&faults.lose_answers, o))
    {
      standin_close (req);
      return;
    }
  add_version_header (req, o->current.version);
  standin_json (req, 200, json_object ());
}

static int
by_key (const struct object *a, const struct object *b)
{
  return strcmp (a->key, b->key);
}

static void
list_objects (h2o_req_t *req)
{
  const struct str prefix = standin_query (req, "prefix");
  json_t *list = json_array ();

  counts.lists++;
  HASH_SORT (objects, by_key);
  for (const struct object *o = objects; o; o = o->hh.next)
    {
      const struct str key = { .data = o->key, .len = o->key_len };
      if (o->current.version != 0 && o->key[0] != HOSTS_KEY[0]
          && str_starts (key, prefix))
        json_array_append_new (
            list, json_pack ("{s:s, s:I}", "key", o->key, "version",
                             (json_int_t)o->current.version));
    }
  standin_json (req, 200, list);
}

/* Stores a new host list. @text is a JSON array of hosts, or an object with
   such an array in "hosts". Returns false if it is neither. */
static bool
set_hosts (struct str text)
{
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  json_t *hosts
      = json_is_object (root) ? json_object_get (root, "hosts") : root;
  const bool ok = json_is_array (hosts);

  if (ok)
    {
      last_version++;
      json_t *value_json = json_pack (
          "{s:I, s:O}", "version", (json_int_t)last_version, "hosts", hosts);
      char *dump = json_dumps (value_json, JSON_COMPACT);
      set_value (object_get (STR (HOSTS_KEY)), last_version, str_from (dump));
      free (dump);
      json_decref (value_json);
    }
  json_decref (root);
  return ok;
}

/* ---- weights ---- */

static void
replica_free (struct replica **at)
{
  struct replica *r = *at;

  *at = r->next;
  free (r->model);
  free (r);
}

static void
remove_ended_sessions (void)
{
  for (struct session **at = &sessions; *at;)
    {
      struct session *s = *at;
      if (!standin_client_closed (s->req))
        {
          at = &s->next;
          continue;
        }
      *at = s->next;
      for (struct replica **r = &replicas; *r;)
        if ((*r)->session == s)
          replica_free (r);
        else
          r = &(*r)->next;
      standin_close (s->req);
      free (s->engine);
      free (s);
    }
}

static struct session *
session_find (struct str engine)
{
  for (struct session *s = sessions; s; s = s->next)
    if (str_eq (str_from (s->engine), engine))
      return s;
  return NULL;
}

/* Sends only the response head, which confirms the session, and leaves the
   response open until the engine disconnects. */
static void
start_session (h2o_req_t *req)
{
  const struct str engine = standin_query (req, "engine");
  struct session *s = xcalloc (1, sizeof *s);

  remove_ended_sessions ();
  s->req = req;
  s->engine = strndup (engine.data, engine.len);
  s->next = sessions;
  sessions = s;
  standin_send_raw (req, STR ("HTTP/1.1 200 OK\r\n\r\n"));
}

/* Records a replica and returns the number of replicas of the model, or 0 if
   @engine has no session. */
static int
add_replica (const char *model, struct str engine)
{
  int n = 0;

  remove_ended_sessions ();
  struct session *s = session_find (engine);
  if (!s)
    return 0;
  struct replica *r = xcalloc (1, sizeof *r);
  *r = (struct replica){ .model = strdup (model),
                         .session = s,
                         .next = replicas };
  replicas = r;
  for (r = replicas; r; r = r->next)
    n += strcmp (r->model, model) == 0;
  if (n > json_integer_value (json_object_get (peak_replicas, model)))
    json_object_set_new (peak_replicas, model, json_integer (n));
  return n;
}

static void
remove_replica (h2o_req_t *req, struct str model)
{
  const struct session *s = session_find (standin_query (req, "engine"));

  for (struct replica **at = &replicas; *at; at = &(*at)->next)
    if ((*at)->session == s && str_eq (str_from ((*at)->model), model))
      {
        replica_free (at);
        break;
      }
  standin_json (req, 200, json_object ());
}

static void
start_load (h2o_req_t *req, enum load_kind kind, int replica_count,
            double full_speed_ms)
{
  struct load *l = xcalloc (1, sizeof *l);
  const uint64_t now = clock_ms ();

  *l = (struct load){ .req = req,
                      .kind = kind,
                      .replica_count = replica_count,
                      .start_ms = now,
                      .remaining_ms = full_speed_ms,
                      .next = loads };
  loads = l;
  if (kind == LOAD_MODEL)
    {
      if (next_start_ms > now)
        l->start_ms = next_start_ms;
      next_start_ms = l->start_ms + 1000 / options.loads_per_s;
    }
  if (++in_flight[kind] > peak_in_flight[kind])
    peak_in_flight[kind] = in_flight[kind];
}

static void
serve_weights (h2o_req_t *req, struct str name)
{
  char model[256];

  if (str_starts (name, STR ("adapter/")))
    {
      adapter_loads++;
      start_load (req, LOAD_ADAPTER, 0, ADAPTER_LOAD_MS);
      return;
    }
  snprintf (model, sizeof model, STR_FMT, STR_ARG (name));
  const json_int_t n
      = json_integer_value (json_object_get (model_loads, model));
  json_object_set_new (model_loads, model, json_integer (n + 1));
  start_load (req, LOAD_MODEL,
              add_replica (model, standin_query (req, "engine")),
              (double)standin_query_u64 (req, "ms", 1000));
}

static void
advance_loads (uint64_t now_ms, double elapsed_ms, bool check_disconnects)
{
  const int full_speed_loads[LOAD_KINDS]
      = { [LOAD_MODEL] = (int)options.loads_at_once,
          [LOAD_ADAPTER] = ADAPTER_LOADS_AT_FULL_SPEED };
  int started[LOAD_KINDS] = { 0 };
  double step[LOAD_KINDS];

  for (const struct load *l = loads; l; l = l->next)
    if (now_ms >= l->start_ms)
      started[l->kind]++;
  for (int k = 0; k < LOAD_KINDS; k++)
    {
      step[k] = elapsed_ms / faults.weights_factor;
      if (started[k] > full_speed_loads[k])
        step[k] *= (double)full_speed_loads[k] / started[k];
    }
  for (struct load **at = &loads; *at;)
    {
      struct load *l = *at;
      if (now_ms >= l->start_ms)
        l->remaining_ms -= step[l->kind];
      if (l->remaining_ms > 0
          && !(check_disconnects && standin_client_closed (l->req)))
        {
          at = &l->next;
          continue;
        }
      *at = l->next;
      in_flight[l->kind]--;
      standin_json (l->req, 200,
                    json_pack ("{s:i}", "replicas", l->replica_count));
      free (l);
    }
}

static void
finish_watches (uint64_t now_ms, bool check_disconnects)
{
  for (struct watch **at = &watches; *at;)
    {
      struct watch *w = *at;
      h2o_req_t *req = w->req;
      const bool expired = now_ms >= w->deadline_ms;
      if (!expired && !faults.down
          && !(check_disconnects && standin_client_closed (req)))
        {
          at = &w->next;
          continue;
        }
      remove_watch (at);
      if (faults.hang)
        continue;
      if (expired && !faults.down)
        standin_reply (req, 204, "text/plain", STR (""));
      else
        standin_error (req, 503, "down");
    }
}

static void
on_tick (uv_timer_t *timer)
{
  static uint64_t next_check_ms;
  const uint64_t now_us = clock_us ();
  const uint64_t now_ms = now_us / 1000;
  const bool check_disconnects = now_ms >= next_check_ms;

  (void)timer;
  if (check_disconnects)
    next_check_ms = now_ms + DISCONNECT_CHECK_MS;
  advance_loads (now_ms, (double)(now_us - last_tick_us) / 1000,
                 check_disconnects);
  finish_watches (now_ms, check_disconnects);
  last_tick_us = now_us;
}

/* ---- administration and request dispatch ---- */

static void
set_faults (h2o_req_t *req)
{
  const struct str body = standin_body (req);
  json_t *root = json_loadb (body.data, body.len, 0, NULL);
  int down = faults.down;
  int hang = faults.hang;
  int delay_ms = (int)faults.delay_ms;
  int lose_answers = (int)faults.lose_answers;
  int stale_reads = (int)faults.stale_reads;
  double factor = faults.weights_factor;
  const char *prefix = "";

  const int rc = json_unpack (root, "{s?b, s?b, s?i, s?i, s?i, s?F, s?s}",
                              "down", &down, "hang", &hang, "delay_ms",
                              &delay_ms, "lose_answers", &lose_answers,
                              "stale_reads", &stale_reads, "weights_factor",
                              &factor, "prefix", &prefix);
  if (rc != 0 || factor <= 0)
    {
      json_decref (root);
      standin_error (req, 400, "bad_faults");
      return;
    }
  faults.down = down;
  faults.hang = hang;
  faults.delay_ms = (uint32_t)delay_ms;
  faults.lose_answers = (uint32_t)lose_answers;
  faults.stale_reads = (uint32_t)stale_reads;
  faults.weights_factor = factor;
  str_free (&faults.prefix);
  faults.prefix = str_dup (str_from (prefix));
  json_decref (root);
  standin_json (req, 200, json_object ());
}

static bool
handle_admin (h2o_req_t *req, struct str path)
{
  static const struct str weights_path = STR ("/weights/");
  const bool get = standin_method (req, "GET");

  if (get && str_eq (path, STR ("/counts")))
    standin_json (req, 200,
                  json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "reads",
                             counts.reads, "writes", counts.writes,
                             "conflicts", counts.conflicts, "watches",
                             counts.watches, "lists", counts.lists, "waiting",
                             counts.waiting, "refused", counts.refused));
  else if (standin_method (req, "PUT") && str_eq (path, STR ("/hosts")))
    {
      if (set_hosts (standin_body (req)))
        standin_json (req, 200, json_object ());
      else
        standin_error (req, 400, "bad_hosts");
    }
  else if (standin_method (req, "POST") && str_eq (path, STR ("/faults")))
    set_faults (req);
  else if (get && str_eq (path, STR ("/weights/counts")))
    standin_json (req, 200,
                  json_pack ("{s:i, s:i, s:I, s:O, s:O}", "most_models",
                             peak_in_flight[LOAD_MODEL], "most_adapters",
                             peak_in_flight[LOAD_ADAPTER], "adapter_loads",
                             adapter_loads, "model_loads", model_loads,
                             "most_replicas", peak_replicas));
  else if (get && str_eq (path, STR ("/weights/session")))
    start_session (req);
  else if (str_starts (path, weights_path))
    {
      const struct str name = { .data = path.data + weights_path.len,
                                .len = path.len - weights_path.len };
      if (get)
        serve_weights (req, name);
      else
        remove_replica (req, name);
    }
  else
    return false;
  return true;
}

static void
serve_store (void *ctx)
{
  static const struct str objects_path = STR ("/objects/");
  h2o_req_t *req = ctx;
  const struct str path = standin_path (req);
  const bool get = standin_method (req, "GET");

  if (get && str_eq (path, STR ("/objects")))
    {
      list_objects (req);
      return;
    }
  if (get && str_eq (path, STR ("/hosts")))
    {
      read_object (req, object_get (STR (HOSTS_KEY)));
      return;
    }
  if (!str_starts (path, objects_path) || path.len == objects_path.len)
    {
      standin_error (req, 404, "no_such_path");
      return;
    }
  struct object *o
      = object_get ((struct str){ .data = path.data + objects_path.len,
                                  .len = path.len - objects_path.len });
  if (get)
    read_object (req, o);
  else if (standin_method (req, "PUT") || standin_method (req, "DELETE"))
    write_object (req, o, standin_method (req, "DELETE"));
  else
    standin_error (req, 405, "method");
}

static void
handle (h2o_req_t *req)
{
  if (handle_admin (req, standin_path (req)))
    return;
  if (faults.hang || faults.down)
    counts.refused++;
  if (faults.hang)
    return;
  if (faults.down)
    standin_error (req, 503, "down");
  else if (faults.delay_ms > 0)
    standin_run_after (faults.delay_ms, serve_store, req);
  else
    serve_store (req);
}

static bool
read_hosts_file (const char *path)
{
  json_t *hosts = json_load_file (path, 0, NULL);
  char *text = json_dumps (hosts, 0);
  const bool ok = set_hosts (str_from (text));

  free (text);
  json_decref (hosts);
  if (!ok)
    fprintf (stderr, "--hosts: '%s' does not contain a JSON array of hosts\n",
             path);
  return ok;
}

int
main (int argc, char **argv)
{
  if (settings_parse (argc, argv, "Stand-in for the object and weight store.",
                      NULL, settings, sizeof settings / sizeof *settings,
                      &options, NULL)
      != 0)
    return 2;
  model_loads = json_object ();
  peak_replicas = json_object ();
  if (options.hosts.len == 0)
    set_hosts (STR ("[]"));
  else if (!read_hosts_file (options.hosts.data))
    return 2;
  last_tick_us = clock_us ();
  uv_timer_init (standin_loop (), &tick);
  uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  return standin_run (options.port, handle);
}
