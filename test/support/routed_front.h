/// Test fixture: caller server and backend client of a daemon around a board that places requests
/// by a routing table, with the dialect of the users' platform and scripted backend servers, all on
/// one loop. See routed_board_configure() for the routes.
#pragma once

#include "support/routed_board.h"
#include "support/script_server.h"
#include "support/stream_caller.h"
#include "tarragontrack/io/backend_client.h"
#include "tarragontrack/io/pump.h"

#define ROUTED_RESUMABLE_PATH "/s/x"      ///< streams may be resumed, 2 attempts
#define ROUTED_UNREPEATABLE_PATH "/two/x" ///< streams are sent once

typedef struct
{
  uv_loop_t loop;
  uv_timer_t tick_timer;
  RoutedBoard routed;
  TtPump pump;
  TtDialect dialect;
  TtHttpClient *http;
  TtCallerServer *callers;
  TtBackendClient *backends;
  ScriptServer *script;
  StreamCaller caller; ///< of the last request
  unsigned port;
} RoutedFront;

/// Starts everything with one or two backend servers, which share one scripted server. Bodies may
/// have 4096 bytes.
void routed_front_open (RoutedFront *front, unsigned backend_count);

/// Does the same with another limit on bodies.
void routed_front_open_sized (RoutedFront *front, unsigned backend_count, uint32_t max_body_bytes);

/// Sends a request and runs the loop until the caller's connection is closed.
void routed_front_send_request (RoutedFront *front, const char *path);

/// Runs the loop for a time.
void routed_front_run (RoutedFront *front, unsigned ms);

/// Frees everything; a leaked handle or record fails the test.
void routed_front_close (RoutedFront *front);
