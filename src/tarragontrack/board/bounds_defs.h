/// Timeouts and limits that operators can change while a daemon runs.
#pragma once

#include <stdint.h>

typedef struct
{
  uint32_t drain_announce_ms; ///< time from reporting "not ready" until new requests are rejected
  uint32_t drain_limit_ms;    ///< longest wait for requests in progress; 0 = no limit
  uint32_t drain_grace_ms;    ///< the process is killed this long after SIGTERM; 0 = never
  // Only for deployments that are configured by a routing table.
  double load_factor;  ///< maximum load of a backend server, as a multiple of the mean load
  double repeat_ratio; ///< retry budget of the whole fleet: repeated sends allowed per request
  double repeat_slack; ///< additional repeated sends allowed in one window
  uint32_t repeat_window_ms; ///< window over which repeated sends are counted
  uint32_t settle_ms;        ///< time after a disruption within which the bounds above hold again
  uint32_t report_ms;        ///< interval of a backend server's reports to the platform
  uint32_t leaving_ms; ///< time for which a backend server still serves after announcing shutdown
  uint32_t config_ms;  ///< time within which an accepted configuration must be in force; 0 = as
                       ///< leaving_ms
} TtBounds;
