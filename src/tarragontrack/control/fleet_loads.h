/// Loads that the other daemons cause on the backend servers, for `fleet`.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include "tarragontrack/board/peer_defs.h"

/// Replaces the loads of a report.
void tt_fleet_loads_store (TtBoard *board, TtLoadReport *report, const TtStatusLoad *loads,
                           uint32_t count);

/// Counts the loads of a daemon from which a status message arrived, unless they are known from a
/// collector.
void tt_fleet_loads_update (TtBoard *board, TtDaemon *daemon, int64_t now_us);

/// Counts no loads of a daemon any more that is considered gone.
void tt_fleet_loads_forget (TtBoard *board, TtDaemon *daemon);

/// Handles the sums that a collector sent.
void tt_fleet_loads_receive (TtBoard *board, TtDaemon *collector, const TtLoadSums *sums,
                             int64_t now_us);

/// True if this daemon passes on changes of prefix holders that it receives.
bool tt_fleet_loads_forwards (const TtBoard *board);

/// Chooses how loads are learned, and sends this daemon's report or sums when they are due.
void tt_fleet_loads_run (TtBoard *board, int64_t now_us);
