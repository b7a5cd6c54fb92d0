/// Slot owner: elects one daemon per backend server, computes the slot limits and grants slot
/// leases to the daemons. Used by share.c only.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Duration of a slot lease.
#define TT_LOAN_PERIOD_US (2 * TT_SECOND_US)

/// Allocates the lease and demand records. RETURN 0 or TT_E_NO_MEMORY.
int tt_keeper_open (TtBoard *board);

/// Frees the records.
void tt_keeper_close (TtBoard *board);

/// Elects the slot owner of each new backend server, and of all backend servers if the live members
/// changed.
void tt_keeper_elect (TtBoard *board, int64_t now_us);

/// True if this daemon is the slot owner of the backend server.
bool tt_keeper_is_self (const TtBoard *board, const TtBackendServer *backend);

/// tt_keeper_update_room - computes the mean load and the slot limits of a pool
///
/// RETURN     true if the slot limit changed for a backend server that this daemon owns
/// NOTES      the mean includes requests that wait for a slot. With running requests alone, a surge
///            could raise the limit only by the factor load_multiple per lease period.
bool tt_keeper_update_room (TtBoard *board, TtPool *pool, int64_t now_us);

/// Slots of the backend server's limit that are not leased.
uint32_t tt_keeper_free (const TtBackendServer *backend, int64_t now_us);

/// Releases the slots that this daemon has leased to itself and does not need, before it handles
/// another daemon's request: at low load the slot owner's spare slot may be the only one.
void tt_keeper_return_spare (TtBoard *board, TtBackendServer *backend);

/// A lessee's slot request for one backend server.
typedef struct
{
  uint64_t member_id;
  uint64_t incarnation;
  uint32_t sequence;
  uint32_t used;   ///< slots in use; always granted
  uint32_t wanted; ///< total of slots wanted
} TtLoanAsk;

/// False if a later request of the same lessee was already answered for one of the request's
/// backend servers.
bool tt_keeper_is_new (TtBoard *board, const TtPeerMessage *request);

/// tt_keeper_lend - renews or changes a lessee's lease
///
/// ARGUMENTS  granted: receives the total of slots leased
/// RETURN     false if the request is older than the last one and must be ignored
bool tt_keeper_lend (TtBoard *board, TtBackendServer *backend, const TtLoanAsk *request,
                     uint32_t *granted, int64_t now_us);

/// Records the demand of a daemon for a service: its running and queued requests and offered load.
void tt_keeper_note_demand (TtBoard *board, TtPool *pool, const TtLoanAsk *request, int64_t now_us);

/// Frees expired lease and demand records.
void tt_keeper_expire (TtBoard *board, int64_t now_us);

/// Ends all leases and demands of a daemon that leaves.
void tt_keeper_forget (TtBoard *board, uint64_t member_id);
