/// State of `drain`: readiness and shutdown.
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  TT_DRAIN_SERVING,
  TT_DRAIN_ANNOUNCED, ///< readiness is false; the balancer still sends for a while
  TT_DRAIN_CLOSING,   ///< new requests are refused; open ones finish
  TT_DRAIN_DONE       ///< the process may exit
} TtDrainState;

typedef struct
{
  TtDrainState state;
  bool ready; ///< answer of /readyz
  int64_t started_us;
  int64_t idle_us; ///< since when no request is open; 0 = one is
} TtDrainSection;
