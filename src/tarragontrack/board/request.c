#include "tarragontrack/board/request.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// The low 20 bits of an attempt's id are its index in the pool, which makes lookups O(1).
#define TT_ATTEMPT_INDEX_LIMIT (UINT64_C (1) << 20)

int
tt_request_pools_init (TtBoard *board)
{
  TtRequestSection *section = &board->requests;

  for (int stage = 0; stage < TT_STAGE_COUNT; stage++)
    tt_list_init (&section->stages[stage]);
  tt_list_init (&section->free_attempts);
  section->request_capacity = board->config.max_requests;
  section->attempt_capacity = board->config.max_attempts;
  section->pool = calloc (section->request_capacity, sizeof *section->pool);
  section->attempts = calloc (section->attempt_capacity, sizeof *section->attempts);
  section->buckets = calloc (section->request_capacity, sizeof *section->buckets);
  if (section->pool == NULL || section->attempts == NULL || section->buckets == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 0; i < section->request_capacity; i++)
    tt_list_init (&section->buckets[i]);
  for (uint32_t i = 0; i < section->request_capacity; i++)
    tt_list_append (&section->stages[TT_STAGE_FREE], &section->pool[i].stage_link);
  for (uint32_t i = 0; i < section->attempt_capacity; i++)
    tt_list_append (&section->free_attempts, &section->attempts[i].request_link);
  return TT_OK;
}

void
tt_request_pools_free (TtBoard *board)
{
  for (uint32_t i = 0; board->requests.pool != NULL && i < board->requests.request_capacity; i++)
    free (board->requests.pool[i].route.account);
  free (board->requests.buckets);
  free (board->requests.pool);
  free (board->requests.attempts);
}

/// Hash bucket of a request id.
static TtList *
request_bucket (TtBoard *board, uint64_t request_id)
{
  return &board->requests.buckets[request_id % board->requests.request_capacity];
}

TtRequest *
tt_request_new (TtBoard *board, const TtRequestSpec *spec, int64_t now_us)
{
  TtLink *link = tt_list_pop (&board->requests.stages[TT_STAGE_FREE]);
  TtRequest *request;

  if (link == NULL)
    return NULL;
  request = TT_CONTAINER_OF (link, TtRequest, stage_link);
  memset (request, 0, sizeof *request);
  request->spec = *spec;
  request->arrived_us = now_us;
  tt_list_init (&request->attempts);
  request->stage = TT_STAGE_ARRIVED;
  tt_list_append (&board->requests.stages[TT_STAGE_ARRIVED], &request->stage_link);
  tt_list_append (request_bucket (board, spec->request_id), &request->bucket_link);
  board->dirty = true;
  return request;
}

void
tt_request_set_pool (TtRequest *request, TtPool *pool)
{
  if (request->pool != NULL)
    request->pool->request_count--;
  request->pool = pool;
  if (pool != NULL)
    pool->request_count++;
}

void
tt_request_set_stage (TtBoard *board, TtRequest *request, TtStage stage)
{
  tt_list_remove (&board->requests.stages[request->stage], &request->stage_link);
  request->stage = stage;
  tt_list_append (&board->requests.stages[stage], &request->stage_link);
  board->dirty = true;
}

TtRequest *
tt_request_find (TtBoard *board, uint64_t request_id)
{
  TT_LIST_FOREACH (request_bucket (board, request_id), it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, bucket_link);

      if (request->spec.request_id == request_id)
        return request;
    }
  return NULL;
}

TtAttempt *
tt_attempt_find (TtBoard *board, uint64_t attempt_id)
{
  uint64_t index = attempt_id & (TT_ATTEMPT_INDEX_LIMIT - 1);
  TtAttempt *attempt;

  if (index >= board->requests.attempt_capacity)
    return NULL;
  attempt = &board->requests.attempts[index];
  return attempt->request != NULL && attempt->id == attempt_id ? attempt : NULL;
}

/// Marks a backend server for the controller `share`, because its set of open attempts changed.
static void
mark_backend_changed (TtBoard *board, TtBackendServer *backend)
{
  if (!tt_link_is_linked (&backend->share.changed_link))
    tt_list_append (&board->share.changed_backends, &backend->share.changed_link);
}

TtAttempt *
tt_attempt_new (TtBoard *board, TtRequest *request, TtBackendServer *backend, bool hedge,
                int64_t now_us)
{
  TtLink *link;
  TtAttempt *attempt;
  TtAction *action;

  if (!tt_backend_accepts (backend, now_us))
    return NULL;
  link = tt_list_pop (&board->requests.free_attempts);
  if (link == NULL)
    return NULL;
  attempt = TT_CONTAINER_OF (link, TtAttempt, request_link);
  memset (attempt, 0, sizeof *attempt);
  attempt->id = tt_board_next_id (board) * TT_ATTEMPT_INDEX_LIMIT
                + (uint64_t) (attempt - board->requests.attempts);
  attempt->token = tt_rng_id128 (&board->rng);
  attempt->request = request;
  attempt->backend = backend;
  attempt->process_start_ms = backend->registry.process_start_ms;
  attempt->hedge = hedge;
  attempt->resume_from = request->relayed_tokens;
  attempt->dispatched_us = now_us;
  attempt->last_progress_us = now_us;
  tt_list_append (&request->attempts, &attempt->request_link);
  tt_list_append (&backend->attempts, &attempt->backend_link);
  backend->share.opened_since_renewal++;
  mark_backend_changed (board, backend);
  request->attempt_count++;
  if (request->stage != TT_STAGE_RUNNING)
    tt_request_set_stage (board, request, TT_STAGE_RUNNING);
  tt_board_counter_add (board, TT_COUNT_ATTEMPTS, 1);
  action = tt_board_append_action (board, TT_ACTION_DISPATCH);
  if (action != NULL)
    action->attempt = (TtAttemptAction){ .request_id = request->spec.request_id,
                                         .attempt_id = attempt->id,
                                         .token = attempt->token,
                                         .backend_id = backend->id,
                                         .resume_from = attempt->resume_from,
                                         .priority = request->priority,
                                         .last_event_id = request->recovery.last_event_id };
  if (action != NULL && request->route.deadline_us > now_us
      && request->route.deadline_us != INT64_MAX)
    action->attempt.remaining_ms
        = (uint32_t) ((request->route.deadline_us - now_us + TT_MILLISECOND_US - 1)
                      / TT_MILLISECOND_US);
  return attempt;
}

void
tt_attempt_close (TtBoard *board, TtAttempt *attempt)
{
  TtRequest *request = attempt->request;

  tt_list_remove (&request->attempts, &attempt->request_link);
  tt_list_remove (&attempt->backend->attempts, &attempt->backend_link);
  mark_backend_changed (board, attempt->backend);
  if (request->winner == attempt)
    request->winner = NULL;
  attempt->request = NULL;
  attempt->backend = NULL;
  attempt->state = TT_ATTEMPT_CLOSED;
  tt_list_append (&board->requests.free_attempts, &attempt->request_link);
  board->dirty = true;
}

void
tt_attempt_cancel (TtBoard *board, TtAttempt *attempt)
{
  TtAction *action = tt_board_append_action (board, TT_ACTION_CANCEL);

  if (action != NULL)
    action->attempt = (TtAttemptAction){ .request_id = attempt->request->spec.request_id,
                                         .attempt_id = attempt->id,
                                         .backend_id = attempt->backend->id };
  tt_attempt_close (board, attempt);
}

/// Counter that is incremented for an outcome.
static TtCounterId
outcome_counter (TtOutcome outcome)
{
  switch (outcome)
    {
    case TT_OUTCOME_COMPLETE:
      return TT_COUNT_COMPLETE;
    case TT_OUTCOME_NOT_RUN:
      return TT_COUNT_NOT_RUN;
    case TT_OUTCOME_CUT:
      return TT_COUNT_CUT;
    case TT_OUTCOME_RECORDED:
      return TT_COUNT_RECORDED;
    case TT_OUTCOME_INVALID:
      return TT_COUNT_INVALID;
    default:
      return TT_COUNT_UNKNOWN;
    }
}

TtReplyAction *
tt_request_finish (TtBoard *board, TtRequest *request, TtOutcome outcome, uint32_t status,
                   uint32_t retry_after_ms, const TtError *error)
{
  TtReplyAction *reply = NULL;

  if (request->outcome != TT_OUTCOME_NONE)
    return NULL;
  request->outcome = outcome;
  if (error != NULL)
    (void) snprintf (request->cause, sizeof request->cause, "%.*s", TT_CAUSE_MAX - 1,
                     error->detail);
  tt_board_counter_add (board, outcome_counter (outcome), 1);
  TT_LIST_FOREACH (&request->attempts, it)
    tt_attempt_cancel (board, TT_CONTAINER_OF (it, TtAttempt, request_link));
  if (outcome != TT_OUTCOME_COMPLETE)
    {
      TtAction *action = tt_board_append_action (board, TT_ACTION_REPLY);

      if (action != NULL)
        {
          reply = &action->reply;
          reply->request_id = request->spec.request_id;
          reply->outcome = outcome;
          reply->status = status;
          reply->retry_after_ms = retry_after_ms;
          if (error != NULL)
            reply->error = *error;
        }
    }
  tt_request_set_stage (board, request, TT_STAGE_FINISHED);
  return reply;
}

void
tt_request_free (TtBoard *board, TtRequest *request)
{
  tt_list_remove (request_bucket (board, request->spec.request_id), &request->bucket_link);
  tt_request_set_pool (request, NULL);
  free (request->route.account);
  request->route.account = NULL;
  tt_request_set_stage (board, request, TT_STAGE_FREE);
}
