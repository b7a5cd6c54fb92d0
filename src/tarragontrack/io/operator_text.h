/// Texts of the operators' port, written from the board.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include <json-c/json.h>

/// One placement, kept for /explain.
typedef struct
{
  uint64_t request_id; ///< 0 = unused
  uint64_t attempt_id;
  uint64_t backend_id;
  uint64_t home_id;
  TtPlaceReason reason;
  uint32_t rank;
  bool hedge;
  uint32_t resume_from;
  int64_t at_us;
  char service[TT_NAME_MAX];
  char account[TT_NAME_MAX];
  char backend[TT_NAME_MAX];
  char home[TT_NAME_MAX];
} TtPlacementNote;

/// Prometheus text; free it. NULL when memory is exhausted.
char *tt_operator_metrics (const TtBoard *board, size_t *size);

/// State of the daemon.
json_object *tt_operator_status (const TtBoard *board, int64_t now_us);

/// Placements of one request.
json_object *tt_operator_explain (const TtPlacementNote *notes, size_t count, uint64_t request_id);
