#pragma once

#include <stddef.h>

#include "str.h"

#define ERR_PEER_MAX 64

/**
 * struct err - failed step of an operation, and the reason.
 * @code: 0 or a negative errno value.
 * @step: static name of the step, for example "connect".
 * @peer: address or name of the remote side; empty if there is none.
 */
struct err
{
  int code;
  const char *step;
  char peer[ERR_PEER_MAX];
};

#define ERR_NONE ((struct err){ .code = 0, .step = "" })

struct err err_make (int code, const char *step, struct str peer);
/** err_str() - describe 0 or a negative errno value; static storage. */
const char *err_str (int code);

/* Allocators that abort when memory is exhausted: a node without memory is
   replaced, and no caller could usefully continue. */
void *xmalloc (size_t n) __attribute__ ((malloc));
void *xcalloc (size_t n, size_t size) __attribute__ ((malloc));
void *xrealloc (void *p, size_t n);
