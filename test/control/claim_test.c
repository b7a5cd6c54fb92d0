#include "support/drive.h"
#include "support/store.h"
#include "support/unit.h"
#include "support/world.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include <stdio.h>
#include <string.h>

#define START_US (100 * TT_SECOND_US)

/// What the store does with the next write of a claim shard.
typedef enum
{
  STORE_ANSWERS,
  STORE_LOSES_ANSWER, ///< the write takes effect, the answer is lost
  STORE_IS_DOWN
} StoreMode;

/// Executes the platform calls on claim shards; returns the attempt id of a dispatch, or 0.
static uint64_t
serve_calls (TtBoard *board, Store *store, StoreMode mode, int64_t now_us)
{
  uint64_t attempt_id = 0;
  TtAction *action;

  while ((action = tt_board_take (board)) != NULL)
    {
      if (action->type == TT_ACTION_DISPATCH)
        attempt_id = action->attempt.attempt_id;
      if (action->type == TT_ACTION_PLATFORM && strncmp (action->platform.key, "claims/", 7) == 0)
        {
          TtEvent event = { .type = TT_EVENT_PLATFORM };

          if (mode != STORE_IS_DOWN)
            event.platform = store_call (store, &action->platform, false);
          event.platform.call_id = action->platform.call_id;
          event.platform.op = action->platform.op;
          if (mode == STORE_IS_DOWN
              || (mode == STORE_LOSES_ANSWER && action->platform.op == TT_PLATFORM_PUT))
            {
              event.platform.code = TT_E_TIMEOUT;
              event.platform.object = NULL;
              mode = mode == STORE_LOSES_ANSWER ? STORE_ANSWERS : mode;
            }
          tt_board_step (board, &event, now_us);
        }
      tt_board_release (board, action);
    }
  return attempt_id;
}

/// Puts a request with an idempotency key straight into CLAIMING.
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
  request->pool = TT_CONTAINER_OF (tt_list_first (&board->backends.pools), TtPool, link);
  request->deadline_us = now_us + 10 * TT_SECOND_US;
  tt_request_set_stage (board, request, TT_STAGE_CLAIMING);
  return request;
}

/// Reports the end of an attempt with the answer "granted".
static void
complete_attempt (TtBoard *board, uint64_t attempt_id, int64_t now_us)
{
  TtEvent event
      = { .type = TT_EVENT_ATTEMPT_DONE,
          .attempt
          = { .attempt_id = attempt_id, .status = 200, .body = "granted", .body_size = 7 } };

  tt_board_step (board, &event, now_us);
}

/// Makes a ready board with two engines.
static TtBoard *
ready_board (const char *name)
{
  TtBoard *board = world_board (name, "alpha");

  world_start (board, 2, START_US);
  return board;
}

/// Guards against a second execution when the caller repeats the request at another daemon.
static void
repeat_elsewhere (void)
{
  TtBoard *first = ready_board ("router-1");
  TtBoard *second = ready_board ("router-2");
  Store *store = store_new ();
  TtAction reply;
  uint64_t attempt_id;

  (void) claim_request (first, 7, 1, START_US);
  drive_tick (first, START_US);
  attempt_id = serve_calls (first, store, STORE_ANSWERS, START_US);
  CU_ASSERT_NOT_EQUAL_FATAL (attempt_id, 0);
  (void) claim_request (second, 7, 1, START_US);
  drive_tick (second, START_US);
  CU_ASSERT_EQUAL (serve_calls (second, store, STORE_ANSWERS, START_US), 0);
  CU_ASSERT_EQUAL (second->counters[TT_COUNT_UNKNOWN], 1);
  complete_attempt (first, attempt_id, START_US);
  (void) serve_calls (first, store, STORE_ANSWERS, START_US);
  (void) claim_request (second, 7, 1, START_US + 3 * TT_SECOND_US);
  drive_tick (second, START_US + 3 * TT_SECOND_US);
  while (second->outbox.count > 0 && second->counters[TT_COUNT_RECORDED] == 0)
    {
      TtAction *action = tt_board_take (second);
      TtEvent event = { .type = TT_EVENT_PLATFORM };

      if (action->type == TT_ACTION_PLATFORM && strncmp (action->platform.key, "claims/", 7) == 0)
        {
          event.platform = store_call (store, &action->platform, false);
          tt_board_step (second, &event, START_US + 3 * TT_SECOND_US);
        }
      tt_board_release (second, action);
    }
  UNIT_REQUIRE (world_next (second, TT_ACTION_REPLY, &reply) != NULL);
  CU_ASSERT_EQUAL (reply.reply.outcome, TT_OUTCOME_RECORDED);
  CU_ASSERT_EQUAL (reply.reply.body_size, 7);
  tt_board_free (first);
  tt_board_free (second);
  store_free (store);
}

/// Guards against a claim that is given up, or taken twice, when its answer is lost.
static void
lose_answer (void)
{
  TtBoard *board = ready_board ("router-1");
  Store *store = store_new ();
  uint64_t attempt_id;

  (void) claim_request (board, 7, 1, START_US);
  drive_tick (board, START_US);
  CU_ASSERT_EQUAL (serve_calls (board, store, STORE_LOSES_ANSWER, START_US), 0);
  drive_tick (board, START_US + TT_SECOND_US);
  attempt_id = serve_calls (board, store, STORE_ANSWERS, START_US + TT_SECOND_US);
  CU_ASSERT_NOT_EQUAL (attempt_id, 0);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CLAIMS], 1);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_ATTEMPTS], 1);
  tt_board_free (board);
  store_free (store);
}

/// Guards against "not run" while the store cannot say whether an earlier attempt ran.
static void
outage_is_unknown (void)
{
  TtBoard *board = ready_board ("router-1");
  Store *store = store_new ();
  int64_t now_us = START_US;

  (void) claim_request (board, 7, 1, now_us);
  for (; now_us < START_US + 12 * TT_SECOND_US; now_us += TT_SECOND_US / 10)
    {
      drive_tick (board, now_us);
      CU_ASSERT_EQUAL (serve_calls (board, store, STORE_IS_DOWN, now_us), 0);
    }
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_UNKNOWN], 1);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_NOT_RUN], 0);
  tt_board_free (board);
  store_free (store);
}

/// Guards against a claim that blocks its key forever although its attempt never ran.
static void
release_unsent_claim (void)
{
  TtBoard *board = ready_board ("router-1");
  Store *store = store_new ();
  TtRequest *request = claim_request (board, 7, 1, START_US);
  TtClaimEntry *entry;
  char key[TT_KEY_MAX];

  request->deadline_us = START_US + TT_SECOND_US;
  drive_tick (board, START_US);
  CU_ASSERT_EQUAL (serve_calls (board, store, STORE_LOSES_ANSWER, START_US), 0);
  drive_tick (board, START_US + 2 * TT_SECOND_US);
  CU_ASSERT_EQUAL (serve_calls (board, store, STORE_ANSWERS, START_US + 2 * TT_SECOND_US), 0);
  drive_tick (board, START_US + 4 * TT_SECOND_US);
  (void) serve_calls (board, store, STORE_ANSWERS, START_US + 4 * TT_SECOND_US);
  (void) snprintf (key, sizeof key, "claims/%u", 7 % TT_CLAIM_SHARDS);
  UNIT_REQUIRE (store_find (store, key) != NULL);
  entry = &store_find (store, key)->object.claims.entries[0];
  CU_ASSERT_EQUAL (entry->state, TT_CLAIM_NOT_RUN);
  tt_board_free (board);
  store_free (store);
}

/// Guards against the answer of one request being given for another body under the same key.
static void
refuse_other_body (void)
{
  TtBoard *board = ready_board ("router-1");
  Store *store = store_new ();
  uint64_t attempt_id;

  (void) claim_request (board, 7, 1, START_US);
  drive_tick (board, START_US);
  attempt_id = serve_calls (board, store, STORE_ANSWERS, START_US);
  complete_attempt (board, attempt_id, START_US);
  (void) serve_calls (board, store, STORE_ANSWERS, START_US);
  (void) claim_request (board, 7, 2, START_US);
  drive_tick (board, START_US);
  (void) serve_calls (board, store, STORE_ANSWERS, START_US);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_INVALID], 1);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_ATTEMPTS], 1);
  tt_board_free (board);
  store_free (store);
}

/// Guards against a shard object that grows without limit: requests beyond the bound are refused.
static void
batch_claims (void)
{
  TtBoard *board = ready_board ("router-1");
  Store *store = store_new ();

  for (uint64_t i = 0; i < 20; i++)
    (void) claim_request (board, 7 + i * TT_CLAIM_SHARDS, 1, START_US);
  drive_tick (board, START_US);
  (void) serve_calls (board, store, STORE_ANSWERS, START_US);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CLAIMS], 20);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CLAIM_WRITES], 1);
  tt_board_free (board);
  store_free (store);
}

static const UnitTest tests[] = {
  { "a request repeated at another daemon runs once", repeat_elsewhere },
  { "a lost answer to the claim is resolved by reading back", lose_answer },
  { "during an outage the answer is unknown", outage_is_unknown },
  { "a claim that was never sent is released", release_unsent_claim },
  { "another body under the same key is refused", refuse_other_body },
  { "claims of one shard are written together", batch_claims },
};

UNIT_MAIN ("claim", tests)
