/// Request and attempt records: allocation, stage transitions, and completion.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Allocates the request and attempt pools of the board. RETURN 0 or TT_E_NO_MEMORY.
int tt_request_pools_init (TtBoard *board);

/// Frees the request and attempt pools of the board.
void tt_request_pools_free (TtBoard *board);

/// tt_request_new - allocates a request from the pool, in the stage TT_STAGE_ARRIVED
///
/// RETURN     the request, or NULL if the pool of TtBoardConfig.max_requests records is exhausted
TtRequest *tt_request_new (TtBoard *board, const TtRequestSpec *spec, int64_t now_us);

/// Assigns a request to a pool, which is not freed as long as requests belong to it; NULL = none.
void tt_request_set_pool (TtRequest *request, TtPool *pool);

/// Moves a request to the end of a stage's list and marks the board dirty.
void tt_request_set_stage (TtBoard *board, TtRequest *request, TtStage stage);

/// Finds an allocated request by its id; NULL if there is none.
TtRequest *tt_request_find (TtBoard *board, uint64_t request_id);

/// Finds an open attempt by its id; NULL if it is closed or unknown.
TtAttempt *tt_attempt_find (TtBoard *board, uint64_t attempt_id);

/// tt_attempt_new - opens an attempt, appends a TT_ACTION_DISPATCH action and moves the request to
/// TT_STAGE_RUNNING
///
/// ARGUMENTS  hedge: the request already has an open attempt
/// RETURN     the attempt, or NULL if TtBoardConfig.max_attempts are open
TtAttempt *tt_attempt_new (TtBoard *board, TtRequest *request, TtBackendServer *backend, bool hedge,
                           int64_t now_us);

/// Closes an attempt and frees its record, without an action for the front end.
void tt_attempt_close (TtBoard *board, TtAttempt *attempt);

/// Appends a TT_ACTION_CANCEL action and closes the attempt.
void tt_attempt_cancel (TtBoard *board, TtAttempt *attempt);

/// tt_request_finish - sets the outcome, cancels open attempts and moves the request to
/// TT_STAGE_FINISHED; later calls for the same request have no effect
///
/// ARGUMENTS  status: HTTP status for the caller, used if nothing was relayed; error: may be NULL
/// RETURN     the TT_ACTION_REPLY action; NULL for TT_OUTCOME_COMPLETE, whose response was relayed,
///            for a request that already has an outcome, or if memory could not be allocated
TtReplyAction *tt_request_finish (TtBoard *board, TtRequest *request, TtOutcome outcome,
                                  uint32_t status, uint32_t retry_after_ms, const TtError *error);

/// Returns a finished request to the pool. The controllers `claim` and `admit` must not use it
/// afterwards.
void tt_request_free (TtBoard *board, TtRequest *request);
