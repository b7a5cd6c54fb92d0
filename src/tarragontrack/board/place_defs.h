/// State of `place`: ranking of backend servers and the table of moved chats.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

typedef struct TtBackendServer TtBackendServer;

enum
{
  TT_MOVED_CHATS = 16384, ///< moved chats one daemon remembers
  TT_MOVED_WAYS = 4       ///< entries of one set of the table
};

/// Why a backend server was chosen, for `tarragonctl explain`.
typedef enum
{
  TT_PLACE_NONE,
  TT_PLACE_HOME,      ///< first in the ranking
  TT_PLACE_MOVED,     ///< where the moved chat was last served
  TT_PLACE_HINT,      ///< the caller's X-Chat-Route
  TT_PLACE_OVERFLOW,  ///< those before it in the ranking had no room
  TT_PLACE_SPILL,     ///< another failure domain
  TT_PLACE_LEAST_LOAD ///< plain service: fewest open attempts
} TtPlaceReason;

typedef struct
{
  TtPlaceReason reason;
  uint32_t rank; ///< position in the ranking, 0 = home
  uint64_t home_id;
  bool examined;         ///< a decision was tried since it is READY
  uint32_t waits;        ///< keepers waited for without a slot
  uint64_t wait_id;      ///< backend server whose keeper was asked; 0 = none
  int64_t wait_until_us; ///< latest time to wait for that keeper
} TtPlaceRequest;

typedef struct
{
  TtLink wanted_link; ///< on TtPlaceSection.wanted: requests wait for a slot
  uint32_t waiting;   ///< requests with wait_id of this backend server
} TtPlaceBackend;

/// One backend server in a pool's array, for the ranking.
typedef struct
{
  uint64_t id;
  double inverse; ///< 1 / (weight * health factor)
  TtBackendServer *backend;
} TtCandidate;

typedef struct
{
  uint32_t first; ///< index in TtPlaceSection.candidates
  uint32_t local; ///< candidates of the own failure domain; they come first
  uint32_t count;
  double least_inverse; ///< lowest TtCandidate.inverse of the pool
  uint32_t waiting;     ///< READY requests without a backend server
} TtPlacePool;

typedef struct
{
  uint64_t chat_key; ///< 0 = unused
  uint64_t backend_id;
  int64_t used_us;
} TtMovedChat;

/// BOUNDS     moved_count entries, a fixed table; the least recently used of a set is replaced.
///            TT_MAX_BACKENDS candidates
typedef struct
{
  TtMovedChat *moved;
  uint32_t moved_count;
  TtCandidate *candidates;
  uint64_t
      *mixed; ///< well-mixed bits of each candidate's id; apart, so that a scan stays in the cache
  uint32_t candidate_count;
  uint32_t backends; ///< backend servers when the candidates were collected
  uint32_t pools;    ///< pools at that time
  TtList wanted;     ///< TtPlaceBackend.wanted_link
  uint32_t version;  ///< TtShareSection.version at the last pass
  int64_t collected_us;
} TtPlaceSection;
