#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/breaker.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/fleet.h"
#include "tarragontrack/control/holder.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/// Load above the multiple of the mean that the bound on a backend server's load allows.
#define LOAD_SLACK 3.0

/// What is kept free below the bound, because several daemons choose the same backend server until
/// they hear of each other: one request, or as many as a load of the mean's size happens to grow by
/// meanwhile, which is its root times that of the delay.
#define RESERVE_LEAST 1.0
#define RESERVE_FACTOR 0.75

/// Part of the bound above the mean that stays in use however late loads are known.
#define USED_LEAST 0.5

/// A stated load counts for this long; after that, sums over the daemons are the better estimate.
#define SAMPLE_US (300 * TT_MILLISECOND_US)

/// Part of a request's goal for which it waits for a backend server before it is refused. A refusal
/// within this time costs the caller nothing but the way back.
#define WAIT_PART 8
#define WAIT_LEAST_US (20 * TT_MILLISECOND_US)

/// When a caller is asked to come back if no backend server can be chosen, in ms.
#define RETRY_MS 250

/// Part of a plain backend server's slots up to which the own failure domain is preferred.
#define LOCAL_PART 0.5

static int
open_dispatch (void *context, TtBoard *board)
{
  (void) context;
  return tt_holder_open (&board->dispatch);
}

static void
close_dispatch (void *context, TtBoard *board)
{
  (void) context;
  free (board->dispatch.holders);
}

/// Requests on a backend server, as far as this daemon knows.
static uint32_t
load_of (const TtBackendServer *backend, int64_t now_us)
{
  const TtDispatchBackend *dispatch = &backend->dispatch;
  uint32_t sum = backend->attempts.count + backend->fleet.others;
  uint32_t stated = dispatch->sample.running + dispatch->sample.waiting;

  return dispatch->sampled_us != 0 && now_us - dispatch->sampled_us < SAMPLE_US && stated > sum
             ? stated
             : sum;
}

static bool
was_tried (const TtRequest *request, const TtBackendServer *backend)
{
  uint32_t count = request->recovery.tried_count < TT_RETRY_TRIED ? request->recovery.tried_count
                                                                  : TT_RETRY_TRIED;

  for (uint32_t i = 0; i < count; i++)
    if (request->recovery.tried[i] == backend->id)
      return true;
  TT_LIST_FOREACH (&request->attempts, it)
    if (TT_CONTAINER_OF (it, TtAttempt, request_link)->backend == backend)
      return true;
  return false;
}

static bool
may_take (const TtBoard *board, const TtRequest *request, const TtBackendServer *backend,
          int64_t now_us)
{
  return backend->roster.state == TT_BACKEND_LIVE && tt_breaker_allows (board, backend, now_us)
         && !was_tried (request, backend);
}

/// The least loaded backend server that answers at least some requests, for when none is allowed.
static TtBackendServer *
choose_last (const TtRequest *request, int64_t now_us)
{
  TtBackendServer *best = NULL;

  TT_LIST_FOREACH (&request->pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (backend->roster.state != TT_BACKEND_LIVE || !tt_breaker_allows_last (backend)
          || was_tried (request, backend))
        continue;
      if (best == NULL || load_of (backend, now_us) < load_of (best, now_us))
        best = backend;
    }
  return best;
}

/// The least loaded backend server that is allowed.
static TtBackendServer *
choose_least (const TtBoard *board, const TtRequest *request, int64_t now_us)
{
  TtBackendServer *best = NULL;

  TT_LIST_FOREACH (&request->pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (may_take (board, request, backend, now_us)
          && (best == NULL || load_of (backend, now_us) < load_of (best, now_us)))
        best = backend;
    }
  return best;
}

/// Highest load at which a backend server of the pool may take one more request.
static double
load_limit (const TtBoard *board, const TtPool *pool, int64_t now_us)
{
  double factor = board->config.bounds.load_factor;
  double mean;
  double reserve;
  double limit;
  double least;
  uint32_t live = 0;
  uint32_t sum = 1; // with the request that is being placed

  TT_LIST_FOREACH (&pool->backends, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (backend->roster.state != TT_BACKEND_LIVE)
        continue;
      live++;
      sum += load_of (backend, now_us);
    }
  if (live == 0)
    return 0.0;
  mean = (double) sum / live;
  reserve = RESERVE_FACTOR * sqrt (mean * tt_fleet_staleness (board));
  limit = factor * mean + LOAD_SLACK - (reserve > RESERVE_LEAST ? reserve : RESERVE_LEAST);
  least = mean + USED_LEAST * (factor - 1.0) * mean;
  return limit > least ? limit : least;
}

/// The first engine in the ranking for a prompt that may take the request and has room; the least
/// loaded one if none has. The ranking is the same on every daemon.
static TtBackendServer *
choose_by_rank (const TtBoard *board, const TtRequest *request, uint64_t key, double limit,
                int64_t now_us)
{
  TtBackendServer *best = NULL;
  double best_score = 0.0;

  TT_LIST_FOREACH (&request->pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      double score = tt_hash_score (key, backend->id, 1.0);

      if ((best != NULL && score <= best_score) || load_of (backend, now_us) > limit
          || !may_take (board, request, backend, now_us))
        continue;
      best = backend;
      best_score = score;
    }
  return best != NULL ? best : choose_least (board, request, now_us);
}

/// Notes where the chosen engine can fetch shared prompt parts: from the engine that holds them, or
/// the first of them. Copying them costs less than reading them again; what the chosen engine has
/// already is not copied.
static void
set_source (TtBoard *board, TtRequest *request, uint64_t key, const TtBackendServer *backend)
{
  const TtBackendServer *source = tt_holder_source (board, key);

  if (source == NULL && request->spec.first_key != 0)
    source = tt_holder_source (board, request->spec.first_key);
  if (source != NULL && source != backend && source->pool == request->pool)
    request->dispatch.source_id = source->id;
}

/// The engine that holds the request's shared prompt parts, unless it has no room or fails at the
/// moment. It stays the holder then: its memory is kept, and the next request finds it there.
static TtBackendServer *
choose_by_prompt (TtBoard *board, TtRequest *request, int64_t now_us)
{
  uint64_t key = request->spec.prefix_key != 0 ? request->spec.prefix_key : request->spec.chat_key;
  double limit = load_limit (board, request->pool, now_us);
  TtBackendServer *home = tt_holder_find (board, key, now_us);
  TtBackendServer *backend;

  request->dispatch.source_id = 0;

  if (home != NULL && home->pool != request->pool)
    home = NULL;
  if (home != NULL && may_take (board, request, home, now_us) && load_of (home, now_us) <= limit)
    {
      request->place.reason = TT_PLACE_MOVED;
      return home;
    }
  backend = choose_by_rank (board, request, key, limit, now_us);
  request->place.reason = home == NULL ? TT_PLACE_HOME : TT_PLACE_OVERFLOW;
  if (backend == NULL)
    return NULL;
  set_source (board, request, key, backend);
  if (home == NULL)
    tt_holder_set (board, key, backend, now_us);
  if (request->spec.first_key != 0
      && tt_holder_find (board, request->spec.first_key, now_us) == NULL)
    tt_holder_set (board, request->spec.first_key, backend, now_us);
  return backend;
}

/// Part of a plain backend server's slots that is used.
static double
used_part (const TtBackendServer *backend, int64_t now_us)
{
  uint32_t slots = backend->registry.slots > 0 ? backend->registry.slots : 1;

  return (double) load_of (backend, now_us) / slots;
}

/// The less used one of two backend servers drawn at random, in or outside of the own failure
/// domain. Loads on other daemons are older than most plain requests run, so that with the least
/// used of all every daemon would choose the same one until it hears of the others' requests.
static TtBackendServer *
draw_by_load (TtBoard *board, const TtRequest *request, bool local, double limit, int64_t now_us)
{
  TtBackendServer *drawn[2] = { NULL, NULL };
  uint64_t seen = 0;

  TT_LIST_FOREACH (&request->pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      uint64_t place = seen;

      if ((backend->domain_id == board->domain_id) != local || load_of (backend, now_us) > limit
          || !may_take (board, request, backend, now_us))
        continue;
      seen++;
      if (place >= 2)
        place = tt_rng_below (&board->rng, seen);
      if (place < 2)
        drawn[place] = backend;
    }
  if (drawn[1] == NULL || used_part (drawn[0], now_us) <= used_part (drawn[1], now_us))
    return drawn[0];
  return drawn[1];
}

/// A backend server of a plain service with little load for its slots, in the own failure domain if
/// that has room; the least loaded one if all are above the bound.
static TtBackendServer *
choose_by_load (TtBoard *board, TtRequest *request, int64_t now_us)
{
  double limit = load_limit (board, request->pool, now_us);
  TtBackendServer *near = draw_by_load (board, request, true, limit, now_us);
  TtBackendServer *far = draw_by_load (board, request, false, limit, now_us);

  request->place.reason = TT_PLACE_LEAST_LOAD;
  if (near == NULL && far == NULL)
    return choose_least (board, request, now_us);
  if (near == NULL || far == NULL)
    return near != NULL ? near : far;
  return used_part (near, now_us) <= used_part (far, now_us) + LOCAL_PART ? near : far;
}

static TtBackendServer *
choose (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtBackendServer *backend;

  if (request->route.affinity && request->spec.chat_key != 0)
    backend = choose_by_prompt (board, request, now_us);
  else
    backend = choose_by_load (board, request, now_us);
  if (backend == NULL)
    backend = choose_last (request, now_us);
  // With every other backend server out of service, one that failed before gets a second try.
  if (backend == NULL && request->recovery.tried_count > 0 && request->attempts.count == 0
      && !request->dispatch.second_round)
    {
      request->dispatch.second_round = true;
      request->recovery.tried_count = 0;
      return choose (board, request, now_us);
    }
  return backend;
}

static void
refuse (TtBoard *board, TtRequest *request)
{
  TtError error = { 0 };
  bool ran = request->recovery.runs > 0;

  (void) tt_error_set (&error, TT_E_UNAVAILABLE, TT_STEP_PLACE, request->spec.service,
                       "no backend server can take the request");
  tt_board_count (board, TT_COUNT_SHED, 1);
  (void) tt_request_finish (board, request,
                            request->relayed ? TT_OUTCOME_CUT
                            : ran            ? TT_OUTCOME_UNKNOWN
                                             : TT_OUTCOME_NOT_RUN,
                            ran ? 502 : 503, RETRY_MS, &error);
}

/// Opens an attempt and logs what decided it.
static bool
open_attempt (TtBoard *board, TtRequest *request, TtBackendServer *backend, bool beside,
              int64_t now_us)
{
  static const char *const reasons[]
      = { "none", "ranking", "holder", "hint", "overflow", "spill", "least_load" };
  const TtDispatchBackend *dispatch = &backend->dispatch;
  uint32_t load = load_of (backend, now_us);

  if (tt_attempt_new (board, request, backend, beside, now_us) == NULL)
    return false;
  (void) snprintf (request->last_backend, sizeof request->last_backend, "%s", backend->name);
  tt_board_log (
      board, beside ? TT_LOG_ATTEMPT_BESIDE : TT_LOG_REQUEST_PLACED,
      "request=%s service=%s backend=%s reason=%s load=%u others=%u sample_age_ms=%lld "
      "prompt=%016llx shared_tokens=%u table=%llu servers_revision=%llu",
      request->spec.label, request->spec.service, backend->name, reasons[request->place.reason],
      load, backend->fleet.others,
      dispatch->sampled_us != 0 ? (long long) ((now_us - dispatch->sampled_us) / TT_MILLISECOND_US)
                                : -1LL,
      (unsigned long long) request->spec.prefix_key, request->spec.shared_tokens,
      (unsigned long long) request->route.version, (unsigned long long) board->registry.revision);
  return true;
}

/// Looks for a backend server; refuses the request when it has waited too long for one.
static void
place (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtBackendServer *backend = choose (board, request, now_us);
  int64_t wait_us = request->route.goal_ms * TT_MILLISECOND_US / WAIT_PART;

  if (backend != NULL && open_attempt (board, request, backend, false, now_us))
    {
      request->dispatch.waiting_us = 0;
      return;
    }
  if (request->dispatch.waiting_us == 0)
    request->dispatch.waiting_us = now_us;
  if (now_us - request->dispatch.waiting_us >= (wait_us > WAIT_LEAST_US ? wait_us : WAIT_LEAST_US))
    refuse (board, request);
}

/// Opens second attempts that `recovery` wants.
static void
place_hedges (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_RUNNING], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);
      TtBackendServer *backend;

      if (!request->recovery.hedge_wanted)
        continue;
      request->recovery.hedge_wanted = false;
      board->recovery.hedges_wanted--;
      backend = choose (board, request, now_us);
      if (backend != NULL && open_attempt (board, request, backend, true, now_us))
        tt_board_count (board, TT_COUNT_HEDGES, 1);
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAttempt *attempt;

  (void) context;
  if ((event->type != TT_EVENT_ATTEMPT_PROGRESS && event->type != TT_EVENT_ATTEMPT_DONE)
      || !event->attempt.load.known)
    return;
  attempt = tt_attempt_find (board, event->attempt.attempt_id);
  // The head of the answer states the load; later parts repeat it.
  if (attempt == NULL || attempt->tokens > 0)
    return;
  attempt->backend->dispatch.sample = event->attempt.load;
  attempt->backend->dispatch.sampled_us = now_us;
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_ARRIVED], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      if (request->poison.checked)
        tt_request_set_stage (board, request, TT_STAGE_READY);
    }
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_READY], it)
    place (board, TT_CONTAINER_OF (it, TtRequest, stage_link), now_us);
  if (board->recovery.hedges_wanted > 0)
    place_hedges (board, now_us);
}

TtController
tt_dispatch_controller (void)
{
  return (TtController){ .name = "dispatch",
                         .open = open_dispatch,
                         .close = close_dispatch,
                         .on_event = on_event,
                         .run = run };
}
