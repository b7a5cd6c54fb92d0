#include "tarragontrack/control/progress.h"
#include "tarragontrack/control/health.h"

bool
tt_attempt_progress_timed_out (const TtAttempt *attempt, int64_t now_us)
{
  const TtPool *pool = attempt->request->pool;
  uint32_t limit_ms;

  if (pool == NULL)
    return false;
  limit_ms = attempt->first_token_us == 0 ? pool->spec.first_token_timeout_ms
                                          : pool->spec.progress_timeout_ms;
  return limit_ms > 0 && now_us - attempt->last_progress_us > limit_ms * TT_MILLISECOND_US;
}

uint32_t
tt_backend_concurrency_limit (const TtBackendServer *backend, int64_t now_us)
{
  const TtHealthBackend *health = &backend->health;
  double elapsed_fraction;

  if (health->ejected)
    return 0;
  if (health->slow_start_since_us == 0
      || now_us - health->slow_start_since_us >= TT_HEALTH_SLOW_START_US)
    return backend->batch_limit;
  elapsed_fraction
      = (double) (now_us - health->slow_start_since_us) / (double) TT_HEALTH_SLOW_START_US;
  return 1
         + (uint32_t) (elapsed_fraction
                       * (backend->batch_limit > 0 ? backend->batch_limit - 1 : 0));
}
