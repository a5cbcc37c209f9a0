#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "kernel.h"

struct config;

struct config *config_get (struct kernel *kernel);
/** config_ready() - has a configuration that store and a peer agree on. */
bool config_ready (const struct config *config);
uint64_t config_revision (const struct config *config);
/** config_age_ms() - time since store or a peer last confirmed the revision.
 */
uint64_t config_age_ms (const struct config *config);
