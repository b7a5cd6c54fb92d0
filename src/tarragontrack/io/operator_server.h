/// Operators' port: /metrics, /status, /explain/REQUEST, /healthz and /readyz.
#pragma once

#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/io/front_defs.h"
#include "tarragontrack/io/http_server.h"

typedef struct TtOperatorServer TtOperatorServer;

/// tt_operator_server_new - listens for operators
///
/// RETURN     the server, or NULL with @error set
TtOperatorServer *tt_operator_server_new (const TtFront *front, const TtHttpServerOptions *options,
                                          TtError *error);

/// Notes why an attempt was placed, for /explain. Call it for each DISPATCH action.
///
/// BOUNDS     the last 4096 attempts are kept
void tt_operator_server_note (TtOperatorServer *server, const TtAttemptAction *action,
                              int64_t now_us);

/// Refuses new connections.
void tt_operator_server_close (TtOperatorServer *server);

/// Frees the server after the loop has ended.
void tt_operator_server_free (TtOperatorServer *server);
