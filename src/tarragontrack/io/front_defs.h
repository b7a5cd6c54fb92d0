/// Context shared by the components of the front end: the event loop, the board and the callback
/// that posts events to the board.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include <uv.h>

typedef struct
{
  uv_loop_t *loop;
  TtBoard *board; ///< components read it, and change it only by posting events
  void *context;
  /// Steps the board with the event and executes the resulting actions. An event posted during a
  /// step is copied and handled after the step, so it must contain no pointers.
  void (*post) (void *context, const TtEvent *event);
} TtFront;
