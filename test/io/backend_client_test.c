#include "support/unit.h"
#include "support/uv_peer.h"
#include "support/world.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/io/backend_client.h"
#include "tarragontrack/io/chat_dialect.h"
#include "tarragontrack/io/clock.h"
#include "tarragontrack/io/pump.h"
#include <stdio.h>
#include <string.h>

#define LIMIT_MS 10000
#define ANSWER_MAX 300000

/// A daemon's front end between a scripted engine and one caller.
typedef struct
{
  uv_loop_t loop;
  uv_timer_t guard;
  uv_timer_t ticker;
  TtBoard *board;
  TtPump pump;
  TtHttpClient *http;
  TtCallerServer *callers;
  TtBackendClient *backends;
  UvPeer *engine;
  uv_tcp_t caller;
  uv_connect_t connect;
  uv_write_t write;
  TtDialect *dialect;
  const char *request;
  unsigned port;
  unsigned dispatched;
  size_t size;
  char answer[ANSWER_MAX];
} World;

static World world;

static void
execute (void *context, TtAction *action, int64_t now_us)
{
  World *w = context;

  (void) now_us;
  if (action->type == TT_ACTION_DISPATCH)
    {
      w->dispatched++;
      tt_backend_client_dispatch (w->backends, &action->attempt);
    }
  else if (action->type == TT_ACTION_RELAY)
    tt_backend_client_relay (w->backends, &action->attempt);
  else if (action->type == TT_ACTION_CANCEL)
    tt_backend_client_cancel (w->backends, &action->attempt);
  else if (action->type == TT_ACTION_REPLY)
    tt_caller_server_reply (w->callers, &action->reply);
}

static void
on_writable (void *context, uint64_t request_id)
{
  tt_backend_client_resume (((World *) context)->backends, request_id);
}

static void
stop_loop (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

/// Ticks the board as the daemon does; retries wait for it.
static void
on_tick (uv_timer_t *timer)
{
  TtEvent event = { .type = TT_EVENT_TICK };

  (void) timer;
  world.pump.front.post (world.pump.front.context, &event);
}

static void
give_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  (void) handle, (void) size;
  *buffer = uv_buf_init (world.answer + world.size, (unsigned) (ANSWER_MAX - 1 - world.size));
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  (void) buffer;
  if (size < 0)
    uv_stop (stream->loop);
  else
    world.size += (size_t) size;
  world.answer[world.size] = '\0';
}

static void
on_connect (uv_connect_t *connect, int status)
{
  uv_buf_t buffer = uv_buf_init ((char *) world.request, (unsigned) strlen (world.request));

  CU_ASSERT_EQUAL (status, 0);
  (void) uv_write (&world.write, connect->handle, &buffer, 1, NULL);
  (void) uv_read_start (connect->handle, give_buffer, on_read);
}

/// Starts the front end with one engine that answers with @handler.
static void
open_world (UvPeerHandler handler)
{
  TtCallerOptions options = { .http = { .address = "127.0.0.1",
                                        .max_connections = 4,
                                        .max_body_bytes = 4096,
                                        .max_header_bytes = 4096,
                                        .read_timeout_ms = 5000 },
                              .buffer_bytes = 16384,
                              .context = &world,
                              .on_writable = on_writable };
  TtBackendOptions backend = { .connect_timeout_ms = 1000, .answer_bytes = 1024, .seed = 1 };
  TtError error = { 0 };
  static TtDialect dialect;

  dialect = tt_chat_dialect ();
  options.dialect = &dialect;
  backend.dialect = &dialect;
  memset (&world, 0, sizeof world);
  world.dialect = &dialect;
  (void) uv_loop_init (&world.loop);
  (void) uv_timer_init (&world.loop, &world.guard);
  (void) uv_timer_init (&world.loop, &world.ticker);
  world.engine = uv_peer_new (&world.loop, handler, &world);
  world.board = world_board ("d1", "zone");
  world_start (world.board, 1, tt_clock_now_us ());
  TT_LIST_FOREACH (&world.board->backends.all, it)
    TT_CONTAINER_OF (it, TtBackendServer, link)->port = (uint16_t) uv_peer_port (world.engine);
  tt_pump_init (&world.pump, &world.loop, world.board, &world, execute);
  (void) uv_timer_start (&world.ticker, on_tick, TT_TICK_INTERVAL_US / TT_MILLISECOND_US,
                         TT_TICK_INTERVAL_US / TT_MILLISECOND_US);
  world.http = tt_http_client_new (&world.loop);
  // A port that was free a moment ago; the server's interface has no way to tell its own.
  for (unsigned i = 0; world.callers == NULL && i < 100; i++)
    {
      world.port = 20000 + (unsigned) (tt_clock_wall_us () % 10000) + i;
      options.http.port = (uint16_t) world.port;
      world.callers = tt_caller_server_new (&world.pump.front, &options, &error);
    }
  backend.http = world.http;
  backend.callers = world.callers;
  world.backends = tt_backend_client_new (&world.pump.front, &backend);
}

/// Sends one request and reads the whole answer.
static void
call_world (const char *request)
{
  struct sockaddr_in address;

  world.request = request;
  (void) uv_ip4_addr ("127.0.0.1", (int) world.port, &address);
  (void) uv_tcp_init (&world.loop, &world.caller);
  (void) uv_tcp_connect (&world.connect, &world.caller, (const struct sockaddr *) &address,
                         on_connect);
  (void) uv_timer_start (&world.guard, stop_loop, LIMIT_MS, 0);
  (void) uv_run (&world.loop, UV_RUN_DEFAULT);
}

static bool
has (const char *text)
{
  return strstr (world.answer, text) != NULL;
}

/// Ends the test; a handle or a record that is left over fails it.
static void
close_world (void)
{
  uv_close ((uv_handle_t *) &world.caller, NULL);
  uv_close ((uv_handle_t *) &world.guard, NULL);
  uv_close ((uv_handle_t *) &world.ticker, NULL);
  tt_caller_server_free (world.callers);
  tt_http_client_free (world.http);
  uv_peer_free (world.engine);
  (void) uv_run (&world.loop, UV_RUN_DEFAULT);
  tt_backend_client_free (world.backends);
  tt_pump_close (&world.pump);
  tt_board_free (world.board);
  CU_ASSERT_EQUAL (uv_loop_close (&world.loop), 0);
}

static const char stream_call[]
    = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Client-Account: small\r\n"
      "Connection: close\r\nContent-Length: 75\r\n\r\n"
      "{\"model\":\"chat\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]} ";
static const char plain_call[]
    = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Client-Account: small\r\n"
      "Connection: close\r\nContent-Length: 61\r\n\r\n"
      "{\"model\":\"chat\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]} ";

#define EVENT_A "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
#define EVENT_DONE "data: [DONE]\n\n"

/// Sends the head of an engine's answer with the attempt's id.
static void
send_head (UvPeerConnection *connection, const char *request, const char *headers)
{
  const char *token = strstr (request, "X-Attempt-Id: ");
  char head[512];
  int size;

  CU_ASSERT_PTR_NOT_NULL_FATAL (token);
  size = snprintf (head, sizeof head, "HTTP/1.1 200 OK\r\n%.46s\r\n%s\r\n", token, headers);
  uv_peer_send (connection, head, (size_t) size);
}

/// Sends one chunk of a chunked answer.
static void
send_chunk (UvPeerConnection *connection, const char *text)
{
  char chunk[512];
  int size = snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen (text), text);

  uv_peer_send (connection, chunk, (size_t) size);
}

#define STREAM_HEADERS "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"

static void
answer_stream (void *context, UvPeerConnection *connection, unsigned number, const char *request)
{
  (void) context, (void) number;
  send_head (connection, request, STREAM_HEADERS);
  send_chunk (connection, EVENT_A);
  send_chunk (connection, EVENT_A EVENT_DONE);
  uv_peer_send (connection, "0\r\n\r\n", 5);
}

static void
test_stream (void)
{
  open_world (answer_stream);
  call_world (stream_call);
  CU_ASSERT (has ("HTTP/1.1 200"));
  CU_ASSERT (has (EVENT_A));
  CU_ASSERT (has ("data: [DONE]"));
  CU_ASSERT (has ("x-request-id: d1-"));
  CU_ASSERT (has ("x-chat-route: "));
  CU_ASSERT (!has ("event: error"));
  CU_ASSERT_EQUAL (world.board->counters[TT_COUNT_TOKENS], 2);
  CU_ASSERT_EQUAL (world.board->counters[TT_COUNT_COMPLETE], 1);
  close_world ();
}

static void
answer_without_done (void *context, UvPeerConnection *connection, unsigned number,
                     const char *request)
{
  (void) context, (void) number;
  send_head (connection, request, STREAM_HEADERS);
  send_chunk (connection, EVENT_A "data: {\"choices\":[{\"del");
  uv_peer_send (connection, "0\r\n\r\n", 5);
}

static void
test_cut_stream (void)
{
  open_world (answer_without_done);
  call_world (stream_call);
  CU_ASSERT (has (EVENT_A));
  CU_ASSERT (!has ("{\"del\"") && !has ("{\"del\r"));
  CU_ASSERT (has ("event: error"));
  CU_ASSERT (has ("\"outcome\":\"cut\""));
  CU_ASSERT (!has ("[DONE]"));
  CU_ASSERT_EQUAL (world.board->counters[TT_COUNT_CUT], 1);
  close_world ();
}

static void
answer_plain (void *context, UvPeerConnection *connection, unsigned number, const char *request)
{
  (void) context, (void) number;
  send_head (connection, request, "Content-Type: application/json\r\nContent-Length: 8\r\n");
  uv_peer_send (connection, "{\"a\":17}", 8);
}

static void
test_plain (void)
{
  open_world (answer_plain);
  call_world (plain_call);
  CU_ASSERT (has ("HTTP/1.1 200"));
  CU_ASSERT (has ("x-outcome: complete"));
  CU_ASSERT (has ("{\"a\":17}"));
  close_world ();
}

/// Guards against connections that stay open though no attempt uses them again: a backend server
/// counts them against its limit and resets others.
static void
test_own_connection (void)
{
  open_world (answer_plain);
  call_world (plain_call);
  CU_ASSERT_EQUAL (uv_peer_open (world.engine), 1);
  close_world ();
  open_world (answer_plain);
  world.dialect->new_connections = true;
  call_world (plain_call);
  CU_ASSERT (has ("x-outcome: complete"));
  (void) uv_timer_start (&world.guard, stop_loop, 50, 0);
  (void) uv_run (&world.loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_peer_accepted (world.engine), 1);
  CU_ASSERT_EQUAL (uv_peer_open (world.engine), 0);
  close_world ();
}

static void
close_early (void *context, UvPeerConnection *connection, unsigned number, const char *request)
{
  (void) context, (void) number, (void) request;
  uv_peer_close (connection);
}

static void
test_crash (void)
{
  open_world (close_early);
  call_world (plain_call);
  CU_ASSERT (has ("HTTP/1.1 502"));
  CU_ASSERT (has ("x-outcome: unknown"));
  close_world ();
}

static void
answer_other (void *context, UvPeerConnection *connection, unsigned number, const char *request)
{
  (void) context, (void) number, (void) request;
  uv_peer_answer (connection, 200,
                  "X-Attempt-Id: 00000000000000000000000000000001\r\n"
                  "Content-Type: application/json\r\n",
                  "{\"secret\":1}");
}

static void
test_other_answer (void)
{
  open_world (answer_other);
  call_world (plain_call);
  CU_ASSERT (has ("HTTP/1.1 502"));
  CU_ASSERT (!has ("secret"));
  // A chat is retried; each attempt got an answer that was not its own.
  CU_ASSERT (world.dispatched >= 1);
  CU_ASSERT_EQUAL (world.board->counters[TT_COUNT_LATE_RESPONSES], world.dispatched);
  close_world ();
}

static void
test_bad_requests (void)
{
  static char large[6000];
  int size;

  open_world (answer_plain);
  call_world ("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
              "Content-Length: 2\r\n\r\n{}");
  CU_ASSERT (has ("HTTP/1.1 400"));
  // Without a length, a truncated error looks whole.
  CU_ASSERT (has ("Content-Length: "));
  CU_ASSERT (has ("x-outcome: not-run"));
  CU_ASSERT (has ("invalid_request_error"));
  close_world ();
  size = snprintf (large, sizeof large,
                   "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                   "Content-Length: 5000\r\n\r\n");
  memset (large + size, ' ', 5000);
  open_world (answer_plain);
  call_world (large);
  CU_ASSERT (has ("HTTP/1.1 413"));
  CU_ASSERT_EQUAL (world.dispatched, 0);
  close_world ();
}

static const UnitTest tests[] = {
  { "a stream does not reach its caller whole", test_stream },
  { "a stream without [DONE] looks complete, or a partial event is relayed", test_cut_stream },
  { "a plain answer does not reach its caller", test_plain },
  { "a connection stays open that is not used again", test_own_connection },
  { "a crash of the engine looks like an answer", test_crash },
  { "a caller gets the answer of another attempt", test_other_answer },
  { "a wrong or oversized request is dispatched", test_bad_requests },
};

UNIT_MAIN ("io/backend_client", tests)
