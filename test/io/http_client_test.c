#include "support/test_server.h"
#include "support/unit.h"
#include "tarragontrack/io/http_client.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Event loop, scripted server, client, and the results of one call.
typedef struct
{
  uv_loop_t loop;
  uv_timer_t timeout_timer;
  TestServer *peer;
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
  bool close_ends_response;
  bool pause_on_data;
} Fixture;

static void
on_sent (void *context)
{
  ((Fixture *) context)->sent++;
}

static void
on_headers (void *context, TtHttpCall *call, unsigned status)
{
  Fixture *fixture = context;
  const char *route = tt_http_call_get_header (call, "x-route");

  fixture->status = status;
  (void) snprintf (fixture->route, sizeof fixture->route, "%s", route != NULL ? route : "");
}

static void
on_data (void *context, const char *data, size_t size)
{
  Fixture *fixture = context;

  if (fixture->size + size < sizeof fixture->data)
    memcpy (fixture->data + fixture->size, data, size);
  fixture->size += size;
  if (fixture->cancel_on_data)
    {
      tt_http_call_cancel (fixture->call);
      uv_stop (&fixture->loop);
    }
  if (fixture->pause_on_data)
    tt_http_call_pause (fixture->call, true);
}

static void
on_end (void *context, const TtError *error)
{
  Fixture *fixture = context;

  fixture->ends++;
  fixture->error = *error;
  uv_stop (&fixture->loop);
}

static void
stop_loop (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

/// Runs the loop until a call ends, but at most for @limit_ms.
static void
run_loop (Fixture *fixture, uint64_t limit_ms)
{
  (void) uv_timer_start (&fixture->timeout_timer, stop_loop, limit_ms, 0);
  (void) uv_run (&fixture->loop, UV_RUN_DEFAULT);
}

static void
set_up (Fixture *fixture, TestServerHandler handler)
{
  memset (fixture, 0, sizeof *fixture);
  (void) uv_loop_init (&fixture->loop);
  (void) uv_timer_init (&fixture->loop, &fixture->timeout_timer);
  fixture->peer = test_server_new (&fixture->loop, handler, fixture);
  fixture->client = tt_http_client_new (&fixture->loop);
}

static void
tear_down (Fixture *fixture)
{
  tt_http_client_free (fixture->client);
  test_server_free (fixture->peer);
  uv_close ((uv_handle_t *) &fixture->timeout_timer, NULL);
  (void) uv_run (&fixture->loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&fixture->loop), 0);
}

static void
start_call (Fixture *fixture, const char *method, unsigned port, uint32_t total_timeout_ms)
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
                            .close_ends_response = fixture->close_ends_response,
                            .context = fixture,
                            .on_sent = on_sent,
                            .on_headers = on_headers,
                            .on_data = on_data,
                            .on_end = on_end };

  (void) snprintf (url, sizeof url, "http://127.0.0.1:%u/path", port);
  fixture->sent = 0;
  fixture->call = tt_http_client_start (fixture->client, &request);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->call);
  CU_ASSERT_EQUAL (fixture->sent, 0);
}

static void
respond_complete (void *context, TestServerConnection *connection, unsigned number,
                  const char *request)
{
  Fixture *fixture = context;

  (void) number;
  fixture->requests++;
  CU_ASSERT_PTR_NOT_NULL (strstr (request, "X-Attempt: 7\r\n"));
  test_server_respond (connection, 201, "X-Route: r1\r\n", "hello");
}

/// Guards against lost parts of a response and against connections that are not reused.
static void
complete_response (void)
{
  Fixture fixture;

  set_up (&fixture, respond_complete);
  for (unsigned i = 0; i < 2; i++)
    {
      fixture.size = 0;
      start_call (&fixture, i == 0 ? "POST" : "GET", test_server_port (fixture.peer), 2000);
      run_loop (&fixture, 2000);
      CU_ASSERT_EQUAL (fixture.error.code, 0);
      CU_ASSERT_EQUAL (fixture.ends, i + 1);
      CU_ASSERT_EQUAL (fixture.sent, 1);
      CU_ASSERT_EQUAL (fixture.status, 201);
      CU_ASSERT_STRING_EQUAL (fixture.route, "r1");
      CU_ASSERT (fixture.size == 5 && memcmp (fixture.data, "hello", 5) == 0);
    }
  CU_ASSERT_EQUAL (test_server_accepted_connections (fixture.peer), 1);
  tear_down (&fixture);
}

/// Guards against a refused connection that is reported as if the request had been sent.
static void
refused_connection (void)
{
  Fixture fixture;
  unsigned port;

  set_up (&fixture, respond_complete);
  port = test_server_port (fixture.peer);
  test_server_free (fixture.peer);
  (void) uv_run (&fixture.loop, UV_RUN_NOWAIT);
  start_call (&fixture, "POST", port, 2000);
  run_loop (&fixture, 2000);
  CU_ASSERT_EQUAL (fixture.error.code, TT_E_UNAVAILABLE);
  CU_ASSERT_EQUAL (fixture.error.step, TT_STEP_CONNECT);
  CU_ASSERT_STRING_EQUAL (fixture.error.peer, "peer");
  CU_ASSERT_EQUAL (fixture.sent, 0);
  fixture.peer = test_server_new (&fixture.loop, respond_complete, &fixture);
  tear_down (&fixture);
}

static void
respond_once_then_close (void *context, TestServerConnection *connection, unsigned number,
                         const char *request)
{
  Fixture *fixture = context;

  (void) request;
  fixture->requests++;
  if (number == 1)
    test_server_respond (connection, 200, "", "a");
  else
    test_server_close_connection (connection);
}

/// Guards against libcurl resending a request after the server closed a reused connection, because
/// the server may have executed the request (P4).
static void
request_not_resent (void)
{
  Fixture fixture;

  set_up (&fixture, respond_once_then_close);
  start_call (&fixture, "POST", test_server_port (fixture.peer), 2000);
  run_loop (&fixture, 2000);
  CU_ASSERT_EQUAL (fixture.error.code, 0);

  start_call (&fixture, "POST", test_server_port (fixture.peer), 2000);
  run_loop (&fixture, 2000);
  CU_ASSERT_EQUAL (fixture.error.code, TT_E_CRASHED);
  CU_ASSERT_EQUAL (fixture.sent, 1);
  CU_ASSERT_EQUAL (fixture.requests, 2);
  tear_down (&fixture);
}

static void
respond_truncated (void *context, TestServerConnection *connection, unsigned number,
                   const char *request)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";

  (void) context, (void) number, (void) request;
  test_server_send (connection, text, sizeof text - 1);
  test_server_close_connection (connection);
}

static void
respond_without_length (void *context, TestServerConnection *connection, unsigned number,
                        const char *request)
{
  static const char text[] = "HTTP/1.1 200 OK\r\n\r\nabc";

  (void) context, (void) number, (void) request;
  test_server_send (connection, text, sizeof text - 1);
  test_server_close_connection (connection);
}

/// Guards against a truncated response that is reported as complete (P2).
static void
truncated_response (void)
{
  static const TestServerHandler handlers[] = { respond_truncated, respond_without_length };

  for (unsigned i = 0; i < 2; i++)
    {
      Fixture fixture;

      set_up (&fixture, handlers[i]);
      start_call (&fixture, "GET", test_server_port (fixture.peer), 2000);
      run_loop (&fixture, 2000);
      CU_ASSERT_EQUAL (fixture.error.code, TT_E_CRASHED);
      tear_down (&fixture);
    }
}

static void
never_respond (void *context, TestServerConnection *connection, unsigned number,
               const char *request)
{
  (void) connection, (void) number, (void) request;
  ((Fixture *) context)->requests++;
}

/// Guards against a call that waits forever for a server that does not respond.
static void
response_timeout (void)
{
  Fixture fixture;

  set_up (&fixture, never_respond);
  start_call (&fixture, "POST", test_server_port (fixture.peer), 100);
  run_loop (&fixture, 3000);
  CU_ASSERT_EQUAL (fixture.error.code, TT_E_TIMEOUT);
  CU_ASSERT_EQUAL (fixture.sent, 1);
  tear_down (&fixture);
}

/// Guards against callbacks of a call that was cancelled inside or outside of a callback.
static void
cancelled_call (void)
{
  Fixture fixture;

  set_up (&fixture, respond_complete);
  fixture.cancel_on_data = true;
  start_call (&fixture, "GET", test_server_port (fixture.peer), 0);
  run_loop (&fixture, 2000);
  run_loop (&fixture, 50);
  CU_ASSERT_EQUAL (fixture.ends, 0);
  start_call (&fixture, "GET", test_server_port (fixture.peer), 0);
  tt_http_call_cancel (fixture.call);
  run_loop (&fixture, 50);
  CU_ASSERT_EQUAL (fixture.ends, 0);
  tear_down (&fixture);
}

static void
respond_large (void *context, TestServerConnection *connection, unsigned number,
               const char *request)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
  static char body[1000000];

  (void) context, (void) number, (void) request;
  test_server_send (connection, head, sizeof head - 1);
  test_server_send (connection, body, sizeof body);
}

/// Guards against a pause that does not stop reading, and against data lost by a pause.
static void
paused_call (void)
{
  Fixture fixture;
  size_t before;

  set_up (&fixture, respond_large);
  fixture.pause_on_data = true;
  start_call (&fixture, "GET", test_server_port (fixture.peer), 0);
  run_loop (&fixture, 100);
  before = fixture.size;
  CU_ASSERT (before > 0 && before < 1000000);
  fixture.pause_on_data = false;
  tt_http_call_pause (fixture.call, false);
  CU_ASSERT_EQUAL (fixture.size, before);
  run_loop (&fixture, 3000);
  CU_ASSERT_EQUAL (fixture.size, 1000000);
  CU_ASSERT_EQUAL (fixture.error.code, 0);
  tear_down (&fixture);
}

/// Sends the same bytes again and again until the client closes the connection.
typedef struct
{
  Fixture fixture; // must be first: the handlers cast it
  uv_timer_t timer;
  TestServerConnection *connection;
  const char *start;
  const char *repeat;
} EndlessServer;

static void
send_more (uv_timer_t *timer)
{
  EndlessServer *server = timer->data;

  if (test_server_open_connections (server->fixture.peer) == 0)
    {
      (void) uv_timer_stop (timer);
      return;
    }
  for (unsigned i = 0; i < 64; i++)
    test_server_send (server->connection, server->repeat, strlen (server->repeat));
}

static void
respond_endlessly (void *context, TestServerConnection *connection, unsigned number,
                   const char *request)
{
  EndlessServer *server = context;

  (void) number, (void) request;
  server->connection = connection;
  test_server_send (connection, server->start, strlen (server->start));
  (void) uv_timer_start (&server->timer, send_more, 0, 1);
}

/// Guards against a server that sends bytes without end where the head of a response is expected:
/// the client would store header lines until its memory is used up, or read until the timeout.
static void
endless_head (void)
{
  static const struct
  {
    const char *start;
    const char *repeat;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789012345678901234567890123456789\r\n" },
    { "HTTP/1.1 200 OK\r\nX-Line: ", "0123456789012345678901234567890123456789" },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", "0123456789012345678901234567890123456789" },
    { "", "not a response\r\n" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      EndlessServer server = { .start = cases[i].start, .repeat = cases[i].repeat };
      Fixture *fixture = &server.fixture;

      (void) signal (SIGPIPE, SIG_IGN); // the server writes to a closed connection
      set_up (fixture, respond_endlessly);
      (void) uv_timer_init (&fixture->loop, &server.timer);
      server.timer.data = &server;
      start_call (fixture, "GET", test_server_port (fixture->peer), 4000);
      run_loop (fixture, 3000);
      CU_ASSERT_EQUAL (fixture->ends, 1);

      CU_ASSERT_EQUAL (fixture->error.code, TT_E_MALFORMED);
      CU_ASSERT_EQUAL (fixture->size, 0);
      uv_close ((uv_handle_t *) &server.timer, NULL);
      tear_down (fixture);
    }
}

/// Bytes that the server sends before it closes the connection.
static const char *broken_bytes;

static void
respond_broken (void *context, TestServerConnection *connection, unsigned number,
                const char *request)
{
  (void) context, (void) number, (void) request;
  test_server_send (connection, broken_bytes, strlen (broken_bytes));
  test_server_close_connection (connection);
}

/// Guards against a response that breaks off within its head, or switches to a protocol that nobody
/// asked for, and is reported as complete (MIXED, ORDER).
static void
broken_head (void)
{
  static const struct
  {
    const char *bytes;
    int code;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\n", TT_E_CRASHED },
    { "HTTP/1.1 200 OK\r\nX-Route: a\r\n", TT_E_CRASHED },
    { "HTTP/1.1 200 OK\r\nX-Route: a\r\nContent-Le", TT_E_CRASHED },
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", TT_E_CRASHED },
    { "HTTP/1.1 103 Early Hints\r\n\r\n", TT_E_CRASHED },
    { "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", TT_E_CRASHED },
    { "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", TT_E_MALFORMED },
    { "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nother bytes", TT_E_MALFORMED },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    for (unsigned close_ends = 0; close_ends < 2; close_ends++)
      {
        Fixture fixture;

        set_up (&fixture, respond_broken);
        fixture.close_ends_response = close_ends == 1;
        broken_bytes = cases[i].bytes;
        start_call (&fixture, "GET", test_server_port (fixture.peer), 2000);
        run_loop (&fixture, 2000);
        CU_ASSERT_EQUAL (fixture.ends, 1);
        CU_ASSERT_EQUAL (fixture.error.code, cases[i].code);
        CU_ASSERT_EQUAL (fixture.size, 0);
        CU_ASSERT_EQUAL (fixture.status, 0);
        tear_down (&fixture);
      }
}

static const UnitTest tests[] = {
  { "complete_response", complete_response },
  { "refused_connection", refused_connection },
  { "request_not_resent", request_not_resent },
  { "truncated_response", truncated_response },
  { "response_timeout", response_timeout },
  { "cancelled_call", cancelled_call },
  { "paused_call", paused_call },
  { "endless_head", endless_head },
  { "broken_head", broken_head },
};

UNIT_MAIN ("http_client", tests)
