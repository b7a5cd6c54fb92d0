/// Names and help texts of the counters.
#pragma once

#include "tarragontrack/board/counter_defs.h"

/// Prometheus name of a counter.
const char *tt_counter_name (TtCounterId id);

/// Help text of a counter, one line.
const char *tt_counter_help (TtCounterId id);
