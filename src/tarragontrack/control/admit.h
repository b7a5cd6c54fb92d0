/// Parts of `admit`: client accounts (admit_account.c), flows (admit_flow.c) and queues
/// (admit_queue.c).
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Allocates the accounts. RETURN 0 or TT_E_NO_MEMORY.
int tt_admit_open_accounts (TtBoard *board);

/// Frees the accounts.
void tt_admit_close_accounts (TtBoard *board);

/// Makes, updates and retires accounts after a change of the documents in force.
void tt_admit_update_accounts (TtBoard *board);

/// Looks up an account of a team; NULL if its document in force has none of this name.
TtClientAccount *tt_admit_find_account (TtBoard *board, uint64_t team_id, uint64_t account_id);

/// Adds up the fleet's requests by account, at most once a second.
void tt_admit_sum_accounts (TtBoard *board, int64_t now_us);

/// tt_admit_take_rate - takes one request from the account's rate
///
/// RETURN     0, or milliseconds until the next request may start
uint32_t tt_admit_take_rate (TtClientAccount *account, int64_t now_us);

/// tt_admit_room - requests of the account that this daemon may have past the queue
///
/// RETURN     UINT32_MAX without a limit; else this daemon's part of it, at least 1 and at most
///            the limit
uint32_t tt_admit_room (const TtClientAccount *account);

/// Allocates the flows. RETURN 0 or TT_E_NO_MEMORY.
int tt_admit_open_flows (TtBoard *board);

/// Frees the flows.
void tt_admit_close_flows (TtBoard *board);

/// Forgets the idle flows of an account that is freed.
void tt_admit_forget_flows (TtBoard *board, const TtClientAccount *account);

/// Appends a request to its flow.
///
/// ARGUMENTS  cost: in units of fair queueing
void tt_admit_flow_append (TtBoard *board, TtRequest *request, double cost);

/// tt_admit_flow_remove - removes a request from its flow
///
/// ARGUMENTS  served: its cost is charged to the flow
void tt_admit_flow_remove (TtBoard *board, TtRequest *request, bool served);

/// Requests of the pool that are served before the last one of @flow, if no more arrive.
double tt_admit_flow_before (const TtAdmitFlow *flow);

/// Finish tag of the last request of the flow.
double tt_admit_flow_end (const TtAdmitFlow *flow);

/// tt_admit_refuse - ends a request that has had no attempt
///
/// ARGUMENTS  reason: ends the sentence of the error's detail
/// NOTES      "unknown" with an idempotency key: an earlier attempt under that key may have run
void tt_admit_refuse (TtBoard *board, TtRequest *request, uint32_t status, uint32_t retry_after_ms,
                      const char *reason);

/// Puts an arrived request into the queue of its pool and priority, or sheds.
void tt_admit_enqueue (TtBoard *board, TtRequest *request, int64_t now_us);

/// Takes a request out of its queue; nothing if it is in none.
void tt_admit_dequeue (TtBoard *board, TtRequest *request);

/// Refuses the queued requests whose deadline has passed.
void tt_admit_expire (TtBoard *board, int64_t now_us);

/// Releases queued requests while the pools have free slots.
void tt_admit_release (TtBoard *board, int64_t now_us);
