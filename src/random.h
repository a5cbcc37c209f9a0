#pragma once

#include <stdint.h>

/** random_next() - get 31 pseudo-random bits from a linear congruential
 * generator. Not for values that must be unpredictable. @state may start at
 * any value. */
uint64_t random_next (uint64_t *state);
