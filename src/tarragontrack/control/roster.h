/// Leaving backend servers that gossip tells of.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// tt_roster_leaving - notes that a source says the backend server is leaving
///
/// ARGUMENTS  by_list: from a host list; otherwise from gossip
void tt_roster_leaving (TtBoard *board, TtBackendServer *backend, bool by_list, int64_t now_us);
