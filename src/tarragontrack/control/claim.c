#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/claim_era.h"
#include "tarragontrack/control/claim_query.h"
#include "tarragontrack/control/claim_shard.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/evidence.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BACKOFF_MIN_US (50 * TT_MILLISECOND_US)
#define BACKOFF_MAX_US (2 * TT_SECOND_US)
/// Interval of reads while a key without an entry may have a claim that the store has lost.
#define ABSENCE_RETRY_US (200 * TT_MILLISECOND_US)
#define SHARD_IDLE_US (2 * TT_SECOND_US) ///< entries of a shard idle this long are freed
#define RETRY_AFTER_MS 1000

/// Allocates the shards and queries.
static int
open_claims (void *context, TtBoard *board)
{
  TtClaimSection *section = &board->claim;

  (void) context;
  tt_list_init (&section->active);
  tt_list_init (&section->free_queries);
  tt_list_init (&section->records);
  section->shards = calloc (TT_CLAIM_SHARDS, sizeof *section->shards);
  section->queries = calloc (TT_CLAIM_MAX_QUERIES, sizeof *section->queries);
  if (section->shards == NULL || section->queries == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 0; i < TT_CLAIM_SHARDS; i++)
    {
      section->shards[i].index = i;
      tt_list_init (&section->shards[i].waiting);
      tt_list_init (&section->shards[i].writing);
      tt_list_init (&section->shards[i].queries);
    }
  for (uint32_t i = 0; i < TT_CLAIM_MAX_QUERIES; i++)
    tt_list_append (&section->free_queries, &section->queries[i].link);
  return TT_OK;
}

static void
close_claims (void *context, TtBoard *board)
{
  (void) context;
  for (uint32_t i = 0; board->claim.shards != NULL && i < TT_CLAIM_SHARDS; i++)
    tt_claim_shard_clear (&board->claim.shards[i]);
  for (uint32_t i = 0; i < board->requests.request_capacity; i++)
    if (board->requests.pool[i].stage != TT_STAGE_FREE)
      free (board->requests.pool[i].claim.outcome);
  free (board->claim.shards);
  free (board->claim.queries);
  tt_claim_era_close (board);
}

/// Finishes a request with an error that names its shard's object as the peer.
static TtReplyAction *
finish_request (TtBoard *board, TtRequest *request, TtOutcome outcome, uint32_t status, int code,
                const char *detail)
{
  TtError error = { 0 };
  char peer[TT_ERROR_PEER_MAX];

  (void) snprintf (peer, sizeof peer, "claims/%u",
                   (unsigned) (request->spec.idempotency_key.low % TT_CLAIM_SHARDS));
  (void) tt_error_set (&error, code, TT_STEP_CLAIM, peer, "%s", detail);
  return tt_request_finish (board, request, outcome, status, status >= 500 ? RETRY_AFTER_MS : 0,
                            &error);
}

/// Finishes a request whose key was claimed or settled by another attempt.
static void
respond_from_entry (TtBoard *board, TtRequest *request, const TtClaimEntry *entry)
{
  request->claim.step = TT_CLAIM_STEP_SETTLED;
  if (entry->body_hash != request->spec.body_hash)
    (void) finish_request (board, request, TT_OUTCOME_INVALID, 422, TT_E_CONFLICT,
                           "this idempotency key was used with another body");
  else if (entry->state == TT_CLAIM_DONE)
    {
      TtReplyAction *reply
          = finish_request (board, request, TT_OUTCOME_RECORDED, entry->status, TT_OK,
                            entry->outcome_truncated ? "recorded answer was cut" : "");

      if (reply != NULL)
        {
          reply->body = entry->outcome;
          reply->body_size = entry->outcome_size;
        }
    }
  else
    (void) finish_request (board, request, TT_OUTCOME_UNKNOWN, 409, TT_E_CONFLICT,
                           "another attempt under this key runs or ended without a record; ask "
                           "/v1/outcomes later");
}

static void queue_final_state (TtBoard *board, TtRequest *request, int64_t now_us);

/// Marks a request as the owner of its claim. If the request finished before the write was
/// confirmed, the claim's final state is written.
static void
mark_claim_owned (TtBoard *board, TtRequest *request, int64_t now_us)
{
  request->claim.step = TT_CLAIM_STEP_OWNED;
  tt_board_counter_add (board, TT_COUNT_CLAIMS, 1);
  if (request->outcome != TT_OUTCOME_NONE)
    queue_final_state (board, request, now_us);
  else
    tt_request_set_stage (board, request, TT_STAGE_READY);
}

/// Processes one waiting claim of a shard whose entries are loaded.
///
/// RETURN     true if the shard must be written
static bool
process_claim (TtBoard *board, TtClaimShard *shard, TtRequest *request, int64_t now_us)
{
  TtClaimEntry *entry = tt_claim_shard_find (shard, request->spec.idempotency_key);
  int code;

  if (entry != NULL && entry->state == TT_CLAIM_CLAIMED
      && tt_id128_equal (entry->attempt, request->claim.attempt))
    {
      // The response to the write was lost, but the write took effect.
      tt_list_remove (&shard->waiting, &request->claim.link);
      mark_claim_owned (board, request, now_us);
      return false;
    }
  if (entry != NULL && entry->state == TT_CLAIM_CLAIMED && shard->read_us < request->arrived_us)
    {
      // The other attempt may have been settled since the last read, so the shard is read again.
      shard->loaded = false;
      return false;
    }
  if (entry != NULL && entry->state != TT_CLAIM_NOT_RUN)
    {
      tt_list_remove (&shard->waiting, &request->claim.link);
      respond_from_entry (board, request, entry);
      return false;
    }
  if (!tt_claim_era_proves_absence (board, now_us))
    {
      // The claim of another daemon may be written again meanwhile.
      shard->loaded = false;
      shard->next_try_us = now_us + ABSENCE_RETRY_US;
      return false;
    }
  code = tt_claim_shard_claim (shard, request, board->wall_clock_s);
  tt_list_remove (&shard->waiting, &request->claim.link);
  if (code < 0)
    {
      request->claim.step = TT_CLAIM_STEP_SETTLED;
      tt_board_log (board, TT_LOG_CLAIM_SHARD_FULL, "shard=%u entries=%u", shard->index,
                    shard->count);
      (void) finish_request (board, request, TT_OUTCOME_NOT_RUN, 507, code,
                             "the claim shard is full");
      return false;
    }
  request->claim.step = TT_CLAIM_STEP_WRITING;
  tt_list_append (&shard->writing, &request->claim.link);
  return true;
}

/// Processes the waiting claims and final states of a shard whose entries are loaded.
///
/// RETURN     true if the shard must be written
static bool
process_waiting (TtBoard *board, TtClaimShard *shard, int64_t now_us)
{
  bool needs_write = false;

  TT_LIST_FOREACH (&shard->waiting, it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, claim.link);

      if (request->claim.step == TT_CLAIM_STEP_WAITING)
        needs_write = process_claim (board, shard, request, now_us) || needs_write;
      else if (tt_claim_shard_settle (shard, request, board->wall_clock_s) == TT_OK)
        {
          tt_list_remove (&shard->waiting, &request->claim.link);
          tt_list_append (&shard->writing, &request->claim.link);
          needs_write = true;
        }
    }
  return needs_write;
}

/// Starts the next platform call of the shard: a write of processed claims, or a read.
static void
start_shard_call (TtBoard *board, TtClaimShard *shard, int64_t now_us)
{
  char key[TT_KEY_MAX];

  (void) snprintf (key, sizeof key, "claims/%u", shard->index);
  if (shard->object == NULL)
    shard->object = calloc (1, sizeof *shard->object);
  if (shard->loaded && shard->object != NULL)
    {
      bool needs_write;

      tt_claim_shard_prune (shard, board->wall_clock_s);
      needs_write = tt_claim_era_add_rewrites (board, shard);
      needs_write = process_waiting (board, shard, now_us) || needs_write;
      if (needs_write)
        {
          shard->object->type = TT_OBJECT_CLAIMS;
          shard->object->claims
              = (TtClaimsObject){ .entries = shard->entries, .count = shard->count };
          shard->call
              = tt_board_call_platform (board, TT_PLATFORM_PUT, key, shard->version, shard->object);
          tt_board_counter_add (board, TT_COUNT_CLAIM_WRITES, 1);
          return;
        }
      if (now_us < shard->next_try_us)
        return;
    }
  tt_claim_query_respond (board, shard, now_us);
  if (shard->waiting.count > 0 || shard->queries.count > 0
      || tt_claim_era_has_rewrites (board, shard))
    shard->call = tt_board_call_platform (board, TT_PLATFORM_GET, key, 0, NULL);
}

/// Ends a claim that still waits at the start deadline, or after its request has finished. The
/// error and the claim's final state depend on whether an earlier write of the claim may have taken
/// effect.
static void
expire_claim (TtBoard *board, TtClaimShard *shard, TtRequest *request, int64_t now_us)
{
  TtClaimRequest *claim = &request->claim;

  tt_list_remove (&shard->waiting, &claim->link);
  if (!claim->write_uncertain)
    {
      claim->step = TT_CLAIM_STEP_SETTLED;
      (void) finish_request (board, request, TT_OUTCOME_UNKNOWN, 503, TT_E_UNAVAILABLE,
                             "the claim could not be checked; this attempt did not run, an earlier "
                             "one may have");
      return;
    }
  // An earlier write may have taken effect. This attempt never runs, so the entry is set to "not
  // run".
  claim->step = TT_CLAIM_STEP_SETTLING;
  claim->final_state = TT_CLAIM_NOT_RUN;
  tt_board_log (board, TT_LOG_CLAIM_UNCERTAIN, "request=%llu shard=%u",
                (unsigned long long) request->spec.request_id, shard->index);
  (void) finish_request (board, request, TT_OUTCOME_UNKNOWN, 503, TT_E_TIMEOUT,
                         "the claim's write has no answer; this attempt did not run, an earlier "
                         "one may have");
  tt_list_append (&shard->waiting, &claim->link);
  shard->last_used_us = now_us;
}

static void
expire_claims (TtBoard *board, TtClaimShard *shard, int64_t now_us)
{
  TT_LIST_FOREACH (&shard->waiting, it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, claim.link);

      if (request->claim.step == TT_CLAIM_STEP_WAITING
          && (now_us >= request->start_deadline_us || request->outcome != TT_OUTCOME_NONE))
        expire_claim (board, shard, request, now_us);
    }
}

/// Queues a claim for each request that `admit` moved to the stage CLAIMING.
static void
enqueue_claims (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_CLAIMING], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      if (request->claim.step != TT_CLAIM_STEP_NONE)
        continue;
      request->claim.step = TT_CLAIM_STEP_WAITING;
      request->claim.attempt = tt_rng_id128 (&board->rng);
      tt_list_append (
          &tt_claim_shard_activate (board, request->spec.idempotency_key, now_us)->waiting,
          &request->claim.link);
    }
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  enqueue_claims (board, now_us);
  TT_LIST_FOREACH (&board->claim.active, it)
    {
      TtClaimShard *shard = TT_CONTAINER_OF (it, TtClaimShard, link);

      if (shard->call != 0)
        continue;
      expire_claims (board, shard, now_us);
      if (shard->waiting.count == 0 && shard->queries.count == 0
          && !tt_claim_era_has_rewrites (board, shard))
        {
          if (now_us - shard->last_used_us > SHARD_IDLE_US)
            {
              tt_claim_shard_clear (shard);
              tt_list_remove (&board->claim.active, &shard->link);
            }
          continue;
        }
      if (now_us >= shard->next_try_us)
        start_shard_call (board, shard, now_us);
      else
        tt_claim_query_respond (board, shard, now_us);
    }
}

/// Marks a request's claim as settled and frees its recorded outcome.
static void
settle_claim (TtRequest *request)
{
  request->claim.step = TT_CLAIM_STEP_SETTLED;
  free (request->claim.outcome);
  request->claim.outcome = NULL;
}

/// Queues the write of the final state of an owned claim whose request has finished, if that state
/// is known.
static void
queue_final_state (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtClaimRequest *claim = &request->claim;

  if (request->outcome == TT_OUTCOME_COMPLETE)
    claim->final_state = TT_CLAIM_DONE;
  else if (!claim->bytes_possibly_sent && request->attempt_count == claim->unsent_failures)
    claim->final_state = TT_CLAIM_NOT_RUN;
  else
    {
      // The request may have run: the entry stays CLAIMED, so no other attempt runs it.
      settle_claim (request);
      return;
    }
  claim->step = TT_CLAIM_STEP_SETTLING;
  tt_list_append (&tt_claim_shard_activate (board, request->spec.idempotency_key, now_us)->waiting,
                  &claim->link);
}

/// Completes the claims of a write that took effect.
static void
complete_write (TtBoard *board, TtClaimShard *shard, uint64_t version, int64_t now_us)
{
  TtLink *link;

  shard->version = version;
  tt_claim_era_confirm_rewrites (board, shard);
  while ((link = tt_list_pop (&shard->writing)) != NULL)
    {
      TtRequest *request = TT_CONTAINER_OF (link, TtRequest, claim.link);

      tt_claim_era_record (board, request, now_us);
      if (request->claim.step == TT_CLAIM_STEP_SETTLING)
        settle_claim (request);
      else
        mark_claim_owned (board, request, now_us);
    }
}

/// Exponential backoff after failed calls, with jitter so that the daemons do not retry at the same
/// time.
static int64_t
backoff_us (TtBoard *board, TtClaimShard *shard)
{
  int64_t delay_us = BACKOFF_MIN_US;

  for (uint32_t i = 1; i < shard->consecutive_failures && delay_us < BACKOFF_MAX_US; i++)
    delay_us *= 2;
  return delay_us + (int64_t) tt_rng_below (&board->rng, (uint64_t) delay_us);
}

static bool
is_answer (const TtPlatformEvent *event)
{
  return event->code == TT_OK || event->code == TT_E_NOT_FOUND || event->code == TT_E_CONFLICT;
}

static void
on_platform_response (TtBoard *board, const TtPlatformEvent *event, int64_t now_us)
{
  TtClaimShard *shard = NULL;
  bool is_write = event->op == TT_PLATFORM_PUT;

  tt_claim_era_check (board, now_us);
  TT_LIST_FOREACH (&board->claim.active, it)
    if (TT_CONTAINER_OF (it, TtClaimShard, link)->call == event->call_id)
      shard = TT_CONTAINER_OF (it, TtClaimShard, link);
  if (shard == NULL)
    return;
  shard->call = 0;
  shard->last_used_us = now_us;
  if (!tt_evidence_is_of_current_era (board, event) && is_answer (event))
    tt_claim_shard_give_up_call (shard);
  else if (event->code == TT_OK || (event->code == TT_E_NOT_FOUND && !is_write))
    {
      shard->consecutive_failures = 0;
      if (is_write)
        complete_write (board, shard, event->version, now_us);
      else
        (void) tt_claim_shard_load (shard, event->object != NULL ? &event->object->claims : NULL,
                                    event->version, now_us);
    }
  else
    {
      tt_claim_shard_requeue_writes (shard, event->code == TT_E_TIMEOUT);
      if (event->code != TT_E_CONFLICT)
        {
          shard->consecutive_failures++;
          shard->next_try_us = now_us + backoff_us (board, shard);
          tt_board_counter_add (board, TT_COUNT_PLATFORM_ERRORS, 1);
        }
    }
  board->dirty = true;
}

/// Records an attempt's response, or that the attempt failed before it sent a byte.
static void
on_attempt_ended (TtBoard *board, const TtEvent *event)
{
  TtAttempt *attempt = tt_attempt_find (board, event->attempt.attempt_id);
  TtClaimRequest *claim;
  uint32_t size = event->attempt.body_size;

  if (attempt == NULL || attempt->request->claim.step != TT_CLAIM_STEP_OWNED)
    return;
  claim = &attempt->request->claim;
  if (event->type == TT_EVENT_ATTEMPT_FAILED && !event->attempt.maybe_sent
      && attempt->state == TT_ATTEMPT_OPEN)
    claim->unsent_failures++;
  if (event->type != TT_EVENT_ATTEMPT_DONE)
    return;
  claim->status = (uint16_t) event->attempt.status;
  claim->outcome_truncated = size > TT_CLAIM_OUTCOME_MAX_BYTES || event->attempt.body == NULL;
  size = size > TT_CLAIM_OUTCOME_MAX_BYTES ? TT_CLAIM_OUTCOME_MAX_BYTES : size;
  claim->outcome = event->attempt.body != NULL && size > 0 ? malloc (size) : NULL;
  claim->outcome_size = claim->outcome != NULL ? size : 0;
  if (claim->outcome != NULL)
    memcpy (claim->outcome, event->attempt.body, size);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (event->type == TT_EVENT_PLATFORM_RESPONSE)
    on_platform_response (board, &event->platform, now_us);
  else if (event->type == TT_EVENT_ATTEMPT_DONE || event->type == TT_EVENT_ATTEMPT_FAILED)
    on_attempt_ended (board, event);
  else if (event->type == TT_EVENT_OUTCOME_QUERY)
    tt_claim_query_add (board, &event->outcome_query, now_us);
}

static void
on_finished (void *context, TtBoard *board, TtRequest *request, int64_t now_us)
{
  (void) context;
  if (request->claim.step == TT_CLAIM_STEP_OWNED)
    queue_final_state (board, request, now_us);
}

TtController
tt_claim_controller (void)
{
  return (TtController){ .name = "claim",
                         .open = open_claims,
                         .close = close_claims,
                         .on_event = on_event,
                         .run = run,
                         .on_finished = on_finished };
}
