/// Constructors of all controllers, and two functions that add the controllers of a daemon to its
/// board in the order in which they run.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// tt_controllers_add_leased - adds to a new board the controllers of a daemon that claims requests
/// and leases slots
///
/// RETURN     0, or the negative error code of the controller that could not be opened
int tt_controllers_add_leased (TtBoard *board);

/// tt_controllers_add_routed - adds to a new board the controllers of a daemon that places requests
/// by a routing table, for a deployment whose store holds configuration and backend servers
///
/// RETURN     0, or the negative error code of the controller that could not be opened
int tt_controllers_add_routed (TtBoard *board);

/// Each returns a controller for tt_board_add_controller().
TtController tt_roster_controller (void);
TtController tt_member_controller (void);
TtController tt_config_controller (void);
TtController tt_evidence_controller (void);
TtController tt_lease_controller (void);
TtController tt_acceptor_controller (void);
TtController tt_health_controller (void);
TtController tt_length_controller (void);
TtController tt_poison_controller (void);
TtController tt_quarantine_controller (void);
TtController tt_admit_controller (void);
TtController tt_claim_controller (void);
TtController tt_share_controller (void);
TtController tt_place_controller (void);
TtController tt_retry_controller (void);
TtController tt_order_controller (void);
TtController tt_drain_controller (void);
TtController tt_intake_controller (void);
TtController tt_feed_controller (void);
TtController tt_routes_controller (void);
TtController tt_notice_controller (void);
TtController tt_registry_controller (void);
TtController tt_breaker_controller (void);
TtController tt_dispatch_controller (void);
TtController tt_recovery_controller (void);
TtController tt_fleet_controller (void);
TtController tt_reader_controller (void);
