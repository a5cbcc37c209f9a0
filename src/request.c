#include "request_impl.h"

#include <stdlib.h>
#include <string.h>

#include <openssl/sha.h>

#include "callbody.h"
#include "claims.h"
#include "clock.h"
#include "config.h"
#include "hosts.h"
#include "limiter.h"
#include "lists.h"
#include "log.h"
#include "metrics.h"
#include "netaddr.h"
#include "scheduler.h"
#include "settings.h"

#define LOG_MODULE "request"
#define CALLER_CHECK_INTERVAL_MS 1000
#define DEADLINE_MAX_MS 3600000
/* Bound of a key in the messages between nodes. */
#define KEY_MAX_BYTES 4096
/* Maximum time that a response waits for the storage of its outcome. */
#define OUTCOME_WAIT_MAX_MS 2000

/* ---- lifetime ---- */

static void
free_request (uv_handle_t *handle)
{
  struct request *r = handle->data;
  struct str *const strings[] = { &r->id,
                                  &r->customer,
                                  &r->class_name,
                                  &r->service,
                                  &r->model,
                                  &r->model_version,
                                  &r->adapter,
                                  &r->method,
                                  &r->path,
                                  &r->content_type,
                                  &r->key,
                                  &r->body,
                                  &r->attempt_id,
                                  &r->target,
                                  &r->held_response.content_type,
                                  &r->held_response.body };

  for (size_t i = 0; i < sizeof strings / sizeof *strings; i++)
    str_free (strings[i]);
  for (size_t i = 0; i < r->excluded_count; i++)
    str_free (&r->excluded[i]);
  free (r);
}

void
request_ref (struct request *r)
{
  r->refs++;
}

void
request_unref (struct request *r)
{
  if (--r->refs > 0)
    return;
  if (r->prev)
    r->prev->next = r->next;
  else
    r->owner->open = r->next;
  if (r->next)
    r->next->prev = r->prev;
  r->owner->open_count--;
  uv_close ((uv_handle_t *)&r->timer, free_request);
}

uint32_t
request_remaining_ms (const struct request *r)
{
  const uint64_t now_ms = clock_ms ();

  return now_ms < r->deadline_ms ? (uint32_t)(r->deadline_ms - now_ms) : 0;
}

enum ran
request_ran (const struct request *r)
{
  return r->may_have_run || r->attempt ? RAN_MAY_HAVE : RAN_NO;
}

/* ---- end of a request ---- */

static void
record_outcome (const struct request *r, const char *outcome, enum ran ran,
                int status, const char *code)
{
  const uint64_t ms = clock_ms () - r->started_ms;
  struct str labels = str_printf (
      "customer=\"" STR_FMT "\",class=\"" STR_FMT "\",outcome=\"%s\"",
      STR_ARG (r->customer), STR_ARG (r->class_name), outcome);

  metrics_add ("galenagate_requests_total", labels, 1);
  metrics_observe ("galenagate_request_ms", labels, (double)ms);
  str_free (&labels);
  LOG_INFO ("request",
            "request=" STR_FMT " customer=" STR_FMT " class=" STR_FMT
            " service=" STR_FMT " model=" STR_FMT " key=\"" STR_FMT
            "\" target=" STR_FMT " attempts=%u outcome=%s ran=%s status=%d "
            "code=%s ms=%lu",
            STR_ARG (r->id), STR_ARG (r->customer), STR_ARG (r->class_name),
            STR_ARG (r->service), STR_ARG (r->model), STR_ARG (r->key),
            STR_ARG (r->target), r->attempts, outcome, ran_name (ran), status,
            code, ms);
}

/* Releases everything that the request holds. Runs once, after the response
   was sent. */
static void
end_request (struct request *r)
{
  r->ended = true;
  uv_timer_stop (&r->timer);
  reqflow_release (r, NULL, ATTEMPT_UNUSED);
  if (r->quota_granted)
    limiter_finish (r->owner->limiter, r->customer, r->id);
  if (r->claim_held)
    reqclaim_settle (r, r->may_have_run ? SETTLE_UNKNOWN : SETTLE_VOID, 0,
                     (struct str){ 0 }, (struct str){ 0 });
  if (r->caller)
    caller_release (r->caller);
  r->caller = NULL;
  request_unref (r);
}

static void
set_outcome_headers (struct request *r, enum ran ran, uint32_t retry_after_ms)
{
  caller_add_header (r->caller, "x-galenagate-ran", str_from (ran_name (ran)));
  caller_add_header (r->caller, "x-request-id", r->id);
  if (retry_after_ms == 0)
    return;
  struct str seconds = str_printf ("%u", (retry_after_ms + 999) / 1000);
  caller_add_header (r->caller, "retry-after", seconds);
  str_free (&seconds);
}

void
request_refuse (struct request *r, enum api_error error,
                uint32_t retry_after_ms, struct str message, const char *step,
                struct str peer)
{
  const enum ran ran = request_ran (r);
  const int status = api_error_status (error);
  struct str body = api_error_body (error, ran, message, step, peer, r->id);

  set_outcome_headers (r, ran, retry_after_ms);
  record_outcome (r, ran == RAN_NO ? "refused" : "failed", ran, status,
                  api_error_code (error));
  caller_send (r->caller, status, STR ("application/json"), body);
  str_free (&body);
  end_request (r);
}

static void
send_response (struct request *r, int status, struct str content_type,
               struct str body)
{
  set_outcome_headers (r, RAN_YES, 0);
  record_outcome (r, "answered", RAN_YES, status, "-");
  caller_send (r->caller, status, content_type, body);
  end_request (r);
}

static void on_timer (uv_timer_t *timer);

/* Stores the outcome before the caller sees it, so that it is not lost with
   this node. */
static void
hold_response (struct request *r, int status, struct str content_type,
               struct str body)
{
  const uint64_t latest_ms = clock_ms () + OUTCOME_WAIT_MAX_MS;

  r->may_have_run = true;
  r->held_response = (struct held_response){
    .status = status,
    .content_type = str_dup (content_type),
    .body = str_dup (body),
    .send_at_ms = latest_ms < r->deadline_ms ? latest_ms : r->deadline_ms,
  };
  uv_timer_start (&r->timer, on_timer, 0, 0);
  reqclaim_settle (r, SETTLE_DONE, status, content_type, body);
}

void
request_respond (struct request *r, int status, struct str content_type,
                 struct str body)
{
  if (r->claim_held)
    hold_response (r, status, content_type, body);
  else
    send_response (r, status, content_type, body);
}

void
request_send_held_response (struct request *r)
{
  const struct held_response *h = &r->held_response;

  if (!r->ended && h->send_at_ms > 0)
    send_response (r, h->status, h->content_type, h->body);
}

void
request_end_stream (struct request *r, bool complete)
{
  record_outcome (r, complete ? "answered" : "failed",
                  complete ? RAN_YES : RAN_MAY_HAVE, 200,
                  complete ? "-" : "incomplete");
  caller_end_response (r->caller, complete);
  end_request (r);
}

void
request_abandon (struct request *r)
{
  record_outcome (r, "abandoned", request_ran (r), 0, "caller_gone");
  /* h2o frees the request of an HTTP/1.1 caller only after a response. */
  if (!r->stream_started)
    caller_send (r->caller, api_error_status (API_CALLER_GONE),
                 STR ("application/json"), STR ("{}\n"));
  else
    caller_end_response (r->caller, false);
  end_request (r);
}

static void
cancel_attempt (struct request *r, enum attempt_outcome outcome)
{
  if (!r->attempt)
    return;
  attempt_cancel (r->attempt);
  r->attempt = NULL;
  r->may_have_run = true;
  reqflow_release (r, NULL, outcome);
}

/* Returns true if the request continues after its caller has disconnected. A
   call that is not safe to retry does, so that its outcome is recorded. */
static bool
outlives_caller (const struct request *r)
{
  return r->attempt && !r->retryable;
}

static void
check_caller_and_deadline (struct request *r)
{
  if (r->held_response.send_at_ms > 0)
    {
      if (clock_ms () >= r->held_response.send_at_ms)
        request_send_held_response (r);
    }
  else if (caller_disconnected (r->caller) && !outlives_caller (r))
    {
      cancel_attempt (r, ATTEMPT_CANCELLED);
      request_abandon (r);
    }
  else if (!r->stream_started && request_remaining_ms (r) == 0)
    {
      struct str peer = str_dup (r->attempt ? r->target : (struct str){ 0 });

      cancel_attempt (r, ATTEMPT_TIMEOUT);
      request_refuse (
          r, API_DEADLINE, 0, STR ("the deadline passed before the answer"),
          r->grant_held || r->attempts > 0 ? "attempt" : "queue", peer);
      str_free (&peer);
    }
}

/* Returns the time until the next check of the caller and the deadline. */
static uint64_t
next_check_ms (const struct request *r)
{
  const uint64_t now_ms = clock_ms ();
  const uint64_t due_ms = r->held_response.send_at_ms > 0
                              ? r->held_response.send_at_ms
                              : r->deadline_ms;

  if (due_ms <= now_ms || due_ms - now_ms > CALLER_CHECK_INTERVAL_MS)
    return CALLER_CHECK_INTERVAL_MS;
  return due_ms - now_ms;
}

static void
on_timer (uv_timer_t *timer)
{
  struct request *r = timer->data;

  uv_timer_start (timer, on_timer, next_check_ms (r), 0);
  check_caller_and_deadline (r);
}

/* Runs inside an h2o callback, so the request is ended from the timer in a
   later iteration of the event loop. */
static void
on_caller_disconnect (void *ctx)
{
  struct request *r = ctx;

  if (!r->ended)
    uv_timer_start (&r->timer, on_timer, 0, 0);
}

/* ---- creation ---- */

static struct str
find_header (const h2o_req_t *req, const char *name)
{
  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *h = &req->headers.entries[i];

      if (str_eq_nocase ((struct str){ h->name->base, h->name->len },
                         str_from (name)))
        return (struct str){ h->value.base, h->value.len };
    }
  return (struct str){ 0 };
}

static struct str
iovec_str (h2o_iovec_t v)
{
  return (struct str){ v.base, v.len };
}

static struct request *
create_request (struct requests *owner, h2o_req_t *req)
{
  struct request *r = xcalloc (1, sizeof *r);

  r->owner = owner;
  r->refs = 1;
  r->started_ms = clock_ms ();
  r->id = str_printf (STR_FMT "-%lx", STR_ARG (owner->id_prefix),
                      ++owner->next_id);
  r->method = str_dup (iovec_str (req->method));
  r->content_type = str_dup (find_header (req, "content-type"));
  r->key = str_dup (find_header (req, "idempotency-key"));
  r->body = str_dup (iovec_str (req->entity));
  uv_timer_init (kernel_loop (owner->kernel), &r->timer);
  r->timer.data = r;
  r->caller = caller_create (req, on_caller_disconnect, r);
  r->next = owner->open;
  if (owner->open)
    owner->open->prev = r;
  owner->open = r;
  owner->open_count++;
  return r;
}

static const struct lists *
current_lists (const struct requests *owner)
{
  return kernel_latest (owner->kernel, TOPIC_LISTS);
}

static const struct customer *
authenticate (const struct lists *lists, const h2o_req_t *req)
{
  static const struct str bearer = { "Bearer ", 7 };
  const struct str value = find_header (req, "authorization");
  unsigned char digest[SHA256_DIGEST_LENGTH];
  char hex[2 * SHA256_DIGEST_LENGTH + 1];

  if (!lists || !str_starts (value, bearer))
    return NULL;
  SHA256 ((const unsigned char *)value.data + bearer.len,
          value.len - bearer.len, digest);
  for (size_t i = 0; i < sizeof digest; i++)
    snprintf (hex + 2 * i, 3, "%02x", digest[i]);
  return lists_customer_by_key (lists, str_from (hex));
}

static void
refuse_early (struct request *r, enum api_error error, const char *message)
{
  request_refuse (r, error, 0, str_from (message), "check", (struct str){ 0 });
}

/* Sets the class, priority and deadline. Returns false after refusing a
   request with an invalid X-Deadline-Ms header. */
static bool
set_class (struct request *r, const struct lists *lists, const struct use *use,
           const h2o_req_t *req)
{
  const struct request_class *class = lists_class (lists, use->class_name);
  const struct str header = find_header (req, "x-deadline-ms");
  uint64_t deadline_ms = class ? class->deadline_ms : 0;

  if (header.len > 0
      && (!str_u64 (header, &deadline_ms) || deadline_ms == 0
          || deadline_ms > DEADLINE_MAX_MS))
    {
      refuse_early (r, API_INVALID_REQUEST,
                    "X-Deadline-Ms must be a number from 1 to 3600000");
      return false;
    }
  r->class_name = str_dup (use->class_name);
  r->priority = class ? class->priority : 0;
  r->deadline_ms = r->started_ms + deadline_ms;
  return true;
}

static void
start_request (struct request *r)
{
  struct buf input = { 0 };

  buf_printf (&input, STR_FMT "\n" STR_FMT "\n" STR_FMT "\n",
              STR_ARG (r->customer), STR_ARG (r->method), STR_ARG (r->path));
  buf_append (&input, r->body);
  r->fingerprint = str_hash (buf_str (&input), 0);
  buf_free (&input);
  uv_timer_start (&r->timer, on_timer, 0, 0);
  reqflow_start (r);
}

/* Authenticates the caller. Returns its customer, or NULL after the request
   was refused. */
static const struct customer *
admit (struct request *r, const h2o_req_t *req)
{
  const struct lists *lists = current_lists (r->owner);
  const struct customer *customer;

  if (!lists || !config_ready (config_get (r->owner->kernel)))
    {
      refuse_early (r, API_NOT_READY, "this node has no configuration yet");
      return NULL;
    }
  if (r->key.len > KEY_MAX_BYTES)
    {
      refuse_early (r, API_INVALID_REQUEST,
                    "Idempotency-Key is longer than 4096 bytes");
      return NULL;
    }
  customer = authenticate (lists, req);
  if (!customer)
    refuse_early (r, API_INVALID_KEY, "the bearer key is not known");
  else
    r->customer = str_dup (customer->name);
  return customer;
}

void
requests_serve_model (struct requests *owner, h2o_req_t *req)
{
  struct request *r = create_request (owner, req);
  const struct lists *lists = current_lists (owner);
  const struct customer *customer = admit (r, req);
  struct callbody body = { 0 };
  enum api_error error;
  const char *message;

  if (!customer)
    return;
  if (!callbody_parse (r->body, &body, &error, &message))
    {
      refuse_early (r, error, message);
      goto out;
    }
  const struct model *model
      = lists_model (lists, body.model, (struct str){ 0 });
  if (!model || (body.adapter.len > 0 && !lists_adapter (model, body.adapter)))
    {
      refuse_early (r, API_MODEL_NOT_FOUND, "no such model or adapter");
      goto out;
    }
  const struct use *use
      = lists_model_use (lists, customer->plan, body.model, body.adapter);
  if (!use)
    {
      refuse_early (r, API_NOT_IN_PLAN, "the plan may not use this model");
      goto out;
    }
  if (!set_class (r, lists, use, req))
    goto out;
  r->service = str_dup (model->service);
  r->model = str_dup (model->name);
  r->model_version = str_dup (model->version);
  r->adapter = str_dup (body.adapter);
  r->path = str_dup (iovec_str (req->path_normalized));
  r->kind = body.stream ? ATTEMPT_KIND_STREAM : ATTEMPT_KIND_BUFFERED;
  r->retryable = true;
  r->prefix_hash = body.prefix_hash;
  r->max_tokens = body.max_tokens;
  start_request (r);

out:
  callbody_free (&body);
}

/* Returns true if a call is safe to retry. */
static bool
is_idempotent (const struct service *service, struct str method,
               struct str path)
{
  if (str_eq (method, STR ("GET")) || str_eq (method, STR ("HEAD")))
    return true;
  for (size_t i = 0; i < service->idempotent_path_count; i++)
    if (str_starts (path, service->idempotent_paths[i]))
      return true;
  return false;
}

void
requests_serve_service (struct requests *owner, h2o_req_t *req,
                        struct str name, struct str path)
{
  struct request *r = create_request (owner, req);
  const struct lists *lists = current_lists (owner);
  const struct customer *customer = admit (r, req);

  if (!customer)
    return;
  const struct service *service = lists_service (lists, name);
  if (!service || service->kind != SERVICE_PLAIN)
    {
      refuse_early (r, API_NOT_FOUND, "no such service");
      return;
    }
  const struct use *use = lists_service_use (lists, customer->plan, name);
  if (!use)
    {
      refuse_early (r, API_NOT_IN_PLAN, "the plan may not use this service");
      return;
    }
  if (!set_class (r, lists, use, req))
    return;
  r->service = str_dup (name);
  r->path = str_dup (path);
  r->kind = ATTEMPT_KIND_PLAIN;
  r->retryable = is_idempotent (service, r->method, path);
  start_request (r);
}

void
requests_refuse (struct requests *owner, h2o_req_t *req, enum api_error error,
                 const char *message)
{
  refuse_early (create_request (owner, req), error, message);
}

struct str
requests_authenticate (struct requests *owner, h2o_req_t *req)
{
  const struct customer *customer = authenticate (current_lists (owner), req);

  return customer ? customer->name : (struct str){ 0 };
}

size_t
requests_open (const struct requests *owner)
{
  return owner->open_count;
}

/* Returns the node's address and start time in hexadecimal. The start time
   alone is not unique: nodes started in the same millisecond would generate
   the same ids, and a scheduler treats a second request with the same id as a
   retry of the first. */
static struct str
make_id_prefix (const struct kernel *kernel)
{
  struct sockaddr_in addr = { 0 };

  netaddr_parse (kernel_settings (kernel)->bus_addr, &addr);
  return str_printf ("%08x%04x-%lx", ntohl (addr.sin_addr.s_addr),
                     ntohs (addr.sin_port), kernel_instance (kernel));
}

struct requests *
requests_create (struct kernel *kernel)
{
  struct requests *owner = xcalloc (1, sizeof *owner);

  owner->kernel = kernel;
  owner->id_prefix = make_id_prefix (kernel);
  owner->http = http_get (kernel);
  owner->limiter = limiter_get (kernel);
  owner->scheduler = scheduler_get (kernel);
  owner->claims = claims_get (kernel);
  owner->hosts = hosts_get (kernel);
  return owner;
}

void
requests_destroy (struct requests *owner)
{
  str_free (&owner->id_prefix);
  free (owner);
}
