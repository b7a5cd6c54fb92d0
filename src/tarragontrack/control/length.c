#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"
#include <stdlib.h>

#define RENEWAL_PERIOD_US TT_SECOND_US
#define SAMPLE_GAIN 0.1F // weight of one response; the average covers about the last ten

enum
{
  TABLE_SIZE = 8192,   // 192 KB; the target load uses about 3,000 pairs of account and kind
  WAYS = 4,            // entries per set; with one entry, two keys would evict each other in turn
  DEFAULT_TOKENS = 256 // prediction without any sample
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

/// Table key: hash of account, kind of work and service.
static uint64_t
entry_key (const TtRequest *request)
{
  uint64_t account = tt_hash_string (request->spec.account);

  return tt_hash_pair (tt_hash_pair (account, tt_hash_string (request->spec.kind)),
                       request->pool->id);
}

/// Finds the entry of a key; NULL if there is none.
static TtLengthEntry *
find_entry (const TtBoard *board, uint64_t key)
{
  TtLengthEntry *set = &board->length.entries[key % (board->length.entry_count / WAYS) * WAYS];

  for (int i = 0; i < WAYS; i++)
    if (set[i].key == key)
      return &set[i];
  return NULL;
}

/// Least recently updated entry of the key's set.
static TtLengthEntry *
oldest_entry (const TtBoard *board, uint64_t key)
{
  TtLengthEntry *set = &board->length.entries[key % (board->length.entry_count / WAYS) * WAYS];
  TtLengthEntry *oldest = set;

  for (int i = 1; i < WAYS; i++)
    if (set[i].updated_us < oldest->updated_us)
      oldest = &set[i];
  return oldest;
}

/// Sets the prediction, limited by the caller's max_tokens.
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
  const TtLengthEntry *entry = find_entry (board, entry_key (request));
  double tokens = DEFAULT_TOKENS;

  if (entry != NULL)
    tokens = (double) entry->mean_tokens + (double) entry->deviation_tokens;
  else if (request->pool->length.mean_tokens > 0.0)
    tokens = request->pool->length.mean_tokens;
  set_prediction (request, tokens);
}

/// Updates the averages with a response of @tokens.
static void
record_length (TtBoard *board, const TtRequest *request, float tokens, int64_t now_us)
{
  uint64_t key = entry_key (request);
  TtLengthEntry *entry = find_entry (board, key);
  double *pool_mean = &request->pool->length.mean_tokens;
  float distance;

  *pool_mean
      = *pool_mean <= 0.0 ? tokens : *pool_mean + (double) SAMPLE_GAIN * (tokens - *pool_mean);
  if (entry == NULL)
    {
      *oldest_entry (board, key)
          = (TtLengthEntry){ .key = key, .mean_tokens = tokens, .updated_us = now_us };
      return;
    }
  entry->updated_us = now_us;
  distance
      = tokens > entry->mean_tokens ? tokens - entry->mean_tokens : entry->mean_tokens - tokens;
  entry->deviation_tokens += SAMPLE_GAIN * (distance - entry->deviation_tokens);
  entry->mean_tokens += SAMPLE_GAIN * (tokens - entry->mean_tokens);
}

/// Renews the predictions of the queued requests, which may have arrived before the first response
/// to a request of their kind was complete.
static void
renew_predictions (TtBoard *board, int64_t now_us)
{
  if (now_us < board->length.next_renewal_us)
    return;
  board->length.next_renewal_us = now_us + RENEWAL_PERIOD_US;
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_QUEUED], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      if (request->pool->spec.type == TT_SERVICE_MODEL)
        predict (board, request);
    }
}

/// On progress: if a response has exceeded its predicted length, predicts twice its current length.
/// On a tick: renews the predictions of queued requests.
static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAttempt *attempt;
  uint32_t tokens;

  (void) context;
  if (event->type == TT_EVENT_TICK)
    renew_predictions (board, now_us);
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
  // The length of a truncated response is a lower bound: it counts only if it exceeds the
  // prediction.
  if (request->outcome == TT_OUTCOME_COMPLETE
      || request->relayed_tokens > request->length.predicted_tokens)
    record_length (board, request, (float) request->relayed_tokens, now_us);
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
