/// State of the `quarantine` controller: parts of prompts that crash backend servers.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_PROMPT_PARTS = 32,    ///< shared parts of one prompt that are known; further ones are not
  TT_MAX_SUSPECT_PARTS = 1024, ///< the one that was struck least recently is replaced
  TT_SUSPECT_PART_BUCKETS = 256,
  TT_MAX_PART_STRIKES = 8,   ///< strikes of one part; the oldest is replaced
  TT_MAX_CLEARED_PARTS = 64, ///< parts that last succeeded while they were suspects
  TT_PEER_MAX_PART_AGE_MS = 24 * 3600 * 1000, ///< age of a strike or success in a message; an older
                                              ///< one is sent with this age
  TT_PEER_MAX_PARTS = 16                      ///< parts in one message to another daemon
};

/// A crash of a process while it worked on a request with the part.
typedef struct
{
  uint64_t crash_id; ///< hash of the backend server's id and the start of its process
  int64_t at_us;
} TtPartStrike;

/// Strikes of a part, as sent between daemons. Without strikes, a request with the part succeeded,
/// and TtPeerPart.ages_ms[0] is the time since then.
typedef struct
{
  uint64_t key;
  uint32_t strike_count;
  uint64_t crash_ids[TT_MAX_PART_STRIKES];
  uint32_t ages_ms[TT_MAX_PART_STRIKES];
} TtPeerPart;

typedef struct
{
  TtLink link;        ///< on TtQuarantineSection.suspects or TtQuarantineSection.free
  TtLink bucket_link; ///< on TtQuarantineSection.buckets
  uint64_t key;       ///< of the part, see TtRequestSpec.part_keys
  TtPartStrike strikes[TT_MAX_PART_STRIKES]; ///< since the last success, oldest first
  uint32_t strike_count;
  bool quarantined;
  int64_t next_trial_us;       ///< next time that one request is let through
  int64_t next_alone_trial_us; ///< the same for a request without another quarantined part
} TtSuspectPart;

typedef struct
{
  uint64_t key; ///< 0 = none
  int64_t succeeded_us;
  bool seen_here; ///< at this daemon; advertised to the others
} TtClearedPart;

typedef struct
{
  TtList suspects; ///< most recently struck first
  TtList buckets[TT_SUSPECT_PART_BUCKETS];
  TtList free;
  TtSuspectPart *pool;
  uint32_t quarantined_count;
  bool unapplied; ///< a part was quarantined, and requests that wait or run were not yet checked
  TtClearedPart cleared[TT_MAX_CLEARED_PARTS];
  uint32_t next_cleared; ///< index in TtQuarantineSection.cleared that is replaced next
} TtQuarantineSection;

typedef struct
{
  bool trial; ///< let through to find out whether a quarantined part still crashes backend servers
} TtQuarantineRequest;
