#include "tarragontrack/io/router.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/peer.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/io/backend_client.h"
#include "tarragontrack/io/caller_server.h"
#include "tarragontrack/io/chat_dialect.h"
#include "tarragontrack/io/clock.h"
#include "tarragontrack/io/http_client.h"
#include "tarragontrack/io/log.h"
#include "tarragontrack/io/object_dialect.h"
#include "tarragontrack/io/operator_server.h"
#include "tarragontrack/io/peer_socket.h"
#include "tarragontrack/io/platform_client.h"
#include "tarragontrack/io/pump.h"
#include "tarragontrack/io/reload.h"
#include "tarragontrack/io/router_options.h"
#include "tarragontrack/platform/dialect.h"
#include "tarragontrack/platform/store.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>

#define FLUSH_TIMEOUT_US (5 * TT_SECOND_US) ///< to send the last responses after the drain
#define CLOSE_ITERATIONS 16                 ///< loop iterations in which handles are closed

struct TtRouter
{
  const TtSettings *settings;
  TtReload reload; ///< of the settings file
  uv_loop_t loop;
  TtBoard *board;
  TtPump pump;
  TtHttpClient *http;
  TtCallerServer *caller_server;
  TtBackendClient *backend_client;
  TtOperatorServer *operator_server;
  TtOperatorServer *metrics_server; ///< on a separate address; NULL = none
  TtPlatformClient *platform_client;
  TtPeerSocket *peer_socket;
  TtDialect dialect;
  TtStoreIdentity identity; ///< this daemon's entry in the platform's store
  uint64_t limits_version;  ///< version of the routing table whose limits on callers are applied
  TtPeerSocketStats peer_stats; ///< values already added to the board's counters
  uv_timer_t tick;
  uv_signal_t signals[3];
  int64_t exit_at_us; ///< latest time at which the loop stops; 0 = the board has not drained yet
};

/// Sends a message to another daemon. Messages may be lost, and a message that cannot be sent is
/// counted; whoever misses it fetches the news or reads the store. Logs a message that can never be
/// sent.
static void
send_to_peer (TtRouter *router, const TtPeerAction *action)
{
  TtError error = { 0 };
  char text[TT_LOG_TEXT_MAX];

  if (tt_peer_socket_send (router->peer_socket, action->address, action->port, action->message,
                           &error)
      != TT_E_INVALID)
    return;
  tt_error_format (&error, text, sizeof text);
  tt_log_write (TT_LOG_PEER_UNSENT, text);
}

/// Executes one action of the board.
static void
execute_action (void *context, TtAction *action, int64_t now_us)
{
  TtRouter *router = context;

  switch (action->type)
    {
    case TT_ACTION_DISPATCH:
      tt_operator_server_record_attempt (router->operator_server, &action->attempt, now_us);
      tt_backend_client_dispatch (router->backend_client, &action->attempt);
      break;
    case TT_ACTION_RELAY:
      tt_backend_client_relay (router->backend_client, &action->attempt);
      break;
    case TT_ACTION_CANCEL:
      tt_backend_client_cancel (router->backend_client, &action->attempt);
      break;
    case TT_ACTION_REPLY:
      tt_caller_server_reply (router->caller_server, &action->reply);
      break;
    case TT_ACTION_PLATFORM_CALL:
      tt_platform_client_call (router->platform_client, &action->platform);
      break;
    case TT_ACTION_PEER_SEND:
      send_to_peer (router, &action->peer);
      break;
    case TT_ACTION_ORDER:
      tt_backend_client_send_order (router->backend_client, &action->order);
      break;
    case TT_ACTION_KV_TRANSFER:
      tt_backend_client_transfer_kv_cache (router->backend_client, &action->kv);
      break;
    case TT_ACTION_LOG:
      tt_log_write (action->log.event, action->log.text);
      break;
    case TT_ACTION_READINESS:
      if (action->ready)
        tt_log_write (TT_LOG_READY, router->settings->name);
      break;
    case TT_ACTION_EXIT:
      router->exit_at_us = now_us + FLUSH_TIMEOUT_US;
      break;
    }
}

static void
on_peer_rejected (void *context, const TtError *error)
{
  char text[TT_LOG_TEXT_MAX];

  (void) context;
  tt_error_format (error, text, sizeof text);
  tt_log_write (error->code == TT_E_VERSION ? TT_LOG_PEER_VERSION : TT_LOG_PEER_REFUSED, text);
}

/// Posts entries received from another daemon to the board, in the form of a store response.
static void
post_peer_entries (TtRouter *router, const TtPeerMessage *message)
{
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform.op = TT_PLATFORM_PEER };
  TtStoreEntries servers = message->servers;
  TtStoreEntries *table = NULL;

  if (message->type != TT_PEER_TABLE)
    event.platform.entries = &servers;
  else
    {
      table = tt_store_entries_from_table (message->table.text, message->table.text_size,
                                           &event.error);
      event.platform.entries = table;
    }
  if (event.platform.entries == NULL)
    on_peer_rejected (router, &event.error);
  else
    tt_pump_post (&router->pump, &event);
  tt_store_entries_free (table);
}

static void
on_peer_message (void *context, const TtPeerMessage *message)
{
  TtRouter *router = context;
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = message };

  if (message->type == TT_PEER_TABLE || message->type == TT_PEER_SERVERS
      || message->type == TT_PEER_SERVER_CHANGES)
    post_peer_entries (router, message);
  else
    tt_pump_post (&router->pump, &event);
}

/// Adds the increase of the peer socket's statistics to the board's counters.
static void
update_peer_counters (TtRouter *router)
{
  const TtPeerSocketStats *current = tt_peer_socket_stats (router->peer_socket);
  TtPeerSocketStats *last = &router->peer_stats;

  tt_board_counter_add (router->board, TT_COUNT_PEER_SENT, current->sent - last->sent);
  tt_board_counter_add (router->board, TT_COUNT_PEER_SENT_BYTES,
                        current->sent_bytes - last->sent_bytes);
  tt_board_counter_add (router->board, TT_COUNT_PEER_RECEIVED, current->received - last->received);
  tt_board_counter_add (router->board, TT_COUNT_PEER_RECEIVED_BYTES,
                        current->received_bytes - last->received_bytes);
  tt_board_counter_add (router->board, TT_COUNT_PEER_REFUSED, current->rejected - last->rejected);
  tt_board_counter_add (router->board, TT_COUNT_PEER_UNSENT, current->dropped - last->dropped);
  *last = *current;
}

/// Posts a response of the platform to the board.
static void
on_platform_event (void *context, const TtEvent *event)
{
  tt_pump_post (&((TtRouter *) context)->pump, event);
}

static void
on_writable (void *context, uint64_t request_id)
{
  tt_backend_client_resume_reading (((TtRouter *) context)->backend_client, request_id);
}

/// Applies the limits on callers from the routing table, once for each version.
static void
apply_limits (TtRouter *router)
{
  const TtRouteTable *table = router->board->routes.table;

  if (table == NULL || table->version == router->limits_version)
    return;
  router->limits_version = table->version;
  tt_caller_server_set_limits (router->caller_server, table->max_header_bytes,
                               table->max_body_bytes, table->idle_timeout_ms);
}

static void
on_tick (uv_timer_t *timer)
{
  TtRouter *router = timer->data;
  TtEvent event = { .type = TT_EVENT_TICK };
  int64_t now_us = tt_clock_now_us ();

  tt_pump_post (&router->pump, &event);
  if (!router->board->config.uses_routing_table) // with a routing table, loads come from responses
    tt_backend_client_poll_load (router->backend_client, now_us);
  update_peer_counters (router);
  apply_limits (router);
  tt_caller_server_check (router->caller_server, now_us);
  tt_operator_server_check (router->operator_server, now_us);
  if (router->metrics_server != NULL)
    tt_operator_server_check (router->metrics_server, now_us);
  tt_reload_check (&router->reload, now_us);
  tt_log_flush ();
  if (router->board->drain.state >= TT_DRAIN_ANNOUNCED)
    tt_caller_server_drain (router->caller_server);
  if (router->board->drain.state >= TT_DRAIN_CLOSING)
    tt_caller_server_stop_accepting (router->caller_server);
  if (router->exit_at_us != 0
      && (tt_caller_server_count_open_requests (router->caller_server) == 0
          || now_us >= router->exit_at_us))
    uv_stop (&router->loop);
}

/// Reloads the certificate and applies the keys for connections between daemons.
static int
apply_settings (void *context, const TtSettings *settings, TtError *error)
{
  TtRouter *router = context;
  int code = tt_caller_server_reload_certificate (router->caller_server, error);

  if (code == TT_OK && settings->curve.enabled)
    code = tt_peer_socket_set_keys (router->peer_socket, &settings->curve);
  return code;
}

static void
on_signal (uv_signal_t *handle, int number)
{
  TtRouter *router = handle->data;
  TtEvent event = { .type = TT_EVENT_DRAIN };

  if (number == SIGHUP)
    tt_reload_run (&router->reload, "signal");
  else
    tt_pump_post (&router->pump, &event);
}

/// Creates the board with all controllers.
static int
create_board (TtRouter *router, TtError *error)
{
  TtBoardConfig config;

  tt_router_board_config (router->settings, &config);
  config.incarnation = tt_clock_wall_us ();
  if (getrandom (config.seed, sizeof config.seed, 0) != (ssize_t) sizeof config.seed)
    return tt_error_set (error, TT_E_INTERNAL, TT_STEP_SETTINGS, "getrandom",
                         "the system returned too few random bytes");
  router->board = tt_board_new (&config);
  if (router->board == NULL
      || (config.uses_routing_table ? tt_controllers_add_routed (router->board)
                                    : tt_controllers_add_leased (router->board))
             < 0)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_SETTINGS, config.name, "board");
  tt_pump_init (&router->pump, &router->loop, router->board, router, execute_action);
  return TT_OK;
}

/// Creates the servers for callers and operators.
static int
create_servers (TtRouter *router, TtError *error)
{
  const TtFront *front = &router->pump.front;
  TtCallerServerOptions caller_options = { .context = router, .on_writable = on_writable };
  TtHttpServerOptions operator_options;

  tt_router_caller_options (router->settings, &caller_options);
  router->dialect
      = router->board->config.uses_routing_table ? tt_platform_dialect () : tt_chat_dialect ();
  caller_options.dialect = &router->dialect;
  tt_router_operator_options (router->settings, &operator_options);
  router->caller_server = tt_caller_server_new (front, &caller_options, error);
  if (router->caller_server == NULL)
    return error->code;
  router->operator_server = tt_operator_server_new (front, &operator_options, error);
  if (router->operator_server == NULL)
    return error->code;
  if (router->settings->metrics.address[0] == '\0')
    return TT_OK;
  operator_options.address = router->settings->metrics.address;
  operator_options.port = router->settings->metrics.port;
  router->metrics_server = tt_operator_server_new (front, &operator_options, error);
  return router->metrics_server != NULL ? TT_OK : error->code;
}

/// Creates the dialect of the store that the settings select.
static TtPlatformDialect
create_platform_dialect (TtRouter *router)
{
  const TtBoardConfig *config = &router->board->config;

  if (!config->uses_routing_table)
    return tt_object_dialect ();
  (void) snprintf (router->identity.name, sizeof router->identity.name, "%s", config->name);
  (void) snprintf (router->identity.daemon_entry.address,
                   sizeof router->identity.daemon_entry.address, "%s", config->address);
  router->identity.daemon_entry.port = config->peer_port;
  return tt_store_dialect (&router->identity);
}

/// Creates the clients and the peer socket.
static int
create_clients (TtRouter *router, TtError *error)
{
  const TtFront *front = &router->pump.front;
  TtBackendClientOptions backend_options;
  TtPlatformClientOptions platform_options = { .context = router, .on_event = on_platform_event };
  TtPeerSocketOptions peer_options
      = { .loop = &router->loop,
          .fleet = router->settings->fleet,
          .address = router->settings->peer.address,
          .port = router->settings->peer.port,
          .max_message_bytes = router->settings->object_bytes + TT_PEER_OVERHEAD_BYTES,
          .keys = &router->settings->curve,
          .context = router,
          .on_message = on_peer_message,
          .on_rejected = on_peer_rejected };

  router->http = tt_http_client_new (&router->loop);
  if (router->http == NULL)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_SETTINGS, "", "HTTP client");
  tt_router_backend_options (router->settings, &backend_options);
  backend_options.http = router->http;
  backend_options.callers = router->caller_server;
  backend_options.dialect = &router->dialect;
  backend_options.jitter_seed = router->board->config.seed[0];
  router->backend_client = tt_backend_client_new (front, &backend_options);
  tt_router_platform_options (router->settings, &platform_options);
  platform_options.dialect = create_platform_dialect (router);
  router->platform_client = tt_platform_client_new (&router->loop, router->http, &platform_options);
  if (router->backend_client == NULL || router->platform_client == NULL)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_SETTINGS, "", "clients");
  return tt_peer_socket_new (&peer_options, &router->peer_socket, error);
}

/// Starts the tick timer and the signal handlers.
static void
start_event_sources (TtRouter *router)
{
  const int signal_numbers[] = { SIGTERM, SIGINT, SIGHUP };

  (void) signal (SIGPIPE, SIG_IGN); // a closed connection is detected by a failed write
  (void) uv_timer_init (&router->loop, &router->tick);
  router->tick.data = router;
  (void) uv_timer_start (&router->tick, on_tick, 0, TT_TICK_INTERVAL_US / TT_MILLISECOND_US);
  for (size_t i = 0; i < sizeof signal_numbers / sizeof signal_numbers[0]; i++)
    {
      (void) uv_signal_init (&router->loop, &router->signals[i]);
      router->signals[i].data = router;
      (void) uv_signal_start (&router->signals[i], on_signal, signal_numbers[i]);
    }
}

TtRouter *
tt_router_new (const TtSettings *settings, const char *path, TtError *error)
{
  TtRouter *router = calloc (1, sizeof *router);
  int code;

  if (router == NULL)
    {
      (void) tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_SETTINGS, "", "router");
      return NULL;
    }
  router->settings = settings;
  (void) uv_loop_init (&router->loop);
  code = create_board (router, error);
  if (code == TT_OK)
    {
      tt_reload_init (&router->reload, path, settings, router->board);
      router->reload.context = router;
      router->reload.apply = apply_settings;
      code = create_servers (router, error);
    }
  if (code == TT_OK)
    code = create_clients (router, error);
  if (code < 0)
    {
      free (router); // the process exits, which also releases the loop's handles
      return NULL;
    }
  start_event_sources (router);
  return router;
}

void
tt_router_run (TtRouter *router)
{
  tt_log_write (TT_LOG_STARTED, router->settings->name);
  (void) uv_run (&router->loop, UV_RUN_DEFAULT);
  tt_log_write (TT_LOG_STOPPED, router->settings->name);
}

void
tt_router_free (TtRouter *router)
{
  if (router == NULL)
    return;
  uv_close ((uv_handle_t *) &router->tick, NULL);
  for (size_t i = 0; i < sizeof router->signals / sizeof router->signals[0]; i++)
    uv_close ((uv_handle_t *) &router->signals[i], NULL);
  tt_platform_client_free (router->platform_client);
  tt_peer_socket_free (router->peer_socket);
  tt_caller_server_free (router->caller_server);
  tt_operator_server_free (router->operator_server);
  tt_operator_server_free (router->metrics_server);
  tt_http_client_free (router->http);
  for (int i = 0; i < CLOSE_ITERATIONS; i++)
    (void) uv_run (&router->loop, UV_RUN_NOWAIT);
  tt_backend_client_free (router->backend_client);
  tt_pump_close (&router->pump);
  tt_board_free (router->board);
  // If callers keep connections open, the loop cannot be closed; the process exit frees the router.
  if (uv_loop_close (&router->loop) == 0)
    free (router);
}
