/// State of the `member` controller: this daemon's view of the fleet's membership.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_MEMBERS = 512, ///< member records; the member that has been gone longest is replaced
  TT_MAX_MEMBER_ACCOUNTS = 16384 ///< in-flight counts of client accounts
};

typedef enum
{
  TT_MEMBER_ALIVE,
  TT_MEMBER_SUSPECT,
  TT_MEMBER_LEAVING,
  TT_MEMBER_GONE
} TtMemberState;

/// One daemon as described by gossip.
typedef struct
{
  uint64_t id; ///< hash of the daemon's name
  uint64_t domain_id;
  uint64_t incarnation; ///< increases with each start and each refuted suspicion
  uint32_t heartbeat;   ///< increases with each gossip round of the daemon itself
  TtMemberState state;
  uint64_t epoch;      ///< configuration epoch in force
  uint64_t generation; ///< generation of that epoch
  char address[TT_ADDRESS_MAX];
  uint16_t port;
} TtMemberEntry;

typedef struct
{
  TtLink link; ///< on TtMemberSection.all
  TtMemberEntry entry;
  char name[TT_NAME_MAX];
  int64_t last_heartbeat_us; ///< last increase of heartbeat or incarnation; 0 = none, known from
                             ///< a host list only
  int64_t changed_us;        ///< last change of entry or state
  uint32_t transmissions;    ///< since the last change; entries with fewer are gossiped first
  bool self;
  bool listed; ///< on the last host list and not marked as leaving there
} TtMember;

/// In-flight requests of a client account at another daemon or in another failure domain.
typedef struct
{
  uint64_t account_id; ///< 0 = unused
  uint64_t member_id;
  uint32_t in_flight;
  int64_t received_us;
  bool from_owner; ///< sent by the daemon counted or by a gateway; only these are forwarded
} TtMemberAccount;

/// Last summary received from a gateway of another failure domain.
typedef struct
{
  uint64_t domain_id;
  uint64_t generation;
  uint64_t epoch;   ///< lowest configuration epoch in force in the failure domain
  uint32_t members; ///< live members
  int64_t received_us;
} TtMemberDomain;

/// BOUNDS     TT_MAX_MEMBERS members, the one that has been gone longest is replaced;
///            TT_MAX_MEMBER_ACCOUNTS account counts, the oldest one of a hash bucket is replaced
typedef struct
{
  TtList all;
  TtList free;
  TtMember *pool;
  TtMember *self;
  int64_t next_round_us;
  int64_t next_gateway_us;
  int64_t next_scan_us;
  uint32_t live_in_domain; ///< live members of this daemon's failure domain, itself included
  uint32_t rank;           ///< of this daemon among them, by hash score; 0 = first
  /// Positions from which the next message continues with entries that did not fit into the last.
  uint32_t load_cursor;
  uint32_t account_cursor;
  uint32_t heartbeat_cursor;
  uint32_t suspect_cursor;
  uint64_t lowest_generation; ///< generation of TtMemberSection.lowest_epoch
  uint64_t lowest_epoch;      ///< lowest epoch in force in this daemon's failure domain
  bool all_listed_live;       ///< every listed entry host of the failure domain is a live member
  int64_t leaving_sent_us;    ///< leaving states of up to this time were gossiped
  bool leave_sent;            ///< TT_PEER_LEAVE was sent
  TtMemberDomain domains[TT_MAX_DOMAINS];
  uint32_t domain_count;
  TtMemberAccount *accounts;
  int64_t *load_received_us; ///< last load from the slot owner itself, by backend record
} TtMemberSection;
