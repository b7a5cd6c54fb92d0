/// Many routers, small engine models and a workload in one process with simulated time.
///
/// Routers are boards; their peer messages are delivered with delay and loss, their platform calls
/// are answered at once. An engine model has a queue, a batch and a least recently used prefix
/// cache, and reports its load late. A run is a function of its SimConfig: equal seeds give equal
/// results. A bench fills in SimConfig with sim_defaults(), changes fields, sets callbacks, and
/// calls sim_run().
#pragma once

#include "tarragontrack/board/board.h"

#define SIM_START_US (1000 * TT_SECOND_US)

typedef enum
{
  SIM_ROUTER, ///< boards with all controllers
  SIM_RANDOM,
  SIM_ROUND_ROBIN,
  SIM_LEAST_IN_FLIGHT, ///< fewest requests of the same router
  SIM_CONSISTENT_HASH, ///< ring with 64 points for each engine, by chat
  SIM_TWO_CHOICES,     ///< the less loaded, by late reports, of two random engines
  SIM_ORACLE,          ///< true caches and true loads, inside the load bound
  SIM_POLICY_COUNT
} SimPolicy;

typedef struct Sim Sim;
typedef struct SimEngine SimEngine;

/// A chat: its turns share a growing prompt.
typedef struct
{
  uint64_t key;
  uint64_t prefix_key;
  uint32_t prefix_tokens;
  uint32_t tokens; ///< prompt of its next turn
  uint32_t account;
  uint64_t route; ///< engine of its last turn, if the caller sends it back
  bool hints;
  uint32_t home_domain; ///< clients enter through this failure domain
} SimChat;

typedef struct SimRequest SimRequest;

struct SimRequest
{
  TtLink link;     ///< on SimEngine.waiting, SimEngine.running or Sim.free_requests
  uint64_t serial; ///< changes with each use of the record
  SimChat *chat;
  uint32_t router;
  uint32_t prompt_tokens;
  uint32_t answer_tokens;
  uint32_t priority;
  bool background; ///< for a bench's own use, e.g. long work
  const char *kind;
  SimEngine *engine; ///< NULL until it is dispatched
  uint64_t request_id;
  uint64_t attempt_id;
  uint32_t cached_tokens;
  uint32_t left;     ///< answer tokens that this attempt still has to produce
  SimRequest *owner; ///< of a hedge: the request that it belongs to; else NULL
  SimRequest *hedge; ///< open second attempt; NULL if there is none
  int64_t arrived_us;
  int64_t started_us; ///< begin of the prefill; 0 = not yet
  int64_t first_us;   ///< first token
  int64_t ended_us;
  TtOutcome outcome;
};

typedef struct
{
  SimPolicy policy;
  uint64_t seed;
  uint32_t domains;
  uint32_t engines; ///< in all; engine i is in failure domain i % domains
  uint32_t routers; ///< in all; router i is in failure domain i % domains
  uint32_t batch;   ///< requests an engine runs at once
  uint64_t cache_tokens;
  double prefill_us;        ///< for each uncached prompt token
  double decode_us;         ///< for each answer token
  uint32_t progress_tokens; ///< tokens of one progress event; 0 = first token and end only
  uint32_t accounts;
  double skew;            ///< weight of account i is (i + 1) to the power of -skew
  uint32_t prefixes;      ///< shared prefixes of each account
  uint32_t prefix_tokens; ///< mean tokens of a shared prefix
  uint32_t turn_tokens;   ///< mean growth of a chat with each turn
  uint32_t answer_tokens; ///< mean
  uint32_t chats;         ///< chats that exist at the start
  double hints;           ///< part of the callers that send X-Chat-Route back
  double returning;       ///< part of the requests that continue a chat
  double rate;            ///< requests a second, all routers
  uint32_t surge_account;
  double surge_factor;                   ///< multiplies the rate of surge_account; 1 = none
  int64_t surge_from_us, surge_until_us; ///< since the start
  double churn;                          ///< part of the engines that restart in a minute
  int64_t outage_us;                     ///< absence of an engine that restarts
  int64_t delay_us;                      ///< of a message between routers
  double loss;                           ///< part of the messages between routers that is lost
  int64_t report_lag_us;                 ///< of an engine's load report
  int64_t warm_us;                       ///< not measured
  int64_t duration_us;                   ///< measured, after the warm-up
  double load_multiple;
  uint32_t prefix_spread;
  // Callbacks of a bench; each may be NULL.
  void *context;
  /// Rate of requests @since_us after the start; overrides `rate`.
  double (*rate_at) (void *context, int64_t since_us);
  /// Called before a request is sent, to change its answer length, priority or kind.
  void (*shape) (void *context, Sim *sim, SimRequest *request);
  /// Called when a request ended, in the measured time only.
  void (*ended) (void *context, Sim *sim, const SimRequest *request);
  /// Called every 100 ms.
  void (*sample) (void *context, Sim *sim, int64_t now_us);
  /// Changes the document before the boards start.
  void (*document) (void *context, TtDocument *document);
  /// Size in bytes of a peer message that router @from sends to router @to; without it the sizes
  /// are estimates.
  uint32_t (*peer_size) (void *context, uint32_t from, uint32_t to, const TtPeerMessage *message);
} SimConfig;

typedef struct
{
  uint64_t requests; ///< ended in the measured time
  uint64_t completed;
  uint64_t not_run;
  uint64_t failed; ///< all other outcomes
  uint64_t prompt_tokens;
  uint64_t cached_tokens;
  double reuse;             ///< cached_tokens / prompt_tokens
  double first_token_us;    ///< mean
  uint64_t samples;         ///< engine samples of the load
  uint64_t over_samples;    ///< above ceil (multiple * mean) + 1
  int64_t over_longest_us;  ///< longest time one engine stayed above it
  uint64_t over_placements; ///< requests sent to an engine that was at the bound
  double worst_ratio;       ///< highest load / bound
  uint64_t peer_messages;
  uint64_t peer_bytes;
  double peer_bytes_s;       ///< for each router and second
  double worst_peer_bytes_s; ///< router that sends most
  uint64_t churned;
} SimResult;

struct SimEngine
{
  uint32_t index;
  uint32_t domain;
  uint64_t id;
  char name[TT_NAME_MAX];
  bool up;
  double slow;           ///< multiplies its service times; 1 = healthy
  uint64_t epoch;        ///< changes with each restart
  TtList running;        ///< SimRequest.link
  TtList waiting;        ///< SimRequest.link
  uint32_t reported;     ///< load by its last report
  int64_t over_since_us; ///< 0 = inside the bound
  TtList cache;          ///< SimCacheEntry.link, least recently used first
  TtList *cache_buckets;
  uint64_t cache_used;
  uint32_t *in_flight; ///< requests of each router
};

typedef struct
{
  int64_t at_us;
  uint64_t order; ///< events of the same time run in the order of their creation
  int type;
  uint32_t index;
  uint64_t stamp;
  void *data;
} SimEvent;

typedef struct
{
  uint64_t hash;
  uint32_t engine;
} SimRingPoint;

struct Sim
{
  SimConfig config;
  SimResult result;
  TtRng rng;   ///< of the workload
  TtRng noise; ///< of the baselines and the network, so that these leave the workload alone
  TtRng churn;
  int64_t now_us;
  bool measuring;
  SimEngine *engines;
  TtBoard **boards; ///< one a router; NULL for a baseline
  uint64_t *sent_bytes;
  TtDocument *document;
  TtHostEntry *hosts;
  uint32_t host_count;
  uint64_t hosts_version;
  SimEvent *heap;
  uint32_t heap_count, heap_size;
  uint64_t order;
  SimChat **idle;
  uint32_t idle_count, idle_size;
  double *account_sums; ///< running sums of the accounts' weights
  SimRequest *requests;
  uint32_t request_count;
  TtList free_requests;
  SimRingPoint *ring;
  uint32_t next_engine;
  double first_sum_us;
};

/// Fills in a small steady fleet.
void sim_defaults (SimConfig *config);

/// sim_run - runs one configuration from start to end
///
/// RETURN     0, or -1 when memory is exhausted
int sim_run (const SimConfig *config, SimResult *result);

/// Name of a policy for tables.
const char *sim_policy_name (SimPolicy policy);

/// Load of an engine: requests it runs or holds in its queue.
uint32_t sim_load (const SimEngine *engine);

/// Highest load inside the bound P1 in the engine's failure domain.
uint32_t sim_load_bound (const Sim *sim, uint32_t domain);

/// Stops an engine (its requests fail) or starts it with an empty cache.
void sim_engine_set_up (Sim *sim, SimEngine *engine, bool up);

// Between the files of this directory.

typedef enum
{
  SIM_EVENT_ARRIVAL,
  SIM_EVENT_SURGE,
  SIM_EVENT_FIRST, ///< first token: index of the request, stamp of its use
  SIM_EVENT_STEP,  ///< more tokens
  SIM_EVENT_DONE,
  SIM_EVENT_PEER, ///< data: the message; index of the receiver
  SIM_EVENT_TICK,
  SIM_EVENT_SAMPLE,
  SIM_EVENT_REPORT,
  SIM_EVENT_CHURN,
  SIM_EVENT_RETURN
} SimEventType;

void sim_push (Sim *sim, int64_t at_us, SimEventType type, uint32_t index, uint64_t stamp,
               void *data);
bool sim_pop (Sim *sim, SimEvent *event);

int sim_engine_open (Sim *sim, SimEngine *engine);
void sim_engine_close (SimEngine *engine);
uint32_t sim_cached_tokens (const SimEngine *engine, const SimRequest *request);
void sim_engine_submit (Sim *sim, SimEngine *engine, SimRequest *request);
void sim_engine_cancel (Sim *sim, SimRequest *request);
void sim_engine_event (Sim *sim, const SimEvent *event);

int sim_workload_open (Sim *sim);
void sim_workload_close (Sim *sim);
void sim_arrive (Sim *sim, bool surge);
void sim_request_end (Sim *sim, SimRequest *request, TtOutcome outcome);
/// Takes a record for a second attempt of @request; NULL if none is free.
SimRequest *sim_hedge_open (Sim *sim, SimRequest *request);
/// Cancels the second attempt of @request, if it has one, and frees its record.
void sim_hedge_close (Sim *sim, SimRequest *request);

SimEngine *sim_policy_pick (Sim *sim, const SimRequest *request);
int sim_policy_open (Sim *sim);

int sim_router_open (Sim *sim);
void sim_router_close (Sim *sim);
void sim_router_request (Sim *sim, SimRequest *request);
void sim_router_progress (Sim *sim, SimRequest *request, uint32_t tokens);
void sim_router_done (Sim *sim, SimRequest *request, bool failed);
void sim_router_peer (Sim *sim, uint32_t router, const TtPeerMessage *message);
void sim_router_tick (Sim *sim, uint32_t router);
void sim_router_hosts (Sim *sim);
/// Estimated encoded size of a peer message in bytes.
uint32_t sim_peer_size (const TtPeerMessage *message);
