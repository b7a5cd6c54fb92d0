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
is_unreachable (const Fleet *fleet, const FleetMessage *message)
{
  const FleetBackend *backend = &fleet->backends[message->backend];

  return backend->silent || fleet->cut[fleet->daemons[message->daemon].domain][backend->domain];
}

/// Sends an event about the attempt back to the daemon that dispatched it.
static TtAttemptEvent *
answer (Fleet *fleet, const FleetMessage *message, TtEventType type, int code)
{
  static TtAttemptEvent unused;
  FleetMessage *event;

  if (is_unreachable (fleet, message))
    return &unused;
  event = fleet_post (fleet, FLEET_TO_BOARD, message->daemon, CONNECT_US);
  event->incarnation = message->incarnation;
  event->event.type = type;
  event->event.attempt.attempt_id = message->attempt.attempt_id;
  event->event.error.code = code;
  return &event->event.attempt;
}

/// Counts an execution of the request.
static void
execute (Fleet *fleet, const FleetMessage *message, FleetCall *call)
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

/// An attempt arrives.
static void
accept_attempt (Fleet *fleet, FleetMessage *message)
{
  FleetCall *call = fleet_call_of (fleet, message->daemon, message->attempt.request_id);
  FleetBackend *backend;
  FleetMessage *next;

  message->backend = find_backend (fleet, message->attempt.backend_id);
  if (message->backend == fleet->backend_count)
    return;
  backend = &fleet->backends[message->backend];
  if (fleet->cut[fleet->daemons[message->daemon].domain][backend->domain])
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
      answer (fleet, message, TT_EVENT_ATTEMPT_FAILED, TT_E_CRASHED)->sent = true;
      fleet_crash_backend (fleet, message->backend);
      return;
    }
  backend->running++;
  next
      = fleet_post (fleet, FLEET_STEP, message->daemon,
                    (int64_t) (backend->slow
                               * (double) (message->backend < fleet->config.engines ? FIRST_TOKEN_US
                                                                                    : SERVICE_US)));
  next->incarnation = message->incarnation;
  next->backend = message->backend;
  next->attempt = message->attempt;
  next->step = message->attempt.resume_from;
}

/// Sends the end of an answer.
static void
finish_attempt (Fleet *fleet, FleetMessage *message)
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
advance_attempt (Fleet *fleet, FleetMessage *message)
{
  FleetBackend *backend = &fleet->backends[message->backend];
  FleetDaemon *daemon = &fleet->daemons[message->daemon];
  FleetCall *call = fleet_call_of (fleet, message->daemon, message->attempt.request_id);
  bool engine = message->backend < fleet->config.engines;
  bool closed = !daemon->alive || daemon->incarnation != message->incarnation
                || tt_attempt_find (daemon->board, message->attempt.attempt_id) == NULL;
  uint32_t left = call != NULL && call->tokens > message->step ? call->tokens - message->step : 0;
  FleetMessage *next;

  if (!backend->alive)
    {
      answer (fleet, message, TT_EVENT_ATTEMPT_FAILED, TT_E_CRASHED)->sent = true;
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
  next = fleet_post (fleet, FLEET_STEP, message->daemon,
                     (int64_t) (backend->slow * left * (double) fleet->config.token_us));
  next->incarnation = message->incarnation;
  next->backend = message->backend;
  next->attempt = message->attempt;
  next->step = message->step + left;
}

void
fleet_backend_step (Fleet *fleet, FleetMessage *message)
{
  if (message->type == FLEET_TO_BACKEND)
    accept_attempt (fleet, message);
  else
    advance_attempt (fleet, message);
}
