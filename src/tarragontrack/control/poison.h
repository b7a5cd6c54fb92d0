/// Cleared suspects, which the `poison` controller advertises to other daemons, and how blocked
/// requests end.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// tt_poison_copy_cleared - copies the suspects cleared recently because a request succeeded
///
/// ARGUMENTS  max: capacity of @entries
/// RETURN     number of entries written, each with 0 strikes
uint32_t tt_poison_copy_cleared (const TtBoard *board, TtPeerSuspect *entries, uint32_t max,
                                 int64_t now_us);

/// tt_poison_stop_routed - stops a request of a routed service that is not sent again because it
/// crashes backend servers
///
/// The outcome depends on this request's own attempts only.
///
/// ARGUMENTS  retry_after_ms: for a request that did not run
void tt_poison_stop_routed (TtBoard *board, TtRequest *request, uint32_t retry_after_ms,
                            const TtError *error);
