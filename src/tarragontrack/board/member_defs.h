/// State of `member`: the daemons of the fleet as this daemon sees them.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_MEMBERS = 512,      ///< daemons known; the one gone longest is replaced
  TT_MEMBER_ACCOUNTS = 16384 ///< counts of client accounts at other daemons
};

typedef enum
{
  TT_MEMBER_ALIVE,
  TT_MEMBER_SUSPECT,
  TT_MEMBER_LEAVING,
  TT_MEMBER_GONE
} TtMemberState;

/// What gossip says of one daemon.
typedef struct
{
  uint64_t id; ///< hash of the daemon's name
  uint64_t domain_id;
  uint64_t incarnation; ///< rises with each start and with each refuted suspicion
  uint32_t heartbeat;   ///< rises with each gossip round of its owner
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
  int64_t heard_us;   ///< last rise of heartbeat or incarnation; 0 = known from a host list only
  int64_t changed_us; ///< last change that gossip should carry first
  uint32_t carried;   ///< messages that carried the entry since its last change
  bool self;
  bool listed; ///< on the last host list, and not leaving there
} TtMember;

/// Requests in flight of a client account at another daemon.
typedef struct
{
  uint64_t account_id; ///< 0 = unused
  uint64_t member_id;
  uint32_t in_flight;
  int64_t heard_us;
  bool direct; ///< from that daemon itself; only these are passed on
} TtMemberAccount;

/// What a gateway of another failure domain said.
typedef struct
{
  uint64_t domain_id;
  uint64_t generation;
  uint64_t epoch; ///< lowest in force in the failure domain
  uint32_t members;
  int64_t heard_us;
} TtMemberDomain;

/// BOUNDS     TT_MAX_MEMBERS daemons, the one gone longest is replaced; TT_MEMBER_ACCOUNTS
///            account counts, the oldest of a slot is replaced
typedef struct
{
  TtList all;
  TtList free;
  TtMember *pool;
  TtMember *self;
  int64_t next_round_us;
  int64_t next_gateway_us;
  int64_t next_age_us;
  uint32_t live_in_domain; ///< this daemon included
  uint32_t rank;           ///< of this daemon among the live ones of its domain; 0 = first
  uint32_t load_cursor;    ///< positions of the rotation over what a message has no room for
  uint32_t account_cursor;
  uint32_t beat_cursor;
  uint32_t suspect_cursor;
  uint64_t lowest_generation; ///< lowest epoch in force in the own failure domain
  uint64_t lowest_epoch;
  bool all_heard;          ///< every entry host on the list was heard and is not gone
  int64_t leaving_told_us; ///< news of leaving backend servers up to this time were sent
  bool left;               ///< TT_PEER_LEAVE was sent
  TtMemberDomain domains[TT_MAX_DOMAINS];
  uint32_t domain_count;
  TtMemberAccount *accounts;
  int64_t *load_heard_us; ///< by backend record: when its keeper itself told the load
} TtMemberSection;
