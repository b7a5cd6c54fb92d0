/// State of the `breaker` controller: circuit breakers of the backend servers, and failure domains
/// that this daemon cannot reach.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  TT_BREAKER_CLOSED,   ///< requests are dispatched
  TT_BREAKER_OPEN,     ///< only last-resort requests until TtBreakerBackend.open_until_us
  TT_BREAKER_HALF_OPEN ///< one request at a time until one succeeds
} TtBreakerState;

/// Reachability of the backend servers of a failure domain from this daemon.
typedef struct
{
  uint64_t domain_id;
  uint32_t unreachable_backends; ///< live, breaker open or half-open, not partly responding
  int64_t last_response_us;      ///< last response from any of its backend servers
  bool partitioned;              ///< its closed breakers admit no requests; half-open ones do
} TtBreakerDomain;

typedef struct
{
  TtBreakerDomain domains[TT_MAX_DOMAINS];
  uint32_t domain_count;
} TtBreakerSection;

typedef struct
{
  TtBreakerState state;
  int64_t open_until_us;
  uint32_t consecutive_openings; ///< since the last success
  uint32_t consecutive_failures; ///< reset by a success or a failure-free period
  int64_t last_failure_us;
  int64_t last_response_us; ///< 0 = none yet
  bool partly_responding;   ///< the last failure was of a sent request, shortly after a response
  uint32_t counted_silent_attempts; ///< part of TtRecoveryBackend.silent_attempts already counted
  double error_rate;                ///< exponentially weighted fraction of failed attempts, 0 to 1
  uint32_t error_rate_samples;      ///< attempts in TtBreakerBackend.error_rate, up to a limit
} TtBreakerBackend;
