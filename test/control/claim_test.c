#include "support/drive.h"
#include "support/store.h"
#include "support/test_board.h"
#include "support/unit.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include <stdio.h>
#include <string.h>

#define START_US (100 * TT_SECOND_US)

/// How the store handles the next write of a claim shard.
typedef enum
{
  STORE_RESPONDS,
  STORE_LOSES_RESPONSE, ///< the write takes effect, the response is lost
  STORE_UNAVAILABLE
} StoreMode;

/// Executes the platform calls on claim shards; returns the attempt id of a dispatch, or 0.
static uint64_t
serve_calls (TtBoard *board, Store *store, StoreMode mode, int64_t now_us)
{
  uint64_t attempt_id = 0;
  TtAction *action;

  while ((action = tt_board_pop_action (board)) != NULL)
    {
      if (action->type == TT_ACTION_DISPATCH)
        attempt_id = action->attempt.attempt_id;
      if (action->type == TT_ACTION_PLATFORM_CALL
          && strncmp (action->platform.key, "claims/", 7) == 0)
        {
          TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE };

          if (mode != STORE_UNAVAILABLE)
            event.platform = store_call (store, &action->platform, false);
          event.platform.call_id = action->platform.call_id;
          event.platform.op = action->platform.op;
          if (mode == STORE_UNAVAILABLE
              || (mode == STORE_LOSES_RESPONSE && action->platform.op == TT_PLATFORM_PUT))
            {
              event.platform.code = TT_E_TIMEOUT;
              event.platform.object = NULL;
              mode = mode == STORE_LOSES_RESPONSE ? STORE_RESPONDS : mode;
            }
          tt_board_step (board, &event, now_us);
        }
      tt_board_release_action (board, action);
    }
  return attempt_id;
}

/// Creates a request with an idempotency key directly in the stage CLAIMING.
static TtRequest *
claim_request (TtBoard *board, uint64_t key, uint64_t body_hash, int64_t now_us)
{
  TtRequestSpec spec = { .request_id = tt_board_next_id (board),
                         .idempotency_key = { .high = key, .low = key },
                         .body_hash = body_hash };
  TtRequest *request;

  (void) snprintf (spec.service, sizeof spec.service, "chat");
  request = tt_request_new (board, &spec, now_us);
  UNIT_REQUIRE (request != NULL);
  tt_request_set_pool (request,
                       TT_CONTAINER_OF (tt_list_first (&board->backends.pools), TtPool, link));
  request->start_deadline_us = now_us + 10 * TT_SECOND_US;
  tt_request_set_stage (board, request, TT_STAGE_CLAIMING);
  return request;
}

/// Reports that an attempt completed with the response body "granted".
static void
complete_attempt (TtBoard *board, uint64_t attempt_id, int64_t now_us)
{
  TtEvent event
      = { .type = TT_EVENT_ATTEMPT_DONE,
          .attempt
          = { .attempt_id = attempt_id, .status = 200, .body = "granted", .body_size = 7 } };

  tt_board_step (board, &event, now_us);
}

/// Creates a ready board with two engines.
static TtBoard *
ready_board (const char *name)
{
  TtBoard *board = test_board_new (name, "alpha");

  test_board_load_configuration (board, 2, START_US);
  return board;
}

/// Guards against a second execution when the caller retries the request at another daemon: it gets
/// "unknown" while the first attempt runs and the recorded response afterwards.
static void
retry_at_other_daemon_runs_once (void)
{
  TtBoard *first = ready_board ("router-1");
  TtBoard *second = ready_board ("router-2");
  Store *store = store_new ();
  TtAction reply;
  uint64_t attempt_id;

  (void) claim_request (first, 7, 1, START_US);
  drive_tick (first, START_US);
  attempt_id = serve_calls (first, store, STORE_RESPONDS, START_US);
  CU_ASSERT_NOT_EQUAL_FATAL (attempt_id, 0);
  (void) claim_request (second, 7, 1, START_US);
  drive_tick (second, START_US);
  CU_ASSERT_EQUAL (serve_calls (second, store, STORE_RESPONDS, START_US), 0);
  CU_ASSERT_EQUAL (second->counters[TT_COUNT_UNKNOWN], 1);
  complete_attempt (first, attempt_id, START_US);
  (void) serve_calls (first, store, STORE_RESPONDS, START_US);
  (void) claim_request (second, 7, 1, START_US + 3 * TT_SECOND_US);
  drive_tick (second, START_US + 3 * TT_SECOND_US);
  while (second->outbox.count > 0 && second->counters[TT_COUNT_RECORDED] == 0)
    {
      TtAction *action = tt_board_pop_action (second);
      TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE };

      if (action->type == TT_ACTION_PLATFORM_CALL
          && strncmp (action->platform.key, "claims/", 7) == 0)
        {
          event.platform = store_call (store, &action->platform, false);
          tt_board_step (second, &event, START_US + 3 * TT_SECOND_US);
        }
      tt_board_release_action (second, action);
    }
  UNIT_REQUIRE (test_board_next_action (second, TT_ACTION_REPLY, &reply) != NULL);
  CU_ASSERT_EQUAL (reply.reply.outcome, TT_OUTCOME_RECORDED);
  CU_ASSERT_EQUAL (reply.reply.body_size, 7);
  tt_board_free (first);
  tt_board_free (second);
  store_free (store);
}

/// Guards against a claim that is abandoned, or acquired twice, when the response to its write is
/// lost.
static void
lost_write_response_is_read_back (void)
{
  TtBoard *board = ready_board ("router-1");
  Store *store = store_new ();
  uint64_t attempt_id;

  (void) claim_request (board, 7, 1, START_US);
  drive_tick (board, START_US);
  CU_ASSERT_EQUAL (serve_calls (board, store, STORE_LOSES_RESPONSE, START_US), 0);
  drive_tick (board, START_US + TT_SECOND_US);
  attempt_id = serve_calls (board, store, STORE_RESPONDS, START_US + TT_SECOND_US);
  CU_ASSERT_NOT_EQUAL (attempt_id, 0);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CLAIMS], 1);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_ATTEMPTS], 1);
  tt_board_free (board);
  store_free (store);
}

/// Creates a ready board that has known the store's era for longer than claims wait in a new one.
static TtBoard *
ready_board_in_era (const char *name, const Store *store, int64_t now_us)
{
  TtBoard *board = ready_board (name);
  TtEvent event
      = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform = { .call_id = 1, .era = store->era } };

  tt_board_step (board, &event, now_us - 20 * TT_SECOND_US);
  return board;
}

/// Lets a board learn the store's era by the answer to another call.
static void
show_era (TtBoard *board, const Store *store, int64_t now_us)
{
  TtEvent event
      = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform = { .call_id = 1, .era = store->era } };

  tt_board_step (board, &event, now_us);
}

/// Steps a board every 100 ms and serves its calls. RETURN the attempt id of a dispatch, or 0.
static uint64_t
run_board (TtBoard *board, Store *store, int64_t from_us, int64_t until_us)
{
  uint64_t attempt_id = 0;

  for (int64_t now_us = from_us; now_us < until_us; now_us += 100 * TT_MILLISECOND_US)
    {
      uint64_t found;

      drive_tick (board, now_us);
      found = serve_calls (board, store, STORE_RESPONDS, now_us);
      attempt_id = found != 0 ? found : attempt_id;
    }
  return attempt_id;
}

/// Guards against a second execution of a request whose claim the store has lost by returning from
/// an older copy, while it runs or after it has ended. @ends: before the return
static void
run_beside_return_from_copy (bool ends)
{
  Store *store = store_new ();
  Store *copy = store_snapshot (store);
  TtBoard *first;
  TtBoard *second;
  int64_t now_us = START_US;
  uint64_t attempt_id;

  store->era = 1;
  store->reuse_versions = true;
  first = ready_board_in_era ("router-1", store, now_us);
  second = ready_board_in_era ("router-2", store, now_us);
  (void) claim_request (first, 7, 1, now_us);
  attempt_id = run_board (first, store, now_us, now_us + TT_SECOND_US);
  CU_ASSERT_NOT_EQUAL_FATAL (attempt_id, 0);
  now_us += TT_SECOND_US;
  if (ends)
    {
      complete_attempt (first, attempt_id, now_us);
      (void) run_board (first, store, now_us, now_us + TT_SECOND_US);
      now_us += TT_SECOND_US;
    }
  store_restore (store, copy);
  show_era (second, store, now_us);
  (void) claim_request (second, 7, 1, now_us);
  CU_ASSERT_EQUAL (run_board (second, store, now_us, now_us + TT_SECOND_US), 0);
  now_us += TT_SECOND_US;
  // The owner learns of the era a second later and writes its claim again.
  show_era (first, store, now_us);
  CU_ASSERT_EQUAL (run_board (first, store, now_us, now_us + 2 * TT_SECOND_US), 0);
  now_us += 2 * TT_SECOND_US;
  CU_ASSERT_EQUAL (run_board (second, store, now_us, now_us + 4 * TT_SECOND_US), 0);
  CU_ASSERT_EQUAL (second->counters[ends ? TT_COUNT_RECORDED : TT_COUNT_UNKNOWN], 1);
  CU_ASSERT_EQUAL (second->counters[TT_COUNT_ATTEMPTS], 0);
  tt_board_free (first);
  tt_board_free (second);
  store_free (copy);
  store_free (store);
}

static void
claim_is_lost_by_return_from_copy (void)
{
  run_beside_return_from_copy (false);
  run_beside_return_from_copy (true);
}

/// Guards against claims that are never made again after a new era, and against a storm of reads
/// while they wait.
static void
claims_go_on_in_new_era (void)
{
  Store *store = store_new ();
  TtBoard *board;
  uint64_t calls;

  store->era = 1;
  board = ready_board_in_era ("router-1", store, START_US);
  store->era = 2;
  show_era (board, store, START_US);
  calls = board->counters[TT_COUNT_PLATFORM_CALLS];
  (void) claim_request (board, 7, 1, START_US + 5 * TT_SECOND_US);
  CU_ASSERT_EQUAL (
      run_board (board, store, START_US + 5 * TT_SECOND_US, START_US + 12 * TT_SECOND_US), 0);
  CU_ASSERT (board->counters[TT_COUNT_PLATFORM_CALLS] - calls <= 70);
  CU_ASSERT_NOT_EQUAL (
      run_board (board, store, START_US + 12 * TT_SECOND_US, START_US + 13 * TT_SECOND_US), 0);
  tt_board_free (board);
  store_free (store);
}

/// Guards against a write that is confirmed by an answer of an earlier era: the claim is lost.
static void
late_confirmation_of_old_era (void)
{
  Store *store = store_new ();
  TtBoard *board;
  TtAction action;
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE };

  store->era = 1;
  board = ready_board_in_era ("router-1", store, START_US);
  (void) claim_request (board, 7, 1, START_US);
  drive_tick (board, START_US);
  do
    UNIT_REQUIRE (test_board_next_action (board, TT_ACTION_PLATFORM_CALL, &action) != NULL);
  while (strncmp (action.platform.key, "claims/", 7) != 0);
  event.platform = store_call (store, &action.platform, false);
  event.platform.call_id = action.platform.call_id;
  event.platform.op = action.platform.op;
  tt_board_step (board, &event, START_US);
  do
    UNIT_REQUIRE (test_board_next_action (board, TT_ACTION_PLATFORM_CALL, &action) != NULL);
  while (action.platform.op != TT_PLATFORM_PUT);
  store->era = 2;
  show_era (board, store, START_US);
  event.platform = (TtPlatformEvent){
    .call_id = action.platform.call_id, .op = TT_PLATFORM_PUT, .version = 1, .era = 1
  };
  tt_board_step (board, &event, START_US);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CLAIMS], 0);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_ATTEMPTS], 0);
  tt_board_free (board);
  store_free (store);
}

/// Guards against the response "not run" during a store outage, when an earlier attempt may have
/// run.
static void
store_outage_is_unknown (void)
{
  TtBoard *board = ready_board ("router-1");
  Store *store = store_new ();
  int64_t now_us = START_US;

  (void) claim_request (board, 7, 1, now_us);
  for (; now_us < START_US + 12 * TT_SECOND_US; now_us += TT_SECOND_US / 10)
    {
      drive_tick (board, now_us);
      CU_ASSERT_EQUAL (serve_calls (board, store, STORE_UNAVAILABLE, now_us), 0);
    }
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_UNKNOWN], 1);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_NOT_RUN], 0);
  tt_board_free (board);
  store_free (store);
}

/// Guards against a claim that blocks its key forever although its attempt never ran: the deadline
/// passes after the response to the claim's write was lost.
static void
unsent_claim_becomes_not_run (void)
{
  TtBoard *board = ready_board ("router-1");
  Store *store = store_new ();
  TtRequest *request = claim_request (board, 7, 1, START_US);
  TtClaimEntry *entry;
  char key[TT_KEY_MAX];

  request->start_deadline_us = START_US + TT_SECOND_US;
  drive_tick (board, START_US);
  CU_ASSERT_EQUAL (serve_calls (board, store, STORE_LOSES_RESPONSE, START_US), 0);
  drive_tick (board, START_US + 2 * TT_SECOND_US);
  CU_ASSERT_EQUAL (serve_calls (board, store, STORE_RESPONDS, START_US + 2 * TT_SECOND_US), 0);
  drive_tick (board, START_US + 4 * TT_SECOND_US);
  (void) serve_calls (board, store, STORE_RESPONDS, START_US + 4 * TT_SECOND_US);
  (void) snprintf (key, sizeof key, "claims/%u", 7 % TT_CLAIM_SHARDS);
  UNIT_REQUIRE (store_find (store, key) != NULL);
  entry = &store_find (store, key)->object.claims.entries[0];
  CU_ASSERT_EQUAL (entry->state, TT_CLAIM_NOT_RUN);
  tt_board_free (board);
  store_free (store);
}

/// Guards against returning the response of one request for another body under the same key.
static void
reused_key_with_other_body_is_refused (void)
{
  TtBoard *board = ready_board ("router-1");
  Store *store = store_new ();
  uint64_t attempt_id;

  (void) claim_request (board, 7, 1, START_US);
  drive_tick (board, START_US);
  attempt_id = serve_calls (board, store, STORE_RESPONDS, START_US);
  complete_attempt (board, attempt_id, START_US);
  (void) serve_calls (board, store, STORE_RESPONDS, START_US);
  (void) claim_request (board, 7, 2, START_US);
  drive_tick (board, START_US);
  (void) serve_calls (board, store, STORE_RESPONDS, START_US);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_INVALID], 1);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_ATTEMPTS], 1);
  tt_board_free (board);
  store_free (store);
}

/// Guards against a separate store write for each waiting claim of a shard: they share one write.
static void
claims_of_shard_share_one_write (void)
{
  TtBoard *board = ready_board ("router-1");
  Store *store = store_new ();

  for (uint64_t i = 0; i < 20; i++)
    (void) claim_request (board, 7 + i * TT_CLAIM_SHARDS, 1, START_US);
  drive_tick (board, START_US);
  (void) serve_calls (board, store, STORE_RESPONDS, START_US);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CLAIMS], 20);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CLAIM_WRITES], 1);
  tt_board_free (board);
  store_free (store);
}

static const UnitTest tests[] = {
  { "a request retried at another daemon runs once", retry_at_other_daemon_runs_once },
  { "a lost response to a claim write is resolved by reading back",
    lost_write_response_is_read_back },
  { "during a store outage the outcome is unknown", store_outage_is_unknown },
  { "a claim whose request was never sent becomes not run", unsent_claim_becomes_not_run },
  { "another body under the same key is refused", reused_key_with_other_body_is_refused },
  { "claims of one shard share one write", claims_of_shard_share_one_write },
  { "a claim that a return from a copy has lost", claim_is_lost_by_return_from_copy },
  { "claims go on in a new era", claims_go_on_in_new_era },
  { "a late confirmation of an earlier era", late_confirmation_of_old_era },
};

UNIT_MAIN ("claim", tests)
