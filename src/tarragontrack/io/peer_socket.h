/// Messages between daemons over ZeroMQ: one bound PULL socket, and one PUSH socket per destination
/// daemon. Messages may be lost. A queue never delays a message for longer than
/// TT_PEER_PENDING_MAX_MS, and no function blocks except tt_peer_socket_free().
#pragma once

#include "tarragontrack/board/peer_defs.h"
#include "tarragontrack/codec/settings_defs.h"
#include <uv.h>

typedef struct TtPeerSocket TtPeerSocket;

enum
{
  TT_PEER_MAX_LINKS = 512, ///< connected daemons; above this the least recently used link is closed
  TT_PEER_QUEUE_MESSAGES = 128,  ///< messages queued per link and for receiving; more are dropped
  TT_PEER_PENDING_MAX_MS = 1000, ///< messages queued for longer without a connection are dropped
  TT_PEER_IDLE_MS = 60000,       ///< links unused for longer are closed
  TT_PEER_TICK_MS = 250,         ///< period of retries to bind, and to connect with the next key
  TT_PEER_RECEIVE_BATCH_MESSAGES = 256, ///< messages received in one iteration of the event loop
  TT_PEER_HEARTBEAT_MS = 1000 ///< interval of connection probes; without a reply for twice this
                              ///< time the connection is closed
};

typedef struct
{
  uv_loop_t *loop;
  const char *fleet;   ///< copied
  const char *address; ///< IP address to listen on; copied
  uint16_t port;
  size_t max_message_bytes; ///< longer messages are neither sent nor received
  const TtCurveKeys *keys;  ///< copied; NULL or not enabled: no encryption
  void *context;
  /// @message is valid during the call. Neither callback may change keys or free the socket.
  void (*on_message) (void *context, const TtPeerMessage *message);
  void (*on_rejected) (void *context, const TtError *error); ///< may be NULL
} TtPeerSocketOptions;

/// Byte counts exclude ZeroMQ's framing and encryption (about 40 bytes per message).
typedef struct
{
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t received;
  uint64_t received_bytes;
  uint64_t rejected; ///< messages that failed a check
  uint64_t dropped;  ///< messages not sent: too long, queue full, or not connected in time
} TtPeerSocketStats;

/// tt_peer_socket_new - creates the socket and starts to listen
///
/// RETURN     0 with @result set, TT_E_NO_MEMORY, TT_E_INVALID (keys) or TT_E_UNAVAILABLE (the
///            address cannot be bound)
int tt_peer_socket_new (const TtPeerSocketOptions *options, TtPeerSocket **result, TtError *error);

/// tt_peer_socket_send - sends a message, or drops and counts it
///
/// RETURN     0, the error number of tt_peer_encode(), TT_E_INVALID (too long), TT_E_LIMIT (the
///            queue is full) or TT_E_NO_MEMORY
int tt_peer_socket_send (TtPeerSocket *peer_socket, const char *address, uint16_t port,
                         const TtPeerMessage *message, TtError *error);

/// tt_peer_socket_set_keys - replaces the keys, and closes and reopens all connections
///
/// RETURN     0, or TT_E_INVALID; then the old keys stay in use
int tt_peer_socket_set_keys (TtPeerSocket *peer_socket, const TtCurveKeys *keys);

const TtPeerSocketStats *tt_peer_socket_stats (const TtPeerSocket *peer_socket);

/// Closes all connections and frees the socket once the loop has closed its handles.
///
/// BOUNDS     blocks for at most 100 ms, in which queued messages such as LEAVE are sent
void tt_peer_socket_free (TtPeerSocket *peer_socket);
