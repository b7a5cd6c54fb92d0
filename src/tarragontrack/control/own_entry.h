/// Internal interface of `feed`: this daemon's own entry in the platform's store.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Handles the store's response to a write of this daemon's entry.
void tt_own_entry_handle_write (TtBoard *board, const TtPlatformEvent *event, int code,
                                int64_t now_us);

/// Checks whether the store's entry for this daemon is up to date. @entries: of TT_STORE_DAEMONS
void tt_own_entry_check (TtBoard *board, const TtStoreEntries *entries);

/// Writes the entry if it is missing, differs, or may be missing since the store's era changed.
void tt_own_entry_run (TtBoard *board, int64_t now_us);
