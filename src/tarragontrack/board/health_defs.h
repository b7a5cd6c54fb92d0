/// State of `health`: how fast each backend server answers, from this daemon's own timings.
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double first_token_us; ///< exponentially weighted mean; 0 = no sample
  double per_token_us;
  int64_t sampled_us;
  bool ejected;
  bool crashed; ///< ejected for failures, not for its timings
  int64_t ejected_us;
  int64_t ejected_until_us;
  uint32_t ejections;      ///< in a row; lengthens the next ejection
  double factor;           ///< multiplies the weight: 1 = healthy, below 1 = slow or starting
  int64_t slow_start_us;   ///< begin of slow start; 0 = none
  uint32_t failures;       ///< connection failures in a row
  uint32_t samples;        ///< timings since start or return
  uint32_t slow_checks;    ///< checks in a row above the ejection ratio
  int64_t crash_us;        ///< first sign of the last crash; 0 = none
  uint32_t crash_suspects; ///< suspects in flight at that crash
} TtHealthBackend;

typedef struct
{
  double median_first_token_us;
  double median_per_token_us;
  double p95_first_token_us; ///< delay before a hedge; 0 = no sample
  int64_t next_check_us;
} TtHealthPool;

typedef struct
{
  uint64_t ejected_count;
} TtHealthSection;
