#include "support/unit.h"
#include "tarragontrack/control/budget.h"

static const TtBoardConfig config
    = { .bounds.repeat_ratio = 0.2, .bounds.repeat_slack = 50, .bounds.repeat_window_ms = 10000 };

/// Consumes repeated sends until the budget is exhausted. RETURN the number consumed.
static unsigned
consume_all (TtBudgetPool *budget, uint32_t daemons, int64_t now_us)
{
  unsigned consumed = 0;

  while (consumed < 1000 && tt_budget_consume (budget, &config, daemons, now_us))
    consumed++;
  return consumed;
}

/// Guards against parts of the daemons that add up to more than the fleet's budget, with and
/// without requests.
static void
parts_within_fleet_budget (void)
{
  TtBudgetPool idle = { 0 };
  TtBudgetPool busy = { 0 };
  int64_t now_us = 100 * TT_SECOND_US;

  CU_ASSERT (consume_all (&idle, 5, now_us) <= 10);
  for (int i = 0; i < 100; i++)
    tt_budget_count_request (&busy, &config, now_us);
  CU_ASSERT (consume_all (&busy, 5, now_us) <= 30);
  CU_ASSERT_EQUAL (consume_all (&busy, 5, now_us + 9 * TT_SECOND_US), 0);
}

/// Guards against a budget that stays exhausted after its window has passed.
static void
budget_recovers_after_window (void)
{
  TtBudgetPool budget = { 0 };
  int64_t now_us = 100 * TT_SECOND_US;
  unsigned first = consume_all (&budget, 5, now_us);

  CU_ASSERT (first > 0);
  CU_ASSERT_EQUAL (consume_all (&budget, 5, now_us + 11 * TT_SECOND_US), first);
}

/// Guards against a budget that stays exhausted for hours after the window was lengthened. The
/// buckets are numbered by the time divided by their length, so the numbers decrease when the
/// window is lengthened.
static void
budget_recovers_after_window_change (void)
{
  TtBudgetPool budget = { 0 };
  TtBoardConfig longer = config;
  int64_t now_us = 100 * TT_SECOND_US;
  unsigned first = consume_all (&budget, 5, now_us);

  longer.bounds.repeat_window_ms = 20000;
  (void) tt_budget_consume (&budget, &longer, 5, now_us);
  CU_ASSERT_TRUE (tt_budget_consume (&budget, &longer, 5, now_us + 25 * TT_SECOND_US));
  CU_ASSERT (first > 0);
}

static const UnitTest tests[] = {
  { "parts_within_fleet_budget", parts_within_fleet_budget },
  { "budget_recovers_after_window", budget_recovers_after_window },
  { "budget_recovers_after_window_change", budget_recovers_after_window_change },
};

UNIT_MAIN ("budget", tests)
