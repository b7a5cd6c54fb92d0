/// Constants of `health` that other controllers and tests read.
#pragma once

#include "tarragontrack/board/limits_defs.h"

/// Time over which the concurrency limit of a returned backend server grows from one.
#define TT_HEALTH_SLOW_START_US (3 * TT_SECOND_US)

/// Failed connections within this time belong to one crash.
#define TT_HEALTH_CRASH_WINDOW_US (2 * TT_SECOND_US)
