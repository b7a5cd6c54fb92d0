/// Simulated fleet: the simulation with backend servers, callers and property checks, for scenarios
/// and the explorer. A run is determined by its seed.
#pragma once

#include "support/sim_event.h"

enum
{
  FLEET_MAX_DAEMONS = 16,
  FLEET_MAX_BACKENDS = 64,
  FLEET_MAX_CALLS = 8192,
  FLEET_MAX_DOMAINS = 8,
  FLEET_VIOLATION_BYTES = 256
};

typedef struct
{
  uint64_t seed;
  uint32_t domains;         ///< number of failure domains, named "alpha", "bravo", ...
  uint32_t daemons;         ///< number of daemons, assigned to the failure domains round-robin
  uint32_t engines;         ///< number of engines of model "chat", assigned likewise
  uint32_t service_workers; ///< number of workers of plain service "ledger", assigned likewise
  uint32_t batch_limit;     ///< batch limit of each backend server
  int64_t token_us;         ///< time per token of a healthy engine
} FleetConfig;

/// State of a daemon for the property checks; the rest is in its SimNode.
typedef struct
{
  bool draining;
  uint64_t highest_epoch; ///< highest epoch in force since the process started
} FleetDaemon;

typedef struct
{
  TtHostEntry host;
  uint32_t domain;
  bool alive;
  /// It sends nothing. A connection that misses data never recovers; new ones work after the reset.
  bool unresponsive;
  double slowdown; ///< factor on its response times
  /// Time from which P5 treats the backend server as leaving; 0 = not leaving.
  int64_t leaving_since_us;
  uint32_t running_attempts;
  int64_t overloaded_since_us; ///< time when its load exceeded the bound; 0 = within the bound
} FleetBackend;

/// One request of a caller, or a retry with the same idempotency key.
typedef struct
{
  uint64_t request_id;
  uint32_t daemon;
  uint64_t key;             ///< idempotency key, 0 = none
  uint32_t response_tokens; ///< length of the complete response
  bool crashes_backend;     ///< crashes each backend server that executes it
  bool replied;
  bool lost;     ///< its daemon did not accept it, or was killed before it replied
  bool executed; ///< by a plain service or an engine
  TtOutcome outcome;
  uint32_t status;
  uint32_t relayed_tokens; ///< tokens that were relayed to the caller
  int64_t sent_us;
  int64_t first_token_us;
  int64_t replied_us;
  char kind[TT_NAME_MAX];
  char account[TT_NAME_MAX];
} FleetCall;

typedef struct
{
  FleetConfig config;
  Sim *sim;        ///< Sim.nodes[i] is daemon i
  bool check_load; ///< check P1
  FleetDaemon daemons[FLEET_MAX_DAEMONS];
  FleetBackend backends[FLEET_MAX_BACKENDS];
  uint32_t backend_count;
  FleetCall calls[FLEET_MAX_CALLS];
  uint32_t call_count;
  uint32_t executions[FLEET_MAX_CALLS];  ///< executions by plain services, for each idempotency key
  char violation[FLEET_VIOLATION_BYTES]; ///< text of the first violated property; empty = none
} Fleet;

/// Creates a fleet, stages the document of team "demo" as epoch 1, and starts the daemons.
Fleet *fleet_new (const FleetConfig *config);
void fleet_free (Fleet *fleet);

/// Advances simulated time. Stops early at the first violation.
void fleet_run (Fleet *fleet, int64_t duration_us);

/// Sends a caller's request to a daemon. The call is lost if the daemon is stopped, paused or not
/// ready.
///
/// ARGUMENTS  service: "chat" or "ledger"; key: idempotency key below FLEET_MAX_CALLS, 0 = none
///            crashes_backend: the request crashes each backend server that executes it
/// RETURN     index into Fleet.calls
uint32_t fleet_send_request (Fleet *fleet, uint32_t daemon, const char *account,
                             const char *service, const char *kind, uint64_t chat, uint64_t key,
                             uint32_t tokens, bool crashes_backend);

/// Stages the document of test_board_fill_document() with another queue deadline, as `tarragonctl
/// apply` does.
///
/// RETURN     the epoch, or 0 if the platform is down
uint64_t fleet_stage_document (Fleet *fleet, uint32_t queue_deadline_ms);

// Fault injection.
void fleet_kill_daemon (Fleet *fleet, uint32_t daemon);  ///< without a drain
void fleet_start_daemon (Fleet *fleet, uint32_t daemon); ///< as a new process without state
void fleet_drain_daemon (Fleet *fleet, uint32_t daemon); ///< as SIGTERM does
void fleet_crash_backend (Fleet *fleet, uint32_t backend);
void fleet_restart_backend (Fleet *fleet, uint32_t backend);
void fleet_set_backend_leaving (Fleet *fleet, uint32_t backend); ///< marks it in the host list

// Internal to the fleet_*.c files.

/// Sends an attempt of a daemon to its backend server (fleet_backend.c).
void fleet_dispatch_attempt (Fleet *fleet, uint32_t daemon, const TtAttemptAction *attempt);

/// Processes the next step of an attempt at a backend server (fleet_backend.c).
void fleet_step_attempt (Fleet *fleet, SimEvent *event);

/// Finds the call with a request id at a daemon; NULL if unknown.
FleetCall *fleet_find_call (Fleet *fleet, uint32_t daemon, uint64_t request_id);

/// Records the first violation and stops the simulation. Later violations are ignored.
void fleet_report_violation (Fleet *fleet, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/// Checks the properties that must hold at all times: P1, P2, P5 and P7 (fleet_check.c).
void fleet_check_properties (Fleet *fleet);
