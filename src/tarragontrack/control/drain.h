/// Shutdown state for the controllers that accept requests.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// True if new requests must be rejected because the announcement period of the shutdown is over.
/// Evaluates the time itself, so that it is exact between two ticks.
bool tt_drain_rejects_requests (const TtBoard *board, int64_t now_us);
