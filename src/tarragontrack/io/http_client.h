/// HTTP client on the libuv loop (libcurl's multi interface): deadlines, streamed answers, cancel.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

typedef struct TtHttpClient TtHttpClient;
typedef struct TtHttpCall TtHttpCall;

/// One call. `method`, `peer` and the callbacks' context must stay valid until on_end; other texts
/// are copied.
typedef struct
{
  const char *method;         ///< any method
  const char *url;            ///< http://IP:PORT/path
  const char *peer;           ///< name of the other side, for errors
  const char *const *headers; ///< "Name: value" strings, NULL-terminated; may be NULL
  const char *target;         ///< path with query that is sent as it is; NULL = that of `url`
  const char *body;           ///< copied
  size_t body_size;
  uint32_t connect_timeout_ms;
  uint32_t total_timeout_ms; ///< 0 = none; the owner of the call cancels it
  /// Opens a new connection. For calls that must not be repeated: a server that closes an idle
  /// connection while the request arrives leaves the effect unknown.
  bool fresh_connection;
  /// Closes the connection after the answer. For servers that count idle connections against their
  /// limit.
  bool single_use;
  bool probes_idle;       ///< finds within seconds that the connection fell silent while it waits
  bool close_ends_answer; ///< an answer without a length ends with its connection
  void *context;
  void (*on_sent) (void *context); ///< first byte was sent; may be NULL
  void (*on_headers) (void *context, TtHttpCall *call, unsigned status); ///< may be NULL
  void (*on_data) (void *context, const char *data, size_t size);
  /// Called once, last, unless the call was cancelled. error->code is 0 when the whole answer
  /// arrived, TT_E_UNAVAILABLE when nothing was sent, TT_E_CRASHED when the peer closed the
  /// connection before the end, TT_E_TIMEOUT otherwise.
  void (*on_end) (void *context, const TtError *error);
} TtHttpRequest;

/// Makes a client; NULL if memory could not be allocated.
TtHttpClient *tt_http_client_new (uv_loop_t *loop);

/// Cancels all calls without callbacks and frees the client once the loop has closed its handles.
void tt_http_client_free (TtHttpClient *client);

/// Starts a call; NULL if memory could not be allocated. No callback runs before it returns.
TtHttpCall *tt_http_client_start (TtHttpClient *client, const TtHttpRequest *request);

/// Calls @visit for each header of an answer; names come in lower case.
void tt_http_call_each_header (TtHttpCall *call,
                               void (*visit) (void *context, const char *name, const char *value),
                               void *context);

/// Value of an answer's header, or NULL. Valid until on_end returns.
const char *tt_http_call_header (const TtHttpCall *call, const char *name);

/// Stops or resumes reading, for backpressure.
void tt_http_call_pause (TtHttpCall *call, bool paused);

/// Ends a call without further callbacks and closes its connection, which is not used again.
void tt_http_call_cancel (TtHttpCall *call);
