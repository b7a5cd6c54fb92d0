/// Callers' queries for recorded outcomes.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Adds a query. If TT_CLAIM_MAX_QUERIES queries are open, the response "unknown" is sent
/// immediately.
void tt_claim_query_add (TtBoard *board, const TtOutcomeQuery *received, int64_t now_us);

/// Responds to the queries of a shard that arrived before the response to the shard's last read,
/// and to those that have timed out ("unknown").
void tt_claim_query_respond (TtBoard *board, TtClaimShard *shard, int64_t now_us);
