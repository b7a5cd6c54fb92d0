/// Constants of the `health` controller that other controllers and tests use.
#pragma once

#include "tarragontrack/board/limits_defs.h"

/// Time over which the concurrency limit of a backend server grows from one after an ejection.
#define TT_HEALTH_SLOW_START_US (3 * TT_SECOND_US)

/// Failed connections within this time are attributed to one crash.
#define TT_HEALTH_CRASH_WINDOW_US (2 * TT_SECOND_US)
