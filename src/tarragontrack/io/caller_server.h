/// Server for callers: reads requests and writes responses with backpressure.
#pragma once

#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/io/dialect_defs.h"
#include "tarragontrack/io/front_defs.h"
#include "tarragontrack/io/http_server.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct TtCallerServer TtCallerServer;

typedef struct
{
  TtHttpServerOptions http;       ///< the server sets the board, the context and the callbacks
  const TtDialect *dialect;       ///< must outlive the caller server
  uint32_t response_buffer_bytes; ///< response bytes buffered for a slow caller; above this,
                                  ///< reading from the backend server pauses
  /// Limit on the unsent bytes of all responses. Above it, a slow caller is given only small parts.
  size_t total_buffer_bytes;
  void *context;
  /// Called when writes may resume: a slow caller has read enough, or its connection was closed.
  void (*on_writable) (void *context, uint64_t request_id);
} TtCallerServerOptions;

/// tt_caller_server_new - creates the server and listens for callers
///
/// RETURN     the server, or NULL with @error set
TtCallerServer *tt_caller_server_new (const TtFront *front, const TtCallerServerOptions *options,
                                      TtError *error);

/// Reloads the TLS certificate; see tt_http_server_reload_certificate().
int tt_caller_server_reload_certificate (TtCallerServer *server, TtError *error);

/// Changes the limits on requests; see tt_http_server_set_limits().
void tt_caller_server_set_limits (TtCallerServer *server, uint32_t max_header_bytes,
                                  uint32_t max_body_bytes, uint32_t read_timeout_ms);

/// Ends connections as tt_http_server_check() does. The daemon calls it on each tick.
void tt_caller_server_check (TtCallerServer *server, int64_t now_us);

/// Drains connections so that callers reconnect to other daemons; see tt_http_server_drain().
void tt_caller_server_drain (TtCallerServer *server);

/// Stops accepting connections; open requests continue.
void tt_caller_server_stop_accepting (TtCallerServer *server);

/// Number of requests whose response is not completely written.
uint32_t tt_caller_server_count_open_requests (const TtCallerServer *server);

/// Frees the server after the event loop has ended. With open requests, which still reference the
/// server, its memory is not freed.
void tt_caller_server_free (TtCallerServer *server);

/// Looks up a request; NULL if it is finished or unknown.
TtCallerCall *tt_caller_server_find (TtCallerServer *server, uint64_t request_id);

/// Starts the response with its head, unless an earlier attempt started it.
void tt_caller_server_start_response (TtCallerServer *server, TtCallerCall *call,
                                      const TtResponseHead *head);

/// tt_caller_server_write_response - appends data to the response
///
/// RETURN     true if the caller is slow: write nothing more until on_writable is called
bool tt_caller_server_write_response (TtCallerServer *server, TtCallerCall *call, const char *data,
                                      size_t size);

/// Ends a complete response. @call is invalid after this.
void tt_caller_server_end_response (TtCallerServer *server, TtCallerCall *call);

/// Executes a TT_ACTION_REPLY action: sends an error response or a recorded response, or ends an
/// incomplete response with an error event or by closing the connection.
void tt_caller_server_reply (TtCallerServer *server, const TtReplyAction *reply);
