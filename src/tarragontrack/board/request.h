/// Request and attempt records: allocation, stages, and the end of a request.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Allocates the records. RETURN 0 or TT_E_NO_MEMORY.
int tt_request_open (TtBoard *board);

/// Frees the records.
void tt_request_close (TtBoard *board);

/// tt_request_new - takes a free record and puts it on the ARRIVED list
///
/// RETURN     the request, or NULL if config.max_requests are on the board
TtRequest *tt_request_new (TtBoard *board, const TtRequestSpec *spec, int64_t now_us);

/// Moves a request to the end of a stage's list and marks the board dirty.
void tt_request_set_stage (TtBoard *board, TtRequest *request, TtStage stage);

/// Looks up a request that is not free; NULL if there is none.
TtRequest *tt_request_find (TtBoard *board, uint64_t request_id);

/// Looks up an open attempt; NULL if it is closed or unknown.
TtAttempt *tt_attempt_find (TtBoard *board, uint64_t attempt_id);

/// tt_attempt_new - opens an attempt, appends the DISPATCH action, moves the request to RUNNING
///
/// ARGUMENTS  hedge: beside an open attempt
/// RETURN     the attempt, or NULL if config.max_attempts are open
TtAttempt *tt_attempt_new (TtBoard *board, TtRequest *request, TtBackendServer *backend, bool hedge,
                           int64_t now_us);

/// Closes an attempt and frees its record. Does not tell the front end.
void tt_attempt_close (TtBoard *board, TtAttempt *attempt);

/// Appends a CANCEL action and closes the attempt.
void tt_attempt_cancel (TtBoard *board, TtAttempt *attempt);

/// tt_request_finish - sets the outcome and moves the request to FINISHED; open attempts are
/// cancelled; the first call wins
///
/// ARGUMENTS  status: HTTP status for the caller if nothing was relayed; error: may be NULL
/// RETURN     the REPLY action, or NULL: for TT_OUTCOME_COMPLETE the answer was relayed, and a
///            request that has an outcome keeps it
TtReplyAction *tt_request_finish (TtBoard *board, TtRequest *request, TtOutcome outcome,
                                  uint32_t status, uint32_t retry_after_ms, const TtError *error);

/// Frees a finished request whose owners (claim, admit) are done with it.
void tt_request_free (TtBoard *board, TtRequest *request);
