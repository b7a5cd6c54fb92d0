/// Copies of the routing table and of the list of backend servers, for `fleet`.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include "tarragontrack/board/peer_defs.h"

/// Responds to a daemon that requested a copy; ignores other messages.
void tt_fleet_copies_serve (TtBoard *board, const TtPeerMessage *message, int64_t now_us);

/// Fetches from other daemons newer versions of the routing table and of the list of backend
/// servers that the store does not deliver.
void tt_fleet_copies_fetch (TtBoard *board, int64_t now_us);
