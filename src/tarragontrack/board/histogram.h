/// Histogram of durations.
#pragma once

#include "tarragontrack/board/histogram_defs.h"

/// Adds a duration in µs; a negative one counts as 0.
void tt_histogram_add (TtHistogram *histogram, int64_t duration_us);

/// Inclusive upper bound of a bucket in ms; 0 for the last bucket, which is unbounded.
uint32_t tt_histogram_bound_ms (unsigned bucket);
