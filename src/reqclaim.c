#include "request_impl.h"

#include <errno.h>

#include "claim.h"
#include "claims.h"
#include "kernel.h"
#include "log.h"
#include "settings.h"

#define LOG_MODULE "request"

/* ---- claim ---- */

static void
replay_outcome (struct request *r, const struct claim_res *res)
{
  caller_add_header (r->caller, "x-galenagate-replayed", STR ("true"));
  r->may_have_run = true;
  request_respond (r, (int)res->status, STR_TEXT (res->content_type),
                   STR_BLOB (res->body));
}

static void
refuse_duplicate (struct request *r, const struct claim_res *res)
{
  static const struct
  {
    enum api_error error;
    const char *message;
    uint32_t retry_after_ms;
    bool may_have_run;
  } refusals[] = {
    [CLAIM_RUNNING]
    = { API_CALL_RUNNING, "the call with this key is still running", 1000,
        true },
    [CLAIM_UNKNOWN] = { API_OUTCOME_UNKNOWN,
                        "the call with this key may have run; its outcome is "
                        "not known",
                        0, true },
    [CLAIM_MISMATCH] = { API_IDEMPOTENCY_KEY_REUSED,
                         "the key was used with another request", 0, false },
    [CLAIM_STORE_DOWN]
    = { API_STORE_UNAVAILABLE, "the claim could not be stored", 1000, false },
    [CLAIM_FULL] = { API_UNAVAILABLE, "too many open claims", 1000, false },
  };
  const size_t n = sizeof refusals / sizeof *refusals;

  if ((size_t)res->code >= n || !refusals[res->code].message)
    {
      request_refuse (r, API_UNAVAILABLE, 1000,
                      STR ("unexpected answer to the claim"), "claim",
                      (struct str){ 0 });
      return;
    }
  r->may_have_run = refusals[res->code].may_have_run;
  request_refuse (
      r, refusals[res->code].error, refusals[res->code].retry_after_ms,
      str_from (refusals[res->code].message), "claim", (struct str){ 0 });
}

static void
on_claim (void *ctx, int err, const struct claim_res *res)
{
  struct request *r = ctx;

  if (err == 0 && res->code == CLAIM_GRANTED)
    r->claim_held = true;
  if (r->ended)
    {
      if (r->claim_held)
        reqclaim_settle (r, SETTLE_VOID, 0, (struct str){ 0 },
                         (struct str){ 0 });
    }
  else if (err != 0)
    request_refuse (r, API_STORE_UNAVAILABLE, 1000, str_from (err_str (err)),
                    "claim", (struct str){ 0 });
  else if (r->claim_held)
    reqflow_request_grant (r);
  else if (res->code == CLAIM_DONE)
    replay_outcome (r, res);
  else
    refuse_duplicate (r, res);
  request_unref (r);
}

void
reqclaim_claim (struct request *r)
{
  const struct settings *s = kernel_settings (r->owner->kernel);
  const struct claim_args args = {
    .customer = TEXT_STR (r->customer),
    .key = TEXT_STR (r->key),
    .service = TEXT_STR (r->service),
    .request_id = TEXT_STR (r->id),
    .fingerprint = r->fingerprint,
    .deadline_ms = request_remaining_ms (r),
    .entry = { .addr = TEXT_STR (s->bus_addr),
               .instance = kernel_instance (r->owner->kernel) },
  };

  request_ref (r);
  claims_claim (r->owner->claims, &args, on_claim, r);
}

/* ---- recording the outcome ---- */

static void
on_settled (void *ctx, int err, bool stored)
{
  struct request *r = ctx;

  /* The stored claim stays open; after its deadline the owner reports
     "outcome unknown". */
  if (err != 0 || !stored)
    LOG_ERR ("settle-failed", "request=" STR_FMT " key=\"" STR_FMT "\"",
             STR_ARG (r->id), STR_ARG (r->key));
  request_send_held_response (r);
  request_unref (r);
}

void
reqclaim_settle (struct request *r, enum settle_state state, int status,
                 struct str content_type, struct str body)
{
  const struct str stored_body
      = body.len <= CLAIM_BODY_MAX
            ? body
            : STR ("{\"galenagate\":\"the recorded body was left out\"}\n");
  const struct settle_args args = {
    .customer = TEXT_STR (r->customer),
    .key = TEXT_STR (r->key),
    .request_id = TEXT_STR (r->id),
    .state = state,
    .status = (u_int)status,
    .content_type = TEXT_STR (content_type),
    .body = BLOB_STR (stored_body),
  };

  r->claim_held = false;
  request_ref (r);
  claims_settle (r->owner->claims, &args, on_settled, r);
}
