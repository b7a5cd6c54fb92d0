/// Dialects: the encoding of requests, responses and attempts for one kind of deployment. The
/// caller server and the backend client transfer bytes; a dialect defines header names and formats.
/// None of them makes routing decisions.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include "tarragontrack/codec/sse.h"
#include <stddef.h>

/// One header. The name is in lower case.
typedef struct
{
  const char *name;
  const char *value;
} TtHeader;

typedef struct
{
  TtHeader *entries;
  size_t count;
} TtHeaders;

/// Callback for each header that a dialect writes; it copies name and value.
typedef void (*TtAddHeader) (void *target, const char *name, const char *value);

/// One request of a caller, with everything that is sent to a backend server. Stays allocated until
/// the board has finished the request and the caller's connection has released it.
typedef struct
{
  uint64_t id;
  TtRequestSpec spec;
  const char *method;
  const char *path; ///< includes the query
  const char *host; ///< empty if absent
  TtHeaders headers;
  const char *body;
  size_t body_size;
  /// Attempt whose response is relayed; 0 = none. Set by the backend client.
  uint64_t relayed_attempt_id;
  size_t relayed_bytes; ///< bytes of a backend server's body that were passed on to the caller
} TtCallerCall;

/// Head of a relayed response.
typedef struct
{
  unsigned status;
  const char *content_type; ///< NULL = absent
  size_t content_length;    ///< SIZE_MAX = unknown
  uint64_t backend_id;
  bool complete;     ///< the complete response is available
  TtHeaders headers; ///< headers of the backend server's response that the dialect relays
} TtResponseHead;

/// Properties of a backend server's response, read from its head.
typedef struct
{
  unsigned status;         ///< in
  bool stream_requested;   ///< in: the caller requested a stream
  uint32_t resume_from;    ///< in: tokens that the caller has already received
  bool event_stream;       ///< the response is an event stream, relayed as it arrives
  bool not_executed;       ///< the backend server did not execute the request
  bool leaving;            ///< the backend server says that it leaves
  uint32_t unavailable_ms; ///< time for which the backend server wants no requests from this
                           ///< daemon; 0 = not stated
  TtLoadSample load;
} TtResponseInfo;

/// Callback that looks up a response header; NULL if it is absent.
typedef const char *(*TtFindHeader) (void *source, const char *name);

typedef struct
{
  void *context;
  /// A stream that cannot be completed ends by closing the connection, not with an error event.
  bool closes_incomplete_streams;
  bool close_ends_response;    ///< the end of the connection ends a response without a length
  bool connection_per_attempt; ///< each attempt opens a new connection and closes it afterwards

  /// Parses a request and fills in the event for the board. RETURN 0 or a negative error number.
  int (*parse_request) (void *context, const TtBoard *board, TtCallerCall *call, TtEvent *event,
                        TtError *error);
  /// Writes the headers of a relayed response.
  void (*write_response_headers) (void *context, const TtCallerCall *call,
                                  const TtResponseHead *head, TtAddHeader add, void *target);
  /// Writes the headers of a generated or recorded response, and the body of a generated one.
  /// RETURN the length of the body.
  size_t (*write_local_reply) (void *context, const TtCallerCall *call, const TtReplyAction *reply,
                               TtAddHeader add, void *target, char *body, size_t size);
  /// Writes the request headers of an attempt.
  void (*write_attempt_headers) (void *context, TtBoard *board, const TtAttemptAction *action,
                                 const TtCallerCall *call, TtAddHeader add, void *target);
  /// Parses the head of an attempt's response. RETURN 0, or a negative error number with @reason
  /// set if the response belongs to another attempt or must not be relayed.
  int (*parse_response_head) (void *context, const TtCallerCall *call, TtId128 token,
                              TtFindHeader find, void *source, TtResponseInfo *info,
                              const char **reason);
  /// True if a header of a backend server's response is relayed to the caller.
  bool (*relays_header) (void *context, const char *name);
  /// Parses the complete events at the start of @data. RETURN the number of bytes to relay.
  size_t (*scan) (const char *data, size_t size, TtSseScan *scan);
  /// Parses the token counts of a complete non-streamed response; may be NULL.
  void (*parse_usage) (const char *data, size_t size, TtSseScan *scan);
} TtDialect;
