#include "support/drive.h"
#include "support/test_board.h"
#include "support/unit.h"
#include "tarragontrack/board/request.h"

#define START_US (100 * TT_SECOND_US)

/// Creates a board with one engine, one open stream and one queued request, and starts its
/// shutdown.
static TtBoard *
open_draining (TtAttemptAction *attempt, uint32_t limit_ms)
{
  TtBoard *board = test_board_new ("router-1", "alpha");
  TtEvent drain = { .type = TT_EVENT_DRAIN };

  test_board_load_configuration (board, 1, START_US - 5 * TT_SECOND_US);
  (void) drive_set_batch_limit (board, 1);
  drive_ticks (board, START_US - 5 * TT_SECOND_US, START_US);
  board->config.bounds.drain_announce_ms = 1000;
  board->config.bounds.drain_limit_ms = limit_ms;
  (void) drive_send_request (board, "small", "", 1, START_US);
  (void) drive_send_request (board, "small", "", 2, START_US);
  *attempt = drive_next_dispatch (board);
  drive_attempt_event (board, TT_EVENT_ATTEMPT_PROGRESS, attempt->attempt_id, 5, START_US);
  tt_board_step (board, &drain, START_US);
  return board;
}

/// Guards against a shutdown that truncates streams, loses queued requests, rejects requests that
/// the load balancer still sends during the announcement period, or never completes.
static void
finish_open_requests (void)
{
  TtAttemptAction attempt;
  TtBoard *board = open_draining (&attempt, 0);
  TtAction action;

  CU_ASSERT_FALSE (board->drain.ready);
  (void) drive_send_request (board, "small", "", 3, START_US + 100);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_NOT_RUN], 0);
  drive_tick (board, START_US + 2 * TT_SECOND_US);
  (void) drive_send_request (board, "small", "", 4, START_US + 2 * TT_SECOND_US);
  CU_ASSERT_EQUAL (drive_next_reply (board).outcome, TT_OUTCOME_NOT_RUN);
  for (int i = 0; i < 3; i++)
    {
      drive_attempt_event (board, TT_EVENT_ATTEMPT_PROGRESS, attempt.attempt_id, 5,
                           START_US + 3 * TT_SECOND_US);
      CU_ASSERT_NOT_EQUAL (board->drain.state, TT_DRAIN_DONE);
      drive_attempt_event (board, TT_EVENT_ATTEMPT_DONE, attempt.attempt_id, 5,
                           START_US + 3 * TT_SECOND_US);
      if (i < 2)
        attempt = drive_next_dispatch (board);
    }
  drive_tick (board, START_US + 4 * TT_SECOND_US);
  CU_ASSERT_PTR_NOT_NULL (test_board_next_action (board, TT_ACTION_EXIT, &action));
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_COMPLETE], 3);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CUT], 0);
  tt_board_free (board);
}

/// Guards against a process that does not exit at the time limit, and against wrong outcomes of the
/// requests that are ended there.
static void
exit_at_time_limit (void)
{
  TtAttemptAction attempt;
  TtBoard *board = open_draining (&attempt, 5000);
  TtAction action;

  drive_tick (board, START_US + 2 * TT_SECOND_US);
  drive_tick (board, START_US + 4900 * TT_MILLISECOND_US);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CUT], 0);
  drive_tick (board, START_US + 5 * TT_SECOND_US);
  drive_tick (board, START_US + 5 * TT_SECOND_US + TT_TICK_INTERVAL_US);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CUT], 1);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_NOT_RUN], 1);
  CU_ASSERT_PTR_NOT_NULL (test_board_next_action (board, TT_ACTION_EXIT, &action));
  tt_board_free (board);
}

/// Guards against daemons that still rely on the slot leases and the service of a daemon that
/// leaves.
static void
notify_members (void)
{
  TtAttemptAction attempt;
  TtBoard *board = open_draining (&attempt, 0);
  TtLink *link = tt_list_pop (&board->member.free);
  TtMember *member = TT_CONTAINER_OF (link, TtMember, link);
  TtAction *action;
  bool notified = false;

  member->entry = (TtMemberEntry){ .id = 9, .domain_id = board->domain_id };
  member->last_heartbeat_us = START_US + 2 * TT_SECOND_US;
  tt_list_append (&board->member.all, &member->link);
  drive_tick (board, START_US + 2 * TT_SECOND_US);
  while ((action = tt_board_pop_action (board)) != NULL)
    {
      notified = notified
                 || (action->type == TT_ACTION_PEER_SEND && action->peer.member_id == 9
                     && action->peer.message->type == TT_PEER_LEAVE);
      tt_board_release_action (board, action);
    }
  CU_ASSERT_TRUE (notified);
  tt_board_free (board);
}

static const UnitTest tests[] = {
  { "open streams and queued requests finish before the exit", finish_open_requests },
  { "the time limit ends the remaining requests", exit_at_time_limit },
  { "the members of the failure domain are notified", notify_members },
};

UNIT_MAIN ("drain", tests)
