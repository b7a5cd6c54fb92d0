/// What the controllers that take requests read of the shutdown.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// True once the announcement of a shutdown is over and new requests are refused, also between two
/// ticks.
bool tt_drain_refuses (const TtBoard *board, int64_t now_us);
