#pragma once

#include <stdint.h>

#include "kernel.h"

/* The plug-in that decides which server holds which model. */

struct placer;

struct placer *placer_get (struct kernel *kernel);
/** placer_nodes() - nodes that may be there, as placement holders told lately;
 * or as the lease says; 0 when neither is known. */
uint32_t placer_nodes (const struct placer *placer);
