/// State of `order`: wanted and observed roles of engines.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include <stdbool.h>
#include <stdint.h>

/// The complete wanted state of an engine; an order always contains all of it.
typedef struct
{
  char model[TT_NAME_MAX];
  char adapter[TT_NAME_MAX];
  char version[TT_NAME_MAX];
  char role[TT_NAME_MAX]; ///< serve, prefill, decode, standby
} TtEngineRole;

typedef struct
{
  TtEngineRole wanted;
  TtEngineRole observed; ///< from the engine's last report
  int64_t observed_us;
  int64_t last_order_us; ///< time of the last order sent; 0 = none
  bool pending;          ///< `observed` differs from `wanted`
} TtOrderBackend;
