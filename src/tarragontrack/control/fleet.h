/// What other controllers read of the fleet.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Daemons that may be running, this one included; never less than there are.
uint32_t tt_fleet_size (const TtBoard *board);

/// How old loads on other daemons get before they are told again, as a multiple of the shortest
/// period between two status messages.
double tt_fleet_staleness (const TtBoard *board);
