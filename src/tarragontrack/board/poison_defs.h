/// State of the `poison` controller: fingerprints of requests that were running on a backend server
/// when it crashed.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_SUSPECTS = 1024, ///< suspect fingerprints; the oldest is replaced
  TT_SUSPECT_BUCKETS = 256,
  TT_PEER_MAX_SUSPECTS = 16,         ///< suspect fingerprints in one message to another daemon
  TT_COMPLETED_REQUEST_SLOTS = 4096, ///< hash slots for fingerprints of successful requests
  TT_MAX_CLEARED_SUSPECTS = 4        ///< fingerprints last cleared here; sent to other daemons
};

typedef struct
{
  uint64_t fingerprint;
  uint64_t crash_id; ///< process of the last crash, see TtSuspect
  uint32_t strikes;  ///< 0 = cleared: a request with this fingerprint succeeded
} TtPeerSuspect;

typedef struct
{
  uint64_t fingerprint; ///< hash of client account and body
  bool suspect;         ///< must not share a backend server with another suspect
  bool blocked;         ///< the fingerprint is blocked; no further attempts
  bool checked;         ///< the fingerprint was looked up
} TtPoisonRequest;

typedef struct
{
  TtLink link;        ///< on TtPoisonSection.suspects, TtPoisonSection.peer_suspects or
                      ///< TtPoisonSection.free
  TtLink bucket_link; ///< on TtPoisonSection.buckets
  uint64_t fingerprint;
  uint32_t strikes;          ///< crashes that count towards blocking the fingerprint
  uint32_t crashed_attempts; ///< attempts that ended with a crash
  bool from_peers_only;      ///< known from other daemons only
  uint64_t last_crash_id;    ///< hash of the backend server and the process of the last strike
  int64_t last_strike_us;
  int64_t blocked_until_us; ///< 0 = not blocked
} TtSuspect;

typedef struct
{
  uint64_t fingerprint; ///< 0 = none
  int64_t succeeded_us;
} TtCompletedRequest;

typedef struct
{
  TtList suspects; ///< of crashes seen here, most recent strike first; sent to other daemons
  /// Received from other daemons only; not forwarded, so that an expired entry does not circulate.
  TtList peer_suspects;
  TtList buckets[TT_SUSPECT_BUCKETS]; ///< TtSuspect.bucket_link, by fingerprint
  TtList free;
  TtSuspect *pool;
  TtCompletedRequest *completed; ///< last successful request of each hash slot
  TtCompletedRequest cleared[TT_MAX_CLEARED_SUSPECTS];
  uint32_t next_cleared; ///< index in TtPoisonSection.cleared that is replaced next
} TtPoisonSection;
