/// Lessee's side of the slot leases: slot requests to the slot owners of the engines.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// A lease is renewed after TT_SLOT_REQUEST_RENEW_US. If the response is lost, there is time for a
/// retry after TT_SLOT_REQUEST_RETRY_US before the lease of TT_SLOT_LEASE_PERIOD_US expires.
#define TT_SLOT_REQUEST_RENEW_US (1600 * TT_MILLISECOND_US)
#define TT_SLOT_REQUEST_RETRY_US (200 * TT_MILLISECOND_US)

/// True if the daemon uses, needs or holds slots of this backend server, so that it must report to
/// the slot owner.
bool tt_slot_request_is_needed (const TtBackendServer *backend);

/// Sends the due slot requests of all pools to one slot owner, in as few messages as possible: one
/// message per pool made up most of the control traffic with 17 models.
void tt_slot_request_send (TtBoard *board, uint64_t owner_id, int64_t now_us);
