#include "tarragontrack/control/budget.h"
#include <string.h>

/// Fraction of the budget that is used. The rest covers requests that this daemon counts in a
/// different window than the component that verifies the budget.
#define USED_FRACTION 0.8

/// Clears the buckets that have left the sliding window.
static void
advance_window (TtBudgetPool *budget, const TtBoardConfig *config, int64_t now_us)
{
  int64_t bucket_us = config->bounds.repeat_window_ms * TT_MILLISECOND_US / TT_BUDGET_BUCKETS;
  int64_t bucket = bucket_us > 0 ? now_us / bucket_us : 0;

  // The bucket number may decrease after the window length was changed.
  if (bucket < budget->bucket || bucket - budget->bucket >= TT_BUDGET_BUCKETS)
    {
      memset (budget, 0, sizeof *budget);
      budget->bucket = bucket;
      return;
    }
  while (budget->bucket < bucket)
    {
      budget->bucket++;
      budget->requests[budget->bucket % TT_BUDGET_BUCKETS] = 0;
      budget->repeats[budget->bucket % TT_BUDGET_BUCKETS] = 0;
    }
}

void
tt_budget_count_request (TtBudgetPool *budget, const TtBoardConfig *config, int64_t now_us)
{
  advance_window (budget, config, now_us);
  budget->requests[budget->bucket % TT_BUDGET_BUCKETS]++;
}

bool
tt_budget_consume (TtBudgetPool *budget, const TtBoardConfig *config, uint32_t daemons,
                   int64_t now_us)
{
  uint32_t requests = 0;
  uint32_t repeats = 0;
  double allowed;

  advance_window (budget, config, now_us);
  for (int i = 0; i < TT_BUDGET_BUCKETS; i++)
    {
      requests += budget->requests[i];
      repeats += budget->repeats[i];
    }
  allowed = USED_FRACTION
            * (config->bounds.repeat_ratio * requests
               + config->bounds.repeat_slack / (daemons > 0 ? daemons : 1));
  if (repeats + 1 > allowed)
    return false;
  budget->repeats[budget->bucket % TT_BUDGET_BUCKETS]++;
  return true;
}
