#pragma once

#include <stdint.h>

#include "kernel.h"

/* Plug-in that decides which server holds which model. */

struct placer;

struct placer *placer_get (struct kernel *kernel);
/** placer_node_count() - upper estimate of the number of nodes: the largest
 * count that placement holders sent lately, else the one in the lease record;
 * 0 when neither is known. */
uint32_t placer_node_count (const struct placer *placer);
