#pragma once

/* Internals of call handling; included by edge/call*.c only. */

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "caller.h"
#include "edge/call_table.h"
#include "edge/demand.h"
#include "edge/edge.h"
#include "edge/forward.h"
#include "edge/pool.h"
#include "edge/promptparts.h"
#include "edge/retries.h"
#include "edge/site.h"
#include "edge/tenantquota.h"
#include "edge/waitorder.h"
#include "platform/callheaders.h"

#define CALL_HEADER_FIELDS_MAX 110
/* Least time before the deadline to start an attempt. No server responds
   faster than this, so the response would be late. */
#define ATTEMPT_MIN_MS 20
#define STATUS_BAD_GATEWAY 502
#define STATUS_GATEWAY_TIMEOUT 504

struct service_budget_entry
{
  struct str service;
  struct retries budget;
  UT_hash_handle hh;
};

/**
 * struct call_table - all calls of this node.
 * @first: head of the list of calls, in order of arrival.
 * @open_count: length of the list.
 * @routing_count: configurations received so far.
 * @order: of the waiting calls; empty but during a check of them.
 * @check_number: of the last check of waiting calls.
 * @check_ms: when it began.
 * @resumed_ms: when the last late check began. What was observed before may be
 *   distorted by a pause of the process.
 * @client_check_due_ms: when client_check_timer should fire next.
 * @wait_end_ms: beyond this time a call waits for a server only if its
 *   response has started. UINT64_MAX while the node isn't draining.
 * @calls_end_ms: beyond this time calls without a response are ended.
 *   UINT64_MAX while the node isn't draining.
 */
struct call_table
{
  struct kernel *kernel;
  struct site *site;
  struct http *http;
  struct tenantquota *quota;
  uv_loop_t *loop;
  uv_timer_t wait_timer;
  uv_timer_t client_check_timer;
  struct call *first;
  struct call *last;
  size_t open_count;
  uint64_t routing_count;
  struct waitorder *order;
  uint64_t check_number;
  uint64_t check_ms;
  uint64_t resumed_ms;
  struct retries_limits retry_limits;
  struct service_budget_entry *service_budgets;
  uint64_t random_state;
  uint64_t client_check_due_ms;
  uint64_t wait_end_ms;
  uint64_t calls_end_ms;
};

/* How a call ended, for logs and metrics. */
enum call_end
{
  CALL_END_SERVED,
  CALL_END_FAILED,      /* the server's error response was forwarded */
  CALL_END_REFUSED,     /* not executed */
  CALL_END_UNKNOWN,     /* may have been executed; no response */
  CALL_END_CUT,         /* the response was truncated */
  CALL_END_CLIENT_LEFT, /* the client disconnected */
  CALL_END_DENIED,      /* the request is invalid or has no route */
};

/* A call may be in flight at a silent server and at the one that is to replace
   it. */
#define CALL_ATTEMPTS_IN_FLIGHT_MAX 2

/**
 * struct call_attempt - an attempt to run a call on one server; context of the
 * callbacks of @forward.
 * @forward: NULL unless the attempt is in flight.
 * @server_start: site_server_start() when the attempt began.
 * @sent_ms: when the first byte was sent; 0 before.
 * @uses_retry_budget: the attempt was taken from the retry budget.
 * @silent: the call was sent to a second server because this one sent nothing.
 * @phase: how far the server has come in its response.
 * @response_ms: when the first part of the response's body arrived.
 */
struct call_attempt
{
  struct call *call;
  struct forward *forward;
  struct pool_server *server;
  uint64_t server_start;
  uint64_t sent_ms;
  bool uses_retry_budget;
  bool silent;
  enum prompt_phase phase;
  uint64_t response_ms;
};

/**
 * struct call - one client request; a client's retry is a call of its own.
 * Strings point into the h2o request, which outlives the call, unless the call
 * owns them.
 * @client_address: IPv4 address of the client, in network byte order; 0 if the
 *   client has none. For logs.
 * @fingerprint: the same whenever the request is sent again, also by another
 *   client.
 * @parts: the shared parts of its prompt, as in @meta.
 * @quarantine_checked_ms: when the call was last checked for the quarantine.
 * @route_key: route_key() of its route.
 * @route_name, @service, @tenant: owned by the call; @tenant is empty without
 *   one.
 * @has_tenants: the configuration has tenants, so that the client's key is not
 *   sent to the server.
 * @routing_count: that of the calls when @tenant was determined.
 * @cost: units of its tenant's quota, if the tenant has a limit.
 * @awaits_quota: the quota has not been decided on. The call does not count as
 *   demand yet.
 * @charged: @cost was charged to the tenant of @quota_wait.
 * @config_version: version of the configuration that routed the call; 0 if
 *   there was none.
 * @response_deadline_ms: the response is sent by this time, a little before
 *   @client_deadline_ms when the client set the deadline.
 * @first_event_deadline_ms: a call whose response has not started and that has
 *   no server by this time is refused. For a stream it is early enough
 *   to reach the client before it abandons a stream without a first event.
 * @client_deadline_ms: when the client stops waiting.
 * @possible_runs: ended attempts that may have been executed.
 * @rejections: attempts that were certainly not executed.
 * @repeat_after_ms: a call that has begun, or is in flight at a silent server,
 *   is not sent to a further server before.
 * @first_send_counted: the call is counted as a first send to its service.
 * @reached_server: an earlier attempt may have reached a server.
 * @waiting: the call waits for a server; no attempt is in flight.
 * @wait_reason: why it waits.
 * @full_demand: what it counts for in @full_waiting; NULL if it does not.
 * @software_version: of the servers that the stream was sent to; owned. Empty
 *   if it can't be read, or isn't certain.
 * @version_bound: the stream may go on only at servers of @software_version.
 * @takes_up: the client continues a stream of an earlier call.
 * @origin_asked_ms: when the store was first asked where it began; 0 before.
 * @awaits_origin: it is not known yet which version began that stream. The
 *   call does not count as demand yet.
 * @server: of the attempt that ended last, NULL if it was cancelled; for logs.
 * @avoided_server: server of the last attempt that failed or was rejected.
 *   Others are preferred; before @avoided_until_ms it is not used at all.
 * @sent_ms: when the newest attempt was started; 0 before.
 * @response_start_ms: when the response started; 0 before.
 * @last_part_ms: when the newest part of the response arrived.
 * @longest_gap_ms: longest pause between two parts.
 */
struct call
{
  struct call_table *calls;
  struct call *prev;
  struct call *next;
  struct caller *caller;
  uv_timer_t timer;
  struct http_field fields[CALL_HEADER_FIELDS_MAX];
  size_t field_count;
  struct call_meta meta;
  struct str method;
  struct str request_target;
  struct str body;
  uint32_t client_address;
  uint64_t fingerprint;
  struct prompt_parts parts;
  uint64_t quarantine_checked_ms;
  struct str route_name;
  uint64_t route_key;
  struct str service;
  struct str tenant;
  bool has_tenants;
  uint64_t routing_count;
  struct tenantquota_wait quota_wait;
  uint32_t cost;
  bool awaits_quota;
  bool charged;
  uint64_t config_version;
  enum call_kind kind;
  uint32_t latency_objective_ms;
  uint32_t event_gap_ms;
  uint32_t max_attempts;
  uint32_t priority;
  bool resumable;
  uint64_t arrival_ms;
  uint64_t response_deadline_ms;
  uint64_t first_event_deadline_ms;
  uint64_t client_deadline_ms;
  uint32_t possible_runs;
  uint32_t rejections;
  uint64_t repeat_after_ms;
  bool first_send_counted;
  bool reached_server;
  bool waiting;
  enum pool_result wait_reason;
  struct demand_item *full_demand;
  bool response_started;
  uint64_t last_event_id;
  char last_event_id_text[24];
  struct str software_version;
  bool version_bound;
  bool takes_up;
  bool awaits_origin;
  uint64_t origin_asked_ms;
  struct call_attempt attempts[CALL_ATTEMPTS_IN_FLIGHT_MAX];
  struct pool_server *server;
  struct pool_server *avoided_server;
  uint64_t avoided_until_ms;
  uint64_t sent_ms;
  uint64_t response_start_ms;
  uint64_t last_part_ms;
  uint64_t longest_gap_ms;
  struct demand_item *model_demand;
  struct demand_item *adapter_demand;
};

/* Fields that the log lines of a call start with. */
#define CALL_LOG_FMT                                                          \
  "id=" STR_FMT " tenant=" STR_FMT " route=" STR_FMT " service=" STR_FMT      \
  " model=" STR_FMT " adapter=" STR_FMT
#define CALL_LOG_ARG(c)                                                       \
  STR_ARG ((c)->meta.client_attempt_id), STR_ARG ((c)->tenant),               \
      STR_ARG ((c)->route_name), STR_ARG ((c)->service),                      \
      LOG_NAME_ARG ((c)->meta.model), LOG_NAME_ARG ((c)->meta.adapter)

/* ---- call_send.c ---- */

/** call_dispatch() - send a call that has no attempt in flight to a server,
 * let it wait, or refuse it. */
void call_dispatch (struct call *call);
/** call_give_up() - close a call that has no attempt in flight. It is refused
 * if it was certainly not executed, and fails otherwise. */
void call_give_up (struct call *call, uint32_t retry_after_ms,
                   const char *reason);
/** call_criteria() - what the call requires of its server. */
struct pool_criteria call_criteria (const struct call *call);
/** call_ms_until() - time until @end_ms, 0 if it has passed. */
uint64_t call_ms_until (uint64_t end_ms);

/* ---- call_attempt.c ---- */

/** call_cancel_attempts() - cancel all attempts in flight. */
void call_cancel_attempts (struct call *call);
/** call_attempt_events - callbacks of the attempts of a call. */
extern const struct forward_events call_attempt_events;
/** call_add_running_demand() - count attempts in flight for the demand of the
 * call's model and adapter. */
void call_add_running_demand (struct call *call, int change);
/** call_in_flight_count() - number of attempts in flight. */
uint32_t call_in_flight_count (const struct call *call);
/** call_in_flight() - returns true if an attempt is in flight. */
bool call_in_flight (const struct call *call);
/** call_other_attempt() - the other attempt in flight; NULL if there is none.
 */
struct call_attempt *call_other_attempt (const struct call_attempt *attempt);
/** call_repeatable() - returns true if the call may be executed once more. A
 * response that is not a stream can't be resumed once it has started. */
bool call_repeatable (const struct call *call);
/** call_attempts_left() - number of further attempts that the route allows,
 * when all attempts in flight are executed. */
uint32_t call_attempts_left (const struct call *call);
/** call_avoids() - returns true if the call must not be sent to the server
 * yet, because it was rejected there a moment ago. */
bool call_avoids (const struct call *call, const struct pool_server *server);

/* ---- call_start.c ---- */

/** call_start_attempt() - send the call to a server. At most one other attempt
 * may be in flight.
 * @uses_retry_budget: the attempt was taken from the retry budget.
 */
void call_start_attempt (struct call *call, struct pool_server *server,
                         bool uses_retry_budget);

/* ---- call_takeup.c ---- */

/** call_is_resumable() - returns true for streams that may be resumed at other
 * servers and that clients may take up again. */
bool call_is_resumable (const struct call *call);
/** call_record_stream() - record with which service and version the stream
 * begins, when it is sent and when its first event goes to the client. */
void call_record_stream (const struct call *call);
/** call_complete_stream() - record that a response went to the client as a
 * whole, if it is a stream. */
void call_complete_stream (const struct call *call);
/** call_find_origin() - find out which version began the stream that the call
 * takes up, and bind the call to it. Returns false if the call was refused,
 * because it is not known, or waits: it is to be asked again. */
bool call_find_origin (struct call *call);

/* ---- call_version.c ---- */

/** call_bind_version() - bind a stream that can be resumed to the version of
 * the server that it is sent to. A repeat before its first event goes to the
 * same version, so that a record of the stream is never that of another one.
 */
void call_bind_version (struct call *call, const struct pool_server *server);
/** call_confirm_version() - the attempt brings the first event of a stream
 * that can be resumed. If its version is not certain, the stream goes on
 * nowhere. */
void call_confirm_version (const struct call_attempt *attempt);
/** call_shares_queue() - returns true if any server of the service fits that
 * has the call's model, so that the call waits in turn with the others. */
bool call_shares_queue (const struct call *call);

/* ---- call_handover.c ---- */

/** call_handle_silence() - the attempt's server has sent nothing for a while.
 * Sends the call to a second server if one can take it at once, and keeps the
 * attempt until the second one has had time to reject the call.
 *
 * Returns the time in ms until the next check; 0 if the attempt is to be
 * ended.
 */
uint32_t call_handle_silence (struct call_attempt *attempt);
/** call_first_event_timeout() - time in ms without a first event after which a
 * new attempt counts as silent; 0 for never. */
uint32_t call_first_event_timeout (const struct call *call);
/** call_event_gap_timeout() - likewise between events. */
uint32_t call_event_gap_timeout (const struct call *call);

/* ---- call_response.c ---- */

/** call_refuse() - close a call that was not executed, with 503 and a
 * Retry-After header.
 * @retry_after_ms: 0 for the default.
 */
void call_refuse (struct call *call, uint32_t retry_after_ms,
                  const char *reason);
/** call_refuse_quota() - close a call that was not executed because its tenant
 * used up its quota, with 429 and a Retry-After header. */
void call_refuse_quota (struct call *call, uint32_t retry_after_ms);
/** call_fail() - close a call that may have been executed, with 502 or 504; a
 * response that has already started is truncated. */
void call_fail (struct call *call, int status, const char *reason);
/** call_deny() - close a call whose request is invalid or has no route. */
void call_deny (struct call *call, int status, const char *reason);
/** call_send_response() - forward a server's complete response and close the
 * call. */
void call_send_response (struct call *call,
                         const struct forward_result *result,
                         const struct http_call *response);
/** call_start_response() - forward the head of a response that is sent in
 * parts. */
void call_start_response (struct call *call, const struct http_call *response,
                          int status);
/** call_finish_response() - end a response that was sent in parts and close
 * the call. */
void call_finish_response (struct call *call);

/** call_drop() - close a call whose client disconnected, and make h2o close
 * the connection.
 * @reason: where the disconnect was noticed, for logs and metrics.
 */
void call_drop (struct call *call, const char *reason);

/* ---- call_tenant.c ---- */

/** call_identify() - find the tenant by the key of the call, and set what
 * depends on it: tenant, priority and fingerprints. Returns false if the call
 * was closed because it needs a key that the configuration has. */
bool call_identify (struct call *call, const struct routing *routing,
                    const struct route *route);
/** call_identify_again() - likewise, if a configuration came since and nothing
 * of the call was sent to a server. */
bool call_identify_again (struct call *call);

/* ---- call_quota.c ---- */

/** call_charge() - charge the call to the quota of its tenant, and admit it at
 * once or later, or refuse it. */
void call_charge (struct call *call, const struct routing *routing);
/** call_end_charge() - stop waiting for the quota, and give back what was
 * charged if the call did not run. */
void call_end_charge (struct call *call, enum call_end end);

/* ---- call_crash.c ---- */

/** call_fingerprint() - set the fingerprints of a call whose tenant is known.
 */
void call_fingerprint (struct call *call);
/** call_quarantined() - returns the fingerprint of what crashes servers, the
 * request or a part of its prompt; 0 if neither does. */
uint64_t call_quarantined (const struct call *call);
/** call_record_cancelled() - record that an attempt is cancelled. Its server
 * may go on with it and crash; a response that has begun is dropped. */
void call_record_cancelled (const struct call_attempt *attempt);
/** call_record_response() - record that a server began to respond. */
void call_record_response (struct call_attempt *attempt);
/** call_record_progress() - record that a server sent more of a response. */
void call_record_progress (struct call_attempt *attempt);
/** call_record_completion() - record that a server completed a response that
 * is no error. */
void call_record_completion (const struct call_attempt *attempt);
/** call_suspect_crash() - record that an attempt broke off, and probe whether
 * the server crashed. */
void call_suspect_crash (const struct call_attempt *attempt);
/** call_server_unreachable() - record that a server accepts no connection.
 * @code: negative errno value of the attempt to connect. */
void call_server_unreachable (struct call_table *calls,
                              struct pool_server *server, int code);
/** call_server_replaced() - record that another server answered at a server's
 * address. */
void call_server_replaced (struct call_table *calls,
                           struct pool_server *server);

/* ---- call_demand.c ---- */

/** call_attach_demand() - count the call for its model and its adapter, if the
 * configuration has them and it does not count for them yet. */
void call_attach_demand (struct call *call, const struct engine_spec *engine);
/** call_queue() - demand item of the calls that need the same servers: of the
 * call's adapter, or of its model. NULL if there is none. */
struct demand_item *call_queue (const struct call *call);
/** call_set_full() - set whether the call counts as waiting because all
 * servers are full. */
void call_set_full (struct call *call, bool full);

/* ---- call_table.c ---- */

/** call_wait_deadline_ms() - when the call stops waiting for a server. Before
 * the response has started a refusal must reach the client in time. Afterwards
 * there is nothing to tell a client that still waits for the next event. */
uint64_t call_wait_deadline_ms (const struct call *call);
/** call_set_waiting() - set call->waiting and update the demand counters. */
void call_set_waiting (struct call *call, bool waiting);
/** call_check_waiting() - check the waiting calls in the next iteration of the
 * event loop. */
void call_check_waiting (struct call_table *calls);
/** call_admit() - count a new call as demand and send it to a server. */
void call_admit (struct call *call);
/** call_close() - log, count and free a call. */
void call_close (struct call *call, enum call_end end, int status,
                 const char *reason);

/* ---- call_record.c ---- */

/** call_record_end() - log and count the end of a call. */
void call_record_end (const struct call *call, enum call_end end, int status,
                      const char *reason);
/** call_count_reason() - add 1 to a metric with the label "reason". */
void call_count_reason (const char *metric, const char *reason);

/* ---- call_budget.c ---- */

/** call_take_retry() - take a retry from the budget. Returns false if the
 * budget doesn't allow it. */
bool call_take_retry (struct call *call);
/** call_retry_allowed() - returns true if call_take_retry() would succeed. */
bool call_retry_allowed (struct call *call);
/** call_refund_retry() - give back a retry that reached no server. */
void call_refund_retry (struct call *call);
/** call_count_first_send() - count the first send of the call, which adds to
 * the budget. */
void call_count_first_send (struct call *call);
