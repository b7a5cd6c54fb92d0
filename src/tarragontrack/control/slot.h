/// This daemon's slots on one backend server; used by the controllers `share` and `place`.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// True if new requests may be sent to the backend server.
bool tt_slot_is_usable (const TtBackendServer *backend);

/// Slots that are leased to this daemon and unused.
uint32_t tt_slot_idle (const TtBackendServer *backend, int64_t now_us);

/// True if another slot may be granted: the concurrency limit is not reached, and this daemon
/// either is the slot owner and counts a free slot, or can reach the slot owner and is not in
/// backoff after a denied request.
bool tt_slot_can_request (const TtBackendServer *backend, int64_t now_us);

/// tt_slot_long_limit - long requests that this daemon may run on the backend server concurrently
///
/// NOTES      this daemon's part of long_share * batch_limit. Fractions of a slot are rounded up on
///            some daemons and down on others, so that the sum over the daemons stays near the
///            limit.
uint32_t tt_slot_long_limit (const TtBoard *board, const TtBackendServer *backend);

/// Slots that a daemon uses while the slot owner is unreachable: its part of the last gossiped slot
/// limit. Without a recent one, the limit is computed from the last mean load. For a plain service
/// it is the batch limit.
uint32_t tt_slot_fallback_limit (const TtBoard *board, const TtBackendServer *backend,
                                 int64_t now_us);

/// True if an attempt of the request failed on the backend server. Only the last TT_RETRY_MAX_TRIED
/// failures are recorded.
bool tt_slot_was_tried (const TtRequest *request, const TtBackendServer *backend);

/// True if the request's last failed attempt was on the backend server.
bool tt_slot_failed_last (const TtRequest *request, const TtBackendServer *backend);

/// True if the request's service has a usable backend server on which no attempt has failed.
bool tt_slot_has_untried (const TtRequest *request);

/// Running, queued and waiting requests of this daemon for the pool.
uint32_t tt_slot_demand (const TtPool *pool);

/// Number of slots to request: those in use, those that requests wait for, and an estimate of the
/// attempts opened before the next renewal.
uint32_t tt_slot_desired (const TtBoard *board, const TtBackendServer *backend);
