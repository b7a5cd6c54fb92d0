/// State of `roster`: which backend servers exist and whether they take new work.
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  TT_BACKEND_LIVE,
  TT_BACKEND_DAMPED,  ///< it flapped; absent until it has been steady for a while
  TT_BACKEND_LEAVING, ///< no new work
  TT_BACKEND_GONE     ///< not on the list; freed once its attempts are closed
} TtBackendState;

typedef struct
{
  TtBackendState state;
  int64_t changed_us;    ///< time of the last change of state
  int64_t hold_until_us; ///< a leaving state cannot be undone before this time
  uint32_t flaps;        ///< returns within the damping window
} TtRosterBackend;

typedef struct
{
  uint64_t hosts_version; ///< version of the last host list
  int64_t next_poll_us;
  uint64_t poll_call; ///< open platform call; 0 = none
} TtRosterSection;
