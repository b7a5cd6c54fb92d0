/// What `poison` tells the other daemons.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// tt_poison_cleared - fingerprints that were suspects and of which a request ended well
///
/// @max       number of @entries
/// @now_us    present time in microseconds
///
/// RETURN     entries filled in, each with no strikes
uint32_t tt_poison_cleared (const TtBoard *board, TtPeerSuspect *entries, uint32_t max,
                            int64_t now_us);
