#pragma once

#include <stddef.h>

#include "str.h"

/* Selects from the log lines of several nodes those that explain one call: the
   lines with its id, and those about its model, its servers and its nodes from
   around the same time. Does no I/O. */

struct logtrace;

/** logtrace_create() - create a selection for the client attempt @id, which is
 * borrowed. */
struct logtrace *logtrace_create (struct str id);
void logtrace_destroy (struct logtrace *trace);
/** logtrace_add() - add a copy of a line, without the text before "time=".
 * Ignores a line without a valid time. */
void logtrace_add (struct logtrace *trace, struct str line);
/**
 * logtrace_select() - select the lines and sort them by time.
 *
 * Returns the number of lines that have the call's id.
 */
size_t logtrace_select (struct logtrace *trace);
/** logtrace_each() - call @fn for each selected line. */
void logtrace_each (const struct logtrace *trace,
                    void (*fn) (void *ctx, struct str line), void *ctx);
/** logtrace_field() - get the value of a key in a line; empty if the key is
 * missing. The value is a view of @line. */
struct str logtrace_field (struct str line, const char *key);
