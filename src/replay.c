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

#define SCHED_TICK_MS 20
#define SECOND_MS 1000
#define GRANT_USE_MS 2000
#define GRANT_HOLD_MS (10 * 60 * 1000)
#define QUEUE_MAX 1024
#define FINGERPRINTS_MAX 65536
#define LIST_FILE_BYTES_MAX (16 * 1024 * 1024)
/* Idle timeout of the naive policy; a common default of serving systems. */
#define NAIVE_IDLE_TIMEOUT_MS (5 * 60 * 1000)

struct options
{
  struct str policy;
  struct str report;
};

static const struct setting options[] = {
  { "policy", "NAME", "real or naive", SETTING_STRING,
    offsetof (struct options, policy), "real", 0, 0 },
  { "report", "FILE", "file to which the report is written", SETTING_STRING,
    offsetof (struct options, report), NULL, 0, 0 },
};
#define OPTION_COUNT (sizeof options / sizeof *options)

/* ---- set-up from the trace ---- */

/* Reads a file whose path is relative to the trace. */
static struct str
read_relative (const char *trace, struct str name)
{
  const char *slash = strrchr (trace, '/');
  struct str path
      = str_printf ("%.*s" STR_FMT, slash ? (int)(slash - trace + 1) : 0,
                    trace, STR_ARG (name));
  FILE *file = fopen (path.data, "re");
  struct buf b = { 0 };
  char chunk[4096];
  size_t n;

  if (!file)
    fprintf (stderr, "galenagate: %s: %s\n", path.data, strerror (errno));
  while (file && b.len < LIST_FILE_BYTES_MAX
         && (n = fread (chunk, 1, sizeof chunk, file)) > 0)
    buf_append (&b, (struct str){ chunk, n });
  if (file)
    fclose (file);
  str_free (&path);
  return (struct str){ b.data, b.len };
}

static int
handle_lists (struct replay *r, const char *path, const struct trace_event *e)
{
  struct str plans = read_relative (path, e->plans);
  struct str uses = read_relative (path, e->uses);
  struct lists_error error = { 0 };
  const int rc
      = r->lists ? -EEXIST : lists_parse (plans, uses, 1, &r->lists, &error);

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
create_models (struct replay *r, struct str service)
{
  r->models = xcalloc (r->lists->model_count, sizeof *r->models);
  for (size_t i = 0; i < r->lists->model_count; i++)
    {
      const struct model *spec = &r->lists->models[i];
      const struct sched_config config = {
        .queue_max = QUEUE_MAX,
        .grant_use_ms = GRANT_USE_MS,
        .grant_hold_ms = GRANT_HOLD_MS,
        .slots = spec->slots,
        .replicas_max = spec->max_replicas,
      };

      if (!str_eq (spec->service, service))
        continue;
      r->models[r->model_count++] = (struct replay_model){
        .spec = spec,
        .sched = sched_create (r->sched_policy, &config, r->crash, 0),
        .max_replicas = spec->max_replicas,
      };
    }
}

static void
create_servers (struct replay *r, const struct trace_event *e)
{
  r->server_count
      = e->servers < REPLAY_SERVERS_MAX ? e->servers : REPLAY_SERVERS_MAX;
  r->servers = xcalloc (r->server_count, sizeof *r->servers);
  for (size_t i = 0; i < r->server_count; i++)
    {
      struct replay_server *s = &r->servers[i];

      snprintf (s->addr, sizeof s->addr, STR_FMT "-%zu", STR_ARG (e->service),
                i);
      s->domain = str_dup (e->domains[i % e->domain_count]);
      s->memory_bytes = e->memory_bytes;
      s->instance = 1;
      s->on_disk = xcalloc (r->model_count, sizeof *s->on_disk);
    }
}

static int
handle_service (struct replay *r, const struct trace_event *e)
{
  const struct service *service
      = r->lists ? lists_service (r->lists, e->service) : NULL;

  if (!service || r->servers)
    {
      fprintf (stderr,
               "galenagate: service '" STR_FMT "' is not valid; allowed: one "
               "engine service of the lists\n",
               STR_ARG (e->service));
      return -EINVAL;
    }
  r->loads_per_s = service->loads_per_s;
  r->loads_at_once = service->loads_at_once;
  r->first_byte_ms = e->first_byte_ms;
  r->token_us = e->token_us;
  r->policy = r->naive ? policy_create_naive (NAIVE_IDLE_TIMEOUT_MS)
                       : policy_create (service->preference);
  create_models (r, e->service);
  create_servers (r, e);
  return 0;
}

/* ---- virtual clock ---- */

static bool
any_request_waiting (const struct replay *r)
{
  for (size_t i = 0; i < r->model_count; i++)
    if (sched_waiting (r->models[i].sched) > 0)
      return true;
  return false;
}

static uint64_t
earlier (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

static void
tick_schedulers (struct replay *r)
{
  for (size_t i = 0; i < r->model_count; i++)
    if (sched_waiting (r->models[i].sched) > 0)
      {
        sched_tick (r->models[i].sched, r->now_ms);
        run_actions (r, &r->models[i]);
      }
}

/* Advances the clock to @until_ms and handles what is due by then. */
static void
advance (struct replay *r, uint64_t until_ms)
{
  for (;;)
    {
      uint64_t next_ms = earlier (run_next_ms (r), load_next_ms (r));

      next_ms = earlier (next_ms, r->next_second_ms);
      if (any_request_waiting (r))
        next_ms = earlier (next_ms, r->now_ms - r->now_ms % SCHED_TICK_MS
                                        + SCHED_TICK_MS);
      if (next_ms > until_ms)
        break;
      r->now_ms = next_ms;
      load_finish_due (r);
      run_finish_due (r);
      tick_schedulers (r);
      if (r->now_ms >= r->next_second_ms)
        {
          replay_adjust_tick (r);
          r->next_second_ms = r->now_ms + SECOND_MS;
        }
      load_start_pending (r);
    }
  r->now_ms = until_ms;
}

/* ---- events ---- */

static struct replay_model *
find_model (struct replay *r, struct str name)
{
  for (size_t i = 0; i < r->model_count; i++)
    if (str_eq (r->models[i].spec->name, name))
      return &r->models[i];
  return NULL;
}

static int
handle_request (struct replay *r, const struct trace_event *e)
{
  struct replay_model *m = find_model (r, e->model);

  if (!m
      || (e->adapter.len > 0
          && load_adapter_index (m->spec, e->adapter) == NO_ADAPTER))
    {
      fprintf (stderr,
               "galenagate: model '" STR_FMT "' adapter '" STR_FMT
               "' is not valid; allowed: a model and adapter of the lists\n",
               STR_ARG (e->model), STR_ARG (e->adapter));
      return -EINVAL;
    }
  struct replay_request *req = run_create_request (r, e);

  req->model = m;
  run_submit (r, req);
  return 0;
}

static void
handle_failure (struct replay *r, const struct trace_event *e)
{
  if (e->server >= r->server_count)
    return;
  r->servers[e->server].up_at_ms = r->now_ms + e->back_ms;
  run_server_lost (r, e->server);
  load_server_lost (r, e->server);
}

static void
handle_edit (struct replay *r, const struct trace_event *e)
{
  struct replay_model *m = find_model (r, e->model);

  if (m && e->max_replicas > 0)
    m->max_replicas = e->max_replicas;
}

static int
handle_event (struct replay *r, const char *path, const struct trace_event *e)
{
  if (e->kind == TRACE_LISTS)
    return handle_lists (r, path, e);
  if (e->kind == TRACE_SERVICE)
    return handle_service (r, e);
  if (!r->servers)
    {
      fprintf (stderr,
               "galenagate: %s: the first events of a trace must be "
               "lists and service\n",
               path);
      return -EINVAL;
    }
  advance (r, e->t_ms);
  int rc = 0;

  if (e->kind == TRACE_REQUEST)
    rc = handle_request (r, e);
  else if (e->kind == TRACE_FAIL)
    handle_failure (r, e);
  else
    handle_edit (r, e);
  load_start_pending (r);
  return rc;
}

/* ---- run ---- */

static void
replay_free (struct replay *r)
{
  while (r->load_requests)
    {
      struct replay_load_request *load = r->load_requests;

      DL_DELETE (r->load_requests, load);
      free (load);
    }
  for (size_t i = 0; i < r->model_count; i++)
    sched_destroy (r->models[i].sched);
  for (size_t i = 0; i < r->server_count; i++)
    {
      str_free (&r->servers[i].domain);
      free (r->servers[i].on_disk);
    }
  free (r->models);
  free (r->servers);
  if (r->policy)
    r->policy->ops->destroy (r->policy);
  if (r->lists)
    lists_destroy (r->lists);
  crash_destroy (r->crash);
  report_destroy (r->report);
}

/* Advances the clock until all requests have ended. */
static void
finish_requests (struct replay *r)
{
  while (r->running || any_request_waiting (r))
    advance (r, r->now_ms + SECOND_MS);
}

int
replay_run (const char *path, bool naive, struct str *out)
{
  struct trace *trace = trace_open (path);
  struct replay r = {
    .sched_policy = naive ? &sched_naive : &sched_real,
    .naive = naive,
    .crash = crash_create (FINGERPRINTS_MAX),
    .report = report_create (),
  };
  struct trace_event e;
  int rc = trace ? 1 : -ENOENT;

  while (rc > 0 && (rc = trace_next (trace, &e)) > 0)
    rc = handle_event (&r, path, &e) == 0 ? 1 : -EINVAL;
  if (rc == 0)
    {
      finish_requests (&r);
      *out = report_json (r.report, naive ? "naive" : "real", &r.counts);
    }
  trace_close (trace);
  replay_free (&r);
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
  int first_argument = 0;
  int rc = EXIT_USAGE;

  if (settings_parse (argc, argv, "Replay a trace with a virtual clock.",
                      "TRACE", options, OPTION_COUNT, &o, &first_argument)
      != 0)
    goto out;
  const bool naive = str_eq (o.policy, STR ("naive"));

  if ((!naive && !str_eq (o.policy, STR ("real")))
      || first_argument != argc - 1)
    {
      fprintf (stderr,
               "galenagate: --policy: '" STR_FMT "' and %d traces are not "
               "valid; allowed: real or naive, and one trace\n",
               STR_ARG (o.policy), argc - first_argument);
      goto out;
    }
  rc = replay_run (argv[first_argument], naive, &report) == 0
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
