/// Internal types and functions of the peer socket, shared by peer_socket.c (listening) and
/// peer_link.c (sending).
#pragma once

#include "tarragontrack/board/list.h"
#include "tarragontrack/codec/peer.h"
#include "tarragontrack/io/peer_socket.h"

enum
{
  TT_PEER_ENDPOINT_MAX = TT_ADDRESS_MAX + 24 ///< bytes of tcp://[IP]:PORT with the terminating NUL
};

typedef struct TtPeerLink TtPeerLink;

/// Polls the ZMQ_FD of one ZeroMQ socket; freed when its uv handle is closed.
typedef struct
{
  uv_poll_t poll;
  TtPeerSocket *peer_socket;
  void *context;
  void (*on_ready) (void *context);
} TtPeerWatch;

struct TtPeerSocket
{
  uv_loop_t *loop;
  void *context;
  void (*on_message) (void *context, const TtPeerMessage *message);
  void (*on_rejected) (void *context, const TtError *error);
  char fleet[TT_NAME_MAX];
  char endpoint[TT_PEER_ENDPOINT_MAX];
  size_t max_message_bytes;
  TtCurveKeys keys;
  void *zmq_context;
  void *inbound_socket; ///< PULL
  void *zap_socket;     ///< REP, authenticates the keys of connecting daemons
  bool bound;
  TtPeerWatch *inbound_watch;
  TtPeerWatch *zap_watch;
  uv_timer_t tick_timer;
  uv_timer_t read_timer; ///< continues receiving after a full batch
  unsigned open_handles; ///< uv handles not closed yet
  TtPeerDecoder *decoder;
  TtList links;           ///< TtPeerLink.link, least recently used first
  uint64_t monitor_count; ///< counter for unique addresses of monitor sockets
  TtPeerSocketStats stats;
};

/// Formats tcp://IP:PORT, with brackets around an IPv6 address.
void tt_peer_endpoint_format (char *text, const char *address, uint16_t port);

/// Starts to poll a socket's ZMQ_FD; NULL if memory could not be allocated.
TtPeerWatch *tt_peer_watch_new (TtPeerSocket *peer_socket, void *zmq_socket, void *context,
                                void (*on_ready) (void *context));

/// Stops polling. Must be called before the ZeroMQ socket is closed. @watch may be NULL.
void tt_peer_watch_free (TtPeerWatch *watch);

/// Sets an integer option of a ZeroMQ socket.
void tt_peer_zmq_set_option (void *zmq_socket, int option, int value);

/// Returns the link to an endpoint and opens it if there is none; NULL if memory could not be
/// allocated.
TtPeerLink *tt_peer_link_find_or_open (TtPeerSocket *peer_socket, const char *endpoint);

/// Sends a message, queues it until the link is connected (at most TT_PEER_PENDING_MAX_MS), or
/// drops it. Takes ownership of @data, which must be allocated with malloc().
int tt_peer_link_send (TtPeerLink *link, char *data, size_t size);

/// Periodic work: tries the next accepted key after a failed handshake, drops expired queued
/// messages and closes unused links.
void tt_peer_links_tick (TtPeerSocket *peer_socket);

/// Closes all links. @linger_ms: how long ZeroMQ may continue to send queued messages.
void tt_peer_links_close (TtPeerSocket *peer_socket, int linger_ms);
