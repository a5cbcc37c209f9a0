#pragma once

#include <stddef.h>

#include "str.h"

/* Picks from the log lines of several nodes those that explain one call: its
   own, and what happened meanwhile to its model, to the servers that it was
   sent to, and to the nodes that took it. Pure. */

struct logtrace;

/** logtrace_create() - @id of the client attempt is borrowed. */
struct logtrace *logtrace_create (struct str id);
void logtrace_destroy (struct logtrace *trace);
/** logtrace_add() - a line; text before "time=" is ignored. Copied. */
void logtrace_add (struct logtrace *trace, struct str line);
/**
 * logtrace_select() - choose the lines, in the order of time.
 *
 * Returns how many lines are the call's own; 0 when the id was not found.
 */
size_t logtrace_select (struct logtrace *trace);
/** logtrace_each() - call @fn for each chosen line. */
void logtrace_each (const struct logtrace *trace,
                    void (*fn) (void *ctx, struct str line), void *ctx);
/** logtrace_field() - value of a key in a line; empty when it has none. */
struct str logtrace_field (struct str line, const char *key);
