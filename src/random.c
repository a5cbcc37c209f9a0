#include "random.h"

uint64_t
random_next (uint64_t *state)
{
  /* Constants of Knuth's MMIX. The low bits are dropped, because their periods
     are short. */
  *state = *state * 6364136223846793005U + 1442695040888963407U;
  return *state >> 33;
}
