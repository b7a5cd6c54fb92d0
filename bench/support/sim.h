/// Discrete-event simulation of many routers, simple engine models and a workload, in one process.
///
/// Each router is a TtBoard with all controllers. Peer messages are delivered with delay and loss;
/// platform calls get their response immediately. An engine model has a queue, a batch and a prefix
/// cache with LRU eviction, and publishes its load only periodically: a reported load is up to
/// SimConfig.load_report_period_us old. Runs are deterministic: equal configurations, including the
/// seed, give equal results. A bench fills in SimConfig with sim_defaults(), changes fields, sets
/// callbacks, and calls sim_run().
#pragma once

#include "tarragontrack/board/board.h"

#define SIM_START_US (1000 * TT_SECOND_US)

typedef enum
{
  SIM_ROUTER, ///< the routers under test
  SIM_RANDOM,
  SIM_ROUND_ROBIN,
  SIM_LEAST_IN_FLIGHT, ///< engine with the fewest requests of the same router
  SIM_CONSISTENT_HASH, ///< hash ring with 64 points for each engine, keyed by chat
  SIM_TWO_CHOICES,     ///< the less loaded of two random engines, by delayed load reports
  SIM_ORACLE, ///< most cached tokens within the load bound, from the actual caches and loads
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
  uint32_t prompt_tokens; ///< prompt tokens of its next turn
  uint32_t account;
  uint64_t route_hint;   ///< engine of the last turn, sent as X-Chat-Route; 0 = not sent
  bool sends_route_hint; ///< the caller returns the X-Chat-Route header
  uint32_t home_domain;  ///< failure domain whose routers receive its requests
} SimChat;

typedef struct SimRequest SimRequest;

struct SimRequest
{
  TtLink link;     ///< on SimEngine.waiting, SimEngine.running or Sim.free_requests
  uint64_t serial; ///< incremented when the record is reused or its attempt ends; pending events
                   ///< with another serial are ignored
  SimChat *chat;
  uint32_t router;
  uint32_t prompt_tokens;
  uint32_t response_tokens; ///< length of the complete response
  uint32_t priority;
  bool background; ///< reserved for benches, e.g. to mark long work
  const char *kind;
  SimEngine *engine; ///< engine of the current attempt; NULL = none
  uint64_t request_id;
  uint64_t attempt_id;
  uint32_t cached_tokens;
  uint32_t remaining_tokens; ///< response tokens that this attempt has not produced yet
  SimRequest *owner;         ///< the hedged request if this is a hedge; else NULL
  SimRequest *hedge;         ///< open hedge; NULL = none
  int64_t arrived_us;
  int64_t started_us;     ///< start of the prefill; 0 = not started
  int64_t first_token_us; ///< time of the first token; 0 = none yet
  int64_t ended_us;
  TtOutcome outcome;
};

typedef struct
{
  SimPolicy policy;
  uint64_t seed;
  uint32_t domains;
  uint32_t engines;     ///< total; engine i is in failure domain i % domains
  uint32_t routers;     ///< total; router i is in failure domain i % domains
  uint32_t batch_limit; ///< requests that an engine runs concurrently
  uint64_t cache_tokens;
  double prefill_us;        ///< time for each uncached prompt token
  double decode_us;         ///< time for each response token
  uint32_t progress_tokens; ///< tokens in one progress event; 0 = events for the first token and
                            ///< the end only
  uint32_t accounts;
  double skew;       ///< Zipf exponent: the weight of account i is (i + 1) to the power of -skew
  uint32_t prefixes; ///< shared prefixes of each account
  uint32_t prefix_tokens;     ///< mean tokens of a shared prefix
  uint32_t turn_tokens;       ///< mean tokens that a user message adds to a chat
  uint32_t response_tokens;   ///< mean tokens of a response
  uint32_t chats;             ///< chats that exist at the start
  double route_hint_fraction; ///< fraction of the callers that return the X-Chat-Route header
  double returning_fraction;  ///< fraction of the requests that continue a chat
  double rate;                ///< requests per second, sum over all routers
  uint32_t surge_account;
  double surge_factor; ///< multiplies the rate of SimConfig.surge_account; 1 = no surge
  int64_t surge_from_us, surge_until_us; ///< relative to the start
  double restart_fraction_per_min;       ///< fraction of the engines that restart per minute
  int64_t restart_downtime_us;           ///< downtime of an engine that restarts
  int64_t message_delay_us;              ///< mean delay of a message between routers
  double message_loss;                   ///< fraction of the messages between routers that are lost
  int64_t load_report_period_us;         ///< period of load reports and greatest age of a report
  int64_t warmup_us;                     ///< warm-up, excluded from the results
  int64_t duration_us;                   ///< measured time, after the warm-up
  double load_multiple;                  ///< load_multiple of the service in the settings document
  uint32_t prefix_spread;                ///< prefix_spread of the service in the settings document
  // Callbacks of a bench; each may be NULL.
  void *context;
  /// Requests per second @since_us after the start; overrides SimConfig.rate.
  double (*rate_at) (void *context, int64_t since_us);
  /// Called before a request is sent; may change its response length, priority or kind.
  void (*prepare_request) (void *context, Sim *sim, SimRequest *request);
  /// Called when a request ends, during the measured time only.
  void (*on_request_end) (void *context, Sim *sim, const SimRequest *request);
  /// Called every 100 ms.
  void (*on_sample) (void *context, Sim *sim, int64_t now_us);
  /// Called before the boards start; may change the settings document of the fleet.
  void (*document) (void *context, TtDocument *document);
  /// Returns the size in bytes of a peer message that router @from sends to router @to; if NULL,
  /// the sizes are estimated by sim_peer_message_bytes().
  uint32_t (*measure_message) (void *context, uint32_t from, uint32_t to,
                               const TtPeerMessage *message);
} SimConfig;

typedef struct
{
  uint64_t requests; ///< ended in the measured time
  uint64_t completed;
  uint64_t not_run;
  uint64_t failed; ///< all other outcomes
  uint64_t prompt_tokens;
  uint64_t cached_tokens;
  double reuse;                 ///< cached_tokens / prompt_tokens
  double first_token_us;        ///< mean
  uint64_t load_samples;        ///< one for each running engine and sampling time
  uint64_t overload_samples;    ///< samples above the load bound, see sim_load_bound()
  int64_t max_overload_us;      ///< longest time that one engine stayed above the load bound
  uint64_t overload_placements; ///< requests that put their engine above the load bound
  double max_load_ratio;        ///< highest ratio of an engine's load to the load bound
  uint64_t peer_messages;
  uint64_t peer_bytes;
  double peer_bytes_s;     ///< bytes per second sent by one router, mean
  double max_peer_bytes_s; ///< bytes per second sent by the busiest router
  uint64_t engine_restarts;
} SimResult;

struct SimEngine
{
  uint32_t index;
  uint32_t domain;
  uint64_t id;
  char name[TT_NAME_MAX];
  bool up;
  double slowdown;           ///< multiplies the prefill and decode times; 1 = healthy
  uint64_t epoch;            ///< incremented when the engine stops or starts
  TtList running;            ///< SimRequest.link
  TtList waiting;            ///< SimRequest.link
  uint32_t reported_load;    ///< load in its last report
  int64_t overload_since_us; ///< start of the time above the load bound; 0 = within it
  TtList cache;              ///< SimCacheEntry.link, least recently used first
  TtList *cache_buckets;
  uint64_t cache_used;
  uint32_t *in_flight; ///< requests in flight from each router
};

typedef struct
{
  int64_t at_us;
  uint64_t order; ///< tie-breaker: events of the same time run in the order of their creation
  int type;
  uint32_t index;
  uint64_t request_serial; ///< SimRequest.serial at the time of scheduling
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
  TtRng rng;   ///< for the workload
  TtRng noise; ///< for the baseline policies and the network; separate from Sim.rng, so that all
               ///< policies get the same workload
  TtRng restart_rng; ///< for the engine restarts
  int64_t now_us;
  bool measuring;
  SimEngine *engines;
  TtBoard **boards; ///< one for each router; NULL for a baseline policy
  uint64_t *sent_bytes;
  TtDocument *document;
  TtHostEntry *hosts;
  uint32_t host_count;
  uint64_t hosts_version;
  SimEvent *event_heap;
  uint32_t event_heap_count, event_heap_capacity;
  uint64_t next_event_order;
  SimChat **idle_chats; ///< chats without an open request
  uint32_t idle_chat_count, idle_chat_capacity;
  double *account_sums; ///< cumulative weights of the accounts
  SimRequest *requests;
  uint32_t request_count;
  TtList free_requests;
  SimRingPoint *hash_ring;
  uint32_t next_engine;
  double first_token_sum_us;
};

/// Fills in the configuration of a small fleet with a constant load.
void sim_defaults (SimConfig *config);

/// sim_run - runs one configuration from start to end
///
/// RETURN     0, or -1 when memory is exhausted
int sim_run (const SimConfig *config, SimResult *result);

/// Name of a policy in the printed tables.
const char *sim_policy_name (SimPolicy policy);

/// Load of an engine: its running and queued requests.
uint32_t sim_engine_load (const SimEngine *engine);

/// Load bound P1 of the engines of a failure domain: ceil (load_multiple * mean load) + 1, over the
/// running engines; 0 if none is running.
uint32_t sim_load_bound (const Sim *sim, uint32_t domain);

/// Stops an engine, which fails the attempts on it, or starts it with an empty cache. Does nothing
/// if the engine is in this state already.
void sim_engine_set_available (Sim *sim, SimEngine *engine, bool up);

// Internal to bench/support.

typedef enum
{
  SIM_EVENT_ARRIVAL,
  SIM_EVENT_SURGE,
  SIM_EVENT_FIRST_TOKEN, ///< first token of a response; index: the request
  SIM_EVENT_NEXT_TOKENS, ///< further tokens of a response; index: the request
  SIM_EVENT_DONE,        ///< end of a response; index: the request
  SIM_EVENT_PEER,        ///< data: the message; index: the receiving router
  SIM_EVENT_TICK,        ///< index: the router
  SIM_EVENT_SAMPLE,
  SIM_EVENT_REPORT,         ///< load report; index: the engine
  SIM_EVENT_ENGINE_RESTART, ///< stops a random engine
  SIM_EVENT_ENGINE_START    ///< starts an engine that was stopped; index: the engine
} SimEventType;

/// Schedules an event. @serial is the SimRequest.serial of its request; 0 if it has none.
void sim_push_event (Sim *sim, int64_t at_us, SimEventType type, uint32_t index, uint64_t serial,
                     void *data);
/// Removes the next event. RETURN false if there is none.
bool sim_pop_event (Sim *sim, SimEvent *event);

int sim_engine_open (Sim *sim, SimEngine *engine);
void sim_engine_close (SimEngine *engine);
uint32_t sim_engine_cached_tokens (const SimEngine *engine, const SimRequest *request);
void sim_engine_submit (Sim *sim, SimEngine *engine, SimRequest *request);
void sim_engine_cancel (Sim *sim, SimRequest *request);
void sim_engine_handle_event (Sim *sim, const SimEvent *event);

int sim_workload_open (Sim *sim);
void sim_workload_close (Sim *sim);
/// Creates a request and sends it to a router, or to an engine with a baseline policy. A
/// request of the surge starts a new chat of SimConfig.surge_account.
void sim_workload_arrive (Sim *sim, bool surge);
/// Records the outcome of a request and frees its record; the chat becomes idle or ends.
void sim_request_end (Sim *sim, SimRequest *request, TtOutcome outcome);
/// Allocates the record of a hedge of @request; NULL if @request already has one or no record is
/// free.
SimRequest *sim_hedge_open (Sim *sim, SimRequest *request);
/// Cancels the hedge of @request, if there is one, and frees its record.
void sim_hedge_close (Sim *sim, SimRequest *request);

/// Picks an engine by a baseline policy; NULL if no engine is found.
SimEngine *sim_policy_pick (Sim *sim, const SimRequest *request);
int sim_policy_open (Sim *sim);

int sim_router_open (Sim *sim);
void sim_router_close (Sim *sim);
void sim_router_submit_request (Sim *sim, SimRequest *request);
void sim_router_progress (Sim *sim, SimRequest *request, uint32_t tokens);
void sim_router_attempt_done (Sim *sim, SimRequest *request, bool failed);
void sim_router_deliver_message (Sim *sim, uint32_t router, const TtPeerMessage *message);
void sim_router_tick (Sim *sim, uint32_t router);
void sim_router_update_hosts (Sim *sim);
/// Estimated encoded size of a peer message in bytes.
uint32_t sim_peer_message_bytes (const TtPeerMessage *message);
