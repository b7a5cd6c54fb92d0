/// This daemon's slots on one backend server, as `share` and `place` see them.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// True if new work may go to the backend server.
bool tt_slot_usable (const TtBackendServer *backend);

/// Slots that are lent to this daemon and not used.
uint32_t tt_slot_idle (const TtBackendServer *backend, int64_t now_us);

/// True if the keeper may lend another slot: it did not refuse one a moment ago.
bool tt_slot_can_ask (const TtBackendServer *backend, int64_t now_us);

/// tt_slot_long_cap - long jobs this daemon may run on the backend server at once
///
/// NOTES      this daemon's part of long_share * batch_limit. A fraction of a slot is rounded up
///            on some daemons and down on the others, so that the sum stays near the cap.
uint32_t tt_slot_long_cap (const TtBoard *board, const TtBackendServer *backend);

/// Slots of a daemon whose keeper cannot be reached: its part of the last known room.
uint32_t tt_slot_fallback (const TtBoard *board, const TtBackendServer *backend, int64_t now_us);

/// True if an attempt of the request failed on the backend server; see TT_RETRY_TRIED.
bool tt_slot_tried (const TtRequest *request, const TtBackendServer *backend);

/// True if the request's last failed attempt was on the backend server.
bool tt_slot_failed_last (const TtRequest *request, const TtBackendServer *backend);

/// True if the request's service has a usable backend server on which no attempt failed.
bool tt_slot_has_untried (const TtRequest *request);

/// Requests of this daemon that run on or wait for the pool.
uint32_t tt_slot_demand (const TtPool *pool);

/// Slots to ask for: those in use, those that requests wait for, and what is likely to be opened
/// before the next renewal.
uint32_t tt_slot_wish (const TtBoard *board, const TtBackendServer *backend);
