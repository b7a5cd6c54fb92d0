/// Error numbers and the error record, which names the step and the peer.
#pragma once

enum
{
  TT_OK = 0,
  TT_E_INVALID = -1,     ///< an argument or a value is wrong
  TT_E_LIMIT = -2,       ///< a stated bound was reached
  TT_E_NOT_FOUND = -3,   ///< no such object, model, service or record
  TT_E_CONFLICT = -4,    ///< a conditional update found another version
  TT_E_TIMEOUT = -5,     ///< no answer within the deadline; the effect is unknown
  TT_E_UNAVAILABLE = -6, ///< the peer refused or could not be reached; no effect
  TT_E_VERSION = -7,     ///< the peer speaks an unsupported protocol version
  TT_E_MALFORMED = -8,   ///< a message, document or settings file cannot be parsed
  TT_E_STALE = -9,       ///< an older epoch, fencing number or incarnation
  TT_E_AUTH = -10,       ///< the peer belongs to another fleet or has no key
  TT_E_CRASHED = -11,    ///< the peer closed the connection while it worked
  TT_E_CANCELLED = -12,  ///< the operation was cancelled by this side
  TT_E_NO_MEMORY = -13,  ///< memory could not be allocated
  TT_E_INTERNAL = -14,   ///< a rule of the program was broken
};

typedef enum
{
  TT_STEP_NONE,
  TT_STEP_SETTINGS,
  TT_STEP_DOCUMENT,
  TT_STEP_CALLER_READ,
  TT_STEP_CALLER_WRITE,
  TT_STEP_ADMIT,
  TT_STEP_CLAIM,
  TT_STEP_PLACE,
  TT_STEP_CONNECT,
  TT_STEP_SEND,
  TT_STEP_RECEIVE,
  TT_STEP_PLATFORM_READ,
  TT_STEP_PLATFORM_WRITE,
  TT_STEP_PLATFORM_WATCH,
  TT_STEP_PEER_SEND,
  TT_STEP_PEER_RECEIVE,
  TT_STEP_ORDER,
  TT_STEP_LISTEN,
  TT_STEP_COUNT
} TtStep;

enum
{
  TT_PEER_MAX = 64,   ///< bytes of a peer's name in an error, with the final NUL
  TT_DETAIL_MAX = 192 ///< bytes of an error's detail text, with the final NUL
};

typedef struct
{
  int code; ///< 0 or a negative TT_E_ number
  TtStep step;
  char peer[TT_PEER_MAX];
  char detail[TT_DETAIL_MAX];
} TtError;
