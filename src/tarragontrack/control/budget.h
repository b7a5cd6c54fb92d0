/// Budget of repeated sends, shared by all daemons of the fleet. Each daemon uses a part that is
/// safe regardless of what the other daemons use.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Counts a request for a service, which adds to the budget.
void tt_budget_count_request (TtBudgetPool *budget, const TtBoardConfig *config, int64_t now_us);

/// tt_budget_consume - consumes one repeated send if this daemon's part of the budget allows it
///
/// ARGUMENTS  daemons: number of daemons in the fleet, including this one
/// RETURN     false if this daemon's part is exhausted
bool tt_budget_consume (TtBudgetPool *budget, const TtBoardConfig *config, uint32_t daemons,
                        int64_t now_us);
