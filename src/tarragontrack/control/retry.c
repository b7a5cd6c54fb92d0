#include "tarragontrack/control/retry.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"

static int
open_retry (void *context, TtBoard *board)
{
  (void) context;
  board->retry.budget_tokens = TT_RETRY_BUDGET_START;
  return TT_OK;
}

/// Relays the first attempt that responds and cancels the other attempts.
static void
choose_winner (TtBoard *board, TtAttempt *attempt)
{
  TtRequest *request = attempt->request;
  TtAction *action;

  if (request->winner != NULL)
    return;
  request->winner = attempt;
  attempt->state = TT_ATTEMPT_RELAYED;
  action = tt_board_append_action (board, TT_ACTION_RELAY);
  if (action != NULL)
    action->attempt = (TtAttemptAction){ .request_id = request->spec.request_id,
                                         .attempt_id = attempt->id,
                                         .backend_id = attempt->backend->id,
                                         .resume_from = attempt->resume_from };
  TT_LIST_FOREACH (&request->attempts, it)
    {
      TtAttempt *other = TT_CONTAINER_OF (it, TtAttempt, request_link);

      if (other != attempt)
        tt_attempt_cancel (board, other);
    }
}

/// Records that bytes of the request may have reached a backend server.
static void
mark_sent (TtRequest *request)
{
  request->retry.possibly_sent = true;
  if (request->claim.step != TT_CLAIM_STEP_NONE)
    request->claim.bytes_possibly_sent = true;
}

/// Adds the request's contribution to the budget of retries and hedges, once per request.
static void
add_budget (TtBoard *board, TtRequest *request)
{
  if (request->retry.budget_counted)
    return;
  request->retry.budget_counted = true;
  board->retry.budget_tokens += TT_RETRY_BUDGET_PER_REQUEST;
  if (board->retry.budget_tokens > TT_RETRY_BUDGET_MAX)
    board->retry.budget_tokens = TT_RETRY_BUDGET_MAX;
}

/// Records progress of a response.
static void
record_progress (TtBoard *board, TtAttempt *attempt, const TtAttemptEvent *event, int64_t now_us)
{
  mark_sent (attempt->request);
  choose_winner (board, attempt);
  if (attempt->first_token_us == 0)
    attempt->first_token_us = now_us;
  attempt->last_progress_us = now_us;
  attempt->tokens += event->tokens;
  attempt->request->relayed_tokens += event->tokens;
  attempt->request->relayed = true;
  tt_board_counter_add (board, TT_COUNT_TOKENS, event->tokens);
}

/// Ends a request whose response is complete.
static void
complete_request (TtBoard *board, TtAttempt *attempt, const TtAttemptEvent *event, int64_t now_us)
{
  TtRequest *request = attempt->request;

  record_progress (board, attempt, event, now_us);
  tt_board_counter_add (board, TT_COUNT_PROMPT_TOKENS, event->prompt_tokens);
  tt_board_counter_add (board, TT_COUNT_CACHED_TOKENS, event->cached_tokens);
  tt_attempt_close (board, attempt);
  (void) tt_request_finish (board, request, TT_OUTCOME_COMPLETE, event->status, 0, NULL);
}

static void
fail_attempt (TtBoard *board, TtAttempt *attempt, const TtEvent *event, int64_t now_us)
{
  TtRequest *request = attempt->request;

  if (event->attempt.maybe_sent || attempt->state != TT_ATTEMPT_OPEN)
    mark_sent (request);
  tt_retry_record_failure (request, attempt->backend);
  tt_attempt_close (board, attempt);
  tt_retry_end_attempt (board, request, &event->error, now_us);
}

/// Ends the request of a caller that disconnected. A non-idempotent request that has been released
/// from the queue runs to completion, so that its outcome can be recorded.
static void
handle_disconnect (TtBoard *board, uint64_t request_id)
{
  TtRequest *request = tt_request_find (board, request_id);

  if (request == NULL || request->outcome != TT_OUTCOME_NONE)
    return;
  if (request->idempotent)
    (void) tt_request_finish (board, request,
                              request->attempt_count > 0 ? TT_OUTCOME_CUT : TT_OUTCOME_NOT_RUN, 499,
                              0, NULL);
  else if (request->stage == TT_STAGE_QUEUED)
    (void) tt_request_finish (board, request, TT_OUTCOME_UNKNOWN, 499, 0, NULL);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAttempt *attempt;

  (void) context;
  if (event->type == TT_EVENT_CALLER_CLOSED)
    handle_disconnect (board, event->request_id);
  if (event->type == TT_EVENT_TICK)
    tt_retry_check (board, now_us);
  if (event->type < TT_EVENT_ATTEMPT_SENT || event->type > TT_EVENT_ATTEMPT_FAILED)
    return;
  attempt = tt_attempt_find (board, event->attempt.attempt_id);
  if (attempt == NULL)
    {
      if (event->type == TT_EVENT_ATTEMPT_PROGRESS || event->type == TT_EVENT_ATTEMPT_DONE)
        tt_board_counter_add (board, TT_COUNT_LATE_RESPONSES, 1);
      tt_board_log (board, TT_LOG_ANSWER_LATE, "attempt=%llu",
                    (unsigned long long) event->attempt.attempt_id);
      return;
    }
  add_budget (board, attempt->request);
  if (event->type == TT_EVENT_ATTEMPT_PROGRESS)
    record_progress (board, attempt, &event->attempt, now_us);
  else if (event->type == TT_EVENT_ATTEMPT_DONE)
    complete_request (board, attempt, &event->attempt, now_us);
  else if (event->type == TT_EVENT_ATTEMPT_FAILED)
    fail_attempt (board, attempt, event, now_us);
  else
    {
      mark_sent (attempt->request);
      if (attempt->state == TT_ATTEMPT_OPEN)
        attempt->state = TT_ATTEMPT_SENT;
    }
}

TtController
tt_retry_controller (void)
{
  return (TtController){ .name = "retry", .open = open_retry, .on_event = on_event };
}
