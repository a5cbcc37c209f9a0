#include <stdlib.h>

#include "err.h"
#include "replay_impl.h"

#define ATTEMPTS_MAX 3

struct replay_request *
run_create_request (struct replay *r, const struct trace_event *e)
{
  const struct request_class *class = lists_class (r->lists, e->class_name);
  struct replay_request *req = xcalloc (1, sizeof *req);

  req->customer = str_dup (e->customer);
  req->class_name = str_dup (e->class_name);
  req->adapter = str_dup (e->adapter);
  req->id = ++r->last_request_id;
  req->submitted_ms = r->now_ms;
  req->tokens = e->tokens;
  req->idempotent = e->idempotent;
  req->attempt = 1;
  req->priority = class ? class->priority : 0;
  req->deadline_ms = r->now_ms
                     + (e->deadline_ms ? e->deadline_ms
                        : class        ? class->deadline_ms
                                       : 60000);
  return req;
}

static void
finish_request (struct replay *r, struct replay_request *req,
                enum replay_outcome outcome, grant_code code)
{
  report_add (r->report, req->customer, req->class_name, outcome, code);
  str_free (&req->customer);
  str_free (&req->class_name);
  str_free (&req->adapter);
  free (req);
}

void
run_submit (struct replay *r, struct replay_request *req)
{
  struct replay_model *m = req->model;
  const struct sched_request q = {
    .ctx = req,
    .adapter = req->adapter,
    .priority = req->priority,
    .deadline_ms = req->deadline_ms,
    .fingerprint = req->id,
    .attempt = req->attempt,
    .crash_seen = req->attempt > 1,
  };

  if (req->attempt == 1)
    req->cold = sched_target_count (m->sched) == 0;
  sched_submit (m->sched, &q, r->now_ms);
  run_actions (r, m);
}

static size_t
server_index (const struct replay *r, struct str addr)
{
  for (size_t i = 0; i < r->server_count; i++)
    if (str_eq (addr, str_from (r->servers[i].addr)))
      return i;
  return 0;
}

static void
start_request (struct replay *r, const struct sched_action *a)
{
  struct replay_request *req = a->ctx;

  if (req->cold)
    report_add_cold_start (r->report, req->customer, req->class_name,
                           r->now_ms - req->submitted_ms);
  req->cold = false;
  req->grant = a->grant;
  req->server = server_index (r, a->target);
  req->first_byte_ms = r->now_ms + r->first_byte_ms;
  req->end_ms
      = req->first_byte_ms + (uint64_t)req->tokens * r->token_us / 1000;
  req->running = true;
  DL_APPEND (r->running, req);
}

/* Reports the loss of a server to the schedulers of the other models, which
   lose their replicas there as well. */
static void
report_server_lost (struct replay *r, const struct replay_model *m,
                    const struct sched_action *a)
{
  for (size_t i = 0; i < r->model_count; i++)
    {
      struct replay_model *other = &r->models[i];

      if (other == m || !other->sched)
        continue;
      sched_target_lost (other->sched, a->target, a->fence, a->grant,
                         r->now_ms);
      run_actions (r, other);
    }
}

void
run_actions (struct replay *r, struct replay_model *m)
{
  struct sched_action a;

  while (sched_next (m->sched, &a))
    switch (a.kind)
      {
      case SCHED_GRANT:
        start_request (r, &a);
        break;
      case SCHED_REFUSE:
        finish_request (r, a.ctx, REPLAY_REFUSED, a.code);
        break;
      case SCHED_WAKE:
        load_enqueue (r, (size_t)(m - r->models), &a);
        break;
      case SCHED_TARGET_LOST:
        report_server_lost (r, m, &a);
        break;
      default:
        break;
      }
}

static void
release (struct replay *r, struct replay_request *req, attempt_outcome outcome)
{
  const uint64_t granted_ms = req->first_byte_ms - r->first_byte_ms;
  const struct sched_result result = {
    .outcome = outcome,
    .first_byte_ms = r->first_byte_ms,
    .total_ms = (uint32_t)(r->now_ms - granted_ms),
  };

  DL_DELETE (r->running, req);
  req->running = false;
  sched_release (req->model->sched, req->grant, &result, r->now_ms);
}

void
run_finish_due (struct replay *r)
{
  struct replay_request *req;
  struct replay_request *next;

  DL_FOREACH_SAFE (r->running, req, next)
  {
    if (r->now_ms < req->end_ms)
      continue;
    struct replay_model *m = req->model;

    release (r, req, ATTEMPT_DONE);
    finish_request (r, req,
                    req->first_byte_ms <= req->deadline_ms ? REPLAY_IN_TIME
                                                           : REPLAY_LATE,
                    GRANT_OK);
    run_actions (r, m);
  }
}

uint64_t
run_next_ms (const struct replay *r)
{
  const struct replay_request *req;
  uint64_t next_ms = UINT64_MAX;

  DL_FOREACH (r->running, req)
  {
    if (req->end_ms < next_ms)
      next_ms = req->end_ms;
  }
  return next_ms;
}

/* Ends all attempts on the server before any request is retried, as the
   entries of a cluster do, which all detect the loss at the same moment.
   Requests whose response has begun, that are not idempotent or that had
   ATTEMPTS_MAX attempts fail. */
void
run_server_lost (struct replay *r, size_t server)
{
  struct replay_request *lost = NULL;
  struct replay_request *req;
  struct replay_request *next;

  DL_FOREACH_SAFE (r->running, req, next)
  {
    if (req->server != server)
      continue;
    release (r, req, ATTEMPT_CRASHED);
    DL_APPEND (lost, req);
  }
  for (size_t i = 0; i < r->model_count; i++)
    if (r->models[i].sched)
      run_actions (r, &r->models[i]);
  DL_FOREACH_SAFE (lost, req, next)
  {
    DL_DELETE (lost, req);
    if (!req->idempotent || r->now_ms >= req->first_byte_ms
        || req->attempt == ATTEMPTS_MAX)
      {
        finish_request (r, req, REPLAY_FAILED, GRANT_OK);
        continue;
      }
    req->attempt++;
    run_submit (r, req);
  }
}
