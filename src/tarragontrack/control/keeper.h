/// The keeper's side of `share`: election, room, loans. Used by share.c only.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// How long slots are lent.
#define TT_LOAN_PERIOD_US (2 * TT_SECOND_US)

/// Allocates the records of loans and demands. RETURN 0 or TT_E_NO_MEMORY.
int tt_keeper_open (TtBoard *board);

/// Frees the records.
void tt_keeper_close (TtBoard *board);

/// Elects the keeper of each backend server again if the live members changed, and of new ones.
void tt_keeper_elect (TtBoard *board, int64_t now_us);

/// True if this daemon keeps the backend server's slots.
bool tt_keeper_is_self (const TtBoard *board, const TtBackendServer *backend);

/// tt_keeper_update_room - computes mean load and room of a pool
///
/// RETURN     true if the room of a backend server that this daemon keeps changed
/// NOTES      the mean counts requests that wait for a slot: with running ones alone a surge
///            could raise the limit only by the multiple in each loan period
bool tt_keeper_update_room (TtBoard *board, TtPool *pool, int64_t now_us);

/// Part of the room that is not lent.
uint32_t tt_keeper_free (const TtBackendServer *backend, int64_t now_us);

/// Gives back the slots that this daemon has lent to itself and does not need, before another one
/// asks: at low load the keeper's spare slot would be the only one.
void tt_keeper_return_spare (TtBoard *board, TtBackendServer *backend);

/// A borrower's ASK for one backend server.
typedef struct
{
  uint64_t member_id;
  uint64_t incarnation;
  uint32_t sequence;
  uint32_t used;   ///< slots in use; always granted again
  uint32_t wanted; ///< slots wanted in all
} TtLoanAsk;

/// False if a later ASK of the same borrower was answered for one of its backend servers.
bool tt_keeper_is_new (TtBoard *board, const TtPeerMessage *ask);

/// tt_keeper_lend - renews or changes a borrower's loan
///
/// ARGUMENTS  granted: set to the slots lent in all
/// RETURN     false if the ASK is older than the last one and is to be ignored
bool tt_keeper_lend (TtBoard *board, TtBackendServer *backend, const TtLoanAsk *ask,
                     uint32_t *granted, int64_t now_us);

/// Notes how many requests a daemon runs and queues of a service.
void tt_keeper_note_demand (TtBoard *board, TtPool *pool, const TtLoanAsk *ask, int64_t now_us);

/// Ends expired loans and demands.
void tt_keeper_expire (TtBoard *board, int64_t now_us);

/// Ends all loans and demands of a daemon that leaves.
void tt_keeper_forget (TtBoard *board, uint64_t member_id);
