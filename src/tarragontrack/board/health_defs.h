/// State of the `health` controller: latency estimates and ejections of each backend server, from
/// this daemon's own measurements.
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double first_token_us; ///< exponentially weighted time to first token; 0 = no sample
  double per_token_us;   ///< exponentially weighted time per token; 0 = no sample
  int64_t last_sample_us;
  bool ejected;
  bool ejected_for_failures; ///< the ejection is due to failures, not to latency
  int64_t ejected_us;
  int64_t ejected_until_us;
  uint32_t consecutive_ejections; ///< for latency; each one lengthens the next
  double weight_factor;           ///< multiplies the weight; below 1 = slow or in slow start
  int64_t slow_start_since_us;    ///< start of slow start; 0 = not in slow start
  uint32_t consecutive_failures;  ///< silent attempts included; reset by each response
  uint32_t samples;               ///< samples since first use or the end of the last ejection
  uint32_t slow_checks;           ///< consecutive checks above the ejection ratio
  int64_t last_crash_us;          ///< first failure attributed to the last crash; 0 = none
  uint32_t crash_suspects;        ///< attempts of suspect requests in flight at that crash, see
                                  ///< TtPoisonRequest.suspect
} TtHealthBackend;

typedef struct
{
  double median_first_token_us;
  double median_per_token_us;
  double p95_first_token_us; ///< delay before a hedged attempt; 0 = no sample
  int64_t next_check_us;
} TtHealthPool;

typedef struct
{
  uint64_t ejected_count;
} TtHealthSection;
