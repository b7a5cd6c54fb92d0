/// Size of the fleet and age of its load reports, for other controllers.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Estimated number of daemons, this one included: the larger of the numbers of daemons listed in
/// the store and of live daemons. A default until the first other daemon or the list of daemons is
/// known.
uint32_t tt_fleet_size (const TtBoard *board);

/// Age that the load reports of other daemons reach before the next ones arrive: the current status
/// period as a multiple of the shortest one.
double tt_fleet_staleness (const TtBoard *board);
