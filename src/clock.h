#pragma once

#include <stdint.h>

/** clock_ms() - milliseconds of CLOCK_BOOTTIME, which includes suspend time.
 */
uint64_t clock_ms (void);
/** clock_us() - microseconds of CLOCK_BOOTTIME. */
uint64_t clock_us (void);
/** clock_wall_ms() - milliseconds since the Unix epoch. For records only, not
 * for measuring time. */
uint64_t clock_wall_ms (void);
