#pragma once

#include <stdbool.h>

#include "str.h"

/**
 * replay_run() - replays a trace (docs/traces.md) with a virtual clock.
 * @path: path of the trace.
 * @naive: use the naive scheduler and placement policy, for comparison.
 * @out: set to the report as JSON text; free with str_free().
 *
 * Returns 0, or a negative errno value after a message on stderr.
 */
int replay_run (const char *path, bool naive, struct str *out);
