/// State of `lease`: roles with at most one holder.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/object_defs.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_LEASES = 32
};

/// The open platform call of a lease.
typedef enum
{
  TT_LEASE_CALL_NONE,
  TT_LEASE_CALL_READ,
  TT_LEASE_CALL_ACQUIRE,
  TT_LEASE_CALL_RENEW,
  TT_LEASE_CALL_RELEASE
} TtLeaseCall;

typedef struct
{
  char role[TT_NAME_MAX]; ///< object leases/ROLE
  bool candidate;         ///< this daemon is a candidate for the role
  bool held;              ///< this daemon acquired the lease; tt_lease_held() also checks whether
                          ///< it has expired
  uint64_t fencing_token; ///< highest fencing token read; while held, the token of the current term
  uint64_t era;           ///< of the store, in which the following was read or written
  uint64_t version;       ///< object version last read
  uint64_t holder_id;     ///< holder last read
  int64_t duration_us;
  int64_t renewed_us; ///< start of the last successful renewal, as holder
  int64_t acquired_us;
  int64_t observed_us; ///< when `version` was first read, as candidate; 0 = never
  int64_t next_try_us;
  uint64_t call; ///< open platform call; 0 = none
  TtLeaseCall call_type;
  int64_t call_start_us;        ///< start of the open call
  uint64_t unconfirmed_token;   ///< fencing token of a write without a confirmed effect; 0 = none
  int64_t unconfirmed_write_us; ///< start of that write
  bool observed_released;       ///< the object last read is released or absent
  int64_t observed_duration_us; ///< lease duration in the object last read, in µs
  TtObject object;              ///< content of the open write
} TtLease;

/// BOUNDS     TT_MAX_LEASES roles; tt_lease_set_candidate() rejects more
typedef struct
{
  TtLease *leases;
  uint32_t count;
  uint64_t holder_id; ///< hash of the daemon's name and incarnation
} TtLeaseSection;
