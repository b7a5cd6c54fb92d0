/// Retry-After of all rejections of requests that did not run, on a board with a routing table.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Records how long a backend server took for a request of the pool.
void tt_retry_after_add_service_time (TtPool *pool, int64_t duration_us);

/// tt_retry_after_available_us - earliest time at which a backend server of the pool may take a
/// request
///
/// RETURN     @now_us if one takes requests now; INT64_MAX if the pool has no live one
int64_t tt_retry_after_available_us (const TtBoard *board, const TtPool *pool, int64_t now_us);

/// Time that a request sent to the backend server now waits there for a slot, in µs.
int64_t tt_retry_after_slot_wait_us (const TtBackendServer *backend, uint32_t load);

/// tt_retry_after_pool_ms - chooses the time after which a rejected caller of the pool may return
///
/// Callers return at the rate that this daemon's part of the pool can take, after what waits there
/// has been served, and before less urgent callers that are told to return after this call.
///
/// ARGUMENTS  priority: 0 is the most urgent
/// RETURN     ms, 1 at least
uint32_t tt_retry_after_pool_ms (TtBoard *board, TtPool *pool, uint32_t priority, int64_t now_us);

/// Time in ms until this daemon may have learned a configuration or a backend server that it lacks.
uint32_t tt_retry_after_news_ms (const TtBoard *board, int64_t now_us);

/// Time in ms until one of this daemon's request records may be free.
uint32_t tt_retry_after_record_ms (const TtBoard *board);

/// Time in ms until another daemon may take the request: it may at once.
uint32_t tt_retry_after_elsewhere_ms (void);
