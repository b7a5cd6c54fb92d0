#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/admit.h"
#include <math.h>

#define TOKENS_PER_UNIT 100.0 // fair-queueing cost of a request: 1, plus 1 per 100 predicted tokens
#define SHORT_RESERVE_SIGMAS 3.0   // standard deviations of the number of short requests
#define RELEASE_INTERVAL_GAIN 0.05 // weight of one interval between two releases in the average
/// Decay time constant of the offered load; covers several hundred requests per daemon.
#define OFFERED_LOAD_DECAY_US (40 * TT_SECOND_US)
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 30000

enum
{
  RESERVE_DIVISOR = 4,     // at most 1 / RESERVE_DIVISOR of the slots are reserved
  FLOW_SCAN_MAX = 64,      // requests of one flow to scan for a releasable one
  AGED_RELEASE_PERIOD = 16 // one of this many releases goes to an aged request
};

/// Request that contains the flow link.
static TtRequest *
request_from_link (TtLink *link)
{
  return TT_CONTAINER_OF (link, TtRequest, admit.flow_link);
}

/// Retry-After in milliseconds: the estimated time to drain the queue, with jitter so that rejected
/// callers do not retry at the same time.
static uint32_t
estimate_retry_after_ms (TtBoard *board, const TtAdmitPool *admit)
{
  double wait_ms = admit->queued * admit->release_interval_us / (double) TT_MILLISECOND_US;

  wait_ms *= 0.75 + 0.5 * tt_rng_unit (&board->rng);
  if (wait_ms < RETRY_AFTER_MIN_MS)
    return RETRY_AFTER_MIN_MS;
  return wait_ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : (uint32_t) wait_ms;
}

void
tt_admit_reject (TtBoard *board, TtRequest *request, uint32_t status, uint32_t retry_after_ms,
                 const char *reason)
{
  bool keyed = !request->idempotent && !tt_id128_is_zero (request->spec.idempotency_key);
  TtError error = { 0 };

  (void) tt_error_set (&error, TT_E_LIMIT, TT_STEP_ADMIT, request->spec.service, "%s%s", reason,
                       keyed ? "; this attempt did not run, an earlier one may have" : "");
  (void) tt_request_finish (board, request, keyed ? TT_OUTCOME_UNKNOWN : TT_OUTCOME_NOT_RUN, status,
                            retry_after_ms, &error);
}

/// Sheds a request to bound the queue.
static void
shed (TtBoard *board, TtRequest *request, const char *reason)
{
  tt_admit_dequeue (board, request);
  tt_board_counter_add (board, TT_COUNT_SHED, 1);
  // Only one in 64 sheds is logged, so that a traffic surge does not flood the log.
  if (board->counters[TT_COUNT_SHED] % 64 == 1)
    tt_board_log (board, TT_LOG_REQUEST_SHED, "service=%s account=%s priority=%u %s",
                  request->spec.service, request->spec.account, request->priority, reason);
  tt_admit_reject (board, request, 503, estimate_retry_after_ms (board, &request->pool->admit),
                   reason);
}

/// Selects the request to shed: lowest priority first, then latest finish tag.
static TtRequest *
select_shed_victim (TtBoard *board)
{
  const TtAdmitFlow *victim = NULL;

  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      const TtAdmitPool *admit = &TT_CONTAINER_OF (it, TtPool, link)->admit;
      int p = TT_PRIORITY_COUNT - 1;

      while (p > 0 && admit->queued_by_priority[p] == 0)
        p--;
      TT_LIST_FOREACH (&admit->queues[p], f)
        {
          const TtAdmitFlow *flow = TT_CONTAINER_OF (f, TtAdmitFlow, link);

          if (victim == NULL || flow->priority > victim->priority
              || (flow->priority == victim->priority
                  && tt_admit_flow_finish_tag (flow) > tt_admit_flow_finish_tag (victim)))
            victim = flow;
        }
    }
  return victim != NULL ? request_from_link (victim->requests.head.prev) : NULL;
}

/// Decays the pool's offered load and adds @cost. `share` divides the slots among daemons in
/// proportion to the offered load.
static void
update_offered_load (TtAdmitPool *admit, double cost, int64_t now_us)
{
  double age = (double) (now_us - admit->offered_decayed_us) / (double) OFFERED_LOAD_DECAY_US;

  admit->offered_load = admit->offered_load * exp (-age) + cost;
  admit->offered_decayed_us = now_us;
}

void
tt_admit_enqueue (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtAdmitPool *admit = &request->pool->admit;
  double ahead;

  request->admit.queued_us = now_us;
  tt_admit_flow_append (board, request, 1.0 + request->length.predicted_tokens / TOKENS_PER_UNIT);
  update_offered_load (admit, request->admit.cost, now_us);
  ahead = tt_admit_flow_requests_ahead (request->admit.flow);
  for (uint32_t p = 0; p < request->priority; p++)
    ahead += admit->queued_by_priority[p];
  tt_request_set_stage (board, request, TT_STAGE_QUEUED);
  if (ahead * admit->release_interval_us > (double) (request->start_deadline_us - now_us))
    shed (board, request, "the expected wait is longer than the deadline");
  else if (board->admit.queued > board->admit.max_queued)
    shed (board, select_shed_victim (board), "the queue is full");
}

void
tt_admit_dequeue (TtBoard *board, TtRequest *request)
{
  if (request->admit.flow != NULL)
    tt_admit_flow_remove (board, request, false);
}

void
tt_admit_expire (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.pools, it)
    update_offered_load (&TT_CONTAINER_OF (it, TtPool, link)->admit, 0.0, now_us);
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_QUEUED], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      if (now_us >= request->start_deadline_us)
        shed (board, request, "the deadline passed in the queue");
    }
}

/// Counts the requests of each pool that are released and not yet placed.
static void
count_unplaced (TtBoard *board)
{
  static const TtStage stages[] = { TT_STAGE_CLAIMING, TT_STAGE_READY };

  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtAdmitPool *admit = &TT_CONTAINER_OF (it, TtPool, link)->admit;

      admit->unplaced = 0;
      admit->long_unplaced = 0;
    }
  for (size_t i = 0; i < sizeof stages / sizeof stages[0]; i++)
    TT_LIST_FOREACH (&board->requests.stages[stages[i]], it)
      {
        const TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

        // `share` has already subtracted the slots that requests wait for at a slot owner.
        if (request->place.owner_wait_id == 0)
          request->pool->admit.unplaced++;
        if (request->length.is_long)
          request->pool->admit.long_unplaced++;
      }
}

/// Free slots that the released requests will occupy. Long requests beyond the free slots for long
/// requests are not counted: they wait until another long request ends, and must not block short
/// requests until then.
static uint32_t
reserved_slots (const TtPool *pool)
{
  const TtAdmitPool *admit = &pool->admit;
  uint32_t blocked_long = admit->long_unplaced > pool->share.free_long_slots
                              ? admit->long_unplaced - pool->share.free_long_slots
                              : 0;

  return admit->unplaced > blocked_long ? admit->unplaced - blocked_long : 0;
}

/// Free slots reserved for short requests once long requests use half of the slots available to
/// them. A long request occupies its slot for a long time, while the number of short requests
/// fluctuates by about its square root.
static uint32_t
short_request_reserve (const TtPool *pool)
{
  uint32_t long_used = 0;
  uint32_t max_reserve = (pool->share.used + pool->share.free_slots) / RESERVE_DIVISOR;
  uint32_t reserve;

  TT_LIST_FOREACH (&pool->backends, it)
    long_used += TT_CONTAINER_OF (it, TtBackendServer, pool_link)->share.long_used;
  if (long_used + pool->admit.long_unplaced < pool->share.free_long_slots
      || long_used > pool->share.used)
    return 0;
  reserve = (uint32_t) (SHORT_RESERVE_SIGMAS * sqrt ((double) (pool->share.used - long_used)));
  return reserve < max_reserve ? reserve : max_reserve;
}

/// True if the request may be released in addition to those already released.
static bool
may_release (const TtRequest *request)
{
  const TtPool *pool = request->pool;

  if (request->length.is_long
      && (pool->admit.long_unplaced >= pool->share.free_long_slots
          || reserved_slots (pool) + short_request_reserve (pool) >= pool->share.free_slots))
    return false;
  return request->account->in_flight < tt_admit_local_limit (request->account);
}

/// Finds the oldest request of a flow that may be released; NULL if there is none among the first
/// FLOW_SCAN_MAX.
static TtRequest *
first_releasable (const TtAdmitFlow *flow)
{
  int depth = 0;

  // The requests of a flow differ in this respect only if a length prediction changed while its
  // request was queued.
  TT_LIST_FOREACH (&flow->requests, it)
    {
      if (may_release (request_from_link (it)))
        return request_from_link (it);
      if (++depth == FLOW_SCAN_MAX)
        break;
    }
  return NULL;
}

/// Finds an aged request, i.e. one that has waited for at least half of the time between its
/// arrival and its start deadline; NULL if there is none. Each priority below the highest one with
/// queued requests contributes its first aged request in flow order, so that an account with a long
/// backlog gains nothing from the age of its requests. Of these, the one with the earliest deadline
/// is returned.
static TtRequest *
find_aged_request (TtAdmitPool *admit, int64_t now_us)
{
  TtRequest *earliest = NULL;
  int p = 0;

  while (p < TT_PRIORITY_COUNT && admit->queued_by_priority[p] == 0)
    p++;
  for (p++; p < TT_PRIORITY_COUNT; p++)
    TT_LIST_FOREACH (&admit->queues[p], it)
      {
        TtRequest *request = first_releasable (TT_CONTAINER_OF (it, TtAdmitFlow, link));

        if (request == NULL
            || 2 * (now_us - request->admit.queued_us)
                   < request->start_deadline_us - request->admit.queued_us)
          continue;
        if (earliest == NULL || request->start_deadline_us < earliest->start_deadline_us)
          earliest = request;
        break;
      }
  return earliest;
}

/// Selects the next request by priority and start tag; NULL if none may be released. Every
/// AGED_RELEASE_PERIOD releases it selects an aged request of a lower priority first.
static TtRequest *
select_next_request (TtAdmitPool *admit, int64_t now_us)
{
  if (admit->releases_since_aged >= AGED_RELEASE_PERIOD)
    {
      TtRequest *aged = find_aged_request (admit, now_us);

      admit->releases_since_aged = 0;
      if (aged != NULL)
        return aged;
    }
  for (int p = 0; p < TT_PRIORITY_COUNT; p++)
    TT_LIST_FOREACH (&admit->queues[p], it)
      {
        TtRequest *request = first_releasable (TT_CONTAINER_OF (it, TtAdmitFlow, link));

        if (request != NULL)
          return request;
      }
  return NULL;
}

static void
release_request (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtAdmitPool *admit = &request->pool->admit;

  request->admit.released = true;
  tt_admit_flow_remove (board, request, true);
  request->account->in_flight++;
  admit->releases_since_aged++;
  admit->unplaced++;
  if (request->length.is_long)
    admit->long_unplaced++;
  // An interval measures the service rate only if the request was queued before the interval
  // began; otherwise it measures the arrival rate.
  if (request->admit.queued_us < admit->released_us)
    admit->release_interval_us
        += RELEASE_INTERVAL_GAIN
           * ((double) (now_us - admit->released_us) - admit->release_interval_us);
  admit->released_us = now_us;
  tt_request_set_stage (board, request, request->idempotent ? TT_STAGE_READY : TT_STAGE_CLAIMING);
}

void
tt_admit_release (TtBoard *board, int64_t now_us)
{
  if (board->admit.queued == 0)
    return;
  // Attempts changed since `share` counted the free slots; `share` recounts them in the next
  // controller pass of this step.
  if (board->share.changed_backends.count > 0)
    {
      board->dirty = true;
      return;
    }
  count_unplaced (board);
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      while (pool->admit.queued > 0 && reserved_slots (pool) < pool->share.free_slots)
        {
          TtRequest *request = select_next_request (&pool->admit, now_us);

          if (request == NULL)
            break;
          release_request (board, request, now_us);
        }
    }
}
