/// What backend servers said about themselves in their responses, for other controllers. A notice
/// binds this daemon at once and goes before the store, lists and other daemons, until the time
/// that it names ends or the backend server's process is replaced.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// True if the process of the backend server said that it leaves, here or at another daemon.
bool tt_notice_is_leaving (const TtBoard *board, uint64_t backend_id, uint64_t process_start_ms);

/// End of the time for which the process wants no requests from this daemon; 0 = none.
int64_t tt_notice_unavailable_until_us (const TtBoard *board, uint64_t backend_id,
                                        uint64_t process_start_ms);

/// tt_notice_copy_leaving - copies the processes that were seen leaving here, the latest first
///
/// ARGUMENTS  max: capacity of @entries
/// RETURN     number of entries written
uint32_t tt_notice_copy_leaving (const TtBoard *board, TtPeerNotice *entries, uint32_t max,
                                 int64_t now_us);
