/// Many boards in one process with simulated time: a network with delay and loss, the platform's
/// store, and faults. Everything follows from the seed. The tests of membership, configuration and
/// leases use it directly; fleet.h adds backend servers and callers.
#pragma once

#include "support/store.h"
#include "tarragontrack/board/board.h"

enum
{
  SIM_NODES = 400,
  SIM_DOMAINS = 16,
  SIM_PLATFORM = SIM_DOMAINS, ///< the platform's side of a cut
  SIM_TEXT_SIZE = 2000
};

/// A time is drawn from [least, most); it is @least_us if both are equal.
typedef struct
{
  int64_t least_us;
  int64_t most_us;
} SimRange;

typedef struct
{
  SimRange peer;          ///< a message between daemons
  SimRange repeat;        ///< the second copy of a message
  SimRange call;          ///< a call on its way to the platform
  SimRange answer;        ///< the platform's answer
  SimRange lost_answer;   ///< until a call whose answer is lost ends with TT_E_TIMEOUT
  SimRange unreachable;   ///< until a call that does not reach the platform ends
  int unreachable_code;   ///< its error
  int64_t watch_us;       ///< a watch waits at most that long
  int64_t watch_check_us; ///< a waiting watch sees changes at multiples of this
} SimTiming;

typedef struct
{
  TtBoard *board;
  bool alive; ///< the daemon runs
  char name[TT_NAME_MAX];
  uint64_t id;
  uint32_t domain;
  int64_t paused_until_us;
  uint64_t starts;
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t received_bytes;
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
} SimNode;

typedef struct SimEvent SimEvent;
typedef struct Sim Sim;

/// What an embedder adds; each function may be NULL.
typedef struct
{
  void *context;
  /// Told of each action before it is carried out; may be NULL.
  void (*note) (void *context, uint32_t node, const TtAction *action);
  /// Carries out an action other than those on peers and the platform.
  void (*act) (void *context, uint32_t node, const TtAction *action);
  /// Handles an event of type SIM_OWN.
  void (*handle) (void *context, SimEvent *event);
  /// Gives an event to a board, instead of sim_step().
  void (*deliver) (void *context, uint32_t node, const TtEvent *event);
} SimHooks;

struct Sim
{
  SimTiming timing;    ///< set before the first daemon is added
  TtBoardConfig board; ///< of all daemons, without name and failure domain
  SimHooks hooks;
  int64_t now_us;
  TtRng rng;
  bool stopped; ///< sim_run() returns
  SimNode nodes[SIM_NODES];
  uint32_t node_count;
  Store *store;
  char domains[SIM_DOMAINS][TT_NAME_MAX];
  uint32_t domain_count;
  char text[SIM_TEXT_SIZE]; ///< stands for the text of each document
  uint32_t text_size;
  uint32_t document_count; ///< documents of sim_apply()
  SimEvent **heap;
  uint32_t heap_count;
  uint32_t heap_size;
  uint64_t sequence;
  TtList watches; ///< SimEvent.link of waiting watches
  // Faults.
  double loss;         ///< part of the messages that are lost
  double repeat;       ///< part of the messages that arrive twice
  double lost_answers; ///< part of the writes whose answer is lost
  uint32_t lose_next;  ///< next writes whose answer is lost
  double stale_reads;  ///< part of the reads answered with the content before the last write
  bool platform_down;  ///< set with sim_set_platform_down()
  bool cut[SIM_DOMAINS + 1][SIM_DOMAINS + 1]; ///< set with sim_cut()
  uint64_t dispatched;                        ///< orders sent
  uint64_t order_fencing;                     ///< number of the last order
  int64_t order_us;                           ///< time of the last order
  char order_role[TT_NAME_MAX];
};

Sim *sim_new (uint64_t seed);
void sim_free (Sim *sim);

/// Index of a failure domain, which is added if its name is new.
uint32_t sim_domain (Sim *sim, const char *name);

/// Adds a daemon on a new entry host and starts it.
SimNode *sim_add (Sim *sim, const char *name, const char *domain);

/// Adds a backend server to the host list.
TtHostEntry *sim_add_host (Sim *sim, const char *name, const char *service, const char *domain);

/// Adds backend servers named SERVICE-DOMAIN-0.. to the host list.
void sim_add_engines (Sim *sim, uint32_t count, const char *service, const char *domain);

/// Starts a daemon that does not run; it remembers nothing.
void sim_start (Sim *sim, SimNode *node);

/// Ends a daemon without notice and frees its board.
void sim_stop (SimNode *node);

/// Runs all daemons until the given time.
void sim_run (Sim *sim, int64_t until_us);

/// Steps a daemon's board and carries out its actions.
void sim_step (Sim *sim, uint32_t node, const TtEvent *event);

/// Cuts or heals the way between two failure domains, or between one and SIM_PLATFORM. Messages
/// that are on their way arrive.
void sim_cut (Sim *sim, uint32_t first, uint32_t second, bool cut);

/// Cuts a failure domain off from all others and the platform, or heals this.
void sim_isolate (Sim *sim, uint32_t domain, bool cut);

/// Makes the platform unreachable for all daemons, or heals this.
void sim_set_platform_down (Sim *sim, bool down);

/// An operator's apply: writes the document, then raises the head conditionally. Equal numbers
/// stand for equal texts.
///
/// ARGUMENTS  document: parsed form; NULL for a text that routers refuse
/// RETURN     the epoch of the change
uint64_t sim_stage (Sim *sim, const char *team, const TtDocument *document, uint32_t number);

/// As sim_stage() with a new document of one service that is named like the team.
///
/// ARGUMENTS  valid: false for a document that routers refuse
uint64_t sim_apply (Sim *sim, const char *team, TtDetachedMode detached, bool valid);

/// The object of a key, or NULL if it is absent.
StoreItem *sim_object (Sim *sim, const char *key);

/// Highest accepted epoch in the store; 0 = none.
uint64_t sim_accepted (Sim *sim);

/// Puts the objects of a snapshot back.
void sim_restore (Sim *sim, const Store *snapshot);

/// True if all running daemons of failure domains that reach the platform have the epoch in force.
bool sim_in_force (const Sim *sim, uint64_t epoch);
