/// Request execution of the engine stand-in: continuous batching with a batch limit and a fixed
/// time per token.
#pragma once

#include "engine_cache.h"
#include "standin.h"
#include "tarragontrack/board/list.h"
#include <h2o.h>

typedef struct EngineRequestGuard EngineRequestGuard;

typedef struct
{
  Standin standin;
  EngineCache cache;
  TtList running; ///< EngineJob.link
  TtList waiting; ///< EngineJob.link, by priority, most urgent first
  // Options.
  long batch_limit;
  long token_ms;      ///< time per generated token
  long prefill_us;    ///< time per uncached prompt token
  long max_tokens;    ///< of a response if the request sets no limit
  long load_lag_ms;   ///< maximum age of load reports, and delay before an order takes effect
  long check_fencing; ///< 1 = rejects orders with an outdated fencing token
  // Faults.
  long slow_factor;          ///< factor applied to all processing times
  uint64_t down_until_ms;    ///< after a crash, requests fail until this time
  uint64_t silent_before_ms; ///< requests on connections opened before it get no response; 0 = none
  long truncate_after_tokens; ///< the next stream breaks off after this many tokens; 0 = none
  long wrong_id_responses;    ///< number of upcoming streams to send with a wrong attempt id
  // State.
  uint64_t last_fencing_token; ///< highest fencing token of an accepted order
  uint64_t pending_role_due_ms;
  json_object *role;         ///< model, adapter, version, role
  json_object *pending_role; ///< replaces Engine.role at Engine.pending_role_due_ms; NULL = none
  long reported_running;
  long reported_waiting;
  uint64_t served_requests;
  uint64_t generated_tokens;
  uv_timer_t tick;
  uv_timer_t report;
} Engine;

typedef struct
{
  TtLink link; ///< on Engine.running or Engine.waiting
  Engine *engine;
  h2o_req_t *request; ///< NULL once h2o has freed the request
  EngineRequestGuard *guard;
  h2o_generator_t generator;
  long priority;
  bool stream;
  bool running;
  bool headers_sent;
  bool sending; ///< h2o is writing EngineJob.inflight
  bool finished;
  bool crashes_engine; ///< the engine crashes when it runs this request
  uint32_t prompt_tokens;
  uint32_t cached_tokens;
  uint32_t response_tokens;  ///< of the complete response
  uint32_t generated_tokens; ///< tokens generated, counting those before EngineJob.resume_from
  uint32_t resume_from;      ///< position in the response at which the stream resumes; 0 = start
  uint64_t seed;             ///< hash of the request body; determines the response text
  uint64_t next_token_ms;    ///< when the next token is due
  uint64_t connected_ms;     ///< when the connection was opened
  h2o_buffer_t *output;      ///< not yet passed to h2o
  h2o_buffer_t *inflight;    ///< being written by h2o
} EngineJob;

/// Adds a chat completion request to the queue.
void engine_job_add (Engine *engine, h2o_req_t *request);

/// Starts waiting jobs, generates the tokens that are due, and cancels jobs whose client has
/// disconnected.
void engine_job_run_due (Engine *engine);

/// Closes the connections of all jobs, empties the cache and fails requests for @down_ms.
void engine_crash (Engine *engine, long down_ms);
