#include "support/drive.h"
#include "support/test_board.h"
#include "support/unit.h"
#include "tarragontrack/board/request.h"

#define START_US (100 * TT_SECOND_US)

/// Guards against long requests that are classified as short because the prediction does not adapt
/// to completed responses or to the length of a response in progress.
static void
predictions_adapt (void)
{
  TtBoard *board = test_board_new ("router-1", "alpha");
  TtRequest *request;

  test_board_load_configuration (board, 1, START_US);
  for (uint64_t i = 0; i < 10; i++)
    {
      TtAttemptAction action;

      (void) drive_send_request (board, "large", "note", i + 1, START_US);
      action = drive_next_dispatch (board);
      drive_attempt_event (board, TT_EVENT_ATTEMPT_DONE, action.attempt_id, 3000, START_US + 1);
    }
  request = tt_request_find (board, drive_send_request (board, "large", "note", 20, START_US));
  CU_ASSERT (request->length.is_long);
  CU_ASSERT (request->length.predicted_tokens >= 3000);
  for (uint64_t i = 0; i < 10; i++)
    {
      TtAttemptAction action;

      (void) drive_send_request (board, "small", "note", 30 + i, START_US);
      do
        action = drive_next_dispatch (board);
      while (tt_request_find (board, action.request_id) == request);
      drive_attempt_event (board, TT_EVENT_ATTEMPT_DONE, action.attempt_id, 20, START_US + 1);
    }
  request = tt_request_find (board, drive_send_request (board, "small", "note", 50, START_US));
  CU_ASSERT_FALSE (request->length.is_long);
  drive_attempt_event (board, TT_EVENT_ATTEMPT_PROGRESS, drive_next_dispatch (board).attempt_id,
                       700, START_US + 2);
  CU_ASSERT (request->length.is_long);
  tt_board_free (board);
}

static const UnitTest tests[] = { { "length predictions adapt to responses", predictions_adapt } };

UNIT_MAIN ("length", tests)
