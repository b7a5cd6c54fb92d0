/// State of the drain controller: readiness and graceful shutdown.
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  TT_DRAIN_SERVING,
  TT_DRAIN_ANNOUNCED, ///< readiness is false; the load balancer may still send requests
  TT_DRAIN_CLOSING,   ///< new requests are rejected; open requests finish
  TT_DRAIN_DONE       ///< the process may exit
} TtDrainState;

typedef struct
{
  TtDrainState state;
  bool ready; ///< result of the readiness check /readyz
  int64_t started_us;
  int64_t idle_since_us; ///< time since which no request has been open; 0 = requests are open
} TtDrainSection;
