#pragma once

#include <stdint.h>

#include "str.h"

/* Process-wide counters, gauges and histograms; not thread-safe. Label text is
   written without the braces, for example customer="a",class="cue". */

/** metrics_add() - add to a counter, which is created on first use. */
void metrics_add (const char *name, struct str labels, uint64_t n);
/** metrics_set() - set a gauge. */
void metrics_set (const char *name, struct str labels, double value);
/** metrics_observe() - record a duration in ms in a histogram. */
void metrics_observe (const char *name, struct str labels, double ms);
/** metrics_text() - append all metrics in the Prometheus text format. */
void metrics_text (struct buf *out);
uint64_t metrics_value (const char *name, struct str labels);
void metrics_reset (void);
