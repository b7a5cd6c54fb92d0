/// Table of the chats that were last served by a backend server other than their home, i.e. the one
/// that ranks first for the chat. Its size is fixed. Used by place.c only.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Allocates the table. RETURN 0 or TT_E_NO_MEMORY.
int tt_moved_chats_open (TtBoard *board);

/// Frees the table.
void tt_moved_chats_close (TtBoard *board);

/// Backend server that last served the chat; 0 if the table has no current entry.
uint64_t tt_moved_chats_find (TtBoard *board, uint64_t chat_key, int64_t now_us);

/// Adds or updates the chat's entry.
void tt_moved_chats_set (TtBoard *board, uint64_t chat_key, uint64_t backend_id, int64_t now_us);

/// Removes the chat's entry if it names @backend_id; if @backend_id is 0, whatever it names.
void tt_moved_chats_remove (TtBoard *board, uint64_t chat_key, uint64_t backend_id);
