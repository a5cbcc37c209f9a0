#pragma once

#include "str.h"

/* Errors that are returned to clients; indices of the table in apierror.c. */
enum api_error
{
  API_INVALID_JSON,
  API_INVALID_REQUEST,
  API_INVALID_KEY,
  API_NOT_IN_PLAN,
  API_MODEL_NOT_FOUND,
  API_NOT_FOUND,
  API_METHOD_NOT_ALLOWED,
  API_IDEMPOTENCY_KEY_REUSED,
  API_CALL_RUNNING,
  API_OUTCOME_UNKNOWN,
  API_PLAN_LIMIT,
  API_QUARANTINED,
  API_QUEUE_FULL,
  API_NO_CAPACITY,
  API_CANNOT_MEET_DEADLINE,
  API_DEADLINE,
  API_STORE_UNAVAILABLE,
  API_NOT_READY,
  API_UNAVAILABLE,
  API_TARGET_FAILED,
  API_CALLER_GONE,
};

/* Whether a target executed the request, as far as the node knows. */
enum ran
{
  RAN_NO,
  RAN_MAY_HAVE,
  RAN_YES,
};

int api_error_status (enum api_error e);
/** api_error_code() - stable code for clients, for example "deadline". */
const char *api_error_code (enum api_error e);
const char *ran_name (enum ran ran);

/**
 * api_error_body() - JSON body of an error; heap-owned.
 * @message: human-readable description.
 * @step: name of the failed step.
 * @peer: address of the remote side; may be empty.
 */
struct str api_error_body (enum api_error e, enum ran ran, struct str message,
                           const char *step, struct str peer,
                           struct str request_id);
