#include "edge/call_impl.h"

#include <stdio.h>

#define RESPONSE_FIELDS_MAX 64
/* Retry-After when the caller of call_refuse() has no estimate. Servers and
   routes are usually available again after about this time. */
#define RETRY_AFTER_DEFAULT_MS 500
#define STATUS_UNAVAILABLE 503
#define STATUS_TOO_MANY_REQUESTS 429

static const struct str text_type = { "text/plain", 10 };

static void
send_reason (struct call *c, int status, const char *reason)
{
  struct str body = str_printf ("%s\n", reason);

  caller_send (c->caller, status, text_type, body);
  str_free (&body);
}

static void
refuse (struct call *c, int status, uint32_t retry_after_ms,
        const char *reason)
{
  char text[24];

  snprintf (text, sizeof text, "%u.%03u", retry_after_ms / 1000,
            retry_after_ms % 1000);
  caller_add_header (c->caller, "retry-after", str_from (text));
  send_reason (c, status, reason);
  call_close (c, CALL_END_REFUSED, status, reason);
}

void
call_refuse (struct call *c, uint32_t retry_after_ms, const char *reason)
{
  if (c->response_started)
    {
      call_fail (c, STATUS_UNAVAILABLE, reason);
      return;
    }
  if (retry_after_ms == 0)
    retry_after_ms = RETRY_AFTER_DEFAULT_MS;
  refuse (c, STATUS_UNAVAILABLE, retry_after_ms, reason);
}

void
call_refuse_quota (struct call *c, uint32_t retry_after_ms)
{
  refuse (c, STATUS_TOO_MANY_REQUESTS, retry_after_ms, "quota");
}

void
call_fail (struct call *c, int status, const char *reason)
{
  if (c->response_started)
    {
      caller_end_response (c->caller, false);
      call_close (c, CALL_END_CUT, status, reason);
      return;
    }
  send_reason (c, status, reason);
  call_close (c, CALL_END_UNKNOWN, status, reason);
}

void
call_deny (struct call *c, int status, const char *reason)
{
  send_reason (c, status, reason);
  call_close (c, CALL_END_DENIED, status, reason);
}

static void
copy_headers (struct call *c, const struct http_call *response)
{
  struct http_field fields[RESPONSE_FIELDS_MAX];
  const size_t n = http_fields (response, fields, RESPONSE_FIELDS_MAX);

  for (size_t i = 0; i < n; i++)
    if (answer_field_forwarded (fields[i].name))
      caller_add_header (c->caller, fields[i].name.data, fields[i].value);
}

void
call_send_response (struct call *c, const struct forward_result *r,
                    const struct http_call *response)
{
  copy_headers (c, response);
  caller_send (c->caller, r->status, (struct str){ 0 }, r->body);
  call_close (c, r->status < 400 ? CALL_END_SERVED : CALL_END_FAILED,
              r->status, "-");
}

void
call_start_response (struct call *c, const struct http_call *response,
                     int status)
{
  const struct str length = http_header (response, "Content-Length");
  uint64_t bytes;

  copy_headers (c, response);
  if (c->kind != CALL_STREAM && str_u64 (length, &bytes))
    caller_set_content_length (c->caller, bytes);
  caller_start_response (c->caller, status, (struct str){ 0 });
  c->response_started = true;
}

void
call_finish_response (struct call *c)
{
  caller_end_response (c->caller, true);
  call_complete_stream (c);
  call_close (c, CALL_END_SERVED, 200, "-");
}

void
call_drop (struct call *c, const char *reason)
{
  /* Without a response h2o would keep the connection of the client open. */
  if (c->response_started)
    caller_end_response (c->caller, false);
  else
    send_reason (
        c, c->first_send_counted ? STATUS_BAD_GATEWAY : STATUS_UNAVAILABLE,
        "client-left");
  call_count_reason ("galenagate_left_total", reason);
  call_close (c, CALL_END_CLIENT_LEFT, 0, reason);
}
