/// Loads of backend servers as `dispatch` estimates them, for other controllers.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Estimated number of requests on a backend server: those that the daemons know of, or the number
/// that the backend server reported recently if that is higher.
uint32_t tt_dispatch_estimate_load (const TtBackendServer *backend, int64_t now_us);
