#include "apierror.h"

#include <jansson.h>

static const struct
{
  const char *code;
  int status;
} errors[] = {
  [API_INVALID_JSON] = { "invalid_json", 400 },
  [API_INVALID_REQUEST] = { "invalid_request", 400 },
  [API_INVALID_KEY] = { "invalid_key", 401 },
  [API_NOT_IN_PLAN] = { "not_in_plan", 403 },
  [API_MODEL_NOT_FOUND] = { "model_not_found", 404 },
  [API_NOT_FOUND] = { "not_found", 404 },
  [API_METHOD_NOT_ALLOWED] = { "method_not_allowed", 405 },
  [API_IDEMPOTENCY_KEY_REUSED] = { "idempotency_key_reused", 422 },
  [API_CALL_RUNNING] = { "call_running", 409 },
  [API_OUTCOME_UNKNOWN] = { "outcome_unknown", 409 },
  [API_PLAN_LIMIT] = { "plan_limit", 429 },
  [API_QUARANTINED] = { "quarantined", 429 },
  [API_QUEUE_FULL] = { "queue_full", 503 },
  [API_NO_CAPACITY] = { "no_capacity", 503 },
  [API_CANNOT_MEET_DEADLINE] = { "cannot_meet_deadline", 503 },
  [API_DEADLINE] = { "deadline", 504 },
  [API_STORE_UNAVAILABLE] = { "store_unavailable", 503 },
  [API_NOT_READY] = { "not_ready", 503 },
  [API_UNAVAILABLE] = { "unavailable", 503 },
  [API_TARGET_FAILED] = { "target_failed", 502 },
  [API_CALLER_GONE] = { "caller_gone", 499 },
};

int
api_error_status (enum api_error e)
{
  return errors[e].status;
}

const char *
api_error_code (enum api_error e)
{
  return errors[e].code;
}

const char *
ran_name (enum ran ran)
{
  static const char *const names[] = {
    [RAN_NO] = "no",
    [RAN_MAY_HAVE] = "may-have",
    [RAN_YES] = "yes",
  };

  return names[ran];
}

/* Returns @s, or the empty string if @s is not valid UTF-8, on which
   json_pack() fails. */
static struct str
utf8_or_empty (struct str s)
{
  json_t *json = json_stringn (s.data ? s.data : "", s.len);
  const struct str out = json && s.data ? s : STR ("");

  json_decref (json);
  return out;
}

struct str
api_error_body (enum api_error e, enum ran ran, struct str message,
                const char *step, struct str peer, struct str request_id)
{
  const struct str what = utf8_or_empty (message);
  const struct str who = utf8_or_empty (peer);
  json_t *json = json_pack (
      "{s:{s:s,s:s%,s:s,s:s,s:s%,s:s%}}", "error", "code", errors[e].code,
      "message", what.data, what.len, "ran", ran_name (ran), "step", step,
      "peer", who.data, who.len, "request_id",
      request_id.data ? request_id.data : "", request_id.len);
  char *text = json ? json_dumps (json, JSON_COMPACT) : NULL;
  struct str body = str_printf ("%s\n", text ? text : "{}");

  free (text);
  json_decref (json);
  return body;
}
