/// State of `member`: the daemons of the fleet as this daemon sees them.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_MEMBERS = 512 ///< daemons known; the one gone longest is replaced
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
  int64_t heard_us; ///< last rise of heartbeat or incarnation
  bool self;
} TtMember;

typedef struct
{
  TtList all;
  TtList free;
  TtMember *pool;
  TtMember *self;
  int64_t next_round_us;
  uint32_t live_in_domain; ///< this daemon included
} TtMemberSection;
