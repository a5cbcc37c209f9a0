#pragma once

#include <stdbool.h>
#include <stdint.h>

/* How fast places become free at servers for calls of one kind, observed while
   calls wait for full servers. Otherwise completions show how many calls
   arrive and not how many the servers can run. */

/* Completions needed for an estimate. */
#define DRAINRATE_COMPLETIONS_MIN 8
/* What was observed earlier weighs half after this time. */
#define DRAINRATE_WINDOW_MS 10000

/**
 * struct drainrate - state; all zero at first.
 * @start_ms: when the observation began.
 * @completions: since then.
 */
struct drainrate
{
  uint64_t start_ms;
  uint32_t completions;
};

/** drainrate_start() - calls begin to wait for full servers. */
void drainrate_start (struct drainrate *rate, uint64_t now_ms);
/** drainrate_completed() - a call that ran at a server ended. */
void drainrate_completed (struct drainrate *rate, uint64_t now_ms);
/**
 * drainrate_time_for() - estimate when enough places will have become free.
 * @places: how many are needed.
 * @out_ms: time from now.
 *
 * Returns false if too few completions were observed.
 */
bool drainrate_time_for (const struct drainrate *rate, uint32_t places,
                         uint64_t now_ms, uint64_t *out_ms);
