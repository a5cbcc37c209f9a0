#pragma once

#include "apierror.h"
#include "attempt.h"
#include "caller.h"
#include "peer.h"
#include "request.h"

/* Shared by request.c (life and answers), reqflow.c (limits, grants, attempts)
   and reqclaim.c (claims of calls that may not be repeated). */

#define EXCLUDED_MAX 8

struct request
{
  struct requests *owner;
  struct caller *caller;
  uv_timer_t timer;
  unsigned refs; /* own life, the timer, and calls without a reply */

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
  bool repeatable;
  uint64_t fingerprint;
  uint64_t prefix_hash;
  uint32_t tokens_max;
  uint64_t begun_ms;
  uint64_t deadline_ms;

  struct attempt *attempt;
  struct str attempt_id;
  struct str target;
  unsigned attempts;
  unsigned failures; /* attempts that may have run */
  bool crash_seen;
  bool granted; /* a grant is held and not released */
  struct str excluded[EXCLUDED_MAX];
  size_t excluded_count;

  bool quota_taken;
  bool claimed;

  bool may_have_run; /* some attempt may have run at its target */
  bool delivering;   /* parts of a stream went to the caller */
  bool answered;     /* the caller has its answer or refusal */
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

uint32_t request_left_ms (const struct request *r);
enum ran request_ran (const struct request *r);
void request_ref (struct request *r);
void request_unref (struct request *r);

/* Ways to end; each answers the caller and releases what the request holds. */
void request_refuse (struct request *r, enum api_error error,
                     uint32_t retry_after_ms, struct str message,
                     const char *step, struct str peer);
void request_answer (struct request *r, int status, struct str content_type,
                     struct str body);
void request_end_stream (struct request *r, bool whole);
/* The caller is gone; nothing is sent. */
void request_abandon (struct request *r);

/* reqflow.c */
void reqflow_begin (struct request *r);
void reqflow_ask_grant (struct request *r);
void reqflow_release (struct request *r, const struct attempt_result *result,
                      enum attempt_outcome outcome);

/* reqclaim.c */
void reqclaim_begin (struct request *r);
void reqclaim_settle (struct request *r, enum settle_state state, int status,
                      struct str content_type, struct str body);
