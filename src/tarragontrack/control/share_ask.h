/// What a borrower asks the keepers of engines for.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// A loan is renewed after TT_SHARE_RENEW_US; when the answer is lost, one retry still arrives
/// before the loan of TT_LOAN_PERIOD_US ends.
#define TT_SHARE_RENEW_US (1600 * TT_MILLISECOND_US)
#define TT_SHARE_RETRY_US (200 * TT_MILLISECOND_US)

/// True if the daemon has to tell the keeper about this backend server.
bool tt_share_has_interest (const TtBackendServer *backend);

/// Sends one ASK, or several if one is full, for all that is due at one keeper. One message holds
/// all pools: a message for each of 17 models made most of the control traffic.
void tt_share_ask (TtBoard *board, uint64_t keeper_id, int64_t now_us);
