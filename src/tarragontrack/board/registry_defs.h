/// State of the `registry` controller: backend servers listed in the platform's store.
#pragma once

#include "tarragontrack/board/evidence_defs.h"
#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_DEPARTURES = 1024 ///< processes; the one that departed first is replaced
};

typedef struct
{
  uint64_t process_start_ms; ///< start of the process that registered the entry
  TtStorePoint point;        ///< last change of the entry
  uint32_t slots;            ///< requests that the backend server runs at the same time
  bool listed;               ///< found in the snapshot that is being read
  int64_t missing_since_us;  ///< start of its absence after a store outage; 0 = not missing
  int64_t held_until_us; ///< the entry is of a process that left in an earlier era, and counts as
                         ///< leaving until then; 0 = it is not
} TtRegistryBackend;

/// A process whose entry was removed.
typedef struct
{
  TtLink link; ///< on TtRegistrySection.departures
  uint64_t backend_id;
  uint64_t process_start_ms;
  TtStorePoint point; ///< last known change of the entry before its removal
} TtDeparture;

typedef struct
{
  bool complete;          ///< a complete snapshot was read
  TtStorePoint point;     ///< of the current list
  TtStorePoint change;    ///< newest change of an entry that was received
  TtStorePoint base;      ///< of the list before the last changes were applied
  TtStorePoint peer_copy; ///< of the last copy adopted from another daemon; 0 = none
  int64_t
      lapse_until_us; ///< entries that are missing since an outage may only have lapsed until then
  bool keeps_missing; ///< those that the response being applied does not list may have lapsed
  TtList departures;  ///< TtDeparture.link, oldest first
} TtRegistrySection;
