#include "support/test_board.h"
#include "support/unit.h"
#include "tarragontrack/board/request.h"

#define START_US (100 * TT_SECOND_US)

/// Guards against a request that is not dispatched, not relayed or not finished.
static void
serve_request (void)
{
  TtBoard *board = test_board_new ("router-1", "alpha");
  TtAction action;
  TtEvent event = { 0 };
  uint64_t request_id;

  test_board_load_configuration (board, 4, START_US);
  request_id = test_board_send_request (board, "small", "chat", 77, START_US);
  CU_ASSERT_PTR_NOT_NULL_FATAL (test_board_next_action (board, TT_ACTION_DISPATCH, &action));
  CU_ASSERT_EQUAL (action.attempt.request_id, request_id);
  event.type = TT_EVENT_ATTEMPT_PROGRESS;
  event.attempt = (TtAttemptEvent){ .attempt_id = action.attempt.attempt_id, .tokens = 1 };
  tt_board_step (board, &event, START_US + 1000);
  CU_ASSERT_PTR_NOT_NULL (test_board_next_action (board, TT_ACTION_RELAY, &action));
  event.type = TT_EVENT_ATTEMPT_DONE;
  event.attempt.status = 200;
  tt_board_step (board, &event, START_US + 2000);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_COMPLETE], 1);
  CU_ASSERT_EQUAL (board->requests.stages[TT_STAGE_FREE].count, board->requests.request_capacity);
  tt_board_free (board);
}

/// Guards against two daemons that choose different home backend servers for the same chat.
static void
agree_on_home (void)
{
  TtBoard *first = test_board_new ("router-1", "alpha");
  TtBoard *second = test_board_new ("router-2", "alpha");

  test_board_load_configuration (first, 8, START_US);
  test_board_load_configuration (second, 8, START_US);
  for (uint64_t chat = 1; chat < 50; chat++)
    {
      TtAction one = { 0 };
      TtAction two = { 0 };

      (void) test_board_send_request (first, "small", "chat", chat, START_US);
      (void) test_board_send_request (second, "small", "chat", chat, START_US);
      CU_ASSERT_PTR_NOT_NULL (test_board_next_action (first, TT_ACTION_DISPATCH, &one));
      CU_ASSERT_PTR_NOT_NULL (test_board_next_action (second, TT_ACTION_DISPATCH, &two));
      CU_ASSERT_EQUAL (one.attempt.backend_id, two.attempt.backend_id);
    }
  tt_board_free (first);
  tt_board_free (second);
}

/// Guards against a request for an unknown service that waits forever.
static void
refuse_unknown_service (void)
{
  TtBoard *board = test_board_new ("router-1", "alpha");
  TtAction action;

  test_board_load_configuration (board, 1, START_US);
  (void) test_board_send_request (board, "small", "no-such-model", 1, START_US);
  CU_ASSERT_PTR_NOT_NULL_FATAL (test_board_next_action (board, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_INVALID);
  CU_ASSERT_EQUAL (action.reply.status, 404);
  tt_board_free (board);
}

/// Guards against a non-idempotent request (kind "grant") that is dispatched without a claim and
/// therefore may run twice, on two daemons.
static void
claim_before_dispatch (void)
{
  TtBoard *board = test_board_new ("router-1", "alpha");
  TtRequestSpec spec = { .account = "small", .service = "chat", .kind = "grant" };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };
  TtAction action;

  test_board_load_configuration (board, 1, START_US);
  spec.request_id = tt_board_next_id (board);
  tt_board_step (board, &event, START_US);
  CU_ASSERT_PTR_NOT_NULL_FATAL (test_board_next_action (board, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.status, 400);
  spec.request_id = tt_board_next_id (board);
  spec.idempotency_key.low = 7;
  tt_board_step (board, &event, START_US);
  CU_ASSERT_EQUAL (tt_request_find (board, spec.request_id)->stage, TT_STAGE_CLAIMING);
  CU_ASSERT_PTR_NULL (test_board_next_action (board, TT_ACTION_DISPATCH, &action));
  tt_board_free (board);
}

static const UnitTest tests[] = {
  { "a non-idempotent request waits for its claim", claim_before_dispatch },
  { "a request is dispatched, relayed and ended", serve_request },
  { "daemons agree on a chat's home", agree_on_home },
  { "an unknown service is refused immediately", refuse_unknown_service },
};

UNIT_MAIN ("request_lifecycle", tests)
