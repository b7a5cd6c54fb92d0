#include "tarragontrack/io/peer_socket.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/io/peer_socket_defs.h"
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define ZAP_ADDRESS "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"

enum
{
  HANDSHAKE_TIMEOUT_MS = 2000,
  CLOSE_LINGER_MS = 100, ///< when the socket is freed, so that the LEAVE message is sent
  CURVE_KEY_BYTES = 32,
  ZAP_FRAMES = 16, ///< frames stored of one request; further ones are discarded
  ZAP_FRAME_MAX = 256
};

void
tt_peer_zmq_set_option (void *zmq_socket, int option, int value)
{
  (void) zmq_setsockopt (zmq_socket, option, &value, sizeof value);
}

void
tt_peer_endpoint_format (char *text, const char *address, uint16_t port)
{
  bool is_ipv6 = strchr (address, ':') != NULL;

  (void) snprintf (text, TT_PEER_ENDPOINT_MAX, "tcp://%s%s%s:%u", is_ipv6 ? "[" : "", address,
                   is_ipv6 ? "]" : "", port);
}

/// Releases a closed uv handle, and frees the socket after the last one.
static void
release_handle (TtPeerSocket *peer_socket)
{
  if (--peer_socket->open_handles > 0)
    return;
  tt_peer_decoder_free (peer_socket->decoder);
  free (peer_socket);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  release_handle (handle->data);
}

static void
on_watch_closed (uv_handle_t *handle)
{
  TtPeerWatch *watch = handle->data;
  TtPeerSocket *peer_socket = watch->peer_socket;

  free (watch);
  release_handle (peer_socket);
}

static void
on_watch_ready (uv_poll_t *poll, int status, int events)
{
  TtPeerWatch *watch = poll->data;

  (void) status, (void) events;
  watch->on_ready (watch->context);
}

TtPeerWatch *
tt_peer_watch_new (TtPeerSocket *peer_socket, void *zmq_socket, void *context,
                   void (*on_ready) (void *context))
{
  TtPeerWatch *watch = calloc (1, sizeof *watch);
  int fd = -1;
  size_t size = sizeof fd;

  if (watch == NULL || zmq_getsockopt (zmq_socket, ZMQ_FD, &fd, &size) != 0
      || uv_poll_init (peer_socket->loop, &watch->poll, fd) != 0)
    {
      free (watch);
      return NULL;
    }
  watch->peer_socket = peer_socket;
  watch->context = context;
  watch->on_ready = on_ready;
  watch->poll.data = watch;
  peer_socket->open_handles++;
  (void) uv_poll_start (&watch->poll, UV_READABLE, on_watch_ready);
  return watch;
}

void
tt_peer_watch_free (TtPeerWatch *watch)
{
  if (watch == NULL)
    return;
  (void) uv_poll_stop (&watch->poll);
  uv_close ((uv_handle_t *) &watch->poll, on_watch_closed);
}

static void
handle_message (TtPeerSocket *peer_socket, zmq_msg_t *frame)
{
  const TtPeerMessage *message;
  TtError error = { 0 };

  peer_socket->stats.received++;
  peer_socket->stats.received_bytes += zmq_msg_size (frame);
  // A message has one frame; each further frame is decoded, and rejected, as a separate message.
  if (tt_peer_decode (peer_socket->decoder, zmq_msg_data (frame), zmq_msg_size (frame), &message,
                      &error)
      == TT_OK)
    {
      peer_socket->on_message (peer_socket->context, message);
      return;
    }
  peer_socket->stats.rejected++;
  if (peer_socket->on_rejected != NULL)
    peer_socket->on_rejected (peer_socket->context, &error);
}

static void on_read_timer (uv_timer_t *timer);

/// Receives messages until ZeroMQ has no more, because ZMQ_FD signals only the first one. After a
/// full batch, a timer continues in the next iteration of the event loop.
static void
receive_messages (void *context)
{
  TtPeerSocket *peer_socket = context;

  for (unsigned i = 0; i < TT_PEER_RECEIVE_BATCH_MESSAGES; i++)
    {
      zmq_msg_t frame;
      int size;

      (void) zmq_msg_init (&frame);
      size = zmq_msg_recv (&frame, peer_socket->inbound_socket, ZMQ_DONTWAIT);
      if (size >= 0)
        handle_message (peer_socket, &frame);
      (void) zmq_msg_close (&frame);
      if (size < 0 && errno != EINTR)
        return;
    }
  (void) uv_timer_start (&peer_socket->read_timer, on_read_timer, 0, 0);
}

static void
on_read_timer (uv_timer_t *timer)
{
  TtPeerSocket *peer_socket = timer->data;

  if (peer_socket->inbound_socket != NULL)
    receive_messages (peer_socket);
}

/// True if the public key of a connecting daemon is one of the accepted keys.
static bool
is_key_accepted (const TtPeerSocket *peer_socket, const uint8_t *key)
{
  char text[TT_CURVE_KEY_SIZE];

  if (!peer_socket->keys.enabled || zmq_z85_encode (text, key, CURVE_KEY_BYTES) == NULL)
    return false;
  for (uint32_t i = 0; i < peer_socket->keys.accepted_count; i++)
    if (strcmp (text, peer_socket->keys.accepted_keys[i]) == 0)
      return true;
  return false;
}

/// Handles one request of ZeroMQ's authentication protocol (ZAP, RFC 27). False if none is pending.
static bool
handle_zap_request (TtPeerSocket *peer_socket)
{
  uint8_t frames[ZAP_FRAMES][ZAP_FRAME_MAX];
  int sizes[ZAP_FRAMES];
  unsigned count = 0;
  int more = 1;
  bool accepted;

  while (more != 0)
    {
      size_t size = sizeof more;
      unsigned at = count < ZAP_FRAMES - 1 ? count : ZAP_FRAMES - 1;

      sizes[at] = zmq_recv (peer_socket->zap_socket, frames[at], ZAP_FRAME_MAX, ZMQ_DONTWAIT);
      if (sizes[at] < 0)
        return false;
      count++;
      (void) zmq_getsockopt (peer_socket->zap_socket, ZMQ_RCVMORE, &more, &size);
    }
  accepted = count == 7 && sizes[1] <= ZAP_FRAME_MAX && sizes[5] == 5
             && memcmp (frames[5], "CURVE", 5) == 0 && sizes[6] == CURVE_KEY_BYTES
             && is_key_accepted (peer_socket, frames[6]);
  (void) zmq_send (peer_socket->zap_socket, ZAP_VERSION, strlen (ZAP_VERSION),
                   ZMQ_SNDMORE | ZMQ_DONTWAIT);
  (void) zmq_send (peer_socket->zap_socket, frames[1], count > 1 ? (size_t) sizes[1] : 0,
                   ZMQ_SNDMORE | ZMQ_DONTWAIT);
  (void) zmq_send (peer_socket->zap_socket, accepted ? "200" : "400", 3,
                   ZMQ_SNDMORE | ZMQ_DONTWAIT);
  (void) zmq_send (peer_socket->zap_socket, "", 0, ZMQ_SNDMORE | ZMQ_DONTWAIT);
  (void) zmq_send (peer_socket->zap_socket, "", 0, ZMQ_SNDMORE | ZMQ_DONTWAIT);
  (void) zmq_send (peer_socket->zap_socket, "", 0, ZMQ_DONTWAIT);
  return true;
}

static void
handle_zap_requests (void *context)
{
  TtPeerSocket *peer_socket = context;

  while (peer_socket->zap_socket != NULL && handle_zap_request (peer_socket))
    ;
}

static void
close_inbound (TtPeerSocket *peer_socket)
{
  int bind_errno = errno;

  tt_peer_watch_free (peer_socket->inbound_watch);
  peer_socket->inbound_watch = NULL;
  if (peer_socket->inbound_socket != NULL)
    (void) zmq_close (peer_socket->inbound_socket);
  peer_socket->inbound_socket = NULL;
  peer_socket->bound = false;
  errno = bind_errno; // tt_peer_socket_new() reports why the bind failed
}

/// Opens the listening socket. Fails if its port is still in use shortly after the previous socket
/// was closed; the tick retries.
static bool
open_inbound (TtPeerSocket *peer_socket)
{
  peer_socket->inbound_socket = zmq_socket (peer_socket->zmq_context, ZMQ_PULL);
  if (peer_socket->inbound_socket == NULL)
    return false;
  tt_peer_zmq_set_option (peer_socket->inbound_socket, ZMQ_LINGER, 0);
  tt_peer_zmq_set_option (peer_socket->inbound_socket, ZMQ_RCVHWM, TT_PEER_QUEUE_MESSAGES);
  tt_peer_zmq_set_option (peer_socket->inbound_socket, ZMQ_IPV6, 1);
  tt_peer_zmq_set_option (peer_socket->inbound_socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
  (void) zmq_setsockopt (peer_socket->inbound_socket, ZMQ_MAXMSGSIZE,
                         &(int64_t){ (int64_t) peer_socket->max_message_bytes }, sizeof (int64_t));
  if (peer_socket->keys.enabled)
    {
      tt_peer_zmq_set_option (peer_socket->inbound_socket, ZMQ_CURVE_SERVER, 1);
      (void) zmq_setsockopt (peer_socket->inbound_socket, ZMQ_CURVE_SECRETKEY,
                             peer_socket->keys.secret_key, TT_CURVE_KEY_SIZE);
      (void) zmq_setsockopt (peer_socket->inbound_socket, ZMQ_ZAP_DOMAIN, peer_socket->fleet,
                             strlen (peer_socket->fleet));
    }
  peer_socket->inbound_watch
      = tt_peer_watch_new (peer_socket, peer_socket->inbound_socket, peer_socket, receive_messages);
  peer_socket->bound = peer_socket->inbound_watch != NULL
                       && zmq_bind (peer_socket->inbound_socket, peer_socket->endpoint) == 0;
  if (!peer_socket->bound)
    close_inbound (peer_socket);
  return peer_socket->bound;
}

static void
on_tick (uv_timer_t *timer)
{
  TtPeerSocket *peer_socket = timer->data;

  if (!peer_socket->bound)
    (void) open_inbound (peer_socket);
  tt_peer_links_tick (peer_socket);
}

/// Copies keys; without keys, encryption is disabled. False if the secret key doesn't match the
/// public key or the number of accepted keys is invalid.
static bool
copy_keys (TtCurveKeys *target, const TtCurveKeys *keys)
{
  char public_key[TT_CURVE_KEY_SIZE];

  memset (target, 0, sizeof *target);
  target->accepted_count = 1; // without encryption, TtPeerLink.key_index stays 0
  if (keys == NULL || !keys->enabled)
    return true;
  if (keys->accepted_count < 1 || keys->accepted_count > TT_CURVE_KEYS_MAX
      || zmq_curve_public (public_key, keys->secret_key) != 0
      || strcmp (public_key, keys->public_key) != 0)
    return false;
  *target = *keys;
  return true;
}

static bool
open_zap (TtPeerSocket *peer_socket)
{
  peer_socket->zap_socket = zmq_socket (peer_socket->zmq_context, ZMQ_REP);
  if (peer_socket->zap_socket == NULL)
    return false;
  tt_peer_zmq_set_option (peer_socket->zap_socket, ZMQ_LINGER, 0);
  peer_socket->zap_watch
      = tt_peer_watch_new (peer_socket, peer_socket->zap_socket, peer_socket, handle_zap_requests);
  return peer_socket->zap_watch != NULL && zmq_bind (peer_socket->zap_socket, ZAP_ADDRESS) == 0;
}

int
tt_peer_socket_new (const TtPeerSocketOptions *options, TtPeerSocket **result, TtError *error)
{
  TtPeerSocket *peer_socket = calloc (1, sizeof *peer_socket);
  int code = TT_E_NO_MEMORY;

  *result = NULL;
  if (peer_socket == NULL)
    return tt_error_set (error, code, TT_STEP_LISTEN, options->address, "peer socket");
  peer_socket->loop = options->loop;
  peer_socket->context = options->context;
  peer_socket->on_message = options->on_message;
  peer_socket->on_rejected = options->on_rejected;
  peer_socket->max_message_bytes = options->max_message_bytes;
  (void) snprintf (peer_socket->fleet, sizeof peer_socket->fleet, "%s", options->fleet);
  tt_peer_endpoint_format (peer_socket->endpoint, options->address, options->port);
  tt_list_init (&peer_socket->links);
  (void) uv_timer_init (peer_socket->loop, &peer_socket->tick_timer);
  (void) uv_timer_init (peer_socket->loop, &peer_socket->read_timer);
  peer_socket->tick_timer.data = peer_socket;
  peer_socket->read_timer.data = peer_socket;
  peer_socket->open_handles = 2;
  peer_socket->decoder = tt_peer_decoder_new (options->fleet, options->max_message_bytes);
  peer_socket->zmq_context = zmq_ctx_new ();
  if (!copy_keys (&peer_socket->keys, options->keys))
    code = tt_error_set (error, TT_E_INVALID, TT_STEP_LISTEN, peer_socket->endpoint,
                         "expected a secret key and its public key");
  else if (peer_socket->decoder == NULL || peer_socket->zmq_context == NULL
           || !open_zap (peer_socket))
    code = tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_LISTEN, peer_socket->endpoint,
                         "peer socket");
  else if (!open_inbound (peer_socket))
    code = tt_error_set (error, TT_E_UNAVAILABLE, TT_STEP_LISTEN, peer_socket->endpoint, "%s",
                         zmq_strerror (errno));
  else
    {
      (void) uv_timer_start (&peer_socket->tick_timer, on_tick, TT_PEER_TICK_MS, TT_PEER_TICK_MS);
      *result = peer_socket;
      return TT_OK;
    }
  tt_peer_socket_free (peer_socket);
  return code;
}

int
tt_peer_socket_send (TtPeerSocket *peer_socket, const char *address, uint16_t port,
                     const TtPeerMessage *message, TtError *error)
{
  char endpoint[TT_PEER_ENDPOINT_MAX];
  TtPeerLink *link;
  char *data;
  size_t size;
  int code = tt_peer_encode (message, peer_socket->fleet, &data, &size);

  tt_peer_endpoint_format (endpoint, address, port);
  if (code != TT_OK)
    {
      peer_socket->stats.dropped++;
      return tt_error_set (error, code, TT_STEP_PEER_SEND, endpoint, "type %d cannot be encoded",
                           (int) message->type);
    }
  if (size > peer_socket->max_message_bytes)
    {
      peer_socket->stats.dropped++;
      free (data);
      return tt_error_set (error, TT_E_INVALID, TT_STEP_PEER_SEND, endpoint,
                           "type %d has %zu bytes, expected at most %zu", (int) message->type, size,
                           peer_socket->max_message_bytes);
    }
  link = tt_peer_link_find_or_open (peer_socket, endpoint);
  if (link == NULL)
    {
      peer_socket->stats.dropped++;
      free (data);
      return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PEER_SEND, endpoint, "link");
    }
  code = tt_peer_link_send (link, data, size);
  return code != TT_OK
             ? tt_error_set (error, code, TT_STEP_PEER_SEND, endpoint, "the queue is full")
             : TT_OK;
}

int
tt_peer_socket_set_keys (TtPeerSocket *peer_socket, const TtCurveKeys *keys)
{
  TtCurveKeys copy;

  if (!copy_keys (&copy, keys))
    return TT_E_INVALID;
  peer_socket->keys = copy;
  tt_peer_links_close (peer_socket, 0);
  close_inbound (peer_socket);
  (void) open_inbound (peer_socket); // the tick retries after a failure
  return TT_OK;
}

const TtPeerSocketStats *
tt_peer_socket_stats (const TtPeerSocket *peer_socket)
{
  return &peer_socket->stats;
}

void
tt_peer_socket_free (TtPeerSocket *peer_socket)
{
  if (peer_socket == NULL)
    return;
  tt_peer_links_close (peer_socket, CLOSE_LINGER_MS);
  close_inbound (peer_socket);
  tt_peer_watch_free (peer_socket->zap_watch);
  if (peer_socket->zap_socket != NULL)
    (void) zmq_close (peer_socket->zap_socket);
  if (peer_socket->zmq_context != NULL)
    (void) zmq_ctx_term (peer_socket->zmq_context);
  uv_close ((uv_handle_t *) &peer_socket->tick_timer, on_timer_closed);
  uv_close ((uv_handle_t *) &peer_socket->read_timer, on_timer_closed);
}
