/// Leases of roles that need one holder, for other controllers.
#pragma once

#include "tarragontrack/board/board_defs.h"

#define TT_LEASE_DURATION_US (10 * TT_SECOND_US)
/// Covers the difference in rate of two clocks and the time of a write on its way.
#define TT_LEASE_MARGIN_US (2 * TT_SECOND_US)

/// tt_lease_want - takes part in a role, or stops taking part and releases it
///
/// ARGUMENTS  role: the object is leases/ROLE
/// RETURN     the lease; NULL if TT_MAX_LEASES roles are in use, or if it is not wanted and unknown
TtLease *tt_lease_want (TtBoard *board, const char *role, bool wanted);

/// Looks up the lease of a role; NULL if tt_lease_want() was never called for it.
TtLease *tt_lease_find (TtBoard *board, const char *role);

/// tt_lease_held - true while this daemon may act in the role
///
/// ARGUMENTS  lease: may be NULL; now_us: read after any pause, directly before the act
bool tt_lease_held (const TtLease *lease, int64_t now_us);
