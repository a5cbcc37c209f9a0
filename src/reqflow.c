#include "request_impl.h"

#include <errno.h>

#include "clock.h"
#include "hosts.h"
#include "limiter.h"
#include "log.h"
#include "scheduler.h"

#define LOG_MODULE "request"
/* Limit of failed attempts that may have executed at their target. Attempts
   that certainly did not execute are limited by the deadline and
   ATTEMPTS_MAX, and paced by the scheduler. */
#define FAILED_ATTEMPTS_MAX 3
#define ATTEMPTS_MAX 100

/* ---- quota ---- */

static void
on_quota (void *ctx, int err, struct str hint, const void *result)
{
  struct request *r = ctx;
  const struct quota_res *res = result;

  (void)hint;
  if (err == 0 && res->granted > 0)
    r->quota_granted = true;
  if (r->ended)
    {
      if (r->quota_granted)
        limiter_finish (r->owner->limiter, r->customer, r->id);
    }
  else if (err != 0)
    request_refuse (r, API_UNAVAILABLE, 1000,
                    STR ("no node could check the plan's limits"), "quota",
                    (struct str){ 0 });
  else if (!r->quota_granted)
    request_refuse (r, API_PLAN_LIMIT, res->retry_after_ms,
                    STR_TEXT (res->detail), "quota", (struct str){ 0 });
  else if (r->key.len > 0 && !r->retryable)
    reqclaim_claim (r);
  else
    reqflow_request_grant (r);
  request_unref (r);
}

void
reqflow_start (struct request *r)
{
  request_ref (r);
  limiter_take (r->owner->limiter, r->customer, r->id,
                request_remaining_ms (r), on_quota, r);
}

/* ---- attempts ---- */

static const enum api_error grant_errors[] = {
  [GRANT_DEADLINE] = API_CANNOT_MEET_DEADLINE,
  [GRANT_QUEUE_FULL] = API_QUEUE_FULL,
  [GRANT_NO_CAPACITY] = API_NO_CAPACITY,
  [GRANT_QUARANTINED] = API_QUARANTINED,
  [GRANT_RETRY_BUDGET] = API_UNAVAILABLE,
  [GRANT_UNAVAILABLE] = API_UNAVAILABLE,
  [GRANT_DRAINING] = API_UNAVAILABLE,
};

void
reqflow_release (struct request *r, const struct attempt_result *result,
                 enum attempt_outcome outcome)
{
  if (!r->grant_held)
    return;
  r->grant_held = false;
  const struct release_args args = {
    .attempt_id = TEXT_STR (r->attempt_id),
    .service = TEXT_STR (r->service),
    .model = TEXT_STR (r->model),
    .model_version = TEXT_STR (r->model_version),
    .adapter = TEXT_STR (r->adapter),
    .target = TEXT_STR (r->target),
    .outcome = outcome,
    .fingerprint = r->fingerprint,
    .first_byte_ms = result ? result->first_byte_ms : 0,
    .total_ms = result ? result->total_ms : 0,
    .tokens = result ? result->tokens : 0,
  };
  scheduler_release (r->owner->scheduler, &args);
}

static void
exclude_target (struct request *r)
{
  if (r->excluded_count < EXCLUDED_MAX)
    r->excluded[r->excluded_count++] = str_dup (r->target);
}

/* Handles an attempt whose target certainly did not execute the request. */
static void
handle_not_run (struct request *r, const struct attempt_result *result)
{
  if (result->outcome == ATTEMPT_LEAVING)
    hosts_mark_leaving (r->owner->hosts, r->target);
  if (result->outcome != ATTEMPT_NOT_LOADED)
    exclude_target (r);
  if (r->attempts < ATTEMPTS_MAX)
    reqflow_request_grant (r);
  else
    request_refuse (r, API_UNAVAILABLE, 1000,
                    STR ("the targets did not take the request"),
                    result->err.step, r->target);
}

/* Handles a failed attempt whose target may have executed the request. */
static void
handle_may_have_run (struct request *r, const struct attempt_result *result)
{
  r->may_have_run = true;
  r->crash_seen = r->crash_seen || result->outcome == ATTEMPT_CRASHED;
  if (r->stream_started)
    {
      request_end_stream (r, false);
      return;
    }
  exclude_target (r);
  if (r->retryable && ++r->failed_attempts < FAILED_ATTEMPTS_MAX)
    reqflow_request_grant (r);
  else
    request_refuse (r, API_TARGET_FAILED, 0,
                    STR ("the target failed while it had the request"),
                    result->err.step, r->target);
}

static void
on_attempt_done (void *ctx, const struct attempt_result *result)
{
  struct request *r = ctx;

  r->attempt = NULL;
  LOG_INFO ("attempt",
            "request=" STR_FMT " attempt=" STR_FMT " target=" STR_FMT
            " outcome=%d status=%d sent=%d ms=%u " LOG_E_FMT,
            STR_ARG (r->id), STR_ARG (r->attempt_id), STR_ARG (r->target),
            result->outcome, result->status, result->sent, result->total_ms,
            LOG_E_ARG (result->err));
  reqflow_release (r, result, result->outcome);
  switch (result->outcome)
    {
    case ATTEMPT_DONE:
      if (r->kind == ATTEMPT_KIND_STREAM)
        request_end_stream (r, true);
      else
        request_respond (r, result->status, result->content_type,
                         result->body);
      return;
    case ATTEMPT_UNUSED:
      request_abandon (r);
      return;
    case ATTEMPT_NOT_RUN:
    case ATTEMPT_NOT_LOADED:
    case ATTEMPT_LEAVING:
      handle_not_run (r, result);
      return;
    default:
      handle_may_have_run (r, result);
      return;
    }
}

static bool
on_stream_events (void *ctx, struct str events)
{
  struct request *r = ctx;

  if (!r->stream_started)
    {
      r->stream_started = true;
      caller_add_header (r->caller, "x-galenagate-ran", STR ("yes"));
      caller_add_header (r->caller, "x-request-id", r->id);
      caller_start_response (r->caller, 200, STR ("text/event-stream"));
    }
  return caller_write (r->caller, events);
}

static bool
is_caller_connected (void *ctx)
{
  const struct request *r = ctx;

  return !caller_disconnected (r->caller);
}

static const struct attempt_events attempt_events
    = { .may_send = is_caller_connected,
        .stream_events = on_stream_events,
        .done = on_attempt_done };

static void
start_attempt (struct request *r, const struct grant_res *grant)
{
  str_free (&r->attempt_id);
  str_free (&r->target);
  r->attempt_id = str_dup (STR_TEXT (grant->attempt_id));
  r->target = str_dup (STR_TEXT (grant->target));
  r->grant_held = true;
  if (caller_disconnected (r->caller))
    {
      reqflow_release (r, NULL, ATTEMPT_UNUSED);
      request_abandon (r);
      return;
    }
  r->attempts++;
  const struct attempt_spec spec = {
    .kind = r->kind,
    .target = r->target,
    .id = r->attempt_id,
    .request_id = r->id,
    .method = r->method,
    .path = r->path,
    .content_type = r->content_type,
    .idempotency_key = r->key,
    .body = r->body,
    .priority = r->priority,
    .total_ms = request_remaining_ms (r),
    .retryable = r->retryable,
    .is_retry = r->attempts > 1,
  };
  r->attempt = attempt_start (r->owner->http, kernel_loop (r->owner->kernel),
                              &spec, &attempt_events, r);
}

/* ---- grants ---- */

/* Releases a grant that arrived after the request ended. */
static void
return_grant (struct request *r, const struct grant_res *res)
{
  const struct release_args args = {
    .attempt_id = res->attempt_id,
    .service = TEXT_STR (r->service),
    .model = TEXT_STR (r->model),
    .model_version = TEXT_STR (r->model_version),
    .adapter = TEXT_STR (r->adapter),
    .target = res->target,
    .outcome = ATTEMPT_UNUSED,
    .fingerprint = r->fingerprint,
  };

  scheduler_release (r->owner->scheduler, &args);
}

/* When the retry budget is exhausted, reports the failure of the last attempt
   instead of the refused grant. */
static void
handle_refused_grant (struct request *r, const struct grant_res *res)
{
  const size_t n = sizeof grant_errors / sizeof *grant_errors;
  enum api_error error = API_UNAVAILABLE;

  if ((size_t)res->code < n)
    error = grant_errors[res->code];
  if (r->may_have_run && res->code == GRANT_RETRY_BUDGET)
    error = API_TARGET_FAILED;
  request_refuse (r, error, res->retry_after_ms, STR_TEXT (res->detail),
                  error == API_TARGET_FAILED ? "attempt" : "grant",
                  error == API_TARGET_FAILED ? r->target : (struct str){ 0 });
}

static void
on_grant (void *ctx, int err, struct str hint, const void *result)
{
  struct request *r = ctx;
  const struct grant_res *res = result;

  (void)hint;
  if (r->ended)
    {
      if (err == 0 && res->code == GRANT_OK)
        return_grant (r, res);
    }
  else if (err != 0)
    request_refuse (r, API_UNAVAILABLE, 1000, str_from (err_str (err)),
                    "grant", (struct str){ 0 });
  else if (res->code != GRANT_OK)
    handle_refused_grant (r, res);
  else
    start_attempt (r, res);
  request_unref (r);
}

void
reqflow_request_grant (struct request *r)
{
  struct grant_args args = {
    .request_id = TEXT_STR (r->id),
    .customer = TEXT_STR (r->customer),
    .class_name = TEXT_STR (r->class_name),
    .service = TEXT_STR (r->service),
    .model = TEXT_STR (r->model),
    .model_version = TEXT_STR (r->model_version),
    .adapter = TEXT_STR (r->adapter),
    .priority = r->priority,
    .deadline_ms = request_remaining_ms (r),
    .fingerprint = r->fingerprint,
    .prefix_hash = r->prefix_hash,
    .tokens_estimate = r->max_tokens,
    .attempt = r->attempts + 1,
    .crash_seen = r->crash_seen,
  };
  text excluded[EXCLUDED_MAX];

  for (size_t i = 0; i < r->excluded_count; i++)
    excluded[i] = TEXT_STR (r->excluded[i]);
  args.excluded.excluded_len = (u_int)r->excluded_count;
  args.excluded.excluded_val = excluded;
  request_ref (r);
  scheduler_grant (r->owner->scheduler, &args, on_grant, r);
}
