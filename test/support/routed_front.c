#include "support/routed_front.h"
#include "support/free_port.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/io/clock.h"
#include "tarragontrack/platform/dialect.h"
#include <signal.h>
#include <string.h>

#define MAX_BODY_BYTES 4096
#define TICK_MS 1 ///< shorter than the daemon's: a request that goes on elsewhere waits for a tick
#define CLOSE_TIMEOUT_MS 1000 ///< for the caller server to finish a request

static void
execute (void *context, TtAction *action, int64_t now_us)
{
  RoutedFront *front = context;

  (void) now_us;
  if (action->type == TT_ACTION_DISPATCH)
    tt_backend_client_dispatch (front->backends, &action->attempt);
  else if (action->type == TT_ACTION_RELAY)
    tt_backend_client_relay (front->backends, &action->attempt);
  else if (action->type == TT_ACTION_CANCEL)
    tt_backend_client_cancel (front->backends, &action->attempt);
  else if (action->type == TT_ACTION_REPLY)
    tt_caller_server_reply (front->callers, &action->reply);
}

static void
on_writable (void *context, uint64_t request_id)
{
  tt_backend_client_resume_reading (((RoutedFront *) context)->backends, request_id);
}

static void
on_tick (uv_timer_t *timer)
{
  TtEvent event = { .type = TT_EVENT_TICK };

  tt_pump_post (&((RoutedFront *) timer->data)->pump, &event);
}

static void
open_board (RoutedFront *front, unsigned backend_count)
{
  routed_board_open (&front->routed);
  front->routed.now_us = tt_clock_now_us () - TT_SECOND_US; // the pump's steps must be later
  routed_board_configure (&front->routed, 1, false);
  routed_board_list_servers (&front->routed, ROUTED_ENGINE_SERVICE, backend_count, "w-1", "w-2");
  TT_LIST_FOREACH (&front->routed.board->backends.all, it)
    TT_CONTAINER_OF (it, TtBackendServer, link)->port
        = (uint16_t) script_server_port (front->script);
}

static void
open_servers (RoutedFront *front, uint32_t max_body_bytes)
{
  TtCallerServerOptions options = { .http = { .address = "127.0.0.1",
                                              .max_connections = 4,
                                              .max_body_bytes = max_body_bytes,
                                              .max_header_bytes = 4096,
                                              .read_timeout_ms = 5000 },
                                    .dialect = &front->dialect,
                                    .response_buffer_bytes = 16384,
                                    .total_buffer_bytes = 1000000,
                                    .context = front,
                                    .on_writable = on_writable };
  TtBackendClientOptions backend = { .connect_timeout_ms = 1000,
                                     .dialect = &front->dialect,
                                     .max_buffered_response_bytes = 65536,
                                     .max_total_buffered_bytes = 1000000,
                                     .jitter_seed = 1 };
  TtError error = { 0 };

  // The server cannot report an ephemeral port, and one that can't listen leaves handles in the
  // loop.
  front->port = free_port_find ();
  options.http.port = (uint16_t) front->port;
  front->callers = tt_caller_server_new (&front->pump.front, &options, &error);
  UNIT_REQUIRE (front->callers != NULL);
  front->http = tt_http_client_new (&front->loop);
  backend.http = front->http;
  backend.callers = front->callers;
  front->backends = tt_backend_client_new (&front->pump.front, &backend);
}

void
routed_front_open (RoutedFront *front, unsigned backend_count)
{
  routed_front_open_sized (front, backend_count, MAX_BODY_BYTES);
}

void
routed_front_open_sized (RoutedFront *front, unsigned backend_count, uint32_t max_body_bytes)
{
  (void) signal (SIGPIPE, SIG_IGN); // the backend servers write to connections that were closed
  memset (front, 0, sizeof *front);
  front->dialect = tt_platform_dialect ();
  (void) uv_loop_init (&front->loop);
  (void) uv_timer_init (&front->loop, &front->tick_timer);
  front->tick_timer.data = front;
  front->script = script_server_new (&front->loop);
  open_board (front, backend_count);
  tt_pump_init (&front->pump, &front->loop, front->routed.board, front, execute);
  open_servers (front, max_body_bytes);
  (void) uv_timer_start (&front->tick_timer, on_tick, TICK_MS, TICK_MS);
}

static void
stop_loop (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

void
routed_front_run (RoutedFront *front, unsigned ms)
{
  uv_timer_t timer;

  (void) uv_timer_init (&front->loop, &timer);
  (void) uv_timer_start (&timer, stop_loop, ms, 0);
  (void) uv_run (&front->loop, UV_RUN_DEFAULT);
  uv_close ((uv_handle_t *) &timer, NULL);
  (void) uv_run (&front->loop, UV_RUN_NOWAIT);
}

void
routed_front_send_request (RoutedFront *front, const char *path)
{
  stream_caller_run (&front->caller, &front->loop, front->port, path);
  // The caller may see the end of a cut response before the server has finished the request.
  for (unsigned i = 0;
       i < CLOSE_TIMEOUT_MS && tt_caller_server_count_open_requests (front->callers) > 0; i++)
    routed_front_run (front, 1);
  UNIT_REQUIRE (tt_caller_server_count_open_requests (front->callers) == 0);
}

void
routed_front_close (RoutedFront *front)
{
  uv_close ((uv_handle_t *) &front->tick_timer, NULL);
  tt_caller_server_free (front->callers);
  tt_http_client_free (front->http);
  script_server_free (front->script);
  (void) uv_run (&front->loop, UV_RUN_DEFAULT);
  tt_backend_client_free (front->backends);
  tt_pump_close (&front->pump);
  routed_board_close (&front->routed);
  CU_ASSERT_EQUAL (uv_loop_close (&front->loop), 0);
}
