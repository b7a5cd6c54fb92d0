/// Options of the daemon's parts, taken from its settings. Texts stay those of the settings.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include "tarragontrack/codec/settings.h"
#include "tarragontrack/io/backend_client.h"
#include "tarragontrack/io/caller_server.h"
#include "tarragontrack/io/platform_client.h"

/// Fills in all but seed and incarnation.
void tt_router_board_config (const TtSettings *settings, TtBoardConfig *config);

/// Fills in all but the callbacks.
void tt_router_caller_options (const TtSettings *settings, TtCallerOptions *options);

/// Fills in all but the callback.
void tt_router_operator_options (const TtSettings *settings, TtHttpServerOptions *options);

/// Fills in timeouts and bounds.
void tt_router_backend_options (const TtSettings *settings, TtBackendOptions *options);

/// Fills in the platform's address.
void tt_router_platform_options (const TtSettings *settings, TtPlatformClientOptions *options);
