/// State of the `breaker` controller: circuit breakers of the backend servers, and failure domains
/// that this daemon cannot reach.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  TT_BREAKER_CLOSED, ///< requests are dispatched
  TT_BREAKER_OPEN,   ///< no requests until TtBreakerBackend.until_us
  TT_BREAKER_TRIAL   ///< one request at a time until one succeeds
} TtBreakerState;

/// Reachability of a failure domain's backend servers from this daemon.
typedef struct
{
  uint64_t domain_id;
  uint32_t unreachable; ///< live backend servers with a breaker that is not closed and no recent
                        ///< response
  int64_t answered_us;  ///< time of the last response from any of its backend servers
  bool cut;             ///< considered unreachable: only half-open breakers admit requests
} TtBreakerDomain;

typedef struct
{
  TtBreakerDomain domains[TT_MAX_DOMAINS];
  uint32_t domain_count;
} TtBreakerSection;

typedef struct
{
  TtBreakerState state;
  int64_t until_us;
  uint32_t openings;   ///< consecutive openings without a success in between
  uint32_t failures;   ///< consecutive failures
  int64_t failed_us;   ///< time of the last failure
  int64_t answered_us; ///< time of the last response; 0 = none yet
  bool answers_some;   ///< the last failure was of a sent request while other responses arrived
  uint32_t silences;   ///< part of TtRecoveryBackend.silences already counted as failures
  double error_share;  ///< exponentially weighted share of attempts that failed, 0 to 1
  uint32_t answers;    ///< attempts in that mean, saturating at a limit
} TtBreakerBackend;
