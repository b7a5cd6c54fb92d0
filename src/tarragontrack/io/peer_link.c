#include "tarragontrack/board/error.h"
#include "tarragontrack/io/peer_socket_defs.h"
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

enum
{
  RECONNECT_MS = 100,
  RECONNECT_MAX_MS = 2000,
  CONNECT_TIMEOUT_MS = 2000,
  MONITOR_ADDRESS_MAX = 48,
  HANDSHAKE_FAILURE_EVENTS = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL
                             | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH
};

struct TtPeerLink
{
  TtLink link; ///< on TtPeerSocket.links
  TtPeerSocket *peer_socket;
  char endpoint[TT_PEER_ENDPOINT_MAX];
  void *push_socket;
  void *monitor_socket; ///< PAIR, reports failed handshakes
  TtPeerWatch *watch;
  uint32_t key_index; ///< index of the accepted key that the remote daemon is expected to have
  uint64_t last_used_ms;
  TtList pending; ///< PendingMessage.link, oldest first
};

/// A message queued until the link is connected. ZeroMQ's own queue of an unconnected socket has no
/// time limit: it would deliver slot leases and gossip long after they were written.
typedef struct
{
  TtLink link;
  uint64_t queued_ms;
  size_t size;
  char *data;
} PendingMessage;

static void
free_pending (PendingMessage *pending)
{
  free (pending->data);
  free (pending);
}

/// Sends bytes through ZeroMQ; false if its queue is full or the socket is not connected.
static bool
push_bytes (TtPeerLink *link, const char *data, size_t size)
{
  if (link->push_socket == NULL || zmq_send (link->push_socket, data, size, ZMQ_DONTWAIT) < 0)
    return false;
  link->peer_socket->stats.sent++;
  link->peer_socket->stats.sent_bytes += size;
  return true;
}

/// Sends queued messages in order and drops those older than TT_PEER_PENDING_MAX_MS.
static void
flush_pending (void *context)
{
  TtPeerLink *link = context;
  TtLink *first;
  int events = 0;
  size_t size = sizeof events;

  // Reading ZMQ_EVENTS also processes ZeroMQ's pending notifications, which rearms ZMQ_FD.
  if (link->push_socket != NULL)
    (void) zmq_getsockopt (link->push_socket, ZMQ_EVENTS, &events, &size);
  while ((first = tt_list_first (&link->pending)) != NULL)
    {
      PendingMessage *pending = TT_CONTAINER_OF (first, PendingMessage, link);
      bool expired = uv_now (link->peer_socket->loop) - pending->queued_ms > TT_PEER_PENDING_MAX_MS;

      if (!expired && !push_bytes (link, pending->data, pending->size))
        return;
      link->peer_socket->stats.dropped += expired ? 1 : 0;
      tt_list_remove (&link->pending, first);
      free_pending (pending);
    }
}

static void
close_sockets (TtPeerLink *link, int linger_ms)
{
  tt_peer_watch_free (link->watch);
  link->watch = NULL;
  if (link->push_socket != NULL)
    {
      (void) zmq_socket_monitor (link->push_socket, NULL, 0);
      tt_peer_zmq_set_option (link->push_socket, ZMQ_LINGER, linger_ms);
      (void) zmq_close (link->push_socket);
    }
  if (link->monitor_socket != NULL)
    (void) zmq_close (link->monitor_socket);
  link->push_socket = NULL;
  link->monitor_socket = NULL;
}

/// Sets the CURVE keys: the remote daemon must have the secret key of the accepted key selected by
/// key_index.
static void
set_keys (TtPeerLink *link)
{
  const TtCurveKeys *keys = &link->peer_socket->keys;

  if (!keys->enabled)
    return;
  (void) zmq_setsockopt (link->push_socket, ZMQ_CURVE_SERVERKEY,
                         keys->accepted_keys[link->key_index], TT_CURVE_KEY_SIZE);
  (void) zmq_setsockopt (link->push_socket, ZMQ_CURVE_PUBLICKEY, keys->public_key,
                         TT_CURVE_KEY_SIZE);
  (void) zmq_setsockopt (link->push_socket, ZMQ_CURVE_SECRETKEY, keys->secret_key,
                         TT_CURVE_KEY_SIZE);
}

static void
open_monitor (TtPeerLink *link)
{
  char address[MONITOR_ADDRESS_MAX];

  (void) snprintf (address, sizeof address, "inproc://monitor-%llu",
                   (unsigned long long) ++link->peer_socket->monitor_count);
  link->monitor_socket = zmq_socket (link->peer_socket->zmq_context, ZMQ_PAIR);
  if (link->monitor_socket == NULL)
    return;
  tt_peer_zmq_set_option (link->monitor_socket, ZMQ_LINGER, 0);
  if (zmq_socket_monitor (link->push_socket, address, HANDSHAKE_FAILURE_EVENTS) == 0)
    (void) zmq_connect (link->monitor_socket, address);
}

static bool
open_sockets (TtPeerLink *link)
{
  link->push_socket = zmq_socket (link->peer_socket->zmq_context, ZMQ_PUSH);
  if (link->push_socket == NULL)
    return false;
  tt_peer_zmq_set_option (link->push_socket, ZMQ_LINGER, 0);
  tt_peer_zmq_set_option (link->push_socket, ZMQ_SNDHWM, TT_PEER_QUEUE_MESSAGES);
  // ZeroMQ queues messages only for an established connection, and drops them if it is lost.
  tt_peer_zmq_set_option (link->push_socket, ZMQ_IMMEDIATE, 1);
  tt_peer_zmq_set_option (link->push_socket, ZMQ_IPV6, 1);
  tt_peer_zmq_set_option (link->push_socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  tt_peer_zmq_set_option (link->push_socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  tt_peer_zmq_set_option (link->push_socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  // Without heartbeats, a connection that no longer transfers data would never be closed, although
  // a new one may work.
  tt_peer_zmq_set_option (link->push_socket, ZMQ_HEARTBEAT_IVL, TT_PEER_HEARTBEAT_MS);
  tt_peer_zmq_set_option (link->push_socket, ZMQ_HEARTBEAT_TIMEOUT, TT_PEER_HEARTBEAT_MS);
  tt_peer_zmq_set_option (link->push_socket, ZMQ_HEARTBEAT_TTL, 2 * TT_PEER_HEARTBEAT_MS);
  set_keys (link);
  if (link->peer_socket->keys.accepted_count > 1)
    open_monitor (link);
  link->watch = tt_peer_watch_new (link->peer_socket, link->push_socket, link, flush_pending);
  if (link->watch != NULL && zmq_connect (link->push_socket, link->endpoint) == 0)
    return true;
  close_sockets (link, 0);
  return false;
}

static void
close_link (TtPeerLink *link, int linger_ms)
{
  TtLink *first;

  close_sockets (link, linger_ms);
  while ((first = tt_list_pop (&link->pending)) != NULL)
    {
      link->peer_socket->stats.dropped++;
      free_pending (TT_CONTAINER_OF (first, PendingMessage, link));
    }
  tt_list_remove (&link->peer_socket->links, &link->link);
  free (link);
}

TtPeerLink *
tt_peer_link_find_or_open (TtPeerSocket *peer_socket, const char *endpoint)
{
  TtPeerLink *link = NULL;

  TT_LIST_FOREACH (&peer_socket->links, it)
    {
      TtPeerLink *existing = TT_CONTAINER_OF (it, TtPeerLink, link);

      if (strcmp (existing->endpoint, endpoint) == 0)
        {
          tt_list_remove (&peer_socket->links, it);
          link = existing;
          break;
        }
    }
  if (link == NULL)
    {
      if (peer_socket->links.count >= TT_PEER_MAX_LINKS)
        close_link (TT_CONTAINER_OF (tt_list_first (&peer_socket->links), TtPeerLink, link), 0);
      link = calloc (1, sizeof *link);
      if (link == NULL)
        return NULL;
      link->peer_socket = peer_socket;
      (void) snprintf (link->endpoint, sizeof link->endpoint, "%s", endpoint);
      tt_list_init (&link->pending);
      tt_link_init (&link->link);
      if (!open_sockets (link))
        {
          free (link);
          return NULL;
        }
    }
  tt_list_append (&peer_socket->links, &link->link);
  link->last_used_ms = uv_now (peer_socket->loop);
  return link;
}

int
tt_peer_link_send (TtPeerLink *link, char *data, size_t size)
{
  PendingMessage *pending;

  if (link->pending.count == 0 && push_bytes (link, data, size))
    {
      free (data);
      return TT_OK;
    }
  pending = link->pending.count < TT_PEER_QUEUE_MESSAGES ? calloc (1, sizeof *pending) : NULL;
  if (pending == NULL)
    {
      link->peer_socket->stats.dropped++;
      free (data);
      return TT_E_LIMIT;
    }
  pending->data = data;
  pending->size = size;
  pending->queued_ms = uv_now (link->peer_socket->loop);
  tt_list_append (&link->pending, &pending->link);
  flush_pending (link);
  return TT_OK;
}

/// True if a handshake failed since the last call.
static bool
has_handshake_failed (TtPeerLink *link)
{
  char event[64];
  bool failed = false;

  while (link->monitor_socket != NULL
         && zmq_recv (link->monitor_socket, event, sizeof event, ZMQ_DONTWAIT) >= 0)
    failed = true; // each event has two frames; the monitor only reports failed handshakes
  return failed;
}

void
tt_peer_links_tick (TtPeerSocket *peer_socket)
{
  TT_LIST_FOREACH (&peer_socket->links, it)
    {
      TtPeerLink *link = TT_CONTAINER_OF (it, TtPeerLink, link);

      if (uv_now (peer_socket->loop) - link->last_used_ms > TT_PEER_IDLE_MS)
        {
          close_link (link, 0);
          continue;
        }
      if (has_handshake_failed (link) || link->push_socket == NULL)
        {
          close_sockets (link, 0);
          link->key_index = (link->key_index + 1) % peer_socket->keys.accepted_count;
          (void) open_sockets (link);
        }
      flush_pending (link);
    }
}

void
tt_peer_links_close (TtPeerSocket *peer_socket, int linger_ms)
{
  TT_LIST_FOREACH (&peer_socket->links, it)
    close_link (TT_CONTAINER_OF (it, TtPeerLink, link), linger_ms);
}
