#pragma once

#include <stdint.h>

/** clock_ms() - milliseconds on CLOCK_BOOTTIME, which counts during suspend.
 */
uint64_t clock_ms (void);
/** clock_us() - microseconds on CLOCK_BOOTTIME. */
uint64_t clock_us (void);
/** clock_wall_ms() - milliseconds since the epoch; for records, not timing. */
uint64_t clock_wall_ms (void);
