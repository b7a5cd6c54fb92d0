/// Circuit-breaker queries for other controllers.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// True if a request may be dispatched to the backend server now.
bool tt_breaker_allows (const TtBoard *board, const TtBackendServer *backend, int64_t now_us);

/// True if a request may be dispatched to the backend server as a last resort, when no other one is
/// allowed: its breaker is not open, or it responds to some requests
/// (TtBreakerBackend.partly_responding).
bool tt_breaker_allows_last_resort (const TtBackendServer *backend);
