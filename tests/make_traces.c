#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "lists.h"
#include "random.h"

/* Generates the traces in tests/traces; run by `make traces`. Usage:
   make_traces titlovi|magnolia day|burst LISTS-DIRECTORY >TRACE. The seed is
   fixed, so that the output is the same on each run. */

#define MINUTE_MS 60000ULL
#define HOUR_MS 3600000ULL
#define EVENTS_MAX 16384

struct event
{
  uint64_t t_ms;
  const struct customer *customer; /* NULL for a server failure or an edit */
  const struct model *model;
  const struct adapter *adapter;
  unsigned tokens;
  unsigned server;
  unsigned back_ms;
  unsigned max_replicas;
  bool non_idempotent;
};

static struct event events[EVENTS_MAX];
static size_t event_count;
static struct lists *lists;
static uint64_t random_state = 20260117;

static uint64_t
random_below (uint64_t below)
{
  return random_next (&random_state) % below;
}

/* Returns a random time in ms with a roughly exponential distribution. */
static uint64_t
random_gap_ms (uint64_t mean_ms)
{
  const uint64_t value = random_below (1000) + 1;
  uint64_t ms = 0;

  for (uint64_t x = value; x < 1000; x = x * 2)
    ms += mean_ms * 7 / 10;
  return ms + random_below (mean_ms / 2 + 1);
}

static struct event *
add_event (uint64_t t_ms)
{
  if (event_count == EVENTS_MAX)
    abort ();
  events[event_count].t_ms = t_ms;
  return &events[event_count++];
}

/* Adds requests of one customer to one model, with random gaps around
   @mean_ms. */
static void
add_session (const struct customer *c, const struct model *m, uint64_t from_ms,
             uint64_t until_ms, uint64_t mean_ms, unsigned tokens,
             unsigned non_idempotent_percent)
{
  const struct adapter *a = m->adapter_count > 0 && random_below (3) > 0
                                ? &m->adapters[random_below (m->adapter_count)]
                                : NULL;

  for (uint64_t t = from_ms; t < until_ms; t += 1 + random_gap_ms (mean_ms))
    {
      struct event *e = add_event (t);

      e->customer = c;
      e->model = m;
      e->adapter = a;
      e->tokens = tokens / 2 + (unsigned)random_below (tokens);
      e->non_idempotent = random_below (100) < non_idempotent_percent;
    }
}

static const struct model *
random_model (const struct customer *c)
{
  for (;;)
    {
      const struct model *m
          = &lists->models[random_below (lists->model_count)];

      if (lists_model_use (lists, c->plan, m->name, (struct str){ 0 }))
        return m;
    }
}

/* Returns 2 (urgent) for customers of the first plan of the list, 0 (patient)
   for those of the last plan and 1 for all others. */
static int
urgency (const struct customer *c)
{
  if (str_eq (c->plan, lists->plans[0].name))
    return 2;
  return str_eq (c->plan, lists->plans[lists->plan_count - 1].name) ? 0 : 1;
}

static void
add_server_failure (uint64_t t_ms, unsigned server, unsigned back_ms)
{
  struct event *e = add_event (t_ms);

  e->server = server;
  e->back_ms = back_ms;
}

/* Urgent customers of titlovi, opera houses, have one long session in the
   evening. All other sessions are spread over the day. */
static void
generate_day (bool titlovi)
{
  for (size_t i = 0; i < lists->customer_count; i++)
    {
      const struct customer *c = &lists->customers[i];
      const int urgent = urgency (c);
      const unsigned sessions = urgent == 2 ? (titlovi ? 1 : 10) : 10;

      for (unsigned n = 0; n < sessions; n++)
        {
          const uint64_t evening
              = 19 * HOUR_MS + random_below (40) * MINUTE_MS;
          const uint64_t daytime
              = 8 * HOUR_MS + random_below (9 * 60) * MINUTE_MS;
          const uint64_t from_ms = titlovi && urgent == 2 ? evening : daytime;

          if (urgent == 2 && titlovi)
            add_session (c, random_model (c), from_ms,
                         from_ms + 150 * MINUTE_MS, 15000, 24, 0);
          else if (urgent == 2)
            add_session (c, random_model (c), from_ms,
                         from_ms + 25 * MINUTE_MS, 25000, 150, 0);
          else
            add_session (c, random_model (c), from_ms,
                         from_ms + 20 * MINUTE_MS, urgent == 1 ? 20000 : 60000,
                         urgent == 1 ? 80 : 900, 3);
        }
    }
  struct event *e = add_event (14 * HOUR_MS);

  e->model = &lists->models[0];
  e->max_replicas = 2;
  add_server_failure (20 * HOUR_MS, 1, 4 * (unsigned)MINUTE_MS);
}

/* All customers start within two seconds of each other after almost two quiet
   hours. One server fails 3 s after the start, and another one after 5
   minutes.
 */
static void
generate_burst (void)
{
  const uint64_t start_ms = 2 * HOUR_MS;

  add_session (&lists->customers[lists->customer_count - 1],
               random_model (&lists->customers[lists->customer_count - 1]),
               5 * MINUTE_MS, 12 * MINUTE_MS, 30000, 400, 0);
  for (size_t i = 0; i < lists->customer_count; i++)
    {
      const struct customer *c = &lists->customers[i];

      for (unsigned n = 0; n < 3; n++)
        {
          const uint64_t from_ms = start_ms + random_below (2000);
          const struct model *m = random_model (c);

          add_session (c, m, from_ms, from_ms + 4000, 150, 30, 2);
          add_session (c, m, from_ms + 4000, from_ms + 8 * MINUTE_MS, 12000,
                       urgency (c) == 0 ? 900 : 60, 2);
        }
    }
  add_server_failure (start_ms + 3000, 0, 90000);
  add_server_failure (start_ms + 5 * MINUTE_MS, 2, 90000);
}

static int
by_time (const void *a, const void *b)
{
  const struct event *x = a;
  const struct event *y = b;

  if (x->t_ms != y->t_ms)
    return x->t_ms < y->t_ms ? -1 : 1;
  return x->model < y->model ? -1 : x->model > y->model;
}

static void
print_request (const struct event *e)
{
  const struct use *use = lists_model_use (lists, e->customer->plan,
                                           e->model->name, (struct str){ 0 });

  printf ("{\"t_ms\":%lu,\"customer\":\"" STR_FMT "\",\"class\":\"" STR_FMT
          "\",\"model\":\"" STR_FMT "\"",
          e->t_ms, STR_ARG (e->customer->name), STR_ARG (use->class_name),
          STR_ARG (e->model->name));
  if (e->adapter)
    printf (",\"adapter\":\"" STR_FMT "\"", STR_ARG (e->adapter->name));
  printf (",\"tokens\":%u%s}\n", e->tokens,
          e->non_idempotent ? ",\"idempotent\":false" : "");
}

static void
print_event (const struct event *e)
{
  if (e->customer)
    print_request (e);
  else if (e->model)
    printf ("{\"t_ms\":%lu,\"event\":\"edit\",\"model\":\"" STR_FMT
            "\",\"max_replicas\":%u}\n",
            e->t_ms, STR_ARG (e->model->name), e->max_replicas);
  else
    printf ("{\"t_ms\":%lu,\"event\":\"fail\",\"server\":%u,\"back_ms\":%u}\n",
            e->t_ms, e->server, e->back_ms);
}

static struct str
read_file (const char *directory, const char *name)
{
  struct str path = str_printf ("%s/%s", directory, name);
  FILE *file = fopen (path.data, "re");
  struct buf b = { 0 };
  char chunk[4096];
  size_t n;

  while (file && (n = fread (chunk, 1, sizeof chunk, file)) > 0)
    buf_append (&b, (struct str){ chunk, n });
  if (file)
    fclose (file);
  str_free (&path);
  return (struct str){ b.data, b.len };
}

int
main (int argc, char **argv)
{
  struct lists_error error = { 0 };

  if (argc != 4)
    return 2;
  const bool titlovi = strcmp (argv[1], "titlovi") == 0;
  struct str plans = read_file (argv[3], "plans.json");
  struct str uses = read_file (argv[3], "uses.json");

  if (lists_parse (plans, uses, 1, &lists, &error) != 0)
    return 1;
  if (strcmp (argv[2], "day") == 0)
    generate_day (titlovi);
  else
    generate_burst ();
  qsort (events, event_count, sizeof *events, by_time);
  printf ("{\"event\":\"lists\",\"plans\":\"../lists/%s/plans.json\","
          "\"uses\":\"../lists/%s/uses.json\"}\n",
          argv[1], argv[1]);
  printf ("{\"event\":\"service\",\"service\":\"%s\",\"servers\":%d,"
          "\"domains\":%s,\"memory_bytes\":40000000000,"
          "\"first_byte_ms\":180,\"token_us\":12000}\n",
          titlovi ? "libreto-lm" : "parlor", titlovi ? 9 : 12,
          titlovi ? "[\"split-a\",\"rijeka-b\",\"zadar-c\"]"
                  : "[\"gulf-a\",\"gulf-b\",\"gulf-c\"]");
  for (size_t i = 0; i < event_count; i++)
    print_event (&events[i]);
  lists_destroy (lists);
  str_free (&plans);
  str_free (&uses);
  return 0;
}
