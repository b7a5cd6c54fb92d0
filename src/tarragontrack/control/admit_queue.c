#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/admit.h"

#define TOKENS_PER_UNIT 100.0 // cost of a request in fair queueing: one, and one per 100 tokens
#define SERVICE_GAIN 0.05     // of one interval between two releases
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 30000

enum
{
  AGED_PERIOD = 16 // one release in this many goes to work that has waited past half its time
};

/// Request of a queue link.
static TtRequest *
request_of (TtLink *link)
{
  return TT_CONTAINER_OF (link, TtRequest, admit.queue_link);
}

/// Finish tag of the account in one pool and priority.
static double *
finish_tag (const TtBoard *board, const TtRequest *request)
{
  size_t pool = (size_t) (request->pool - board->backends.pool_records);

  return &request->account->virtual_finish[pool * TT_PRIORITY_COUNT + request->priority];
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
  tt_request_finish (board, request, keyed ? TT_OUTCOME_UNKNOWN : TT_OUTCOME_NOT_RUN, status,
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

/// Inserts by start tag, from the nearer end; returns the number of requests before it.
static uint32_t
insert_by_start (TtList *queue, TtRequest *request)
{
  double start = request->admit.virtual_start;
  TtLink *forward = queue->head.next;
  TtLink *backward = queue->head.prev;
  uint32_t steps = 0;

  // The two walks advance together: a surging account belongs near the end, others near the front.
  for (;; steps++)
    {
      if (forward == &queue->head || request_of (forward)->admit.virtual_start > start)
        {
          tt_list_insert_before (queue, forward, &request->admit.queue_link);
          return steps;
        }
      if (request_of (backward)->admit.virtual_start <= start)
        {
          tt_list_insert_before (queue, backward->next, &request->admit.queue_link);
          return queue->count - 1 - steps;
        }
      forward = forward->next;
      backward = backward->prev;
    }
}

/// The request to shed: lowest priority, then latest finish tag.
static TtRequest *
worst_request (TtBoard *board)
{
  TtRequest *worst = NULL;

  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      for (int p = TT_PRIORITY_COUNT - 1; p >= 0; p--)
        {
          TtRequest *last;

          if (pool->admit.queues[p].count == 0)
            continue;
          last = request_of (pool->admit.queues[p].head.prev);
          if (worst == NULL || last->priority > worst->priority
              || (last->priority == worst->priority
                  && last->admit.virtual_finish > worst->admit.virtual_finish))
            worst = last;
          break;
        }
    }
  return worst;
}

void
tt_admit_enqueue (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtAdmitPool *admit = &request->pool->admit;
  double *finish = finish_tag (board, request);
  double weight = request->account->spec.weight > 0.0 ? request->account->spec.weight : 1.0;
  double cost = 1.0 + request->length.predicted_tokens / TOKENS_PER_UNIT;
  uint32_t before;

  request->admit.virtual_start = admit->virtual_time[request->priority];
  if (*finish > request->admit.virtual_start)
    request->admit.virtual_start = *finish;
  request->admit.virtual_finish = request->admit.virtual_start + cost / weight;
  *finish = request->admit.virtual_finish;
  request->admit.queued_us = now_us;
  before = insert_by_start (&admit->queues[request->priority], request);
  for (uint32_t p = 0; p < request->priority; p++)
    before += admit->queues[p].count;
  admit->queued++;
  board->admit.queued++;
  request->account->queued++;
  tt_request_set_stage (board, request, TT_STAGE_QUEUED);
  if (before * admit->service_us > (double) (request->deadline_us - now_us))
    shed (board, request, "the expected wait is longer than the deadline");
  else if (board->admit.queued > board->admit.max_queued)
    shed (board, worst_request (board), "the queue is full");
}

void
tt_admit_dequeue (TtBoard *board, TtRequest *request)
{
  TtAdmitPool *admit;
  TtList *queue;

  if (request->pool == NULL || !tt_link_is_linked (&request->admit.queue_link))
    return;
  admit = &request->pool->admit;
  queue = &admit->queues[request->priority];
  // The cost of the account's last request is given back if it is not served.
  if (!request->admit.released && *finish_tag (board, request) <= request->admit.virtual_finish)
    *finish_tag (board, request) = request->admit.virtual_start;
  tt_list_remove (queue, &request->admit.queue_link);
  admit->queued--;
  board->admit.queued--;
  request->account->queued--;
}

void
tt_admit_expire (TtBoard *board, int64_t now_us)
{
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
        if (request->place.wait_id != 0)
          continue;
        request->pool->admit.ready++;
        if (request->length.is_long)
          request->pool->admit.long_ready++;
      }
}

/// True if the request may be released beside those already released.
static bool
may_release (const TtRequest *request, uint32_t long_slots)
{
  if (request->length.is_long && request->pool->admit.long_ready >= long_slots)
    return false;
  return request->account->in_flight < tt_admit_room (request->account);
}

/// The request that has waited past half of its time and must start soonest; NULL if none.
static TtRequest *
aged_request (TtAdmitPool *admit, uint32_t long_slots, int64_t now_us)
{
  TtRequest *oldest = NULL;

  for (int p = 0; p < TT_PRIORITY_COUNT; p++)
    TT_LIST_FOREACH (&admit->queues[p], it)
      {
        TtRequest *request = request_of (it);
        int64_t waited_us = now_us - request->admit.queued_us;

        if (2 * waited_us < request->deadline_us - request->admit.queued_us
            || !may_release (request, long_slots))
          continue;
        if (oldest == NULL || request->deadline_us < oldest->deadline_us)
          oldest = request;
      }
  return oldest;
}

/// The next request in order of priority and start tag; NULL if none may be released.
static TtRequest *
next_request (TtAdmitPool *admit, uint32_t long_slots, int64_t now_us)
{
  if (admit->releases >= AGED_PERIOD)
    {
      TtRequest *aged = aged_request (admit, long_slots, now_us);

      admit->releases = 0;
      if (aged != NULL)
        return aged;
    }
  for (int p = 0; p < TT_PRIORITY_COUNT; p++)
    TT_LIST_FOREACH (&admit->queues[p], it)
      if (may_release (request_of (it), long_slots))
        return request_of (it);
  return NULL;
}

static void
release_request (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtAdmitPool *admit = &request->pool->admit;

  request->admit.released = true;
  tt_admit_dequeue (board, request);
  if (request->admit.virtual_start > admit->virtual_time[request->priority])
    admit->virtual_time[request->priority] = request->admit.virtual_start;
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

      while (pool->admit.queued > 0 && pool->admit.ready < pool->share.free_slots)
        {
          TtRequest *request = next_request (&pool->admit, pool->share.free_long_slots, now_us);

          if (request == NULL)
            break;
          release_request (board, request, now_us);
        }
    }
}
