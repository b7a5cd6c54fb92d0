/// State of `lease`: roles that need one holder.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_LEASES = 32
};

typedef struct
{
  char role[TT_NAME_MAX]; ///< object leases/ROLE
  bool wanted;            ///< this daemon takes part
  bool held;              ///< checked against the present time by tt_lease_held()
  uint64_t fencing;       ///< number of the current holding
  uint64_t version;       ///< object version last seen
  uint64_t holder_id;     ///< holder last seen
  int64_t duration_us;
  int64_t renewed_us; ///< start of the last successful renewal, as holder
  int64_t acquired_us;
  int64_t seen_us; ///< when `version` was first seen, as contender
  int64_t next_try_us;
  uint64_t call; ///< open platform call; 0 = none
} TtLease;

typedef struct
{
  TtLease leases[TT_MAX_LEASES];
  uint32_t count;
} TtLeaseSection;
