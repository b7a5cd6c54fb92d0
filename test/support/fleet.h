/// The simulation with backend servers, callers and property checks, for scenarios and the
/// explorer. Everything follows from the seed.
#pragma once

#include "support/sim_event.h"

enum
{
  FLEET_DAEMONS = 16,
  FLEET_BACKENDS = 64,
  FLEET_CALLS = 8192,
  FLEET_DOMAINS = 8,
  FLEET_TEXT_MAX = 256
};

typedef struct
{
  uint64_t seed;
  uint32_t domains;     ///< named "alpha", "bravo", ...
  uint32_t daemons;     ///< spread over the domains in turn
  uint32_t engines;     ///< of model "chat", spread in turn
  uint32_t services;    ///< workers of plain service "ledger", spread in turn
  uint32_t batch_limit; ///< of an engine
  int64_t token_us;     ///< time per token of a healthy engine
} FleetConfig;

/// What is checked of a daemon; the rest is in its SimNode.
typedef struct
{
  bool draining;
  uint64_t highest_epoch; ///< highest epoch ever in force in this life
} FleetDaemon;

typedef struct
{
  TtHostEntry host;
  uint32_t domain;
  bool alive;
  bool silent;     ///< connections open now never answer; new ones work once this is false again
  double slow;     ///< factor on its times
  int64_t left_us; ///< when the host list said "leaving"; 0 = it stays
  uint32_t running;
  int64_t over_since_us; ///< when its load went over the bound; 0 = it is within
} FleetBackend;

/// One request of a caller, or its repetition under the same idempotency key.
typedef struct
{
  uint64_t request_id;
  uint32_t daemon;
  uint64_t key;    ///< idempotency key, 0 = none
  uint32_t tokens; ///< whole answer
  bool deadly;     ///< crashes each backend server that runs it
  bool answered;
  bool lost;     ///< its daemon was killed
  bool executed; ///< by a plain service or engine
  TtOutcome outcome;
  uint32_t status;
  uint32_t relayed; ///< tokens
  int64_t sent_us;
  int64_t first_token_us;
  int64_t answered_us;
  char kind[TT_NAME_MAX];
  char account[TT_NAME_MAX];
} FleetCall;

typedef struct
{
  FleetConfig config;
  Sim *sim;        ///< its node I is daemon I
  bool check_load; ///< check P1
  FleetDaemon daemons[FLEET_DAEMONS];
  FleetBackend backends[FLEET_BACKENDS];
  uint32_t backend_count;
  FleetCall calls[FLEET_CALLS];
  uint32_t call_count;
  uint32_t executions[FLEET_CALLS]; ///< by idempotency key
  char violation[FLEET_TEXT_MAX];   ///< first broken property; empty = none
} Fleet;

/// Starts a fleet and puts document 1 of team "demo" in force.
Fleet *fleet_new (const FleetConfig *config);
void fleet_free (Fleet *fleet);

/// Lets simulated time pass. Stops early at the first violation.
void fleet_run (Fleet *fleet, int64_t duration_us);

/// fleet_send - a caller sends a request to a daemon
///
/// ARGUMENTS  service: "chat" or "ledger"; key: idempotency key below FLEET_CALLS, 0 = none
/// RETURN     index into calls
uint32_t fleet_send (Fleet *fleet, uint32_t daemon, const char *account, const char *service,
                     const char *kind, uint64_t chat, uint64_t key, uint32_t tokens, bool deadly);

/// Stages the world_document() with another queue deadline, as `tarragonctl apply` does.
///
/// RETURN     the epoch, or 0 when the platform refused or did not answer
uint64_t fleet_apply (Fleet *fleet, uint32_t queue_deadline_ms);

// Faults.
void fleet_kill (Fleet *fleet, uint32_t daemon);
void fleet_start (Fleet *fleet, uint32_t daemon); ///< a new process without memory
void fleet_drain (Fleet *fleet, uint32_t daemon); ///< SIGTERM
void fleet_crash_backend (Fleet *fleet, uint32_t backend);
void fleet_restart_backend (Fleet *fleet, uint32_t backend);
void fleet_leave_backend (Fleet *fleet, uint32_t backend); ///< the host list says "leaving"

// Between the parts of the harness.

/// Sends an attempt of a daemon to its backend server (fleet_backend.c).
void fleet_dispatch (Fleet *fleet, uint32_t daemon, const TtAttemptAction *attempt);

/// Goes on with an attempt at a backend server (fleet_backend.c).
void fleet_backend_step (Fleet *fleet, SimEvent *event);

/// Call of a request id at a daemon; NULL if unknown.
FleetCall *fleet_call_of (Fleet *fleet, uint32_t daemon, uint64_t request_id);

/// Records the first violation.
void fleet_violate (Fleet *fleet, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/// Checks the properties that hold at each moment (fleet_check.c).
void fleet_check (Fleet *fleet);
