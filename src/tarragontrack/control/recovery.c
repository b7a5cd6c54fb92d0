#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/histogram.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/budget.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/fleet.h"
#include "tarragontrack/control/retry_after.h"

/// Time without a response, in percent of the goal, after which a request that may be executed more
/// than once (TT_ROUTE_RETRY_ALWAYS) is also sent to a second backend server (hedge).
#define HEDGE_GOAL_PERCENT 70

/// Time without a first event, in percent of the goal, after which a resumable stream is moved to
/// another engine.
#define FIRST_EVENT_GOAL_PERCENT 150

/// Gap within a stream, as a multiple of the route's target for gaps, after which the stream is
/// moved to another engine.
#define GAP_TIMEOUT_FACTOR 4

/// An engine that sent anything to this daemon within this time counts as busy rather than silent.
/// Its timeout for the first event is BUSY_TIMEOUT_FACTOR times as long, because moving a stream
/// costs the other engine the whole prefill.
#define BUSY_WINDOW_US (400 * TT_MILLISECOND_US)
#define BUSY_TIMEOUT_FACTOR 2

/// Gap within a stream after which it is moved if its route configures no target for gaps; well
/// above the gaps between events of a busy engine.
#define DEFAULT_GAP_TIMEOUT_US TT_SECOND_US

static void
record_tried_backend (TtRequest *request, const TtBackendServer *backend)
{
  TtRecoveryRequest *recovery = &request->recovery;

  recovery->tried[recovery->tried_count % TT_RETRY_MAX_TRIED] = backend->id;
  recovery->tried_count++;
}

static void
finish_request (TtBoard *board, TtRequest *request, TtOutcome outcome, uint32_t status,
                const char *reason, int64_t now_us)
{
  TtError error = { 0 };
  uint32_t retry_ms = 0;

  (void) tt_error_set (&error, outcome == TT_OUTCOME_NOT_RUN ? TT_E_UNAVAILABLE : TT_E_TIMEOUT,
                       TT_STEP_RECEIVE, request->spec.service, "%s", reason);
  if (outcome == TT_OUTCOME_NOT_RUN)
    retry_ms = tt_retry_after_pool_ms (board, request->pool, request->priority, now_us);
  (void) tt_request_finish (board, request, outcome, status, retry_ms, &error);
}

static const char *
outcome_name (TtOutcome outcome)
{
  static const char *const names[]
      = { "none", "complete", "not_run", "unknown", "cut", "recorded", "invalid" };

  return names[outcome];
}

/// Attempts that were sent, plus open attempts that are about to be sent.
static uint32_t
count_sends (const TtRequest *request)
{
  uint32_t count = request->recovery.sends;

  TT_LIST_FOREACH (&request->attempts, it)
    if (TT_CONTAINER_OF (it, TtAttempt, request_link)->state == TT_ATTEMPT_OPEN)
      count++;
  return count;
}

/// Charges the retry budget for one more send. RETURN false if the route's limit or the budget does
/// not allow it.
static bool
charge_retry (TtBoard *board, TtRequest *request, int64_t now_us)
{
  return count_sends (request) < request->route.max_attempts
         && tt_budget_consume (&request->pool->budget, &board->config, tt_fleet_size (board),
                               now_us);
}

/// Puts a request back to READY, to be sent to another backend server.
static void
requeue (TtBoard *board, TtRequest *request)
{
  tt_board_counter_add (board, TT_COUNT_RETRIES, 1);
  tt_request_set_stage (board, request, TT_STAGE_READY);
}

static void
log_attempt_ended (TtBoard *board, const TtRequest *request, bool sent, bool may_have_run,
                   const char *reason, const char *next)
{
  tt_board_log (board, TT_LOG_ATTEMPT_ENDED,
                "request=%s backend=%s cause=\"%s\" sent=%d may_have_run=%d sends=%u of=%u "
                "outcome=%s",
                request->spec.external_id, request->last_backend, reason, sent, may_have_run,
                request->recovery.sends, request->route.max_attempts, next);
}

/// Retries a request whose attempt ended without a response for the caller, or finishes it.
///
/// ARGUMENTS  sent: the attempt may have reached its backend server, so a retry is charged to the
///            budget; may_have_run: that backend server may have run the request
static void
retry_or_finish (TtBoard *board, TtRequest *request, bool sent, bool may_have_run,
                 const char *reason, int64_t now_us)
{
  bool retry;

  if (request->outcome != TT_OUTCOME_NONE)
    return;
  if (request->attempts.count > 0)
    {
      log_attempt_ended (board, request, sent, may_have_run, reason, "other_open");
      return;
    }
  retry = !request->poison.blocked && (request->recovery.runs == 0 || request->idempotent)
          && (!request->relayed || request->route.retry == TT_ROUTE_RETRY_RESUME)
          && (!sent || charge_retry (board, request, now_us));
  log_attempt_ended (board, request, sent, may_have_run, reason, retry ? "again" : "given_up");
  if (retry)
    {
      requeue (board, request);
      return;
    }
  if (request->relayed)
    finish_request (board, request, TT_OUTCOME_CUT, 502, reason, now_us);
  else if (request->recovery.runs == 0 && !may_have_run)
    finish_request (board, request, TT_OUTCOME_NOT_RUN, 503, reason, now_us);
  else
    finish_request (board, request, TT_OUTCOME_UNKNOWN, 502, reason, now_us);
}

/// Starts to relay an attempt's response to the caller and cancels the other attempts.
static void
relay (TtBoard *board, TtAttempt *attempt, int64_t now_us)
{
  TtRequest *request = attempt->request;
  TtAction *action;

  if (request->winner == attempt)
    return;
  if (request->first_response_us == 0)
    request->first_response_us = now_us;
  TT_LIST_FOREACH (&request->attempts, it)
    {
      TtAttempt *other = TT_CONTAINER_OF (it, TtAttempt, request_link);

      if (other != attempt)
        tt_attempt_cancel (board, other);
    }
  request->winner = attempt;
  attempt->state = TT_ATTEMPT_RELAYED;
  action = tt_board_append_action (board, TT_ACTION_RELAY);
  if (action != NULL)
    action->attempt = (TtAttemptAction){ .request_id = request->spec.request_id,
                                         .attempt_id = attempt->id,
                                         .backend_id = attempt->backend->id };
}

static bool
is_success (uint32_t status)
{
  return status >= 200 && status < 300;
}

/// True if another attempt has begun to answer the caller, and this one's response is none that can
/// go on with it: only a stream of events can.
static bool
breaks_begun_response (const TtAttempt *attempt, const TtAttemptEvent *event)
{
  return attempt->request->relayed && attempt->request->winner != attempt
         && !(is_success (event->status) && event->event_stream);
}

/// True for a status by which a daemon promises its caller that the request has not run and never
/// will. A backend server makes this promise only with the "not executed" header, not by the status
/// alone.
static bool
implies_not_executed (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Decides by the head of a response, before any part of it is relayed, whether the caller may get
/// it. One that it may not get ends the attempt, and the request is retried or finished.
///
/// ARGUMENTS  end_attempt: tt_attempt_close() for a complete response, tt_attempt_cancel() for one
///            that is still arriving
/// RETURN     true if the response is rejected
static bool
reject_response (TtBoard *board, TtAttempt *attempt, const TtAttemptEvent *event,
                 void (*end_attempt) (TtBoard *board, TtAttempt *attempt), int64_t now_us)
{
  TtRequest *request = attempt->request;

  if (event->not_executed)
    {
      if (request->recovery.runs > 0)
        request->recovery.runs--;
      record_tried_backend (request, attempt->backend);
      end_attempt (board, attempt);
      retry_or_finish (board, request, true, false, "the backend server did not run it", now_us);
      return true;
    }
  // The failure may be specific to this backend server, so another one is tried.
  if (event->status >= 500 && request->idempotent && !request->relayed
      && (request->attempts.count > 1 || charge_retry (board, request, now_us)))
    {
      record_tried_backend (request, attempt->backend);
      end_attempt (board, attempt);
      log_attempt_ended (board, request, true, true, "the backend server failed",
                         request->attempts.count > 0 ? "other_open" : "again");
      if (request->attempts.count == 0)
        requeue (board, request);
      return true;
    }
  if (breaks_begun_response (attempt, event))
    {
      record_tried_backend (request, attempt->backend);
      end_attempt (board, attempt);
      retry_or_finish (board, request, true, true,
                       "the backend server did not go on with the answer", now_us);
      return true;
    }
  if (implies_not_executed (event->status) && !request->idempotent)
    {
      end_attempt (board, attempt);
      finish_request (board, request, TT_OUTCOME_UNKNOWN, 502,
                      "the backend server refused without saying whether it ran", now_us);
      return true;
    }
  return false;
}

static void
on_progress (TtBoard *board, TtAttempt *attempt, const TtAttemptEvent *event, int64_t now_us)
{
  TtRequest *request = attempt->request;

  attempt->last_progress_us = now_us;
  if (event->exceeds_buffer)
    {
      if (request->winner != attempt
          && reject_response (board, attempt, event, tt_attempt_cancel, now_us))
        return;
      relay (board, attempt, now_us);
      request->relayed = true;
    }
  if (event->tokens == 0)
    return;
  if (attempt->first_token_us == 0)
    attempt->first_token_us = now_us;
  attempt->tokens += event->tokens;
  relay (board, attempt, now_us);
  request->relayed = true;
  request->relayed_tokens += event->tokens;
  request->recovery.last_event_id = event->last_event_id;
  tt_board_counter_add (board, TT_COUNT_TOKENS, event->tokens);
}

static void
on_done (TtBoard *board, TtAttempt *attempt, const TtAttemptEvent *event, int64_t now_us)
{
  TtRequest *request = attempt->request;

  if (request->winner != attempt
      && reject_response (board, attempt, event, tt_attempt_close, now_us))
    return;
  relay (board, attempt, now_us);
  tt_attempt_close (board, attempt);
  (void) tt_request_finish (board, request, TT_OUTCOME_COMPLETE, 0, 0, NULL);
}

static void
on_failed (TtBoard *board, TtAttempt *attempt, const TtEvent *event, int64_t now_us)
{
  TtRequest *request = attempt->request;
  bool sent = attempt->state != TT_ATTEMPT_OPEN || event->attempt.maybe_sent;

  if (sent && attempt->state == TT_ATTEMPT_OPEN)
    {
      request->recovery.sends++;
      request->recovery.runs++;
    }
  record_tried_backend (request, attempt->backend);
  tt_attempt_close (board, attempt);
  retry_or_finish (board, request, sent, sent, event->error.detail, now_us);
}

static void
on_sent (TtAttempt *attempt)
{
  if (attempt->state != TT_ATTEMPT_OPEN)
    return;
  attempt->state = TT_ATTEMPT_SENT;
  attempt->request->recovery.sends++;
  attempt->request->recovery.runs++; // undone by a "not executed" response
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAttempt *attempt;
  TtRequest *request;

  (void) context;
  board->recovery.is_tick = event->type == TT_EVENT_TICK;
  if (event->type == TT_EVENT_CALLER_CLOSED)
    {
      request = tt_request_find (board, event->request_id);
      if (request != NULL && request->outcome == TT_OUTCOME_NONE)
        finish_request (board, request, TT_OUTCOME_UNKNOWN, 502, "the caller went away", now_us);
      return;
    }
  if (event->type < TT_EVENT_ATTEMPT_SENT || event->type > TT_EVENT_ATTEMPT_FAILED)
    return;
  attempt = tt_attempt_find (board, event->attempt.attempt_id);
  if (attempt == NULL)
    return;
  if (event->type != TT_EVENT_ATTEMPT_FAILED)
    on_sent (attempt);
  if (event->type == TT_EVENT_ATTEMPT_PROGRESS)
    on_progress (board, attempt, &event->attempt, now_us);
  else if (event->type == TT_EVENT_ATTEMPT_DONE)
    on_done (board, attempt, &event->attempt, now_us);
  else if (event->type == TT_EVENT_ATTEMPT_FAILED)
    on_failed (board, attempt, event, now_us);
}

/// Finishes a request whose deadline has passed.
static void
finish_expired (TtBoard *board, TtRequest *request, int64_t now_us)
{
  if (request->relayed)
    finish_request (board, request, TT_OUTCOME_CUT, 504, "the time for the request is over",
                    now_us);
  else if (request->recovery.runs > 0)
    finish_request (board, request, TT_OUTCOME_UNKNOWN, 504, "the time for the request is over",
                    now_us);
  else
    finish_request (board, request, TT_OUTCOME_NOT_RUN, 503, "the time for the request is over",
                    now_us);
}

/// Time without an event after which the engine of a resumable stream counts as silent.
static int64_t
silence_timeout_us (const TtRequest *request, const TtAttempt *attempt, int64_t now_us)
{
  if (attempt->tokens == 0)
    return request->route.goal_ms * TT_MILLISECOND_US * FIRST_EVENT_GOAL_PERCENT / 100
           * (now_us - attempt->backend->breaker.last_response_us < BUSY_WINDOW_US
                  ? BUSY_TIMEOUT_FACTOR
                  : 1);
  return request->route.event_gap_ms > 0
             ? request->route.event_gap_ms * TT_MILLISECOND_US * GAP_TIMEOUT_FACTOR
             : DEFAULT_GAP_TIMEOUT_US;
}

/// Cancels a silent attempt of a resumable stream and requeues the request for another engine.
static void
check_silence (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtLink *link = tt_list_first (&request->attempts);
  TtAttempt *attempt;

  if (link == NULL)
    return;
  attempt = TT_CONTAINER_OF (link, TtAttempt, request_link);
  if (now_us - attempt->last_progress_us < silence_timeout_us (request, attempt, now_us)
      || !charge_retry (board, request, now_us))
    return;
  tt_board_log (board, TT_LOG_CONNECTION_SILENT, "request=%s backend=%s silent_ms=%lld event=%u",
                request->spec.external_id, attempt->backend->name,
                (long long) ((now_us - attempt->last_progress_us) / TT_MILLISECOND_US),
                request->recovery.last_event_id);
  attempt->backend->recovery.silent_attempts++;
  record_tried_backend (request, attempt->backend);
  tt_attempt_cancel (board, attempt);
  requeue (board, request);
}

/// Requests a hedge if the open attempt is late.
static void
check_hedge (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtLink *link = tt_list_first (&request->attempts);
  const TtAttempt *attempt;

  if (link == NULL || request->recovery.hedge_decided || request->route.goal_ms == 0)
    return;
  attempt = TT_CONTAINER_OF (link, TtAttempt, request_link);
  if (now_us - attempt->dispatched_us
      < request->route.goal_ms * TT_MILLISECOND_US * HEDGE_GOAL_PERCENT / 100)
    return;
  request->recovery.hedge_decided = true;
  if (!charge_retry (board, request, now_us))
    return;
  request->recovery.hedge_requested = true;
  board->recovery.requested_hedges++;
  board->dirty = true;
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  static const TtStage stages[] = { TT_STAGE_READY, TT_STAGE_RUNNING };

  (void) context;
  if (!board->recovery.is_tick)
    return;
  board->recovery.is_tick = false;
  for (size_t i = 0; i < sizeof stages / sizeof stages[0]; i++)
    TT_LIST_FOREACH (&board->requests.stages[stages[i]], it)
      {
        TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

        if (now_us >= request->route.deadline_us)
          finish_expired (board, request, now_us);
        else if (stages[i] != TT_STAGE_RUNNING)
          continue;
        else if (request->route.retry == TT_ROUTE_RETRY_RESUME)
          check_silence (board, request, now_us);
        else if (request->route.retry == TT_ROUTE_RETRY_ALWAYS)
          check_hedge (board, request, now_us);
      }
}

/// Records the request's latencies in histograms and logs its end.
static void
on_finished (void *context, TtBoard *board, TtRequest *request, int64_t now_us)
{
  int64_t first_us = request->first_response_us;

  (void) context;
  if (request->pool != NULL && first_us != 0)
    tt_histogram_add (&request->pool->first_byte_latency, first_us - request->arrived_us);
  if (request->pool != NULL && request->outcome == TT_OUTCOME_COMPLETE)
    tt_histogram_add (&request->pool->response_latency, now_us - request->arrived_us);
  tt_board_log (
      board, TT_LOG_REQUEST_ENDED,
      "request=%s service=%s account=%s table=%llu backend=%s outcome=%s sends=%u runs=%u "
      "first_ms=%lld ms=%lld events=%u cause=\"%s\"",
      request->spec.external_id, request->spec.service, request->spec.account,
      (unsigned long long) request->route.table_version, request->last_backend,
      outcome_name (request->outcome), request->recovery.sends, request->recovery.runs,
      first_us != 0 ? (long long) ((first_us - request->arrived_us) / TT_MILLISECOND_US) : -1LL,
      (long long) ((now_us - request->arrived_us) / TT_MILLISECOND_US), request->relayed_tokens,
      request->cause);
}

TtController
tt_recovery_controller (void)
{
  return (TtController){
    .name = "recovery", .on_event = on_event, .run = run, .on_finished = on_finished
  };
}
