/// Cleared suspects, which the `poison` controller advertises to other daemons.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// tt_poison_copy_cleared - copies the suspects cleared recently because a request succeeded
///
/// ARGUMENTS  max: capacity of @entries
/// RETURN     number of entries written, each with 0 strikes
uint32_t tt_poison_copy_cleared (const TtBoard *board, TtPeerSuspect *entries, uint32_t max,
                                 int64_t now_us);
