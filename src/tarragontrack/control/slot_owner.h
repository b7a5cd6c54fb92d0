/// Slot owner: elects one daemon per backend server, computes the slot limits and grants slot
/// leases to the daemons. Used by share.c and slot.c only.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Duration of a slot lease.
#define TT_SLOT_LEASE_PERIOD_US (2 * TT_SECOND_US)

/// Allocates the lease and demand records. RETURN 0 or TT_E_NO_MEMORY.
int tt_slot_owner_open (TtBoard *board);

/// Frees the records.
void tt_slot_owner_close (TtBoard *board);

/// Elects the slot owner of each new backend server, and of all backend servers if the eligible
/// members changed.
void tt_slot_owner_elect (TtBoard *board, int64_t now_us);

/// True if this daemon is the slot owner of the backend server.
bool tt_slot_owner_is_self (const TtBoard *board, const TtBackendServer *backend);

/// tt_slot_owner_update_limit - computes the mean load and the slot limits of a pool
///
/// RETURN     true if the slot limit changed for a backend server that this daemon owns
/// NOTES      the mean includes requests that wait for a slot. With running requests alone, a surge
///            could raise the limit only by the factor load_multiple per lease period.
bool tt_slot_owner_update_limit (TtBoard *board, TtPool *pool, int64_t now_us);

/// Slots of the backend server's limit that are not leased.
uint32_t tt_slot_owner_unleased (const TtBackendServer *backend, int64_t now_us);

/// Releases the slots that this daemon has leased to itself and does not need. Called before
/// another daemon's request is handled: at low load the slot owner's spare slot may be the only
/// one.
void tt_slot_owner_release_spare (TtBoard *board, TtBackendServer *backend);

/// One entry of a lessee's slot request: its slots of a backend server or its demand for a service.
typedef struct
{
  uint64_t member_id;
  uint64_t incarnation;
  uint32_t sequence;
  uint32_t used;            ///< slots in use, always leased; demand: running and queued requests
  uint32_t requested_total; ///< total of slots requested; demand: offered load
} TtSlotLeaseRequest;

/// True unless this or a later request of the same lessee has already been handled for one of the
/// request's backend servers.
bool tt_slot_owner_is_newer (TtBoard *board, const TtPeerMessage *request);

/// tt_slot_owner_grant - renews or changes a lessee's lease
///
/// ARGUMENTS  granted: receives the total of slots granted; lower than the slots in use if slots
///            are withdrawn
/// RETURN     false if the request is older than the last one and must be ignored
bool tt_slot_owner_grant (TtBoard *board, TtBackendServer *backend,
                          const TtSlotLeaseRequest *request, uint32_t *granted, int64_t now_us);

/// Records the demand of a daemon for a service, i.e. its running and queued requests and its
/// offered load, and updates the slot limits.
void tt_slot_owner_record_demand (TtBoard *board, TtPool *pool, const TtSlotLeaseRequest *request,
                                  int64_t now_us);

/// Frees expired lease and demand records.
void tt_slot_owner_expire (TtBoard *board, int64_t now_us);

/// Ends all leases and demands of a daemon that leaves.
void tt_slot_owner_remove_member (TtBoard *board, uint64_t member_id);
