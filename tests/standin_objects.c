#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "err.h"
#include "settings.h"
#include "standinlib.h"

/* Stand-in for the platform's object store: objects by kind, with revisions,
   paged lists, watches and an event history that can be dropped. POST /faults
   injects faults, and keeps or restores a copy of the store; GET /counts
   returns request counters. */

#define TICK_MS 5
#define MAX_PAGE_ITEMS 50

struct options
{
  uint32_t port;
  uint32_t era;
};

#define FIELD(f) .offset = offsetof (struct options, f)

static const struct setting settings[] = {
  { "port", "PORT", "port on 127.0.0.1", SETTING_U32, FIELD (port), NULL, 1,
    65535 },
  { "era", "N",
    "number sent in all answers, which rises with each restored copy; 0 for "
    "none",
    SETTING_U32, FIELD (era), "0", 0, 1000000 },
};

struct event
{
  uint64_t revision;
  char kind[64];
  json_t *json; /* as sent in response to a watch */
  struct event *next;
};

struct watch
{
  h2o_req_t *req;
  char kind[64];
  uint64_t since;
  uint64_t deadline_ms;
  bool stale_ok;
  struct watch *next;
};

static struct options options;
static json_t *kinds; /* kind -> name -> object */
static uint64_t revision = 100;
/* Watches from an earlier revision fail with 410. */
static uint64_t history_start = 100;
static struct event *events; /* newest first */
static struct watch *watches;
static uv_timer_t tick;
static json_int_t reads;
static json_int_t stale_reads;
static json_int_t writes;
static json_int_t shortest_wait_ms = INT32_MAX; /* of all watches */

/* @down: answers 503. @silent: does not answer. @lose_answers: stores an
   object but closes the connection without an answer. @stale_revision: last
   revision that watches with stale_ok see, or 0 if they are up to date.
   @silent_until: number of the last connection that is not answered any more.
 */
static struct
{
  uint64_t stale_revision;
  uint64_t silent_until;
  bool down;
  bool silent;
  bool lose_answers;
} faults;

/* What POST /faults with "copy" has kept; @kinds is NULL before. */
static struct
{
  json_t *kinds;
  uint64_t revision;
  uint64_t history_start;
} copy;

static json_t *
objects_of_kind (const char *kind)
{
  json_t *objects = json_object_get (kinds, kind);

  if (objects)
    return objects;
  objects = json_object ();
  json_object_set_new (kinds, kind, objects);
  return objects;
}

/* ---- odd values ---- */

#define NESTING 5000

static void
append_nested (struct buf *out)
{
  for (int i = 0; i < NESTING; i++)
    buf_append (out, STR ("["));
  for (int i = 0; i < NESTING; i++)
    buf_append (out, STR ("]"));
}

/* Texts that take the place of strings, since no JSON value of this process
   could hold them. */
static const struct
{
  const char *marker;
  const char *text; /* NULL: deeply nested arrays */
} odd_values[] = {
  { "\"@integer@\"", "123456789012345678901234567890" },
  { "\"@real@\"", "1e999" },
  { "\"@nul@\"", "\"\\u0000\"" },
  { "\"@bytes@\"", "\"\xff\xfe\"" },
  { "\"@deep@\"", NULL },
};

/* Appends the odd value whose marker begins the text. Returns the marker's
   length, 0 if there is none. */
static size_t
append_odd_value (const char *text, struct buf *out)
{
  for (size_t i = 0; i < sizeof odd_values / sizeof *odd_values; i++)
    {
      const size_t len = strlen (odd_values[i].marker);

      if (strncmp (text, odd_values[i].marker, len) != 0)
        continue;
      if (odd_values[i].text)
        buf_append (out, str_from (odd_values[i].text));
      else
        append_nested (out);
      return len;
    }
  return 0;
}

/* Answers with JSON in which markers are replaced by odd values. Takes
   ownership of @json. */
static void
answer_objects (h2o_req_t *req, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  struct buf out = { 0 };

  for (const char *at = text; *at;)
    {
      const size_t len = *at == '"' ? append_odd_value (at, &out) : 0;

      if (len == 0)
        buf_append (&out, (struct str){ at, 1 });
      at += len > 0 ? len : 1;
    }
  standin_reply (req, 200, "application/json", buf_str (&out));
  buf_free (&out);
  free (text);
  json_decref (json);
}

/* ---- watches ---- */

static json_t *
events_since (const char *kind, uint64_t since, uint64_t to)
{
  json_t *list = json_array ();

  for (const struct event *e = events; e && e->revision > since; e = e->next)
    if (e->revision <= to && strcmp (e->kind, kind) == 0)
      json_array_insert (list, 0, e->json);
  return list;
}

static void
answer_watch (h2o_req_t *req, json_t *list, uint64_t to)
{
  answer_objects (req, json_pack ("{s:o, s:I}", "events", list, "current_rev",
                                  (json_int_t)to));
}

/* Returns the latest revision that the watch can see. */
static uint64_t
visible_revision (const struct watch *w)
{
  return w->stale_ok && faults.stale_revision > 0 ? faults.stale_revision
                                                  : revision;
}

static void
on_tick (uv_timer_t *timer)
{
  struct watch **at = &watches;

  (void)timer;
  while (*at)
    {
      struct watch *w = *at;
      json_t *list = events_since (w->kind, w->since, visible_revision (w));
      const bool history_gone
          = w->since < history_start || w->since > revision;

      if (!history_gone && json_array_size (list) == 0
          && clock_ms () < w->deadline_ms)
        {
          json_decref (list);
          at = &w->next;
          continue;
        }
      *at = w->next;
      if (history_gone)
        standin_error (w->req, 410, "history_gone");
      else
        answer_watch (w->req, json_incref (list), visible_revision (w));
      json_decref (list);
      free (w);
    }
}

static void
record_event (const char *kind, json_t *object, bool deleted)
{
  struct event *e = xcalloc (1, sizeof *e);

  e->revision = revision;
  snprintf (e->kind, sizeof e->kind, "%s", kind);
  e->json = json_pack ("{s:b, s:o}", "deleted", deleted, "object",
                       json_deep_copy (object));
  e->next = events;
  events = e;
}

/* ---- requests ---- */

static void
list_kind (h2o_req_t *req, const char *kind)
{
  const struct str after = standin_query (req, "after");
  json_t *items = json_array ();
  bool more = false;
  const char *name;
  json_t *object;

  json_t *objects = objects_of_kind (kind);
  const size_t n = json_object_size (objects);
  const char **names = xcalloc (n + 1, sizeof *names);
  size_t count = 0;
  json_object_foreach (objects, name, object) names[count++] = name;
  /* Pages are ordered by name. */
  for (size_t i = 0; i < count; i++)
    for (size_t j = i + 1; j < count; j++)
      if (strcmp (names[i], names[j]) > 0)
        {
          const char *swap = names[i];
          names[i] = names[j];
          names[j] = swap;
        }
  for (size_t i = 0; i < count; i++)
    {
      if (after.len > 0 && str_cmp (str_from (names[i]), after) <= 0)
        continue;
      if (json_array_size (items) == MAX_PAGE_ITEMS)
        {
          more = true;
          break;
        }
      json_array_append (items, json_object_get (objects, names[i]));
    }
  free (names);
  answer_objects (req, json_pack ("{s:o, s:b, s:I}", "items", items, "more",
                                  more, "current_rev", (json_int_t)revision));
}

static void
watch_kind (h2o_req_t *req, const char *kind, uint64_t since)
{
  struct watch *w = xcalloc (1, sizeof *w);
  const json_int_t wait_ms = (json_int_t)standin_query_u64 (req, "wait_ms", 0);

  w->req = req;
  snprintf (w->kind, sizeof w->kind, "%s", kind);
  w->since = since;
  w->deadline_ms = clock_ms () + wait_ms;
  if (wait_ms < shortest_wait_ms)
    shortest_wait_ms = wait_ms;
  w->stale_ok = standin_query (req, "stale_ok").len > 0;
  stale_reads += w->stale_ok;
  w->next = watches;
  watches = w;
}

static json_int_t
revision_of (const json_t *object)
{
  return json_integer_value (
      json_object_get (json_object_get (object, "metadata"), "revision"));
}

static json_t *
make_object (const char *name, json_t *spec)
{
  return json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "metadata",
                    "name", name, "revision", (json_int_t)revision, "created",
                    (json_int_t)1, "finalizers", "deleting", 0, "spec", spec,
                    "status");
}

static void
store (h2o_req_t *req, const char *kind, const char *name, json_t *body)
{
  json_t *object;

  revision++;
  object = make_object (name, json_object_get (body, "spec"));
  json_object_set (objects_of_kind (kind), name, object);
  record_event (kind, object, false);
  if (faults.lose_answers)
    {
      json_decref (object);
      standin_close (req);
      return;
    }
  answer_objects (req, object);
}

static void
write_object (h2o_req_t *req, const char *kind, const char *name)
{
  const struct str text = standin_body (req);
  json_t *body = json_loadb (text.data, text.len, 0, NULL);
  const json_t *metadata = json_object_get (body, "metadata");
  const bool create = name[0] == '\0';
  const char *object_name
      = create ? json_string_value (json_object_get (metadata, "name")) : name;
  json_t *existing
      = object_name ? json_object_get (objects_of_kind (kind), object_name)
                    : NULL;
  const json_t *expected = json_object_get (metadata, "revision");

  writes++;
  if (!body || !object_name)
    standin_error (req, 400, "bad_object");
  else if (create && existing)
    standin_json (req, 409, json_incref (existing));
  else if (!create && !existing)
    standin_error (req, 404, "no_such_object");
  else if (expected && json_integer_value (expected) != revision_of (existing))
    standin_json (req, 409, json_incref (existing));
  else
    store (req, kind, object_name, body);
  json_decref (body);
}

static void
delete_object (h2o_req_t *req, const char *kind, const char *name)
{
  json_t *existing = json_object_get (objects_of_kind (kind), name);

  writes++;
  if (!existing)
    {
      standin_error (req, 404, "no_such_object");
      return;
    }
  revision++;
  record_event (kind, existing, true);
  json_object_del (objects_of_kind (kind), name);
  standin_json (req, 200, json_object ());
}

static void
read_object (h2o_req_t *req, const char *kind, const char *name)
{
  json_t *object = json_object_get (objects_of_kind (kind), name);
  uint64_t since;

  reads++;
  if (name[0] != '\0')
    {
      if (object)
        standin_json (req, 200, json_incref (object));
      else
        standin_error (req, 404, "no_such_object");
    }
  else if (str_u64 (standin_query (req, "watch"), &since))
    watch_kind (req, kind, since);
  else
    list_kind (req, kind);
}

static void
serve_objects (h2o_req_t *req, struct str kind_and_name)
{
  char kind[64] = "";
  char name[128] = "";
  const char *slash = memchr (kind_and_name.data, '/', kind_and_name.len);
  const size_t len
      = slash ? (size_t)(slash - kind_and_name.data) : kind_and_name.len;

  snprintf (kind, sizeof kind, "%.*s", (int)len, kind_and_name.data);
  if (slash)
    snprintf (name, sizeof name, "%.*s", (int)(kind_and_name.len - len - 1),
              slash + 1);
  if (standin_method (req, "GET"))
    read_object (req, kind, name);
  else if (standin_method (req, "DELETE"))
    delete_object (req, kind, name);
  else
    write_object (req, kind, name);
}

/* Watches that wait are closed, or are not answered any more and their
   connections neither. */
static void
end_watches (bool close)
{
  while (watches)
    {
      struct watch *w = watches;

      watches = w->next;
      if (close)
        standin_close (w->req);
      free (w);
    }
}

/* ---- copies ---- */

static void
keep_copy (void)
{
  json_decref (copy.kinds);
  copy.kinds = json_deep_copy (kinds);
  copy.revision = revision;
  copy.history_start = history_start;
}

static void
drop_events_after (uint64_t last_revision)
{
  while (events && events->revision > last_revision)
    {
      struct event *e = events;

      events = e->next;
      json_decref (e->json);
      free (e);
    }
}

/* Goes back to the copy, if there is one: revisions after it are given out
   again. */
static void
restore_copy (void)
{
  if (!copy.kinds)
    return;
  json_decref (kinds);
  kinds = json_deep_copy (copy.kinds);
  revision = copy.revision;
  history_start = copy.history_start;
  drop_events_after (revision);
  end_watches (true);
  if (options.era > 0)
    options.era++;
}

static void
add_era (h2o_req_t *req)
{
  char text[16];

  if (options.era == 0)
    return;
  snprintf (text, sizeof text, "%u", options.era);
  standin_add_header (req, "Store-Era", str_from (text));
}

/* ---- faults ---- */

static void
set_faults (const h2o_req_t *req)
{
  const struct str body = standin_body (req);
  json_t *json = json_loadb (body.data, body.len, 0, NULL);

  if (json_is_true (json_object_get (json, "copy")))
    keep_copy ();
  if (json_is_true (json_object_get (json, "restore")))
    restore_copy ();
  faults.down = json_is_true (json_object_get (json, "down"));
  faults.silent = json_is_true (json_object_get (json, "silent"));
  faults.lose_answers = json_is_true (json_object_get (json, "lose_answers"));
  if (json_is_true (json_object_get (json, "stale")))
    faults.stale_revision = revision;
  else
    faults.stale_revision = 0;
  if (json_is_true (json_object_get (json, "forget")))
    history_start = revision + 1;
  if (json_is_true (json_object_get (json, "forget")))
    revision++;
  if (json_is_true (json_object_get (json, "silence_open")))
    {
      faults.silent_until = req->conn->id;
      end_watches (false);
    }
  if (json_is_true (json_object_get (json, "cut_watches")))
    end_watches (true);
  json_decref (json);
}

static void
handle (h2o_req_t *req)
{
  static const struct str prefix = { "/objects/", 9 };
  const struct str path = standin_path (req);
  /* Faults do not affect the test itself, which writes in place of the
     operator and the servers. */
  const bool from_test = standin_header (req, "x-test").len > 0;

  if (str_eq (path, STR ("/faults")))
    set_faults (req);
  add_era (req);
  if (str_eq (path, STR ("/counts")))
    standin_json (req, 200,
                  json_pack ("{s:I, s:I, s:I, s:I}", "reads", reads,
                             "stale_reads", stale_reads, "writes", writes,
                             "shortest_wait_ms", shortest_wait_ms));
  else if (str_eq (path, STR ("/faults")))
    standin_json (req, 200, json_object ());
  else if ((faults.silent || req->conn->id <= faults.silent_until)
           && !from_test)
    return;
  else if (faults.down && !from_test)
    standin_error (req, 503, "down");
  else if (str_starts (path, prefix))
    serve_objects (
        req, (struct str){ path.data + prefix.len, path.len - prefix.len });
  else
    standin_error (req, 404, "no_such_path");
}

int
main (int argc, char **argv)
{
  if (settings_parse (argc, argv, "Stand-in for the platform's object store.",
                      NULL, settings, sizeof settings / sizeof *settings,
                      &options, NULL)
      != 0)
    return 2;
  kinds = json_object ();
  uv_timer_init (standin_loop (), &tick);
  uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  return standin_run (options.port, handle);
}
