/// Test fixture: several daemons that place requests by a routing table, and a store. Time advances
/// in steps of 10 ms, the daemons tick every 50 ms, and messages and store calls take one step. The
/// test injects faults by setting fields.
#pragma once

#include "support/routed_board.h"

enum
{
  ROUTED_FLEET_DAEMONS = 48,
  ROUTED_FLEET_SERVERS = 8,
  ROUTED_FLEET_CALLS = 16,     ///< open calls of a daemon to the store
  ROUTED_FLEET_ACTIONS = 16384 ///< messages in flight
};

typedef enum
{
  STORE_SERVES,
  STORE_REJECTS, ///< responds with an error
  STORE_CUTS,    ///< closes connections without a response
  STORE_SILENT,  ///< does not respond
  STORE_FORGETS, ///< does not respond, nor later to the calls that began meanwhile
  STORE_LOSES    ///< loses its responses, also those to watches that wait: they never arrive
} StoreMode;

typedef struct
{
  TtPlatformOp op; ///< 0 = the record is free
  TtStoreKind kind;
  uint64_t call_id;
  uint64_t revision;
  bool answers_at_once; ///< a watch that does not wait for a change
  bool lost;            ///< the store never responds
  int64_t started_us;
} RoutedFleetCall;

typedef struct
{
  RoutedBoard routed;
  char name[TT_NAME_MAX];
  bool running;
  bool frozen; ///< the host is suspended; its clock goes on
  StoreMode store;
  RoutedFleetCall calls[ROUTED_FLEET_CALLS];
  bool listed; ///< the store has the daemon's entry
  uint64_t listed_revision;
  unsigned store_calls;
  unsigned store_lists; ///< part of store_calls
} RoutedFleetDaemon;

typedef struct
{
  char name[TT_NAME_MAX];
  uint64_t revision; ///< of the last change; 0 = no entry was ever written
  bool leaving;
  bool removed;
} RoutedFleetServer;

/// Content of the store at a time.
typedef struct
{
  uint64_t revision;
  uint64_t config_version;
  uint64_t config_revision;
  RoutedFleetServer servers[ROUTED_FLEET_SERVERS];
  bool listed[ROUTED_FLEET_DAEMONS];
  uint64_t listed_revisions[ROUTED_FLEET_DAEMONS];
} RoutedFleetCopy;

typedef struct
{
  RoutedFleetDaemon daemons[ROUTED_FLEET_DAEMONS];
  unsigned count;
  unsigned domains;
  int64_t now_us;
  uint64_t era;
  uint64_t revision; ///< of the store
  uint64_t config_version;
  uint64_t config_revision;
  RoutedFleetServer servers[ROUTED_FLEET_SERVERS];
  struct
  {
    TtBoard *board;
    TtAction *action;
  } messages[ROUTED_FLEET_ACTIONS];
  unsigned message_count;
  bool loses_copies; ///< messages with a routing table or with backend servers do not arrive
} RoutedFleet;

/// Starts @count daemons named "d0", "d1", ... that are divided evenly over @domains failure
/// domains, before a store with configuration 1 and the backend servers "p0" to "p3".
void routed_fleet_open (RoutedFleet *fleet, unsigned count, unsigned domains);

void routed_fleet_close (RoutedFleet *fleet);

/// Starts a daemon that does not run.
void routed_fleet_start (RoutedFleet *fleet, unsigned index);

/// Kills a daemon. Messages that it has sent still arrive.
void routed_fleet_kill (RoutedFleet *fleet, unsigned index);

void routed_fleet_advance (RoutedFleet *fleet, int64_t ms);

/// Ends the watches of a daemon that wait, without an answer and in order.
void routed_fleet_cut_watches (RoutedFleet *fleet, unsigned index);

/// Drops all open calls of a daemon without an answer.
void routed_fleet_lose_calls (RoutedFleet *fleet, unsigned index);

/// Takes a copy of the store.
RoutedFleetCopy routed_fleet_copy_store (const RoutedFleet *fleet);

/// Lets the store return from a copy in a new era. Connections are closed; what was written since
/// the copy is gone, and its revisions are given out again.
void routed_fleet_restore_store (RoutedFleet *fleet, const RoutedFleetCopy *copy);

/// Writes a new version of the configuration to the store.
void routed_fleet_configure (RoutedFleet *fleet);

/// Writes the entry of a backend server, or removes it.
void routed_fleet_write_server (RoutedFleet *fleet, const char *name, bool leaving, bool removed);

/// Advances until all running daemons that are not frozen have the newest configuration, and have
/// @name in @state. RETURN ms; @limit_ms if that does not happen in time.
int64_t routed_fleet_settle (RoutedFleet *fleet, const char *name, TtBackendState state,
                             int64_t limit_ms);

/// Steps a daemon with a request to a path; see routed_board_send_request().
void routed_fleet_send_request (RoutedFleet *fleet, unsigned index, const char *path);

/// Index of the only running daemon of a failure domain that reads the store; -1 if there is not
/// exactly one.
int routed_fleet_reader (const RoutedFleet *fleet, unsigned domain);

/// Store calls of all daemons since the last call of this function.
unsigned routed_fleet_count_calls (RoutedFleet *fleet);

/// Lists among the store calls of all daemons since the last call of this function.
unsigned routed_fleet_count_lists (RoutedFleet *fleet);
