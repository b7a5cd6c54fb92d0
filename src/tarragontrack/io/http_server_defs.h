/// Private types of the HTTP server, for io/http_server.c, io/http_intake.c and io/http_refusal.c
/// only.
#pragma once

#include "tarragontrack/board/intake_defs.h"
#include "tarragontrack/codec/http2_scan.h"
#include "tarragontrack/codec/request_scan.h"
#include "tarragontrack/io/http_server.h"
#include <h2o.h>

struct TtHttpServer
{
  TtHttpServerOptions options;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  uv_tcp_t listener;
  uv_prepare_t prepare; ///< settles the connections on `touched` before the loop waits
  TtList connections;   ///< TtHttpConnection.link
  TtList touched;       ///< TtHttpConnection.touched_link
  TtIntakePort port;    ///< of the board's account, if the options have a board
  int64_t next_check_us;
  bool draining; ///< each HTTP/1.1 response closes its connection
  bool closing;  ///< tt_http_server_shut_down() was called
};

/// One connection. h2o passes a request on when its whole body is buffered, and has no call for the
/// bytes before. The server therefore takes the place of h2o's read callback, scans and charges
/// what has arrived, and calls h2o's callback with what it accepts.
typedef struct
{
  uv_tcp_t tcp; ///< must be first: the close callback casts the handle
  TtHttpServer *server;
  TtLink link;         ///< on TtHttpServer.connections
  TtLink touched_link; ///< on TtHttpServer.touched
  TtIntakeEntry intake;
  h2o_socket_t *socket;    ///< NULL once h2o has closed it
  h2o_socket_cb next_read; ///< h2o's read callback
  TtRequestScan scan;
  bool unscanned; ///< HTTP/2, or a request that h2o refuses by itself
  bool http2;     ///< `frames` is in use
  TtHttp2Scan frames;
  bool started; ///< passed to h2o; false during the TLS handshake
  /// Result that refuses the request that is read next, after the responses to earlier ones.
  TtRequestScanResult refusal;
  uint64_t scanned;             ///< whole requests
  uint64_t accepted;            ///< requests that h2o passed on
  uint64_t answered;            ///< of those, the ones that h2o has freed
  size_t known_size;            ///< of the input buffer after the last bytes were handled
  const h2o_buffer_t *measured; ///< input buffer of which `extent` bytes were touched
  size_t extent;
  size_t released_bytes; ///< of the input buffer, given back by tt_http_server_release_body()
  char *refusal_text;    ///< the response that h2o is writing
} TtHttpConnection;

/// Connection of a request.
TtHttpConnection *tt_http_intake_find (const h2o_req_t *request);

/// Adds a new connection to the account, and passes it to h2o after its TLS handshake. The
/// connection may be closed again.
void tt_http_intake_open (TtHttpConnection *connection, h2o_socket_t *socket);

/// Counts a request that h2o passes on, until h2o frees it.
void tt_http_intake_accept (TtHttpConnection *connection, h2o_req_t *request);

/// Settles the connections whose requests were answered (a prepare callback).
void tt_http_intake_settle (uv_prepare_t *prepare);

/// Writes the refusal of the request that is being read, and gives back the memory of what has
/// arrived of it.
void tt_http_refusal_write (TtHttpConnection *connection, unsigned status, const char *reason);

/// Discards what a caller still sends after its refusal.
void tt_http_refusal_discard (TtHttpConnection *connection);

/// tt_http_refusal_discard_pages - gives the memory pages of a range back to the kernel
///
/// RETURN     number of bytes, which read as zeros afterwards
size_t tt_http_refusal_discard_pages (char *bytes, size_t size);
