/// Times and bounds that operators may change while a daemon runs.
#pragma once

#include <stdint.h>

typedef struct
{
  uint32_t drain_announce_ms; ///< time between readiness false and refusal
  uint32_t drain_limit_ms;    ///< 0 = wait for the last request without limit
  // Of a deployment whose configuration is a routing table.
  double load_factor;        ///< bound on a backend server's load, as a multiple of the mean
  double repeat_ratio;       ///< repeated sends of the whole fleet for each request
  uint32_t repeat_slack;     ///< repeated sends beyond that in one window
  uint32_t repeat_window_ms; ///< over which repeated sends are counted
  uint32_t settle_ms;        ///< after the end of a disruption, until all bounds hold again
  uint32_t leaving_ms;       ///< for which a backend server serves after it says that it leaves
} TtBounds;
