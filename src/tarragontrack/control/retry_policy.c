#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/progress.h"
#include "tarragontrack/control/retry.h"
#include "tarragontrack/control/slot.h"

#define BACKOFF_US (20 * TT_MILLISECOND_US) // before the first retry; doubles with each
#define RETRY_WAIT_US (5 * TT_SECOND_US)    // longest time that a retry waits for a backend server
#define HEDGE_RESERVE 5.0                   // tokens of the budget reserved for retries
#define HEDGE_DELAY_MIN 1.5                 // minimum, a multiple of the median time to first token
#define HEDGE_DELAY_MAX 3.0                 // maximum; stragglers raise the 95th percentile
#define MIGRATE_TOKENS_MIN 32               // fewer remaining tokens do not justify another prefill

enum
{
  MAX_RETRIES = 3, // per request
  RETRY_AFTER_MS = 1000
};

void
tt_retry_record_failure (TtRequest *request, const TtBackendServer *backend)
{
  TtRetryRequest *retry = &request->retry;

  retry->tried[retry->tried_count++ % TT_RETRY_MAX_TRIED] = backend->id;
}

/// True if part of the response was relayed and another engine can generate the rest.
static bool
is_resumable (const TtRequest *request)
{
  return request->idempotent && request->spec.stream && request->relayed_tokens > 0
         && request->pool->spec.type == TT_SERVICE_MODEL;
}

/// True if another attempt is safe.
static bool
may_retry (const TtRequest *request)
{
  if (request->poison.blocked || request->retry.retries >= MAX_RETRIES)
    return false;
  if (request->relayed)
    return is_resumable (request);
  if (request->idempotent)
    return true;
  return !request->retry.possibly_sent;
}

/// Ends a request without another attempt; the outcome follows from its earlier attempts.
static void
end_request (TtBoard *board, TtRequest *request, const TtError *error)
{
  uint32_t status = error->code == TT_E_TIMEOUT ? 504 : 502;
  TtOutcome outcome = TT_OUTCOME_NOT_RUN;

  if (request->relayed)
    outcome = TT_OUTCOME_CUT;
  else if (request->retry.possibly_sent)
    outcome = TT_OUTCOME_UNKNOWN;
  if (request->poison.blocked)
    {
      status = 422;
      tt_board_counter_add (board, TT_COUNT_BLOCKED, 1);
    }
  if (outcome != TT_OUTCOME_NOT_RUN)
    tt_board_log (board, outcome == TT_OUTCOME_CUT ? TT_LOG_REQUEST_CUT : TT_LOG_REQUEST_UNKNOWN,
                  "request=%llu service=%s attempts=%u %s",
                  (unsigned long long) request->spec.request_id, request->spec.service,
                  request->attempt_count, error->detail);
  (void) tt_request_finish (board, request, outcome, status,
                            outcome == TT_OUTCOME_NOT_RUN ? RETRY_AFTER_MS : 0, error);
}

/// Schedules a retry: returns the request to `place`, which starts it after a backoff.
static void
schedule_retry (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtRetryRequest *retry = &request->retry;

  board->retry.budget_tokens -= 1.0;
  retry->not_before_us = now_us + BACKOFF_US * (INT64_C (1) << retry->retries);
  retry->retries++;
  retry->wait_until_us = now_us + RETRY_WAIT_US;
  // A request that exceeds its start deadline is reported as "not run", which may no longer be
  // true.
  if (retry->possibly_sent)
    request->start_deadline_us = INT64_MAX;
  tt_board_counter_add (board, TT_COUNT_RETRIES, 1);
  tt_request_set_stage (board, request, TT_STAGE_READY);
}

void
tt_retry_end_attempt (TtBoard *board, TtRequest *request, const TtError *error, int64_t now_us)
{
  TtError final_error = *error;

  if (request->attempts.count > 0 || request->outcome != TT_OUTCOME_NONE)
    return;
  if (request->poison.blocked)
    (void) tt_error_set (&final_error, TT_E_CRASHED, TT_STEP_RECEIVE, request->spec.service,
                         "stopped after crashes; %u attempts ran", request->attempt_count);
  if (may_retry (request) && board->retry.budget_tokens >= 1.0)
    schedule_retry (board, request, now_us);
  else
    end_request (board, request, &final_error);
}

/// Cancels an attempt that made no progress in time.
static void
end_stalled (TtBoard *board, TtAttempt *attempt, int64_t now_us)
{
  TtRequest *request = attempt->request;
  TtError error = { 0 };

  (void) tt_error_set (&error, TT_E_TIMEOUT, TT_STEP_RECEIVE, attempt->backend->name,
                       "no progress for %lld ms",
                       (long long) ((now_us - attempt->last_progress_us) / TT_MILLISECOND_US));
  tt_board_log (board, TT_LOG_CONNECTION_SILENT, "backend=%s request=%llu %s",
                attempt->backend->name, (unsigned long long) request->spec.request_id,
                error.detail);
  // Without any event of the connection it is unknown whether bytes were sent.
  request->retry.possibly_sent = true;
  if (request->claim.step != TT_CLAIM_STEP_NONE)
    request->claim.bytes_possibly_sent = true;
  tt_retry_record_failure (request, attempt->backend);
  tt_attempt_cancel (board, attempt);
  tt_retry_end_attempt (board, request, &error, now_us);
}

/// Time to wait for the first token before a hedge starts; 0 without latency statistics.
static double
hedge_delay_us (const TtAttempt *attempt)
{
  const TtRequest *request = attempt->request;
  const TtHealthPool *health = &request->pool->health;
  double delay = health->p95_first_token_us;
  double median = health->median_first_token_us;

  if (median <= 0.0)
    return 0.0;
  // An engine that has just returned from an ejection is likely still slow, so hedge early.
  if (delay < HEDGE_DELAY_MIN * median || attempt->backend->health.slow_start_since_us != 0)
    delay = HEDGE_DELAY_MIN * median;
  if (delay > HEDGE_DELAY_MAX * median)
    delay = HEDGE_DELAY_MAX * median;
  if (!request->spec.stream)
    delay += HEDGE_DELAY_MIN * request->length.predicted_tokens * health->median_per_token_us;
  return delay;
}

/// Finds the least loaded engine of the local failure domain that has an idle leased slot and is
/// not the one of @original; NULL if there is none.
static TtBackendServer *
find_hedge_backend (const TtBoard *board, const TtAttempt *original, int64_t now_us)
{
  TtBackendServer *best = NULL;
  double best_load = 0.0;

  TT_LIST_FOREACH (&original->request->pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      double load;

      // A hedge uses only a leased slot, because it must not push an engine over the load bound.
      if (backend == original->backend || backend->domain_id != board->domain_id
          || !tt_slot_is_usable (backend) || tt_slot_idle (backend, now_us) == 0
          || backend->health.weight_factor < 1.0)
        continue;
      load = (double) backend->attempts.count / backend->batch_limit;
      if (best == NULL || load < best_load)
        {
          best = backend;
          best_load = load;
        }
    }
  return best;
}

/// Opens a hedge if the first token of the attempt is late.
static void
hedge_attempt (TtBoard *board, TtAttempt *attempt, int64_t now_us)
{
  TtRequest *request = attempt->request;
  double delay = hedge_delay_us (attempt);
  TtBackendServer *backend;

  if (!request->idempotent || request->poison.suspect || request->retry.hedges > 0
      || request->attempts.count != 1 || request->relayed || delay <= 0.0
      || (double) (now_us - attempt->dispatched_us) < delay
      || board->retry.budget_tokens < 1.0 + HEDGE_RESERVE)
    return;
  backend = find_hedge_backend (board, attempt, now_us);
  if (backend == NULL || tt_attempt_new (board, request, backend, true, now_us) == NULL)
    return;
  board->retry.budget_tokens -= 1.0;
  request->retry.hedges++;
  tt_board_counter_add (board, TT_COUNT_HEDGES, 1);
}

/// Migrates a stream off an ejected engine if enough of its response remains.
///
/// RETURN     true if the stream was migrated
static bool
migrate_stream (TtBoard *board, TtAttempt *attempt, int64_t now_us)
{
  TtRequest *request = attempt->request;

  if (!attempt->backend->health.ejected || !is_resumable (request) || request->poison.suspect
      || request->retry.retries > 0 || request->attempts.count != 1
      || request->relayed_tokens + MIGRATE_TOKENS_MIN > request->length.predicted_tokens
      || board->retry.budget_tokens < 1.0 + HEDGE_RESERVE)
    return false;
  tt_retry_record_failure (request, attempt->backend);
  tt_attempt_cancel (board, attempt);
  schedule_retry (board, request, now_us);
  request->retry.not_before_us = now_us;
  return true;
}

static void
check_attempt (TtBoard *board, TtAttempt *attempt, int64_t now_us)
{
  if (tt_attempt_progress_timed_out (attempt, now_us))
    end_stalled (board, attempt, now_us);
  else if (!migrate_stream (board, attempt, now_us) && attempt->first_token_us == 0)
    hedge_attempt (board, attempt, now_us);
}

void
tt_retry_check (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_RUNNING], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      // A hedge that this loop opens is appended to the list and too recent for a further action.
      TT_LIST_FOREACH (&request->attempts, a)
        check_attempt (board, TT_CONTAINER_OF (a, TtAttempt, request_link), now_us);
    }
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_READY], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);
      TtError error = { 0 };

      if (request->retry.wait_until_us == 0 || now_us < request->retry.wait_until_us)
        continue;
      (void) tt_error_set (&error, TT_E_TIMEOUT, TT_STEP_PLACE, request->spec.service,
                           "no backend server had room for another attempt");
      end_request (board, request, &error);
    }
}
