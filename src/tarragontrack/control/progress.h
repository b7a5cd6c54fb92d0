/// Progress of attempts and room of backend servers, read by several controllers.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// True if an attempt is past the progress deadline of its service: the connection is silent.
bool tt_attempt_is_silent (const TtAttempt *attempt, int64_t now_us);

/// tt_backend_limit - requests a backend server may run now, in view of its health
///
/// RETURN     0 while ejected; from 1 up to batch_limit during slow start
uint32_t tt_backend_limit (const TtBackendServer *backend, int64_t now_us);
