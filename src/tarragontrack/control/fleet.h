/// Size of the fleet and age of its load reports, for other controllers.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Upper bound of the number of running daemons, this one included.
uint32_t tt_fleet_size (const TtBoard *board);

/// Longest age of the loads received from other daemons, in units of the shortest period between
/// two status messages.
double tt_fleet_staleness (const TtBoard *board);
