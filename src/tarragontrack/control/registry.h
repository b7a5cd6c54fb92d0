/// Entries that are missing because the store was unavailable, for other controllers.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Time in ms for which entries may still be missing only because the store was unavailable; 0 if a
/// missing entry means that the backend server is gone. @is_list: of all entries; otherwise only of
/// those in the changes that were applied last
uint32_t tt_registry_lapse_ms (const TtBoard *board, bool is_list, int64_t now_us);
