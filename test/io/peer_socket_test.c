#include "support/test_server.h"
#include "support/unit.h"
#include "tarragontrack/io/peer_socket.h"
#include <string.h>
#include <zmq.h>

enum
{
  MAX_BYTES = 100000, ///< of a message
  WAIT_MS = 5000,     ///< longest wait for an expected message
  NO_MESSAGE_MS = 700 ///< wait during which no message may arrive
};

typedef struct
{
  TtPeerSocket *handle;
  uint16_t port;
  unsigned received;
  unsigned refused;
  uint64_t last_epoch;
} Peer;

typedef struct
{
  uv_loop_t loop;
  uv_timer_t timeout;
  bool expired;
  Peer a;
  Peer b;
} Fixture;

static void
on_message (void *context, const TtPeerMessage *message)
{
  Peer *peer = context;

  peer->received++;
  peer->last_epoch = message->document.epoch;
}

static void
on_refused (void *context, const TtError *error)
{
  Peer *peer = context;

  peer->refused++;
  CU_ASSERT_EQUAL (error->code, TT_E_AUTH);
}

static void
on_timeout (uv_timer_t *timer)
{
  ((Fixture *) timer->data)->expired = true;
}

/// Runs the loop until @peer has received or refused @count messages in total, or for @limit_ms.
static void
run_until (Fixture *fixture, const Peer *peer, unsigned count, uint64_t limit_ms)
{
  fixture->expired = false;
  (void) uv_timer_start (&fixture->timeout, on_timeout, limit_ms, 0);
  while (!fixture->expired && peer->received + peer->refused < count)
    (void) uv_run (&fixture->loop, UV_RUN_ONCE);
}

/// Returns a port that was free shortly before.
static uint16_t
free_port (uv_loop_t *loop)
{
  TestServer *probe = test_server_new (loop, NULL, NULL);
  uint16_t port = (uint16_t) test_server_port (probe);

  test_server_free (probe);
  (void) uv_run (loop, UV_RUN_NOWAIT);
  return port;
}

static void
open_peer (Fixture *fixture, Peer *peer, const char *fleet, const TtCurveKeys *keys)
{
  TtPeerSocketOptions options = { .loop = &fixture->loop,
                                  .fleet = fleet,
                                  .address = "127.0.0.1",
                                  .max_message_bytes = MAX_BYTES,
                                  .keys = keys,
                                  .context = peer,
                                  .on_message = on_message,
                                  .on_rejected = on_refused };
  TtError error;

  peer->port = options.port = free_port (&fixture->loop);
  CU_ASSERT_EQUAL_FATAL (tt_peer_socket_new (&options, &peer->handle, &error), TT_OK);
}

static void
open_fixture (Fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  (void) uv_loop_init (&fixture->loop);
  (void) uv_timer_init (&fixture->loop, &fixture->timeout);
  fixture->timeout.data = fixture;
}

static void
close_fixture (Fixture *fixture)
{
  tt_peer_socket_free (fixture->a.handle);
  tt_peer_socket_free (fixture->b.handle);
  uv_close ((uv_handle_t *) &fixture->timeout, NULL);
  (void) uv_run (&fixture->loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&fixture->loop), 0);
}

static int
send_message (Fixture *fixture, uint64_t epoch)
{
  TtPeerMessage message
      = { .type = TT_PEER_DOCUMENT_REQUEST, .sender_id = 1, .document = { .epoch = epoch } };

  return tt_peer_socket_send (fixture->a.handle, "127.0.0.1", fixture->b.port, &message, NULL);
}

/// Guards against losing the first message of a link, and against leaving messages unread because
/// ZMQ_FD signals only the first one.
static void
test_burst_is_read (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  open_peer (&fixture, &fixture.a, "fleet", NULL);
  open_peer (&fixture, &fixture.b, "fleet", NULL);
  for (unsigned i = 1; i <= 100; i++)
    CU_ASSERT_EQUAL (send_message (&fixture, i), TT_OK);
  run_until (&fixture, &fixture.b, 100, WAIT_MS);
  CU_ASSERT_EQUAL (fixture.b.received, 100);
  CU_ASSERT_EQUAL (fixture.b.last_epoch, 100);
  CU_ASSERT_EQUAL (tt_peer_socket_stats (fixture.a.handle)->sent, 100);
  CU_ASSERT_EQUAL (tt_peer_socket_stats (fixture.a.handle)->sent_bytes,
                   tt_peer_socket_stats (fixture.b.handle)->received_bytes);
  close_fixture (&fixture);
}

/// Guards against an unbounded queue, and against a send function that blocks.
static void
test_queue_is_bounded (void)
{
  Fixture fixture;
  uint64_t started;
  const TtPeerSocketStats *stats;

  open_fixture (&fixture);
  open_peer (&fixture, &fixture.a, "fleet", NULL);
  fixture.b.port = free_port (&fixture.loop);
  started = uv_hrtime ();
  for (unsigned i = 0; i < 1000; i++)
    (void) send_message (&fixture, i);
  CU_ASSERT (uv_hrtime () - started < UINT64_C (1000000000));
  stats = tt_peer_socket_stats (fixture.a.handle);
  CU_ASSERT_EQUAL (stats->dropped, 1000 - TT_PEER_QUEUE_MESSAGES);
  run_until (&fixture, &fixture.b, 1, TT_PEER_PENDING_MAX_MS + 2 * TT_PEER_TICK_MS + 100);
  CU_ASSERT_EQUAL (stats->dropped, 1000);
  CU_ASSERT_EQUAL (stats->sent, 0);
  close_fixture (&fixture);
}

/// Guards against a message that is sent although the receiver drops it for its length, and whose
/// loss nobody sees.
static void
test_long_message_is_rejected (void)
{
  static char text[MAX_BYTES + 1];
  TtPeerMessage message = { .type = TT_PEER_TABLE,
                            .sender_id = 1,
                            .table = { .text = text, .text_size = MAX_BYTES } };
  TtError error = { 0 };
  Fixture fixture;

  memset (text, 'x', MAX_BYTES);
  open_fixture (&fixture);
  open_peer (&fixture, &fixture.a, "fleet", NULL);
  open_peer (&fixture, &fixture.b, "fleet", NULL);
  CU_ASSERT_EQUAL (
      tt_peer_socket_send (fixture.a.handle, "127.0.0.1", fixture.b.port, &message, &error),
      TT_E_INVALID);
  CU_ASSERT_EQUAL (tt_peer_socket_stats (fixture.a.handle)->dropped, 1);
  message.table.text_size = MAX_BYTES - 100;
  CU_ASSERT_EQUAL (
      tt_peer_socket_send (fixture.a.handle, "127.0.0.1", fixture.b.port, &message, &error), TT_OK);
  run_until (&fixture, &fixture.b, 1, WAIT_MS);
  CU_ASSERT_EQUAL (fixture.b.received, 1);
  close_fixture (&fixture);
}

/// Guards against accepting messages of another fleet.
static void
test_other_fleet_is_refused (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  open_peer (&fixture, &fixture.a, "fleet2", NULL);
  open_peer (&fixture, &fixture.b, "fleet", NULL);
  (void) send_message (&fixture, 1);
  run_until (&fixture, &fixture.b, 1, WAIT_MS);
  CU_ASSERT (fixture.b.received == 0 && fixture.b.refused == 1);
  close_fixture (&fixture);
}

/// Generates the keys of a daemon that accepts the public key of @accepted (its own if NULL), and
/// also that of @other if not NULL.
static TtCurveKeys
make_keys (const TtCurveKeys *accepted, const TtCurveKeys *other)
{
  TtCurveKeys keys = { .enabled = true, .accepted_count = other != NULL ? 2 : 1 };

  (void) zmq_curve_keypair (keys.public_key, keys.secret_key);
  memcpy (keys.accepted_keys[0], accepted != NULL ? accepted->public_key : keys.public_key,
          TT_CURVE_KEY_SIZE);
  if (other != NULL)
    memcpy (keys.accepted_keys[1], other->public_key, TT_CURVE_KEY_SIZE);
  return keys;
}

/// Guards against accepting connections with a wrong key or without a key.
static void
test_keys_are_checked (void)
{
  TtCurveKeys own = make_keys (NULL, NULL);
  TtCurveKeys unaccepted = make_keys (&own, NULL);
  TtCurveKeys mismatched = own;

  for (unsigned i = 0; i < 3; i++)
    {
      Fixture fixture;

      open_fixture (&fixture);
      open_peer (&fixture, &fixture.b, "fleet", &own);
      open_peer (&fixture, &fixture.a, "fleet", i == 0 ? &own : i == 1 ? &unaccepted : NULL);
      (void) send_message (&fixture, 1);
      run_until (&fixture, &fixture.b, 1, i == 0 ? WAIT_MS : NO_MESSAGE_MS);
      CU_ASSERT_EQUAL (fixture.b.received, i == 0 ? 1 : 0);
      mismatched.secret_key[0] = own.secret_key[0] == 'a' ? 'b' : 'a';
      CU_ASSERT_EQUAL (tt_peer_socket_set_keys (fixture.b.handle, &mismatched), TT_E_INVALID);
      close_fixture (&fixture);
    }
}

/// Sends messages with a unique number until one arrives; false if none arrives in time. Messages
/// of an earlier call may still arrive and are ignored.
static bool
is_delivered (Fixture *fixture)
{
  static uint64_t number = 100;

  number++;
  for (unsigned i = 0; i < 40 && fixture->b.last_epoch != number; i++)
    {
      (void) send_message (fixture, number);
      run_until (fixture, &fixture->b, fixture->b.received + fixture->b.refused + 1, 100);
    }
  return fixture->b.last_epoch == number;
}

/// Guards against a key rotation that needs a restart or that partitions the daemons while it is in
/// progress.
static void
test_key_rotation (void)
{
  TtCurveKeys old_key = make_keys (NULL, NULL);
  TtCurveKeys new_key = make_keys (NULL, NULL);
  TtCurveKeys old_first = old_key;
  TtCurveKeys new_first = new_key;
  Fixture fixture;

  old_first.accepted_count = new_first.accepted_count = 2;
  memcpy (old_first.accepted_keys[1], new_key.public_key, TT_CURVE_KEY_SIZE);
  memcpy (new_first.accepted_keys[1], new_first.accepted_keys[0], TT_CURVE_KEY_SIZE);
  memcpy (new_first.accepted_keys[0], old_key.public_key, TT_CURVE_KEY_SIZE);
  open_fixture (&fixture);
  open_peer (&fixture, &fixture.a, "fleet", &old_key);
  open_peer (&fixture, &fixture.b, "fleet", &old_key);
  CU_ASSERT (is_delivered (&fixture));
  CU_ASSERT_EQUAL (tt_peer_socket_set_keys (fixture.a.handle, &old_first), TT_OK);
  CU_ASSERT (is_delivered (&fixture));
  CU_ASSERT_EQUAL (tt_peer_socket_set_keys (fixture.b.handle, &new_first), TT_OK);
  CU_ASSERT (is_delivered (&fixture)); // connects with the old key to a daemon that has the new one
  CU_ASSERT_EQUAL (tt_peer_socket_set_keys (fixture.a.handle, &new_first), TT_OK);
  CU_ASSERT (is_delivered (&fixture)); // tries the old key first, then the new one
  CU_ASSERT_EQUAL (tt_peer_socket_set_keys (fixture.a.handle, &new_key), TT_OK);
  CU_ASSERT_EQUAL (tt_peer_socket_set_keys (fixture.b.handle, &new_key), TT_OK);
  CU_ASSERT (is_delivered (&fixture));
  CU_ASSERT_EQUAL (tt_peer_socket_set_keys (fixture.a.handle, &old_key), TT_OK);
  CU_ASSERT_FALSE (is_delivered (&fixture)); // the old key is not accepted any more
  close_fixture (&fixture);
}

static const UnitTest tests[] = {
  { "long_message_is_rejected", test_long_message_is_rejected },
  { "burst_is_read", test_burst_is_read },
  { "queue_is_bounded", test_queue_is_bounded },
  { "other_fleet_is_refused", test_other_fleet_is_refused },
  { "keys_are_checked", test_keys_are_checked },
  { "key_rotation", test_key_rotation },
};

UNIT_MAIN ("peer_socket", tests)
