#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"

/// Lets the first attempt with an answer win, and cancels the others.
static void
choose_winner (TtBoard *board, TtAttempt *attempt)
{
  TtRequest *request = attempt->request;
  TtAction *action;

  if (request->winner != NULL)
    return;
  request->winner = attempt;
  attempt->state = TT_ATTEMPT_RELAYED;
  action = tt_board_act (board, TT_ACTION_RELAY);
  if (action != NULL)
    action->attempt = (TtAttemptAction){ .request_id = request->spec.request_id,
                                         .attempt_id = attempt->id,
                                         .backend_id = attempt->backend->id };
  TT_LIST_FOREACH (&request->attempts, it)
    {
      TtAttempt *other = TT_CONTAINER_OF (it, TtAttempt, request_link);

      if (other != attempt)
        tt_attempt_cancel (board, other);
    }
}

/// Notes progress of an attempt.
static void
note_progress (TtBoard *board, TtAttempt *attempt, const TtAttemptEvent *event, int64_t now_us)
{
  choose_winner (board, attempt);
  if (attempt->first_token_us == 0)
    attempt->first_token_us = now_us;
  attempt->progress_us = now_us;
  attempt->tokens += event->tokens;
  attempt->request->relayed_tokens += event->tokens;
  attempt->request->relayed = true;
  tt_board_count (board, TT_COUNT_TOKENS, event->tokens);
}

/// Ends the request of a failed attempt.
static void
fail_attempt (TtBoard *board, TtAttempt *attempt, const TtEvent *event)
{
  TtRequest *request = attempt->request;
  TtOutcome outcome = TT_OUTCOME_NOT_RUN;

  if (request->relayed)
    outcome = TT_OUTCOME_CUT;
  else if (event->attempt.sent)
    outcome = TT_OUTCOME_UNKNOWN;
  tt_attempt_close (board, attempt);
  if (request->attempts.count == 0)
    (void) tt_request_finish (board, request, outcome, 502, 0, &event->error);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAttempt *attempt;
  TtRequest *request;

  (void) context;
  if (event->type == TT_EVENT_CALLER_CLOSED)
    {
      request = tt_request_find (board, event->request_id);
      if (request != NULL && request->idempotent)
        (void) tt_request_finish (board, request, TT_OUTCOME_CUT, 499, 0, NULL);
      return;
    }
  if (event->type < TT_EVENT_ATTEMPT_SENT || event->type > TT_EVENT_ATTEMPT_FAILED)
    return;
  attempt = tt_attempt_find (board, event->attempt.attempt_id);
  if (attempt == NULL)
    {
      tt_board_count (board, TT_COUNT_LATE_ANSWERS, 1);
      return;
    }
  if (event->type == TT_EVENT_ATTEMPT_SENT && attempt->state == TT_ATTEMPT_OPEN)
    attempt->state = TT_ATTEMPT_SENT;
  else if (event->type == TT_EVENT_ATTEMPT_PROGRESS)
    note_progress (board, attempt, &event->attempt, now_us);
  else if (event->type == TT_EVENT_ATTEMPT_FAILED)
    fail_attempt (board, attempt, event);
  else if (event->type == TT_EVENT_ATTEMPT_DONE)
    {
      request = attempt->request;
      choose_winner (board, attempt);
      tt_attempt_close (board, attempt);
      (void) tt_request_finish (board, request, TT_OUTCOME_COMPLETE, event->attempt.status, 0,
                                NULL);
    }
}

TtController
tt_retry_controller (void)
{
  return (TtController){ .name = "retry", .on_event = on_event };
}
