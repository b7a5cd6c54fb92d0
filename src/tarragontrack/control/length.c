#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"
#include <stdlib.h>

#define CHECK_PERIOD_US TT_SECOND_US
#define GAIN 0.1F // of one answer; about the last ten answers count

enum
{
  TABLE_SIZE = 8192,   // 192 KB; accounts times kinds in use at the target are about 3,000
  WAYS = 4,            // entries of one set; two keys of a set must not replace each other in turn
  DEFAULT_TOKENS = 256 // without any sample
};

static int
open_length (void *context, TtBoard *board)
{
  (void) context;
  board->length.entries = calloc (TABLE_SIZE, sizeof *board->length.entries);
  board->length.entry_count = TABLE_SIZE;
  return board->length.entries != NULL ? TT_OK : TT_E_NO_MEMORY;
}

static void
close_length (void *context, TtBoard *board)
{
  (void) context;
  free (board->length.entries);
}

/// Key of account, kind of work and service.
static uint64_t
key_of (const TtRequest *request)
{
  uint64_t account = tt_hash_string (request->spec.account);

  return tt_hash_pair (tt_hash_pair (account, tt_hash_string (request->spec.kind)),
                       request->pool->id);
}

/// The entry of a key; NULL if there is none.
static TtLengthEntry *
find_entry (const TtBoard *board, uint64_t key)
{
  TtLengthEntry *set = &board->length.entries[key % (board->length.entry_count / WAYS) * WAYS];

  for (int i = 0; i < WAYS; i++)
    if (set[i].key == key)
      return &set[i];
  return NULL;
}

/// The entry of the key's set that learned longest ago.
static TtLengthEntry *
oldest_entry (const TtBoard *board, uint64_t key)
{
  TtLengthEntry *set = &board->length.entries[key % (board->length.entry_count / WAYS) * WAYS];
  TtLengthEntry *oldest = set;

  for (int i = 1; i < WAYS; i++)
    if (set[i].learned_us < oldest->learned_us)
      oldest = &set[i];
  return oldest;
}

/// Sets the prediction, capped by the caller's limit.
static void
set_prediction (TtRequest *request, double tokens)
{
  const TtServiceSpec *service = &request->pool->spec;

  if (request->spec.max_tokens > 0 && tokens > request->spec.max_tokens)
    tokens = request->spec.max_tokens;
  request->length.predicted_tokens = tokens < 1.0 ? 1 : (uint32_t) tokens;
  request->length.is_long
      = service->long_tokens > 0 && request->length.predicted_tokens >= service->long_tokens;
}

static void
predict (const TtBoard *board, TtRequest *request)
{
  const TtLengthEntry *entry = find_entry (board, key_of (request));
  double tokens = DEFAULT_TOKENS;

  if (entry != NULL)
    tokens = (double) entry->mean_tokens + (double) entry->deviation_tokens;
  else if (request->pool->length.mean_tokens > 0.0)
    tokens = request->pool->length.mean_tokens;
  set_prediction (request, tokens);
}

/// Learns from an answer of @tokens.
static void
learn (TtBoard *board, const TtRequest *request, float tokens, int64_t now_us)
{
  uint64_t key = key_of (request);
  TtLengthEntry *entry = find_entry (board, key);
  double *pool_mean = &request->pool->length.mean_tokens;
  float distance;

  *pool_mean = *pool_mean <= 0.0 ? tokens : *pool_mean + (double) GAIN * (tokens - *pool_mean);
  if (entry == NULL)
    {
      *oldest_entry (board, key)
          = (TtLengthEntry){ .key = key, .mean_tokens = tokens, .learned_us = now_us };
      return;
    }
  entry->learned_us = now_us;
  distance
      = tokens > entry->mean_tokens ? tokens - entry->mean_tokens : entry->mean_tokens - tokens;
  entry->deviation_tokens += GAIN * (distance - entry->deviation_tokens);
  entry->mean_tokens += GAIN * (tokens - entry->mean_tokens);
}

/// Predicts again for the waiting requests, which may have come before the first answer of their
/// kind ended.
static void
repredict (TtBoard *board, int64_t now_us)
{
  if (now_us < board->length.next_check_us)
    return;
  board->length.next_check_us = now_us + CHECK_PERIOD_US;
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_QUEUED], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      if (request->pool->spec.type == TT_SERVICE_MODEL)
        predict (board, request);
    }
}

/// Corrects a prediction that the answer has passed.
static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAttempt *attempt;
  uint32_t tokens;

  (void) context;
  if (event->type == TT_EVENT_TICK)
    repredict (board, now_us);
  if (event->type != TT_EVENT_ATTEMPT_PROGRESS)
    return;
  attempt = tt_attempt_find (board, event->attempt.attempt_id);
  if (attempt == NULL || attempt->request->pool == NULL)
    return;
  tokens = attempt->request->relayed_tokens + event->attempt.tokens;
  if (tokens > attempt->request->length.predicted_tokens)
    set_prediction (attempt->request, 2.0 * tokens);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  (void) now_us;
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_ARRIVED], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      if (request->pool != NULL && request->pool->spec.type == TT_SERVICE_MODEL)
        predict (board, request);
    }
}

static void
on_finished (void *context, TtBoard *board, TtRequest *request, int64_t now_us)
{
  (void) context;
  if (request->pool == NULL || request->pool->spec.type != TT_SERVICE_MODEL
      || request->relayed_tokens == 0)
    return;
  // A cut answer is a lower bound: it teaches only when it was longer than predicted.
  if (request->outcome == TT_OUTCOME_COMPLETE
      || request->relayed_tokens > request->length.predicted_tokens)
    learn (board, request, (float) request->relayed_tokens, now_us);
}

TtController
tt_length_controller (void)
{
  return (TtController){ .name = "length",
                         .open = open_length,
                         .close = close_length,
                         .on_event = on_event,
                         .run = run,
                         .on_finished = on_finished };
}
