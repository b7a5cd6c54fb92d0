/// Load pattern: more requests than a pool can take, or a pool that has lost its backend servers,
/// with callers that come back. Callers that all return after the same time meet the same shortage
/// again, or a pool that stands idle before they do. Each rejected caller is given a time of its
/// own.
#include "tarragontrack/control/retry_after.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/breaker.h"
#include "tarragontrack/control/dispatch.h"
#include "tarragontrack/control/fleet.h"

/// Weight of a new service time in the mean.
#define SERVICE_TIME_GAIN 0.05

/// Longest Retry-After. Capacity that is further away than this cannot be estimated.
#define MAX_RETURN_US (30 * TT_SECOND_US)

/// Changes of the store arrive in batches of this fraction (1 / NEWS_LEAVING_DIVISOR) of the time
/// for which a leaving backend server still serves.
#define NEWS_LEAVING_DIVISOR 3

void
tt_retry_after_add_service_time (TtPool *pool, int64_t duration_us)
{
  TtReturnPool *returns = &pool->returns;

  if (returns->mean_service_us <= 0.0)
    returns->mean_service_us = (double) duration_us;
  else
    returns->mean_service_us
        += SERVICE_TIME_GAIN * ((double) duration_us - returns->mean_service_us);
}

/// Earliest time at which the circuit breaker of a live backend server admits a request.
static int64_t
breaker_available_us (const TtBoard *board, const TtBackendServer *backend, int64_t now_us)
{
  if (tt_breaker_allows (board, backend, now_us))
    return now_us;
  if (backend->breaker.state == TT_BREAKER_OPEN)
    return backend->breaker.open_until_us;
  // A trial is running, or other daemons avoid the backend server and will report their next trial.
  return now_us
         + (backend->pool->returns.mean_service_us > 0.0
                ? (int64_t) backend->pool->returns.mean_service_us
                : TT_FLEET_PERIOD_US);
}

/// Earliest time at which a live backend server may take a request.
static int64_t
backend_available_us (const TtBoard *board, const TtBackendServer *backend, int64_t now_us)
{
  int64_t breaker_us = breaker_available_us (board, backend, now_us);

  return backend->notice.unavailable_until_us > breaker_us ? backend->notice.unavailable_until_us
                                                           : breaker_us;
}

int64_t
tt_retry_after_available_us (const TtBoard *board, const TtPool *pool, int64_t now_us)
{
  int64_t earliest_us = INT64_MAX;

  TT_LIST_FOREACH (&pool->backends, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      int64_t available_us;

      if (backend->roster.state != TT_BACKEND_LIVE)
        continue;
      available_us = backend_available_us (board, backend, now_us);
      if (available_us < earliest_us)
        earliest_us = available_us;
    }
  return earliest_us;
}

int64_t
tt_retry_after_slot_wait_us (const TtBackendServer *backend, uint32_t load)
{
  uint32_t slots = backend->registry.slots;

  if (slots == 0 || load < slots)
    return 0;
  return (int64_t) ((load - slots + 1) * backend->pool->returns.mean_service_us / slots);
}

/// Requests that the pool's live backend servers complete per µs, and the requests that wait for a
/// slot there; 0 if unknown.
static double
pool_rate (const TtPool *pool, int64_t now_us, double *waiting)
{
  double slots = 0.0;

  *waiting = 0.0;
  TT_LIST_FOREACH (&pool->backends, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      uint32_t load = tt_dispatch_estimate_load (backend, now_us);

      if (!tt_backend_accepts (backend, now_us) || backend->breaker.state == TT_BREAKER_OPEN)
        continue;
      slots += backend->registry.slots;
      if (load > backend->registry.slots)
        *waiting += load - backend->registry.slots;
    }
  return pool->returns.mean_service_us > 0.0 ? slots / pool->returns.mean_service_us : 0.0;
}

/// Rounds a duration up to ms, to 1 at least: a Retry-After of 0 would not be sent.
static uint32_t
to_ms (int64_t duration_us)
{
  return duration_us > 0 ? (uint32_t) ((duration_us + TT_MILLISECOND_US - 1) / TT_MILLISECOND_US)
                         : 1;
}

uint32_t
tt_retry_after_pool_ms (TtBoard *board, TtPool *pool, uint32_t priority, int64_t now_us)
{
  TtReturnPool *returns = &pool->returns;
  uint32_t class = priority < TT_RETURN_CLASSES ? priority : TT_RETURN_CLASSES - 1;
  int64_t at_us = tt_retry_after_available_us (board, pool, now_us);
  int64_t spacing_us = 0;
  double waiting;
  double rate = pool_rate (pool, now_us, &waiting);

  if (at_us == INT64_MAX)
    at_us = now_us + tt_retry_after_news_ms (board, now_us) * TT_MILLISECOND_US;
  if (rate > 0.0)
    {
      at_us += (int64_t) (waiting / rate);
      spacing_us = (int64_t) (tt_fleet_size (board) / rate);
    }
  if (at_us < returns->next_us[class])
    at_us = returns->next_us[class];
  if (at_us > now_us + MAX_RETURN_US)
    at_us = now_us + MAX_RETURN_US;
  for (uint32_t i = class; i < TT_RETURN_CLASSES; i++)
    returns->next_us[i]
        = (returns->next_us[i] > at_us && i != class ? returns->next_us[i] : at_us) + spacing_us;
  return to_ms (at_us - now_us);
}

uint32_t
tt_retry_after_news_ms (const TtBoard *board, int64_t now_us)
{
  int64_t next_us = board->feed.streams[TT_STORE_CONFIG].next_call_us;
  int64_t batch_us = board->config.bounds.leaving_ms * TT_MILLISECOND_US / NEWS_LEAVING_DIVISOR;

  // Without a configuration, the next call to the store may bring it.
  if (board->routes.table == NULL)
    return to_ms (next_us > now_us + TT_FLEET_PERIOD_US ? next_us - now_us : TT_FLEET_PERIOD_US);
  return to_ms (batch_us);
}

uint32_t
tt_retry_after_record_ms (const TtBoard *board)
{
  double service_us = 0.0;

  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      const TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      if (service_us <= 0.0 || pool->returns.mean_service_us < service_us)
        service_us = pool->returns.mean_service_us;
    }
  return to_ms ((int64_t) service_us);
}

uint32_t
tt_retry_after_elsewhere_ms (void)
{
  return to_ms (0);
}
