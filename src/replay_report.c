#include "replay_report.h"

#include <stdlib.h>

#include <jansson.h>
#include <uthash.h>

#include "err.h"

#define REASON_COUNT 8
#define HOUR_MS 3600000.0

static const char *const reason_names[REASON_COUNT]
    = { "ok",          "deadline",     "queue-full",  "no-capacity",
        "quarantined", "retry-budget", "unavailable", "draining" };

struct group
{
  struct str name; /* customer and class, separated by a blank */
  uint64_t outcomes[REPLAY_REFUSED + 1];
  uint64_t refusals[REASON_COUNT];
  uint64_t *cold_ms;
  size_t cold_count;
  size_t cold_cap;
  UT_hash_handle hh;
};

struct replay_report
{
  struct group total;
  struct group *groups;
};

struct replay_report *
report_create (void)
{
  return xcalloc (1, sizeof (struct replay_report));
}

void
report_destroy (struct replay_report *r)
{
  struct group *g;
  struct group *next;

  HASH_ITER (hh, r->groups, g, next)
  {
    HASH_DEL (r->groups, g);
    str_free (&g->name);
    free (g->cold_ms);
    free (g);
  }
  free (r->total.cold_ms);
  free (r);
}

static struct group *
find_or_add_group (struct replay_report *r, struct str customer,
                   struct str class_name)
{
  struct str name = str_printf (STR_FMT " " STR_FMT, STR_ARG (customer),
                                STR_ARG (class_name));
  struct group *g;

  HASH_FIND (hh, r->groups, name.data, name.len, g);
  if (g)
    {
      str_free (&name);
      return g;
    }
  g = xcalloc (1, sizeof *g);
  g->name = name;
  HASH_ADD_KEYPTR (hh, r->groups, name.data, name.len, g);
  return g;
}

static void
count_outcome (struct group *g, enum replay_outcome outcome, grant_code code)
{
  g->outcomes[outcome]++;
  if (outcome == REPLAY_REFUSED && (size_t)code < REASON_COUNT)
    g->refusals[code]++;
}

void
report_add (struct replay_report *r, struct str customer,
            struct str class_name, enum replay_outcome outcome,
            grant_code code)
{
  count_outcome (&r->total, outcome, code);
  count_outcome (find_or_add_group (r, customer, class_name), outcome, code);
}

static void
add_cold_start (struct group *g, uint64_t ms)
{
  if (g->cold_count == g->cold_cap)
    {
      g->cold_cap = g->cold_cap ? g->cold_cap * 2 : 64;
      g->cold_ms = xrealloc (g->cold_ms, g->cold_cap * sizeof *g->cold_ms);
    }
  g->cold_ms[g->cold_count++] = ms;
}

void
report_add_cold_start (struct replay_report *r, struct str customer,
                       struct str class_name, uint64_t ms)
{
  add_cold_start (&r->total, ms);
  add_cold_start (find_or_add_group (r, customer, class_name), ms);
}

/* ---- output ---- */

static int
compare_values (const void *a, const void *b)
{
  const uint64_t x = *(const uint64_t *)a;
  const uint64_t y = *(const uint64_t *)b;

  return (x > y) - (x < y);
}

/* Returns a percentile by nearest rank, in ms, over the cold starts and
   @warm_count requests that waited 0 ms. @thousandths is 990 for the 99th
   percentile. */
static json_t *
percentile (const struct group *g, uint64_t warm_count, size_t thousandths)
{
  const uint64_t rank
      = ((warm_count + g->cold_count) * thousandths + 999) / 1000;

  return json_integer (
      rank > warm_count ? (json_int_t)g->cold_ms[rank - warm_count - 1] : 0);
}

static json_t *
cold_json (const struct group *g, uint64_t requests)
{
  const uint64_t warm_count = requests - g->cold_count;
  json_t *o = json_object ();

  if (g->cold_count > 0)
    qsort (g->cold_ms, g->cold_count, sizeof *g->cold_ms, compare_values);
  json_object_set_new (o, "count", json_integer ((json_int_t)g->cold_count));
  json_object_set_new (o, "p50_ms", percentile (g, 0, 500));
  json_object_set_new (o, "p99_ms", percentile (g, 0, 990));
  json_object_set_new (o, "p99_9_ms", percentile (g, 0, 999));
  json_object_set_new (o, "p99_of_all_ms", percentile (g, warm_count, 990));
  json_object_set_new (o, "p99_9_of_all_ms", percentile (g, warm_count, 999));
  return o;
}

static json_t *
group_json (const struct group *g)
{
  static const char *const names[]
      = { "in_time", "late", "failed", "refused" };
  json_t *o = json_object ();
  json_t *refusals = json_object ();
  uint64_t requests = 0;

  for (size_t i = 0; i <= REPLAY_REFUSED; i++)
    {
      requests += g->outcomes[i];
      json_object_set_new (o, names[i],
                           json_integer ((json_int_t)g->outcomes[i]));
    }
  for (size_t i = 0; i < REASON_COUNT; i++)
    if (g->refusals[i] > 0)
      json_object_set_new (refusals, reason_names[i],
                           json_integer ((json_int_t)g->refusals[i]));
  json_object_set_new (o, "requests", json_integer ((json_int_t)requests));
  json_object_set_new (o, "refusals", refusals);
  json_object_set_new (o, "cold_start", cold_json (g, requests));
  return o;
}

struct str
report_json (const struct replay_report *r, const char *policy,
             const struct replay_counts *c)
{
  json_t *o = json_object ();
  json_t *groups = json_object ();

  for (const struct group *g = r->groups; g; g = g->hh.next)
    json_object_set_new (groups, g->name.data, group_json (g));
  json_object_set_new (o, "policy", json_string (policy));
  json_object_set_new (o, "total", group_json (&r->total));
  json_object_set_new (o, "by_customer_and_class", groups);
  json_object_set_new (o, "loads", json_integer ((json_int_t)c->loads));
  json_object_set_new (o, "adapter_loads",
                       json_integer ((json_int_t)c->adapter_loads));
  json_object_set_new (o, "evictions",
                       json_integer ((json_int_t)c->evictions));
  json_object_set_new (o, "unloads", json_integer ((json_int_t)c->unloads));
  json_object_set_new (o, "staging_loads",
                       json_integer ((json_int_t)c->staging_loads));
  json_object_set_new (o, "staging_load_hours",
                       json_real ((double)c->staging_ms / HOUR_MS));
  json_object_set_new (o, "idle_accelerator_hours",
                       json_real ((double)c->idle_ms / HOUR_MS));
  char *text = json_dumps (o, JSON_INDENT (1) | JSON_SORT_KEYS
                                  | JSON_REAL_PRECISION (6));
  struct str out = str_printf ("%s\n", text);

  free (text);
  json_decref (o);
  return out;
}
