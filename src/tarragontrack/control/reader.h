/// Readers of the store: in each failure domain one daemon watches the store and passes on what it
/// reads; the others follow it.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// True if this daemon watches the store, its calls succeed, and it does not shut down.
bool tt_reader_is_healthy (const TtBoard *board);

/// True if @daemon is a reader of this daemon's failure domain that was heard recently.
bool tt_reader_is_source (const TtBoard *board, const TtDaemon *daemon, int64_t now_us);

/// tt_reader_find - finds the reader that this daemon follows
///
/// RETURN     the reader of the failure domain with the lowest id among those that were heard
///            recently; NULL if there is none
const TtDaemon *tt_reader_find (const TtBoard *board, int64_t now_us);
