#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/quarantine.h"
#include <stdio.h>
#include <string.h>

enum
{
  SHARED_PART = 0x10, ///< of sound requests too
  DEADLY_PART = 0xd1, ///< crashes each engine that begins to answer
  OTHER_PART = 0x20,
  CRASHES = 4 ///< that quarantine a part
};

static const char *const engine_names[] = { "e1", "e2", "e3" };

static RoutedBoard routed;
static uint64_t process_start_ms;

/// Sends a stream with two shared prompt parts and a body of its own. RETURN the request's id.
static uint64_t
send_stream (RoutedBoard *board, uint64_t first_part, uint64_t second_part)
{
  TtRequestSpec spec = { .host = "h", .path = "/s/x", .part_count = 2 };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };

  spec.request_id = tt_board_next_id (board->board);
  spec.bearer_key_hash = tt_hash_id128 (0, "k", 1);
  spec.part_keys[0] = first_part;
  spec.part_keys[1] = second_part;
  spec.prefix_key = tt_hash_pair (first_part, second_part);
  spec.chat_key = spec.body_hash = spec.request_id;
  (void) snprintf (spec.external_id, sizeof spec.external_id, "r%llu",
                   (unsigned long long) spec.request_id);
  routed_board_step (board, 1, &event);
  return spec.request_id;
}

static TtAttemptAction
next_dispatch (RoutedBoard *board)
{
  TtAction action = { 0 };

  (void) routed_board_next_action (board, TT_ACTION_DISPATCH, &action);
  return action.attempt;
}

static void
open_board (RoutedBoard *board, const char *name)
{
  routed_board_open_as (board, name, "z1", 7001);
  routed_board_configure (board, 1, false);
  routed_board_list_servers (board, ROUTED_ENGINE_SERVICE, 3, "e1", "e2", "e3");
}

/// Crashes the engine of an attempt: all attempts there fail. The engine is back with a new process
/// some seconds later.
static void
crash_engine (RoutedBoard *board, uint64_t backend_id)
{
  TtBackendServer *backend = tt_backend_find (board->board, backend_id);
  TtLink *link;

  while ((link = tt_list_first (&backend->attempts)) != NULL)
    routed_board_attempt_failed (board, TT_CONTAINER_OF (link, TtAttempt, backend_link)->id,
                                 TT_E_CRASHED, true);
  routed_board_advance (board, 3000);
  routed_board_change_server (board, backend->name, ROUTED_ENGINE_SERVICE, false, false,
                              ++process_start_ms);
}

/// Sends a request that crashes the engine that begins to answer it, and each engine that its retry
/// reaches. RETURN the number of crashes.
static unsigned
send_deadly_request (RoutedBoard *board, uint64_t first_part)
{
  unsigned crashes = 0;
  uint64_t id = send_stream (board, first_part, DEADLY_PART);

  for (;; crashes++)
    {
      const TtRequest *request = tt_request_find (board->board, id);
      TtLink *link = request != NULL ? tt_list_first (&request->attempts) : NULL;

      if (link == NULL)
        return crashes;
      crash_engine (board, TT_CONTAINER_OF (link, TtAttempt, request_link)->backend->id);
    }
}

/// Sends a sound request. RETURN true if it is sent to an engine; it then succeeds.
static bool
serve_sound_request (RoutedBoard *board, uint64_t first_part, uint64_t second_part)
{
  TtAttemptAction attempt;

  while (routed_board_next_action (board, TT_ACTION_DISPATCH, NULL))
    ;
  (void) send_stream (board, first_part, second_part);
  attempt = next_dispatch (board);
  if (attempt.attempt_id == 0)
    return false;
  routed_board_attempt_progress (board, attempt.attempt_id, 1);
  routed_board_attempt_done (board, attempt.attempt_id, 200, false);
  return true;
}

static void
quarantine_deadly_part (void)
{
  unsigned crashes = 0;

  open_board (&routed, "d1");
  for (uint64_t i = 0; crashes < CRASHES; i++)
    crashes += send_deadly_request (&routed, 0x100 + i);
}

/// Guards against BUDGET on the page's day `tainted`: requests that share one part of their prompt
/// and nothing else crash one backend server after the other, because suspects are known by the
/// whole request only.
static void
varied_requests_add_up (void)
{
  TtAction reply = { 0 };
  unsigned crashes = 0;

  quarantine_deadly_part ();
  for (uint64_t i = 0; i < 20; i++)
    crashes += send_deadly_request (&routed, 0x200 + i);
  CU_ASSERT_EQUAL (crashes, 0);
  while (routed_board_next_action (&routed, TT_ACTION_REPLY, NULL))
    ;
  (void) send_stream (&routed, SHARED_PART, DEADLY_PART);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &reply));
  CU_ASSERT (reply.reply.outcome == TT_OUTCOME_NOT_RUN && reply.reply.status == 503);
  CU_ASSERT (reply.reply.retry_after_ms > 0);
  routed_board_close (&routed);
}

/// Guards against LOST: sound requests that share account, route, key and parts with the deadly
/// ones, and were at work on the engines that crashed, are refused.
static void
sound_requests_are_served (void)
{
  unsigned crashes = 0;

  open_board (&routed, "d1");
  while (crashes < CRASHES)
    {
      (void) send_stream (&routed, SHARED_PART, OTHER_PART);
      crashes += send_deadly_request (&routed, SHARED_PART);
      CU_ASSERT (serve_sound_request (&routed, SHARED_PART, OTHER_PART));
    }
  CU_ASSERT_EQUAL (send_deadly_request (&routed, SHARED_PART), 0);
  CU_ASSERT_EQUAL (routed.board->quarantine.quarantined_count, 1);
  for (unsigned i = 0; i < 5; i++)
    CU_ASSERT (serve_sound_request (&routed, SHARED_PART, OTHER_PART));
  routed_board_close (&routed);
}

/// Guards against blame for a sound part that was never seen without the deadly one before: the
/// first request that has only one of them shows which it is.
static void
inseparable_part_is_tried_alone (void)
{
  unsigned crashes = 0;

  open_board (&routed, "d1");
  while (crashes < CRASHES)
    crashes += send_deadly_request (&routed, OTHER_PART);
  CU_ASSERT_EQUAL (routed.board->quarantine.quarantined_count, 2);
  CU_ASSERT_EQUAL (send_deadly_request (&routed, OTHER_PART), 0);
  CU_ASSERT (serve_sound_request (&routed, SHARED_PART, OTHER_PART));
  CU_ASSERT_EQUAL (routed.board->quarantine.quarantined_count, 1);
  CU_ASSERT (serve_sound_request (&routed, SHARED_PART, OTHER_PART));
  // The other way round: a request with the deadly part alone explains the other's strikes.
  routed_board_close (&routed);
  crashes = 0;
  open_board (&routed, "d1");
  while (crashes < CRASHES)
    crashes += send_deadly_request (&routed, OTHER_PART);
  CU_ASSERT_EQUAL (send_deadly_request (&routed, SHARED_PART), 1);
  CU_ASSERT_EQUAL (routed.board->quarantine.quarantined_count, 1);
  CU_ASSERT (serve_sound_request (&routed, SHARED_PART, OTHER_PART));
  CU_ASSERT_EQUAL (send_deadly_request (&routed, SHARED_PART), 0);
  routed_board_close (&routed);
}

/// Delivers what one daemon tells the others of suspect parts.
static void
deliver_parts (RoutedBoard *from, RoutedBoard *to)
{
  TtPeerMessage message = { .type = TT_PEER_STATUS };
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = &message };
  TtDaemonStatus *status = &message.status;

  message.sender_id = tt_hash_string (from->board->config.name);
  (void) snprintf (status->name, sizeof status->name, "%s", from->board->config.name);
  (void) snprintf (status->address, sizeof status->address, "127.0.0.2");
  status->port = 7002;
  status->part_count
      = tt_quarantine_copy_parts (from->board, status->parts, TT_PEER_MAX_PARTS, from->now_us);
  routed_board_step (to, 1, &event);
}

/// Guards against daemons that each wait for enough crashes of their own, against a crash that
/// several daemons report and that counts several times, and against a quarantine that outlives a
/// success elsewhere.
static void
strikes_add_up_over_daemons (void)
{
  RoutedBoard other;
  unsigned crashes = 0;

  open_board (&routed, "d1");
  open_board (&other, "d2");
  crashes += send_deadly_request (&routed, 0x100);
  other.now_us = routed.now_us;
  deliver_parts (&routed, &other);
  deliver_parts (&routed, &other);
  deliver_parts (&other, &routed);
  CU_ASSERT_EQUAL (other.board->quarantine.quarantined_count, 0);
  for (unsigned i = 0; i < 3; i++) // the engines have started again
    routed_board_change_server (&other, engine_names[i], ROUTED_ENGINE_SERVICE, false, false,
                                ++process_start_ms);
  crashes += send_deadly_request (&other, 0x101);
  CU_ASSERT_EQUAL (crashes, CRASHES);
  CU_ASSERT_EQUAL (other.board->quarantine.quarantined_count, 1);
  routed.now_us = other.now_us;
  deliver_parts (&other, &routed);
  CU_ASSERT_EQUAL (routed.board->quarantine.quarantined_count, 1);
  CU_ASSERT_EQUAL (send_deadly_request (&routed, 0x102), 0);
  routed_board_advance (&routed, 130000); // past the time of the first trial
  other.now_us = routed.now_us;
  CU_ASSERT (serve_sound_request (&routed, SHARED_PART, DEADLY_PART));
  CU_ASSERT_EQUAL (routed.board->quarantine.quarantined_count, 0);
  deliver_parts (&other, &routed); // it does not know of the success yet
  CU_ASSERT_EQUAL (routed.board->quarantine.quarantined_count, 0);
  deliver_parts (&routed, &other);
  CU_ASSERT_EQUAL (other.board->quarantine.quarantined_count, 0);
  routed_board_close (&other);
  routed_board_close (&routed);
}

/// Guards against blame for lost connections: all are reset at the same moment, or an answer is
/// lost now and then while others succeed.
static void
lost_answers_are_no_crashes (void)
{
  open_board (&routed, "d1");
  for (unsigned i = 0; i < 6; i++)
    (void) send_stream (&routed, SHARED_PART, OTHER_PART + i);
  TT_LIST_FOREACH (&routed.board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      TtLink *link = tt_list_first (&backend->attempts);

      if (link != NULL)
        routed_board_attempt_failed (&routed, TT_CONTAINER_OF (link, TtAttempt, backend_link)->id,
                                     TT_E_CRASHED, true);
    }
  TT_LIST_FOREACH (&routed.board->quarantine.suspects, it)
    CU_ASSERT_EQUAL (TT_CONTAINER_OF (it, TtSuspectPart, link)->strike_count, 1);
  routed_board_advance (&routed, 5000);
  for (unsigned i = 0; i < 12; i++)
    {
      TtAttemptAction attempt;

      while (routed_board_next_action (&routed, TT_ACTION_DISPATCH, NULL))
        ;
      (void) send_stream (&routed, SHARED_PART, OTHER_PART);
      attempt = next_dispatch (&routed);
      UNIT_REQUIRE (attempt.attempt_id != 0);
      routed_board_attempt_failed (&routed, attempt.attempt_id, TT_E_CRASHED, true);
      CU_ASSERT (serve_sound_request (&routed, SHARED_PART, OTHER_PART));
      routed_board_advance (&routed, 500);
    }
  CU_ASSERT_EQUAL (routed.board->quarantine.quarantined_count, 0);
  routed_board_close (&routed);
}

/// Guards against blame for good, and against trials that crash one backend server after the other:
/// one request is let through at a time, ever more seldom while it crashes.
static void
quarantine_is_tried_again (void)
{
  unsigned crashes = 0;

  quarantine_deadly_part ();
  routed_board_advance (&routed, 59000);
  CU_ASSERT_EQUAL (send_deadly_request (&routed, 0x300), 0);
  routed_board_advance (&routed, 70000);
  for (uint64_t i = 0; i < 10; i++)
    crashes += send_deadly_request (&routed, 0x301 + i);
  CU_ASSERT_EQUAL (crashes, 1);
  routed_board_advance (&routed, 115000);
  CU_ASSERT_EQUAL (send_deadly_request (&routed, 0x320), 0);
  routed_board_advance (&routed, 130000);
  CU_ASSERT (serve_sound_request (&routed, SHARED_PART, DEADLY_PART));
  CU_ASSERT (serve_sound_request (&routed, SHARED_PART, DEADLY_PART));
  routed_board_close (&routed);
}

/// Guards against requests with the part that are on their way when it is quarantined: those
/// without an answer are taken back before their engine begins to write one.
static void
requests_on_their_way_are_stopped (void)
{
  TtAction action = { 0 };
  TtPeerMessage message = { .type = TT_PEER_STATUS, .sender_id = tt_hash_string ("d2") };
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = &message };
  uint64_t id;

  open_board (&routed, "d1");
  CU_ASSERT_EQUAL (send_deadly_request (&routed, 0x100), 2);
  while (routed_board_next_action (&routed, TT_ACTION_DISPATCH, NULL))
    ;
  id = send_stream (&routed, 0x102, DEADLY_PART);
  routed_board_attempt_sent (&routed, next_dispatch (&routed).attempt_id);
  // Another daemon saw the other two crashes.
  (void) snprintf (message.status.name, sizeof message.status.name, "d2");
  message.status.part_count = 1;
  message.status.parts[0] = (TtPeerPart){
    .key = DEADLY_PART, .strike_count = 2, .crash_ids = { 7, 8 }, .ages_ms = { 900, 400 }
  };
  routed_board_step (&routed, 1, &event);
  CU_ASSERT (routed_board_next_action (&routed, TT_ACTION_CANCEL, NULL));
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.request_id, id);
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_UNKNOWN); // it may have begun
  routed_board_close (&routed);
}

static const UnitTest tests[] = {
  { "varied_requests_add_up", varied_requests_add_up },
  { "sound_requests_are_served", sound_requests_are_served },
  { "inseparable_part_is_tried_alone", inseparable_part_is_tried_alone },
  { "strikes_add_up_over_daemons", strikes_add_up_over_daemons },
  { "lost_answers_are_no_crashes", lost_answers_are_no_crashes },
  { "quarantine_is_tried_again", quarantine_is_tried_again },
  { "requests_on_their_way_are_stopped", requests_on_their_way_are_stopped },
};

UNIT_MAIN ("quarantine", tests)
