/// Marks backend servers as leaving, as reported by host lists and gossip.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// tt_roster_mark_leaving - puts a backend server into the leaving state; no effect once it is gone
///
/// ARGUMENTS  by_list: reported by a host list, otherwise by gossip
void tt_roster_mark_leaving (TtBoard *board, TtBackendServer *backend, bool by_list,
                             int64_t now_us);
