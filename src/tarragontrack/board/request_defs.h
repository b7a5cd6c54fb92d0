/// Requests and their attempts. A request is in one stage at a time; each stage has one list.
#pragma once

#include "tarragontrack/board/admit_defs.h"
#include "tarragontrack/board/claim_defs.h"
#include "tarragontrack/board/dispatch_defs.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/length_defs.h"
#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/list.h"
#include "tarragontrack/board/place_defs.h"
#include "tarragontrack/board/poison_defs.h"
#include "tarragontrack/board/quarantine_defs.h"
#include "tarragontrack/board/recovery_defs.h"
#include "tarragontrack/board/retry_defs.h"
#include "tarragontrack/board/route_defs.h"
#include <stdbool.h>
#include <stdint.h>

typedef struct TtBackendServer TtBackendServer;
typedef struct TtPool TtPool;
typedef struct TtClientAccount TtClientAccount;

typedef enum
{
  TT_STAGE_FREE,     ///< unused record in the pool
  TT_STAGE_ARRIVED,  ///< added to the board; `poison` and `admit` process it next
  TT_STAGE_QUEUED,   ///< waits in a queue of `admit`
  TT_STAGE_CLAIMING, ///< dequeued; `claim` is writing its claim
  TT_STAGE_READY,    ///< can be dispatched; `place` selects a backend server
  TT_STAGE_RUNNING,  ///< has at least one open attempt
  TT_STAGE_FINISHED, ///< outcome set, attempts closed; freed when it has no unsettled claim
  TT_STAGE_COUNT
} TtStage;

typedef enum
{
  TT_OUTCOME_NONE,
  TT_OUTCOME_COMPLETE, ///< the complete response of the backend server was relayed
  TT_OUTCOME_NOT_RUN,  ///< not executed; holds for all requests with the same idempotency key
  TT_OUTCOME_UNKNOWN,  ///< the request may have been executed, or may still be executing
  TT_OUTCOME_CUT,      ///< the response was truncated: a part was relayed, then an explicit error
  TT_OUTCOME_RECORDED, ///< the recorded outcome of an earlier attempt was returned
  TT_OUTCOME_INVALID   ///< the request is invalid and was not executed
} TtOutcome;

typedef enum
{
  TT_ATTEMPT_OPEN,    ///< dispatched; no confirmation yet that bytes of the request were sent
  TT_ATTEMPT_SENT,    ///< bytes of the request were sent
  TT_ATTEMPT_RELAYED, ///< bytes of the response were relayed to the caller
  TT_ATTEMPT_CLOSED   ///< completed, failed or cancelled
} TtAttemptState;

/// Properties of a request that the front end determines on arrival.
typedef struct
{
  uint64_t request_id;                  ///< from tt_board_next_id()
  char external_id[TT_EXTERNAL_ID_MAX]; ///< id shown to the caller: generated, or the caller's own
  char account[TT_NAME_MAX];
  uint64_t account_key_hash; ///< hash that identifies the bearer token in documents; 0 = no token
  char service[TT_NAME_MAX]; ///< model name, or name of the plain service
  char kind[TT_NAME_MAX];    ///< X-Work-Kind; empty = default
  uint64_t chat_key;         ///< hash that identifies the chat
  uint64_t prefix_key;       ///< hash of the prompt prefix shared between chats; 0 = none
  uint64_t route_hint;       ///< backend server id from X-Chat-Route; 0 = none
  uint64_t body_hash;
  TtId128 idempotency_key; ///< hash of account and Idempotency-Key; zero = none
  bool safe_method;        ///< GET or HEAD
  bool stream;
  uint32_t prompt_tokens;     ///< estimate based on the body's size
  uint32_t max_tokens;        ///< 0 = not given
  uint32_t start_deadline_ms; ///< caller's deadline for the start; 0 = default of the document
  // Only for requests that a routing table places; see route_defs.h.
  const char *host;        ///< valid during the event's step only
  const char *path;        ///< including the query; valid during the event's step only
  TtId128 bearer_key_hash; ///< hash of the bearer key in the routing table; zero = none
  uint64_t first_part_key; ///< hash of the first shared prompt part; 0 = none
  uint64_t part_keys[TT_MAX_PROMPT_PARTS]; ///< of the different shared prompt parts: the number
                                           ///< that names a part, or its hash
  uint32_t part_count;
  uint32_t shared_tokens;       ///< tokens of the prompt parts that are shared with other requests
  uint32_t last_event_id;       ///< id of the last event that the caller received; 0 = none
  uint32_t response_timeout_ms; ///< caller's timeout for the complete response; 0 = not given
} TtRequestSpec;

typedef struct TtRequest TtRequest;

/// One dispatch of a request to one backend server.
///
/// OWNERSHIP  `place` creates attempts for requests in TT_STAGE_READY, `retry` creates hedges and
///            resumed attempts; with a routing table, `dispatch` creates all attempts
typedef struct
{
  TtLink request_link; ///< on TtRequest.attempts
  TtLink backend_link; ///< on TtBackendServer.attempts
  uint64_t id;
  TtId128 token; ///< random; sent with the attempt and compared with the response's
  TtRequest *request;
  TtBackendServer *backend;
  uint64_t process_start_ms; ///< process of the backend server when the attempt was dispatched
  TtAttemptState state;
  bool hedge;           ///< opened while another attempt of the request was open
  uint32_t resume_from; ///< tokens relayed before this attempt; 0 = from the start
  uint32_t tokens;      ///< tokens received
  int64_t dispatched_us;
  int64_t first_token_us;   ///< 0 = none yet
  int64_t last_progress_us; ///< time when the last bytes arrived
} TtAttempt;

struct TtRequest
{
  TtLink stage_link;
  TtLink bucket_link; ///< on TtRequestSection.buckets
  TtStage stage;
  bool finish_notified; ///< on_finished of the controllers was called
  TtRequestSpec spec;
  TtPool *pool;
  TtClientAccount *account;
  uint32_t priority;
  bool idempotent; ///< safe to execute more than once
  int64_t arrived_us;
  int64_t start_deadline_us; ///< latest start
  uint32_t relayed_tokens;
  bool relayed;           ///< bytes of a response were relayed to the caller
  TtAttempt *winner;      ///< attempt whose response is relayed; NULL until its first token
  TtList attempts;        ///< open attempts, TtAttempt.request_link
  uint32_t attempt_count; ///< attempts opened so far, including closed ones
  TtOutcome outcome;
  TtAdmitRequest admit;
  TtClaimRequest claim;
  TtLengthRequest length;
  TtPlaceRequest place;
  TtPoisonRequest poison;
  TtQuarantineRequest quarantine;
  TtRetryRequest retry;
  char cause[TT_CAUSE_MAX];       ///< reason for ending without a complete response; empty = none
  char last_backend[TT_NAME_MAX]; ///< backend server of the most recent attempt, for the log
  int64_t first_response_us;      ///< time of the first part of a response for the caller; 0 = none
  TtRouteRequest route;
  TtDispatchRequest dispatch;
  TtRecoveryRequest recovery;
};
