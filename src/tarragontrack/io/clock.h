/// Monotonic clock and wall clock of the daemon.
#pragma once

#include <stdint.h>

/// Returns microseconds of CLOCK_BOOTTIME, which continues while the host is suspended.
int64_t tt_clock_now_us (void);

/// Returns wall-clock time in microseconds, for the daemon's incarnation and for timestamps in
/// stored objects, which other daemons and operators read.
uint64_t tt_clock_wall_us (void);
