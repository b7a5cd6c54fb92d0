#include "support/drive.h"
#include "support/test_board.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include <stdio.h>

void
drive_tick (TtBoard *board, int64_t now_us)
{
  TtEvent event = { .type = TT_EVENT_TICK };

  tt_board_step (board, &event, now_us);
}

void
drive_ticks (TtBoard *board, int64_t from_us, int64_t until_us)
{
  for (int64_t now_us = from_us; now_us <= until_us; now_us += TT_TICK_INTERVAL_US)
    drive_tick (board, now_us);
}

/// Steps the board with a request.
static uint64_t
send_request (TtBoard *board, const char *account, const char *kind, uint64_t body, TtId128 key,
              int64_t now_us)
{
  TtRequestSpec spec = { .request_id = tt_board_next_id (board),
                         .chat_key = body,
                         .body_hash = body,
                         .idempotency_key = key,
                         .stream = true,
                         .prompt_tokens = 100 };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };

  (void) snprintf (spec.account, sizeof spec.account, "%s", account);
  (void) snprintf (spec.service, sizeof spec.service, "chat");
  (void) snprintf (spec.kind, sizeof spec.kind, "%s", kind);
  tt_board_step (board, &event, now_us);
  return spec.request_id;
}

uint64_t
drive_send_request (TtBoard *board, const char *account, const char *kind, uint64_t body,
                    int64_t now_us)
{
  return send_request (board, account, kind, body, (TtId128){ 0 }, now_us);
}

uint64_t
drive_send_non_idempotent (TtBoard *board, const char *account, uint64_t key, int64_t now_us)
{
  return send_request (board, account, "grant", key, (TtId128){ .high = 1, .low = key }, now_us);
}

TtRequest *
drive_set_claim_owned (TtBoard *board, uint64_t request_id, int64_t now_us)
{
  TtRequest *request = tt_request_find (board, request_id);

  if (request == NULL || request->stage != TT_STAGE_CLAIMING)
    return NULL;
  request->claim.step = TT_CLAIM_STEP_OWNED;
  tt_request_set_stage (board, request, TT_STAGE_READY);
  drive_tick (board, now_us);
  return request;
}

TtAttemptAction
drive_next_dispatch (TtBoard *board)
{
  TtAction action = { 0 };

  return test_board_next_action (board, TT_ACTION_DISPATCH, &action) != NULL
             ? action.attempt
             : (TtAttemptAction){ 0 };
}

TtReplyAction
drive_next_reply (TtBoard *board)
{
  TtAction action = { 0 };

  return test_board_next_action (board, TT_ACTION_REPLY, &action) != NULL ? action.reply
                                                                          : (TtReplyAction){ 0 };
}

void
drive_attempt_event (TtBoard *board, TtEventType type, uint64_t attempt_id, uint32_t tokens,
                     int64_t now_us)
{
  TtEvent event = { .type = type };

  event.attempt = (TtAttemptEvent){ .attempt_id = attempt_id, .tokens = tokens, .status = 200 };
  tt_board_step (board, &event, now_us);
}

void
drive_attempt_failed (TtBoard *board, uint64_t attempt_id, int code, bool sent, int64_t now_us)
{
  TtEvent event = { .type = TT_EVENT_ATTEMPT_FAILED };

  event.error.code = code;
  event.attempt = (TtAttemptEvent){ .attempt_id = attempt_id, .maybe_sent = sent };
  tt_board_step (board, &event, now_us);
}

TtPool *
drive_set_batch_limit (TtBoard *board, uint32_t batch_limit)
{
  TtPool *pool = tt_pool_find (board, tt_hash_string ("chat"));

  TT_LIST_FOREACH (&pool->backends, it)
    TT_CONTAINER_OF (it, TtBackendServer, pool_link)->batch_limit = batch_limit;
  return pool;
}
