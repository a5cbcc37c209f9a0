#include "err.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct err
err_make (int code, const char *step, struct str peer)
{
  struct err e = { .code = code, .step = step };

  snprintf (e.peer, sizeof e.peer, STR_FMT, STR_ARG (peer));
  return e;
}

const char *
err_str (int code)
{
  return code == 0 ? "ok" : strerror (-code);
}

static void *
abort_if_null (void *p)
{
  if (!p)
    abort ();
  return p;
}

void *
xmalloc (size_t n)
{
  return abort_if_null (malloc (n > 0 ? n : 1));
}

void *
xcalloc (size_t n, size_t size)
{
  return abort_if_null (calloc (n > 0 ? n : 1, size > 0 ? size : 1));
}

void *
xrealloc (void *p, size_t n)
{
  return abort_if_null (realloc (p, n > 0 ? n : 1));
}
