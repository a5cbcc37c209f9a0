#include "metrics.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "err.h"

/* Upper bounds of the histogram buckets in ms. A last bucket is unbounded. */
static const double bounds_ms[]
    = { 1,   2,    5,    10,   20,    50,    68,    100,   200,
        500, 1000, 2000, 5000, 10000, 30000, 60000, 120000 };
#define BOUND_COUNT (sizeof bounds_ms / sizeof *bounds_ms)

enum kind
{
  KIND_COUNTER,
  KIND_GAUGE,
  KIND_HISTOGRAM,
};

struct series
{
  char *key; /* metric name, line feed, label text */
  size_t name_len;
  enum kind kind;
  uint64_t count;
  double value; /* gauge value or histogram sum */
  uint64_t buckets[BOUND_COUNT + 1];
  UT_hash_handle hh;
};

static struct series *all_series;

static struct series *
find_series (const char *name, struct str labels, bool create, enum kind kind)
{
  char key[512];
  struct series *s;
  const int n
      = snprintf (key, sizeof key, "%s\n" STR_FMT, name, STR_ARG (labels));

  if (n < 0 || (size_t)n >= sizeof key)
    return NULL;
  HASH_FIND (hh, all_series, key, (size_t)n, s);
  if (s || !create)
    return s;
  s = xcalloc (1, sizeof *s);
  s->key = (char *)str_dup ((struct str){ key, (size_t)n }).data;
  s->name_len = strlen (name);
  s->kind = kind;
  HASH_ADD_KEYPTR (hh, all_series, s->key, (size_t)n, s);
  return s;
}

void
metrics_add (const char *name, struct str labels, uint64_t n)
{
  struct series *s = find_series (name, labels, true, KIND_COUNTER);

  if (s)
    s->count += n;
}

void
metrics_set (const char *name, struct str labels, double value)
{
  struct series *s = find_series (name, labels, true, KIND_GAUGE);

  if (s)
    s->value = value;
}

void
metrics_observe (const char *name, struct str labels, double ms)
{
  struct series *s = find_series (name, labels, true, KIND_HISTOGRAM);
  size_t i = 0;

  if (!s)
    return;
  while (i < BOUND_COUNT && ms > bounds_ms[i])
    i++;
  s->buckets[i]++;
  s->count++;
  s->value += ms;
}

static void
print_histogram (struct buf *out, const struct series *s, const char *labels)
{
  const char *comma = labels[0] ? "," : "";
  uint64_t sum = 0;

  for (size_t i = 0; i <= BOUND_COUNT; i++)
    {
      sum += s->buckets[i];
      buf_printf (out, "%.*s_bucket{%s%sle=\"", (int)s->name_len, s->key,
                  labels, comma);
      if (i < BOUND_COUNT)
        buf_printf (out, "%g\"} %lu\n", bounds_ms[i], sum);
      else
        buf_printf (out, "+Inf\"} %lu\n", sum);
    }
  buf_printf (out, "%.*s_sum{%s} %g\n%.*s_count{%s} %lu\n", (int)s->name_len,
              s->key, labels, s->value, (int)s->name_len, s->key, labels,
              s->count);
}

static int
compare_keys (struct series *a, struct series *b)
{
  return strcmp (a->key, b->key);
}

void
metrics_text (struct buf *out)
{
  HASH_SORT (all_series, compare_keys);
  for (const struct series *s = all_series; s; s = s->hh.next)
    {
      const char *labels = s->key + s->name_len + 1;

      if (s->kind == KIND_HISTOGRAM)
        print_histogram (out, s, labels);
      else if (s->kind == KIND_GAUGE)
        buf_printf (out, "%.*s{%s} %g\n", (int)s->name_len, s->key, labels,
                    s->value);
      else
        buf_printf (out, "%.*s{%s} %lu\n", (int)s->name_len, s->key, labels,
                    s->count);
    }
}

uint64_t
metrics_value (const char *name, struct str labels)
{
  const struct series *s = find_series (name, labels, false, KIND_COUNTER);

  return s ? s->count : 0;
}

void
metrics_reset (void)
{
  struct series *s;
  struct series *next;

  HASH_ITER (hh, all_series, s, next)
  {
    HASH_DEL (all_series, s);
    free (s->key);
    free (s);
  }
}
