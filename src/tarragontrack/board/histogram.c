#include "tarragontrack/board/histogram.h"

#define US_PER_MS 1000

uint32_t
tt_histogram_bound_ms (unsigned bucket)
{
  return bucket < TT_HISTOGRAM_BUCKETS - 1 ? 1U << bucket : 0;
}

void
tt_histogram_add (TtHistogram *histogram, int64_t duration_us)
{
  unsigned bucket = 0;

  if (duration_us < 0)
    duration_us = 0;
  while (bucket < TT_HISTOGRAM_BUCKETS - 1
         && duration_us > (int64_t) tt_histogram_bound_ms (bucket) * US_PER_MS)
    bucket++;
  histogram->counts[bucket]++;
  histogram->sum_us += (uint64_t) duration_us;
}
