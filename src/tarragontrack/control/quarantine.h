/// Parts of prompts that crash each backend server that begins to answer a request with them. The
/// rest of such requests varies, so strikes are added up for each part, over all daemons of the
/// fleet.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// tt_quarantine_copy_parts - copies the parts that other daemons are to know: those that were
/// cleared by a success here, then suspects, quarantined ones first
///
/// ARGUMENTS  max: capacity of @entries
/// RETURN     number of entries written
uint32_t tt_quarantine_copy_parts (const TtBoard *board, TtPeerPart *entries, uint32_t max,
                                   int64_t now_us);
