/// What the parts of the front end share: the loop, the board and the way to tell it of events.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include <uv.h>

typedef struct
{
  uv_loop_t *loop;
  TtBoard *board; ///< read by the parts; written through events only
  void *context;
  /// Steps the board and executes its actions. Within a step the event is kept for later; such an
  /// event must hold no pointers.
  void (*post) (void *context, const TtEvent *event);
} TtFront;
