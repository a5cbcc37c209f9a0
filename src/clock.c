#include "clock.h"

#include <time.h>

static uint64_t
read_us (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t
clock_ms (void)
{
  return read_us (CLOCK_BOOTTIME) / 1000;
}

uint64_t
clock_us (void)
{
  return read_us (CLOCK_BOOTTIME);
}

uint64_t
clock_wall_ms (void)
{
  return read_us (CLOCK_REALTIME) / 1000;
}
