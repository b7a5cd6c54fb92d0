/// Test fixture: an HTTP server on a loop of its own, with a board that keeps the account of what
/// its callers hold.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include "tarragontrack/io/http_server.h"
#include <uv.h>

typedef struct
{
  uv_loop_t loop;
  TtBoard *board;
  TtHttpServer *server;
  uint16_t port;
} IntakeServer;

/// Starts a server on a free port of 127.0.0.1. The address, the port and the board of @options are
/// set here.
void intake_server_open (IntakeServer *self, const TtHttpServerOptions *options,
                         size_t memory_bytes);

/// Runs the loop for some milliseconds, then a tick of the daemon.
void intake_server_run (IntakeServer *self, unsigned ms);

/// Waits until the callers' connections are closed and frees everything. The account must be empty
/// then.
void intake_server_close (IntakeServer *self);
