/// Event pump: steps the board with one event at a time and executes the resulting actions.
#pragma once

#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/io/front_defs.h"

typedef struct
{
  TtFront front; ///< passed to the other components; TtFront.post is tt_pump_post()
  bool stepping;
  TtList deferred_events; ///< events posted during a step
  void *context;
  /// Executes one action. Called in the order in which the board emitted the actions.
  void (*execute) (void *context, TtAction *action, int64_t now_us);
} TtPump;

/// Initializes a pump. @board and @loop must outlive it.
void tt_pump_init (TtPump *pump, uv_loop_t *loop, TtBoard *board, void *context,
                   void (*execute) (void *context, TtAction *action, int64_t now_us));

/// Steps the board with an event and executes all actions; @context is the pump. An event posted
/// during a step is copied and handled after the step, so it must contain no pointers. It is
/// dropped if memory could not be allocated.
void tt_pump_post (void *context, const TtEvent *event);

/// Frees deferred events.
void tt_pump_close (TtPump *pump);
