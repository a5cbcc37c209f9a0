#pragma once

#include "apierror.h"
#include "attempt.h"
#include "caller.h"
#include "peer.h"
#include "request.h"

/* Shared by request.c (creation, deadline, responses), reqflow.c (quota,
   grants, attempts) and reqclaim.c (idempotency keys of calls that are not
   safe to retry). */

#define EXCLUDED_MAX 8

/**
 * struct held_response - a response that waits for the storage of its outcome.
 * @send_at_ms: sent at this time even if the outcome is not stored; 0 if no
 *   response is held.
 */
struct held_response
{
  int status;
  struct str content_type;
  struct str body;
  uint64_t send_at_ms;
};

struct request
{
  struct requests *owner;
  struct caller *caller;
  uv_timer_t timer;
  unsigned refs; /* 1 until the request ends, plus pending replies */

  struct str id;
  struct str customer;
  struct str class_name;
  struct str service;
  struct str model;
  struct str model_version;
  struct str adapter;
  struct str method;
  struct str path;
  struct str content_type;
  struct str key; /* Idempotency-Key */
  struct str body;
  enum attempt_kind kind;
  int priority;
  bool retryable;
  uint64_t fingerprint;
  uint64_t prefix_hash;
  uint32_t max_tokens;
  uint64_t started_ms;
  uint64_t deadline_ms;

  struct attempt *attempt;
  struct str attempt_id;
  struct str target;
  unsigned attempts;
  unsigned failed_attempts; /* only those that may have executed */
  bool crash_seen;
  bool grant_held; /* granted and not yet released */
  struct str excluded[EXCLUDED_MAX];
  size_t excluded_count;

  bool quota_granted;
  bool claim_held;
  struct held_response held_response;

  bool may_have_run;   /* an attempt may have executed at its target */
  bool stream_started; /* response headers of a stream were sent */
  bool ended;
  struct request *prev;
  struct request *next;
};

struct requests
{
  struct kernel *kernel;
  struct http *http;
  struct limiter *limiter;
  struct scheduler *scheduler;
  struct claims *claims;
  struct hosts *hosts;
  struct request *open;
  size_t open_count;
  struct str id_prefix;
  uint64_t next_id;
};

uint32_t request_remaining_ms (const struct request *r);
enum ran request_ran (const struct request *r);
void request_ref (struct request *r);
void request_unref (struct request *r);

/* Each of these ends the request: responds to the caller and releases the
   grant, the quota and the claim. With a claim, request_respond() first waits
   until the outcome is stored. */
void request_refuse (struct request *r, enum api_error error,
                     uint32_t retry_after_ms, struct str message,
                     const char *step, struct str peer);
void request_respond (struct request *r, int status, struct str content_type,
                      struct str body);
void request_end_stream (struct request *r, bool complete);
/* Sends the response that waits for its outcome, if there is one. */
void request_send_held_response (struct request *r);
/* Ends a request whose caller has disconnected. */
void request_abandon (struct request *r);

/* reqflow.c */
void reqflow_start (struct request *r);
void reqflow_request_grant (struct request *r);
void reqflow_release (struct request *r, const struct attempt_result *result,
                      enum attempt_outcome outcome);

/* reqclaim.c */
void reqclaim_claim (struct request *r);
void reqclaim_settle (struct request *r, enum settle_state state, int status,
                      struct str content_type, struct str body);
