/// Log lines of failed requests: an operator can follow a request's id to the cause of the failure,
/// as described in docs/OPERATIONS.md.
#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/error_defs.h"
#include <string.h>

static RoutedBoard routed;

/// Checks that a log line contains all given parts.
static void
expect_parts (const char *line, const char *const *parts)
{
  for (; *parts != NULL; parts++)
    {
      if (strstr (line, *parts) == NULL)
        (void) fprintf (stderr, "no '%s' in: %s\n", *parts, line);
      CU_ASSERT_PTR_NOT_NULL (strstr (line, *parts));
    }
}

static uint64_t
next_attempt_id (void)
{
  TtAction action = { 0 };

  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
  return action.attempt.attempt_id;
}

/// Guards against a refusal whose log line does not show why the request was not run.
static void
refused_request (void)
{
  static const char *const parts[] = { "request=r",
                                       "service=desk",
                                       "account=a",
                                       "table=1",
                                       "outcome=not_run",
                                       "sends=0",
                                       "runs=0",
                                       "cause=\"no backend server can take the request\"",
                                       NULL };

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  (void) routed_board_send_request (&routed, "/get/x", 0, 600);
  routed_board_advance (&routed, 100);
  expect_parts (routed_board_next_log_text (&routed, TT_LOG_REQUEST_ENDED), parts);
  routed_board_close (&routed);
}

/// Guards against a broken stream whose log lines lack the engine, the events or the decision.
static void
broken_stream (void)
{
  static const char *const ended[]
      = { "backend=e1", "cause=\"scripted failure\"", "sent=1", "sends=1",
          "of=1",       "outcome=given_up",           NULL };
  static const char *const last[]
      = { "outcome=cut", "events=2", "cause=\"scripted failure\"", NULL };
  uint64_t id;

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_ENGINE_SERVICE, 1, "e1");
  (void) routed_board_send_request (&routed, "/two/x", 7, 6000);
  id = next_attempt_id ();
  routed_board_attempt_sent (&routed, id);
  routed_board_attempt_progress (&routed, id, 1);
  routed_board_attempt_progress (&routed, id, 2);
  routed_board_attempt_failed (&routed, id, TT_E_CRASHED, true);
  expect_parts (routed_board_next_log_text (&routed, TT_LOG_ATTEMPT_ENDED), ended);
  expect_parts (routed_board_next_log_text (&routed, TT_LOG_REQUEST_ENDED), last);
  routed_board_close (&routed);
}

/// Guards against a late response whose log lines do not name the silent engine and the second one.
static void
late_response (void)
{
  static const char *const silent[] = { "request=r", "silent_ms=", "event=0", NULL };
  static const char *const placed[]
      = { "reason=", "load=", "others=", "sample_age_ms=", "table=1", "servers_revision=", NULL };
  static const char *const last[]
      = { "outcome=complete", "sends=2", "first_ms=6", "events=1", NULL };
  uint64_t id;

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_ENGINE_SERVICE, 2, "e1", "e2");
  (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
  id = next_attempt_id ();
  routed_board_attempt_sent (&routed, id);
  routed_board_advance (&routed, 650);
  expect_parts (routed_board_next_log_text (&routed, TT_LOG_CONNECTION_SILENT), silent);
  id = next_attempt_id ();
  expect_parts (routed_board_next_log_text (&routed, TT_LOG_REQUEST_PLACED), placed);
  routed_board_attempt_sent (&routed, id);
  routed_board_attempt_progress (&routed, id, 1);
  routed_board_attempt_done (&routed, id, 200, false);
  expect_parts (routed_board_next_log_text (&routed, TT_LOG_REQUEST_ENDED), last);
  routed_board_close (&routed);
}

/// Guards against a retry whose log lines do not show that the first backend server failed.
static void
retry_after_failure (void)
{
  static const char *const ended[]
      = { "backend=p", "cause=\"the backend server failed\"", "sends=1", "outcome=again", NULL };
  uint64_t id;

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 2, "p1", "p2");
  (void) routed_board_send_request (&routed, "/get/x", 0, 1500);
  id = next_attempt_id ();
  routed_board_attempt_sent (&routed, id);
  routed_board_attempt_done (&routed, id, 500, false);
  expect_parts (routed_board_next_log_text (&routed, TT_LOG_ATTEMPT_ENDED), ended);
  routed_board_close (&routed);
}

static const UnitTest tests[] = {
  { "refused_request", refused_request },
  { "broken_stream", broken_stream },
  { "late_response", late_response },
  { "retry_after_failure", retry_after_failure },
};

UNIT_MAIN ("explain", tests)
