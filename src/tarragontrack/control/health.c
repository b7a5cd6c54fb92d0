#include "tarragontrack/control/health.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/progress.h"
#include <stdlib.h>

#define CHECK_PERIOD_US (250 * TT_MILLISECOND_US)
#define FIRST_EJECTION_US (10 * TT_SECOND_US)
#define FAILURE_EJECTION_US (1 * TT_SECOND_US)
/// Age from which an ejection may be ended so that another backend server can be ejected.
#define REPLACEABLE_EJECTION_US (5 * TT_SECOND_US)
/// Estimates without samples for this long decay to the median.
#define IDLE_DECAY_AFTER_US (10 * TT_SECOND_US)
/// Healthy time after which the ejection count is reset.
#define EJECTIONS_RESET_US (60 * TT_SECOND_US)
/// Weight of a sample; low, because prompts vary in length.
#define FIRST_TOKEN_GAIN 0.1
#define PER_TOKEN_GAIN 0.02    // weight of a sample, per token
#define PER_TOKEN_GAIN_MAX 0.5 // upper bound of that weight for one event
#define SAMPLE_CLIP 20.0       // samples are clipped at this multiple of the median
#define SLOW_RATIO 1.5         // multiple of the median above which the weight is reduced
/// Multiple of the median time per token that leads to an ejection.
#define EJECT_PER_TOKEN_RATIO 3.0
/// Multiple of the median time to first token that leads to an ejection; higher, because the time
/// varies more with the prompt.
#define EJECT_FIRST_TOKEN_RATIO 4.0
#define IDLE_DECAY 0.1 // fraction of the distance to the median, per check
#define MIN_WEIGHT_FACTOR 0.1
#define QUANTILE_STEP 0.05 // fraction of the estimate, per sample

enum
{
  SLOW_START_MIN_SAMPLES = 2, // samples needed to eject an engine again during slow start
  MIN_SAMPLES = 4,            // samples needed to count in the medians and to be ejected
  EJECT_CHECKS = 2,           // consecutive slow checks before an ejection
  EJECT_FAILURES = 2,         // consecutive failures; a single one may be a stale connection
  EJECT_DOUBLINGS_MAX = 2,    // at most 4 times the first ejection; noisy neighbors are temporary
  OVERDUE_MIN_ATTEMPTS = 2    // a single late first token may be due to a long prompt
};

/// Adds a sample to an exponentially weighted mean; the sample is clipped at SAMPLE_CLIP times
/// @median if the median is known.
static void
add_sample (double *mean, double sample, double gain, double median)
{
  if (median > 0.0 && sample > SAMPLE_CLIP * median)
    sample = SAMPLE_CLIP * median;
  *mean = *mean <= 0.0 ? sample : *mean + gain * (sample - *mean);
}

/// Updates the running estimate of the 95th percentile of the time to first token: it rises by
/// 95 % of QUANTILE_STEP for a sample above it and falls by 5 % of QUANTILE_STEP for any other.
static void
update_p95 (TtHealthPool *pool, double sample)
{
  double *estimate = &pool->p95_first_token_us;

  if (*estimate <= 0.0)
    *estimate = 2.0 * sample;
  else
    *estimate *= 1.0 + QUANTILE_STEP * (sample > *estimate ? 0.95 : -0.05);
}

/// Records the time from dispatch to the first byte.
static void
record_first_token (TtAttempt *attempt, uint32_t tokens, int64_t now_us)
{
  TtHealthBackend *health = &attempt->backend->health;
  TtHealthPool *pool = &attempt->request->pool->health;
  double elapsed_us = (double) (now_us - attempt->dispatched_us);

  health->last_sample_us = now_us;
  health->samples++;
  // A response in one piece gives the mean time per token, not the time to first token.
  if (tokens > 1 && !attempt->request->spec.stream)
    {
      add_sample (&health->per_token_us, elapsed_us / tokens, FIRST_TOKEN_GAIN,
                  pool->median_per_token_us);
      return;
    }
  add_sample (&health->first_token_us, elapsed_us, FIRST_TOKEN_GAIN, pool->median_first_token_us);
  update_p95 (pool, elapsed_us);
}

/// Records the time waited so far by the attempts that lost to @winner, as a lower bound of their
/// time to first token; bounds that do not exceed the estimate are ignored.
static void
record_losing_attempts (const TtAttempt *winner, int64_t now_us)
{
  const TtRequest *request = winner->request;

  TT_LIST_FOREACH (&request->attempts, it)
    {
      TtAttempt *other = TT_CONTAINER_OF (it, TtAttempt, request_link);
      double elapsed_us = (double) (now_us - other->dispatched_us);

      if (other == winner || elapsed_us <= other->backend->health.first_token_us)
        continue;
      other->backend->health.samples++;
      other->backend->health.last_sample_us = now_us;
      add_sample (&other->backend->health.first_token_us, elapsed_us, FIRST_TOKEN_GAIN,
                  request->pool->health.median_first_token_us);
    }
}

static void
record_progress (TtAttempt *attempt, const TtAttemptEvent *event, int64_t now_us)
{
  TtHealthBackend *health = &attempt->backend->health;

  health->consecutive_failures = 0;
  if (attempt->first_token_us == 0)
    {
      record_first_token (attempt, event->tokens, now_us);
      record_losing_attempts (attempt, now_us);
    }
  else if (event->tokens > 0)
    {
      double gain = PER_TOKEN_GAIN * event->tokens;

      add_sample (&health->per_token_us,
                  (double) (now_us - attempt->last_progress_us) / event->tokens,
                  gain < PER_TOKEN_GAIN_MAX ? gain : PER_TOKEN_GAIN_MAX,
                  attempt->request->pool->health.median_per_token_us);
      health->last_sample_us = now_us;
    }
}

/// True if one more engine of the pool in this failure domain may be ejected: at most a third of
/// the live ones, and never the last.
static bool
may_eject (const TtBackendServer *backend)
{
  uint32_t live = 0;
  uint32_t ejected = 0;

  TT_LIST_FOREACH (&backend->pool->backends, it)
    {
      const TtBackendServer *other = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (other->domain_id != backend->domain_id || other->roster.state != TT_BACKEND_LIVE)
        continue;
      live++;
      if (other->health.ejected)
        ejected++;
    }
  return (ejected + 1) * 3 <= live && ejected + 1 < live;
}

static void end_ejection (TtBoard *board, TtBackendServer *backend, int64_t now_us);

/// Ends the oldest ejection in the failure domain of @slow, so that @slow may be ejected: the cause
/// of the older ejection may have ended, while @slow is slow now. Returns false if no ejection is
/// old enough.
static bool
end_oldest_ejection (TtBoard *board, const TtBackendServer *slow, int64_t now_us)
{
  TtBackendServer *oldest = NULL;

  TT_LIST_FOREACH (&slow->pool->backends, it)
    {
      TtBackendServer *other = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (other->domain_id != slow->domain_id || !other->health.ejected
          || now_us - other->health.ejected_us < REPLACEABLE_EJECTION_US)
        continue;
      if (oldest == NULL || other->health.ejected_us < oldest->health.ejected_us)
        oldest = other;
    }
  if (oldest == NULL)
    return false;
  end_ejection (board, oldest, now_us);
  return true;
}

static void
eject_backend (TtBoard *board, TtBackendServer *backend, int64_t base_us, const char *cause,
               int64_t now_us)
{
  TtHealthBackend *health = &backend->health;
  bool for_failures = base_us == FAILURE_EJECTION_US;
  uint32_t doublings = health->consecutive_ejections < EJECT_DOUBLINGS_MAX
                           ? health->consecutive_ejections
                           : EJECT_DOUBLINGS_MAX;

  if (health->ejected || backend->pool == NULL)
    return;
  if (!may_eject (backend)
      && (!end_oldest_ejection (board, backend, now_us) || !may_eject (backend)))
    return;
  health->ejected = true;
  health->ejected_us = now_us;
  health->ejected_for_failures = for_failures;
  if (!for_failures)
    health->consecutive_ejections++;
  // An engine ejected for failures is retried every second: it is either down, which costs one
  // refused connection, or as fast as before.
  health->ejected_until_us
      = now_us + (for_failures ? base_us : base_us * (INT64_C (1) << doublings));
  health->slow_checks = 0;
  board->health.ejected_count++;
  board->dirty = true;
  tt_board_counter_add (board, TT_COUNT_EJECTIONS, 1);
  tt_board_log (board, TT_LOG_BACKEND_EJECTED,
                "backend=%s cause=%s first_token_us=%.0f per_token_us=%.0f until_ms=%lld",
                backend->name, cause, health->first_token_us, health->per_token_us,
                (long long) ((health->ejected_until_us - now_us) / TT_MILLISECOND_US));
}

/// Ends an ejection and discards the latency estimates, which are out of date.
static void
end_ejection (TtBoard *board, TtBackendServer *backend, int64_t now_us)
{
  TtHealthBackend *health = &backend->health;

  health->ejected = false;
  health->slow_start_since_us = health->ejected_for_failures ? 0 : now_us;
  health->first_token_us = 0.0;
  health->per_token_us = 0.0;
  health->samples = 0;
  health->consecutive_failures = 0;
  health->weight_factor = health->ejected_for_failures ? 1.0 : MIN_WEIGHT_FACTOR;
  board->health.ejected_count--;
  board->dirty = true;
  tt_board_log (board, TT_LOG_BACKEND_RETURNED, "backend=%s", backend->name);
}

/// Records a failed attempt; each crash is counted and logged once, at its first failure.
static void
record_failure (TtBoard *board, const TtAttempt *attempt, const TtEvent *event, int64_t now_us)
{
  TtBackendServer *backend = attempt->backend;
  TtHealthBackend *health = &backend->health;

  health->consecutive_failures++;
  if (event->error.code == TT_E_CRASHED
      && (health->last_crash_us == 0 || now_us - health->last_crash_us > TT_HEALTH_CRASH_WINDOW_US))
    {
      health->last_crash_us = now_us;
      health->crash_suspects = 0;
      TT_LIST_FOREACH (&backend->attempts, it)
        if (TT_CONTAINER_OF (it, TtAttempt, backend_link)->request->poison.suspect)
          health->crash_suspects++;
      tt_board_counter_add (board, TT_COUNT_CRASHES, 1);
      tt_board_log (board, TT_LOG_BACKEND_CRASHED, "backend=%s in_flight=%u suspects=%u",
                    backend->name, backend->attempts.count, health->crash_suspects);
    }
  if (health->consecutive_failures >= EJECT_FAILURES)
    eject_backend (board, backend, FAILURE_EJECTION_US, "failures", now_us);
}

/// qsort() comparison of two times.
static int
compare_times (const void *first, const void *second)
{
  double a = *(const double *) first;
  double b = *(const double *) second;

  return (a > b) - (a < b);
}

/// Lower median, so that of two engines the slower one deviates from it; 0 without values.
static double
median_of (double *values, uint32_t count)
{
  if (count == 0)
    return 0.0;
  qsort (values, count, sizeof *values, compare_times);
  return values[(count - 1) / 2];
}

static void
update_medians (TtPool *pool)
{
  double first_token_values[TT_MAX_BACKENDS];
  double per_token_values[TT_MAX_BACKENDS];
  uint32_t first_token_count = 0;
  uint32_t per_token_count = 0;

  TT_LIST_FOREACH (&pool->backends, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (backend->health.ejected || backend->health.samples < MIN_SAMPLES)
        continue;
      if (backend->health.first_token_us > 0.0)
        first_token_values[first_token_count++] = backend->health.first_token_us;
      if (backend->health.per_token_us > 0.0)
        per_token_values[per_token_count++] = backend->health.per_token_us;
    }
  pool->health.median_first_token_us = median_of (first_token_values, first_token_count);
  pool->health.median_per_token_us = median_of (per_token_values, per_token_count);
}

/// Second longest wait for a first token among the running streaming attempts, or the longest
/// during slow start; 0 if too few are waiting.
static double
overdue_us (const TtBackendServer *backend, int64_t now_us)
{
  double longest = 0.0;
  double second = 0.0;
  uint32_t waiting = 0;

  TT_LIST_FOREACH (&backend->attempts, it)
    {
      const TtAttempt *attempt = TT_CONTAINER_OF (it, TtAttempt, backend_link);
      double elapsed_us = (double) (now_us - attempt->dispatched_us);

      if (attempt->first_token_us != 0 || !attempt->request->spec.stream)
        continue;
      waiting++;
      if (elapsed_us > longest)
        {
          second = longest;
          longest = elapsed_us;
        }
      else if (elapsed_us > second)
        second = elapsed_us;
    }
  if (backend->health.slow_start_since_us != 0)
    return longest;
  return waiting >= OVERDUE_MIN_ATTEMPTS ? second : 0.0;
}

/// Moves the estimates of an idle backend server towards the median.
static void
decay_idle_estimates (TtHealthBackend *health, const TtHealthPool *pool, int64_t now_us)
{
  if (now_us - health->last_sample_us < IDLE_DECAY_AFTER_US)
    return;
  health->first_token_us += IDLE_DECAY * (pool->median_first_token_us - health->first_token_us);
  health->per_token_us += IDLE_DECAY * (pool->median_per_token_us - health->per_token_us);
}

/// Compares a backend server with the medians of its pool: sets its weight factor, ejects it, or
/// ends its ejection.
static void
check_backend (TtBoard *board, TtBackendServer *backend, int64_t now_us)
{
  TtHealthBackend *health = &backend->health;
  const TtHealthPool *pool = &backend->pool->health;
  double first_token_ratio = 0.0;
  double per_token_ratio = 0.0;
  double overdue = overdue_us (backend, now_us);
  double ratio;

  if (health->ejected)
    {
      if (now_us >= health->ejected_until_us)
        end_ejection (board, backend, now_us);
      return;
    }
  decay_idle_estimates (health, pool, now_us);
  if (pool->median_first_token_us > 0.0)
    first_token_ratio = (overdue > health->first_token_us ? overdue : health->first_token_us)
                        / pool->median_first_token_us;
  if (pool->median_per_token_us > 0.0)
    per_token_ratio = health->per_token_us / pool->median_per_token_us;
  ratio = first_token_ratio > per_token_ratio ? first_token_ratio : per_token_ratio;
  health->weight_factor = ratio > SLOW_RATIO ? 1.0 / ratio : 1.0;
  if (health->slow_start_since_us != 0)
    {
      double elapsed_fraction
          = (double) (now_us - health->slow_start_since_us) / (double) TT_HEALTH_SLOW_START_US;

      if (elapsed_fraction >= 1.0)
        health->slow_start_since_us = 0;
      else
        health->weight_factor *= elapsed_fraction;
    }
  if (health->weight_factor < MIN_WEIGHT_FACTOR)
    health->weight_factor = MIN_WEIGHT_FACTOR;
  if (health->consecutive_ejections > 0 && now_us - health->ejected_until_us > EJECTIONS_RESET_US)
    health->consecutive_ejections = 0;
  if ((first_token_ratio < EJECT_FIRST_TOKEN_RATIO && per_token_ratio < EJECT_PER_TOKEN_RATIO)
      || (health->samples
              < (health->slow_start_since_us != 0 ? SLOW_START_MIN_SAMPLES : MIN_SAMPLES)
          && overdue <= 0.0))
    health->slow_checks = 0;
  else if (++health->slow_checks >= EJECT_CHECKS)
    eject_backend (board, backend, FIRST_EJECTION_US, "slow", now_us);
}

/// Counts attempts that exceeded their progress timeout as failures, before the `retry` controller
/// cancels them in the same step.
static void
count_silent_attempts (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_RUNNING], it)
    {
      const TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      TT_LIST_FOREACH (&request->attempts, a)
        {
          TtAttempt *attempt = TT_CONTAINER_OF (a, TtAttempt, request_link);

          if (!tt_attempt_progress_timed_out (attempt, now_us))
            continue;
          if (++attempt->backend->health.consecutive_failures >= EJECT_FAILURES)
            eject_backend (board, attempt->backend, FAILURE_EJECTION_US, "silent", now_us);
        }
    }
}

static void
check_pools (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      if (now_us < pool->health.next_check_us)
        continue;
      pool->health.next_check_us = now_us + CHECK_PERIOD_US;
      update_medians (pool);
      TT_LIST_FOREACH (&pool->backends, b)
        check_backend (board, TT_CONTAINER_OF (b, TtBackendServer, pool_link), now_us);
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAttempt *attempt;

  (void) context;
  if (event->type == TT_EVENT_TICK)
    {
      count_silent_attempts (board, now_us);
      check_pools (board, now_us);
    }
  if (event->type < TT_EVENT_ATTEMPT_PROGRESS || event->type > TT_EVENT_ATTEMPT_FAILED)
    return;
  attempt = tt_attempt_find (board, event->attempt.attempt_id);
  if (attempt == NULL || attempt->request->pool == NULL)
    return;
  if (event->type == TT_EVENT_ATTEMPT_FAILED)
    record_failure (board, attempt, event, now_us);
  else
    record_progress (attempt, &event->attempt, now_us);
}

TtController
tt_health_controller (void)
{
  return (TtController){ .name = "health", .on_event = on_event };
}
