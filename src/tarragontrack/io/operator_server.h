/// HTTP server for operators: /metrics, /status, /explain/REQUEST, /healthz and /readyz.
#pragma once

#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/io/front_defs.h"
#include "tarragontrack/io/http_server.h"

typedef struct TtOperatorServer TtOperatorServer;

/// Ends connections of operators as tt_http_server_check() does.
void tt_operator_server_check (TtOperatorServer *server, int64_t now_us);

/// tt_operator_server_new - creates the server and starts to listen
///
/// RETURN     the server, or NULL with @error set
TtOperatorServer *tt_operator_server_new (const TtFront *front, const TtHttpServerOptions *options,
                                          TtError *error);

/// Records why an attempt was placed on its backend server, for /explain. Must be called for each
/// DISPATCH action.
///
/// BOUNDS     the last 4096 attempts are kept
void tt_operator_server_record_attempt (TtOperatorServer *server, const TtAttemptAction *action,
                                        int64_t now_us);

/// Stops accepting connections and shuts down the open ones gracefully after their requests.
void tt_operator_server_shut_down (TtOperatorServer *server);

/// Frees the server after the loop has ended.
void tt_operator_server_free (TtOperatorServer *server);
