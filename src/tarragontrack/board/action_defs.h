/// Actions: operations that the controllers request from the front end, queued in TtBoard.outbox.
#pragma once

#include "tarragontrack/board/list.h"
#include "tarragontrack/board/logevent_defs.h"
#include "tarragontrack/board/object_defs.h"
#include "tarragontrack/board/peer_defs.h"
#include "tarragontrack/board/request_defs.h"
#include "tarragontrack/board/store_defs.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_LOG_TEXT_MAX = 480 ///< bytes of a log line's text, including the final NUL
};

typedef enum
{
  TT_ACTION_DISPATCH,      ///< send the request to a backend server: `attempt`
  TT_ACTION_RELAY,         ///< relay this attempt's response to the caller: `attempt`
  TT_ACTION_CANCEL,        ///< abort the attempt and close its connection: `attempt`
  TT_ACTION_REPLY,         ///< end the request with an error or a recorded response: `reply`
  TT_ACTION_PLATFORM_CALL, ///< call the platform's API: `platform`
  TT_ACTION_PEER_SEND,     ///< send a message to another daemon: `peer`
  TT_ACTION_ORDER,         ///< send a role order to an engine: `order`
  TT_ACTION_KV_TRANSFER,   ///< export a chat's KV cache at one engine, import it at another: `kv`
  TT_ACTION_LOG,           ///< write a log event: `log`
  TT_ACTION_READINESS,     ///< the daemon's readiness changed: `ready`
  TT_ACTION_EXIT           ///< the drain is complete; the process can exit
} TtActionType;

typedef struct
{
  uint64_t request_id;
  uint64_t attempt_id;
  TtId128 token;
  uint64_t backend_id;
  uint32_t resume_from;   ///< number of tokens already relayed to the caller
  uint32_t priority;      ///< 0 is the highest
  uint32_t last_event_id; ///< the stream resumes after the event with this id; 0 = from the start
  uint32_t remaining_ms;  ///< remaining time of the request; 0 = no limit
} TtAttemptAction;

typedef struct
{
  uint64_t request_id;
  TtOutcome outcome;
  uint32_t status;         ///< HTTP status, used if no byte of a response was relayed yet
  uint32_t retry_after_ms; ///< 0 = none
  TtError error;
  const char *body; ///< TT_OUTCOME_RECORDED: the recorded response, valid until the next step
  uint32_t body_size;
} TtReplyAction;

typedef struct
{
  uint64_t call_id;
  TtPlatformOp op;
  char key[TT_KEY_MAX];
  TtStoreKind kind; ///< kind of the store entries: LIST, WATCH_ENTRIES, CREATE and REPLACE
  /// LIST: continue after this name, valid until the next step; NULL = from the start.
  const char *continue_after;
  bool answers_at_once; ///< WATCH_ENTRIES: does not wait for a change
  uint64_t version;
  const TtObject *object; ///< PUT: owned by the controller, valid until the next step
} TtPlatformAction;

typedef struct
{
  uint64_t member_id;
  char address[TT_ADDRESS_MAX];
  uint16_t port;
  TtPeerMessage *message; ///< freed with the action
} TtPeerAction;

typedef struct
{
  uint64_t backend_id;
  uint64_t fencing_token;
  TtEngineRole role;
} TtOrderAction;

typedef struct
{
  uint64_t chat_key;
  uint64_t from_backend_id;
  uint64_t to_backend_id;
} TtKvAction;

typedef struct
{
  TtLogEvent event;
  char text[TT_LOG_TEXT_MAX];
} TtLogAction;

typedef struct
{
  TtLink link; ///< on TtBoard.outbox
  TtActionType type;
  union
  {
    TtAttemptAction attempt;
    TtReplyAction reply;
    TtPlatformAction platform;
    TtPeerAction peer;
    TtOrderAction order;
    TtKvAction kv;
    TtLogAction log;
    bool ready;
  };
} TtAction;
