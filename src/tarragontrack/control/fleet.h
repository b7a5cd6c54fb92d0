/// Size of the fleet and age of its load reports, for other controllers.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include "tarragontrack/board/peer_defs.h"

/// Estimated number of daemons, this one included: the larger of the numbers of daemons listed in
/// the store and of live daemons. A default until the first other daemon or the list of daemons is
/// known.
uint32_t tt_fleet_size (const TtBoard *board);

/// Period of status messages in a small fleet. Loads received from other daemons are up to this old
/// when used, which is short compared to the duration of a request on an engine.
#define TT_FLEET_PERIOD_US (150 * TT_MILLISECOND_US)

/// Queues a message to a daemon.
///
/// RETURN     the message, whose contents the caller sets; NULL if memory could not be allocated
TtPeerMessage *tt_fleet_new_message (TtBoard *board, const char *address, uint16_t port,
                                     TtPeerType type);

/// Queues a status message to a daemon.
///
/// RETURN     the message, without prefix holders; NULL if memory could not be allocated
TtPeerMessage *tt_fleet_new_status (TtBoard *board, const TtDaemon *daemon, int64_t now_us);

/// Has a status message sent to all live daemons soon, because of a finding that binds them too.
void tt_fleet_advertise (TtBoard *board);

/// Sends a status message to all live daemons, or to those of this daemon's failure domain.
void tt_fleet_send_status (TtBoard *board, bool domain_only, int64_t now_us);

/// Sends a status message to all daemons that read the store.
void tt_fleet_send_status_to_readers (TtBoard *board, int64_t now_us);

/// Sets this daemon's name, address, versions and role.
void tt_fleet_fill_identity (const TtBoard *board, TtDaemonStatus *status, int64_t now_us);

/// Interval between two status messages to the same daemon.
int64_t tt_fleet_status_period_us (const TtBoard *board);

/// Age that the loads of other daemons reach before the next ones arrive, as a multiple of
/// TT_FLEET_PERIOD_US.
double tt_fleet_staleness (const TtBoard *board);
