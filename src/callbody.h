#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "apierror.h"
#include "str.h"

/**
 * struct callbody - fields of an inference request's body.
 * @adapter: the part after the colon in "MODEL:ADAPTER"; may be empty.
 * @max_tokens: 0 if the caller set no limit.
 * @prefix_hash: hash of the first bytes of the prompt; 0 without one.
 */
struct callbody
{
  struct str model;
  struct str adapter;
  bool stream;
  uint32_t max_tokens;
  uint64_t prefix_hash;
};

/**
 * callbody_parse() - parse and validate a request body.
 * @message: set to the reason on failure; static storage.
 *
 * Returns true, or false with *@error set. Free *@out with callbody_free() in
 * both cases.
 */
bool callbody_parse (struct str body, struct callbody *out,
                     enum api_error *error, const char **message);
void callbody_free (struct callbody *body);
