/// Listing and watching the kinds of store entries.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Makes the next call of a kind a list from its first page. A call in flight is forgotten.
void tt_feed_relist (TtFeedStream *stream, int64_t now_us);

/// Makes a daemon that does not watch a kind list it once. A call that fails is not repeated.
void tt_feed_request_list (TtBoard *board, TtStoreKind kind);

/// tt_feed_call_store - queues a call to the store
///
/// ARGUMENTS  stream: of the kind that is read; NULL for a write
///            waits: a watch waits for a change
/// RETURN     id of the call; 0 if memory could not be allocated
uint64_t tt_feed_call_store (TtBoard *board, TtPlatformOp op, TtStoreKind kind,
                             const TtFeedStream *stream, bool waits);
