#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/request.h"
#include <string.h>

static RoutedBoard routed;

static void
open_engines (void)
{
  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_ENGINE_SERVICE, 2, "e1", "e2");
}

static void
open_plain_servers (void)
{
  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 3, "p1", "p2", "p3");
}

/// Removes the actions up to the next DISPATCH. RETURN its attempt.
static TtAttemptAction
next_attempt (void)
{
  TtAction action = { 0 };

  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
  return action.attempt;
}

/// Like next_attempt(); also reports to the board that the attempt was sent.
static TtAttemptAction
next_sent_attempt (void)
{
  TtAttemptAction attempt = next_attempt ();

  routed_board_attempt_sent (&routed, attempt.attempt_id);
  return attempt;
}

/// Guards against a second execution of a non-idempotent request after its connection broke.
static void
once_request_is_not_retried (void)
{
  TtAction action = { 0 };
  TtAttemptAction attempt;

  open_plain_servers ();
  (void) routed_board_send_request (&routed, "/once/x", 0, 600);
  attempt = next_sent_attempt ();
  routed_board_attempt_failed (&routed, attempt.attempt_id, TT_E_CRASHED, true);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (action.reply.status, 502);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
  routed_board_close (&routed);
}

/// Guards against giving up a request that was never sent, and against retrying it on the same
/// backend server.
static void
unsent_request_is_retried (void)
{
  TtAttemptAction first;
  TtAttemptAction second;

  open_plain_servers ();
  (void) routed_board_send_request (&routed, "/once/x", 0, 600);
  first = next_attempt ();
  routed_board_attempt_failed (&routed, first.attempt_id, TT_E_UNAVAILABLE, false);
  second = next_attempt ();
  CU_ASSERT_NOT_EQUAL (first.backend_id, second.backend_id);
  CU_ASSERT (second.remaining_ms > 0 && second.remaining_ms <= 600);
  routed_board_close (&routed);
}

/// Guards against a refusal without Retry-After when the backend server did not run the request.
static void
refusal_has_retry_after (void)
{
  TtAction action = { 0 };
  TtAttemptAction attempt;

  open_plain_servers ();
  (void) routed_board_send_request (&routed, "/once/x", 0, 600);
  attempt = next_sent_attempt ();
  routed_board_attempt_done (&routed, attempt.attempt_id, 503, true);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (action.reply.status, 503);
  CU_ASSERT (action.reply.retry_after_ms > 0);
  routed_board_close (&routed);
}

/// Guards against a third backend server for a request limited to two: the first attempt failed,
/// the second is still connecting, and a hedge would be the third (skurd-tarragon-grown,
/// trouble-3).
static void
attempts_are_bounded (void)
{
  TtAttemptAction first;
  TtAttemptAction second;

  open_plain_servers ();
  (void) routed_board_send_request (&routed, "/get/x", 0, 1500);
  first = next_sent_attempt ();
  routed_board_attempt_done (&routed, first.attempt_id, 500, false);
  second = next_attempt ();
  routed_board_advance (&routed, 300); // the second attempt is late because it connects slowly
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
  routed_board_attempt_sent (&routed, second.attempt_id);
  routed_board_advance (&routed, 300);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
  routed_board_close (&routed);
}

/// Guards against an idempotent request that waits for a slow backend server beyond its goal.
static void
late_response_is_hedged (void)
{
  TtAttemptAction first;
  TtAttemptAction second;
  TtAction action = { 0 };

  open_plain_servers ();
  (void) routed_board_send_request (&routed, "/get/x", 0, 1500);
  first = next_sent_attempt ();
  routed_board_advance (&routed, 150);
  second = next_attempt ();
  CU_ASSERT_NOT_EQUAL (first.backend_id, second.backend_id);
  routed_board_attempt_sent (&routed, second.attempt_id);
  routed_board_attempt_done (&routed, second.attempt_id, 200, false);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_CANCEL, &action));
  CU_ASSERT_EQUAL (action.attempt.attempt_id, first.attempt_id);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_RELAY, &action));
  CU_ASSERT_EQUAL (action.attempt.attempt_id, second.attempt_id);
  routed_board_close (&routed);
}

/// Guards against truncating a stream although another engine could resume it after the last event.
static void
broken_stream_is_resumed (void)
{
  TtAttemptAction first;
  TtAttemptAction second;

  open_engines ();
  (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
  first = next_sent_attempt ();
  routed_board_attempt_progress (&routed, first.attempt_id, 1);
  routed_board_attempt_progress (&routed, first.attempt_id, 2);
  routed_board_attempt_failed (&routed, first.attempt_id, TT_E_CRASHED, true);
  second = next_attempt ();
  CU_ASSERT_NOT_EQUAL (first.backend_id, second.backend_id);
  CU_ASSERT_EQUAL (second.last_event_id, 2);
  routed_board_close (&routed);
}

/// Guards against two concurrent executions of a stream: the silent attempt is cancelled before the
/// next one starts.
static void
silent_stream_is_resumed (void)
{
  TtAttemptAction first;
  TtAction action = { 0 };

  open_engines ();
  (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
  first = next_sent_attempt ();
  routed_board_advance (&routed, 550); // the goal is 400 ms
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
  routed_board_advance (&routed, 100);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_CANCEL, &action));
  CU_ASSERT_EQUAL (action.attempt.attempt_id, first.attempt_id);
  CU_ASSERT_NOT_EQUAL (next_attempt ().backend_id, first.backend_id);
  routed_board_close (&routed);
}

/// Guards against cancelling a stream's attempt because its engine is silent, although the route
/// does not allow another engine to resume the stream.
static void
silent_unresumable_stream_is_kept (void)
{
  TtAttemptAction attempt;

  open_engines ();
  (void) routed_board_send_request (&routed, "/two/x", 7, 6000);
  attempt = next_sent_attempt ();
  routed_board_attempt_progress (&routed, attempt.attempt_id, 1);
  routed_board_advance (&routed, 4000);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_CANCEL), 0);
  routed_board_close (&routed);
}

/// Guards against requests that are held beyond the deadline of the caller or of the route, and
/// against reporting a request that was sent as not run.
static void
deadline_is_enforced (void)
{
  TtAction action = { 0 };

  open_plain_servers ();
  (void) routed_board_send_request (&routed, "/once/x", 0, 600);
  (void) next_sent_attempt ();
  routed_board_advance (&routed, 700);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (action.reply.status, 504);
  routed_board_close (&routed);
}

/// Guards against an attempt that continues after the caller disconnected.
static void
caller_disconnects (void)
{
  TtEvent event = { .type = TT_EVENT_CALLER_CLOSED };
  TtAttemptAction attempt;
  TtAction action = { 0 };

  open_engines ();
  event.request_id = routed_board_send_request (&routed, "/s/x", 7, 6000);
  attempt = next_sent_attempt ();
  routed_board_step (&routed, 1, &event);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_CANCEL, &action));
  CU_ASSERT_EQUAL (action.attempt.attempt_id, attempt.attempt_id);
  routed_board_close (&routed);
}

/// Starts a stream whose engine crashes after the first event. RETURN the attempt that goes on.
static TtAttemptAction
resume_broken_stream (void)
{
  TtAttemptAction first;
  TtAttemptAction second;

  open_engines ();
  (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
  first = next_sent_attempt ();
  routed_board_attempt_progress (&routed, first.attempt_id, 1);
  routed_board_attempt_failed (&routed, first.attempt_id, TT_E_CRASHED, true);
  second = next_sent_attempt ();
  (void) routed_board_count_actions (&routed, TT_ACTION_RELAY);
  return second;
}

/// Guards against relaying an error response's body at the end of a stream that another engine
/// should have resumed: the stream would look complete.
static void
failed_resume_cuts_stream (void)
{
  TtAction action = { 0 };

  routed_board_attempt_done (&routed, resume_broken_stream ().attempt_id, 500, false);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_CUT);
  routed_board_close (&routed);
}

/// Guards against an answer in the middle of a begun stream that does not go on with it (ORDER,
/// MIXED): a long error that exceeds the buffer, or a success that is no stream of events.
static void
other_answer_cuts_begun_stream (void)
{
  static const TtAttemptEvent answers[]
      = { { .status = 500, .exceeds_buffer = true }, { .status = 200, .exceeds_buffer = true } };

  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    {
      TtEvent event = { .type = TT_EVENT_ATTEMPT_PROGRESS, .attempt = answers[i] };
      TtAction action = { 0 };

      event.attempt.attempt_id = resume_broken_stream ().attempt_id;
      routed_board_step (&routed, 1, &event);
      UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
      CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_CUT);
      routed_board_close (&routed);
    }
  for (unsigned event_stream = 0; event_stream < 2; event_stream++)
    {
      TtEvent event = { .type = TT_EVENT_ATTEMPT_DONE,
                        .attempt = { .status = 200, .event_stream = event_stream == 1 } };
      TtAction action = { 0 };

      event.attempt.attempt_id = resume_broken_stream ().attempt_id;
      routed_board_step (&routed, 1, &event);
      CU_ASSERT_EQUAL (routed_board_next_action (&routed, TT_ACTION_REPLY, &action),
                       event_stream == 0);
      CU_ASSERT_EQUAL (action.reply.outcome, event_stream == 0 ? TT_OUTCOME_CUT : TT_OUTCOME_NONE);
      routed_board_close (&routed);
    }
}

/// Guards against relaying a backend server's 503 that has no "not executed" header. The request
/// may have run, but the caller of a non-idempotent request would treat the 503 as a promise that
/// it did not.
static void
refusal_without_header_is_unknown (void)
{
  TtAction action = { 0 };
  TtAttemptAction attempt;

  open_plain_servers ();
  (void) routed_board_send_request (&routed, "/once/x", 0, 600);
  attempt = next_sent_attempt ();
  routed_board_attempt_done (&routed, attempt.attempt_id, 503, false);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (action.reply.status, 502);
  routed_board_close (&routed);
}

/// Guards against buffering a long plain response completely before it is relayed, and against a
/// retry after its first part was relayed.
static void
long_response_is_relayed_in_parts (void)
{
  TtEvent event = { .type = TT_EVENT_ATTEMPT_PROGRESS };
  TtAttemptAction attempt;

  open_plain_servers ();
  (void) routed_board_send_request (&routed, "/get/x", 0, 1500);
  attempt = next_sent_attempt ();
  event.attempt
      = (TtAttemptEvent){ .attempt_id = attempt.attempt_id, .status = 200, .exceeds_buffer = true };
  routed_board_step (&routed, 1, &event);
  CU_ASSERT (routed_board_next_action (&routed, TT_ACTION_RELAY, NULL));
  routed_board_attempt_failed (&routed, attempt.attempt_id, TT_E_CRASHED, true);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
  routed_board_close (&routed);
}

/// Reports the head and the first part of a plain answer that exceeds the buffer.
static void
report_long_answer (TtAttemptAction attempt, uint32_t status, bool not_executed)
{
  TtEvent event = { .type = TT_EVENT_ATTEMPT_PROGRESS };

  event.attempt = (TtAttemptEvent){ .attempt_id = attempt.attempt_id,
                                    .status = status,
                                    .exceeds_buffer = true,
                                    .not_executed = not_executed };
  routed_board_step (&routed, 1, &event);
}

/// Guards against relaying the first part of a long refusal that has no "not executed" header: its
/// status promises the caller that a request that has run did not run (REFUSED).
static void
long_refusal_without_header_is_unknown (void)
{
  static const uint32_t statuses[] = { 408, 429, 503 };

  for (size_t i = 0; i < sizeof statuses / sizeof statuses[0]; i++)
    {
      TtAction action = { 0 };
      TtAttemptAction attempt;

      open_plain_servers ();
      (void) routed_board_send_request (&routed, "/once/x", 0, 600);
      attempt = next_sent_attempt ();
      report_long_answer (attempt, statuses[i], false);
      UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
      CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_UNKNOWN);
      CU_ASSERT_EQUAL (action.reply.status, 502);
      routed_board_close (&routed);
    }
}

/// Guards against relaying the first part of a long refusal or failure although another backend
/// server could run the request.
static void
long_failure_is_retried (void)
{
  TtAttemptAction first;

  open_plain_servers ();
  (void) routed_board_send_request (&routed, "/get/x", 0, 1500);
  first = next_sent_attempt ();
  report_long_answer (first, 500, false);
  CU_ASSERT_NOT_EQUAL (next_attempt ().backend_id, first.backend_id);
  routed_board_close (&routed);
  open_plain_servers ();
  (void) routed_board_send_request (&routed, "/get/x", 0, 1500);
  first = next_sent_attempt ();
  report_long_answer (first, 503, true);
  CU_ASSERT_NOT_EQUAL (next_attempt ().backend_id, first.backend_id);
  routed_board_close (&routed);
}

static const UnitTest tests[] = {
  { "once_request_is_not_retried", once_request_is_not_retried },
  { "unsent_request_is_retried", unsent_request_is_retried },
  { "refusal_has_retry_after", refusal_has_retry_after },
  { "attempts_are_bounded", attempts_are_bounded },
  { "late_response_is_hedged", late_response_is_hedged },
  { "broken_stream_is_resumed", broken_stream_is_resumed },
  { "silent_stream_is_resumed", silent_stream_is_resumed },
  { "silent_unresumable_stream_is_kept", silent_unresumable_stream_is_kept },
  { "deadline_is_enforced", deadline_is_enforced },
  { "caller_disconnects", caller_disconnects },
  { "failed_resume_cuts_stream", failed_resume_cuts_stream },
  { "other_answer_cuts_begun_stream", other_answer_cuts_begun_stream },
  { "refusal_without_header_is_unknown", refusal_without_header_is_unknown },
  { "long_response_is_relayed_in_parts", long_response_is_relayed_in_parts },
  { "long_refusal_without_header_is_unknown", long_refusal_without_header_is_unknown },
  { "long_failure_is_retried", long_failure_is_retried },
};

UNIT_MAIN ("recovery", tests)
