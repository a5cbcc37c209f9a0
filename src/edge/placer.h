#pragma once

#include <stdint.h>

#include "kernel.h"

/* The plug-in that decides which server holds which model. */

struct placer;

struct placer *placer_get (struct kernel *kernel);
/** placer_nodes() - nodes of the installation that are alive, as the placement
 * holder tells; 0 when it told nothing lately. */
uint32_t placer_nodes (const struct placer *placer);
