#include "support/unit.h"
#include "tarragontrack/board/histogram.h"

/// Guards against durations at a bucket's bounds that are counted in the wrong bucket, and against
/// durations above the last bound that are not counted.
static void
bucket_bounds (void)
{
  TtHistogram histogram = { 0 };

  tt_histogram_add (&histogram, -5);
  tt_histogram_add (&histogram, 1000);
  tt_histogram_add (&histogram, 1001);
  tt_histogram_add (&histogram, 16384 * 1000LL);
  tt_histogram_add (&histogram, 3600 * 1000000LL);
  CU_ASSERT_EQUAL (histogram.counts[0], 2);
  CU_ASSERT_EQUAL (histogram.counts[1], 1);
  CU_ASSERT_EQUAL (histogram.counts[14], 1);
  CU_ASSERT_EQUAL (histogram.counts[15], 1);
  CU_ASSERT_EQUAL (tt_histogram_bound_ms (14), 16384);
  CU_ASSERT_EQUAL (tt_histogram_bound_ms (15), 0);
}

static const UnitTest tests[] = {
  { "bucket_bounds", bucket_bounds },
};

UNIT_MAIN ("histogram", tests)
