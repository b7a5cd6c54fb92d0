#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/moved_chats.h"
#include "tarragontrack/control/rank.h"
#include "tarragontrack/control/slot.h"
#include <stdlib.h>

/// Timeout of a wait for a slot owner, after which the next engine of the ranking is tried: the
/// time to compute 400 prompt tokens, and enough for two retransmissions of a lost slot request.
#define OWNER_WAIT_TIMEOUT_US (40 * TT_MILLISECOND_US)
/// Slot owners that a request waits for, one after the other, before it takes any free slot.
#define MAX_OWNER_WAITS 2
/// Minimum time from a request's arrival until it spills over from the daemon's own failure domain.
#define MIN_SPILL_WAIT_US (100 * TT_MILLISECOND_US)
/// Time to prefill a token, and to transfer the KV cache of a token inside a failure domain and
/// between two of them. Each transfer also has a fixed cost.
#define PREFILL_TOKEN_US 100
#define KV_LOCAL_TOKEN_US 40
#define KV_REMOTE_TOKEN_US 80
#define KV_FIXED_US (20 * TT_MILLISECOND_US)

/// State of one placement decision.
typedef struct
{
  TtBoard *board;
  TtRequest *request;
  int64_t now_us;
  TtRanking ranking;
  TtBackendServer *preferred; ///< backend server that last served the chat; NULL if unknown
  TtPlaceReason preferred_reason;
  uint64_t home_id;          ///< first backend server of the ranking; 0 if the ranking is empty
  bool skip_failed_backends; ///< the pool has a usable backend server on which no attempt failed
} Decision;

/// True if the backend server runs a request that is suspected of having crashed an engine.
static bool
runs_suspect_request (const TtBackendServer *backend)
{
  TT_LIST_FOREACH (&backend->attempts, it)
    if (TT_CONTAINER_OF (it, TtAttempt, backend_link)->request->poison.suspect)
      return true;
  return false;
}

/// True if the request may run on the backend server, regardless of free slots.
static bool
is_eligible (const Decision *decision, const TtBackendServer *backend)
{
  const TtRequest *request = decision->request;

  if (!tt_slot_is_usable (backend) || backend->pool != request->pool)
    return false;
  if (decision->skip_failed_backends
          ? tt_slot_was_tried (request, backend)
          : request->pool->place.count > 1 && tt_slot_failed_last (request, backend))
    return false;
  if (request->length.is_long && request->pool->spec.type == TT_SERVICE_MODEL
      && backend->share.long_used >= tt_slot_long_limit (decision->board, backend))
    return false;
  return !request->poison.suspect || !runs_suspect_request (backend);
}

/// True if this daemon has a free slot on the backend server. While the slot owner is unreachable,
/// one request may run on the first one of the ranking even if tt_slot_fallback_limit() is 0.
static bool
has_free_slot (const Decision *decision, const TtBackendServer *backend)
{
  if (tt_slot_idle (backend, decision->now_us) > 0)
    return true;
  return backend->share.uses_fallback && backend->id == decision->home_id
         && backend->attempts.count == 0;
}

/// Ends the request's wait for a slot owner, the daemon that grants a backend server's slots.
static void
cancel_owner_wait (TtBoard *board, TtRequest *request)
{
  TtBackendServer *backend;

  if (request->place.owner_wait_id == 0)
    return;
  backend = tt_backend_find (board, request->place.owner_wait_id);
  request->place.owner_wait_id = 0;
  if (backend == NULL || backend->place.waiting_requests == 0)
    return;
  backend->place.waiting_requests--;
  if (backend->place.waiting_requests == 0)
    tt_list_remove (&board->place.awaited_backends, &backend->place.awaited_link);
}

/// Starts a wait for the slot owner; the controller `share` sends a slot request in the next pass.
static void
start_owner_wait (const Decision *decision, TtBackendServer *backend)
{
  TtPlaceRequest *place = &decision->request->place;

  place->owner_wait_id = backend->id;
  place->owner_wait_until_us = decision->now_us + OWNER_WAIT_TIMEOUT_US;
  place->owner_waits++;
  backend->place.waiting_requests++;
  if (!tt_link_is_linked (&backend->place.awaited_link))
    tt_list_append (&decision->board->place.awaited_backends, &backend->place.awaited_link);
  decision->board->dirty = true;
}

/// Requests a KV cache transfer from Decision.preferred if that is faster than a new prefill.
static void
request_kv_transfer (const Decision *decision, const TtBackendServer *to)
{
  const TtBackendServer *from = decision->preferred;
  const TtRequest *request = decision->request;
  int64_t tokens = request->spec.prompt_tokens;
  TtAction *action;

  if (from == NULL || from == to || from->roster.state == TT_BACKEND_GONE
      || request->pool->spec.type != TT_SERVICE_MODEL)
    return;
  if (KV_FIXED_US
          + tokens * (from->domain_id == to->domain_id ? KV_LOCAL_TOKEN_US : KV_REMOTE_TOKEN_US)
      >= tokens * PREFILL_TOKEN_US)
    return;
  action = tt_board_append_action (decision->board, TT_ACTION_KV_TRANSFER);
  if (action != NULL)
    action->kv = (TtKvAction){ .chat_key = request->spec.chat_key,
                               .from_backend_id = from->id,
                               .to_backend_id = to->id };
}

/// Why the backend server was chosen; see TtPlaceReason.
static TtPlaceReason
placement_reason (const Decision *decision, const TtBackendServer *backend)
{
  if (decision->request->pool->spec.type == TT_SERVICE_PLAIN)
    return TT_PLACE_LEAST_LOAD;
  if (backend->domain_id != decision->board->domain_id)
    return TT_PLACE_SPILL;
  if (backend->id == decision->home_id)
    return TT_PLACE_HOME;
  return backend == decision->preferred ? decision->preferred_reason : TT_PLACE_OVERFLOW;
}

/// Updates the table of moved chats and the placement counters.
static void
record_placement (const Decision *decision, const TtBackendServer *backend)
{
  TtBoard *board = decision->board;
  uint64_t chat_key = decision->request->spec.chat_key;

  if (decision->request->pool->spec.type != TT_SERVICE_MODEL)
    return;
  if (backend->id == decision->home_id)
    {
      tt_board_counter_add (board, TT_COUNT_PLACED_HOME, 1);
      tt_moved_chats_remove (board, chat_key, 0);
      return;
    }
  tt_board_counter_add (board, TT_COUNT_PLACED_MOVED, 1);
  if (backend->domain_id != board->domain_id)
    tt_board_counter_add (board, TT_COUNT_PLACED_SPILL, 1);
  tt_moved_chats_set (board, chat_key, backend->id, decision->now_us);
}

/// Opens an attempt on the backend server.
static bool
open_attempt (const Decision *decision, TtBackendServer *backend)
{
  TtRequest *request = decision->request;
  TtPlaceRequest *place = &request->place;
  uint32_t rank = 0;

  while (rank < decision->ranking.count
         && decision->ranking.items[rank].candidate->backend != backend)
    rank++;
  if (tt_attempt_new (decision->board, request, backend, false, decision->now_us) == NULL)
    return false;
  place->reason = placement_reason (decision, backend);
  place->rank = rank;
  place->home_id = decision->home_id;
  backend->share.long_used += request->length.is_long;
  request_kv_transfer (decision, backend);
  record_placement (decision, backend);
  return true;
}

/// Opens an attempt or starts a wait for the slot owner. RETURN true if either was started.
static bool
try_backend (const Decision *decision, TtBackendServer *backend)
{
  if (!is_eligible (decision, backend))
    return false;
  if (has_free_slot (decision, backend))
    return open_attempt (decision, backend);
  if (decision->request->place.owner_waits >= MAX_OWNER_WAITS
      || !tt_slot_can_request (backend, decision->now_us))
    return false;
  start_owner_wait (decision, backend);
  return true;
}

/// Tries all candidates, not only those in the ranking: opens an attempt on the best one with a
/// free slot, or else starts a wait for the slot owner of the best one that may get a slot.
static bool
try_all_candidates (const Decision *decision, const TtCandidateRange *candidates)
{
  TtBackendServer *best = NULL;
  TtBackendServer *leasable = NULL;
  double best_cost = 0.0;
  double leasable_cost = 0.0;

  for (uint32_t i = 0; i < candidates->count; i++)
    {
      TtBackendServer *backend = candidates->items[i].backend;
      bool idle = tt_slot_idle (backend, decision->now_us) > 0;
      double cost;

      // Allows one request on each remote engine whose slot owner is unreachable. No effect at
      // present: `share` sets uses_fallback only in the daemon's own failure domain.
      idle |= backend->share.uses_fallback && backend->domain_id != decision->board->domain_id
              && backend->attempts.count == 0;

      if ((!idle && !tt_slot_can_request (backend, decision->now_us))
          || !is_eligible (decision, backend))
        continue;
      cost = tt_rank_cost (decision->request->spec.chat_key, candidates, i);
      if (idle && (best == NULL || cost < best_cost))
        {
          best = backend;
          best_cost = cost;
        }
      else if (!idle && (leasable == NULL || cost < leasable_cost))
        {
          leasable = backend;
          leasable_cost = cost;
        }
    }
  if (best != NULL)
    return open_attempt (decision, best);
  if (leasable == NULL)
    return false;
  start_owner_wait (decision, leasable);
  return true;
}

/// Time from a request's arrival until it may spill over: the mean time to the first token in other
/// failure domains minus that in the daemon's own, plus a new prefill; at least MIN_SPILL_WAIT_US.
static int64_t
spill_wait_us (const Decision *decision)
{
  const TtPlacePool *pool = &decision->request->pool->place;
  const TtCandidate *candidates = &decision->board->place.candidates[pool->first_candidate];
  double sums[2] = { 0.0, 0.0 };
  uint32_t counts[2] = { 0, 0 };
  double wait_us = (double) decision->request->spec.prompt_tokens * PREFILL_TOKEN_US;

  for (uint32_t i = 0; i < pool->count; i++)
    if (candidates[i].backend->health.first_token_us > 0.0)
      {
        sums[i >= pool->local_count] += candidates[i].backend->health.first_token_us;
        counts[i >= pool->local_count]++;
      }
  if (counts[0] > 0 && counts[1] > 0)
    wait_us += sums[1] / counts[1] - sums[0] / counts[0];
  return wait_us > (double) MIN_SPILL_WAIT_US ? (int64_t) wait_us : MIN_SPILL_WAIT_US;
}

/// Tries the remote candidates if the request has waited long enough or there are no local ones.
static bool
try_spill (Decision *decision)
{
  const TtRequest *request = decision->request;
  TtCandidateRange remote = tt_rank_candidates (decision->board, request->pool, false);
  const TtPlacePool *pool = &request->pool->place;

  if (pool->count == pool->local_count)
    return false;
  if (pool->local_count > 0 && decision->now_us - request->arrived_us < spill_wait_us (decision))
    return false;
  decision->request->place.owner_waits = 0;
  return try_all_candidates (decision, &remote);
}

/// Sets Decision.preferred from the caller's hint, or else from the table of moved chats.
static void
find_preferred (Decision *decision)
{
  TtRequest *request = decision->request;
  uint64_t id = request->spec.route_hint;

  decision->preferred_reason = TT_PLACE_HINT;
  if (id == 0)
    {
      id = tt_moved_chats_find (decision->board, request->spec.chat_key, decision->now_us);
      decision->preferred_reason = TT_PLACE_MOVED;
    }
  if (id == 0)
    return;
  decision->preferred = tt_backend_find (decision->board, id);
  if (decision->preferred != NULL && decision->preferred->pool != request->pool)
    decision->preferred = NULL;
}

/// Tries to place one READY request.
static void
try_place (TtBoard *board, TtRequest *request, int64_t now_us)
{
  const TtPool *pool = request->pool;
  TtCandidateRange local = tt_rank_candidates (board, pool, true);
  Decision decision = { .board = board,
                        .request = request,
                        .now_us = now_us,
                        .skip_failed_backends = tt_slot_has_untried (request) };
  uint64_t key = request->spec.chat_key != 0 ? request->spec.chat_key : request->spec.request_id;

  if (pool->spec.type == TT_SERVICE_PLAIN)
    tt_rank_by_load (&local, request->spec.request_id, &decision.ranking);
  else
    {
      tt_rank_by_chat (&local, key, request->spec.prefix_key, pool->spec.prefix_spread,
                       &decision.ranking);
      find_preferred (&decision);
    }
  if (decision.ranking.count > 0)
    decision.home_id = decision.ranking.items[0].candidate->id;
  if (decision.preferred != NULL && decision.preferred->domain_id == board->domain_id
      && try_backend (&decision, decision.preferred))
    return;
  for (uint32_t i = 0; i < decision.ranking.count; i++)
    if (try_backend (&decision, decision.ranking.items[i].candidate->backend))
      return;
  if (try_all_candidates (&decision, &local))
    return;
  (void) try_spill (&decision);
}

/// Finishes a request that was not placed before its start deadline.
static void
finish_expired (TtBoard *board, TtRequest *request)
{
  TtError error = { 0 };
  TtOutcome outcome = TT_OUTCOME_NOT_RUN;

  // A previous attempt may have run.
  if (request->attempt_count > 0)
    outcome = request->relayed ? TT_OUTCOME_CUT : TT_OUTCOME_UNKNOWN;
  (void) tt_error_set (&error, TT_E_LIMIT, TT_STEP_PLACE, request->spec.service,
                       "no backend server had room before the deadline");
  (void) tt_request_finish (board, request, outcome, 503, 1000, &error);
}

/// True if a placement may succeed although the previous one did not.
static bool
may_succeed_now (TtBoard *board, const TtRequest *request, int64_t now_us)
{
  const TtBackendServer *backend;

  if (request->retry.not_before_us > now_us)
    return false;
  if (!request->place.placement_tried)
    return true;
  if (request->place.owner_wait_id == 0)
    return request->pool->share.idle_slots > 0 || request->pool->share.free_slots > 0
           || request->pool->place.count > request->pool->place.local_count;
  backend = tt_backend_find (board, request->place.owner_wait_id);
  return backend == NULL || now_us >= request->place.owner_wait_until_us
         || tt_slot_idle (backend, now_us) > 0 || !tt_slot_is_usable (backend)
         || (backend->share.request_sequence == 0 && !tt_slot_can_request (backend, now_us));
}

/// Places one READY request if a placement may succeed now.
static void
place_request (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtPool *pool = request->pool;

  if (may_succeed_now (board, request, now_us))
    {
      cancel_owner_wait (board, request);
      if (!request->place.placement_tried)
        {
          request->place.placement_tried = true;
          request->place.owner_waits = 0;
          pool->place.waiting_requests++;
          board->dirty = true;
        }
      try_place (board, request, now_us);
    }
  if (request->stage != TT_STAGE_READY)
    {
      request->place.placement_tried = false;
      pool->place.waiting_requests -= pool->place.waiting_requests > 0;
    }
  else if (now_us >= request->start_deadline_us)
    finish_expired (board, request);
}

/// Cancels the wait for a slot owner if a request finishes before it is placed.
static void
on_finished (void *context, TtBoard *board, TtRequest *request, int64_t now_us)
{
  (void) context;
  (void) now_us;
  cancel_owner_wait (board, request);
  if (request->place.placement_tried && request->pool != NULL)
    request->pool->place.waiting_requests -= request->pool->place.waiting_requests > 0;
  request->place.placement_tried = false;
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  const TtCacheEvent *cache = &event->cache;

  (void) context;
  if (event->type != TT_EVENT_CACHE_UPDATE)
    return;
  // Cache events are delayed and may be lost, so they only correct existing entries.
  if (!cache->stored)
    tt_moved_chats_remove (board, cache->chat_key, cache->backend_id);
  else if (tt_moved_chats_find (board, cache->chat_key, now_us) != 0)
    tt_moved_chats_set (board, cache->chat_key, cache->backend_id, now_us);
}

/// First of the untried requests at the end of the list; the list's head if there are none.
static TtLink *
find_first_untried (TtList *ready)
{
  TtLink *link = &ready->head;

  while (link->prev != &ready->head
         && !TT_CONTAINER_OF (link->prev, TtRequest, stage_link)->place.placement_tried)
    link = link->prev;
  return link;
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtPlaceSection *section = &board->place;
  TtList *ready = &board->requests.stages[TT_STAGE_READY];
  bool tick = now_us - section->collected_us >= TT_TICK_INTERVAL_US;
  TtLink *link;

  (void) context;
  if (tick || section->collected_backends != board->backends.all.count
      || section->collected_pools != board->backends.pools.count)
    tt_rank_collect_candidates (board, now_us);
  if (ready->count == 0)
    return;
  // Requests that found no slot are retried only if a slot may have become free.
  link = tick || section->share_version != board->share.version ? ready->head.next
                                                                : find_first_untried (ready);
  section->share_version = board->share.version;
  while (link != &ready->head)
    {
      TtLink *next = link->next;

      place_request (board, TT_CONTAINER_OF (link, TtRequest, stage_link), now_us);
      link = next;
    }
}

static int
open_place (void *context, TtBoard *board)
{
  (void) context;
  board->place.candidates = calloc (TT_MAX_BACKENDS, sizeof *board->place.candidates);
  board->place.mixed_ids = calloc (TT_MAX_BACKENDS, sizeof *board->place.mixed_ids);
  if (board->place.candidates == NULL || board->place.mixed_ids == NULL)
    return TT_E_NO_MEMORY;
  return tt_moved_chats_open (board);
}

static void
close_place (void *context, TtBoard *board)
{
  (void) context;
  free (board->place.candidates);
  free (board->place.mixed_ids);
  tt_moved_chats_close (board);
}

TtController
tt_place_controller (void)
{
  return (TtController){ .name = "place",
                         .open = open_place,
                         .close = close_place,
                         .on_event = on_event,
                         .run = run,
                         .on_finished = on_finished };
}
