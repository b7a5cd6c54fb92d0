/// State of `reader`: whether this daemon watches the store for its failure domain.
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool reads_store;         ///< this daemon watches the store; otherwise it follows a reader
  bool listed;              ///< all watched kinds were listed since this daemon began to read
  bool heard;               ///< a reader of the failure domain was heard since this daemon started
  bool announced;           ///< the failure domain was told that this daemon reads the store
  bool misses_changes;      ///< a watch of this daemon did not deliver what another daemon knows
  int64_t behind_since_us;  ///< since when another daemon knows a change that this one lacks
  int64_t missing_since_us; ///< since when no reader of the domain was heard; 0 = one is heard
  int64_t superfluous_since_us; ///< since when another reader makes this one unnecessary; 0 = none
  int64_t next_heartbeat_us;    ///< when the failure domain is sent the next status message
  int64_t last_run_us;          ///< to detect that the host was suspended
  uint64_t relayed_version;     ///< version of the last routing table sent to the failure domain
} TtReaderSection;
