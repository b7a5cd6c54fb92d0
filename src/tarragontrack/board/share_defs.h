/// State of the slot sharing controller: the slot limit of each engine and the slots leased to this
/// daemon.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_SLOT_LEASES = 16384, ///< leases that one slot owner grants
  TT_MAX_SHARE_DEMANDS = 4096 ///< demand records of other daemons at one slot owner
};

/// Lease of slots of one engine to one daemon. Stored at the engine's slot owner.
typedef struct
{
  TtLink link; ///< on TtShareBackend.leases or TtShareSection.free_leases
  uint64_t member_id;
  uint64_t incarnation;
  uint32_t sequence; ///< of the last slot request; older requests are ignored
  uint32_t slots;
  uint32_t unmet; ///< slots requested in the last slot request and not granted
  int64_t expires_us;
} TtSlotLease;

/// Demand of one daemon for a service in this failure domain, as reported in its last slot request.
typedef struct
{
  TtLink link; ///< on TtSharePool.demands or TtShareSection.free_demands
  uint64_t member_id;
  uint32_t sequence;
  uint32_t requests;     ///< running and queued
  uint32_t offered_load; ///< offered load, see TtAdmitPool.offered_load
  int64_t expires_us;
} TtShareDemand;

typedef struct
{
  TtLink changed_link; ///< on TtShareSection.changed_backends if the open attempts changed
  // State as lessee.
  uint32_t leased_slots;    ///< slots this daemon may use until TtShareBackend.lease_expires_us
  uint32_t used;            ///< open attempts of this daemon
  uint32_t long_used;       ///< open attempts that run long requests
  uint32_t idle_slots;      ///< unused leased slots; counted in TtSharePool.idle_slots
  uint32_t free_slots;      ///< counted in TtSharePool.free_slots
  uint32_t free_long_slots; ///< counted in TtSharePool.free_long_slots
  int64_t lease_expires_us;
  uint32_t requested_slots;  ///< slots requested in the last slot request
  uint32_t reported_used;    ///< open attempts reported in the last request
  uint32_t request_sequence; ///< of the unanswered request; 0 = none
  int64_t requested_us;      ///< time of the last request
  int64_t unanswered_us;     ///< time of the first request since the last grant; 0 = none since
  int64_t denied_until_us;   ///< end of the backoff after a denial
  uint32_t denials;          ///< consecutive denials; lengthens the next backoff
  bool uses_fallback; ///< no reachable slot owner; TtShareBackend.leased_slots is the fallback
  double opened_per_renewal;     ///< moving average of the attempts opened per renewal period
  uint32_t opened_since_renewal; ///< attempts opened since the last renewal
  uint64_t owner_id;             ///< member id of the slot owner; 0 = unknown
  // State as slot owner.
  TtList leases;
  int64_t owner_since_us; ///< 0 = this daemon is not the slot owner
  int64_t grants_from_us; ///< no additional slot is granted before
  uint32_t slot_limit;    ///< total of slots that the slot owner may lease
  // Gossip of the slot owner, for engines owned by another daemon.
  uint32_t gossip_load;
  uint32_t gossip_slot_limit;
  int64_t gossip_us;
} TtShareBackend;

typedef struct
{
  uint32_t free_slots;       ///< slots of this daemon that are unused or likely to be granted
  uint32_t free_long_slots;  ///< free slots that long requests may use
  uint32_t idle_slots;       ///< unused leased slots
  double mean_load;          ///< requests per usable engine of the pool in the local failure domain
  uint32_t engines;          ///< usable engines of the pool in the local failure domain
  uint32_t used;             ///< open attempts of this daemon on engines of the local domain
  uint32_t demand_at_update; ///< this daemon's requests at the last update of the slot limits
  TtList demands;            ///< TtShareDemand.link
} TtSharePool;

/// BOUNDS     TtShareSection.max_leases leases, beyond which a lessee is granted zero slots;
///            TT_MAX_SHARE_DEMANDS demand records, beyond which a demand is not counted
typedef struct
{
  TtList free_leases;
  TtSlotLease *lease_records;
  uint32_t max_leases;
  TtList free_demands;
  TtShareDemand *demand_records;
  TtList changed_backends;     ///< TtShareBackend.changed_link; filled by board/request.c
  uint32_t version;            ///< incremented when a slot may have become free
  uint32_t sequence;           ///< of the last slot request
  uint64_t members_checksum;   ///< checksum of the members eligible as slot owner
  uint32_t backend_pool_count; ///< number of backend servers and pools at the last check
  double request_tokens;       ///< token bucket of the slot requests outside of renewals
  int64_t started_us;          ///< time of the first event
  int64_t checked_us;          ///< last time that expiries and renewals were checked
} TtShareSection;
