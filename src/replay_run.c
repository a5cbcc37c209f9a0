#include <stdlib.h>

#include "err.h"
#include "replay_impl.h"

#define ATTEMPTS_MAX 3

struct job *
run_job (struct world *w, const struct trace_event *e)
{
  const struct class_spec *class = lists_class (w->lists, e->class_name);
  struct job *job = xcalloc (1, sizeof *job);

  job->customer = str_dup (e->customer);
  job->class_name = str_dup (e->class_name);
  job->adapter = str_dup (e->adapter);
  job->id = ++w->last_job;
  job->submitted_ms = w->now_ms;
  job->tokens = e->tokens;
  job->idempotent = e->idempotent;
  job->attempt = 1;
  job->priority = class ? class->priority : 0;
  job->deadline_ms = w->now_ms
                     + (e->deadline_ms ? e->deadline_ms
                        : class        ? class->deadline_ms
                                       : 60000);
  return job;
}

static void
job_end (struct world *w, struct job *job, enum replay_outcome outcome,
         grant_code code)
{
  report_add (w->report, job->customer, job->class_name, outcome, code);
  str_free (&job->customer);
  str_free (&job->class_name);
  str_free (&job->adapter);
  free (job);
}

void
run_submit (struct world *w, struct job *job)
{
  struct replay_model *m = job->model;
  const struct sched_request q = {
    .ctx = job,
    .adapter = job->adapter,
    .priority = job->priority,
    .deadline_ms = job->deadline_ms,
    .fingerprint = job->id,
    .attempt = job->attempt,
    .crash_seen = job->attempt > 1,
  };

  if (job->attempt == 1)
    job->cold = sched_target_count (m->sched) == 0;
  sched_submit (m->sched, &q, w->now_ms);
  run_pump (w, m);
}

static size_t
server_of (const struct world *w, struct str addr)
{
  for (size_t i = 0; i < w->server_count; i++)
    if (str_eq (addr, str_from (w->servers[i].addr)))
      return i;
  return 0;
}

static void
begin (struct world *w, const struct sched_action *a)
{
  struct job *job = a->ctx;

  if (job->cold)
    report_cold (w->report, job->customer, job->class_name,
                 w->now_ms - job->submitted_ms);
  job->cold = false;
  job->grant = a->grant;
  job->server = server_of (w, a->target);
  job->first_byte_ms = w->now_ms + w->first_byte_ms;
  job->end_ms
      = job->first_byte_ms + (uint64_t)job->tokens * w->token_us / 1000;
  job->running = true;
  DL_APPEND (w->running, job);
}

/* A server that dies takes the replicas of other models with it. */
static void
lose (struct world *w, const struct replay_model *m,
      const struct sched_action *a)
{
  for (size_t i = 0; i < w->model_count; i++)
    {
      struct replay_model *other = &w->models[i];

      if (other == m || !other->sched)
        continue;
      sched_lost (other->sched, a->target, a->fence, a->grant, w->now_ms);
      run_pump (w, other);
    }
}

void
run_pump (struct world *w, struct replay_model *m)
{
  struct sched_action a;

  while (sched_next (m->sched, &a))
    switch (a.kind)
      {
      case SCHED_GRANT:
        begin (w, &a);
        break;
      case SCHED_REFUSE:
        job_end (w, a.ctx, REPLAY_REFUSED, a.code);
        break;
      case SCHED_WAKE:
        load_wake (w, (size_t)(m - w->models), &a);
        break;
      case SCHED_LOST:
        lose (w, m, &a);
        break;
      default:
        break;
      }
}

static void
release (struct world *w, struct job *job, attempt_outcome outcome)
{
  const uint64_t begun_ms = job->first_byte_ms - w->first_byte_ms;
  const struct sched_result result = {
    .outcome = outcome,
    .first_byte_ms = w->first_byte_ms,
    .total_ms = (uint32_t)(w->now_ms - begun_ms),
  };

  DL_DELETE (w->running, job);
  job->running = false;
  sched_release (job->model->sched, job->grant, &result, w->now_ms);
}

void
run_step (struct world *w)
{
  struct job *job;
  struct job *next;

  DL_FOREACH_SAFE (w->running, job, next)
  {
    if (w->now_ms < job->end_ms)
      continue;
    struct replay_model *m = job->model;

    release (w, job, ATTEMPT_DONE);
    job_end (w, job,
             job->first_byte_ms <= job->deadline_ms ? REPLAY_IN_TIME
                                                    : REPLAY_LATE,
             GRANT_OK);
    run_pump (w, m);
  }
}

uint64_t
run_next_ms (const struct world *w)
{
  const struct job *job;
  uint64_t next_ms = UINT64_MAX;

  DL_FOREACH (w->running, job)
  {
    if (job->end_ms < next_ms)
      next_ms = job->end_ms;
  }
  return next_ms;
}

/* Ends all attempts on the server before any is made again, as entries do
   that see the loss at the same moment. What has begun to answer, and what
   may run only once, fails. */
void
run_server_lost (struct world *w, size_t server)
{
  struct job *lost = NULL;
  struct job *job;
  struct job *next;

  DL_FOREACH_SAFE (w->running, job, next)
  {
    if (job->server != server)
      continue;
    release (w, job, ATTEMPT_CRASHED);
    DL_APPEND (lost, job);
  }
  for (size_t i = 0; i < w->model_count; i++)
    if (w->models[i].sched)
      run_pump (w, &w->models[i]);
  DL_FOREACH_SAFE (lost, job, next)
  {
    DL_DELETE (lost, job);
    if (!job->idempotent || w->now_ms >= job->first_byte_ms
        || job->attempt == ATTEMPTS_MAX)
      {
        job_end (w, job, REPLAY_FAILED, GRANT_OK);
        continue;
      }
    job->attempt++;
    run_submit (w, job);
  }
}
