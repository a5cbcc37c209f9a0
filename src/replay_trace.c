#include "replay_trace.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "err.h"

struct trace
{
  FILE *file;
  const char *path;
  char *line;
  size_t line_size;
  unsigned line_number;
  uint64_t last_event_ms;
  json_t *json;
};

struct trace *
trace_open (const char *path)
{
  FILE *file = fopen (path, "re");

  if (!file)
    {
      fprintf (stderr, "galenagate: %s: %s\n", path, strerror (errno));
      return NULL;
    }
  struct trace *t = xcalloc (1, sizeof *t);

  t->file = file;
  t->path = path;
  return t;
}

void
trace_close (struct trace *t)
{
  if (!t)
    return;
  json_decref (t->json);
  free (t->line);
  fclose (t->file);
  free (t);
}

static int
invalid (const struct trace *t, const char *what, const char *allowed)
{
  fprintf (stderr, "galenagate: %s:%u: '%s' is not valid; allowed: %s\n",
           t->path, t->line_number, what, allowed);
  return -EINVAL;
}

static struct str
string_field (const struct trace *t, const char *name)
{
  const json_t *v = json_object_get (t->json, name);

  if (!json_is_string (v))
    return (struct str){ 0 };
  return (struct str){ json_string_value (v), json_string_length (v) };
}

static uint64_t
uint_field (const struct trace *t, const char *name, uint64_t fallback)
{
  const json_t *v = json_object_get (t->json, name);

  return json_is_integer (v) && json_integer_value (v) >= 0
             ? (uint64_t)json_integer_value (v)
             : fallback;
}

static bool
bool_field (const struct trace *t, const char *name, bool fallback)
{
  const json_t *v = json_object_get (t->json, name);

  return json_is_boolean (v) ? json_is_true (v) : fallback;
}

static bool
parse_kind (struct str name, enum trace_kind *out)
{
  static const char *const names[]
      = { "lists", "service", "request", "fail", "edit" };

  *out = TRACE_REQUEST;
  if (name.len == 0)
    return true;
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (str_eq (name, str_from (names[i])))
      {
        *out = (enum trace_kind)i;
        return true;
      }
  return false;
}

static void
read_domains (const struct trace *t, struct trace_event *e)
{
  const json_t *list = json_object_get (t->json, "domains");

  for (size_t i = 0; i < json_array_size (list) && i < TRACE_DOMAINS_MAX; i++)
    {
      const json_t *v = json_array_get (list, i);

      if (json_is_string (v))
        e->domains[e->domain_count++]
            = (struct str){ json_string_value (v), json_string_length (v) };
    }
}

static int
read_event (struct trace *t, struct trace_event *e)
{
  *e = (struct trace_event){
    .t_ms = uint_field (t, "t_ms", 0),
    .plans = string_field (t, "plans"),
    .uses = string_field (t, "uses"),
    .service = string_field (t, "service"),
    .servers = (uint32_t)uint_field (t, "servers", 0),
    .memory_bytes = uint_field (t, "memory_bytes", 0),
    .first_byte_ms = (uint32_t)uint_field (t, "first_byte_ms", 0),
    .token_us = (uint32_t)uint_field (t, "token_us", 0),
    .customer = string_field (t, "customer"),
    .class_name = string_field (t, "class"),
    .model = string_field (t, "model"),
    .adapter = string_field (t, "adapter"),
    .tokens = (uint32_t)uint_field (t, "tokens", 0),
    .deadline_ms = (uint32_t)uint_field (t, "deadline_ms", 0),
    .idempotent = bool_field (t, "idempotent", true),
    .server = (uint32_t)uint_field (t, "server", 0),
    .back_ms = (uint32_t)uint_field (t, "back_ms", 0),
    .max_replicas = (uint32_t)uint_field (t, "max_replicas", 0),
  };
  read_domains (t, e);
  if (!parse_kind (string_field (t, "event"), &e->kind))
    return invalid (t, "event", "lists, service, request, fail or edit");
  if (e->t_ms < t->last_event_ms)
    return invalid (t, "t_ms", "times in ascending order");
  t->last_event_ms = e->t_ms;
  if ((e->kind == TRACE_REQUEST || e->kind == TRACE_EDIT) && e->model.len == 0)
    return invalid (t, "model", "the name of a model");
  if (e->kind == TRACE_SERVICE && (e->servers == 0 || e->domain_count == 0))
    return invalid (t, "service", "servers above 0 and at least one domain");
  return 1;
}

int
trace_next (struct trace *t, struct trace_event *out)
{
  json_error_t error;
  const ssize_t n = getline (&t->line, &t->line_size, t->file);

  if (n <= 0)
    return 0;
  t->line_number++;
  json_decref (t->json);
  t->json = json_loadb (t->line, (size_t)n, 0, &error);
  if (!json_is_object (t->json))
    return invalid (t, t->json ? "line" : error.text,
                    "one JSON object per line");
  return read_event (t, out);
}
