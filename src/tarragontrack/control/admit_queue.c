#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/admit.h"
#include <math.h>

#define TOKENS_PER_UNIT 100.0 // cost of a request in fair queueing: one, and one per 100 tokens
#define RESERVE 3.0           // standard deviations of the number of short requests
#define SERVICE_GAIN 0.05     // of one interval between two releases
/// Time constant of the offered work: long enough for several hundred requests at a daemon.
#define OFFERED_US (40 * TT_SECOND_US)
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 30000

enum
{
  RESERVE_PART = 4, // the reserve is at most one in this many slots
  FLOW_DEPTH = 64,  // requests of one flow that are looked at
  AGED_PERIOD = 16  // one release in this many goes to work that has waited past half its time
};

/// Request of a flow's link.
static TtRequest *
request_of (TtLink *link)
{
  return TT_CONTAINER_OF (link, TtRequest, admit.flow_link);
}

/// Milliseconds after which a caller may come back: the time to empty the queue, spread at random
/// so that refused callers do not return together.
static uint32_t
retry_after_ms (TtBoard *board, const TtAdmitPool *admit)
{
  double wait_ms = admit->queued * admit->service_us / (double) TT_MILLISECOND_US;

  wait_ms *= 0.75 + 0.5 * tt_rng_unit (&board->rng);
  if (wait_ms < RETRY_AFTER_MIN_MS)
    return RETRY_AFTER_MIN_MS;
  return wait_ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : (uint32_t) wait_ms;
}

void
tt_admit_refuse (TtBoard *board, TtRequest *request, uint32_t status, uint32_t retry_after,
                 const char *reason)
{
  bool keyed = !request->idempotent && !tt_id128_is_zero (request->spec.idempotency_key);
  TtError error = { 0 };

  (void) tt_error_set (&error, TT_E_LIMIT, TT_STEP_ADMIT, request->spec.service, "%s%s", reason,
                       keyed ? "; this attempt did not run, an earlier one may have" : "");
  (void) tt_request_finish (board, request, keyed ? TT_OUTCOME_UNKNOWN : TT_OUTCOME_NOT_RUN, status,
                            retry_after, &error);
}

/// Refuses a request to keep the queue short.
static void
shed (TtBoard *board, TtRequest *request, const char *reason)
{
  tt_admit_dequeue (board, request);
  tt_board_count (board, TT_COUNT_SHED, 1);
  // One line in 64 is logged: a surge must not turn into a surge of log lines.
  if (board->counters[TT_COUNT_SHED] % 64 == 1)
    tt_board_log (board, TT_LOG_REQUEST_SHED, "service=%s account=%s priority=%u %s",
                  request->spec.service, request->spec.account, request->priority, reason);
  tt_admit_refuse (board, request, 503, retry_after_ms (board, &request->pool->admit), reason);
}

/// The request to shed: lowest priority, then latest finish tag.
static TtRequest *
worst_request (TtBoard *board)
{
  const TtAdmitFlow *worst = NULL;

  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      const TtAdmitPool *admit = &TT_CONTAINER_OF (it, TtPool, link)->admit;
      int p = TT_PRIORITY_COUNT - 1;

      while (p > 0 && admit->waiting[p] == 0)
        p--;
      TT_LIST_FOREACH (&admit->queues[p], f)
        {
          const TtAdmitFlow *flow = TT_CONTAINER_OF (f, TtAdmitFlow, link);

          if (worst == NULL || flow->priority > worst->priority
              || (flow->priority == worst->priority
                  && tt_admit_flow_end (flow) > tt_admit_flow_end (worst)))
            worst = flow;
        }
    }
  return worst != NULL ? request_of (worst->requests.head.prev) : NULL;
}

/// Adds arrived work to the pool's offered work, from which `share` divides the slots.
static void
note_offered (TtAdmitPool *admit, double cost, int64_t now_us)
{
  double age = (double) (now_us - admit->offered_us) / (double) OFFERED_US;

  admit->offered = admit->offered * exp (-age) + cost;
  admit->offered_us = now_us;
}

void
tt_admit_enqueue (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtAdmitPool *admit = &request->pool->admit;
  double before;

  request->admit.queued_us = now_us;
  tt_admit_flow_append (board, request, 1.0 + request->length.predicted_tokens / TOKENS_PER_UNIT);
  note_offered (admit, request->admit.cost, now_us);
  before = tt_admit_flow_before (request->admit.flow);
  for (uint32_t p = 0; p < request->priority; p++)
    before += admit->waiting[p];
  tt_request_set_stage (board, request, TT_STAGE_QUEUED);
  if (before * admit->service_us > (double) (request->deadline_us - now_us))
    shed (board, request, "the expected wait is longer than the deadline");
  else if (board->admit.queued > board->admit.max_queued)
    shed (board, worst_request (board), "the queue is full");
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
    note_offered (&TT_CONTAINER_OF (it, TtPool, link)->admit, 0.0, now_us);
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_QUEUED], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      if (now_us >= request->deadline_us)
        shed (board, request, "the deadline passed in the queue");
    }
}

/// Counts the released requests of each pool that are not placed yet.
static void
count_ready (TtBoard *board)
{
  static const TtStage stages[] = { TT_STAGE_CLAIMING, TT_STAGE_READY };

  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtAdmitPool *admit = &TT_CONTAINER_OF (it, TtPool, link)->admit;

      admit->ready = 0;
      admit->long_ready = 0;
    }
  for (size_t i = 0; i < sizeof stages / sizeof stages[0]; i++)
    TT_LIST_FOREACH (&board->requests.stages[stages[i]], it)
      {
        const TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

        // `share` has already taken off the slots that requests wait for at a keeper.
        if (request->place.wait_id == 0)
          request->pool->admit.ready++;
        if (request->length.is_long)
          request->pool->admit.long_ready++;
      }
}

/// Free slots that released requests will take. Long ones beyond the slots for long work wait for
/// another long job's end, and must not hold up short work meanwhile.
static uint32_t
taken_slots (const TtPool *pool)
{
  const TtAdmitPool *admit = &pool->admit;
  uint32_t stuck = admit->long_ready > pool->share.free_long_slots
                       ? admit->long_ready - pool->share.free_long_slots
                       : 0;

  return admit->ready > stuck ? admit->ready - stuck : 0;
}

/// Free slots that a long job leaves for short work, once long work has half of its share: a long
/// job holds its slot for long, while the need for short work varies by the square root.
static uint32_t
short_reserve (const TtPool *pool)
{
  uint32_t long_used = 0;
  uint32_t most = (pool->share.used + pool->share.free_slots) / RESERVE_PART;
  uint32_t reserve;

  TT_LIST_FOREACH (&pool->backends, it)
    long_used += TT_CONTAINER_OF (it, TtBackendServer, pool_link)->share.long_used;
  if (long_used + pool->admit.long_ready < pool->share.free_long_slots
      || long_used > pool->share.used)
    return 0;
  reserve = (uint32_t) (RESERVE * sqrt ((double) (pool->share.used - long_used)));
  return reserve < most ? reserve : most;
}

/// True if the request may be released beside those already released.
static bool
may_release (const TtRequest *request)
{
  const TtPool *pool = request->pool;

  if (request->length.is_long
      && (pool->admit.long_ready >= pool->share.free_long_slots
          || taken_slots (pool) + short_reserve (pool) >= pool->share.free_slots))
    return false;
  return request->account->in_flight < tt_admit_room (request->account);
}

/// The oldest request of a flow that may be released; NULL if there is none near its front.
static TtRequest *
first_of (const TtAdmitFlow *flow)
{
  int depth = 0;

  // Behind the first there are others to release only while predictions change in the queue.
  TT_LIST_FOREACH (&flow->requests, it)
    {
      if (may_release (request_of (it)))
        return request_of (it);
      if (++depth == FLOW_DEPTH)
        break;
    }
  return NULL;
}

/// The request below the most urgent class in waiting that has waited past half of its time and
/// must start soonest; NULL if none. Inside a class the order of the flows holds, so that an
/// account with a long backlog gains nothing by its age.
static TtRequest *
aged_request (TtAdmitPool *admit, int64_t now_us)
{
  TtRequest *oldest = NULL;
  int p = 0;

  while (p < TT_PRIORITY_COUNT && admit->waiting[p] == 0)
    p++;
  for (p++; p < TT_PRIORITY_COUNT; p++)
    TT_LIST_FOREACH (&admit->queues[p], it)
      {
        TtRequest *request = first_of (TT_CONTAINER_OF (it, TtAdmitFlow, link));

        if (request == NULL
            || 2 * (now_us - request->admit.queued_us)
                   < request->deadline_us - request->admit.queued_us)
          continue;
        if (oldest == NULL || request->deadline_us < oldest->deadline_us)
          oldest = request;
        break;
      }
  return oldest;
}

/// The next request in order of priority and start tag; NULL if none may be released.
static TtRequest *
next_request (TtAdmitPool *admit, int64_t now_us)
{
  if (admit->releases >= AGED_PERIOD)
    {
      TtRequest *aged = aged_request (admit, now_us);

      admit->releases = 0;
      if (aged != NULL)
        return aged;
    }
  for (int p = 0; p < TT_PRIORITY_COUNT; p++)
    TT_LIST_FOREACH (&admit->queues[p], it)
      {
        TtRequest *request = first_of (TT_CONTAINER_OF (it, TtAdmitFlow, link));

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
  admit->releases++;
  admit->ready++;
  if (request->length.is_long)
    admit->long_ready++;
  // Only intervals that a request spent waiting measure the service, not the arrivals.
  if (request->admit.queued_us < admit->released_us)
    admit->service_us
        += SERVICE_GAIN * ((double) (now_us - admit->released_us) - admit->service_us);
  admit->released_us = now_us;
  tt_request_set_stage (board, request, request->idempotent ? TT_STAGE_READY : TT_STAGE_CLAIMING);
}

void
tt_admit_release (TtBoard *board, int64_t now_us)
{
  if (board->admit.queued == 0)
    return;
  // Attempts changed since `share` counted the free slots; it counts again in this pass.
  if (board->share.touched.count > 0)
    {
      board->dirty = true;
      return;
    }
  count_ready (board);
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      while (pool->admit.queued > 0 && taken_slots (pool) < pool->share.free_slots)
        {
          TtRequest *request = next_request (&pool->admit, now_us);

          if (request == NULL)
            break;
          release_request (board, request, now_us);
        }
    }
}
