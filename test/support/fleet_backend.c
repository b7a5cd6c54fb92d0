/// Simulated backend servers of a fleet.
#include "support/fleet.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include <string.h>

#define NETWORK_DELAY_US 300
#define FIRST_TOKEN_US (40 * TT_MILLISECOND_US)
#define CHUNK_TOKENS 16U
#define SERVICE_TIME_US (5 * TT_MILLISECOND_US)

/// Index of a backend server by id; Fleet.backend_count if unknown.
static uint32_t
find_backend (const Fleet *fleet, uint64_t id)
{
  uint32_t i = 0;

  while (i < fleet->backend_count && tt_hash_string (fleet->backends[i].host.name) != id)
    i++;
  return i;
}

/// True if the daemon cannot receive data from the backend server of its attempt.
static bool
is_unreachable (const Fleet *fleet, const SimEvent *step_event)
{
  const FleetBackend *backend = &fleet->backends[step_event->backend];

  return backend->unresponsive
         || fleet->sim->partitioned[fleet->sim->nodes[step_event->node].domain][backend->domain];
}

/// Sends an event of the attempt to the daemon that dispatched it. The event is dropped if the
/// daemon is unreachable.
///
/// RETURN     the event's TtAttemptEvent, for the caller to fill in
static TtAttemptEvent *
send_attempt_event (Fleet *fleet, const SimEvent *step_event, TtEventType type, int code)
{
  static TtAttemptEvent unused;
  SimEvent *event;

  if (is_unreachable (fleet, step_event))
    return &unused;
  event = sim_event_new (fleet->sim, SIM_BOARD_EVENT, step_event->node);
  event->process_start_count = step_event->process_start_count;
  event->event.type = type;
  event->event.attempt.attempt_id = step_event->attempt.attempt_id;
  event->event.error.code = code;
  sim_push_event (fleet->sim, event, fleet->sim->now_us + NETWORK_DELAY_US);
  return &event->event.attempt;
}

/// Records an execution of the request, and checks P3 and P4.
static void
record_execution (Fleet *fleet, const SimEvent *step_event, FleetCall *call)
{
  if (call == NULL)
    return;
  call->executed = true;
  if (call->replied && call->outcome == TT_OUTCOME_NOT_RUN)
    fleet_report_violation (fleet, "P3: request %llu was executed after it was reported as not run",
                            (unsigned long long) call->request_id);
  if (call->key == 0 || step_event->backend < fleet->config.engines)
    return;
  fleet->executions[call->key]++;
  if (fleet->executions[call->key] > 1)
    fleet_report_violation (fleet, "P4: key %llu was executed %u times",
                            (unsigned long long) call->key, fleet->executions[call->key]);
}

void
fleet_crash_backend (Fleet *fleet, uint32_t index)
{
  fleet->backends[index].alive = false;
  fleet->backends[index].running_attempts = 0;
}

void
fleet_restart_backend (Fleet *fleet, uint32_t index)
{
  fleet->backends[index].alive = true;
}

/// Schedules the next step of an attempt.
///
/// ARGUMENTS  duration_us: duration of the step at a healthy backend server; it is multiplied by
///            FleetBackend.slowdown
static void
schedule_next_step (Fleet *fleet, const SimEvent *step_event, double duration_us)
{
  SimEvent *next = sim_event_new (fleet->sim, SIM_EMBEDDER_EVENT, step_event->node);

  next->process_start_count = step_event->process_start_count;
  next->backend = step_event->backend;
  next->attempt = step_event->attempt;
  next->sent_tokens = step_event->sent_tokens;
  next->at_backend = true;
  sim_push_event (fleet->sim, next,
                  fleet->sim->now_us
                      + (int64_t) (fleet->backends[step_event->backend].slowdown * duration_us));
}

void
fleet_dispatch_attempt (Fleet *fleet, uint32_t daemon, const TtAttemptAction *attempt)
{
  SimEvent *event = sim_event_new (fleet->sim, SIM_EMBEDDER_EVENT, daemon);

  event->attempt = *attempt;
  sim_push_event (fleet->sim, event, sim_random_time (fleet->sim, fleet->sim->timing.peer_message));
}

/// Starts an attempt that arrives at its backend server.
static void
start_attempt (Fleet *fleet, SimEvent *step_event)
{
  FleetCall *call = fleet_find_call (fleet, step_event->node, step_event->attempt.request_id);
  FleetBackend *backend;

  step_event->backend = find_backend (fleet, step_event->attempt.backend_id);
  if (step_event->backend == fleet->backend_count)
    return;
  backend = &fleet->backends[step_event->backend];
  if (fleet->sim->partitioned[fleet->sim->nodes[step_event->node].domain][backend->domain])
    return; // The daemon's first-token timeout ends the attempt.
  if (!backend->alive)
    {
      (void) send_attempt_event (fleet, step_event, TT_EVENT_ATTEMPT_FAILED, TT_E_UNAVAILABLE);
      return;
    }
  (void) send_attempt_event (fleet, step_event, TT_EVENT_ATTEMPT_SENT, TT_OK);
  record_execution (fleet, step_event, call);
  if (call != NULL && call->crashes_backend)
    {
      send_attempt_event (fleet, step_event, TT_EVENT_ATTEMPT_FAILED, TT_E_CRASHED)->maybe_sent
          = true;
      fleet_crash_backend (fleet, step_event->backend);
      return;
    }
  backend->running_attempts++;
  step_event->sent_tokens = step_event->attempt.resume_from;
  schedule_next_step (fleet, step_event,
                      step_event->backend < fleet->config.engines ? FIRST_TOKEN_US
                                                                  : SERVICE_TIME_US);
}

/// Sends the end of a response and removes the attempt from the load of its backend server.
static void
finish_attempt (Fleet *fleet, SimEvent *step_event)
{
  FleetBackend *backend = &fleet->backends[step_event->backend];
  TtAttemptEvent *event = send_attempt_event (fleet, step_event, TT_EVENT_ATTEMPT_DONE, TT_OK);

  if (backend->running_attempts > 0)
    backend->running_attempts--;
  event->status = 200;
  if (step_event->backend >= fleet->config.engines)
    {
      event->body = "done";
      event->body_size = 4;
    }
}

/// Continues an attempt: sends the next tokens or the end of the response.
static void
continue_attempt (Fleet *fleet, SimEvent *step_event)
{
  FleetBackend *backend = &fleet->backends[step_event->backend];
  const SimNode *daemon = &fleet->sim->nodes[step_event->node];
  FleetCall *call = fleet_find_call (fleet, step_event->node, step_event->attempt.request_id);
  bool engine = step_event->backend < fleet->config.engines;
  bool closed = !daemon->alive || daemon->start_count != step_event->process_start_count
                || tt_attempt_find (daemon->board, step_event->attempt.attempt_id) == NULL;
  uint32_t remaining_tokens = call != NULL && call->response_tokens > step_event->sent_tokens
                                  ? call->response_tokens - step_event->sent_tokens
                                  : 0;

  if (!backend->alive)
    {
      send_attempt_event (fleet, step_event, TT_EVENT_ATTEMPT_FAILED, TT_E_CRASHED)->maybe_sent
          = true;
      return;
    }
  if (is_unreachable (fleet, step_event))
    {
      // Part of the response is lost on this connection, so it delivers no more data.
      backend->running_attempts -= backend->running_attempts > 0 ? 1 : 0;
      return;
    }
  if (closed || !engine || remaining_tokens == 0)
    {
      finish_attempt (fleet, step_event);
      return;
    }
  remaining_tokens = remaining_tokens > CHUNK_TOKENS ? CHUNK_TOKENS : remaining_tokens;
  send_attempt_event (fleet, step_event, TT_EVENT_ATTEMPT_PROGRESS, TT_OK)->tokens
      = remaining_tokens;
  step_event->sent_tokens += remaining_tokens;
  schedule_next_step (fleet, step_event, remaining_tokens * (double) fleet->config.token_us);
}

void
fleet_step_attempt (Fleet *fleet, SimEvent *step_event)
{
  if (step_event->at_backend)
    continue_attempt (fleet, step_event);
  else
    start_attempt (fleet, step_event);
}
