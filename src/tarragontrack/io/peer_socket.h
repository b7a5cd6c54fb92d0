/// Messages between daemons over ZeroMQ: one bound PULL socket, one PUSH socket per daemon that is
/// sent to. Messages may be lost; they are never delayed by a queue for longer than
/// TT_PEER_HELD_MS, and no call blocks.
#pragma once

#include "tarragontrack/board/peer_defs.h"
#include "tarragontrack/codec/settings_defs.h"
#include <uv.h>

typedef struct TtPeerSocket TtPeerSocket;

enum
{
  TT_PEER_LINKS = 512,     ///< daemons connected to; the one unused longest is closed
  TT_PEER_QUEUE = 128,     ///< messages queued per link and for reading; more are dropped
  TT_PEER_HELD_MS = 1000,  ///< messages wait this long for a connection, then they are dropped
  TT_PEER_IDLE_MS = 60000, ///< links unused for longer are closed
  TT_PEER_TICK_MS = 250,   ///< period of retries: bind after a change of keys, next key of a link
  TT_PEER_BATCH = 256,     ///< messages read in one turn of the loop
  TT_PEER_HEARTBEAT_MS = 1000 ///< probes of a connection; it is closed after twice this time
};

typedef struct
{
  uv_loop_t *loop;
  const char *fleet;   ///< copied
  const char *address; ///< IP number to listen at; copied
  uint16_t port;
  const TtCurveKeys *keys; ///< copied; NULL or not enabled: no encryption
  void *context;
  /// Valid during the call. Neither callback may change keys or free the socket.
  void (*on_message) (void *context, const TtPeerMessage *message);
  void (*on_refused) (void *context, const TtError *error); ///< may be NULL
} TtPeerSocketOptions;

/// Bytes are those of the messages, without ZeroMQ's frames and encryption (about 40 a message).
typedef struct
{
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t received;
  uint64_t received_bytes;
  uint64_t refused; ///< messages that failed a check
  uint64_t dropped; ///< messages not sent: queue full, no connection in time
} TtPeerSocketStats;

/// tt_peer_socket_new - listens for messages
///
/// RETURN     0 with @socket set, TT_E_NO_MEMORY, TT_E_INVALID (keys) or TT_E_UNAVAILABLE (the
///            address cannot be listened at)
int tt_peer_socket_new (const TtPeerSocketOptions *options, TtPeerSocket **peer_socket,
                        TtError *error);

/// tt_peer_socket_send - sends a message, or drops and counts it
///
/// RETURN     0, or the number of tt_peer_encode(), or TT_E_LIMIT (dropped), TT_E_NO_MEMORY
int tt_peer_socket_send (TtPeerSocket *peer_socket, const char *address, uint16_t port,
                         const TtPeerMessage *message);

/// tt_peer_socket_set_keys - replaces the keys; all connections are closed and opened again
///
/// RETURN     0 or TT_E_INVALID; the old keys stay in use then
int tt_peer_socket_set_keys (TtPeerSocket *peer_socket, const TtCurveKeys *keys);

const TtPeerSocketStats *tt_peer_socket_stats (const TtPeerSocket *peer_socket);

/// Closes all connections and frees the socket once the loop has closed its handles.
///
/// BOUNDS     blocks for at most 100 ms, in which queued messages such as LEAVE are sent
void tt_peer_socket_free (TtPeerSocket *peer_socket);
