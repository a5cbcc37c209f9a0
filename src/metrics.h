#pragma once

#include <stdint.h>

#include "str.h"

/* Process-wide counters and histograms; single-threaded. Label text is the
   inside of the braces, for example customer="a",class="cue". */

/** metrics_add() - add to a counter; creates it at first use. */
void metrics_add (const char *name, struct str labels, uint64_t n);
/** metrics_set() - set a gauge. */
void metrics_set (const char *name, struct str labels, double value);
/** metrics_observe() - record a duration in ms in a histogram. */
void metrics_observe (const char *name, struct str labels, double ms);
/** metrics_text() - all metrics in the Prometheus text format. */
void metrics_text (struct buf *out);
uint64_t metrics_value (const char *name, struct str labels);
void metrics_reset (void);
