/// Clock of the daemon.
#pragma once

#include <stdint.h>

/// Microseconds on CLOCK_BOOTTIME, which goes on during a pause of the host.
int64_t tt_clock_now_us (void);

/// Wall clock in microseconds, for the incarnation and for records that people read.
uint64_t tt_clock_wall_us (void);
