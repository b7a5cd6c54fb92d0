/// Steps the board with events and executes its actions, one event at a time.
#pragma once

#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/io/front_defs.h"

typedef struct
{
  TtFront front; ///< for the other parts; its post is tt_pump_post()
  bool stepping;
  TtList kept; ///< events posted within a step
  void *context;
  /// Executes one action. Called in the order of the outbox.
  void (*execute) (void *context, TtAction *action, int64_t now_us);
} TtPump;

/// tt_pump_init - prepares a pump; @board and @loop must outlive it
void tt_pump_init (TtPump *pump, uv_loop_t *loop, TtBoard *board, void *context,
                   void (*execute) (void *context, TtAction *action, int64_t now_us));

/// Steps the board with an event and executes all actions; @context is the pump. An event posted
/// within a step is copied and handled after it, so it must hold no pointers into a buffer.
void tt_pump_post (void *context, const TtEvent *event);

/// Frees events that were kept.
void tt_pump_close (TtPump *pump);
