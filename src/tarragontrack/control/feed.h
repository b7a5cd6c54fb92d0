/// Listing and watching the kinds of store entries.
#pragma once

#include "tarragontrack/board/store_defs.h"

/// Makes the next call of a kind a list from its first page. A call in flight is forgotten.
void tt_feed_relist (TtFeedStream *stream, int64_t now_us);
