#include "support/drive.h"
#include "support/test_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/retry.h"

#define START_US (100 * TT_SECOND_US)
#define PAST_TIMEOUT_US (11 * TT_SECOND_US) // past the first-token timeout of the test's document

static TtBoard *
open_board (void)
{
  TtBoard *board = test_board_new ("router-1", "alpha");

  test_board_load_configuration (board, 4, START_US);
  return board;
}

/// Number of requests on the board without an outcome.
static uint32_t
count_open_requests (const TtBoard *board)
{
  return board->requests.request_capacity - board->requests.stages[TT_STAGE_FREE].count
         - board->requests.stages[TT_STAGE_FINISHED].count;
}

/// Guards against a request that is lost when its engine fails, and against a stream that restarts
/// from the beginning instead of resuming.
static void
retry_and_resume (void)
{
  TtBoard *board = open_board ();
  TtAttemptAction first;
  TtAttemptAction second;
  TtAction action;

  (void) drive_send_request (board, "small", "", 1, START_US);
  first = drive_next_dispatch (board);
  drive_attempt_event (board, TT_EVENT_ATTEMPT_SENT, first.attempt_id, 0, START_US);
  drive_attempt_failed (board, first.attempt_id, TT_E_CRASHED, true, START_US);
  drive_ticks (board, START_US, START_US + 200 * TT_MILLISECOND_US);
  second = drive_next_dispatch (board);
  CU_ASSERT_NOT_EQUAL_FATAL (second.attempt_id, 0);
  CU_ASSERT_EQUAL (second.resume_from, 0);
  drive_attempt_event (board, TT_EVENT_ATTEMPT_PROGRESS, second.attempt_id, 12,
                       START_US + TT_SECOND_US);
  // A second crash would stop the request; see poison_test.c.
  drive_attempt_failed (board, second.attempt_id, TT_E_TIMEOUT, true, START_US + TT_SECOND_US);
  drive_ticks (board, START_US + TT_SECOND_US, START_US + 2 * TT_SECOND_US);
  first = drive_next_dispatch (board);
  CU_ASSERT_EQUAL (first.resume_from, 12);
  drive_attempt_event (board, TT_EVENT_ATTEMPT_DONE, first.attempt_id, 5,
                       START_US + 3 * TT_SECOND_US);
  CU_ASSERT_PTR_NOT_NULL (test_board_next_action (board, TT_ACTION_RELAY, &action));
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_COMPLETE], 1);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_RETRIES], 2);
  tt_board_free (board);
}

/// Guards against retries of a non-idempotent request that may have run, and against reporting it
/// as "not run".
static void
do_not_retry_sent_non_idempotent (void)
{
  TtBoard *board = open_board ();
  TtAttemptAction attempt;
  TtRequest *request = drive_set_claim_owned (
      board, drive_send_non_idempotent (board, "small", 1, START_US), START_US);
  TtReplyAction reply;

  CU_ASSERT_PTR_NOT_NULL (request);
  attempt = drive_next_dispatch (board);
  drive_attempt_failed (board, attempt.attempt_id, TT_E_CRASHED, true, START_US);
  reply = drive_next_reply (board);
  CU_ASSERT_EQUAL (reply.outcome, TT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_ATTEMPTS], 1);
  CU_ASSERT_TRUE (request != NULL && request->claim.bytes_possibly_sent);
  // A connection without events: no sent byte is confirmed, but bytes may have been sent.
  (void) drive_set_claim_owned (board, drive_send_non_idempotent (board, "small", 2, START_US),
                                START_US);
  drive_tick (board, START_US + PAST_TIMEOUT_US);
  CU_ASSERT_EQUAL (drive_next_reply (board).outcome, TT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_ATTEMPTS], 2);
  tt_board_free (board);
}

/// Guards against giving up a non-idempotent request that cannot have reached a backend server.
static void
retry_unsent_non_idempotent (void)
{
  TtBoard *board = open_board ();

  (void) drive_set_claim_owned (board, drive_send_non_idempotent (board, "small", 1, START_US),
                                START_US);
  for (int i = 0; i < 8 && count_open_requests (board) > 0; i++)
    {
      TtAttemptAction attempt = drive_next_dispatch (board);

      if (attempt.attempt_id != 0)
        drive_attempt_failed (board, attempt.attempt_id, TT_E_UNAVAILABLE, false, START_US + i);
      drive_ticks (board, START_US + i, START_US + i + 200 * TT_MILLISECOND_US);
    }
  CU_ASSERT (board->counters[TT_COUNT_ATTEMPTS] > 1);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_UNKNOWN], 0);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_NOT_RUN], 1);
  tt_board_free (board);
}

/// Guards against a retry on an engine that already failed while an untried engine is left.
static void
prefer_untried_engines (void)
{
  TtBoard *board = open_board ();
  uint64_t tried[4] = { 0 };

  (void) drive_send_request (board, "small", "", 1, START_US);
  for (int i = 0; i < 4; i++)
    {
      TtAttemptAction attempt = drive_next_dispatch (board);
      int64_t now_us = START_US + i * TT_SECOND_US;

      CU_ASSERT_NOT_EQUAL_FATAL (attempt.attempt_id, 0);
      tried[i] = attempt.backend_id;
      for (int j = 0; j < i; j++)
        CU_ASSERT_NOT_EQUAL (tried[j], tried[i]);
      drive_attempt_failed (board, attempt.attempt_id, TT_E_UNAVAILABLE, false, now_us);
      drive_ticks (board, now_us, now_us + 400 * TT_MILLISECOND_US);
    }
  CU_ASSERT_EQUAL (drive_next_reply (board).outcome, TT_OUTCOME_NOT_RUN);
  tt_board_free (board);
}

/// Guards against giving up a request because an attempt has failed on each usable engine.
static void
reuse_engine_if_no_other (void)
{
  TtBoard *board = test_board_new ("router-1", "alpha");
  TtAttemptAction attempt;

  test_board_load_configuration (board, 1, START_US);
  (void) drive_send_request (board, "small", "", 1, START_US);
  attempt = drive_next_dispatch (board);
  drive_attempt_failed (board, attempt.attempt_id, TT_E_UNAVAILABLE, false, START_US);
  drive_ticks (board, START_US, START_US + 400 * TT_MILLISECOND_US);
  CU_ASSERT_NOT_EQUAL (drive_next_dispatch (board).attempt_id, 0);
  tt_board_free (board);
}

/// Guards against an engine that stalls a request, before the first token or within a stream.
static void
detect_stalled_attempts (void)
{
  TtBoard *board = open_board ();
  TtAttemptAction attempt;
  TtAction action;

  (void) drive_send_request (board, "small", "", 1, START_US);
  (void) drive_next_dispatch (board);
  drive_tick (board, START_US + PAST_TIMEOUT_US);
  CU_ASSERT_PTR_NOT_NULL (test_board_next_action (board, TT_ACTION_CANCEL, &action));
  drive_ticks (board, START_US + PAST_TIMEOUT_US,
               START_US + PAST_TIMEOUT_US + 100 * TT_MILLISECOND_US);
  attempt = drive_next_dispatch (board);
  CU_ASSERT_NOT_EQUAL_FATAL (attempt.attempt_id, 0);
  drive_attempt_event (board, TT_EVENT_ATTEMPT_PROGRESS, attempt.attempt_id, 3,
                       START_US + PAST_TIMEOUT_US);
  drive_tick (board, START_US + PAST_TIMEOUT_US + 6 * TT_SECOND_US);
  drive_tick (board, START_US + PAST_TIMEOUT_US + 7 * TT_SECOND_US);
  CU_ASSERT_EQUAL (drive_next_dispatch (board).resume_from, 3);
  tt_board_free (board);
}

/// Guards against relaying responses of closed attempts to a caller.
static void
discard_late_responses (void)
{
  TtBoard *board = open_board ();
  TtAttemptAction attempt;
  TtEvent closed = { .type = TT_EVENT_CALLER_CLOSED };
  TtAction action;

  closed.request_id = drive_send_request (board, "small", "", 1, START_US);
  attempt = drive_next_dispatch (board);
  tt_board_step (board, &closed, START_US + 1);
  CU_ASSERT_PTR_NOT_NULL (test_board_next_action (board, TT_ACTION_CANCEL, &action));
  drive_attempt_event (board, TT_EVENT_ATTEMPT_PROGRESS, attempt.attempt_id, 3, START_US + 2);
  drive_attempt_event (board, TT_EVENT_ATTEMPT_DONE, attempt.attempt_id, 3, START_US + 3);
  CU_ASSERT_PTR_NULL (test_board_next_action (board, TT_ACTION_RELAY, &action));
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_LATE_RESPONSES], 2);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_COMPLETE], 0);
  tt_board_free (board);
}

/// Guards against a late first token without a hedge, against two relayed responses to one request,
/// and against hedges of non-idempotent requests.
static void
hedge_late_first_token (void)
{
  TtBoard *board = open_board ();
  TtPool *pool = drive_set_batch_limit (board, 32);
  TtAttemptAction first;
  TtAttemptAction second;
  TtAction action;

  pool->health.median_first_token_us = 100000.0;
  pool->health.p95_first_token_us = 200000.0;
  pool->health.next_check_us = START_US + 60 * TT_SECOND_US;
  (void) drive_send_request (board, "small", "", 1, START_US);
  first = drive_next_dispatch (board);
  drive_tick (board, START_US + 150 * TT_MILLISECOND_US);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_HEDGES], 0);
  drive_ticks (board, START_US + 200 * TT_MILLISECOND_US, START_US + 900 * TT_MILLISECOND_US);
  second = drive_next_dispatch (board);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_HEDGES], 1);
  CU_ASSERT_NOT_EQUAL (first.backend_id, second.backend_id);
  drive_attempt_event (board, TT_EVENT_ATTEMPT_PROGRESS, second.attempt_id, 1,
                       START_US + TT_SECOND_US);
  CU_ASSERT_PTR_NOT_NULL_FATAL (test_board_next_action (board, TT_ACTION_RELAY, &action));
  CU_ASSERT_EQUAL (action.attempt.attempt_id, second.attempt_id);
  CU_ASSERT_PTR_NOT_NULL_FATAL (test_board_next_action (board, TT_ACTION_CANCEL, &action));
  CU_ASSERT_EQUAL (action.attempt.attempt_id, first.attempt_id);
  drive_attempt_event (board, TT_EVENT_ATTEMPT_PROGRESS, first.attempt_id, 1,
                       START_US + TT_SECOND_US);
  CU_ASSERT_PTR_NULL (test_board_next_action (board, TT_ACTION_RELAY, &action));
  (void) drive_set_claim_owned (board, drive_send_non_idempotent (board, "small", 1, START_US),
                                START_US);
  drive_ticks (board, START_US + TT_SECOND_US, START_US + 2 * TT_SECOND_US);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_HEDGES], 1);
  tt_board_free (board);
}

/// Guards against retries that amplify an overload.
static void
retries_within_budget (void)
{
  TtBoard *board = open_board ();

  for (uint64_t i = 0; i < 200; i++)
    {
      TtAttemptAction attempt;
      int64_t now_us = START_US + (int64_t) i * 100 * TT_MILLISECOND_US;

      (void) drive_send_request (board, "small", "", i + 1, now_us);
      while ((attempt = drive_next_dispatch (board)).attempt_id != 0)
        drive_attempt_failed (board, attempt.attempt_id, TT_E_UNAVAILABLE, true, now_us);
      drive_tick (board, now_us);
    }
  CU_ASSERT (board->counters[TT_COUNT_RETRIES] >= 20);
  CU_ASSERT (board->counters[TT_COUNT_RETRIES] <= 20 + (uint64_t) TT_RETRY_BUDGET_START);
  tt_board_free (board);
}

static const UnitTest tests[] = {
  { "a retry prefers untried engines", prefer_untried_engines },
  { "a retry may reuse an engine if no other is left", reuse_engine_if_no_other },
  { "requests are retried and streams resumed on another engine", retry_and_resume },
  { "a non-idempotent request that may have run is not retried", do_not_retry_sent_non_idempotent },
  { "a non-idempotent request that was not sent is retried", retry_unsent_non_idempotent },
  { "stalled attempts are detected", detect_stalled_attempts },
  { "responses of closed attempts are discarded", discard_late_responses },
  { "a late first token is hedged and one response is relayed", hedge_late_first_token },
  { "retries stay within their budget", retries_within_budget },
};

UNIT_MAIN ("retry", tests)
