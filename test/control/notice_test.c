#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/control/notice.h"
#include "tarragontrack/control/prefix_table.h"
#include <stdio.h>
#include <string.h>

#define PREFIX_KEY 7

static RoutedBoard routed;

static TtBackendServer *
find_backend (const char *name)
{
  return tt_backend_find (routed.board, tt_hash_string (name));
}

/// Name of the backend server of the next dispatch; empty if there is none. Sets @attempt_id.
static const char *
next_dispatch (uint64_t *attempt_id)
{
  TtAction action = { 0 };

  *attempt_id = 0;
  if (!routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action))
    return "";
  *attempt_id = action.attempt.attempt_id;
  return tt_backend_find (routed.board, action.attempt.backend_id)->name;
}

/// Steps the board with the head of a response in which the backend server says that it leaves.
static void
deliver_leaving_head (uint64_t attempt_id)
{
  TtEvent event = { .type = TT_EVENT_ATTEMPT_PROGRESS,
                    .attempt = { .attempt_id = attempt_id, .status = 200, .leaving = true } };

  routed_board_step (&routed, 1, &event);
}

/// Delivers a status message of the daemon "d2" that advertises a leaving process.
static void
deliver_status (const char *backend, uint64_t process_start_ms)
{
  TtPeerMessage message = { .type = TT_PEER_STATUS, .sender_id = tt_hash_string ("d2") };
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = &message };

  (void) snprintf (message.status.name, sizeof message.status.name, "d2");
  (void) snprintf (message.status.address, sizeof message.status.address, "127.0.0.2");
  message.status.port = 7002;
  message.status.notice_count = 1;
  message.status.notices[0] = (TtPeerNotice){ tt_hash_string (backend), process_start_ms };
  routed_board_step (&routed, 1, &event);
}

/// Opens a board with the engines "e1" and "e2" and lets "e1" say that it leaves. RETURN the
/// attempt whose response said so.
static uint64_t
open_with_leaving_engine (void)
{
  const char *name;
  uint64_t attempt_id;

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_ENGINE_SERVICE, 2, "e1", "e2");
  tt_prefix_table_set (routed.board, PREFIX_KEY, find_backend ("e1"), routed.now_us);
  (void) routed_board_send_request (&routed, "/s/x", PREFIX_KEY, 0);
  name = next_dispatch (&attempt_id);
  UNIT_REQUIRE (strcmp (name, "e1") == 0);
  deliver_leaving_head (attempt_id);
  return attempt_id;
}

/// True if "e1" gets none of several new requests, and isn't the source of a prompt copy.
static bool
is_left_alone (void)
{
  uint64_t attempt_id;

  for (unsigned i = 0; i < 6; i++)
    {
      (void) routed_board_send_request (&routed, "/s/x", PREFIX_KEY, 0);
      if (strcmp (next_dispatch (&attempt_id), "e2") != 0)
        return false;
      routed_board_attempt_progress (&routed, attempt_id, 1);
      routed_board_attempt_done (&routed, attempt_id, 200, false);
    }
  return tt_prefix_table_copy_source (routed.board, PREFIX_KEY, routed.now_us)
         != find_backend ("e1");
}

/// Guards against DRAIN on raagmala-sync-grown: an answer said that its backend server leaves, and
/// the daemon went on sending, because its list, a newer one or another daemon's copy still named
/// the backend server.
static void
answer_goes_before_lists (void)
{
  (void) open_with_leaving_engine ();
  CU_ASSERT (is_left_alone ());
  routed_board_list_servers (&routed, ROUTED_ENGINE_SERVICE, 2, "e1", "e2");
  CU_ASSERT (is_left_alone ());
  routed_board_change_server (&routed, "e1", ROUTED_ENGINE_SERVICE, false, false, 1);
  CU_ASSERT (is_left_alone ());
  routed_board_close (&routed);
}

/// Guards against a notice that is lost with the record of a removed backend server: the entry of
/// the same process can come back, from a copy or after it had lapsed.
static void
notice_outlives_removal (void)
{
  uint64_t attempt_id = open_with_leaving_engine ();

  routed_board_attempt_progress (&routed, attempt_id, 1);
  routed_board_attempt_done (&routed, attempt_id, 200, false);
  routed_board_change_server (&routed, "e1", ROUTED_ENGINE_SERVICE, false, true, 1);
  routed_board_advance (&routed, 100);
  CU_ASSERT_PTR_NULL (find_backend ("e1"));
  routed_board_change_server (&routed, "e1", ROUTED_ENGINE_SERVICE, false, false, 1);
  UNIT_REQUIRE (find_backend ("e1") != NULL);
  CU_ASSERT (is_left_alone ());
  routed_board_close (&routed);
}

/// Guards against leaving a backend server alone for good: a new process with the same id has said
/// nothing yet, and an answer of the old one that comes later says nothing about it.
static void
new_process_is_used (void)
{
  uint64_t attempt_id = open_with_leaving_engine ();

  routed_board_change_server (&routed, "e1", ROUTED_ENGINE_SERVICE, false, false, 2);
  CU_ASSERT_EQUAL (find_backend ("e1")->roster.state, TT_BACKEND_LIVE);
  deliver_leaving_head (attempt_id);
  CU_ASSERT_EQUAL (find_backend ("e1")->roster.state, TT_BACKEND_LIVE);
  (void) routed_board_send_request (&routed, "/s/x", PREFIX_KEY, 0);
  CU_ASSERT_STRING_EQUAL (next_dispatch (&attempt_id), "e1");
  routed_board_close (&routed);
}

/// Guards against a path that skips the check of the first send: retry, resumed stream, hedge, and
/// the last resort when no other backend server is left.
static void
no_path_skips_the_check (void)
{
  static const char *const paths[] = { "/s/x", "/get/x" };
  static const char *const services[] = { ROUTED_ENGINE_SERVICE, ROUTED_PLAIN_SERVICE };

  for (size_t i = 0; i < 2; i++)
    {
      uint64_t first;
      uint64_t second;
      TtAction reply = { 0 };

      routed_board_open (&routed);
      routed_board_configure (&routed, 1, false);
      routed_board_list_servers (&routed, services[i], 1, "e1");
      (void) routed_board_send_request (&routed, paths[i], PREFIX_KEY, 0);
      (void) next_dispatch (&first);
      (void) routed_board_send_request (&routed, paths[i], PREFIX_KEY, 0);
      (void) next_dispatch (&second);
      UNIT_REQUIRE (first != 0 && second != 0);
      routed_board_attempt_sent (&routed, second);
      deliver_leaving_head (first);
      routed_board_advance (&routed, 100); // past the time of a hedge
      routed_board_attempt_failed (&routed, second, TT_E_CRASHED, true);
      (void) routed_board_send_request (&routed, paths[i], PREFIX_KEY, 0);
      CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
      routed_board_advance (&routed, 3000);
      CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
      (void) routed_board_send_request (&routed, paths[i], PREFIX_KEY, 0);
      CU_ASSERT (routed_board_next_action (&routed, TT_ACTION_REPLY, &reply));
      CU_ASSERT_EQUAL (reply.reply.outcome, TT_OUTCOME_NOT_RUN);
      routed_board_close (&routed);
    }
}

/// Guards against daemons that go on sending until each has had an answer of its own: the others
/// are told at once, and a daemon that was told does not tell it again.
static void
others_are_told (void)
{
  TtPeerNotice entries[TT_PEER_MAX_NOTICES];
  TtAction action = { 0 };
  unsigned told = 0;

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_ENGINE_SERVICE, 2, "e1", "e2");
  deliver_status ("e2", 9); // an earlier process of e2
  CU_ASSERT_EQUAL (find_backend ("e2")->roster.state, TT_BACKEND_LIVE);
  deliver_status ("e2", 1);
  CU_ASSERT_EQUAL (find_backend ("e2")->roster.state, TT_BACKEND_LEAVING);
  routed_board_advance (&routed, 500);
  while (routed_board_next_action (&routed, TT_ACTION_PEER_SEND, &action))
    ;
  CU_ASSERT_EQUAL (
      tt_notice_copy_leaving (routed.board, entries, TT_PEER_MAX_NOTICES, routed.now_us), 0);
  (void) routed_board_send_request (&routed, "/s/x", PREFIX_KEY, 0);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
  deliver_leaving_head (action.attempt.attempt_id);
  for (TtAction *next; (next = tt_board_pop_action (routed.board)) != NULL;)
    {
      if (next->type == TT_ACTION_PEER_SEND && next->peer.message->type == TT_PEER_STATUS)
        told += next->peer.message->status.notice_count == 1
                && next->peer.message->status.notices[0].backend_id == tt_hash_string ("e1");
      tt_board_release_action (routed.board, next);
    }
  CU_ASSERT_EQUAL (told, 1);
  routed_board_close (&routed);
}

/// Steps the board with a rejection that names a time for which the backend server wants nothing.
static void
reject_attempt (uint64_t attempt_id, uint32_t unavailable_ms)
{
  TtEvent event = { .type = TT_EVENT_ATTEMPT_DONE,
                    .attempt = { .attempt_id = attempt_id,
                                 .status = 503,
                                 .not_executed = true,
                                 .unavailable_ms = unavailable_ms } };

  routed_board_step (&routed, 1, &event);
}

/// Opens a board with the engines "e1" and "e2" and lets "e1" reject a request for 2 s.
static void
open_with_rejecting_engine (void)
{
  uint64_t attempt_id;

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_ENGINE_SERVICE, 2, "e1", "e2");
  tt_prefix_table_set (routed.board, PREFIX_KEY, find_backend ("e1"), routed.now_us);
  (void) routed_board_send_request (&routed, "/s/x", PREFIX_KEY, 0);
  UNIT_REQUIRE (strcmp (next_dispatch (&attempt_id), "e1") == 0);
  routed_board_attempt_sent (&routed, attempt_id);
  reject_attempt (attempt_id, 2000);
  UNIT_REQUIRE (strcmp (next_dispatch (&attempt_id), "e2") == 0); // the retry
  routed_board_attempt_progress (&routed, attempt_id, 1);
  routed_board_attempt_done (&routed, attempt_id, 200, false);
}

/// Guards against BUDGET: a backend server turned a request away with 503 and Retry-After, the time
/// went to the caller, and the daemon went on sending to it.
static void
rejecting_server_is_left_alone (void)
{
  uint64_t attempt_id;

  open_with_rejecting_engine ();
  CU_ASSERT (is_left_alone ());
  routed_board_list_servers (&routed, ROUTED_ENGINE_SERVICE, 2, "e1", "e2");
  CU_ASSERT (is_left_alone ());
  routed_board_change_server (&routed, "e1", ROUTED_ENGINE_SERVICE, false, true, 1);
  routed_board_advance (&routed, 100);
  routed_board_change_server (&routed, "e1", ROUTED_ENGINE_SERVICE, false, false, 1);
  CU_ASSERT (is_left_alone ());
  routed_board_advance (&routed, 1500);
  CU_ASSERT (is_left_alone ());
  routed_board_advance (&routed, 500);
  tt_prefix_table_set (routed.board, PREFIX_KEY, find_backend ("e1"), routed.now_us);
  (void) routed_board_send_request (&routed, "/s/x", PREFIX_KEY, 0);
  CU_ASSERT_STRING_EQUAL (next_dispatch (&attempt_id), "e1");
  routed_board_close (&routed);
}

/// Guards against a shorter time that ends a longer one, and against a time that a new process of
/// the backend server has not named.
static void
longest_time_of_process_counts (void)
{
  uint64_t attempt_ids[2];
  int64_t until_us;

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_ENGINE_SERVICE, 1, "e1");
  for (unsigned i = 0; i < 2; i++)
    {
      (void) routed_board_send_request (&routed, "/two/x", PREFIX_KEY, 0);
      (void) next_dispatch (&attempt_ids[i]);
      routed_board_attempt_sent (&routed, attempt_ids[i]);
    }
  reject_attempt (attempt_ids[0], UINT32_MAX);
  until_us = find_backend ("e1")->notice.unavailable_until_us;
  CU_ASSERT_EQUAL (until_us, routed.now_us + UINT32_MAX * TT_MILLISECOND_US);
  reject_attempt (attempt_ids[1], 100);
  CU_ASSERT_EQUAL (find_backend ("e1")->notice.unavailable_until_us, until_us);
  routed_board_change_server (&routed, "e1", ROUTED_ENGINE_SERVICE, false, false, 2);
  (void) routed_board_send_request (&routed, "/two/x", PREFIX_KEY, 0);
  CU_ASSERT_STRING_EQUAL (next_dispatch (&attempt_ids[0]), "e1");
  routed_board_close (&routed);
}

/// Guards against a request that is sent to the only backend server as a last resort, against one
/// that waits although the named time is too long, and against a Retry-After before its end.
static void
only_server_is_waited_for (void)
{
  TtAction reply = { 0 };
  uint64_t attempt_id;

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  (void) routed_board_send_request (&routed, "/get/x", 0, 600);
  (void) next_dispatch (&attempt_id);
  routed_board_attempt_sent (&routed, attempt_id);
  reject_attempt (attempt_id, 1000);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &reply));
  CU_ASSERT_EQUAL (reply.reply.outcome, TT_OUTCOME_NOT_RUN);
  CU_ASSERT (reply.reply.retry_after_ms >= 990 && reply.reply.retry_after_ms <= 1010);
  (void) routed_board_send_request (&routed, "/get/x", 0, 600);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &reply));
  CU_ASSERT_EQUAL (reply.reply.outcome, TT_OUTCOME_NOT_RUN);
  (void) routed_board_send_request (&routed, "/get/x", 0, 5000);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
  routed_board_advance (&routed, 900);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
  routed_board_advance (&routed, 150);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 1);
  routed_board_close (&routed);
}

static const UnitTest tests[] = {
  { "answer_goes_before_lists", answer_goes_before_lists },
  { "notice_outlives_removal", notice_outlives_removal },
  { "new_process_is_used", new_process_is_used },
  { "no_path_skips_the_check", no_path_skips_the_check },
  { "others_are_told", others_are_told },
  { "rejecting_server_is_left_alone", rejecting_server_is_left_alone },
  { "longest_time_of_process_counts", longest_time_of_process_counts },
  { "only_server_is_waited_for", only_server_is_waited_for },
};

UNIT_MAIN ("notice", tests)
