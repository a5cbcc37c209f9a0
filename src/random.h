#pragma once

#include <stdint.h>

/** random_next() - 31 random bits of a linear congruential generator; for
 * choices that nobody has to be unable to guess. @state starts at any seed. */
uint64_t random_next (uint64_t *state);
