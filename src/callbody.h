#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "apierror.h"
#include "str.h"

/** struct callbody - what the entry needs of an inference request's body. */
struct callbody
{
  struct str model;
  struct str adapter; /* of "MODEL:ADAPTER"; may be empty */
  bool stream;
  uint32_t tokens_max;  /* 0 when the caller set none */
  uint64_t prefix_hash; /* of the first part of the prompt */
};

/**
 * callbody_parse() - read and check a body.
 * @message: on failure what is wrong; static storage.
 *
 * Returns true, or false with *@error. Free with callbody_free().
 */
bool callbody_parse (struct str body, struct callbody *out,
                     enum api_error *error, const char **message);
void callbody_free (struct callbody *body);
