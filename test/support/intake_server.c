#include "support/intake_server.h"
#include "support/free_port.h"
#include "support/unit.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/io/clock.h"
#include <signal.h>
#include <string.h>

#define CLOSE_LIMIT_MS 20000

void
intake_server_open (IntakeServer *self, const TtHttpServerOptions *options, size_t memory_bytes)
{
  TtBoardConfig config = { .fleet = "f",
                           .name = "d",
                           .domain = "z",
                           .max_requests = 16,
                           .max_attempts = 16,
                           .max_accounts = 16,
                           .memory_bytes = memory_bytes,
                           .descriptors = 1024,
                           .request_timeout_ms = 30000,
                           .send_timeout_ms = 10000,
                           .uses_tls = options->certificate_file != NULL };
  TtHttpServerOptions own = *options;
  TtController controller = tt_intake_controller ();
  TtError error = { 0 };

  (void) signal (SIGPIPE, SIG_IGN);
  memset (self, 0, sizeof *self);
  (void) uv_loop_init (&self->loop);
  self->board = tt_board_new (&config);
  UNIT_REQUIRE (self->board != NULL && tt_board_add_controller (self->board, &controller) == 0);
  self->port = (uint16_t) free_port_find ();
  own.address = "127.0.0.1";
  own.port = self->port;
  own.board = self->board;
  self->server = tt_http_server_new (&self->loop, &own, &error);
  UNIT_REQUIRE (self->server != NULL);
}

static void
on_wait_end (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

void
intake_server_run (IntakeServer *self, unsigned ms)
{
  TtEvent tick = { .type = TT_EVENT_TICK };
  uv_timer_t timer;

  (void) uv_timer_init (&self->loop, &timer);
  (void) uv_timer_start (&timer, on_wait_end, ms, 0);
  (void) uv_run (&self->loop, UV_RUN_DEFAULT);
  uv_close ((uv_handle_t *) &timer, NULL);
  (void) uv_run (&self->loop, UV_RUN_NOWAIT);
  tt_board_step (self->board, &tick, tt_clock_now_us ());
  while (tt_list_first (&self->board->outbox) != NULL)
    tt_board_release_action (self->board, tt_board_pop_action (self->board));
  tt_http_server_check (self->server, tt_clock_now_us ());
}

void
intake_server_close (IntakeServer *self)
{
  for (unsigned ms = 0; ms < CLOSE_LIMIT_MS && tt_http_server_count_connections (self->server) > 0;
       ms++)
    intake_server_run (self, 1);
  CU_ASSERT_EQUAL (self->board->intake.held_bytes, 0);
  tt_http_server_free (self->server);
  (void) uv_run (&self->loop, UV_RUN_NOWAIT);
  CU_ASSERT_EQUAL (uv_loop_close (&self->loop), 0);
  tt_board_free (self->board);
}
