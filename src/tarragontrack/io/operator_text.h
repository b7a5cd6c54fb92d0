/// Response bodies of the operators' HTTP server, generated from the board.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include <json-c/json.h>

/// Placement of one attempt, recorded for /explain.
typedef struct
{
  uint64_t request_id; ///< 0 = unused
  uint64_t attempt_id;
  uint64_t backend_id;
  uint64_t home_id; ///< backend server that is first in the ranking; 0 = none
  TtPlaceReason reason;
  uint32_t rank;
  bool hedge;
  uint32_t resume_from;
  int64_t placed_at_us;
  char service[TT_NAME_MAX];
  char account[TT_NAME_MAX];
  char backend[TT_NAME_MAX];
  char home[TT_NAME_MAX];
} TtPlacementRecord;

/// Returns all metrics in the Prometheus text format; free it with free(). NULL if memory could not
/// be allocated.
char *tt_operator_metrics (const TtBoard *board, size_t *size);

/// Returns the state of the daemon for /status.
json_object *tt_operator_status (const TtBoard *board, int64_t now_us);

/// Returns the recorded placements of one request for /explain.
json_object *tt_operator_explain (const TtPlacementRecord *placements, size_t count,
                                  uint64_t request_id);
