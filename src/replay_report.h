#pragma once

#include <stdint.h>

#include "peer.h"
#include "str.h"

/* Outcomes of a replay, in total and per customer and class. */

struct replay_report;

enum replay_outcome
{
  REPLAY_IN_TIME, /* answered; the first byte met the deadline */
  REPLAY_LATE,    /* answered; the first byte came after the deadline */
  REPLAY_FAILED,  /* its target was lost and it may not be repeated */
  REPLAY_REFUSED,
};

/** struct replay_counts - what happened to the accelerators. */
struct replay_counts
{
  uint64_t loads;
  uint64_t adapter_loads;
  uint64_t evictions;     /* unloaded to make room */
  uint64_t unloads;       /* unloaded because idle or surplus */
  uint64_t staging_loads; /* of loads: ahead of any use, unloaded at once */
  uint64_t staging_ms;    /* sum of their load times */
  uint64_t idle_ms;       /* loaded replicas without a request, summed */
};

struct replay_report *report_create (void);
void report_destroy (struct replay_report *report);
/**
 * report_add() - account the end of a request.
 * @code: with REPLAY_REFUSED the reason.
 */
void report_add (struct replay_report *report, struct str customer,
                 struct str class_name, enum replay_outcome outcome,
                 grant_code code);
/** report_cold() - time that a request waited for a model to be loaded. */
void report_cold (struct replay_report *report, struct str customer,
                  struct str class_name, uint64_t ms);
/** report_json() - the report as JSON text; free with str_free(). */
struct str report_json (const struct replay_report *report, const char *policy,
                        const struct replay_counts *counts);
