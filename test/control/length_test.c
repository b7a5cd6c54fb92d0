#include "support/drive.h"
#include "support/unit.h"
#include "support/world.h"
#include "tarragontrack/board/request.h"

#define T0 (100 * TT_SECOND_US)

/// Guards against long work that is taken for short: a prediction that does not learn, or that is
/// not corrected while the answer grows.
static void
learn_and_correct (void)
{
  TtBoard *board = world_board ("router-1", "alpha");
  TtRequest *request;

  world_start (board, 1, T0);
  for (uint64_t i = 0; i < 10; i++)
    {
      TtAttemptAction action;

      (void) drive_request (board, "large", "note", i + 1, T0);
      action = drive_dispatch (board);
      drive_attempt (board, TT_EVENT_ATTEMPT_DONE, action.attempt_id, 3000, T0 + 1);
    }
  request = tt_request_find (board, drive_request (board, "large", "note", 20, T0));
  CU_ASSERT (request->length.is_long);
  CU_ASSERT (request->length.predicted_tokens >= 3000);
  for (uint64_t i = 0; i < 10; i++)
    {
      TtAttemptAction action;

      (void) drive_request (board, "small", "note", 30 + i, T0);
      do
        action = drive_dispatch (board);
      while (tt_request_find (board, action.request_id) == request);
      drive_attempt (board, TT_EVENT_ATTEMPT_DONE, action.attempt_id, 20, T0 + 1);
    }
  request = tt_request_find (board, drive_request (board, "small", "note", 50, T0));
  CU_ASSERT_FALSE (request->length.is_long);
  drive_attempt (board, TT_EVENT_ATTEMPT_PROGRESS, drive_dispatch (board).attempt_id, 700, T0 + 2);
  CU_ASSERT (request->length.is_long);
  tt_board_free (board);
}

static const UnitTest tests[] = { { "lengths are learned and corrected", learn_and_correct } };

UNIT_MAIN ("length", tests)
