#include "support/routed.h"
#include "support/unit.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/request.h"
#include <string.h>

static Routed routed;

static void
open_two (void)
{
  routed_open (&routed);
  routed_configure (&routed, 1, false);
  routed_list_servers (&routed, ROUTED_SERVICE, 2, "e1", "e2");
}

static void
open_desk (void)
{
  routed_open (&routed);
  routed_configure (&routed, 1, false);
  routed_list_servers (&routed, ROUTED_PLAIN, 3, "p1", "p2", "p3");
}

/// Takes the next DISPATCH action's attempt.
static TtAttemptAction
take_attempt (void)
{
  TtAction action = { 0 };

  UNIT_REQUIRE (routed_take (&routed, TT_ACTION_DISPATCH, &action));
  return action.attempt;
}

/// Takes the next DISPATCH action's attempt and tells the board that it was sent.
static TtAttemptAction
take_sent (void)
{
  TtAttemptAction attempt = take_attempt ();

  routed_sent (&routed, attempt.attempt_id);
  return attempt;
}

/// Guards against a second run of a request that may run once after its connection broke.
static void
once_is_not_repeated (void)
{
  TtAction action = { 0 };
  TtAttemptAction attempt;

  open_desk ();
  (void) routed_request (&routed, "/once/x", 0, 600);
  attempt = take_sent ();
  routed_failed (&routed, attempt.attempt_id, TT_E_CRASHED, true);
  UNIT_REQUIRE (routed_take (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (action.reply.status, 502);
  CU_ASSERT_EQUAL (routed_count (&routed, TT_ACTION_DISPATCH), 0);
  routed_close (&routed);
}

/// Guards against "not run" for a request that ran, and against giving up one that never left.
static void
unsent_goes_elsewhere (void)
{
  TtAttemptAction first;
  TtAttemptAction second;

  open_desk ();
  (void) routed_request (&routed, "/once/x", 0, 600);
  first = take_attempt ();
  routed_failed (&routed, first.attempt_id, TT_E_UNAVAILABLE, false);
  second = take_attempt ();
  CU_ASSERT_NOT_EQUAL (first.backend_id, second.backend_id);
  CU_ASSERT (second.limit_ms > 0 && second.limit_ms <= 600);
  routed_close (&routed);
}

/// Guards against a refusal without a time to come back when the backend server did not run it.
static void
refused_is_not_run (void)
{
  TtAction action = { 0 };
  TtAttemptAction attempt;

  open_desk ();
  (void) routed_request (&routed, "/once/x", 0, 600);
  attempt = take_sent ();
  routed_done (&routed, attempt.attempt_id, 503, true);
  UNIT_REQUIRE (routed_take (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (action.reply.status, 503);
  CU_ASSERT (action.reply.retry_after_ms > 0);
  routed_close (&routed);
}

/// Guards against a third backend server for a request that may go to two: the failed first send,
/// one that is still connecting, and a second one beside it (skurd-tarragon-grown, trouble-3).
static void
attempts_are_bounded (void)
{
  TtAttemptAction first;
  TtAttemptAction second;

  open_desk ();
  (void) routed_request (&routed, "/get/x", 0, 1500);
  first = take_sent ();
  routed_done (&routed, first.attempt_id, 500, false);
  second = take_attempt ();
  routed_wait (&routed, 300); // the second connects slowly; it is late
  CU_ASSERT_EQUAL (routed_count (&routed, TT_ACTION_DISPATCH), 0);
  routed_sent (&routed, second.attempt_id);
  routed_wait (&routed, 300);
  CU_ASSERT_EQUAL (routed_count (&routed, TT_ACTION_DISPATCH), 0);
  routed_close (&routed);
}

/// Guards against an idempotent request that waits for a slow backend server past its goal.
static void
late_answer_is_hedged (void)
{
  TtAttemptAction first;
  TtAttemptAction second;
  TtAction action = { 0 };

  open_desk ();
  (void) routed_request (&routed, "/get/x", 0, 1500);
  first = take_sent ();
  routed_wait (&routed, 150);
  second = take_attempt ();
  CU_ASSERT_NOT_EQUAL (first.backend_id, second.backend_id);
  routed_sent (&routed, second.attempt_id);
  routed_done (&routed, second.attempt_id, 200, false);
  UNIT_REQUIRE (routed_take (&routed, TT_ACTION_CANCEL, &action));
  CU_ASSERT_EQUAL (action.attempt.attempt_id, first.attempt_id);
  UNIT_REQUIRE (routed_take (&routed, TT_ACTION_RELAY, &action));
  CU_ASSERT_EQUAL (action.attempt.attempt_id, second.attempt_id);
  routed_close (&routed);
}

/// Guards against a stream that ends midway though another engine could go on after its last event.
static void
stream_goes_on (void)
{
  TtAttemptAction first;
  TtAttemptAction second;

  open_two ();
  (void) routed_request (&routed, "/s/x", 7, 6000);
  first = take_sent ();
  routed_event (&routed, first.attempt_id, 1);
  routed_event (&routed, first.attempt_id, 2);
  routed_failed (&routed, first.attempt_id, TT_E_CRASHED, true);
  second = take_attempt ();
  CU_ASSERT_NOT_EQUAL (first.backend_id, second.backend_id);
  CU_ASSERT_EQUAL (second.resume_event, 2);
  routed_close (&routed);
}

/// Guards against two runs of a stream at once: the silent one is cancelled before the next starts.
static void
silent_stream_moves_on (void)
{
  TtAttemptAction first;
  TtAction action = { 0 };

  open_two ();
  (void) routed_request (&routed, "/s/x", 7, 6000);
  first = take_sent ();
  routed_wait (&routed, 550); // the goal is 400 ms
  CU_ASSERT_EQUAL (routed_count (&routed, TT_ACTION_DISPATCH), 0);
  routed_wait (&routed, 100);
  UNIT_REQUIRE (routed_take (&routed, TT_ACTION_CANCEL, &action));
  CU_ASSERT_EQUAL (action.attempt.attempt_id, first.attempt_id);
  CU_ASSERT_NOT_EQUAL (take_attempt ().backend_id, first.backend_id);
  routed_close (&routed);
}

/// Guards against a stream that may not be resumed being cut because its engine is silent.
static void
silence_is_no_end (void)
{
  TtAttemptAction attempt;

  open_two ();
  (void) routed_request (&routed, "/two/x", 7, 6000);
  attempt = take_sent ();
  routed_event (&routed, attempt.attempt_id, 1);
  routed_wait (&routed, 4000);
  CU_ASSERT_EQUAL (routed_count (&routed, TT_ACTION_CANCEL), 0);
  routed_close (&routed);
}

/// Guards against requests that are held past the caller's time or the route's, and against a
/// promise that one that was sent has not run.
static void
time_is_over (void)
{
  TtAction action = { 0 };

  open_desk ();
  (void) routed_request (&routed, "/once/x", 0, 600);
  (void) take_sent ();
  routed_wait (&routed, 700);
  UNIT_REQUIRE (routed_take (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (action.reply.status, 504);
  routed_close (&routed);
}

/// Guards against work that goes on after the caller has left.
static void
caller_leaves (void)
{
  TtEvent event = { .type = TT_EVENT_CALLER_CLOSED };
  TtAttemptAction attempt;
  TtAction action = { 0 };

  open_two ();
  event.request_id = routed_request (&routed, "/s/x", 7, 6000);
  attempt = take_sent ();
  routed_post (&routed, 1, &event);
  UNIT_REQUIRE (routed_take (&routed, TT_ACTION_CANCEL, &action));
  CU_ASSERT_EQUAL (action.attempt.attempt_id, attempt.attempt_id);
  routed_close (&routed);
}

/// Guards against a failure's body at the end of a stream that another engine should have gone on
/// with: the stream would look complete.
static void
failed_resumption (void)
{
  TtAttemptAction first;
  TtAttemptAction second;
  TtAction action = { 0 };

  open_two ();
  (void) routed_request (&routed, "/s/x", 7, 6000);
  first = take_sent ();
  routed_event (&routed, first.attempt_id, 1);
  routed_failed (&routed, first.attempt_id, TT_E_CRASHED, true);
  second = take_sent ();
  (void) routed_count (&routed, TT_ACTION_RELAY);
  routed_done (&routed, second.attempt_id, 500, false);
  UNIT_REQUIRE (routed_take (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_CUT);
  routed_close (&routed);
}

/// Guards against a backend server's bare 503, which promises nothing, being passed on as the
/// promise that a request which may run once has not run.
static void
bare_refusal (void)
{
  TtAction action = { 0 };
  TtAttemptAction attempt;

  open_desk ();
  (void) routed_request (&routed, "/once/x", 0, 600);
  attempt = take_sent ();
  routed_done (&routed, attempt.attempt_id, 503, false);
  UNIT_REQUIRE (routed_take (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (action.reply.status, 502);
  routed_close (&routed);
}

/// Guards against a long plain answer that is kept in memory until it is whole, and against a
/// second answer behind the first part of one.
static void
long_answer (void)
{
  TtEvent event = { .type = TT_EVENT_ATTEMPT_PROGRESS };
  TtAttemptAction attempt;

  open_desk ();
  (void) routed_request (&routed, "/get/x", 0, 1500);
  attempt = take_sent ();
  event.attempt
      = (TtAttemptEvent){ .attempt_id = attempt.attempt_id, .status = 200, .partial = true };
  routed_post (&routed, 1, &event);
  CU_ASSERT (routed_take (&routed, TT_ACTION_RELAY, NULL));
  routed_failed (&routed, attempt.attempt_id, TT_E_CRASHED, true);
  CU_ASSERT_EQUAL (routed_count (&routed, TT_ACTION_DISPATCH), 0);
  routed_close (&routed);
}

static const UnitTest tests[] = {
  { "once_is_not_repeated", once_is_not_repeated },
  { "unsent_goes_elsewhere", unsent_goes_elsewhere },
  { "refused_is_not_run", refused_is_not_run },
  { "attempts_are_bounded", attempts_are_bounded },
  { "late_answer_is_hedged", late_answer_is_hedged },
  { "stream_goes_on", stream_goes_on },
  { "silent_stream_moves_on", silent_stream_moves_on },
  { "silence_is_no_end", silence_is_no_end },
  { "time_is_over", time_is_over },
  { "caller_leaves", caller_leaves },
  { "failed_resumption", failed_resumption },
  { "bare_refusal", bare_refusal },
  { "long_answer", long_answer },
};

UNIT_MAIN ("recovery", tests)
