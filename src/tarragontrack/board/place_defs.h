/// State of `place`: candidates for the ranking of backend servers, and the table of moved chats.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

typedef struct TtBackendServer TtBackendServer;

enum
{
  TT_MAX_MOVED_CHATS = 16384, ///< moved chats that one daemon records
  TT_MOVED_CHATS_WAYS = 4     ///< entries in one set of the table
};

/// Why a backend server was chosen; shown by `tarragonctl explain`.
typedef enum
{
  TT_PLACE_NONE,
  TT_PLACE_HOME,      ///< first in the ranking; or the prompt prefix had no holder
  TT_PLACE_MOVED,     ///< the backend server that last served the moved chat, or the prefix holder
  TT_PLACE_HINT,      ///< the backend server named in the caller's X-Chat-Route header
  TT_PLACE_OVERFLOW,  ///< higher-ranked backend servers or the prefix holder had no capacity
  TT_PLACE_SPILL,     ///< a backend server of another failure domain
  TT_PLACE_LEAST_LOAD ///< chosen by load, as for all plain services
} TtPlaceReason;

typedef struct
{
  TtPlaceReason reason;
  uint32_t rank; ///< position in the ranking; 0 = home
  uint64_t home_id;
  bool placement_tried;        ///< placement was tried at least once since the request became READY
  uint32_t owner_waits;        ///< slot owners for which the request waited
  uint64_t owner_wait_id;      ///< backend server for whose slot owner the request waits; 0 = none
  int64_t owner_wait_until_us; ///< when the wait for that slot owner times out
} TtPlaceRequest;

typedef struct
{
  TtLink awaited_link;       ///< on TtPlaceSection.awaited_backends while requests wait for a slot
  uint32_t waiting_requests; ///< requests that wait for its slot owner
} TtPlaceBackend;

/// One backend server of a pool, as input to the ranking.
typedef struct
{
  uint64_t id;
  double inverse_weight; ///< 1 / (weight * health factor)
  TtBackendServer *backend;
} TtCandidate;

typedef struct
{
  uint32_t first_candidate; ///< index of the pool's first candidate in TtPlaceSection.candidates
  uint32_t local_count; ///< candidates of the daemon's own failure domain; they precede the others
  uint32_t count;
  double min_inverse_weight; ///< lowest TtCandidate.inverse_weight of the pool
  uint32_t waiting_requests; ///< READY requests without a backend server
} TtPlacePool;

typedef struct
{
  uint64_t chat_key; ///< 0 = unused entry
  uint64_t backend_id;
  int64_t used_us;
} TtMovedChat;

/// BOUNDS     TT_MAX_MOVED_CHATS entries in a set-associative table of fixed size; a new entry
///            replaces the least recently used entry of its set.
///            TT_MAX_BACKENDS candidates
typedef struct
{
  TtMovedChat *moved_chats;
  uint32_t moved_chat_capacity;
  TtCandidate *candidates;
  uint64_t *mixed_ids; ///< mixed hash of each candidate's id; a separate array, so that a scan of
                       ///< it stays in the CPU cache
  uint32_t candidate_count;
  uint32_t collected_backends; ///< number of backend servers when the candidates were collected
  uint32_t collected_pools;    ///< number of pools at that time
  TtList awaited_backends;     ///< backend servers with requests that wait for a slot;
                               ///< TtPlaceBackend.awaited_link
  uint32_t share_version;      ///< TtShareSection.version at the last pass
  int64_t collected_us;
} TtPlaceSection;
