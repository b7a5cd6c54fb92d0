/// Histogram of durations with fixed bucket bounds; each bound is twice the previous one.
#pragma once

#include <stdint.h>

enum
{
  TT_HISTOGRAM_BUCKETS = 16 ///< up to 1 ms, 2 ms, 4 ms, ... 16.4 s, and one unbounded bucket
};

typedef struct
{
  uint64_t counts[TT_HISTOGRAM_BUCKETS];
  uint64_t sum_us;
} TtHistogram;
