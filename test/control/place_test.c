#include "support/test_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/moved_chats.h"
#include <stdio.h>
#include <string.h>

#define START_US (100 * TT_SECOND_US)
#define ENGINES 8
#define CHATS 200

/// Attributes that a test sets on arriving requests, in place of the controllers `length` and
/// `poison`.
typedef struct
{
  bool is_long;
  bool suspect;
} RequestMarks;

static void
mark_request (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  const RequestMarks *marks = context;

  (void) now_us;
  if (event->type != TT_EVENT_REQUEST)
    return;
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_ARRIVED], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      // `length` predicts the pool's mean while it has no sample for the account and kind.
      if (request->pool != NULL)
        request->pool->length.mean_tokens = marks->is_long ? 5000.0 : 10.0;
      request->poison.suspect = marks->suspect;
    }
}

static TtBoard *
open_board (RequestMarks *marks)
{
  TtBoard *board = test_board_new ("router-1", "alpha");
  TtController marker = { .name = "marks", .context = marks, .on_event = mark_request };

  if (marks != NULL)
    CU_ASSERT_EQUAL (tt_board_add_controller (board, &marker), 0);
  test_board_load_configuration (board, ENGINES, START_US);
  return board;
}

static void
tick (TtBoard *board, int64_t now_us)
{
  TtEvent event = { .type = TT_EVENT_TICK };

  tt_board_step (board, &event, now_us);
}

static TtBackendServer *
engine (TtBoard *board, uint32_t index)
{
  char name[TT_NAME_MAX];

  (void) snprintf (name, sizeof name, "chat-%u", index);
  return tt_backend_find (board, tt_hash_string (name));
}

/// Ejects an engine for longer than the test lasts.
static void
eject (TtBoard *board, uint32_t index, int64_t now_us)
{
  engine (board, index)->health.ejected = true;
  engine (board, index)->health.ejected_until_us = now_us + 3600 * TT_SECOND_US;
}

/// Sends a request. RETURN the request, or NULL if it has already been finished.
static TtRequest *
send (TtBoard *board, uint64_t chat, uint64_t prefix, uint64_t hint, int64_t now_us)
{
  TtRequestSpec spec = { .request_id = tt_board_next_id (board),
                         .chat_key = chat,
                         .prefix_key = prefix,
                         .route_hint = hint,
                         .prompt_tokens = 1000 };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };

  (void) snprintf (spec.account, sizeof spec.account, "small");
  (void) snprintf (spec.service, sizeof spec.service, "chat");
  tt_board_step (board, &event, now_us);
  return tt_request_find (board, spec.request_id);
}

/// Backend server of the request's only attempt; NULL if it has none.
static TtBackendServer *
backend_of (const TtRequest *request)
{
  TtLink *link = tt_list_first (&request->attempts);

  return link != NULL ? TT_CONTAINER_OF (link, TtAttempt, request_link)->backend : NULL;
}

/// Sends and completes a request. RETURN the id of the backend server that ran it.
static uint64_t
serve (TtBoard *board, uint64_t chat, uint64_t prefix, int64_t now_us)
{
  TtRequest *request = send (board, chat, prefix, 0, now_us);
  TtEvent done = { .type = TT_EVENT_ATTEMPT_DONE };
  TtBackendServer *backend = backend_of (request);

  CU_ASSERT_PTR_NOT_NULL_FATAL (backend);
  if (backend == NULL)
    return 0;
  done.attempt.attempt_id
      = TT_CONTAINER_OF (tt_list_first (&request->attempts), TtAttempt, request_link)->id;
  done.attempt.status = 200;
  tt_board_step (board, &done, now_us);
  return backend->id;
}

/// Guards against moving chats of other engines when an engine leaves, and against placing requests
/// on a leaving engine.
static void
leaving_moves_only_own_chats (void)
{
  TtBoard *board = open_board (NULL);
  uint64_t homes[CHATS];
  uint64_t leaving_id = engine (board, 3)->id;

  for (uint64_t chat = 0; chat < CHATS; chat++)
    homes[chat] = serve (board, chat + 1, 0, START_US);
  engine (board, 3)->roster.state = TT_BACKEND_LEAVING;
  for (uint64_t chat = 0; chat < CHATS; chat++)
    {
      uint64_t new_id = serve (board, chat + 1, 0, START_US + TT_MILLISECOND_US);

      CU_ASSERT (new_id != leaving_id);
      CU_ASSERT (homes[chat] == leaving_id || homes[chat] == new_id);
    }
  tt_board_free (board);
}

/// Guards against an ejected engine that still gets requests, and a slow one that gets as many as
/// the others.
static void
respect_health (void)
{
  TtBoard *board = open_board (NULL);
  uint32_t counts[2] = { 0, 0 };

  eject (board, 0, START_US);
  // Prevents `health` from comparing latencies during this test.
  engine (board, 1)->pool->health.next_check_us = START_US + 3600 * TT_SECOND_US;
  engine (board, 1)->health.weight_factor = 0.25;
  tick (board, START_US + TT_SECOND_US);
  for (uint64_t chat = 1; chat <= 1000; chat++)
    {
      uint64_t id = serve (board, chat, 0, START_US + TT_SECOND_US);

      CU_ASSERT (id != engine (board, 0)->id);
      counts[0] += id == engine (board, 1)->id;
      counts[1] += id == engine (board, 2)->id;
    }
  CU_ASSERT (counts[0] > 0);
  CU_ASSERT (counts[0] * 2 < counts[1]);
  tt_board_free (board);
}

/// Guards against chats with the same prompt prefix that are spread over all engines.
static void
keep_prefix_together (void)
{
  TtBoard *board = open_board (NULL);
  uint64_t seen[ENGINES];
  uint32_t count = 0;

  for (uint64_t chat = 1; chat <= CHATS; chat++)
    {
      uint64_t id = serve (board, chat, 99, START_US);
      uint32_t i = 0;

      while (i < count && seen[i] != id)
        i++;
      if (i == count)
        seen[count++] = id;
    }
  CU_ASSERT_EQUAL (count, 4);
  tt_board_free (board);
}

/// Guards against a caller's route hint that is ignored, or that places a request on a leaving
/// engine.
static void
follow_hint (void)
{
  TtBoard *board = open_board (NULL);
  uint64_t home = serve (board, 5, 0, START_US);
  TtBackendServer *other = engine (board, home == engine (board, 0)->id ? 1 : 0);
  TtRequest *request = send (board, 5, 0, other->id, START_US);

  CU_ASSERT_PTR_EQUAL (backend_of (request), other);
  CU_ASSERT_EQUAL (request->place.reason, TT_PLACE_HINT);
  CU_ASSERT_EQUAL (request->place.home_id, home);
  other->roster.state = TT_BACKEND_LEAVING;
  request = send (board, 5, 0, other->id, START_US + 1);
  CU_ASSERT_EQUAL (backend_of (request)->id, home);
  tt_board_free (board);
}

/// Guards against a moved chat that returns to its home, which does not have its KV cache, and
/// against a table entry that remains after the cache was evicted.
static void
place_moved_chat (void)
{
  TtBoard *board = open_board (NULL);
  uint64_t home = serve (board, 5, 0, START_US);
  TtBackendServer *other = engine (board, home == engine (board, 0)->id ? 1 : 0);
  TtEvent event = { .type = TT_EVENT_CACHE_UPDATE };
  TtRequest *request;

  tt_moved_chats_set (board, 5, other->id, START_US);
  request = send (board, 5, 0, 0, START_US);
  CU_ASSERT_PTR_EQUAL (backend_of (request), other);
  CU_ASSERT_EQUAL (request->place.reason, TT_PLACE_MOVED);
  event.cache = (TtCacheEvent){ .backend_id = other->id, .chat_key = 5 };
  tt_board_step (board, &event, START_US);
  request = send (board, 5, 0, 0, START_US);
  CU_ASSERT_EQUAL (backend_of (request)->id, home);
  CU_ASSERT_EQUAL (request->place.reason, TT_PLACE_HOME);
  tt_board_free (board);
}

/// Guards against a KV cache transfer that costs more than a prefill, and against one that is
/// omitted although it is cheaper.
static void
transfer_cache_if_cheaper (void)
{
  TtBoard *board = open_board (NULL);
  uint64_t home = serve (board, 5, 0, START_US);
  TtBackendServer *other = engine (board, home == engine (board, 0)->id ? 1 : 0);
  TtAction action;

  while (test_board_next_action (board, TT_ACTION_KV_TRANSFER, &action) != NULL)
    CU_FAIL ("a transfer without a known source");
  other->health.ejected = true;
  (void) send (board, 5, 0, other->id, START_US);
  CU_ASSERT_PTR_NOT_NULL_FATAL (test_board_next_action (board, TT_ACTION_KV_TRANSFER, &action));
  CU_ASSERT_EQUAL (action.kv.from_backend_id, other->id);
  CU_ASSERT_EQUAL (action.kv.to_backend_id, home);
  tt_board_free (board);
}

/// Guards against long requests that occupy all slots of an engine.
static void
limit_long_requests (void)
{
  RequestMarks marks = { .is_long = true };
  TtBoard *board = open_board (&marks);

  for (uint64_t chat = 1; chat <= 300; chat++)
    (void) send (board, chat, 0, 0, START_US);
  for (uint32_t i = 0; i < ENGINES; i++)
    CU_ASSERT (engine (board, i)->attempts.count <= 16);
  CU_ASSERT_EQUAL (board->requests.stages[TT_STAGE_RUNNING].count, ENGINES * 16);
  marks.is_long = false;
  CU_ASSERT_PTR_NOT_NULL (backend_of (send (board, 1000, 0, 0, START_US)));
  tt_board_free (board);
}

/// Guards against two suspect requests on one engine: after a crash, it would be unknown which of
/// them caused it.
static void
isolate_suspects (void)
{
  RequestMarks marks = { .suspect = true };
  TtBoard *board = open_board (&marks);

  for (uint64_t i = 0; i < ENGINES + 2; i++)
    (void) send (board, 5, 0, 0, START_US);
  for (uint32_t i = 0; i < ENGINES; i++)
    CU_ASSERT_EQUAL (engine (board, i)->attempts.count, 1);
  CU_ASSERT_EQUAL (board->requests.stages[TT_STAGE_READY].count, 2);
  tt_board_free (board);
}

/// Guards against a request without a free slot that waits forever or is finished before its
/// deadline.
static void
wait_until_deadline (void)
{
  TtBoard *board = open_board (NULL);
  TtRequest *request;
  TtAction action;
  int64_t deadline_us;

  for (uint32_t i = 0; i < ENGINES; i++)
    eject (board, i, START_US);
  tick (board, START_US + TT_SECOND_US);
  request = send (board, 1, 0, 0, START_US + TT_SECOND_US);
  CU_ASSERT_EQUAL (request->stage, TT_STAGE_QUEUED); // `admit` releases it when a slot becomes free
  deadline_us = request->start_deadline_us;
  tick (board, deadline_us - 1);
  CU_ASSERT_PTR_NULL (test_board_next_action (board, TT_ACTION_REPLY, &action));
  tick (board, deadline_us + TT_TICK_INTERVAL_US);
  CU_ASSERT_PTR_NOT_NULL_FATAL (test_board_next_action (board, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_NOT_RUN);
  tt_board_free (board);
}

/// Guards against a daemon that refuses requests because its own failure domain has no engines,
/// although another one has.
static void
spill_to_other_domain (void)
{
  TtBoard *board = test_board_new ("router-1", "beta");
  TtRequest *request;

  test_board_load_configuration (board, ENGINES, START_US);
  for (uint32_t i = 0; i < ENGINES; i++)
    engine (board, i)->domain_id = tt_hash_string ("alpha");
  tick (board, START_US + TT_SECOND_US);
  for (uint32_t i = 0; i < ENGINES; i++)
    engine (board, i)->share.owner_id = 0;
  tick (board, START_US + 2 * TT_SECOND_US);
  request = send (board, 1, 0, 0, START_US + 2 * TT_SECOND_US);
  CU_ASSERT_PTR_NOT_NULL_FATAL (backend_of (request));
  CU_ASSERT_EQUAL (request->place.reason, TT_PLACE_SPILL);
  tt_board_free (board);
}

/// Guards against placing plain requests with the same key on one backend server.
static void
spread_plain_requests (void)
{
  TtBoard *board = open_board (NULL);

  tt_pool_find (board, tt_hash_string ("chat"))->spec.type = TT_SERVICE_PLAIN;
  for (uint64_t i = 0; i < (uint64_t) 2 * ENGINES; i++)
    CU_ASSERT_EQUAL (send (board, 5, 0, 0, START_US)->place.reason, TT_PLACE_LEAST_LOAD);
  for (uint32_t i = 0; i < ENGINES; i++)
    CU_ASSERT_EQUAL (engine (board, i)->attempts.count, 2);
  tt_board_free (board);
}

static const UnitTest tests[] = {
  { "a leaving engine moves only its own chats", leaving_moves_only_own_chats },
  { "ejected engines get no requests, slow engines get fewer", respect_health },
  { "chats of one prefix share a group", keep_prefix_together },
  { "the caller's hint is followed unless its engine is leaving", follow_hint },
  { "a moved chat is placed where it was last served", place_moved_chat },
  { "the KV cache is transferred if that is cheaper", transfer_cache_if_cheaper },
  { "long requests leave slots for short ones", limit_long_requests },
  { "suspect requests do not share an engine", isolate_suspects },
  { "a request without a slot ends at its deadline", wait_until_deadline },
  { "plain requests go to the least loaded backend server", spread_plain_requests },
  { "requests spill to another failure domain if the daemon's own has no engines",
    spill_to_other_domain },
};

UNIT_MAIN ("place", tests)
