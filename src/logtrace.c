#include "logtrace.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "err.h"

/* Events up to this long before a call may explain it: a load from the weight
   store takes up to 8 s. */
#define CONTEXT_BEFORE_MS 8000
#define CONTEXT_AFTER_MS 100
#define VALUES_MAX 16

struct line
{
  struct str text;
  int64_t at_ms;
  size_t sequence; /* order of input; sorts lines with the same time */
  bool has_id;     /* belongs to the call */
  bool selected;
};

/* Set of the distinct values of a log field. */
struct value_set
{
  struct str items[VALUES_MAX];
  size_t count;
};

struct logtrace
{
  struct str id;
  struct line *lines;
  size_t count;
  size_t capacity;
};

struct logtrace *
logtrace_create (struct str id)
{
  struct logtrace *t = xcalloc (1, sizeof *t);

  t->id = id;
  return t;
}

void
logtrace_destroy (struct logtrace *t)
{
  for (size_t i = 0; i < t->count; i++)
    str_free (&t->lines[i].text);
  free (t->lines);
  free (t);
}

struct str
logtrace_field (struct str line, const char *key)
{
  const size_t len = strlen (key);

  for (size_t i = 0; i + len < line.len; i++)
    {
      if ((i > 0 && line.data[i - 1] != ' ') || line.data[i + len] != '='
          || memcmp (line.data + i, key, len) != 0)
        continue;
      const char *value = line.data + i + len + 1;
      const size_t rest = line.len - (i + len + 1);
      const char *end = memchr (value, ' ', rest);

      return (struct str){ value, end ? (size_t)(end - value) : rest };
    }
  return (struct str){ 0 };
}

/* Returns the time of a line in ms since the Unix epoch, or -1. */
static int64_t
parse_time_ms (struct str line)
{
  const struct str value = logtrace_field (line, "time");
  char text[40];
  struct tm tm = { 0 };
  char *end;
  long ms;

  if (value.len == 0 || value.len >= sizeof text)
    return -1;
  memcpy (text, value.data, value.len);
  text[value.len] = '\0';
  const char *rest = strptime (text, "%Y-%m-%dT%H:%M:%S", &tm);
  if (!rest || rest[0] != '.')
    return -1;
  ms = strtol (rest + 1, &end, 10);
  if (end != rest + 4 || *end != 'Z')
    return -1;
  return (int64_t)timegm (&tm) * 1000 + ms;
}

void
logtrace_add (struct logtrace *t, struct str line)
{
  const char *start = memmem (line.data, line.len, "time=", 5);

  if (!start)
    return;
  line.len -= (size_t)(start - line.data);
  line.data = start;
  const int64_t at_ms = parse_time_ms (line);
  if (at_ms < 0)
    return;
  if (t->count == t->capacity)
    {
      t->capacity = t->capacity > 0 ? t->capacity * 2 : 1024;
      t->lines = xrealloc (t->lines, t->capacity * sizeof *t->lines);
    }
  t->lines[t->count]
      = (struct line){ str_dup (line), at_ms, t->count, false, false };
  t->count++;
}

/* ---- selection ---- */

static void
add_value (struct value_set *set, struct str value)
{
  if (value.len == 0 || str_eq (value, STR ("-")) || set->count == VALUES_MAX)
    return;
  for (size_t i = 0; i < set->count; i++)
    if (str_eq (set->items[i], value))
      return;
  set->items[set->count++] = value;
}

static bool
has_value (const struct value_set *set, struct str value)
{
  for (size_t i = 0; i < set->count && value.len > 0; i++)
    if (str_eq (set->items[i], value))
      return true;
  return false;
}

/* Time range and field values of the lines that have the call's id. */
struct call_scope
{
  int64_t from_ms;
  int64_t to_ms;
  struct value_set servers;
  struct value_set models;
  struct value_set adapters;
  struct value_set nodes;
};

static size_t
mark_call_lines (struct logtrace *t, struct call_scope *s)
{
  size_t with_id = 0;

  for (size_t i = 0; i < t->count; i++)
    {
      struct line *l = &t->lines[i];

      if (!str_eq (logtrace_field (l->text, "id"), t->id))
        continue;
      l->has_id = true;
      if (with_id == 0 || l->at_ms < s->from_ms)
        s->from_ms = l->at_ms;
      if (with_id == 0 || l->at_ms > s->to_ms)
        s->to_ms = l->at_ms;
      add_value (&s->servers, logtrace_field (l->text, "server"));
      add_value (&s->models, logtrace_field (l->text, "model"));
      add_value (&s->adapters, logtrace_field (l->text, "adapter"));
      add_value (&s->nodes, logtrace_field (l->text, "node"));
      with_id++;
    }
  return with_id;
}

/* Returns true if a line without the call's id is about a server, model,
   adapter or node of the call, and close enough in time. */
static bool
is_related (const struct call_scope *s, const struct line *l)
{
  if (l->at_ms < s->from_ms - CONTEXT_BEFORE_MS
      || l->at_ms > s->to_ms + CONTEXT_AFTER_MS)
    return false;
  const struct str server = logtrace_field (l->text, "server");
  const struct str model = logtrace_field (l->text, "model");
  const struct str adapter = logtrace_field (l->text, "adapter");

  /* Lines of other calls and of other adapters are unrelated. */
  if (logtrace_field (l->text, "id").len > 0
      || (adapter.len > 0 && !has_value (&s->adapters, adapter)))
    return false;
  if (model.len > 0)
    return has_value (&s->models, model)
           || has_value (&s->models, logtrace_field (l->text, "for"));
  if (server.len > 0)
    return has_value (&s->servers, server);
  return has_value (&s->nodes, logtrace_field (l->text, "node"));
}

static int
compare_times (const void *a, const void *b)
{
  const struct line *x = a;
  const struct line *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->sequence < y->sequence ? -1 : 1;
}

size_t
logtrace_select (struct logtrace *t)
{
  struct call_scope s = { 0 };
  const size_t with_id = mark_call_lines (t, &s);

  for (size_t i = 0; i < t->count; i++)
    t->lines[i].selected
        = t->lines[i].has_id || (with_id > 0 && is_related (&s, &t->lines[i]));
  if (t->count > 0)
    qsort (t->lines, t->count, sizeof *t->lines, compare_times);
  return with_id;
}

void
logtrace_each (const struct logtrace *t,
               void (*fn) (void *ctx, struct str line), void *ctx)
{
  for (size_t i = 0; i < t->count; i++)
    if (t->lines[i].selected)
      fn (ctx, t->lines[i].text);
}
