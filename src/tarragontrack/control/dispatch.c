#include "tarragontrack/control/dispatch.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/breaker.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/fleet.h"
#include "tarragontrack/control/prefix_table.h"
#include "tarragontrack/control/retry_after.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/// The bound on a backend server's load is a configured multiple of the mean load, plus this
/// constant.
#define LOAD_SLACK 3.0

/// Margin below the bound, because several daemons may send requests to the same backend server
/// before they receive each other's load reports. It is RESERVE_FACTOR times the square root of
/// mean load times age of the reports, by which such a load typically grows in that time, but at
/// least MIN_RESERVE requests.
#define MIN_RESERVE 1.0
#define RESERVE_FACTOR 0.75

/// The margin leaves at least this fraction of the range between the mean load and its configured
/// multiple usable, however old the load reports are.
#define MIN_USABLE_FRACTION 0.5

/// Time for which a load reported by the backend server is used. Later, the sum of the daemons'
/// requests is the better estimate.
#define LOAD_SAMPLE_TTL_US (300 * TT_MILLISECOND_US)

/// A request waits for a backend server for at most this part of its caller's time. A caller that
/// is rejected then still has the time to come back and to be served.
#define MAX_WAIT_FRACTION (1.0 / 3.0)

/// Difference in slot utilization up to which a plain backend server of this daemon's failure
/// domain is preferred.
#define LOCAL_PREFERENCE_MARGIN 0.5

static int
open_dispatch (void *context, TtBoard *board)
{
  (void) context;
  return tt_prefix_table_open (&board->dispatch);
}

static void
close_dispatch (void *context, TtBoard *board)
{
  (void) context;
  free (board->dispatch.prefix_table);
}

uint32_t
tt_dispatch_estimate_load (const TtBackendServer *backend, int64_t now_us)
{
  const TtDispatchBackend *dispatch = &backend->dispatch;
  uint32_t sum = backend->attempts.count + backend->fleet.peer_requests;
  uint32_t reported = dispatch->sample.running + dispatch->sample.waiting;

  return dispatch->sampled_us != 0 && now_us - dispatch->sampled_us < LOAD_SAMPLE_TTL_US
                 && reported > sum
             ? reported
             : sum;
}

static bool
was_tried (const TtRequest *request, const TtBackendServer *backend)
{
  uint32_t count = request->recovery.tried_count < TT_RETRY_MAX_TRIED
                       ? request->recovery.tried_count
                       : TT_RETRY_MAX_TRIED;

  for (uint32_t i = 0; i < count; i++)
    if (request->recovery.tried[i] == backend->id)
      return true;
  TT_LIST_FOREACH (&request->attempts, it)
    if (TT_CONTAINER_OF (it, TtAttempt, request_link)->backend == backend)
      return true;
  return false;
}

/// True if the request and another one on the backend server are both suspected of crashing backend
/// servers. Apart, the next crash shows which of them is sound.
static bool
runs_other_suspect (const TtRequest *request, const TtBackendServer *backend)
{
  if (!request->poison.suspect)
    return false;
  TT_LIST_FOREACH (&backend->attempts, it)
    {
      const TtRequest *other = TT_CONTAINER_OF (it, TtAttempt, backend_link)->request;

      if (other != request && other->poison.suspect)
        return true;
    }
  return false;
}

static bool
is_eligible (const TtBoard *board, const TtRequest *request, const TtBackendServer *backend,
             int64_t now_us)
{
  return tt_backend_accepts (backend, now_us) && tt_breaker_allows (board, backend, now_us)
         && !was_tried (request, backend)
         && (request->dispatch.joins_suspects || !runs_other_suspect (request, backend));
}

/// The least loaded backend server that still responds to some requests; used if the circuit
/// breakers allow none.
static TtBackendServer *
choose_last_resort (const TtRequest *request, int64_t now_us)
{
  TtBackendServer *best = NULL;

  TT_LIST_FOREACH (&request->pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (!tt_backend_accepts (backend, now_us) || !tt_breaker_allows_last_resort (backend)
          || was_tried (request, backend))
        continue;
      if (best == NULL
          || tt_dispatch_estimate_load (backend, now_us) < tt_dispatch_estimate_load (best, now_us))
        best = backend;
    }
  return best;
}

/// The least loaded eligible backend server.
static TtBackendServer *
choose_least_loaded (const TtBoard *board, const TtRequest *request, int64_t now_us)
{
  TtBackendServer *best = NULL;

  TT_LIST_FOREACH (&request->pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (is_eligible (board, request, backend, now_us)
          && (best == NULL
              || tt_dispatch_estimate_load (backend, now_us)
                     < tt_dispatch_estimate_load (best, now_us)))
        best = backend;
    }
  return best;
}

/// Highest load at which a backend server of the pool accepts one more request.
static double
load_limit (const TtBoard *board, const TtPool *pool, int64_t now_us)
{
  double factor = board->config.bounds.load_factor;
  double mean;
  double reserve;
  double limit;
  double least;
  uint32_t live = 0;
  uint32_t sum = 1; // includes the request being placed

  TT_LIST_FOREACH (&pool->backends, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (backend->roster.state != TT_BACKEND_LIVE)
        continue;
      live++;
      sum += tt_dispatch_estimate_load (backend, now_us);
    }
  if (live == 0)
    return 0.0;
  mean = (double) sum / live;
  reserve = RESERVE_FACTOR * sqrt (mean * tt_fleet_staleness (board));
  limit = factor * mean + LOAD_SLACK - (reserve > MIN_RESERVE ? reserve : MIN_RESERVE);
  least = mean + MIN_USABLE_FRACTION * (factor - 1.0) * mean;
  return limit > least ? limit : least;
}

/// The engine that ranks highest for a prompt among the eligible ones whose load does not exceed
/// the limit; the least loaded eligible one if all exceed it. All daemons compute the same ranking.
static TtBackendServer *
choose_by_rank (const TtBoard *board, const TtRequest *request, uint64_t key, double limit,
                int64_t now_us)
{
  TtBackendServer *best = NULL;
  double best_score = 0.0;

  TT_LIST_FOREACH (&request->pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      double score = tt_hash_rendezvous_score (key, backend->id, 1.0);

      if ((best != NULL && score <= best_score)
          || tt_dispatch_estimate_load (backend, now_us) > limit
          || !is_eligible (board, request, backend, now_us))
        continue;
      best = backend;
      best_score = score;
    }
  return best != NULL ? best : choose_least_loaded (board, request, now_us);
}

/// Sets the engine from which the chosen engine can copy the shared prompt prefix: the holder of
/// the whole prefix, or else the holder of its first part. Copying the KV cache costs less than a
/// new prefill. No source is set if the chosen engine is the holder itself.
static void
set_prefix_source (TtBoard *board, TtRequest *request, uint64_t key, const TtBackendServer *backend,
                   int64_t now_us)
{
  const TtBackendServer *source = tt_prefix_table_copy_source (board, key, now_us);

  if (source == NULL && request->spec.first_part_key != 0)
    source = tt_prefix_table_copy_source (board, request->spec.first_part_key, now_us);
  if (source != NULL && source != backend && source->pool == request->pool)
    request->dispatch.prefix_source_id = source->id;
}

/// The engine that holds the request's shared prompt prefix, or else the highest-ranked engine. A
/// holder that is above the load limit or not eligible at the moment stays in the prefix table,
/// because it keeps its KV cache and can run later requests with this prefix. If the prefix has no
/// holder, the chosen engine becomes its holder.
static TtBackendServer *
choose_by_prompt (TtBoard *board, TtRequest *request, int64_t now_us)
{
  uint64_t key = request->spec.prefix_key != 0 ? request->spec.prefix_key : request->spec.chat_key;
  double limit = load_limit (board, request->pool, now_us);
  TtBackendServer *holder = tt_prefix_table_find (board, key, now_us);
  TtBackendServer *backend;

  request->dispatch.prefix_source_id = 0;

  if (holder != NULL && holder->pool != request->pool)
    holder = NULL;
  if (holder != NULL && is_eligible (board, request, holder, now_us)
      && tt_dispatch_estimate_load (holder, now_us) <= limit)
    {
      request->place.reason = TT_PLACE_MOVED;
      return holder;
    }
  backend = choose_by_rank (board, request, key, limit, now_us);
  request->place.reason = holder == NULL ? TT_PLACE_HOME : TT_PLACE_OVERFLOW;
  if (backend == NULL)
    return NULL;
  set_prefix_source (board, request, key, backend, now_us);
  if (holder == NULL)
    tt_prefix_table_set (board, key, backend, now_us);
  if (request->spec.first_part_key != 0
      && tt_prefix_table_find (board, request->spec.first_part_key, now_us) == NULL)
    tt_prefix_table_set (board, request->spec.first_part_key, backend, now_us);
  return backend;
}

/// Fraction of a plain backend server's slots in use.
static double
slot_utilization (const TtBackendServer *backend, int64_t now_us)
{
  uint32_t slots = backend->registry.slots > 0 ? backend->registry.slots : 1;

  return (double) tt_dispatch_estimate_load (backend, now_us) / slots;
}

/// Power of two choices: draws two eligible backend servers at random, inside or outside this
/// daemon's failure domain, and returns the one with the lower utilization. Load reports of other
/// daemons are older than the duration of most plain requests. If every daemon chose the least
/// utilized backend server of all, they would all choose the same one until they received each
/// other's reports.
static TtBackendServer *
choose_of_two (TtBoard *board, const TtRequest *request, bool local, double limit, int64_t now_us)
{
  TtBackendServer *drawn[2] = { NULL, NULL };
  uint64_t seen = 0;

  TT_LIST_FOREACH (&request->pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      uint64_t sample_index = seen;

      if ((backend->domain_id == board->domain_id) != local
          || tt_dispatch_estimate_load (backend, now_us) > limit
          || !is_eligible (board, request, backend, now_us))
        continue;
      seen++;
      if (sample_index >= 2)
        sample_index = tt_rng_below (&board->rng, seen);
      if (sample_index < 2)
        drawn[sample_index] = backend;
    }
  if (drawn[1] == NULL
      || slot_utilization (drawn[0], now_us) <= slot_utilization (drawn[1], now_us))
    return drawn[0];
  return drawn[1];
}

/// A backend server of a plain service with low slot utilization, preferably in this daemon's
/// failure domain; the least loaded one if all are above the load limit.
static TtBackendServer *
choose_by_load (TtBoard *board, TtRequest *request, int64_t now_us)
{
  double limit = load_limit (board, request->pool, now_us);
  TtBackendServer *local_choice = choose_of_two (board, request, true, limit, now_us);
  TtBackendServer *remote_choice = choose_of_two (board, request, false, limit, now_us);

  request->place.reason = TT_PLACE_LEAST_LOAD;
  if (local_choice == NULL && remote_choice == NULL)
    return choose_least_loaded (board, request, now_us);
  if (local_choice == NULL || remote_choice == NULL)
    return local_choice != NULL ? local_choice : remote_choice;
  return slot_utilization (local_choice, now_us)
                 <= slot_utilization (remote_choice, now_us) + LOCAL_PREFERENCE_MARGIN
             ? local_choice
             : remote_choice;
}

static TtBackendServer *
choose_backend (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtBackendServer *backend;

  if (request->route.affinity && request->spec.chat_key != 0)
    backend = choose_by_prompt (board, request, now_us);
  else
    backend = choose_by_load (board, request, now_us);
  if (backend == NULL && request->poison.suspect && !request->dispatch.joins_suspects)
    {
      request->dispatch.joins_suspects = true;
      return choose_backend (board, request, now_us);
    }
  if (backend == NULL)
    backend = choose_last_resort (request, now_us);
  // If no other backend server is available, one on which the request failed gets a second try.
  if (backend == NULL && request->recovery.tried_count > 0 && request->attempts.count == 0
      && !request->dispatch.second_round)
    {
      request->dispatch.second_round = true;
      request->recovery.tried_count = 0;
      return choose_backend (board, request, now_us);
    }
  return backend;
}

static void
reject (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtError error = { 0 };
  bool ran = request->recovery.runs > 0;

  (void) tt_error_set (&error, TT_E_UNAVAILABLE, TT_STEP_PLACE, request->spec.service,
                       "no backend server can take the request");
  tt_board_counter_add (board, TT_COUNT_SHED, 1);
  (void) tt_request_finish (
      board, request,
      request->relayed ? TT_OUTCOME_CUT
      : ran            ? TT_OUTCOME_UNKNOWN
                       : TT_OUTCOME_NOT_RUN,
      ran ? 502 : 503,
      ran ? 0 : tt_retry_after_pool_ms (board, request->pool, request->priority, now_us), &error);
}

/// Opens an attempt and logs the inputs of the placement decision.
static bool
open_attempt (TtBoard *board, TtRequest *request, TtBackendServer *backend, bool is_hedge,
              int64_t now_us)
{
  static const char *const reasons[]
      = { "none", "ranking", "holder", "hint", "overflow", "spill", "least_load" };
  const TtDispatchBackend *dispatch = &backend->dispatch;
  uint32_t load = tt_dispatch_estimate_load (backend, now_us);

  if (tt_attempt_new (board, request, backend, is_hedge, now_us) == NULL)
    return false;
  (void) snprintf (request->last_backend, sizeof request->last_backend, "%s", backend->name);
  tt_board_log (board, is_hedge ? TT_LOG_ATTEMPT_BESIDE : TT_LOG_REQUEST_PLACED,
                "request=%s service=%s backend=%s reason=%s load=%u others=%u sample_age_ms=%lld "
                "prompt=%016llx shared_tokens=%u table=%llu servers_revision=%llu",
                request->spec.external_id, request->spec.service, backend->name,
                reasons[request->place.reason], load, backend->fleet.peer_requests,
                dispatch->sampled_us != 0
                    ? (long long) ((now_us - dispatch->sampled_us) / TT_MILLISECOND_US)
                    : -1LL,
                (unsigned long long) request->spec.prefix_key, request->spec.shared_tokens,
                (unsigned long long) request->route.table_version,
                (unsigned long long) board->registry.point.revision);
  return true;
}

/// Latest time until which a request waits for a backend server. A stream that has begun waits
/// until its deadline, because its caller cannot be told when to return.
static int64_t
wait_limit_us (const TtRequest *request)
{
  int64_t deadline_us = request->route.deadline_us;

  if (request->relayed)
    return deadline_us;
  if (deadline_us == INT64_MAX)
    return request->arrived_us + request->route.goal_ms * TT_MILLISECOND_US;
  return request->arrived_us
         + (int64_t) ((double) (deadline_us - request->arrived_us) * MAX_WAIT_FRACTION);
}

/// True if the request would get a slot of the backend server only after its deadline.
static bool
would_start_too_late (const TtRequest *request, const TtBackendServer *backend, int64_t now_us)
{
  uint32_t load = tt_dispatch_estimate_load (backend, now_us);

  return tt_retry_after_slot_wait_us (backend, load) >= request->route.deadline_us - now_us;
}

/// Places a request, or rejects it at once if no backend server can start it in time. It waits only
/// for a backend server that is known to return in time.
static void
place_request (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtBackendServer *backend = choose_backend (board, request, now_us);
  int64_t available_us;

  if (backend != NULL && !would_start_too_late (request, backend, now_us))
    {
      if (!open_attempt (board, request, backend, false, now_us))
        reject (board, request, now_us); // all records of attempts are in use
      return;
    }
  available_us = tt_retry_after_available_us (board, request->pool, now_us);
  if (backend != NULL || available_us >= wait_limit_us (request))
    reject (board, request, now_us);
}

/// Opens the hedges (second attempts) that `recovery` requested.
static void
place_hedges (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_RUNNING], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);
      TtBackendServer *backend;

      if (!request->recovery.hedge_requested)
        continue;
      request->recovery.hedge_requested = false;
      board->recovery.requested_hedges--;
      backend = choose_backend (board, request, now_us);
      if (backend != NULL && open_attempt (board, request, backend, true, now_us))
        tt_board_counter_add (board, TT_COUNT_HEDGES, 1);
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAttempt *attempt;

  (void) context;
  if (event->type != TT_EVENT_ATTEMPT_PROGRESS && event->type != TT_EVENT_ATTEMPT_DONE)
    return;
  attempt = tt_attempt_find (board, event->attempt.attempt_id);
  if (attempt == NULL)
    return;
  if (event->type == TT_EVENT_ATTEMPT_DONE && !event->attempt.not_executed)
    tt_retry_after_add_service_time (attempt->backend->pool, now_us - attempt->dispatched_us);
  // The head of the response reports the load; later parts repeat the same value.
  if (!event->attempt.load.known || attempt->tokens > 0)
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
    place_request (board, TT_CONTAINER_OF (it, TtRequest, stage_link), now_us);
  if (board->recovery.requested_hedges > 0)
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
