#include "logtrace.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "err.h"

/* What happened this long before the call may explain it: a load from the
   weight store takes up to this time. */
#define BEFORE_MS 8000
#define AFTER_MS 100
#define NAMES_MAX 16

struct line
{
  struct str text;
  int64_t at_ms;
  size_t number; /* order of lines with the same time */
  bool own;
  bool chosen;
};

/* Distinct values of a field. */
struct names
{
  struct str items[NAMES_MAX];
  size_t count;
};

struct logtrace
{
  struct str id;
  struct line *lines;
  size_t count;
  size_t room;
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

/* Time of a line in Unix ms, or -1. */
static int64_t
time_of (struct str line)
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
  const int64_t at_ms = time_of (line);
  if (at_ms < 0)
    return;
  if (t->count == t->room)
    {
      t->room = t->room > 0 ? t->room * 2 : 1024;
      t->lines = xrealloc (t->lines, t->room * sizeof *t->lines);
    }
  t->lines[t->count]
      = (struct line){ str_dup (line), at_ms, t->count, false, false };
  t->count++;
}

/* ---- choice ---- */

static void
add_name (struct names *n, struct str name)
{
  if (name.len == 0 || str_eq (name, STR ("-")) || n->count == NAMES_MAX)
    return;
  for (size_t i = 0; i < n->count; i++)
    if (str_eq (n->items[i], name))
      return;
  n->items[n->count++] = name;
}

static bool
has_name (const struct names *n, struct str name)
{
  for (size_t i = 0; i < n->count && name.len > 0; i++)
    if (str_eq (n->items[i], name))
      return true;
  return false;
}

/* What the call's own lines name. */
struct scope
{
  int64_t from_ms;
  int64_t to_ms;
  struct names servers;
  struct names models;
  struct names adapters;
  struct names nodes;
};

static size_t
mark_own (struct logtrace *t, struct scope *s)
{
  size_t own = 0;

  for (size_t i = 0; i < t->count; i++)
    {
      struct line *l = &t->lines[i];

      if (!str_eq (logtrace_field (l->text, "id"), t->id))
        continue;
      l->own = true;
      if (own == 0 || l->at_ms < s->from_ms)
        s->from_ms = l->at_ms;
      if (own == 0 || l->at_ms > s->to_ms)
        s->to_ms = l->at_ms;
      add_name (&s->servers, logtrace_field (l->text, "server"));
      add_name (&s->models, logtrace_field (l->text, "model"));
      add_name (&s->adapters, logtrace_field (l->text, "adapter"));
      add_name (&s->nodes, logtrace_field (l->text, "node"));
      own++;
    }
  return own;
}

/* Does a line that is not the call's own tell of what the call met? */
static bool
concerns (const struct scope *s, const struct line *l)
{
  if (l->at_ms < s->from_ms - BEFORE_MS || l->at_ms > s->to_ms + AFTER_MS)
    return false;
  const struct str server = logtrace_field (l->text, "server");
  const struct str model = logtrace_field (l->text, "model");
  const struct str adapter = logtrace_field (l->text, "adapter");

  /* Lines of other calls and adapters say nothing of this one. */
  if (logtrace_field (l->text, "id").len > 0
      || (adapter.len > 0 && !has_name (&s->adapters, adapter)))
    return false;
  if (model.len > 0)
    return has_name (&s->models, model)
           || has_name (&s->models, logtrace_field (l->text, "for"));
  if (server.len > 0)
    return has_name (&s->servers, server);
  return has_name (&s->nodes, logtrace_field (l->text, "node"));
}

static int
by_time (const void *a, const void *b)
{
  const struct line *x = a;
  const struct line *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->number < y->number ? -1 : 1;
}

size_t
logtrace_select (struct logtrace *t)
{
  struct scope s = { 0 };
  const size_t own = mark_own (t, &s);

  for (size_t i = 0; i < t->count; i++)
    t->lines[i].chosen
        = t->lines[i].own || (own > 0 && concerns (&s, &t->lines[i]));
  if (t->count > 0)
    qsort (t->lines, t->count, sizeof *t->lines, by_time);
  return own;
}

void
logtrace_each (const struct logtrace *t,
               void (*fn) (void *ctx, struct str line), void *ctx)
{
  for (size_t i = 0; i < t->count; i++)
    if (t->lines[i].chosen)
      fn (ctx, t->lines[i].text);
}
