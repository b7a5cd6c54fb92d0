#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"

/// Requests on the board that have no outcome yet.
static bool
has_open_requests (const TtBoard *board)
{
  for (int stage = TT_STAGE_ARRIVED; stage < TT_STAGE_COUNT; stage++)
    if (board->requests.stages[stage].count > 0)
      return true;
  return false;
}

static void
set_ready (TtBoard *board, bool ready)
{
  TtAction *action;

  if (board->drain.ready == ready)
    return;
  board->drain.ready = ready;
  action = tt_board_act (board, TT_ACTION_READY);
  if (action != NULL)
    action->ready = ready;
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (event->type != TT_EVENT_DRAIN || board->drain.state != TT_DRAIN_SERVING)
    return;
  board->drain.state = TT_DRAIN_ANNOUNCED;
  board->drain.started_us = now_us;
  tt_board_log (board, TT_LOG_DRAIN_STARTED, "daemon=%s", board->config.name);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtDrainSection *section = &board->drain;

  (void) context;
  set_ready (board, section->state == TT_DRAIN_SERVING && board->configuration.complete);
  if (section->state == TT_DRAIN_ANNOUNCED
      && now_us - section->started_us >= board->config.drain_announce_ms * TT_MILLISECOND_US)
    section->state = TT_DRAIN_CLOSING;
  if (section->state == TT_DRAIN_CLOSING && !has_open_requests (board))
    {
      section->state = TT_DRAIN_DONE;
      (void) tt_board_act (board, TT_ACTION_EXIT);
    }
}

TtController
tt_drain_controller (void)
{
  return (TtController){ .name = "drain", .on_event = on_event, .run = run };
}
