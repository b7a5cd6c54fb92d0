/// Leases of roles with at most one holder, for other controllers.
#pragma once

#include "tarragontrack/board/board_defs.h"

#define TT_LEASE_DURATION_US (10 * TT_SECOND_US)
/// Covers the drift between two clocks and the time that a write needs to reach the platform.
#define TT_LEASE_MARGIN_US (2 * TT_SECOND_US)

/// tt_lease_set_candidate - makes this daemon a candidate for a role, or withdraws it and releases
/// the lease
///
/// ARGUMENTS  role: the object is leases/ROLE; candidate: true to become or stay a candidate
/// RETURN     the lease; NULL if TT_MAX_LEASES roles are in use, or if this daemon is to withdraw
///            from a role for which it never was a candidate
TtLease *tt_lease_set_candidate (TtBoard *board, const char *role, bool candidate);

/// Returns the lease of a role; NULL if this daemon never was a candidate for it.
TtLease *tt_lease_find (TtBoard *board, const char *role);

/// tt_lease_held - true while this daemon holds the lease and may act in the role
///
/// ARGUMENTS  lease: may be NULL; now_us: clock value read directly before the action, because the
///            lease may expire during a pause of the process
bool tt_lease_held (const TtLease *lease, int64_t now_us);
