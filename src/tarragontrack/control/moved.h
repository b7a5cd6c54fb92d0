/// The bounded table of chats that were served away from their home. Used by place.c only.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Allocates the table. RETURN 0 or TT_E_NO_MEMORY.
int tt_moved_open (TtBoard *board);

/// Frees the table.
void tt_moved_close (TtBoard *board);

/// Backend server that served the chat last; 0 if it is not in the table.
uint64_t tt_moved_find (TtBoard *board, uint64_t chat_key, int64_t now_us);

/// Enters a chat, or changes its entry.
void tt_moved_set (TtBoard *board, uint64_t chat_key, uint64_t backend_id, int64_t now_us);

/// Removes the chat's entry if it names @backend_id, or any if @backend_id is 0.
void tt_moved_drop (TtBoard *board, uint64_t chat_key, uint64_t backend_id);
