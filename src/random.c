#include "random.h"

uint64_t
random_next (uint64_t *state)
{
  /* The constants of Knuth's MMIX. The low bits have short periods. */
  *state = *state * 6364136223846793005U + 1442695040888963407U;
  return *state >> 33;
}
