#include "support/unit.h"
#include "tarragontrack/control/budget.h"

static const TtBoardConfig config
    = { .bounds.repeat_ratio = 0.2, .bounds.repeat_slack = 50, .bounds.repeat_window_ms = 10000 };

/// Takes until the budget refuses. RETURN the number taken.
static unsigned
take_all (TtBudgetPool *budget, uint32_t daemons, int64_t now_us)
{
  unsigned taken = 0;

  while (taken < 1000 && tt_budget_take (budget, &config, daemons, now_us))
    taken++;
  return taken;
}

/// Guards against parts that add up to more than the fleet's budget, with or without requests.
static void
parts_stay_below (void)
{
  TtBudgetPool idle = { 0 };
  TtBudgetPool busy = { 0 };
  int64_t now_us = 100 * TT_SECOND_US;

  CU_ASSERT (take_all (&idle, 5, now_us) <= 10);
  for (int i = 0; i < 100; i++)
    tt_budget_count_request (&busy, &config, now_us);
  CU_ASSERT (take_all (&busy, 5, now_us) <= 30);
  CU_ASSERT_EQUAL (take_all (&busy, 5, now_us + 9 * TT_SECOND_US), 0);
}

/// Guards against a budget that stays used up after its window.
static void
window_passes (void)
{
  TtBudgetPool budget = { 0 };
  int64_t now_us = 100 * TT_SECOND_US;
  unsigned first = take_all (&budget, 5, now_us);

  CU_ASSERT (first > 0);
  CU_ASSERT_EQUAL (take_all (&budget, 5, now_us + 11 * TT_SECOND_US), first);
}

/// Guards against a budget that stays used up for hours after the window was made longer: its parts
/// are numbered by the time divided by their length.
static void
window_changes (void)
{
  TtBudgetPool budget = { 0 };
  TtBoardConfig longer = config;
  int64_t now_us = 100 * TT_SECOND_US;
  unsigned first = take_all (&budget, 5, now_us);

  longer.bounds.repeat_window_ms = 20000;
  (void) tt_budget_take (&budget, &longer, 5, now_us);
  CU_ASSERT_TRUE (tt_budget_take (&budget, &longer, 5, now_us + 25 * TT_SECOND_US));
  CU_ASSERT (first > 0);
}

static const UnitTest tests[] = {
  { "parts_stay_below", parts_stay_below },
  { "window_passes", window_passes },
  { "window_changes", window_changes },
};

UNIT_MAIN ("budget", tests)
