/// HTTP client on the libuv loop (libcurl's multi interface): timeouts, streamed responses,
/// cancellation.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

typedef struct TtHttpClient TtHttpClient;
typedef struct TtHttpCall TtHttpCall;

/// Parameters of one call. `method`, `peer` and `context` must stay valid until on_end; other
/// strings are copied.
typedef struct
{
  const char *method;         ///< any method
  const char *url;            ///< http://IP:PORT/path
  const char *peer;           ///< name of the server in errors
  const char *const *headers; ///< "Name: value" strings, NULL-terminated; may be NULL
  const char *target;         ///< path with query, sent unmodified; NULL = that of `url`
  const char *body;           ///< copied
  size_t body_size;
  uint32_t connect_timeout_ms;
  uint32_t total_timeout_ms; ///< 0 = none; the call's owner cancels the call instead
  /// Opens a new connection. For requests that must not be executed twice: if the server closes an
  /// idle connection while a request is in transit on it, it is unknown whether the request was
  /// executed.
  bool fresh_connection;
  /// Closes the connection after the response. For servers that count idle connections against
  /// their limit.
  bool single_use;
  /// Enables TCP keepalive, which detects a dead connection within seconds while the call waits.
  bool tcp_keepalive;
  bool close_ends_response; ///< the end of the connection ends a response without a length
  void *context;
  void (*on_sent) (void *context); ///< the first byte was sent; may be NULL
  void (*on_headers) (void *context, TtHttpCall *call, unsigned status); ///< may be NULL
  void (*on_data) (void *context, const char *data, size_t size);
  /// Called once as the last callback, unless the call was cancelled. error->code is 0 if the
  /// complete response was received, TT_E_UNAVAILABLE if nothing was sent, TT_E_CRASHED if the peer
  /// closed the connection before the end of the response or the end cannot be verified,
  /// TT_E_MALFORMED if it sent bytes that are no response, TT_E_TIMEOUT otherwise.
  void (*on_end) (void *context, const TtError *error);
} TtHttpRequest;

/// Creates a client; NULL if memory could not be allocated.
TtHttpClient *tt_http_client_new (uv_loop_t *loop);

/// Cancels all calls without callbacks, and frees the client after the loop has closed its handles.
void tt_http_client_free (TtHttpClient *client);

/// Starts a call; NULL if memory could not be allocated. Callbacks run only after it returns.
TtHttpCall *tt_http_client_start (TtHttpClient *client, const TtHttpRequest *request);

/// Calls @visit for each response header, with the name in lower case. Headers with names of 128
/// bytes or more are skipped.
void tt_http_call_visit_headers (TtHttpCall *call,
                                 void (*visit) (void *context, const char *name, const char *value),
                                 void *context);

/// Value of a response header; NULL if it is absent. Valid until on_end returns.
const char *tt_http_call_get_header (const TtHttpCall *call, const char *name);

/// Length of the response's body as stated in its head; SIZE_MAX if it is not.
size_t tt_http_call_content_length (const TtHttpCall *call);

/// tt_http_call_rejected_bytes - the bytes of the server that are no response; valid until on_end
/// returns
///
/// ARGUMENTS  data, size: set to the first of these bytes; size 0 if they were not kept
/// RETURN     "head" or "framing"; NULL if no byte was rejected
const char *tt_http_call_rejected_bytes (const TtHttpCall *call, const char **data, size_t *size);

/// Pauses or resumes reading the response, for backpressure.
void tt_http_call_pause (TtHttpCall *call, bool paused);

/// Cancels a call without further callbacks and closes its connection instead of reusing it.
void tt_http_call_cancel (TtHttpCall *call);
