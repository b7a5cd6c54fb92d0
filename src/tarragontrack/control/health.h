/// Constants of the `health` controller that other controllers and tests use.
#pragma once

#include "tarragontrack/board/limits_defs.h"

/// Time after an ejection for latency in which the concurrency limit grows from one to its full
/// value.
#define TT_HEALTH_SLOW_START_US (3 * TT_SECOND_US)

/// Attempts of a backend server that fail with TT_E_CRASHED within this time of the first one count
/// as one crash.
#define TT_HEALTH_CRASH_WINDOW_US (2 * TT_SECOND_US)
