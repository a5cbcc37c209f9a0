#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "kernel.h"

struct config;

struct config *config_get (struct kernel *kernel);
/**
 * config_ready() - returns true once the node may serve with its
 * configuration.
 *
 * By then the revision in force is the latest valid one that the store and a
 * peer have reported, or one of the two if the other cannot be reached.
 */
bool config_ready (const struct config *config);
uint64_t config_revision (const struct config *config);
/** config_age_ms() - returns the time since the store or a peer last reported
 * the revision in force or a later one. */
uint64_t config_age_ms (const struct config *config);
