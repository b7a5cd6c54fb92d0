/// Callers' questions for recorded outcomes.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Enters a question. When TT_CLAIM_QUERIES are open, it is answered "unknown" at once.
void tt_claim_query_enter (TtBoard *board, const TtOutcomeQuery *asked, int64_t now_us);

/// Answers the questions of a shard that was read after they arrived, and those that have waited
/// too long ("unknown").
void tt_claim_query_answer (TtBoard *board, TtClaimShard *shard, int64_t now_us);
