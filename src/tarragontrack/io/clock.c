#include "tarragontrack/io/clock.h"
#include <time.h>

#define US_PER_S 1000000
#define NS_PER_US 1000

int64_t
tt_clock_now_us (void)
{
  struct timespec now = { 0 };

  (void) clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t) now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

uint64_t
tt_clock_wall_us (void)
{
  struct timespec now = { 0 };

  (void) clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t) now.tv_sec * US_PER_S + (uint64_t) (now.tv_nsec / NS_PER_US);
}
