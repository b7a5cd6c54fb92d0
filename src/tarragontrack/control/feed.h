/// Listing and watching the kinds of store entries.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// True while the calls of a kind fail in a way in which entries may lapse. The cut of a waiting
/// watch, or of several, is none: unless no call succeeds for a report interval of the backend
/// servers, their reports arrived at the store in time.
bool tt_feed_is_outage (const TtBoard *board, const TtFeedStream *stream, int64_t now_us);

/// Makes the next call of a kind a list from its first page. A call in flight is forgotten.
void tt_feed_relist (TtFeedStream *stream, int64_t now_us);

/// Makes a daemon that does not watch a kind list it once. A call that fails is not repeated.
void tt_feed_request_list (TtBoard *board, TtStoreKind kind);
