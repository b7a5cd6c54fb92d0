#include "support/fleet.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include <string.h>

#define CONNECT_US 300
#define FIRST_TOKEN_US (40 * TT_MILLISECOND_US)
#define CHUNK_TOKENS 16U
#define SERVICE_US (5 * TT_MILLISECOND_US)

/// Index of a backend server by id; backend_count if unknown.
static uint32_t
find_backend (const Fleet *fleet, uint64_t id)
{
  uint32_t i = 0;

  while (i < fleet->backend_count && tt_hash_string (fleet->backends[i].host.name) != id)
    i++;
  return i;
}

/// True while nothing passes between the daemon and the backend server of an attempt.
static bool
is_unreachable (const Fleet *fleet, const SimEvent *message)
{
  const FleetBackend *backend = &fleet->backends[message->backend];

  return backend->silent
         || fleet->sim->cut[fleet->sim->nodes[message->node].domain][backend->domain];
}

/// Sends an event about the attempt back to the daemon that dispatched it.
static TtAttemptEvent *
answer (Fleet *fleet, const SimEvent *message, TtEventType type, int code)
{
  static TtAttemptEvent unused;
  SimEvent *event;

  if (is_unreachable (fleet, message))
    return &unused;
  event = sim_event (fleet->sim, SIM_BOARD, message->node);
  event->start = message->start;
  event->event.type = type;
  event->event.attempt.attempt_id = message->attempt.attempt_id;
  event->event.error.code = code;
  sim_push (fleet->sim, event, fleet->sim->now_us + CONNECT_US);
  return &event->event.attempt;
}

/// Counts an execution of the request.
static void
execute (Fleet *fleet, const SimEvent *message, FleetCall *call)
{
  if (call == NULL)
    return;
  call->executed = true;
  if (call->answered && call->outcome == TT_OUTCOME_NOT_RUN)
    fleet_violate (fleet, "P3: request %llu ran after it was told not run",
                   (unsigned long long) call->request_id);
  if (call->key == 0 || message->backend < fleet->config.engines)
    return;
  fleet->executions[call->key]++;
  if (fleet->executions[call->key] > 1)
    fleet_violate (fleet, "P4: key %llu ran %u times", (unsigned long long) call->key,
                   fleet->executions[call->key]);
}

void
fleet_crash_backend (Fleet *fleet, uint32_t index)
{
  fleet->backends[index].alive = false;
  fleet->backends[index].running = 0;
}

void
fleet_restart_backend (Fleet *fleet, uint32_t index)
{
  fleet->backends[index].alive = true;
}

/// Queues the next step of an attempt after @duration_us of a healthy backend server.
static void
continue_attempt (Fleet *fleet, const SimEvent *message, double duration_us)
{
  SimEvent *next = sim_event (fleet->sim, SIM_OWN, message->node);

  next->start = message->start;
  next->backend = message->backend;
  next->attempt = message->attempt;
  next->step = message->step;
  next->arrived = true;
  sim_push (fleet->sim, next,
            fleet->sim->now_us + (int64_t) (fleet->backends[message->backend].slow * duration_us));
}

void
fleet_dispatch (Fleet *fleet, uint32_t daemon, const TtAttemptAction *attempt)
{
  SimEvent *event = sim_event (fleet->sim, SIM_OWN, daemon);

  event->attempt = *attempt;
  sim_push (fleet->sim, event, sim_delay (fleet->sim, fleet->sim->timing.peer));
}

/// An attempt arrives.
static void
accept_attempt (Fleet *fleet, SimEvent *message)
{
  FleetCall *call = fleet_call_of (fleet, message->node, message->attempt.request_id);
  FleetBackend *backend;

  message->backend = find_backend (fleet, message->attempt.backend_id);
  if (message->backend == fleet->backend_count)
    return;
  backend = &fleet->backends[message->backend];
  if (fleet->sim->cut[fleet->sim->nodes[message->node].domain][backend->domain])
    return; // The daemon's progress timeout ends the attempt.
  if (!backend->alive)
    {
      (void) answer (fleet, message, TT_EVENT_ATTEMPT_FAILED, TT_E_UNAVAILABLE);
      return;
    }
  (void) answer (fleet, message, TT_EVENT_ATTEMPT_SENT, TT_OK);
  execute (fleet, message, call);
  if (call != NULL && call->deadly)
    {
      answer (fleet, message, TT_EVENT_ATTEMPT_FAILED, TT_E_CRASHED)->maybe_sent = true;
      fleet_crash_backend (fleet, message->backend);
      return;
    }
  backend->running++;
  message->step = message->attempt.resume_from;
  continue_attempt (fleet, message,
                    message->backend < fleet->config.engines ? FIRST_TOKEN_US : SERVICE_US);
}

/// Sends the end of an answer.
static void
finish_attempt (Fleet *fleet, SimEvent *message)
{
  FleetBackend *backend = &fleet->backends[message->backend];
  TtAttemptEvent *event = answer (fleet, message, TT_EVENT_ATTEMPT_DONE, TT_OK);

  if (backend->running > 0)
    backend->running--;
  event->status = 200;
  if (message->backend >= fleet->config.engines)
    {
      event->body = "done";
      event->body_size = 4;
    }
}

/// An attempt goes on: the next tokens, or the end.
static void
advance_attempt (Fleet *fleet, SimEvent *message)
{
  FleetBackend *backend = &fleet->backends[message->backend];
  const SimNode *daemon = &fleet->sim->nodes[message->node];
  FleetCall *call = fleet_call_of (fleet, message->node, message->attempt.request_id);
  bool engine = message->backend < fleet->config.engines;
  bool closed = !daemon->alive || daemon->starts != message->start
                || tt_attempt_find (daemon->board, message->attempt.attempt_id) == NULL;
  uint32_t left = call != NULL && call->tokens > message->step ? call->tokens - message->step : 0;

  if (!backend->alive)
    {
      answer (fleet, message, TT_EVENT_ATTEMPT_FAILED, TT_E_CRASHED)->maybe_sent = true;
      return;
    }
  if (is_unreachable (fleet, message))
    {
      // The connection has lost part of the answer; it stays silent for good.
      backend->running -= backend->running > 0 ? 1 : 0;
      return;
    }
  if (closed || !engine || left == 0)
    {
      finish_attempt (fleet, message);
      return;
    }
  left = left > CHUNK_TOKENS ? CHUNK_TOKENS : left;
  answer (fleet, message, TT_EVENT_ATTEMPT_PROGRESS, TT_OK)->tokens = left;
  message->step += left;
  continue_attempt (fleet, message, left * (double) fleet->config.token_us);
}

void
fleet_backend_step (Fleet *fleet, SimEvent *message)
{
  if (message->arrived)
    advance_attempt (fleet, message);
  else
    accept_attempt (fleet, message);
}
