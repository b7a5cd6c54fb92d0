/// Parts of `retry`: second attempts (retry_second.c).
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Part of the first attempts that may be repeated or hedged.
#define TT_RETRY_BUDGET 0.1

/// Most second attempts that may follow at once, e.g. after the crash of a full engine.
#define TT_RETRY_BUDGET_MAX 64.0

/// Budget of a new board, so that the first failures can be retried.
#define TT_RETRY_BUDGET_START 10.0

/// tt_retry_end_attempt - after an attempt was closed: waits for a hedge, tries again or ends
///
/// ARGUMENTS  error: of the closed attempt
void tt_retry_end_attempt (TtBoard *board, TtRequest *request, const TtError *error,
                           int64_t now_us);

/// Notes that an attempt failed there, so that `place` avoids the backend server while others
/// exist.
void tt_retry_note_tried (TtRequest *request, const TtBackendServer *backend);

/// Starts hedges, moves streams off ejected engines, ends silent attempts and late retries.
void tt_retry_check (TtBoard *board, int64_t now_us);
