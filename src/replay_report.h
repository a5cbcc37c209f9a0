#pragma once

#include <stdint.h>

#include "peer.h"
#include "str.h"

/* Report of a replay: outcomes of the requests, in total and by customer and
   class, and counts of the loads. */

struct replay_report;

enum replay_outcome
{
  REPLAY_IN_TIME, /* answered with the first byte within the deadline */
  REPLAY_LATE,    /* answered with the first byte after the deadline */
  REPLAY_FAILED,  /* the target was lost and no retry was possible */
  REPLAY_REFUSED,
};

/**
 * struct replay_counts - loads, unloads and idle time of the servers.
 * @evictions: models unloaded to free memory for a load.
 * @unloads: models unloaded because they were idle or surplus.
 * @staging_loads: part of @loads; loads ahead of any use that are unloaded at
 *   once, so that the checkpoint is on the server's disk.
 * @staging_ms: total load time of the staging loads.
 * @idle_ms: time without a request, summed over the loaded replicas of models.
 */
struct replay_counts
{
  uint64_t loads;
  uint64_t adapter_loads;
  uint64_t evictions;
  uint64_t unloads;
  uint64_t staging_loads;
  uint64_t staging_ms;
  uint64_t idle_ms;
};

struct replay_report *report_create (void);
void report_destroy (struct replay_report *report);
/**
 * report_add() - counts the outcome of a request.
 * @code: reason of the refusal; ignored unless @outcome is REPLAY_REFUSED.
 */
void report_add (struct replay_report *report, struct str customer,
                 struct str class_name, enum replay_outcome outcome,
                 grant_code code);
/** report_add_cold_start() - adds the time that a request waited for its model
 * to be loaded. */
void report_add_cold_start (struct replay_report *report, struct str customer,
                            struct str class_name, uint64_t ms);
/** report_json() - returns the report as JSON text; free with str_free(). */
struct str report_json (const struct replay_report *report, const char *policy,
                        const struct replay_counts *counts);
