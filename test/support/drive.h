/// Feeds events to a board and reads its actions, for tests of one daemon.
#pragma once

#include "tarragontrack/board/board.h"

/// Steps the board with one tick.
void drive_tick (TtBoard *board, int64_t now_us);

/// Ticks every TT_TICK_INTERVAL_US from @from_us up to and including @until_us.
void drive_ticks (TtBoard *board, int64_t from_us, int64_t until_us);

/// Sends a request of @account for model "chat" and returns its id; @kind may be "".
uint64_t drive_request (TtBoard *board, const char *account, const char *kind, uint64_t body,
                        int64_t now_us);

/// As drive_request() with kind "grant", which must not repeat, and an idempotency key.
uint64_t drive_grant (TtBoard *board, const char *account, uint64_t key, int64_t now_us);

/// Gives a CLAIMING request its claim, as `claim` does after its write.
TtRequest *drive_own_claim (TtBoard *board, uint64_t request_id, int64_t now_us);

/// Next DISPATCH on the outbox; id 0 if there is none. All actions before it are dropped.
TtAttemptAction drive_dispatch (TtBoard *board);

/// Next REPLY on the outbox; request_id 0 if there is none.
TtReplyAction drive_reply (TtBoard *board);

/// Tells the board of an attempt: SENT, PROGRESS with @tokens, or DONE with status 200.
void drive_attempt (TtBoard *board, TtEventType type, uint64_t attempt_id, uint32_t tokens,
                    int64_t now_us);

/// Tells the board that an attempt failed.
void drive_fail (TtBoard *board, uint64_t attempt_id, int code, bool sent, int64_t now_us);

/// Sets the batch limit of all backend servers of model "chat" and returns its pool.
TtPool *drive_batch (TtBoard *board, uint32_t batch_limit);
