/// Error codes, and the error record, which holds the failed step and the peer.
#pragma once

enum
{
  TT_OK = 0,
  TT_E_INVALID = -1,     ///< an argument or a value is invalid
  TT_E_LIMIT = -2,       ///< a documented limit was reached
  TT_E_NOT_FOUND = -3,   ///< the object, model, service or record does not exist
  TT_E_CONFLICT = -4,    ///< a conditional update failed because the version differs
  TT_E_TIMEOUT = -5,     ///< no response before the deadline; the operation may have taken effect
  TT_E_UNAVAILABLE = -6, ///< the peer rejected the call or is unreachable; no effect
  TT_E_VERSION = -7,     ///< the peer uses an unsupported protocol version
  TT_E_MALFORMED = -8,   ///< a message, document or settings file cannot be parsed
  TT_E_STALE = -9,       ///< the epoch, fencing token or incarnation is outdated
  TT_E_AUTH = -10,       ///< the peer belongs to another fleet or has no key
  TT_E_CRASHED = -11,    ///< the peer closed the connection while processing
  TT_E_CANCELLED = -12,  ///< this side cancelled the operation
  TT_E_NO_MEMORY = -13,  ///< memory could not be allocated
  TT_E_INTERNAL = -14,   ///< an invariant of the program is violated
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
  TT_ERROR_PEER_MAX = 64,   ///< bytes of a peer's name in an error, including the final NUL
  TT_ERROR_DETAIL_MAX = 192 ///< bytes of an error's detail text, including the final NUL
};

typedef struct
{
  int code; ///< 0 or a negative TT_E_ code
  TtStep step;
  char peer[TT_ERROR_PEER_MAX];
  char detail[TT_ERROR_DETAIL_MAX];
} TtError;
