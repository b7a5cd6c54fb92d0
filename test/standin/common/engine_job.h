/// Requests that run on the engine stand-in: continuous batching with a batch limit and a token
/// pace.
#pragma once

#include "engine_cache.h"
#include "standin.h"
#include "tarragontrack/board/list.h"
#include <h2o.h>

typedef struct EngineGuard EngineGuard;

typedef struct
{
  Standin standin;
  EngineCache cache;
  TtList running; ///< EngineJob.link
  TtList waiting; ///< EngineJob.link, the most urgent first
  // Options.
  long batch_limit;
  long token_ms;   ///< time of a token
  long prefill_us; ///< time of a prompt token that is not cached
  long max_tokens; ///< of an answer that does not state a limit
  long load_lag_ms;
  long fencing; ///< 1 = refuses orders with an old number
  // Faults.
  long slow;               ///< factor on all times
  uint64_t down_until_ms;  ///< after a crash, no request is answered before this time
  uint64_t silent_from_ms; ///< connections opened before are never answered; 0 = none
  long cut_after;          ///< the next stream ends after this many tokens; 0 = none
  long wrong_id;           ///< answers that carry another attempt's id
  // State.
  uint64_t fencing_seen;
  uint64_t order_due_ms;
  json_object *role;    ///< model, adapter, version, role
  json_object *ordered; ///< comes into force at order_due_ms; NULL = none
  long reported_running;
  long reported_waiting;
  uint64_t served;
  uint64_t generated; ///< tokens
  uv_timer_t tick;
  uv_timer_t report;
} Engine;

typedef struct
{
  TtLink link; ///< on Engine.running or Engine.waiting
  Engine *engine;
  h2o_req_t *request; ///< NULL once the caller has gone
  EngineGuard *guard;
  h2o_generator_t generator;
  long priority;
  bool stream;
  bool running;
  bool begun;
  bool sending;
  bool ended;
  bool crashes; ///< the engine crashes when it runs this request
  uint32_t prompt_tokens;
  uint32_t cached_tokens;
  uint32_t tokens; ///< of the whole answer
  uint32_t made;
  uint32_t resume_from;
  uint64_t seed;
  uint64_t next_ms;
  uint64_t connected_ms; ///< when the connection was opened
  h2o_buffer_t *output;
  h2o_buffer_t *inflight;
} EngineJob;

/// Takes a chat completion into the queue.
void engine_job_add (Engine *engine, h2o_req_t *request);

/// Runs all jobs up to the present time.
void engine_job_run (Engine *engine);

/// Breaks the connections of all jobs, empties the cache and refuses requests for a time.
void engine_crash (Engine *engine, long down_ms);
