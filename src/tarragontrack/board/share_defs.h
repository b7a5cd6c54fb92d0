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
  TtLink link; ///< on TtShareBackend.loans or TtShareSection.free_loans
  uint64_t member_id;
  uint64_t incarnation;
  uint32_t sequence; ///< of the last slot request; older requests are ignored
  uint32_t slots;
  uint32_t unmet; ///< slots wanted in the last request and not granted
  int64_t expires_us;
} TtSlotLease;

/// Demand of one daemon for a service in this failure domain, as reported in its last slot request.
typedef struct
{
  TtLink link; ///< on TtSharePool.demands or TtShareSection.free_demands
  uint64_t member_id;
  uint32_t sequence;
  uint32_t requests; ///< running and queued
  uint32_t offered;  ///< offered load, see TtAdmitPool.offered
  int64_t expires_us;
} TtShareDemand;

typedef struct
{
  TtLink touched_link; ///< on TtShareSection.touched: attempts or lease changed
  // State as lessee.
  uint32_t lent;      ///< slots this daemon may use until TtShareBackend.lent_until_us
  uint32_t used;      ///< open attempts of this daemon
  uint32_t long_used; ///< open attempts that run long requests
  uint32_t idle;      ///< unused leased slots; counted in TtSharePool.idle_slots
  uint32_t free;      ///< counted in TtSharePool.free_slots
  uint32_t free_long; ///< counted in TtSharePool.free_long_slots
  int64_t lent_until_us;
  uint32_t asked;          ///< slots wanted in the last request
  uint32_t reported;       ///< open attempts reported in the last request
  uint32_t ask_sequence;   ///< of the unanswered request; 0 = none
  int64_t asked_us;        ///< time of the last request
  int64_t unanswered_us;   ///< first request since the slot owner's last grant; 0 = answered
  int64_t denied_until_us; ///< end of the backoff after a denial
  uint32_t denials;        ///< consecutive denials; lengthens the next backoff
  bool without_keeper;     ///< no slot owner answers; TtShareBackend.lent is the fallback
  double uses;             ///< moving average of the attempts opened per renewal period
  uint32_t opened;         ///< attempts opened since the last renewal
  uint64_t keeper_id;      ///< member id of the slot owner; 0 = unknown
  // State as slot owner.
  TtList loans;
  int64_t keeper_since_us; ///< 0 = this daemon is not the slot owner
  int64_t lends_from_us;   ///< no additional slot is granted before
  uint32_t room;           ///< total of slots that the slot owner may lease
  // Gossip of the slot owner, for engines owned by another daemon.
  uint32_t seen_load;
  uint32_t seen_room;
  int64_t seen_us;
} TtShareBackend;

typedef struct
{
  uint32_t free_slots;      ///< slots of this daemon that are unused or likely to be granted
  uint32_t free_long_slots; ///< free slots that long requests may use
  uint32_t idle_slots;      ///< unused leased slots
  double mean_load;         ///< requests per usable engine of the pool in the local failure domain
  uint32_t engines;         ///< usable engines of the pool in the local failure domain
  uint32_t used;            ///< open attempts of this daemon on engines of the local domain
  uint32_t demand;          ///< this daemon's requests at the last update of the slot limits
  TtList demands;           ///< TtShareDemand.link
} TtSharePool;

/// BOUNDS     TtShareSection.max_loans leases, beyond which a lessee is granted zero slots;
///            TT_MAX_SHARE_DEMANDS demand records, beyond which a demand is not counted
typedef struct
{
  TtList free_loans;
  TtSlotLease *loans;
  uint32_t max_loans;
  TtList free_demands;
  TtShareDemand *demands;
  TtList touched;     ///< TtShareBackend.touched_link; filled by board/request.c
  uint32_t version;   ///< incremented when a slot may have become free
  uint32_t sequence;  ///< of the last slot request
  uint64_t members;   ///< checksum of the live members
  uint32_t backends;  ///< number of backend servers and pools at the last check
  double asks;        ///< token bucket of the slot requests outside of renewals
  int64_t opened_us;  ///< time of the first event
  int64_t checked_us; ///< time of the last check of expiries and renewals
} TtShareSection;
