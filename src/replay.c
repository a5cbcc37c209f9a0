#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "err.h"
#include "replay.h"
#include "replay_impl.h"
#include "settings.h"

#define TICK_MS 20
#define SECOND_MS 1000
#define USE_MS 2000
#define HOLD_MS (10 * 60 * 1000)
#define QUEUE_MAX 1024
#define FINGERPRINTS_MAX 65536
#define LIST_BYTES_MAX (16 * 1024 * 1024)
/* Idle timeout of the naive policy; a usual default of serving systems. */
#define NAIVE_IDLE_MS (5 * 60 * 1000)

struct options
{
  struct str policy;
  struct str report;
};

static const struct setting options[] = {
  { "policy", "NAME", "real or naive", SETTING_STRING,
    offsetof (struct options, policy), "real", 0, 0 },
  { "report", "FILE", "where the report goes", SETTING_STRING,
    offsetof (struct options, report), NULL, 0, 0 },
};
#define OPTION_COUNT (sizeof options / sizeof *options)

/* ---- set-up from the trace ---- */

static struct str
read_beside (const char *trace, struct str name)
{
  const char *slash = strrchr (trace, '/');
  struct str path
      = str_printf ("%.*s" STR_FMT, slash ? (int)(slash - trace + 1) : 0,
                    trace, STR_ARG (name));
  FILE *file = fopen (path.data, "re");
  struct buf b = { 0 };
  char part[4096];
  size_t n;

  if (!file)
    fprintf (stderr, "galenagate: %s: %s\n", path.data, strerror (errno));
  while (file && b.len < LIST_BYTES_MAX
         && (n = fread (part, 1, sizeof part, file)) > 0)
    buf_append (&b, (struct str){ part, n });
  if (file)
    fclose (file);
  str_free (&path);
  return (struct str){ b.data, b.len };
}

static int
take_lists (struct world *w, const char *path, const struct trace_event *e)
{
  struct str plans = read_beside (path, e->plans);
  struct str uses = read_beside (path, e->uses);
  struct lists_error error = { 0 };
  const int rc
      = w->lists ? -EEXIST : lists_parse (plans, uses, 1, &w->lists, &error);

  if (rc != 0)
    fprintf (stderr,
             "galenagate: " STR_FMT ": " STR_FMT ": " STR_FMT ": " STR_FMT
             "\n",
             STR_ARG (error.file), STR_ARG (error.entry),
             STR_ARG (error.field), STR_ARG (error.reason));
  lists_error_free (&error);
  str_free (&plans);
  str_free (&uses);
  return rc;
}

static void
make_models (struct world *w, struct str service)
{
  w->models = xcalloc (w->lists->model_count, sizeof *w->models);
  for (size_t i = 0; i < w->lists->model_count; i++)
    {
      const struct model *listed = &w->lists->models[i];
      const struct sched_config config = {
        .queue_max = QUEUE_MAX,
        .use_ms = USE_MS,
        .hold_ms = HOLD_MS,
        .slots = listed->slots,
        .replicas_max = listed->max_replicas,
      };

      if (!str_eq (listed->service, service))
        continue;
      w->models[w->model_count++] = (struct replay_model){
        .listed = listed,
        .sched = sched_create (w->sched_policy, &config, w->crash, 0),
        .max_replicas = listed->max_replicas,
      };
    }
}

static void
make_servers (struct world *w, const struct trace_event *e)
{
  w->server_count
      = e->servers < REPLAY_SERVERS_MAX ? e->servers : REPLAY_SERVERS_MAX;
  w->servers = xcalloc (w->server_count, sizeof *w->servers);
  for (size_t i = 0; i < w->server_count; i++)
    {
      struct replay_server *s = &w->servers[i];

      snprintf (s->addr, sizeof s->addr, STR_FMT "-%zu", STR_ARG (e->service),
                i);
      s->domain = str_dup (e->domains[i % e->domain_count]);
      s->memory_bytes = e->memory_bytes;
      s->instance = 1;
      s->on_disk = xcalloc (w->model_count, sizeof *s->on_disk);
    }
}

static int
take_service (struct world *w, const struct trace_event *e)
{
  const struct service *service
      = w->lists ? lists_service (w->lists, e->service) : NULL;

  if (!service || w->servers)
    {
      fprintf (stderr,
               "galenagate: service '" STR_FMT "' is not valid; allowed: one "
               "engine service of the lists\n",
               STR_ARG (e->service));
      return -EINVAL;
    }
  w->loads_per_s = service->loads_per_s;
  w->loads_at_once = service->loads_at_once;
  w->first_byte_ms = e->first_byte_ms;
  w->token_us = e->token_us;
  w->policy = w->naive ? policy_create_naive (NAIVE_IDLE_MS)
                       : policy_create (service->preference);
  make_models (w, e->service);
  make_servers (w, e);
  return 0;
}

/* ---- virtual clock ---- */

static bool
anybody_waits (const struct world *w)
{
  for (size_t i = 0; i < w->model_count; i++)
    if (sched_waiting (w->models[i].sched) > 0)
      return true;
  return false;
}

static uint64_t
earlier (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

static void
tick (struct world *w)
{
  for (size_t i = 0; i < w->model_count; i++)
    if (sched_waiting (w->models[i].sched) > 0)
      {
        sched_tick (w->models[i].sched, w->now_ms);
        run_pump (w, &w->models[i]);
      }
}

/* Lets time pass up to and including @until_ms. */
static void
advance (struct world *w, uint64_t until_ms)
{
  for (;;)
    {
      uint64_t next_ms = earlier (run_next_ms (w), load_next_ms (w));

      next_ms = earlier (next_ms, w->next_second_ms);
      if (anybody_waits (w))
        next_ms = earlier (next_ms, w->now_ms - w->now_ms % TICK_MS + TICK_MS);
      if (next_ms > until_ms)
        break;
      w->now_ms = next_ms;
      load_step (w);
      run_step (w);
      tick (w);
      if (w->now_ms >= w->next_second_ms)
        {
          keep_second (w);
          w->next_second_ms = w->now_ms + SECOND_MS;
        }
      load_pump (w);
    }
  w->now_ms = until_ms;
}

/* ---- events ---- */

static struct replay_model *
model_named (struct world *w, struct str name)
{
  for (size_t i = 0; i < w->model_count; i++)
    if (str_eq (w->models[i].listed->name, name))
      return &w->models[i];
  return NULL;
}

static int
take_request (struct world *w, const struct trace_event *e)
{
  struct replay_model *m = model_named (w, e->model);

  if (!m
      || (e->adapter.len > 0
          && load_adapter_index (m->listed, e->adapter) == MODEL_ITSELF))
    {
      fprintf (stderr,
               "galenagate: model '" STR_FMT "' adapter '" STR_FMT
               "' is not valid; allowed: a model and adapter of the lists\n",
               STR_ARG (e->model), STR_ARG (e->adapter));
      return -EINVAL;
    }
  struct job *job = run_job (w, e);

  job->model = m;
  run_submit (w, job);
  return 0;
}

static void
take_failure (struct world *w, const struct trace_event *e)
{
  if (e->server >= w->server_count)
    return;
  w->servers[e->server].up_ms = w->now_ms + e->back_ms;
  run_server_lost (w, e->server);
  load_server_lost (w, e->server);
}

static void
take_edit (struct world *w, const struct trace_event *e)
{
  struct replay_model *m = model_named (w, e->model);

  if (m && e->max_replicas > 0)
    m->max_replicas = e->max_replicas;
}

static int
take (struct world *w, const char *path, const struct trace_event *e)
{
  if (e->kind == TRACE_LISTS)
    return take_lists (w, path, e);
  if (e->kind == TRACE_SERVICE)
    return take_service (w, e);
  if (!w->servers)
    {
      fprintf (stderr,
               "galenagate: %s: a trace begins with the events lists "
               "and service\n",
               path);
      return -EINVAL;
    }
  advance (w, e->t_ms);
  int rc = 0;

  if (e->kind == TRACE_REQUEST)
    rc = take_request (w, e);
  else if (e->kind == TRACE_FAIL)
    take_failure (w, e);
  else
    take_edit (w, e);
  load_pump (w);
  return rc;
}

/* ---- run ---- */

static void
world_free (struct world *w)
{
  while (w->wakes)
    {
      struct replay_wake *k = w->wakes;

      DL_DELETE (w->wakes, k);
      free (k);
    }
  for (size_t i = 0; i < w->model_count; i++)
    sched_destroy (w->models[i].sched);
  for (size_t i = 0; i < w->server_count; i++)
    {
      str_free (&w->servers[i].domain);
      free (w->servers[i].on_disk);
    }
  free (w->models);
  free (w->servers);
  if (w->policy)
    w->policy->ops->destroy (w->policy);
  if (w->lists)
    lists_destroy (w->lists);
  crash_destroy (w->crash);
  report_destroy (w->report);
}

static void
run_out (struct world *w)
{
  while (w->running || anybody_waits (w))
    advance (w, w->now_ms + SECOND_MS);
}

int
replay_run (const char *path, bool naive, struct str *out)
{
  struct trace *trace = trace_open (path);
  struct world w = {
    .sched_policy = naive ? &sched_naive : &sched_real,
    .naive = naive,
    .crash = crash_create (FINGERPRINTS_MAX),
    .report = report_create (),
  };
  struct trace_event e;
  int rc = trace ? 1 : -ENOENT;

  while (rc > 0 && (rc = trace_next (trace, &e)) > 0)
    rc = take (&w, path, &e) == 0 ? 1 : -EINVAL;
  if (rc == 0)
    {
      run_out (&w);
      *out = report_json (w.report, naive ? "naive" : "real", &w.counts);
    }
  trace_close (trace);
  world_free (&w);
  return rc;
}

static int
write_report (const char *path, struct str text)
{
  FILE *file = fopen (path, "we");
  const bool ok = file && fwrite (text.data, 1, text.len, file) == text.len;

  if (file && fclose (file) == 0 && ok)
    return EXIT_DONE;
  fprintf (stderr, "galenagate: %s: %s\n", path, strerror (errno));
  return EXIT_FAILED;
}

static int
run (int argc, char **argv)
{
  struct options o = { 0 };
  struct str report = { 0 };
  int rest = 0;
  int rc = EXIT_USAGE;

  if (settings_parse (argc, argv, "Replay a trace with a virtual clock.",
                      "TRACE", options, OPTION_COUNT, &o, &rest)
      != 0)
    goto out;
  const bool naive = str_eq (o.policy, STR ("naive"));

  if ((!naive && !str_eq (o.policy, STR ("real"))) || rest != argc - 1)
    {
      fprintf (stderr,
               "galenagate: --policy: '" STR_FMT "' and %d traces are not "
               "valid; allowed: real or naive, and one trace\n",
               STR_ARG (o.policy), argc - rest);
      goto out;
    }
  rc = replay_run (argv[rest], naive, &report) == 0
           ? write_report (o.report.data, report)
           : EXIT_FAILED;

out:
  str_free (&report);
  settings_free (options, OPTION_COUNT, &o);
  return rc;
}

static const struct cli_command command
    = { .name = "replay", .summary = "replay a trace", .run = run };
CLI_COMMAND (command)
