/// State of the budget of repeated sends of this daemon.
#pragma once

#include <stdint.h>

enum
{
  TT_BUDGET_BUCKETS = 20 ///< buckets of the sliding window
};

/// Sliding-window counters of one service.
typedef struct
{
  uint32_t requests[TT_BUDGET_BUCKETS];
  uint32_t repeats[TT_BUDGET_BUCKETS];
  int64_t bucket; ///< number of the newest bucket: clock time divided by the bucket length
} TtBudgetPool;
