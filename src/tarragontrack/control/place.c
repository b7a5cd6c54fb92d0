#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"

/// The backend server with room that ranks first for the chat; NULL if none has room.
static TtBackendServer *
pick_backend (TtRequest *request)
{
  TtBackendServer *best = NULL;
  double best_score = 0.0;

  TT_LIST_FOREACH (&request->pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      double score = tt_hash_score (request->spec.chat_key, backend->id, backend->weight);

      if (backend->roster.state != TT_BACKEND_LIVE
          || backend->attempts.count >= backend->batch_limit)
        continue;
      if (best == NULL || score > best_score)
        {
          best = backend;
          best_score = score;
        }
    }
  return best;
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_READY], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);
      TtBackendServer *backend = pick_backend (request);

      if (backend != NULL)
        (void) tt_attempt_new (board, request, backend, false, now_us);
      else if (now_us >= request->deadline_us)
        {
          TtError error = { 0 };

          (void) tt_error_set (&error, TT_E_LIMIT, TT_STEP_PLACE, request->spec.service,
                               "no backend server had room before the deadline");
          (void) tt_request_finish (board, request, TT_OUTCOME_NOT_RUN, 503, 1000, &error);
        }
    }
}

TtController
tt_place_controller (void)
{
  return (TtController){ .name = "place", .run = run };
}
