#include "config_impl.h"

#include <malloc.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "lists.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "config"
#define NOTICE_TTL_MS 60000
#define NOTICE_KEY "config"

/* struct adopt_job - assembly, parsing and check of a revision on a worker
   thread. */
struct adopt_job
{
  uv_work_t work;
  struct config *config;
  struct config_root root;
  struct str root_text;
  struct lists *lists;
  struct lists_error error;
  int rc;
};

static void
gossip_revision (struct config *c)
{
  const struct notice n = {
    .kind = NOTICE_REVISION,
    .key = TEXT_STR (STR (NOTICE_KEY)),
    .value = TEXT_STR (config_own_addr (c)),
    .number = c->revision,
    .ttl_ms = NOTICE_TTL_MS,
  };

  membership_broadcast_notice (c->membership, &n);
}

static void
destroy_lists (void *lists)
{
  lists_destroy (lists);
}

static void
put_in_force (struct config *c, struct adopt_job *j)
{
  const bool already_gossiped
      = c->latest_gossiped && c->latest_revision == j->root.revision;

  config_root_free (&c->root);
  config_root_free (&c->partial_root);
  str_free (&c->root_text);
  c->root = j->root;
  c->root_text = j->root_text;
  j->root = (struct config_root){ 0 };
  j->root_text = (struct str){ 0 };
  c->revision = c->root.revision;
  if (c->latest_revision < c->revision)
    c->latest_revision = c->revision;
  c->fetch_attempts = 0;
  c->confirmed_ms = clock_ms ();
  metrics_set ("galenagate_config_revision", STR (""), (double)c->revision);
  LOG_INFO ("adopted",
            "revision=%lu writer=\"" STR_FMT
            "\" chunks=%zu since_apply_ms=%ld",
            c->revision, STR_ARG (c->root.writer), c->root.chunk_count,
            (long)(clock_wall_ms () - c->root.applied_at_ms));
  kernel_publish (c->kernel, TOPIC_LISTS, j->lists, destroy_lists);
  j->lists = NULL;
  membership_set_revision (c->membership, c->revision);
  /* A notice from one node reaches all nodes; another one would only add
     traffic. */
  if (!already_gossiped)
    gossip_revision (c);
}

static void
reject_revision (struct config *c, const struct adopt_job *j)
{
  c->rejected_revision = j->root.revision;
  metrics_add ("galenagate_config_rejected_total", STR (""), 1);
  LOG_ERR ("rejected",
           "revision=%lu writer=\"" STR_FMT "\" file=" STR_FMT
           " entry=\"" STR_FMT "\" field=" STR_FMT " reason=\"" STR_FMT
           "\" in_force=%lu",
           j->root.revision, STR_ARG (j->root.writer), STR_ARG (j->error.file),
           STR_ARG (j->error.entry), STR_ARG (j->error.field),
           STR_ARG (j->error.reason), c->revision);
}

static void
run_adopt_job (uv_work_t *work)
{
  struct adopt_job *j = work->data;
  json_t *plans = NULL;
  json_t *uses = NULL;

  j->rc = configdoc_assemble (&j->root, &plans, &uses);
  if (j->rc != 0)
    j->error.reason = str_dup (STR ("the chunks do not fit together"));
  else
    j->rc = lists_parse_json (plans, uses, j->root.revision, &j->lists,
                              &j->error);
  json_decref (plans);
  json_decref (uses);
  /* Each worker thread has a malloc arena of its own, which would keep the
     memory used for parsing: 22 MB with 1,100 models and 22,000 adapters. */
  malloc_trim (0);
}

static void
on_adopt_job_done (uv_work_t *work, int status)
{
  struct adopt_job *j = work->data;
  struct config *c = j->config;

  c->adopting = false;
  if (!c->stopped && status == 0)
    {
      if (j->rc != 0)
        reject_revision (c, j);
      else if (j->root.revision > c->revision)
        put_in_force (c, j);
      config_check_ready (c);
      config_fetch_if_due (c);
    }
  lists_destroy (j->lists);
  lists_error_free (&j->error);
  config_root_free (&j->root);
  str_free (&j->root_text);
  free (j);
}

void
config_adopt (struct config *c, struct config_root root, struct str root_text)
{
  struct adopt_job *j = xcalloc (1, sizeof *j);

  j->config = c;
  j->work.data = j;
  j->root = root;
  j->root_text = root_text;
  c->adopting = true;
  uv_queue_work (kernel_loop (c->kernel), &j->work, run_adopt_job,
                 on_adopt_job_done);
}
