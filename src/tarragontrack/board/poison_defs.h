/// State of `poison`: fingerprints of requests that ran on a backend server when it crashed.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_SUSPECTS = 1024, ///< fingerprints; the oldest is replaced
  TT_SUSPECT_BUCKETS = 256,
  TT_PEER_SUSPECTS = 16,        ///< suspect fingerprints in one message to another daemon
  TT_COMPLETED_REQUESTS = 4096, ///< places of fingerprints that ended well, by their hash
  TT_CLEARED_SUSPECTS = 4       ///< last ones cleared here; these are told to other daemons
};

typedef struct
{
  uint64_t fingerprint;
  uint64_t backend_id; ///< where it crashed last
  uint32_t strikes;    ///< 0 = a request with this fingerprint ended well
} TtPeerSuspect;

typedef struct
{
  uint64_t fingerprint; ///< hash of client account and body
  bool suspect;         ///< must run beside no other suspect
  bool blocked;         ///< it was stopped after crashes; no further attempt
  bool checked;         ///< the fingerprint was looked up
} TtPoisonRequest;

typedef struct
{
  TtLink link;        ///< on TtPoisonSection.suspects, .heard or .free
  TtLink bucket_link; ///< on TtPoisonSection.buckets
  uint64_t fingerprint;
  uint32_t strikes;
  uint32_t runs; ///< attempts of it that ended with a crash
  bool heard;    ///< known from gossip only
  uint64_t last_backend_id;
  int64_t struck_us;
  int64_t blocked_until_us; ///< 0 = not blocked
} TtSuspect;

typedef struct
{
  uint64_t fingerprint; ///< 0 = none
  int64_t ended_us;
} TtCompletedRequest;

typedef struct
{
  TtList suspects; ///< seen by this daemon, most recently struck first; these are gossiped
  TtList heard;    ///< from gossip, not passed on, so that an expired entry does not come back
  TtList buckets[TT_SUSPECT_BUCKETS]; ///< TtSuspect.bucket_link, by fingerprint
  TtList free;
  TtSuspect *pool;
  TtCompletedRequest *completed; ///< TT_COMPLETED_REQUESTS places, each with the last one
  TtCompletedRequest cleared[TT_CLEARED_SUSPECTS];
  uint32_t next_cleared; ///< place in .cleared that is replaced next
} TtPoisonSection;
