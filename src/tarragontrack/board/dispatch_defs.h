/// State of `dispatch`: which engine holds which shared prompt prefix, and load reports of backend
/// servers.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_PREFIX_ENTRIES = 4096, ///< prompt prefixes whose holder one daemon records
  TT_PREFIX_WAYS = 4
};

/// Load that a backend server reported in the header of a response.
typedef struct
{
  bool known;
  uint32_t running;
  uint32_t waiting;
} TtLoadSample;

typedef struct
{
  TtLoadSample sample;
  int64_t sampled_us; ///< 0 = no sample
} TtDispatchBackend;

typedef struct
{
  uint64_t key; ///< hash of the shared prompt prefix; 0 = unused entry
  uint64_t backend_id;
  int64_t used_us;
  bool unadvertised; ///< the entry's last change was not yet advertised to the other daemons
} TtPrefixTableEntry;

typedef struct
{
  uint64_t prefix_source_id; ///< backend server to copy the shared prompt prefix from; 0 = none
  bool second_round; ///< the backend servers on which the request failed are being tried once more
  bool joins_suspects; ///< no other backend server is left than those that run other suspects
} TtDispatchRequest;

typedef struct
{
  TtPrefixTableEntry *prefix_table; ///< set-associative, TT_PREFIX_WAYS entries a set; a new entry
                                    ///< replaces the least recently used of its set
  uint32_t unadvertised_count;      ///< entries not yet advertised to the other daemons
  uint32_t readvertise_index;       ///< index of the next entry to advertise again
} TtDispatchSection;
