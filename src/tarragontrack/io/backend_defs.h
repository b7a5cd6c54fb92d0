/// Private types of the backend client, for io/backend_*.c only.
#pragma once

#include "tarragontrack/board/backend_defs.h"
#include "tarragontrack/codec/sse.h"
#include "tarragontrack/io/backend_client.h"

enum
{
  TT_BACKEND_ATTEMPT_BUCKETS = 1024,
  /// Size limit of a response's Content-Type, with the final NUL; a longer one is relayed
  /// truncated.
  TT_BACKEND_CONTENT_TYPE_MAX_BYTES = 96,
  /// A response up to this size is buffered whatever the others need.
  TT_BACKEND_SMALL_RESPONSE_BYTES = 16384,
  /// Size limit of the escaped text of received bytes in a log line, with the final NUL.
  TT_BACKEND_LOGGED_BYTES_MAX = 160,
  /// Size limit of a load report or an exported KV cache.
  TT_BACKEND_CONTROL_MAX_BYTES = 1 << 20
};

/// One attempt that runs on a backend server.
typedef struct
{
  TtLink link; ///< on TtBackendClient.buckets
  TtBackendClient *client;
  TtHttpCall *call;
  uint64_t id;
  uint64_t request_id;
  uint64_t backend_id;
  uint32_t resume_from;
  TtId128 token;
  char backend_name[TT_NAME_MAX];
  char content_type[TT_BACKEND_CONTENT_TYPE_MAX_BYTES];
  bool stream_requested; ///< the caller requested a stream
  bool maybe_sent;       ///< the server may have received a part of the request
  bool event_stream;     ///< the response is an event stream
  bool relayed;          ///< the response is relayed to the caller
  bool complete;         ///< the complete response was received
  bool buffer_exceeded;  ///< a non-streamed response exceeded the buffer limit and is relayed as it
                         ///< arrives
  bool chunked;          ///< the body comes in chunks
  bool unknown_form_reported; ///< bytes of no known form were logged
  unsigned status;
  size_t content_length; ///< as stated in the head of the response; SIZE_MAX = not stated
  char *buffer;
  size_t size;
  size_t capacity;
  size_t relayable_size; ///< bytes at the start of the buffer that may be relayed
  TtSseScan scan;
  TtResponseInfo response_info;
  TtHeaders headers;    ///< response headers that are relayed
  char *header_storage; ///< names and values of `headers`
  size_t header_size;
} TtBackendAttempt;

typedef enum
{
  TT_BACKEND_CONTROL_LOAD,
  TT_BACKEND_CONTROL_ORDER,
  TT_BACKEND_CONTROL_KV_EXPORT,
  TT_BACKEND_CONTROL_KV_IMPORT
} TtBackendControlType;

/// A call to a backend server outside of any request: load report, order, KV cache transfer.
typedef struct
{
  TtLink link; ///< on TtBackendClient.control_calls
  TtBackendClient *client;
  TtBackendControlType type;
  uint64_t backend_id;
  uint64_t fencing_token; ///< TT_BACKEND_CONTROL_ORDER only
  TtKvAction kv;          ///< TT_BACKEND_CONTROL_KV_EXPORT and TT_BACKEND_CONTROL_KV_IMPORT only
  TtHttpCall *call;
  unsigned status;
  bool has_length; ///< the head of the answer states the body's length
  bool incomplete; ///< a part of the body was not kept
  char *buffer;
  size_t size;
} TtBackendControlCall;

/// Schedule of load requests to one engine. The array of schedules has the same indices as the
/// board's backend records.
typedef struct
{
  uint64_t backend_id;
  /// Number of the last cache event received; reports call it `next`, requests `since`.
  uint64_t last_event_number;
  int64_t next_poll_us;
  bool in_flight;
} TtBackendLoadPoll;

struct TtBackendClient
{
  TtFront front;
  TtBackendClientOptions options;
  TtList buckets[TT_BACKEND_ATTEMPT_BUCKETS];
  size_t buffered_bytes; ///< capacity of all TtBackendAttempt.buffer
  TtList control_calls;
  TtBackendLoadPoll load_polls[TT_MAX_BACKENDS];
  uint64_t jitter_state;
};

/// Looks up an open attempt; NULL if it is closed or unknown.
TtBackendAttempt *tt_backend_attempt_find (TtBackendClient *client, uint64_t attempt_id);

/// Frees an attempt whose call has ended or was cancelled.
void tt_backend_attempt_free (TtBackendAttempt *attempt);

/// Posts the failure of an attempt to the board and frees the attempt. The attempt's HTTP call must
/// have ended or been cancelled.
void tt_backend_attempt_fail (TtBackendAttempt *attempt, const TtError *error);

/// Frees the buffer of an attempt, which holds nothing any more.
void tt_backend_attempt_free_buffer (TtBackendAttempt *attempt);

/// Relays the first TtBackendAttempt.relayable_size bytes of the buffer if the attempt is relayed,
/// and pauses its HTTP call if the caller is slow.
void tt_backend_attempt_flush (TtBackendAttempt *attempt);

/// Callbacks of an attempt's HTTP call.
void tt_backend_attempt_on_sent (void *context);
void tt_backend_attempt_on_headers (void *context, TtHttpCall *call, unsigned status);
void tt_backend_attempt_on_data (void *context, const char *data, size_t size);
void tt_backend_attempt_on_end (void *context, const TtError *error);

/// Posts a load report with its cache events to the board, or logs that it is none.
void tt_backend_control_parse_load_report (TtBackendClient *client, TtBackendLoadPoll *load_poll,
                                           const TtBackendControlCall *control);
