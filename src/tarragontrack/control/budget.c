#include "tarragontrack/control/budget.h"
#include <string.h>

/// Part of the budget that is used. The rest covers requests that are counted in another window
/// here than where the budget is checked.
#define USED_PART 0.8

/// Forgets the parts of the window that have passed.
static void
advance (TtBudgetPool *budget, const TtBoardConfig *config, int64_t now_us)
{
  int64_t slot_us = config->bounds.repeat_window_ms * TT_MILLISECOND_US / TT_BUDGET_SLOTS;
  int64_t slot = slot_us > 0 ? now_us / slot_us : 0;

  // After a change of the window the number may be a smaller one.
  if (slot < budget->slot || slot - budget->slot >= TT_BUDGET_SLOTS)
    {
      memset (budget, 0, sizeof *budget);
      budget->slot = slot;
      return;
    }
  while (budget->slot < slot)
    {
      budget->slot++;
      budget->requests[budget->slot % TT_BUDGET_SLOTS] = 0;
      budget->repeats[budget->slot % TT_BUDGET_SLOTS] = 0;
    }
}

void
tt_budget_count_request (TtBudgetPool *budget, const TtBoardConfig *config, int64_t now_us)
{
  advance (budget, config, now_us);
  budget->requests[budget->slot % TT_BUDGET_SLOTS]++;
}

bool
tt_budget_take (TtBudgetPool *budget, const TtBoardConfig *config, uint32_t daemons, int64_t now_us)
{
  uint32_t requests = 0;
  uint32_t repeats = 0;
  double allowed;

  advance (budget, config, now_us);
  for (int i = 0; i < TT_BUDGET_SLOTS; i++)
    {
      requests += budget->requests[i];
      repeats += budget->repeats[i];
    }
  allowed = USED_PART
            * (config->bounds.repeat_ratio * requests
               + (double) config->bounds.repeat_slack / (daemons > 0 ? daemons : 1));
  if (repeats + 1 > allowed)
    return false;
  budget->repeats[budget->slot % TT_BUDGET_SLOTS]++;
  return true;
}
