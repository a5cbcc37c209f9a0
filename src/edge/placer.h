#pragma once

#include <stdint.h>

#include "kernel.h"

/* The plug-in that decides which server holds which model. */

struct placer;

struct placer *placer_get (struct kernel *kernel);
/** placer_nodes() - nodes that may be there, as placement holders told lately;
 * 0 when none was heard long enough. */
uint32_t placer_nodes (const struct placer *placer);
