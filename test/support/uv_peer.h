/// Scripted TCP server on a libuv loop: answers each HTTP request as the test says.
#pragma once

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

typedef struct UvPeer UvPeer;
typedef struct UvPeerConnection UvPeerConnection;

/// Called for each request (header and body). @number counts the connection's requests from 1.
typedef void (*UvPeerHandler) (void *context, UvPeerConnection *connection, unsigned number,
                               const char *request);

/// Listens on 127.0.0.1 at a free port.
UvPeer *uv_peer_new (uv_loop_t *loop, UvPeerHandler handler, void *context);

/// Port that it listens at.
unsigned uv_peer_port (const UvPeer *peer);

/// Connections accepted so far.
unsigned uv_peer_accepted (const UvPeer *peer);

/// Connections that are open now.
unsigned uv_peer_open (const UvPeer *peer);

/// Closes all connections and frees the server once the loop has closed its handles.
void uv_peer_free (UvPeer *peer);

/// Sends bytes.
void uv_peer_send (UvPeerConnection *connection, const char *text, size_t size);

/// Sends a whole answer with its length.
void uv_peer_answer (UvPeerConnection *connection, unsigned status, const char *headers,
                     const char *body);

/// Closes the connection after what was sent.
void uv_peer_close (UvPeerConnection *connection);
