/// HTTP/1.1 and HTTP/2 server (h2o) on one port, for callers and for operators.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/io/dialect_defs.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

typedef struct TtHttpServer TtHttpServer;
struct st_h2o_req_t;

enum
{
  TT_HTTP_RECEIVE_BUFFER_BYTES = 65536 ///< of the kernel, for each connection
};

typedef struct
{
  const char *address; ///< IP address
  uint16_t port;
  const char *certificate_file; ///< PEM; NULL = cleartext
  const char *key_file;
  uint32_t max_connections; ///< above it, a connection that waits for its caller is closed
  uint32_t max_body_bytes;
  uint32_t max_header_bytes; ///< total size of the path, header names and header values
  uint32_t read_timeout_ms;  ///< for the head and for the body of a request; idle timeout of
                             ///< HTTP/2 connections
  /// Keeps the account of what connections hold (control/intake.h); NULL = none, and connections
  /// above max_connections are closed immediately.
  TtBoard *board;
  void *context;
  /// Writes headers and body of the response to a request that is refused before it is read whole;
  /// NULL = tt_http_server_format_refusal(). RETURN the size of the body.
  size_t (*format_refusal) (void *context, const TtReplyAction *reply, TtAddHeader add,
                            void *target, char *body, size_t size);
  /// Handles a request; the response may be sent later.
  void (*on_request) (void *context, struct st_h2o_req_t *request);
} TtHttpServerOptions;

/// tt_http_server_new - creates a server and listens; strings in @options must stay valid
///
/// RETURN     the server, or NULL with @error set
TtHttpServer *tt_http_server_new (uv_loop_t *loop, const TtHttpServerOptions *options,
                                  TtError *error);

/// Reloads the TLS certificate; on failure, the previous one stays in use. RETURN 0 or a negative
/// error number.
int tt_http_server_reload_certificate (TtHttpServer *server, TtError *error);

/// Stops accepting connections and shuts down the open ones gracefully after their requests.
void tt_http_server_shut_down (TtHttpServer *server);

/// Changes the limits on request size, and on the time to wait for an HTTP/1.1 request; 0 =
/// unchanged.
void tt_http_server_set_limits (TtHttpServer *server, uint32_t max_header_bytes,
                                uint32_t max_body_bytes, uint32_t read_timeout_ms);

/// Drains persistent HTTP/1.1 connections: each further response closes its connection, so that
/// callers reconnect.
void tt_http_server_drain (TtHttpServer *server);

/// Carries out the account's verdicts on connections, and reports to it which responses are not
/// read. The daemon calls it on each tick.
void tt_http_server_check (TtHttpServer *server, int64_t now_us);

/// Gives back the memory of a request's body, which the calling code has copied. The body in
/// @request is undefined afterwards.
void tt_http_server_release_body (struct st_h2o_req_t *request);

/// The default of TtHttpServerOptions.format_refusal.
size_t tt_http_server_format_refusal (void *context, const TtReplyAction *reply, TtAddHeader add,
                                      void *target, char *body, size_t size);

/// Number of open connections.
uint32_t tt_http_server_count_connections (const TtHttpServer *server);

/// Frees the server after the event loop has ended. Runs a few loop iterations without blocking; if
/// connections are still open after them, the memory is not freed.
void tt_http_server_free (TtHttpServer *server);

/// Value of a request header, copied to the request's memory pool; NULL if absent. @name is in
/// lower case.
const char *tt_http_server_get_header (struct st_h2o_req_t *request, const char *name);

/// Adds a response header. @name is in lower case; name and value are copied.
void tt_http_server_add_header (struct st_h2o_req_t *request, const char *name, const char *value);

/// Sends a complete response. @content_type may be NULL if the header was added before.
void tt_http_server_send_response (struct st_h2o_req_t *request, unsigned status,
                                   const char *content_type, const char *body, size_t size);
