/// HTTP server for tests, on a libuv loop: a handler of the test sends the response to each
/// request.
#pragma once

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

typedef struct UvPeer UvPeer;
typedef struct UvPeerConnection UvPeerConnection;

/// Called for each complete request (header and body). @number is the index of the request on its
/// connection, starting at 1.
typedef void (*UvPeerHandler) (void *context, UvPeerConnection *connection, unsigned number,
                               const char *request);

/// Starts a server on 127.0.0.1 at a free port.
UvPeer *uv_peer_new (uv_loop_t *loop, UvPeerHandler handler, void *context);

/// Port that the server listens on.
unsigned uv_peer_port (const UvPeer *server);

/// Number of connections accepted so far.
unsigned uv_peer_accepted_connections (const UvPeer *server);

/// Number of connections that are open now.
unsigned uv_peer_open_connections (const UvPeer *server);

/// Closes all connections and frees the server once the loop has closed its handles.
void uv_peer_free (UvPeer *server);

/// Sends raw bytes on the connection.
void uv_peer_send (UvPeerConnection *connection, const char *text, size_t size);

/// Sends a complete response with a Content-Length header. @headers: further header lines, each
/// with CRLF.
void uv_peer_respond (UvPeerConnection *connection, unsigned status, const char *headers,
                      const char *body);

/// Closes the connection. Data that uv_peer_send() could not write at once is discarded.
void uv_peer_close (UvPeerConnection *connection);
