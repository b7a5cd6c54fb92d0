#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"

#define DEFAULT_DEADLINE_US (30 * TT_SECOND_US)

/// Enters a request; refuses one for an unknown service.
static void
enter_request (TtBoard *board, const TtRequestSpec *spec, int64_t now_us)
{
  TtRequest *request = tt_request_new (board, spec, now_us);
  TtError error = { 0 };

  tt_board_count (board, TT_COUNT_REQUESTS, 1);
  if (request == NULL)
    {
      TtAction *action = tt_board_act (board, TT_ACTION_REPLY);

      tt_board_count (board, TT_COUNT_POOL_FULL, 1);
      if (action != NULL)
        action->reply = (TtReplyAction){ .request_id = spec->request_id,
                                         .outcome = TT_OUTCOME_NOT_RUN,
                                         .status = 503,
                                         .retry_after_ms = 1000 };
      return;
    }
  request->pool = tt_pool_find (board, tt_hash_string (spec->service));
  request->deadline_us = now_us + DEFAULT_DEADLINE_US;
  request->idempotent
      = request->pool == NULL || request->pool->spec.repeatable || spec->safe_method;
  if (request->pool == NULL)
    {
      (void) tt_error_set (&error, TT_E_NOT_FOUND, TT_STEP_ADMIT, spec->service,
                           "no document in force has this service");
      (void) tt_request_finish (board, request, TT_OUTCOME_INVALID, 404, 0, &error);
    }
  else if (!request->idempotent && tt_id128_is_zero (spec->idempotency_key))
    {
      (void) tt_error_set (&error, TT_E_INVALID, TT_STEP_ADMIT, spec->service,
                           "work that runs at most once needs an Idempotency-Key");
      (void) tt_request_finish (board, request, TT_OUTCOME_INVALID, 400, 0, &error);
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (event->type == TT_EVENT_REQUEST)
    enter_request (board, event->request, now_us);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtLink *link;

  (void) context;
  (void) now_us;
  while ((link = tt_list_first (&board->requests.stages[TT_STAGE_ARRIVED])) != NULL)
    {
      TtRequest *request = TT_CONTAINER_OF (link, TtRequest, stage_link);

      tt_request_set_stage (board, request,
                            request->idempotent ? TT_STAGE_READY : TT_STAGE_CLAIMING);
    }
}

TtController
tt_admit_controller (void)
{
  return (TtController){ .name = "admit", .on_event = on_event, .run = run };
}
