/// Retry policy: retries, hedges, stream migration and attempt timeouts (retry_policy.c).
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Budget tokens that each request adds: the long-run ratio of retries and hedges to requests.
#define TT_RETRY_BUDGET_PER_REQUEST 0.1

/// Maximum burst of retries and hedges, e.g. after the crash of a fully loaded engine.
#define TT_RETRY_BUDGET_MAX 64.0

/// Initial budget, so that the first failures after the start can be retried.
#define TT_RETRY_BUDGET_START 10.0

/// tt_retry_end_attempt - decides how a request continues after an attempt was closed
///
/// Does nothing while another attempt of the request is open; otherwise retries the request or ends
/// it.
///
/// ARGUMENTS  error: error of the closed attempt
void tt_retry_end_attempt (TtBoard *board, TtRequest *request, const TtError *error,
                           int64_t now_us);

/// Records a failed attempt on the backend server, so that `place` avoids it while others exist.
void tt_retry_record_failure (TtRequest *request, const TtBackendServer *backend);

/// Starts hedges, migrates streams off ejected engines, ends attempts that make no progress and
/// requests whose retry has waited too long.
void tt_retry_check (TtBoard *board, int64_t now_us);
