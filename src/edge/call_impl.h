#pragma once

/* Parts of the life of a call; included by edge/call*.c only. */

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "caller.h"
#include "edge/calls.h"
#include "edge/demand.h"
#include "edge/edge.h"
#include "edge/forward.h"
#include "edge/pool.h"
#include "edge/retries.h"
#include "edge/site.h"
#include "platform/callheaders.h"

#define CALL_FIELDS_MAX 110
/* An attempt is not begun with less time left than this: no server answers so
   fast, and the answer would come late. */
#define ATTEMPT_MIN_MS 20

/* Retry budget of a service. */
struct service_retries
{
  struct str service;
  struct retries retries;
  UT_hash_handle hh;
};

/**
 * struct calls - all calls of this node.
 * @first: calls in the order of their arrival.
 */
struct calls
{
  struct kernel *kernel;
  struct site *site;
  struct http *http;
  uv_loop_t *loop;
  uv_timer_t wait_timer;
  uv_timer_t left_timer;
  struct call *first;
  struct call *last;
  size_t open;
  struct retries_limits retry_limits;
  struct service_retries *retries;
  uint64_t random;
  uint64_t left_due_ms;  /* next tick of left_timer */
  uint64_t last_wait_ms; /* no call waits beyond; UINT64_MAX until a drain */
};

/* How a call ended, for logs and counters. */
enum call_end
{
  CALL_SERVED,
  CALL_FAILED,  /* a server's own failure was passed on */
  CALL_REFUSED, /* not run */
  CALL_UNKNOWN, /* may have run; no answer */
  CALL_CUT,     /* the answer was broken off */
  CALL_LEFT,    /* the client left */
  CALL_DENIED,  /* not a call that the configuration allows */
};

/**
 * struct call - one client attempt. Its strings point into h2o's request,
 * which outlives it, except those marked as own.
 * @route_name, @service: own copies.
 * @end_ms: the client has its answer by then.
 * @wait_end_ms: a call that was not sent by then is refused.
 * @runs: attempts that may have run.
 * @bounces: attempts that certainly did not run.
 * @waiting: no attempt is under way.
 */
struct call
{
  struct calls *calls;
  struct call *prev;
  struct call *next;
  struct caller *caller;
  uv_timer_t timer;
  struct http_field fields[CALL_FIELDS_MAX];
  size_t field_count;
  struct call_meta meta;
  struct str method;
  struct str target;
  struct str body;
  uint64_t fingerprint; /* the same when a client sends it again */
  struct str route_name;
  struct str service;
  uint64_t config; /* version that routed the call; 0 for none */
  enum call_kind kind;
  uint32_t target_ms;
  uint32_t event_gap_ms;
  uint32_t max_attempts;
  uint32_t priority;
  bool resumable;
  uint64_t begun_ms;
  uint64_t end_ms;
  uint64_t wait_end_ms;
  uint64_t deadline_end_ms; /* when the client stops waiting */
  uint32_t runs;
  uint32_t bounces;
  bool counted;     /* as a first call to the service */
  bool arrived;     /* an attempt before may have reached a server */
  bool from_budget; /* the attempt under way is one of the retry budget */
  bool waiting;
  enum pool_verdict verdict; /* why it waits */
  bool answer_begun;
  uint64_t last_event;
  char last_event_text[24];
  struct forward *forward;
  struct pool_server *server; /* of the attempt under way */
  struct pool_server *avoid;
  uint64_t avoid_until_ms;
  uint64_t sent_ms;
  uint64_t first_ms; /* when the answer began */
  uint64_t part_ms;  /* when the newest event came */
  uint64_t gap_ms;   /* longest pause between two events */
  struct demand_item *demand_model;
  struct demand_item *demand_adapter;
};

/* Fields of a call that its log lines begin with. */
#define CALL_LOG_FMT                                                          \
  "id=" STR_FMT " route=" STR_FMT " service=" STR_FMT " model=" STR_FMT       \
  " adapter=" STR_FMT
#define CALL_LOG_ARG(c)                                                       \
  STR_ARG ((c)->meta.id), STR_ARG ((c)->route_name), STR_ARG ((c)->service),  \
      STR_ARG ((c)->meta.model), STR_ARG ((c)->meta.adapter)

/* ---- call_send.c ---- */

/** call_proceed() - choose a server and send, or wait, or refuse. */
void call_proceed (struct call *call);
/** call_give_up() - end a call that has no attempt under way: refuse it if it
 * has not run. */
void call_give_up (struct call *call, uint32_t retry_after_ms,
                   const char *reason);
/** call_abandon() - end the attempt under way, if there is one. */
void call_abandon (struct call *call);

/* ---- call_answer.c ---- */

/** call_refuse() - the call has not run: 503 and when to come back. */
void call_refuse (struct call *call, uint32_t retry_after_ms,
                  const char *reason);
/** call_fail() - the call may have run: 502 or 504, or a visible cut. */
void call_fail (struct call *call, int status, const char *reason);
/** call_deny() - not a call that can be served. */
void call_deny (struct call *call, int status, const char *reason);
/** call_relay() - pass a server's whole answer on. */
void call_relay (struct call *call, const struct forward_result *result,
                 const struct http_call *answer);
/** call_begin_answer() - pass on the head of an answer that comes in parts. */
void call_begin_answer (struct call *call, const struct http_call *answer,
                        int status);
/** call_end_answer() - end an answer in parts. */
void call_end_answer (struct call *call);

/** call_drop() - the client has left; h2o is made to close its connection.
 * @reason: where this was noticed, for logs and counters.
 */
void call_drop (struct call *call, const char *reason);

/* ---- call_death.c ---- */

/** call_suspect() - an attempt broke off at a server: find out whether the
 * server is dead. */
void call_suspect (struct call *call);
/** call_found_dead() - the server takes no connection. */
void call_found_dead (struct calls *calls, struct pool_server *server);

/* ---- calls.c ---- */

/** call_set_waiting() - count the call as one that waits, or no longer. */
void call_set_waiting (struct call *call, bool waiting);
/** call_close() - log, count and free. */
void call_close (struct call *call, enum call_end end, int status,
                 const char *reason);

/* ---- call_budget.c ---- */

/** call_retry_take() - may the call be sent once more. */
bool call_retry_take (struct call *call);
/** call_retry_left() - would call_retry_take() allow it. */
bool call_retry_left (struct call *call);
/** call_retry_give_back() - what was taken reached no server. */
void call_retry_give_back (struct call *call);
/** call_count_first() - the call is sent for the first time. */
void call_count_first (struct call *call);
