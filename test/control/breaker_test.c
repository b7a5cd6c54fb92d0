#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/control/breaker.h"
#include <string.h>

static RoutedBoard routed;

static TtBackendServer *
find_backend (const char *name)
{
  return tt_backend_find (routed.board, tt_hash_string (name));
}

static uint64_t
dispatched_attempt_id (void)
{
  TtAction action = { 0 };

  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
  return action.attempt.attempt_id;
}

static void
open_with_one_backend (void)
{
  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
}

/// Guards against dispatching to an unreachable backend server, and against a breaker that never
/// half-opens and closes again.
static void
open_and_close (void)
{
  open_with_one_backend ();
  // With 600 ms the caller does not wait for the trial, which would be this request then.
  (void) routed_board_send_request (&routed, "/once/x", 0, 600);
  routed_board_attempt_failed (&routed, dispatched_attempt_id (), TT_E_UNAVAILABLE, false);
  CU_ASSERT_FALSE (tt_breaker_allows (routed.board, find_backend ("p1"), routed.now_us));
  routed_board_advance (&routed, 300);
  CU_ASSERT (tt_breaker_allows (routed.board, find_backend ("p1"), routed.now_us));
  (void) routed_board_send_request (&routed, "/once/y", 0, 5000);
  (void) routed_board_send_request (&routed, "/once/z", 0, 5000);
  // Half-open: one request at a time.
  routed_board_attempt_done (&routed, dispatched_attempt_id (), 200, false);
  CU_ASSERT_EQUAL (find_backend ("p1")->breaker.state, TT_BREAKER_CLOSED);
  routed_board_close (&routed);
}

/// Guards against refusing requests when the breaker of the only backend server is open because of
/// single broken responses, although it responds to other requests (raagmala-sync, trouble-3).
static void
use_only_backend_when_open (void)
{
  open_with_one_backend ();
  for (int i = 0; i < 4; i++)
    {
      uint64_t id;

      (void) routed_board_send_request (&routed, "/once/x", 0, 5000);
      id = dispatched_attempt_id ();
      routed_board_attempt_sent (&routed, id);
      routed_board_attempt_done (&routed, id, 200, false);
      (void) routed_board_send_request (&routed, "/once/y", 0, 5000);
      id = dispatched_attempt_id ();
      routed_board_attempt_sent (&routed, id);
      routed_board_attempt_failed (&routed, id, TT_E_CRASHED, true);
    }
  (void) routed_board_send_request (&routed, "/once/z", 0, 5000);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 1);
  routed_board_close (&routed);
}

/// Guards against a gray failure: a backend server that fails half of its requests and keeps
/// receiving them.
static void
open_on_high_error_rate (void)
{
  bool opened = false;

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 2, "p1", "p2");
  for (int i = 0; i < 60; i++)
    {
      TtAction action = { 0 };

      (void) routed_board_send_request (&routed, "/once/x", 0, 5000);
      UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
      routed_board_attempt_sent (&routed, action.attempt.attempt_id);
      routed_board_attempt_done (
          &routed, action.attempt.attempt_id,
          action.attempt.backend_id == find_backend ("p1")->id && i % 2 == 0 ? 500 : 200, false);
      opened = opened || !tt_breaker_allows (routed.board, find_backend ("p1"), routed.now_us);
    }
  CU_ASSERT (opened || find_backend ("p1")->breaker.error_rate_samples < 10);
  CU_ASSERT (tt_breaker_allows (routed.board, find_backend ("p2"), routed.now_us));
  routed_board_close (&routed);
}

/// Guards against waiting for the connect timeout of one backend server after another in a
/// partitioned failure domain, and against never sending requests to that domain again.
static void
avoid_partitioned_domain (void)
{
  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 4, "p1", "p2", "p3", "p4");
  find_backend ("p4")->domain_id = tt_hash_string ("z2");
  for (int i = 0; i < 2; i++)
    {
      TtAction action = { 0 };

      (void) routed_board_send_request (&routed, "/once/x", 0, 5000);
      UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
      if (action.attempt.backend_id != find_backend ("p4")->id)
        routed_board_attempt_failed (&routed, action.attempt.attempt_id, TT_E_UNAVAILABLE, false);
    }
  routed_board_advance (&routed, 50);
  CU_ASSERT_FALSE (tt_breaker_allows (routed.board, find_backend ("p3"), routed.now_us));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (routed_board_next_log_text (&routed, TT_LOG_DOMAIN_CUT), "unreachable=2"));
  CU_ASSERT (tt_breaker_allows (routed.board, find_backend ("p4"), routed.now_us));
  routed_board_advance (&routed, 300); // half-open breakers admit a request
  CU_ASSERT (tt_breaker_allows (routed.board, find_backend ("p1"), routed.now_us)
             || tt_breaker_allows (routed.board, find_backend ("p2"), routed.now_us));
  routed_board_close (&routed);
}

/// Guards against further requests to an address that another backend server has taken over (421).
static void
open_on_status_421 (void)
{
  uint64_t id;

  open_with_one_backend ();
  (void) routed_board_send_request (&routed, "/once/x", 0, 5000);
  id = dispatched_attempt_id ();
  routed_board_attempt_sent (&routed, id);
  routed_board_attempt_done (&routed, id, 421, true);
  CU_ASSERT_EQUAL (find_backend ("p1")->breaker.state, TT_BREAKER_OPEN);
  routed_board_close (&routed);
}

/// Guards against a failure that does not count because its answer exceeds the buffer, so that the
/// attempt is cancelled before the answer ends.
static void
long_failures_count (void)
{
  open_with_one_backend ();
  for (int i = 0; i < 20; i++)
    {
      TtEvent event = { .type = TT_EVENT_ATTEMPT_PROGRESS };

      (void) routed_board_send_request (&routed, "/once/x", 0, 5000);
      event.attempt = (TtAttemptEvent){ .attempt_id = dispatched_attempt_id (),
                                        .status = 503,
                                        .exceeds_buffer = true };
      routed_board_attempt_sent (&routed, event.attempt.attempt_id);
      routed_board_step (&routed, 1, &event);
    }
  CU_ASSERT (find_backend ("p1")->breaker.error_rate > 0.5);
  routed_board_close (&routed);
}

/// Guards against blame for a new process because of what an earlier one with the same id did: its
/// silent attempts would open the breaker as soon as the new process is listed.
static void
new_process_starts_afresh (void)
{
  TtBackendServer *backend;

  open_with_one_backend ();
  backend = find_backend ("p1");
  backend->recovery.silent_attempts = 3;
  routed_board_advance (&routed, 5000);
  routed_board_change_server (&routed, "p1", ROUTED_PLAIN_SERVICE, false, false, 2);
  routed_board_advance (&routed, 100);
  CU_ASSERT_EQUAL (backend->breaker.state, TT_BREAKER_CLOSED);
  CU_ASSERT_EQUAL (backend->breaker.consecutive_failures, 0);
  routed_board_close (&routed);
}

static const UnitTest tests[] = {
  { "new_process_starts_afresh", new_process_starts_afresh },
  { "breaker_opens_and_closes", open_and_close },
  { "open_breaker_of_only_backend_admits_requests", use_only_backend_when_open },
  { "high_error_rate_opens_breaker", open_on_high_error_rate },
  { "long_failures_count", long_failures_count },
  { "partitioned_domain_gets_no_requests", avoid_partitioned_domain },
  { "status_421_opens_breaker", open_on_status_421 },
};

UNIT_MAIN ("breaker", tests)
