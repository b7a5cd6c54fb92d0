#include "support/unit.h"
#include "support/uv_peer.h"
#include "tarragontrack/io/http_client.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Loop, server, client and what one call reported.
typedef struct
{
  uv_loop_t loop;
  uv_timer_t guard;
  UvPeer *peer;
  TtHttpClient *client;
  TtHttpCall *call;
  unsigned sent;
  unsigned status;
  unsigned ends;
  unsigned requests;
  size_t size;
  char data[256];
  char route[32];
  TtError error;
  bool cancel_on_data;
  bool pause_on_data;
} World;

static void
on_sent (void *context)
{
  ((World *) context)->sent++;
}

static void
on_headers (void *context, TtHttpCall *call, unsigned status)
{
  World *world = context;
  const char *route = tt_http_call_header (call, "x-route");

  world->status = status;
  (void) snprintf (world->route, sizeof world->route, "%s", route != NULL ? route : "");
}

static void
on_data (void *context, const char *data, size_t size)
{
  World *world = context;

  if (world->size + size < sizeof world->data)
    memcpy (world->data + world->size, data, size);
  world->size += size;
  if (world->cancel_on_data)
    {
      tt_http_call_cancel (world->call);
      uv_stop (&world->loop);
    }
  if (world->pause_on_data)
    tt_http_call_pause (world->call, true);
}

static void
on_end (void *context, const TtError *error)
{
  World *world = context;

  world->ends++;
  world->error = *error;
  uv_stop (&world->loop);
}

static void
stop_loop (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

/// Runs the loop until a call ended, or for @limit_ms.
static void
run_world (World *world, uint64_t limit_ms)
{
  (void) uv_timer_start (&world->guard, stop_loop, limit_ms, 0);
  (void) uv_run (&world->loop, UV_RUN_DEFAULT);
}

static void
open_world (World *world, UvPeerHandler handler)
{
  memset (world, 0, sizeof *world);
  (void) uv_loop_init (&world->loop);
  (void) uv_timer_init (&world->loop, &world->guard);
  world->peer = uv_peer_new (&world->loop, handler, world);
  world->client = tt_http_client_new (&world->loop);
}

static void
close_world (World *world)
{
  tt_http_client_free (world->client);
  uv_peer_free (world->peer);
  uv_close ((uv_handle_t *) &world->guard, NULL);
  (void) uv_run (&world->loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&world->loop), 0);
}

static void
start_call (World *world, const char *method, unsigned port, uint32_t total_timeout_ms)
{
  static const char *const headers[] = { "X-Attempt: 7", NULL };
  char url[64];
  TtHttpRequest request = { .method = method,
                            .url = url,
                            .peer = "peer",
                            .headers = headers,
                            .body = strcmp (method, "GET") == 0 ? NULL : "{}",
                            .body_size = strcmp (method, "GET") == 0 ? 0 : 2,
                            .connect_timeout_ms = 1000,
                            .total_timeout_ms = total_timeout_ms,
                            .context = world,
                            .on_sent = on_sent,
                            .on_headers = on_headers,
                            .on_data = on_data,
                            .on_end = on_end };

  (void) snprintf (url, sizeof url, "http://127.0.0.1:%u/path", port);
  world->sent = 0;
  world->call = tt_http_client_start (world->client, &request);
  CU_ASSERT_PTR_NOT_NULL_FATAL (world->call);
  CU_ASSERT_EQUAL (world->sent, 0);
}

static void
answer_whole (void *context, UvPeerConnection *connection, unsigned number, const char *request)
{
  World *world = context;

  (void) number;
  world->requests++;
  CU_ASSERT_PTR_NOT_NULL (strstr (request, "X-Attempt: 7\r\n"));
  uv_peer_answer (connection, 201, "X-Route: r1\r\n", "hello");
}

/// Guards against lost parts of an answer and a connection that is not reused.
static void
whole_answer (void)
{
  World world;

  open_world (&world, answer_whole);
  for (unsigned i = 0; i < 2; i++)
    {

      world.size = 0;
      start_call (&world, i == 0 ? "POST" : "GET", uv_peer_port (world.peer), 2000);
      run_world (&world, 2000);
      CU_ASSERT_EQUAL (world.error.code, 0);
      CU_ASSERT_EQUAL (world.ends, i + 1);
      CU_ASSERT_EQUAL (world.sent, 1);
      CU_ASSERT_EQUAL (world.status, 201);
      CU_ASSERT_STRING_EQUAL (world.route, "r1");
      CU_ASSERT (world.size == 5 && memcmp (world.data, "hello", 5) == 0);
    }
  CU_ASSERT_EQUAL (uv_peer_accepted (world.peer), 1);
  close_world (&world);
}

/// Guards against "not run" for a request that was sent, and the reverse.
static void
refused_connection (void)
{
  World world;
  unsigned port;

  open_world (&world, answer_whole);
  port = uv_peer_port (world.peer);
  uv_peer_free (world.peer);
  (void) uv_run (&world.loop, UV_RUN_NOWAIT);
  start_call (&world, "POST", port, 2000);
  run_world (&world, 2000);
  CU_ASSERT_EQUAL (world.error.code, TT_E_UNAVAILABLE);
  CU_ASSERT_EQUAL (world.error.step, TT_STEP_CONNECT);
  CU_ASSERT_STRING_EQUAL (world.error.peer, "peer");
  CU_ASSERT_EQUAL (world.sent, 0);
  world.peer = uv_peer_new (&world.loop, answer_whole, &world);
  close_world (&world);
}

static void
answer_first_then_close (void *context, UvPeerConnection *connection, unsigned number,
                         const char *request)
{
  World *world = context;

  (void) request;
  world->requests++;
  if (number == 1)
    uv_peer_answer (connection, 200, "", "a");
  else
    uv_peer_close (connection);
}

/// Guards against libcurl sending a request twice after a reused connection was closed: the
/// server may have run it (P4).
static void
never_sent_twice (void)
{
  World world;

  open_world (&world, answer_first_then_close);
  start_call (&world, "POST", uv_peer_port (world.peer), 2000);
  run_world (&world, 2000);
  CU_ASSERT_EQUAL (world.error.code, 0);

  start_call (&world, "POST", uv_peer_port (world.peer), 2000);
  run_world (&world, 2000);
  CU_ASSERT_EQUAL (world.error.code, TT_E_CRASHED);
  CU_ASSERT_EQUAL (world.sent, 1);
  CU_ASSERT_EQUAL (world.requests, 2);
  close_world (&world);
}

static void
answer_part (void *context, UvPeerConnection *connection, unsigned number, const char *request)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";

  (void) context, (void) number, (void) request;
  uv_peer_send (connection, text, sizeof text - 1);
  uv_peer_close (connection);
}

static void
answer_without_length (void *context, UvPeerConnection *connection, unsigned number,
                       const char *request)
{
  static const char text[] = "HTTP/1.1 200 OK\r\n\r\nabc";

  (void) context, (void) number, (void) request;
  uv_peer_send (connection, text, sizeof text - 1);
  uv_peer_close (connection);
}

/// Guards against a truncated answer that is taken for a complete one (P2).
static void
truncated_answer (void)
{
  static const UvPeerHandler handlers[] = { answer_part, answer_without_length };

  for (unsigned i = 0; i < 2; i++)
    {
      World world;

      open_world (&world, handlers[i]);
      start_call (&world, "GET", uv_peer_port (world.peer), 2000);
      run_world (&world, 2000);
      CU_ASSERT_EQUAL (world.error.code, TT_E_CRASHED);
      close_world (&world);
    }
}

static void
answer_never (void *context, UvPeerConnection *connection, unsigned number, const char *request)
{
  (void) connection, (void) number, (void) request;
  ((World *) context)->requests++;
}

/// Guards against a call that waits forever on a silent connection.
static void
silent_connection (void)
{
  World world;

  open_world (&world, answer_never);
  start_call (&world, "POST", uv_peer_port (world.peer), 100);
  run_world (&world, 3000);
  CU_ASSERT_EQUAL (world.error.code, TT_E_TIMEOUT);
  CU_ASSERT_EQUAL (world.sent, 1);
  close_world (&world);
}

/// Guards against callbacks after a cancel, inside and outside of a callback, and against reuse of
/// the connection.
static void
cancelled_call (void)
{
  World world;

  open_world (&world, answer_whole);
  world.cancel_on_data = true;
  start_call (&world, "GET", uv_peer_port (world.peer), 0);
  run_world (&world, 2000);
  run_world (&world, 50);
  CU_ASSERT_EQUAL (world.ends, 0);
  start_call (&world, "GET", uv_peer_port (world.peer), 0);
  tt_http_call_cancel (world.call);
  run_world (&world, 50);
  CU_ASSERT_EQUAL (world.ends, 0);
  close_world (&world);
}

static void
answer_large (void *context, UvPeerConnection *connection, unsigned number, const char *request)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
  static char body[1000000];

  (void) context, (void) number, (void) request;
  uv_peer_send (connection, head, sizeof head - 1);
  uv_peer_send (connection, body, sizeof body);
}

/// Guards against a reader that is not slowed down, and against data lost by a pause.
static void
paused_call (void)
{
  World world;
  size_t before;

  open_world (&world, answer_large);
  world.pause_on_data = true;
  start_call (&world, "GET", uv_peer_port (world.peer), 0);
  run_world (&world, 100);
  before = world.size;
  CU_ASSERT (before > 0 && before < 1000000);
  world.pause_on_data = false;
  tt_http_call_pause (world.call, false);
  CU_ASSERT_EQUAL (world.size, before);
  run_world (&world, 3000);
  CU_ASSERT_EQUAL (world.size, 1000000);
  CU_ASSERT_EQUAL (world.error.code, 0);
  close_world (&world);
}

static const UnitTest tests[] = {
  { "whole_answer", whole_answer },
  { "refused_connection", refused_connection },
  { "never_sent_twice", never_sent_twice },
  { "truncated_answer", truncated_answer },
  { "silent_connection", silent_connection },
  { "cancelled_call", cancelled_call },
  { "paused_call", paused_call },
};

UNIT_MAIN ("http_client", tests)
