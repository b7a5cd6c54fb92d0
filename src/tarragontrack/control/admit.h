/// Admission control: client accounts (admit_account.c), fair-queueing flows (admit_flow.c) and
/// request queues (admit_queue.c).
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Allocates the account records. RETURN 0 or TT_E_NO_MEMORY.
int tt_admit_open_accounts (TtBoard *board);

/// Frees the account records.
void tt_admit_close_accounts (TtBoard *board);

/// Creates, updates and retires accounts after the documents in force changed.
void tt_admit_update_accounts (TtBoard *board);

/// Looks up an account of a team; NULL if the team's document in force doesn't define it.
TtClientAccount *tt_admit_find_account (TtBoard *board, uint64_t team_id, uint64_t account_id);

/// Updates TtClientAccount.fleet_in_flight of all accounts and frees retired accounts, at most once
/// per second.
void tt_admit_update_fleet_in_flight (TtBoard *board, int64_t now_us);

/// tt_admit_consume_rate - consumes one token of the account's request rate limit
///
/// RETURN     0 if the request may start, else the milliseconds until the next token
uint32_t tt_admit_consume_rate (TtClientAccount *account, int64_t now_us);

/// tt_admit_local_limit - this daemon's part of the account's limit on requests in flight
///
/// RETURN     UINT32_MAX if the account has no limit; else at least 1 and at most the limit
uint32_t tt_admit_local_limit (const TtClientAccount *account);

/// Allocates the flow records. RETURN 0 or TT_E_NO_MEMORY.
int tt_admit_open_flows (TtBoard *board);

/// Frees the flow records.
void tt_admit_close_flows (TtBoard *board);

/// Frees the idle flows of an account that is about to be freed.
void tt_admit_free_idle_flows (TtBoard *board, const TtClientAccount *account);

/// Appends a request to its flow; creates the flow if needed.
///
/// ARGUMENTS  cost: in fair-queueing units, see TOKENS_PER_UNIT
void tt_admit_flow_append (TtBoard *board, TtRequest *request, double cost);

/// tt_admit_flow_remove - removes a request from its flow
///
/// ARGUMENTS  served: true to charge the request's cost to the flow
void tt_admit_flow_remove (TtBoard *board, TtRequest *request, bool served);

/// Number of requests of the same pool and priority that will be served before the last request of
/// @flow, provided that no more arrive.
double tt_admit_flow_requests_ahead (const TtAdmitFlow *flow);

/// Finish tag of the last request in the flow.
double tt_admit_flow_finish_tag (const TtAdmitFlow *flow);

/// tt_admit_reject - rejects a request that has had no attempt
///
/// ARGUMENTS  reason: start of the error detail
/// NOTES      the outcome is "unknown" for a non-idempotent request with an idempotency key, since
///            an earlier attempt under that key may have run
void tt_admit_reject (TtBoard *board, TtRequest *request, uint32_t status, uint32_t retry_after_ms,
                      const char *reason);

/// Queues an arrived request by pool and priority. Sheds a request if the expected wait exceeds
/// the deadline or the queue is full.
void tt_admit_enqueue (TtBoard *board, TtRequest *request, int64_t now_us);

/// Removes a request from its queue; does nothing if it isn't queued.
void tt_admit_dequeue (TtBoard *board, TtRequest *request);

/// Sheds the queued requests whose deadline has passed.
void tt_admit_expire (TtBoard *board, int64_t now_us);

/// Releases queued requests while the pools have free slots.
void tt_admit_release (TtBoard *board, int64_t now_us);
