/// Deterministic simulation of many boards in one process with simulated time: a network with delay
/// and loss, the platform's store, and fault injection. A run is determined by its seed. The tests
/// of membership, configuration and leases use it directly; fleet.h adds backend servers and
/// callers.
#pragma once

#include "support/store.h"
#include "tarragontrack/board/board.h"

enum
{
  SIM_MAX_NODES = 400,
  SIM_MAX_DOMAINS = 16,
  SIM_PLATFORM = SIM_MAX_DOMAINS, ///< index of the platform in Sim.partitioned
  SIM_DOCUMENT_TEXT_BYTES = 2000
};

/// Range of a random duration: [SimDelayRange.min_us, SimDelayRange.max_us), or exactly
/// SimDelayRange.min_us if both are equal.
typedef struct
{
  int64_t min_us;
  int64_t max_us;
} SimDelayRange;

typedef struct
{
  SimDelayRange peer_message;      ///< delay of a message between daemons
  SimDelayRange duplicate;         ///< delay of the duplicate of a message
  SimDelayRange platform_call;     ///< delay of a call to the platform
  SimDelayRange platform_response; ///< delay of the platform's response
  SimDelayRange lost_response;     ///< delay of TT_E_TIMEOUT if the response is lost
  SimDelayRange unreachable;       ///< delay until a call that cannot reach the platform fails
  int unreachable_code;            ///< error code of such a call
  int64_t max_watch_us;            ///< maximum duration of a watch
  int64_t watch_check_us;          ///< interval at which a pending watch detects changes
} SimTiming;

typedef struct
{
  TtBoard *board;
  bool alive; ///< the daemon is running
  char name[TT_NAME_MAX];
  uint64_t id;
  uint32_t domain;
  int64_t paused_until_us;
  uint64_t start_count; ///< number of starts of the daemon
  uint64_t sent_messages;
  uint64_t sent_bytes;
  uint64_t received_bytes;
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
} SimNode;

typedef struct SimEvent SimEvent;
typedef struct Sim Sim;

/// Callbacks of an embedder. Each may be NULL, but SimHooks.handle_event must be set if
/// SIM_EMBEDDER_EVENT events are pushed.
typedef struct
{
  void *context;
  /// Observes each action before it is executed.
  void (*on_action) (void *context, uint32_t node, const TtAction *action);
  /// Executes the actions that the simulation does not handle itself: all but peer messages,
  /// platform calls, orders and exits.
  void (*execute_action) (void *context, uint32_t node, const TtAction *action);
  /// Handles an event of type SIM_EMBEDDER_EVENT.
  void (*handle_event) (void *context, SimEvent *event);
  /// Delivers an event to a board instead of sim_step_daemon().
  void (*deliver_event) (void *context, uint32_t node, const TtEvent *event);
} SimHooks;

struct Sim
{
  SimTiming timing;           ///< set before the first daemon is added
  TtBoardConfig board_config; ///< configuration of all daemons, without name and failure domain
  SimHooks hooks;
  int64_t now_us;
  TtRng rng;
  bool stopped; ///< set to make sim_run() return early
  SimNode nodes[SIM_MAX_NODES];
  uint32_t node_count;
  Store *store;
  char domains[SIM_MAX_DOMAINS][TT_NAME_MAX];
  uint32_t domain_count;
  char document_text[SIM_DOCUMENT_TEXT_BYTES]; ///< placeholder for the text of each document
  uint32_t document_text_bytes;
  uint32_t document_count; ///< number of documents staged by sim_stage_test_document()
  SimEvent **heap;
  uint32_t heap_count;
  uint32_t heap_capacity;
  uint64_t last_sequence;
  TtList watches; ///< pending watches, linked by SimEvent.link
  // Fault injection.
  double message_loss;          ///< fraction of the messages that are lost
  double message_duplication;   ///< fraction of the messages that are delivered twice
  double response_loss;         ///< fraction of the writes whose response is lost
  uint32_t lose_next_responses; ///< number of upcoming writes whose response is lost
  /// Fraction of the reads that return the content before the last write.
  double stale_read_fraction;
  bool platform_down; ///< set by sim_set_platform_down()
  /// Set by sim_set_partition().
  bool partitioned[SIM_MAX_DOMAINS + 1][SIM_MAX_DOMAINS + 1];
  uint64_t orders_sent;
  uint64_t order_fencing_token; ///< fencing token of the last order
  int64_t order_us;             ///< time of the last order
  char order_role[TT_NAME_MAX]; ///< role of the last order
};

Sim *sim_new (uint64_t seed);
void sim_free (Sim *sim);

/// Index of a failure domain. A new name is added.
uint32_t sim_domain_index (Sim *sim, const char *name);

/// Adds a daemon on a new entry host and starts it.
SimNode *sim_add_daemon (Sim *sim, const char *name, const char *domain);

/// Adds a backend server to the host list.
TtHostEntry *sim_add_host (Sim *sim, const char *name, const char *service, const char *domain);

/// Adds backend servers named SERVICE-DOMAIN-0.. to the host list.
void sim_add_engines (Sim *sim, uint32_t count, const char *service, const char *domain);

/// Starts a daemon that is not running, as a new process without state.
void sim_start_daemon (Sim *sim, SimNode *node);

/// Kills a daemon without a drain and frees its board.
void sim_kill_daemon (SimNode *node);

/// Processes events until the given time, or until Sim.stopped is set.
void sim_run (Sim *sim, int64_t until_us);

/// Steps a daemon's board with an event and executes its actions.
void sim_step_daemon (Sim *sim, uint32_t node, const TtEvent *event);

/// Starts or heals a network partition between two failure domains, or between one and
/// SIM_PLATFORM. Peer messages already in flight are still delivered; calls that have not reached
/// the platform yet fail on arrival.
void sim_set_partition (Sim *sim, uint32_t first, uint32_t second, bool partitioned);

/// Partitions a failure domain from all others and from the platform, or heals this partition.
void sim_isolate_domain (Sim *sim, uint32_t domain, bool partitioned);

/// Makes the platform unreachable for all daemons, or reachable again.
void sim_set_platform_down (Sim *sim, bool down);

/// Stages a document as an operator does: writes the document, then updates the head conditionally
/// on its version.
///
/// ARGUMENTS  document: parsed form; NULL for a text that daemons reject
///            number: identifies the text; equal numbers give equal hashes
/// RETURN     the epoch of the change
uint64_t sim_stage_document (Sim *sim, const char *team, const TtDocument *document,
                             uint32_t number);

/// Like sim_stage_document(), with a new document of one service that has the name of the team.
///
/// ARGUMENTS  valid: false for a document that daemons reject
uint64_t sim_stage_test_document (Sim *sim, const char *team, TtDetachedMode detached, bool valid);

/// Finds the item of a key in the store; NULL if the key has no object.
StoreItem *sim_find_object (Sim *sim, const char *key);

/// Accepted epoch in the store; 0 = none.
uint64_t sim_accepted_epoch (Sim *sim);

/// Restores the store from a snapshot, and checks all pending watches again.
void sim_restore_store (Sim *sim, const Store *snapshot);

/// True if the epoch or a later one is in force on all running daemons whose failure domains can
/// reach the platform.
bool sim_epoch_in_force (const Sim *sim, uint64_t epoch);
