/// Client for backend servers: attempts, orders, load reports and KV cache transfers.
#pragma once

#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/io/caller_server.h"
#include "tarragontrack/io/front_defs.h"
#include "tarragontrack/io/http_client.h"

typedef struct TtBackendClient TtBackendClient;

typedef struct
{
  TtHttpClient *http;
  TtCallerServer *callers;
  uint32_t connect_timeout_ms;
  const TtDialect *dialect; ///< must outlive the backend client
  /// A longer non-streamed response is relayed before it is complete.
  uint32_t max_buffered_response_bytes;
  /// Limit on the memory of all buffered responses. Above it, a response that is not small is
  /// relayed before it is complete.
  size_t max_total_buffered_bytes;
  uint32_t load_poll_interval_ms; ///< interval between load requests to an engine, before jitter
  uint64_t jitter_seed;           ///< for the jitter of load requests
} TtBackendClientOptions;

/// Creates the backend client; NULL if memory could not be allocated.
TtBackendClient *tt_backend_client_new (const TtFront *front,
                                        const TtBackendClientOptions *options);

/// Frees the backend client. The HTTP client must be freed first.
void tt_backend_client_free (TtBackendClient *client);

/// Executes a TT_ACTION_DISPATCH action: starts an attempt.
void tt_backend_client_dispatch (TtBackendClient *client, const TtAttemptAction *action);

/// Executes a TT_ACTION_RELAY action: relays the response of an attempt to the caller.
void tt_backend_client_relay (TtBackendClient *client, const TtAttemptAction *action);

/// Executes a TT_ACTION_CANCEL action: cancels an attempt and closes its connection.
void tt_backend_client_cancel (TtBackendClient *client, const TtAttemptAction *action);

/// Executes a TT_ACTION_ORDER action: sends a role order to an engine.
void tt_backend_client_send_order (TtBackendClient *client, const TtOrderAction *action);

/// Executes a TT_ACTION_KV_TRANSFER action: exports the KV cache of a chat from one engine and
/// imports it into another.
void tt_backend_client_transfer_kv_cache (TtBackendClient *client, const TtKvAction *action);

/// Resumes reading the response of a request after its caller has become writable.
void tt_backend_client_resume_reading (TtBackendClient *client, uint64_t request_id);

/// Requests the load reports that are due. Only some daemons of a failure domain poll an engine.
void tt_backend_client_poll_load (TtBackendClient *client, int64_t now_us);
