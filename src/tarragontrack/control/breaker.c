#include "tarragontrack/control/breaker.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"

/// Open time after the first opening; it doubles with each consecutive one, up to OPEN_MAX_US.
#define OPEN_BASE_US (250 * TT_MILLISECOND_US)
#define OPEN_MAX_US (4 * TT_SECOND_US)
#define OPEN_DOUBLINGS_MAX 4

/// Consecutive failures, each within FAILURE_WINDOW_US of the one before, that open the breaker. A
/// single failure of a sent request may be due to the request; a failure to send one opens the
/// breaker immediately.
#define OPEN_FAILURES 2
#define FAILURE_WINDOW_US (2 * TT_SECOND_US)

/// Weight of a new result in the exponentially weighted error rate: about the last ten results
/// count. ERROR_RATE_MIN_SAMPLES are needed before the rate is used.
#define ERROR_RATE_GAIN 0.1
#define ERROR_RATE_MIN_SAMPLES 10

/// Error rate that opens the breaker if it is also at least ERROR_RATE_FACTOR times the mean of the
/// other backend servers of the service, because some requests fail on every backend server. Such
/// an opening lasts OPEN_ERROR_RATE_US, doubled for each consecutive opening before it, up to
/// OPEN_MAX_US.
#define ERROR_RATE_LIMIT 0.3
#define ERROR_RATE_FACTOR 2.5
#define OPEN_ERROR_RATE_US (2 * TT_SECOND_US)

/// A backend server that other daemons avoid is avoided here too, unless it responded to this
/// daemon within this time.
#define OWN_RESPONSE_VALID_US (400 * TT_MILLISECOND_US)

/// A failure domain counts as partitioned if this many of its backend servers are unreachable and
/// none has responded for PARTITION_AFTER_US.
#define PARTITION_BACKENDS 2
#define PARTITION_AFTER_US (300 * TT_MILLISECOND_US)

static bool
is_partitioned (const TtBoard *board, uint64_t domain_id)
{
  for (uint32_t i = 0; i < board->breaker.domain_count; i++)
    if (board->breaker.domains[i].domain_id == domain_id)
      return board->breaker.domains[i].partitioned;
  return false;
}

bool
tt_breaker_allows (const TtBoard *board, const TtBackendServer *backend, int64_t now_us)
{
  const TtBreakerBackend *breaker = &backend->breaker;

  if (breaker->state == TT_BREAKER_OPEN)
    return false;
  if (breaker->state == TT_BREAKER_HALF_OPEN)
    return backend->attempts.count == 0;
  if (is_partitioned (board, backend->domain_id))
    return false;
  return backend->fleet.peers_avoiding == 0
         || now_us - breaker->last_response_us < OWN_RESPONSE_VALID_US;
}

/// Returns the record of a failure domain, a new one if needed; NULL if there are too many.
static TtBreakerDomain *
find_or_add_domain (TtBreakerSection *section, uint64_t domain_id)
{
  for (uint32_t i = 0; i < section->domain_count; i++)
    if (section->domains[i].domain_id == domain_id)
      return &section->domains[i];
  if (section->domain_count == TT_MAX_DOMAINS)
    return NULL;
  section->domains[section->domain_count] = (TtBreakerDomain){ .domain_id = domain_id };
  return &section->domains[section->domain_count++];
}

static void
set_partitioned (TtBoard *board, TtBreakerDomain *domain, bool partitioned, int64_t now_us)
{
  if (partitioned == domain->partitioned)
    return;
  domain->partitioned = partitioned;
  tt_board_log (board, partitioned ? TT_LOG_DOMAIN_CUT : TT_LOG_DOMAIN_REACHED,
                "domain=%016llx unreachable=%u answer_age_ms=%lld",
                (unsigned long long) domain->domain_id, domain->unreachable_backends,
                (long long) ((now_us - domain->last_response_us) / TT_MILLISECOND_US));
}

/// Detects partitioned failure domains: several of their backend servers are unreachable and none
/// has responded recently. Without this check, each request sent to a further backend server there
/// would wait for its connect timeout.
static void
check_domains (TtBoard *board, int64_t now_us)
{
  TtBreakerSection *section = &board->breaker;

  for (uint32_t i = 0; i < section->domain_count; i++)
    section->domains[i].unreachable_backends = 0;
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      const TtBreakerBackend *breaker = &backend->breaker;
      TtBreakerDomain *domain = find_or_add_domain (section, backend->domain_id);

      if (domain == NULL || backend->roster.state != TT_BACKEND_LIVE)
        continue;
      if (breaker->state != TT_BREAKER_CLOSED && !breaker->partly_responding)
        domain->unreachable_backends++;
      if (breaker->last_response_us > domain->last_response_us)
        domain->last_response_us = breaker->last_response_us;
    }
  for (uint32_t i = 0; i < section->domain_count; i++)
    set_partitioned (board, &section->domains[i],
                     section->domains[i].unreachable_backends >= PARTITION_BACKENDS
                         && now_us - section->domains[i].last_response_us >= PARTITION_AFTER_US,
                     now_us);
}

bool
tt_breaker_allows_last_resort (const TtBackendServer *backend)
{
  return backend->breaker.state != TT_BREAKER_OPEN || backend->breaker.partly_responding;
}

static void
open_breaker (TtBoard *board, TtBackendServer *backend, int64_t base_us, const char *cause,
              int64_t now_us)
{
  TtBreakerBackend *breaker = &backend->breaker;
  uint32_t doublings = breaker->consecutive_openings < OPEN_DOUBLINGS_MAX
                           ? breaker->consecutive_openings
                           : OPEN_DOUBLINGS_MAX;
  int64_t duration_us = base_us << doublings;

  if (breaker->state == TT_BREAKER_OPEN)
    return;
  breaker->state = TT_BREAKER_OPEN;
  breaker->open_until_us = now_us + (duration_us < OPEN_MAX_US ? duration_us : OPEN_MAX_US);
  breaker->consecutive_openings++;
  tt_board_counter_add (board, TT_COUNT_EJECTIONS, 1);
  tt_board_log (board, TT_LOG_BACKEND_EJECTED,
                "backend=%s cause=%s failures=%u error_share=%.2f for_ms=%lld", backend->name,
                cause, breaker->consecutive_failures, breaker->error_rate,
                (long long) ((breaker->open_until_us - now_us) / TT_MILLISECOND_US));
}

static void
close_breaker (TtBoard *board, TtBackendServer *backend)
{
  TtBreakerBackend *breaker = &backend->breaker;

  breaker->consecutive_failures = 0;
  if (breaker->state == TT_BREAKER_CLOSED)
    return;
  breaker->state = TT_BREAKER_CLOSED;
  breaker->consecutive_openings = 0;
  tt_board_log (board, TT_LOG_BACKEND_RETURNED, "backend=%s", backend->name);
}

static void
add_result (TtBreakerBackend *breaker, bool failed)
{
  breaker->error_rate += ERROR_RATE_GAIN * ((failed ? 1.0 : 0.0) - breaker->error_rate);
  if (breaker->error_rate_samples < ERROR_RATE_MIN_SAMPLES)
    breaker->error_rate_samples++;
}

/// Mean error rate of the other backend servers of the service.
static double
mean_error_rate_of_others (const TtBackendServer *backend)
{
  double sum = 0.0;
  uint32_t count = 0;

  TT_LIST_FOREACH (&backend->pool->backends, it)
    {
      const TtBackendServer *other = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (other == backend || other->breaker.error_rate_samples == 0)
        continue;
      sum += other->breaker.error_rate;
      count++;
    }
  return count > 0 ? sum / count : 0.0;
}

/// Opens the breaker of a backend server with a far higher error rate than the others of its
/// service.
static void
check_error_rate (TtBoard *board, TtBackendServer *backend, int64_t now_us)
{
  TtBreakerBackend *breaker = &backend->breaker;

  if (backend->pool == NULL || backend->pool->backends.count < 2
      || breaker->error_rate_samples < ERROR_RATE_MIN_SAMPLES
      || breaker->error_rate < ERROR_RATE_LIMIT
      || breaker->error_rate < ERROR_RATE_FACTOR * mean_error_rate_of_others (backend))
    return;
  open_breaker (board, backend, OPEN_ERROR_RATE_US, "share", now_us);
  // The next failure opens the breaker again.
  breaker->error_rate = ERROR_RATE_LIMIT * (1.0 - ERROR_RATE_GAIN);
}

static void
record_failure (TtBoard *board, TtBackendServer *backend, bool sent, const char *cause,
                int64_t now_us)
{
  TtBreakerBackend *breaker = &backend->breaker;

  if (now_us - breaker->last_failure_us > FAILURE_WINDOW_US)
    breaker->consecutive_failures = 0;
  breaker->last_failure_us = now_us;
  breaker->consecutive_failures++;
  add_result (breaker, true);
  breaker->partly_responding = sent && now_us - breaker->last_response_us < FAILURE_WINDOW_US;
  if (!sent || breaker->consecutive_failures >= OPEN_FAILURES
      || breaker->state == TT_BREAKER_HALF_OPEN)
    open_breaker (board, backend, OPEN_BASE_US, cause, now_us);
  else
    check_error_rate (board, backend, now_us);
}

/// Records a response or, if @complete is false, a part of one.
static void
record_response (TtBoard *board, const TtAttempt *attempt, const TtAttemptEvent *event,
                 bool complete, int64_t now_us)
{
  TtBackendServer *backend = attempt->backend;
  TtBreakerBackend *breaker = &backend->breaker;
  bool failed = event->status >= 500 || event->not_executed;

  if (event->status == 421)
    {
      // 421: another backend server uses the address now, so the registry entry is out of date.
      open_breaker (board, backend, OPEN_BASE_US, "other instance", now_us);
      return;
    }
  breaker->last_response_us = now_us;
  // A failure that exceeds the buffer counts once, when it is relayed or rejected.
  if (failed ? attempt->state == TT_ATTEMPT_RELAYED || !(complete || event->exceeds_buffer)
             : !complete)
    return;
  if (!failed)
    close_breaker (board, backend);
  add_result (breaker, failed);
  if (failed)
    check_error_rate (board, backend, now_us);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAttempt *attempt;

  (void) context;
  if (event->type != TT_EVENT_ATTEMPT_PROGRESS && event->type != TT_EVENT_ATTEMPT_DONE
      && event->type != TT_EVENT_ATTEMPT_FAILED)
    return;
  attempt = tt_attempt_find (board, event->attempt.attempt_id);
  if (attempt == NULL)
    return;
  if (event->type != TT_EVENT_ATTEMPT_FAILED)
    record_response (board, attempt, &event->attempt, event->type == TT_EVENT_ATTEMPT_DONE, now_us);
  else if (event->error.code != TT_E_CANCELLED && event->error.code != TT_E_NO_MEMORY)
    record_failure (board, attempt->backend, event->attempt.maybe_sent,
                    event->attempt.maybe_sent ? "broken answer" : "no connection", now_us);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      TtBreakerBackend *breaker = &backend->breaker;

      for (; breaker->counted_silent_attempts != backend->recovery.silent_attempts;
           breaker->counted_silent_attempts++)
        record_failure (board, backend, true, "silence", now_us);
      if (breaker->state == TT_BREAKER_OPEN && now_us >= breaker->open_until_us)
        breaker->state = TT_BREAKER_HALF_OPEN;
    }
  if (board->recovery.is_tick)
    check_domains (board, now_us);
}

TtController
tt_breaker_controller (void)
{
  return (TtController){ .name = "breaker", .on_event = on_event, .run = run };
}
