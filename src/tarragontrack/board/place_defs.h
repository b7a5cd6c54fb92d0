/// State of `place`: ranking of backend servers and the table of moved chats.
#pragma once

#include <stdbool.h>
#include <stdint.h>

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
} TtPlaceRequest;

typedef struct
{
  uint64_t chat_key; ///< 0 = unused
  uint64_t backend_id;
  int64_t used_us;
} TtMovedChat;

/// BOUNDS     moved_count entries, a fixed table; the least recently used of a slot is replaced
typedef struct
{
  TtMovedChat *moved;
  uint32_t moved_count;
} TtPlaceSection;
