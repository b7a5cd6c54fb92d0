#include "tarragontrack/io/pump.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/io/clock.h"
#include <stdlib.h>

#define US_PER_S 1000000U

typedef struct
{
  TtLink link; ///< member of TtPump.deferred_events
  TtEvent event;
} DeferredEvent;

void
tt_pump_init (TtPump *pump, uv_loop_t *loop, TtBoard *board, void *context,
              void (*execute) (void *context, TtAction *action, int64_t now_us))
{
  *pump = (TtPump){ .context = context, .execute = execute };
  pump->front = (TtFront){ .loop = loop, .board = board, .context = pump, .post = tt_pump_post };
  tt_list_init (&pump->deferred_events);
}

/// Steps the board with an event and executes the resulting actions.
static void
step_board (TtPump *pump, const TtEvent *event)
{
  TtBoard *board = pump->front.board;
  int64_t now_us = tt_clock_now_us ();
  TtAction *action;

  board->wall_clock_s = (int64_t) (tt_clock_wall_us () / US_PER_S);
  tt_board_step (board, event, now_us);
  // Actions contain pointers to records that are valid only until the next step.
  while ((action = tt_board_pop_action (board)) != NULL)
    {
      pump->execute (pump->context, action, now_us);
      tt_board_release_action (board, action);
    }
}

void
tt_pump_post (void *context, const TtEvent *event)
{
  TtPump *pump = context;
  TtLink *link;

  if (pump->stepping)
    {
      DeferredEvent *deferred = malloc (sizeof *deferred);

      if (deferred == NULL)
        return;
      deferred->event = *event;
      tt_link_init (&deferred->link);
      tt_list_append (&pump->deferred_events, &deferred->link);
      return;
    }
  pump->stepping = true;
  step_board (pump, event);
  while ((link = tt_list_pop (&pump->deferred_events)) != NULL)
    {
      DeferredEvent *deferred = TT_CONTAINER_OF (link, DeferredEvent, link);

      step_board (pump, &deferred->event);
      free (deferred);
    }
  pump->stepping = false;
}

void
tt_pump_close (TtPump *pump)
{
  TtLink *link;

  while ((link = tt_list_pop (&pump->deferred_events)) != NULL)
    free (TT_CONTAINER_OF (link, DeferredEvent, link));
}
