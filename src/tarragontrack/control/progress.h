/// Progress timeouts of attempts and concurrency limits of backend servers, for several
/// controllers.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// True if an attempt has exceeded the progress timeout of its service, so that its connection
/// counts as silent.
bool tt_attempt_progress_timed_out (const TtAttempt *attempt, int64_t now_us);

/// tt_backend_concurrency_limit - number of requests that a backend server may run now, given its
/// health
///
/// RETURN     0 while ejected; during slow start, a value that rises from 1 to batch_limit
uint32_t tt_backend_concurrency_limit (const TtBackendServer *backend, int64_t now_us);
