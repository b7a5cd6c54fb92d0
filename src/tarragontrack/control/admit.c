#include "tarragontrack/control/admit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/drain.h"
#include <string.h>

enum
{
  RETRY_AFTER_MS = 1000,
  DEFAULT_DEADLINE_MS = 30000, // used if neither the kind of work nor the caller sets one
  LIMITED_QUEUE_MIN = 16,      // queue size that a limited account gets at least
  LIMITED_QUEUE_FACTOR = 2     // queue size as a multiple of the local part of the limit
};

static int
open_admit (void *context, TtBoard *board)
{
  (void) context;
  if (tt_admit_open_flows (board) < 0)
    return TT_E_NO_MEMORY;
  return tt_admit_open_accounts (board);
}

static void
close_admit (void *context, TtBoard *board)
{
  (void) context;
  tt_admit_close_accounts (board);
  tt_admit_close_flows (board);
}

/// Finds the slot of the team's document in force; NULL if there is none.
static const TtDocumentSlot *
find_document_slot (const TtBoard *board, uint64_t team_id)
{
  for (uint32_t i = 0; i < board->team_config.slot_count; i++)
    {
      const TtDocumentSlot *slot = &board->team_config.slots[i];

      if (slot->document != NULL && slot->document->team_id == team_id)
        return slot;
    }
  return NULL;
}

/// Ends an invalid request without an attempt and logs the reason.
static void
reject_invalid (TtBoard *board, TtRequest *request, TtOutcome outcome, uint32_t status, int code,
                const char *reason)
{
  TtError error = { 0 };

  (void) tt_error_set (&error, code, TT_STEP_ADMIT, request->spec.service, "%s", reason);
  tt_board_log (board, TT_LOG_REQUEST_REFUSED, "service=%s account=%s status=%u %s",
                request->spec.service, request->spec.account, status, reason);
  (void) tt_request_finish (board, request, outcome, status, 0, &error);
}

/// Sets the request's priority, deadline and idempotency.
///
/// RETURN     false if the kind of work is unknown
static bool
resolve_kind (TtRequest *request, const TtDocument *document, int64_t now_us)
{
  const TtRequestSpec *spec = &request->spec;
  uint32_t deadline_ms = document->default_queue_deadline_ms;
  bool idempotent = true;

  request->priority = document->default_priority;
  if (spec->kind[0] != '\0')
    {
      uint64_t id = tt_hash_string (spec->kind);
      const TtKindSpec *kind = NULL;

      for (uint32_t i = 0; i < document->kind_count; i++)
        if (document->kinds[i].id == id)
          kind = &document->kinds[i];
      if (kind == NULL)
        return false;
      request->priority = kind->priority;
      deadline_ms = kind->queue_deadline_ms;
      idempotent = kind->idempotent;
    }
  if (request->priority >= TT_PRIORITY_COUNT)
    request->priority = TT_PRIORITY_COUNT - 1;
  if (deadline_ms == 0)
    deadline_ms = document->default_queue_deadline_ms;
  if (spec->start_deadline_ms > 0 && (deadline_ms == 0 || spec->start_deadline_ms < deadline_ms))
    deadline_ms = spec->start_deadline_ms;
  if (deadline_ms == 0)
    deadline_ms = DEFAULT_DEADLINE_MS;
  request->start_deadline_us = now_us + deadline_ms * TT_MILLISECOND_US;
  request->idempotent = spec->safe_method || (idempotent && request->pool->spec.repeatable);
  return true;
}

/// Resolves the service, the account and the kind of work; rejects the request if one is invalid.
static void
resolve_request (TtBoard *board, TtRequest *request, int64_t now_us)
{
  const TtRequestSpec *spec = &request->spec;
  const TtDocumentSlot *slot;
  const TtDocument *document;

  tt_request_set_pool (request, tt_pool_find (board, tt_hash_string (spec->service)));
  slot = request->pool != NULL ? find_document_slot (board, request->pool->team_id) : NULL;
  document = slot != NULL ? slot->document : NULL;
  if (document == NULL)
    {
      // Without a document the kind of work is unknown. A request with an idempotency key is
      // treated as non-idempotent, because an earlier attempt under that key may have run.
      request->idempotent = tt_id128_is_zero (spec->idempotency_key);
      if (!board->team_config.synced)
        tt_admit_reject (board, request, 503, RETRY_AFTER_MS, "no document is in force yet");
      else
        reject_invalid (board, request, TT_OUTCOME_INVALID, 404, TT_E_NOT_FOUND,
                        "no document in force has this service");
      return;
    }
  request->account
      = tt_admit_find_account (board, document->team_id, tt_hash_string (spec->account));
  if (request->account == NULL
      || (request->account->spec.key_hash != 0
          && request->account->spec.key_hash != spec->account_key_hash))
    {
      request->account = NULL;
      reject_invalid (board, request, TT_OUTCOME_INVALID, 401, TT_E_AUTH,
                      "the client account is unknown or its key is wrong");
    }
  else if (!resolve_kind (request, document, now_us))
    reject_invalid (board, request, TT_OUTCOME_INVALID, 400, TT_E_NOT_FOUND,
                    "the document has no such kind of work");
  else if (!request->idempotent && tt_id128_is_zero (spec->idempotency_key))
    reject_invalid (board, request, TT_OUTCOME_NOT_RUN, 400, TT_E_INVALID,
                    "a request that must not repeat needs Idempotency-Key; it did not run");
  else if (slot->rejects_requests)
    tt_admit_reject (board, request, 503, RETRY_AFTER_MS,
                     "this failure domain has no contact with the platform");
}

/// Creates the request on the board and resolves it; replies with 503 if no record is free.
static void
accept_request (TtBoard *board, const TtRequestSpec *spec, int64_t now_us)
{
  TtRequest *request = tt_request_new (board, spec, now_us);

  tt_board_counter_add (board, TT_COUNT_REQUESTS, 1);
  if (request == NULL)
    {
      TtAction *action = tt_board_append_action (board, TT_ACTION_REPLY);
      bool keyed = !tt_id128_is_zero (spec->idempotency_key);

      tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
      tt_board_counter_add (board, keyed ? TT_COUNT_UNKNOWN : TT_COUNT_NOT_RUN, 1);
      if (action == NULL)
        return;
      action->reply = (TtReplyAction){ .request_id = spec->request_id,
                                       .outcome = keyed ? TT_OUTCOME_UNKNOWN : TT_OUTCOME_NOT_RUN,
                                       .status = 503,
                                       .retry_after_ms = RETRY_AFTER_MS };
      (void) tt_error_set (&action->reply.error, TT_E_LIMIT, TT_STEP_ADMIT, spec->service,
                           "too many requests at this router; this attempt did not run");
      return;
    }
  resolve_request (board, request, now_us);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (event->type == TT_EVENT_REQUEST)
    accept_request (board, event->request, now_us);
  else if (event->type == TT_EVENT_TICK)
    {
      tt_admit_update_fleet_in_flight (board, now_us);
      tt_admit_expire (board, now_us);
    }
}

/// Checks the rate and concurrency limits of an arrived request, then queues or rejects it.
static void
admit_request (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtClientAccount *account = request->account;
  uint32_t wait_ms;
  uint32_t local_limit;

  if (tt_drain_rejects_requests (board, now_us))
    {
      tt_admit_reject (board, request, 503, RETRY_AFTER_MS, "this router shuts down");
      return;
    }
  wait_ms = tt_admit_consume_rate (account, now_us);
  if (wait_ms > 0)
    {
      tt_admit_reject (board, request, 429, wait_ms, "the client account is over its rate");
      return;
    }
  local_limit = tt_admit_local_limit (account);
  if (local_limit < UINT32_MAX && account->queued >= LIMITED_QUEUE_MIN
      && account->queued >= LIMITED_QUEUE_FACTOR * (uint64_t) local_limit)
    tt_admit_reject (board, request, 429, RETRY_AFTER_MS,
                     "the client account has its limit of requests in flight");
  else
    tt_admit_enqueue (board, request, now_us);
}

/// Removes a finished request from its queue and from the in-flight count of its account.
static void
remove_finished (TtBoard *board, TtRequest *request)
{
  tt_admit_dequeue (board, request);
  if (request->admit.released)
    request->account->in_flight--;
  request->admit.released = false;
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtLink *link;

  (void) context;
  if (board->team_config.documents_changed)
    tt_admit_update_accounts (board);
  while ((link = tt_list_first (&board->requests.stages[TT_STAGE_ARRIVED])) != NULL)
    admit_request (board, TT_CONTAINER_OF (link, TtRequest, stage_link), now_us);
  // Requests that finished in this step release their queue entry and account count before the
  // next requests are selected.
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_FINISHED], it)
    remove_finished (board, TT_CONTAINER_OF (it, TtRequest, stage_link));
  tt_admit_release (board, now_us);
}

static void
on_finished (void *context, TtBoard *board, TtRequest *request, int64_t now_us)
{
  (void) context;
  (void) now_us;
  remove_finished (board, request);
}

TtController
tt_admit_controller (void)
{
  return (TtController){ .name = "admit",
                         .open = open_admit,
                         .close = close_admit,
                         .on_event = on_event,
                         .run = run,
                         .on_finished = on_finished };
}
