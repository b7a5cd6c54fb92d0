/// Test driver: steps a board with events and reads its actions, for tests of one daemon.
#pragma once

#include "tarragontrack/board/board.h"

/// Steps the board with one tick at @now_us.
void drive_tick (TtBoard *board, int64_t now_us);

/// Ticks every TT_TICK_INTERVAL_US from @from_us up to and including @until_us.
void drive_ticks (TtBoard *board, int64_t from_us, int64_t until_us);

/// Steps the board with a request of @account for model "chat" and returns the request id. @kind
/// may be ""; @body is the chat key and the hash of the body.
uint64_t drive_send_request (TtBoard *board, const char *account, const char *kind, uint64_t body,
                             int64_t now_us);

/// Like drive_send_request(), with the non-idempotent kind "grant" and an idempotency key.
uint64_t drive_send_non_idempotent (TtBoard *board, const char *account, uint64_t key,
                                    int64_t now_us);

/// Marks the claim of a request in stage TT_STAGE_CLAIMING as owned, as the `claim` controller does
/// after its write, and ticks the board.
///
/// RETURN     the request, or NULL if it is unknown or in another stage
TtRequest *drive_set_claim_owned (TtBoard *board, uint64_t request_id, int64_t now_us);

/// Removes the next TT_ACTION_DISPATCH from the outbox; id 0 if there is none. All actions before
/// it are dropped.
TtAttemptAction drive_next_dispatch (TtBoard *board);

/// Removes the next TT_ACTION_REPLY from the outbox; request_id 0 if there is none. All actions
/// before it are dropped.
TtReplyAction drive_next_reply (TtBoard *board);

/// Steps the board with an event of an attempt: SENT, PROGRESS with @tokens, or DONE with status
/// 200.
void drive_attempt_event (TtBoard *board, TtEventType type, uint64_t attempt_id, uint32_t tokens,
                          int64_t now_us);

/// Steps the board with the failure of an attempt; @sent: the request may have reached the backend
/// server.
void drive_attempt_failed (TtBoard *board, uint64_t attempt_id, int code, bool sent,
                           int64_t now_us);

/// Sets the batch limit of all backend servers of model "chat" and returns its pool.
TtPool *drive_set_batch_limit (TtBoard *board, uint32_t batch_limit);
