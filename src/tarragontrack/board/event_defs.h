/// Events: input of the board, delivered by the front end.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/object_defs.h"
#include "tarragontrack/board/peer_defs.h"
#include "tarragontrack/board/request_defs.h"
#include "tarragontrack/board/store_defs.h"
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  TT_EVENT_TICK,              ///< periodic, at least every TT_TICK_INTERVAL_US
  TT_EVENT_REQUEST,           ///< a request arrived: `request`
  TT_EVENT_CALLER_CLOSED,     ///< the caller closed the connection: `request_id`
  TT_EVENT_OUTCOME_QUERY,     ///< a caller queries a recorded outcome: `outcome_query`
  TT_EVENT_ATTEMPT_SENT,      ///< the first byte was written to the connection: `attempt`
  TT_EVENT_ATTEMPT_PROGRESS,  ///< part of the response arrived: `attempt`
  TT_EVENT_ATTEMPT_DONE,      ///< the complete response arrived: `attempt`
  TT_EVENT_ATTEMPT_FAILED,    ///< the attempt failed: `attempt` and `error`
  TT_EVENT_LOAD_REPORT,       ///< a backend server reported its load: `load`
  TT_EVENT_CACHE_UPDATE,      ///< an engine stored or evicted a chat's KV cache: `cache`
  TT_EVENT_ORDER_RESPONSE,    ///< an engine accepted or rejected a role order: `order`
  TT_EVENT_PLATFORM_RESPONSE, ///< response to a platform call: `platform`
  TT_EVENT_PEER_MESSAGE,      ///< a message from another daemon arrived: `peer`
  TT_EVENT_DRAIN              ///< a stop of the process was requested
} TtEventType;

/// Query for a recorded outcome. The board responds with a TT_ACTION_REPLY for `request_id`.
typedef struct
{
  uint64_t request_id; ///< from tt_board_next_id()
  TtId128 key;         ///< hash of client account and Idempotency-Key
} TtOutcomeQuery;

typedef struct
{
  uint64_t attempt_id;
  uint32_t tokens;        ///< tokens received with this event
  uint32_t status;        ///< DONE: HTTP status
  uint32_t cached_tokens; ///< DONE: prompt tokens found in the engine's cache
  uint32_t prompt_tokens; ///< DONE: prompt tokens as counted by the engine; 0 = not reported
  const char *body;       ///< DONE, plain services: the response, valid during the step
  uint32_t body_size;
  bool maybe_sent;     ///< FAILED: bytes of the request may have reached the peer
  bool exceeds_buffer; ///< PROGRESS: a plain response exceeds the buffer; it is relayed in parts
  bool event_stream;   ///< PROGRESS, DONE: the response is a stream of events
  bool not_executed;   ///< PROGRESS, DONE: the backend server did not run the request
  bool leaving;        ///< PROGRESS, DONE: the backend server says that it leaves
  uint32_t unavailable_ms; ///< PROGRESS, DONE: time for which the backend server wants no requests
  uint32_t last_event_id;  ///< id of the last complete event; 0 = none
  TtLoadSample load;       ///< load from the response headers
} TtAttemptEvent;

typedef struct
{
  uint64_t backend_id;
  uint32_t running;
  uint32_t waiting;
  TtEngineRole role;
} TtLoadEvent;

typedef struct
{
  uint64_t backend_id;
  uint64_t chat_key;
  bool stored; ///< false: evicted
} TtCacheEvent;

typedef struct
{
  uint64_t backend_id;
  uint64_t fencing_token;
  bool rejected; ///< the engine has already received a higher fencing token
} TtOrderEvent;

typedef struct
{
  uint64_t call_id;
  TtPlatformOp op;
  int code;                ///< 0, TT_E_CONFLICT, TT_E_NOT_FOUND, TT_E_TIMEOUT (effect unknown),
                           ///< TT_E_UNAVAILABLE (no effect), TT_E_MALFORMED, TT_E_CRASHED (a
                           ///< read whose connection the platform closed without a response)
  uint64_t version;        ///< current version of the object; 0 = absent
  uint64_t era;            ///< of the store, if it answered the call or no longer has the revision
  bool unchanged;          ///< WATCH and HOSTS: the version equals the one in the call
  const TtObject *object;  ///< valid during the step; NULL if absent or unchanged
  TtStoreEntries *entries; ///< LIST, WATCH_ENTRIES, PEER: valid during the step; NULL if none
} TtPlatformEvent;

typedef struct
{
  TtEventType type;
  TtError error;
  union
  {
    const TtRequestSpec *request;
    uint64_t request_id;
    TtOutcomeQuery outcome_query;
    TtAttemptEvent attempt;
    TtLoadEvent load;
    TtCacheEvent cache;
    TtOrderEvent order;
    TtPlatformEvent platform;
    const TtPeerMessage *peer; ///< valid during the step
  };
} TtEvent;
