#include "support/drive.h"
#include "support/test_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/health.h"
#include "tarragontrack/control/progress.h"

#define START_US (100 * TT_SECOND_US)
#define FIRST_TOKEN_US (100 * TT_MILLISECOND_US)

enum
{
  ENGINES = 6
};

/// Runs one streaming request on @backend: first token after @factor times 100 ms, then 10 tokens.
static void
run_stream (TtBoard *board, TtBackendServer *backend, double factor, int64_t now_us)
{
  uint64_t id = drive_send_request (board, "small", "", (uint64_t) now_us + backend->id, now_us);
  TtRequest *request = tt_request_find (board, id);
  TtAttempt *attempt;
  int64_t first_token_us = now_us + (int64_t) (factor * (double) FIRST_TOKEN_US);

  // The test assigns the engine itself, so that each one gets the same work.
  TT_LIST_FOREACH (&request->attempts, it)
    tt_attempt_close (board, TT_CONTAINER_OF (it, TtAttempt, request_link));
  attempt = tt_attempt_new (board, request, backend, false, now_us);
  id = attempt->id;
  drive_attempt_event (board, TT_EVENT_ATTEMPT_PROGRESS, id, 1, first_token_us);
  drive_attempt_event (board, TT_EVENT_ATTEMPT_PROGRESS, id, 10,
                       first_token_us + (int64_t) (factor * 300000));
  drive_attempt_event (board, TT_EVENT_ATTEMPT_DONE, id, 0,
                       first_token_us + (int64_t) (factor * 300000));
}

/// Runs @rounds rounds with one streaming request per engine that is not ejected; the first
/// @slow_count engines are @factor times slower. Returns the end time.
static int64_t
run_rounds (TtBoard *board, uint32_t rounds, uint32_t slow_count, double factor, int64_t now_us)
{
  for (uint32_t round = 0; round < rounds; round++)
    {
      uint32_t index = 0;

      TT_LIST_FOREACH (&board->backends.all, it)
        {
          TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

          if (!backend->health.ejected)
            run_stream (board, backend, index < slow_count ? factor : 1.0, now_us);
          index++;
        }
      now_us += 500 * TT_MILLISECOND_US;
      drive_tick (board, now_us);
    }
  return now_us;
}

static TtBackendServer *
backend_at (TtBoard *board, uint32_t index)
{
  TtLink *link = tt_list_first (&board->backends.all);

  while (index-- > 0)
    link = link->next;
  return TT_CONTAINER_OF (link, TtBackendServer, link);
}

static TtBoard *
open_board (uint32_t engines)
{
  TtBoard *board = test_board_new ("router-1", "alpha");

  test_board_load_configuration (board, engines, START_US);
  return board;
}

/// Guards against a slow engine that keeps receiving requests, and against one that is never used
/// again after its ejection, or that immediately gets its full share of the requests again.
static void
eject_and_return (void)
{
  TtBoard *board = open_board (ENGINES);
  int64_t now_us = run_rounds (board, 12, 1, 10.0, START_US);
  TtBackendServer *slow = backend_at (board, 0);

  CU_ASSERT_TRUE (slow->health.ejected);
  CU_ASSERT_EQUAL (tt_backend_concurrency_limit (slow, now_us), 0);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_EJECTIONS], 1);
  for (uint32_t i = 1; i < ENGINES; i++)
    CU_ASSERT_DOUBLE_EQUAL (backend_at (board, i)->health.weight_factor, 1.0, 0.01);
  now_us = slow->health.ejected_until_us;
  drive_tick (board, now_us);
  CU_ASSERT_FALSE (slow->health.ejected);
  CU_ASSERT_EQUAL (tt_backend_concurrency_limit (slow, now_us), 1);
  CU_ASSERT (slow->health.weight_factor < 0.2);
  now_us = run_rounds (board, 24, 0, 1.0, now_us);
  CU_ASSERT_EQUAL (tt_backend_concurrency_limit (slow, now_us), slow->batch_limit);
  CU_ASSERT_DOUBLE_EQUAL (slow->health.weight_factor, 1.0, 0.01);
  tt_board_free (board);
}

/// Guards against treating a moderately slow engine as healthy or ejecting it.
static void
reduce_weight (void)
{
  TtBoard *board = open_board (ENGINES);

  (void) run_rounds (board, 12, 1, 2.0, START_US);
  CU_ASSERT_FALSE (backend_at (board, 0)->health.ejected);
  CU_ASSERT_DOUBLE_EQUAL (backend_at (board, 0)->health.weight_factor, 0.5, 0.1);
  tt_board_free (board);
}

/// Guards against ejecting more than a third of the engines, or the last one.
static void
bound_ejections (void)
{
  TtBoard *board = open_board (ENGINES);

  (void) run_rounds (board, 30, 3, 10.0, START_US);
  CU_ASSERT (board->health.ejected_count <= 2);
  tt_board_free (board);
  board = open_board (2);
  (void) run_rounds (board, 30, 1, 10.0, START_US);
  CU_ASSERT_EQUAL (board->health.ejected_count, 0);
  tt_board_free (board);
}

/// Guards against detecting a slow engine only when its responses end: overdue first tokens count.
static void
eject_on_overdue_first_tokens (void)
{
  TtBoard *board = open_board (ENGINES);
  TtPool *pool = drive_set_batch_limit (board, 32);
  TtBackendServer *slow = backend_at (board, 0);
  int64_t now_us = run_rounds (board, 6, 0, 1.0, START_US);

  board->retry.budget_tokens = 0.0; // prevents hedged attempts, which would end the wait
  for (uint64_t i = 0; i < 3; i++)
    {
      uint64_t id = drive_send_request (board, "small", "", 900 + i, now_us);
      TtRequest *request = tt_request_find (board, id);

      TT_LIST_FOREACH (&request->attempts, it)
        tt_attempt_close (board, TT_CONTAINER_OF (it, TtAttempt, request_link));
      (void) tt_attempt_new (board, request, slow, false, now_us);
    }
  CU_ASSERT_DOUBLE_EQUAL (pool->health.median_first_token_us, (double) FIRST_TOKEN_US, 1000.0);
  drive_ticks (board, now_us, now_us + 1000 * TT_MILLISECOND_US);
  CU_ASSERT_TRUE (slow->health.ejected);
  tt_board_free (board);
}

/// Guards against a stale latency estimate that persists on an idle engine.
static void
decay_when_idle (void)
{
  TtBoard *board = open_board (ENGINES);
  int64_t now_us = run_rounds (board, 12, 1, 2.0, START_US);

  drive_ticks (board, now_us, now_us + 60 * TT_SECOND_US);
  CU_ASSERT_DOUBLE_EQUAL (backend_at (board, 0)->health.weight_factor, 1.0, 0.01);
  tt_board_free (board);
}

/// Guards against counting a crash once for each attempt that fails with it.
static void
count_crash_once (void)
{
  TtBoard *board = open_board (3);
  TtBackendServer *backend = backend_at (board, 0);

  for (uint64_t i = 0; i < 40; i++)
    (void) drive_send_request (board, "small", "", i + 1, START_US);
  CU_ASSERT (backend->attempts.count > 2);
  TT_LIST_FOREACH (&backend->attempts, it)
    drive_attempt_failed (board, TT_CONTAINER_OF (it, TtAttempt, backend_link)->id, TT_E_CRASHED,
                          true, START_US);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CRASHES], 1);
  CU_ASSERT_TRUE (backend->health.ejected);
  drive_ticks (board, START_US, START_US + 2 * TT_SECOND_US);
  CU_ASSERT_FALSE (backend->health.ejected);
  tt_board_free (board);
}

static const UnitTest tests[] = {
  { "a straggler is ejected and returns with slow start", eject_and_return },
  { "a moderately slow engine gets less weight", reduce_weight },
  { "at most a third of the engines is ejected, never the last", bound_ejections },
  { "overdue first tokens eject a slow engine", eject_on_overdue_first_tokens },
  { "estimates of idle engines decay", decay_when_idle },
  { "a crash is counted once", count_crash_once },
};

UNIT_MAIN ("health", tests)
